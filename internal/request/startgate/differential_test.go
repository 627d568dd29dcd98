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

// referenceMachine is a reference model of the machine for the case that entries decline
// every offer immediately, so that all starts are direct. It keeps the starts in one list and scans it
// for every decision.
type referenceMachine struct {
	announceEnd, leaseEnd time.Duration
	zoneOut               bool
	connected             []startgate.EntryID
	starts                []*referenceStart
	resultDropped         []startgate.EntryID // entries with a dropped unacknowledged result
	out                   []string
}

type referenceStart struct {
	id      wire.StartID
	owner   startgate.EntryID
	need    job.Resources
	state   string // waiting, running, finished, acknowledged or refused
	outcome string
	expires time.Duration
}

const referenceQueueLimit = 3

func (r *referenceMachine) step(now time.Duration, event startgate.Event) []string {
	r.out = nil
	r.starts = slices.DeleteFunc(r.starts, func(s *referenceStart) bool {
		expired := s.outcome != "" && s.expires <= now
		if expired && s.state == "finished" {
			r.resultDropped = append(r.resultDropped, s.owner)
		}
		return expired
	})
	switch e := event.(type) {
	case startgate.Connected:
		r.disconnect(now, e.Entry)
		r.connected = append(r.connected, e.Entry)
	case startgate.Disconnected:
		r.disconnect(now, e.Entry)
	case startgate.Announced:
		r.announceEnd = min(e.Deadline, now+3*time.Second)
	case startgate.Withdrawn:
		r.announceEnd = 0
	case startgate.LeaseChanged:
		r.leaseEnd, r.zoneOut = e.Deadline, e.ZoneOut
	case startgate.CallEnded:
		if s := r.find(e.ID); s != nil && s.state == "running" {
			if e.NotSent {
				r.end(now, s, "refused", fmt.Sprint("refused ", wire.RefusedUnreachable))
			} else {
				r.end(now, s, "finished", "finished")
			}
		}
	case startgate.Received:
		if slices.Contains(r.connected, e.Entry) {
			r.receive(now, e.Entry, e.Message)
		}
	}
	r.serve(now)
	return r.out
}

func (r *referenceMachine) find(id wire.StartID) *referenceStart {
	for _, s := range r.starts {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (r *referenceMachine) send(to startgate.EntryID, id wire.StartID, text string) {
	if slices.Contains(r.connected, to) {
		r.out = append(r.out, fmt.Sprint(to.ID, " ", id.Task, " ", text))
	}
}

func (r *referenceMachine) end(now time.Duration, s *referenceStart, state, outcome string) {
	s.state, s.outcome, s.expires = state, outcome, now+startgate.DefaultRecordRetention
	r.send(s.owner, s.id, outcome)
}

func (r *referenceMachine) refuse(now time.Duration, s *referenceStart, reason wire.RefusalReason) {
	r.end(now, s, "refused", fmt.Sprint("refused ", reason))
}

func (r *referenceMachine) disconnect(now time.Duration, id startgate.EntryID) {
	r.connected = slices.DeleteFunc(r.connected, func(e startgate.EntryID) bool { return e == id })
	for _, s := range r.starts {
		if s.owner == id && s.state == "waiting" {
			r.refuse(now, s, wire.RefusedUnknown)
		}
	}
}

func (r *referenceMachine) blockReason(now time.Duration) wire.RefusalReason {
	switch {
	case now >= r.announceEnd:
		return wire.RefusedLeaving
	case now >= r.leaseEnd:
		return wire.RefusedLeaseExpired
	case r.zoneOut:
		return wire.RefusedZoneOut
	}
	return 0
}

// count returns the number of starts in a state and the sum of their needs.
func (r *referenceMachine) count(state string) (count int, used job.Resources) {
	for _, s := range r.starts {
		if s.state == state {
			count++
			used.MilliProcessors += s.need.MilliProcessors
			used.Accelerators += s.need.Accelerators
		}
	}
	return count, used
}

func (r *referenceMachine) receive(now time.Duration, from startgate.EntryID, message wire.Message) {
	switch m := message.(type) {
	case *wire.Start:
		s := r.find(m.ID)
		if s != nil {
			if s.state == "refused" || s.state == "finished" {
				r.send(from, s.id, s.outcome)
			}
			return
		}
		s = &referenceStart{id: m.ID, owner: from, need: m.Task.Need, state: "waiting"}
		waiting, _ := r.count("waiting")
		reason := r.blockReason(now)
		switch {
		case reason != 0:
		case !modelAnnounce.Capacity.Covers(m.Task.Need):
			reason = wire.RefusedNeverFits
		case waiting >= referenceQueueLimit:
			reason = wire.RefusedBusy
		}
		r.starts = append(r.starts, s)
		if reason != 0 {
			r.refuse(now, s, reason)
		}
	case *wire.FinishedAck:
		if s := r.find(m.ID); s != nil && s.state == "finished" && s.owner == from {
			s.state = "acknowledged"
		}
	case *wire.Cancel:
		r.cancelOrQuery(now, from, m.ID, wire.RefusedCancelled)
	case *wire.Query:
		r.cancelOrQuery(now, from, m.IDs[0], wire.RefusedUnknown)
	}
}

// cancelOrQuery handles Cancel and Query, which differ only for a start without an outcome.
func (r *referenceMachine) cancelOrQuery(now time.Duration, from startgate.EntryID, id wire.StartID, reason wire.RefusalReason) {
	s := r.find(id)
	cancel := reason == wire.RefusedCancelled
	switch {
	case s == nil && slices.Contains(r.resultDropped, from):
		s = &referenceStart{id: id, owner: from}
		r.starts = append(r.starts, s)
		r.end(now, s, "refused", "finished") // recorded as refused, but the reply is a Finished whose result state is MayHaveRun
	case s == nil:
		s = &referenceStart{id: id, owner: from}
		r.starts = append(r.starts, s)
		r.refuse(now, s, reason)
	case s.state == "waiting" && cancel:
		r.refuse(now, s, reason)
	case s.state == "running" && cancel:
		r.out = append(r.out, fmt.Sprint("stop ", id.Task))
	case s.state == "waiting" || s.state == "running":
		r.send(from, id, "running")
	case s.state != "acknowledged":
		r.send(from, id, s.outcome)
	}
}

func (r *referenceMachine) serve(now time.Duration) {
	reason := r.blockReason(now)
	for _, s := range r.starts {
		running, used := r.count("running")
		used.MilliProcessors += s.need.MilliProcessors
		used.Accelerators += s.need.Accelerators
		switch {
		case s.state != "waiting":
		case reason != 0:
			r.refuse(now, s, reason)
		case running < modelAnnounce.Slots && modelAnnounce.Capacity.Covers(used):
			s.state = "running"
			r.out = append(r.out, fmt.Sprint("call ", s.id.Task))
		}
	}
}

// observe applies an event, declines all offers, and returns the actions of the kinds that the
// reference models, as texts.
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

var _ = ginkgo.Describe("the machine, when all offers are declined", func() {
	// Guards against faults in the data structures of the machine (expiry queue, wait queues and
	// counters), which the reference model does not have.
	ginkgo.It("returns the same actions as the reference model", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			machine := startgate.New(startgate.Config{Incarnation: 1, QueueLimit: referenceQueueLimit})
			reference := &referenceMachine{}
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
