package startgate_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/startgate"
)

// naive is the start gate without offers, written as plainly as possible: one list that is scanned
// for everything.
type naive struct {
	announceEnd, leaseEnd time.Duration
	zoneOut               bool
	connected             []startgate.EntryID
	starts                []*naiveStart
	lost                  []startgate.EntryID // entries with a result that was dropped unseen
	out                   []string
}

type naiveStart struct {
	id      wire.StartID
	owner   startgate.EntryID
	need    job.Resources
	state   string // waiting, running, finished, delivered or refused
	outcome string
	expires time.Duration
}

const naiveQueueLimit = 3

func (n *naive) step(now time.Duration, event startgate.Event) []string {
	n.out = nil
	n.starts = slices.DeleteFunc(n.starts, func(s *naiveStart) bool {
		expired := s.outcome != "" && s.expires <= now
		if expired && s.state == "finished" {
			n.lost = append(n.lost, s.owner)
		}
		return expired
	})
	switch e := event.(type) {
	case startgate.Connected:
		n.disconnect(now, e.Entry)
		n.connected = append(n.connected, e.Entry)
	case startgate.Disconnected:
		n.disconnect(now, e.Entry)
	case startgate.Announced:
		n.announceEnd = min(e.Deadline, now+3*time.Second)
	case startgate.Withdrawn:
		n.announceEnd = 0
	case startgate.LeaseChanged:
		n.leaseEnd, n.zoneOut = e.Deadline, e.ZoneOut
	case startgate.CallEnded:
		if s := n.find(e.ID); s != nil && s.state == "running" {
			if e.NotSent {
				n.end(now, s, "refused", fmt.Sprint("refused ", wire.RefusedUnreachable))
			} else {
				n.end(now, s, "finished", "finished")
			}
		}
	case startgate.Received:
		if slices.Contains(n.connected, e.Entry) {
			n.receive(now, e.Entry, e.Message)
		}
	}
	n.serve(now)
	return n.out
}

func (n *naive) find(id wire.StartID) *naiveStart {
	for _, s := range n.starts {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (n *naive) send(to startgate.EntryID, id wire.StartID, text string) {
	if slices.Contains(n.connected, to) {
		n.out = append(n.out, fmt.Sprint(to.ID, " ", id.Task, " ", text))
	}
}

func (n *naive) end(now time.Duration, s *naiveStart, state, outcome string) {
	s.state, s.outcome, s.expires = state, outcome, now+startgate.DefaultEvidenceRetention
	n.send(s.owner, s.id, outcome)
}

func (n *naive) refuse(now time.Duration, s *naiveStart, reason wire.RefusalReason) {
	n.end(now, s, "refused", fmt.Sprint("refused ", reason))
}

func (n *naive) disconnect(now time.Duration, id startgate.EntryID) {
	n.connected = slices.DeleteFunc(n.connected, func(e startgate.EntryID) bool { return e == id })
	for _, s := range n.starts {
		if s.owner == id && s.state == "waiting" {
			n.refuse(now, s, wire.RefusedUnknown)
		}
	}
}

func (n *naive) blocked(now time.Duration) wire.RefusalReason {
	switch {
	case now >= n.announceEnd:
		return wire.RefusedLeaving
	case now >= n.leaseEnd:
		return wire.RefusedLeaseExpired
	case n.zoneOut:
		return wire.RefusedZoneOut
	}
	return 0
}

// count returns the starts in a state and the sum of their needs.
func (n *naive) count(state string) (count int, used job.Resources) {
	for _, s := range n.starts {
		if s.state == state {
			count++
			used.MilliProcessors += s.need.MilliProcessors
			used.Accelerators += s.need.Accelerators
		}
	}
	return count, used
}

func (n *naive) receive(now time.Duration, from startgate.EntryID, message wire.Message) {
	switch m := message.(type) {
	case *wire.Start:
		s := n.find(m.ID)
		if s != nil {
			if s.state == "refused" || s.state == "finished" {
				n.send(from, s.id, s.outcome)
			}
			return
		}
		s = &naiveStart{id: m.ID, owner: from, need: m.Task.Need, state: "waiting"}
		waiting, _ := n.count("waiting")
		reason := n.blocked(now)
		switch {
		case reason != 0:
		case !modelAnnounce.Capacity.Fits(m.Task.Need):
			reason = wire.RefusedNeverFits
		case waiting >= naiveQueueLimit:
			reason = wire.RefusedBusy
		}
		n.starts = append(n.starts, s)
		if reason != 0 {
			n.refuse(now, s, reason)
		}
	case *wire.FinishedAck:
		if s := n.find(m.ID); s != nil && s.state == "finished" && s.owner == from {
			s.state = "delivered"
		}
	case *wire.Cancel:
		n.ask(now, from, m.ID, wire.RefusedCancelled)
	case *wire.Query:
		n.ask(now, from, m.IDs[0], wire.RefusedUnknown)
	}
}

// ask handles Cancel and Query, which differ for a start that has no outcome.
func (n *naive) ask(now time.Duration, from startgate.EntryID, id wire.StartID, reason wire.RefusalReason) {
	s := n.find(id)
	cancel := reason == wire.RefusedCancelled
	switch {
	case s == nil && slices.Contains(n.lost, from):
		s = &naiveStart{id: id, owner: from}
		n.starts = append(n.starts, s)
		n.end(now, s, "refused", "finished") // as "may have run"
	case s == nil:
		s = &naiveStart{id: id, owner: from}
		n.starts = append(n.starts, s)
		n.refuse(now, s, reason)
	case s.state == "waiting" && cancel:
		n.refuse(now, s, reason)
	case s.state == "running" && cancel:
		n.out = append(n.out, fmt.Sprint("stop ", id.Task))
	case s.state == "waiting" || s.state == "running":
		n.send(from, id, "running")
	case s.state != "delivered":
		n.send(from, id, s.outcome)
	}
}

func (n *naive) serve(now time.Duration) {
	reason := n.blocked(now)
	for _, s := range n.starts {
		running, used := n.count("running")
		used.MilliProcessors += s.need.MilliProcessors
		used.Accelerators += s.need.Accelerators
		switch {
		case s.state != "waiting":
		case reason != 0:
			n.refuse(now, s, reason)
		case running < modelAnnounce.Slots && modelAnnounce.Capacity.Fits(used):
			s.state = "running"
			n.out = append(n.out, fmt.Sprint("call ", s.id.Task))
		}
	}
}

// observe returns the actions that the naive version makes too, and declines all offers.
func observe(machine *startgate.Machine, now time.Duration, event startgate.Event) []string {
	var out []string
	var declines []startgate.Event
	for _, action := range machine.Step(now, event) {
		switch a := action.(type) {
		case startgate.Call:
			out = append(out, fmt.Sprint("call ", a.ID.Task))
		case startgate.StopCall:
			out = append(out, fmt.Sprint("stop ", a.ID.Task))
		case startgate.Send:
			switch m := a.Message.(type) {
			case *wire.Refused:
				out = append(out, fmt.Sprint(a.Entry.ID, " ", m.ID.Task, " refused ", m.Reason))
			case *wire.Finished:
				out = append(out, fmt.Sprint(a.Entry.ID, " ", m.ID.Task, " finished"))
			case *wire.Running:
				out = append(out, fmt.Sprint(a.Entry.ID, " ", m.ID.Task, " running"))
			case *wire.Offer:
				declines = append(declines, startgate.Received{Entry: a.Entry, Message: &wire.Decline{IDs: m.IDs}})
			}
		}
	}
	for _, decline := range declines {
		out = append(out, observe(machine, now, decline)...)
	}
	return out
}

func drawEvent(t *rapid.T, now time.Duration) startgate.Event {
	entry := startgate.EntryID{ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry")}
	id := wire.StartID{Task: uint16(rapid.IntRange(0, 40).Draw(t, "task"))}
	received := func(message wire.Message) startgate.Event {
		return startgate.Received{Entry: entry, Message: message}
	}
	switch rapid.IntRange(0, 16).Draw(t, "event") {
	case 0:
		return startgate.Connected{Entry: entry}
	case 1:
		return startgate.Disconnected{Entry: entry}
	case 2, 3:
		return startgate.Announced{Announce: modelAnnounce, Deadline: now + 10*time.Second}
	case 4, 5:
		return startgate.LeaseChanged{Deadline: now + 5*time.Second, ZoneOut: rapid.IntRange(0, 5).Draw(t, "zone") == 0}
	case 6:
		return received(&wire.FinishedAck{ID: id})
	case 7:
		return received(&wire.Cancel{ID: id})
	case 8:
		return received(&wire.Query{IDs: []wire.StartID{id}})
	case 9, 10:
		return startgate.CallEnded{ID: id, NotSent: rapid.Bool().Draw(t, "not sent")}
	case 11:
		return startgate.Withdrawn{}
	default:
		return received(&wire.Start{ID: id, AgentIncarnation: 1, Task: job.Task{Need: job.Resources{
			MilliProcessors: rapid.SampledFrom([]int64{0, 1500, 5000}).Draw(t, "processors"),
		}}})
	}
}

var _ = ginkgo.Describe("the machine without offers", func() {
	// Guards against decisions that only the shortcuts of the real machine (expiry queue, wait
	// lists, counters) can get wrong.
	ginkgo.It("acts as the naive version does", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			machine := startgate.New(startgate.Config{Incarnation: 1, QueueLimit: naiveQueueLimit})
			reference := &naive{}
			now := time.Hour
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
				event := drawEvent(t, now)
				want, got := reference.step(now, event), observe(machine, now, event)
				if !slices.Equal(want, got) {
					t.Fatalf("at %v, event %T %+v: want %q, got %q", now, event, event, want, got)
				}
			}
			running, _ := reference.count("running")
			gomega.Expect(machine.Gauges().Running).To(gomega.Equal(running))
			gomega.Expect(machine.Gauges().Records).To(gomega.Equal(len(reference.starts)))
		})
	})
})
