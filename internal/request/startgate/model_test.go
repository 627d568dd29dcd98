package startgate_test

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/startgate"
)

// modelEntry is an entry that places tasks without any policy and keeps the rules of the protocol.
type modelEntry struct {
	id     startgate.EntryID
	open   map[wire.StartID]bool // no outcome known
	issued []wire.StartID
	offers []uint64
	mute   bool // does not answer recalls
	linked bool
}

// packet is a message under way in one direction of a session.
type packet struct {
	session int
	toAgent bool
	entry   int
	message wire.Message
	sent    time.Duration
}

// maxDelay bounds the age of a message: a session ends after 3 s of silence. It must be shorter
// than the evidence retention, or a copy could arrive after the evidence is gone.
const maxDelay = 8 * time.Second

// world joins one agent and several entries through a network with faults.
type world struct {
	t           *rapid.T
	now         time.Duration
	oracle      *oracle
	incarnation uint64
	entries     []*modelEntry
	session     []int // current session of each entry
	sessions    int
	network     []packet
	calls       []wire.StartID
	nextTask    uint16
	faulty      bool
}

var modelAnnounce = wire.Announce{
	Slots: 4, Connections: 5, Capacity: job.Resources{MilliProcessors: 4000, MemoryBytes: 100, Accelerators: 1},
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Hour, faulty: true, session: make([]int, 3)}
	for i := range w.session {
		w.entries = append(w.entries, &modelEntry{
			id: startgate.EntryID{ID: string(rune('a' + i)), Incarnation: 1}, open: map[wire.StartID]bool{},
		})
	}
	w.restartAgent()
	return w
}

func (w *world) restartAgent() {
	called := map[wire.StartID]bool{}
	if w.oracle != nil {
		called = w.oracle.called
	}
	w.incarnation++
	w.oracle = newOracle(w.t, startgate.Config{
		Incarnation: w.incarnation, QueueLimit: 1, MaxRecords: 60, MaxResultBytes: 1 << 10,
	}, called)
	w.calls = nil
	for i, e := range w.entries {
		w.network = slices.DeleteFunc(w.network, func(p packet) bool { return p.entry == i && !p.toAgent })
		e.linked, e.offers = false, nil
		clear(e.open) // their outcome is "may have run"
	}
}

func (w *world) step(event startgate.Event) {
	for _, action := range w.oracle.step(w.now, event) {
		switch a := action.(type) {
		case startgate.Call:
			w.calls = append(w.calls, a.ID)
		case startgate.StopCall:
			if i := slices.Index(w.calls, a.ID); i < 0 {
				w.t.Fatalf("stop of a call that is not running")
			}
		case startgate.Send:
			for i, e := range w.entries {
				if e.id == a.Entry {
					w.post(packet{session: w.session[i], entry: i, message: a.Message})
				}
			}
		}
	}
}

// post puts a message on the network, where a fault may lose or copy it.
func (w *world) post(p packet) {
	fault := 0
	p.sent = w.now
	if w.faulty {
		fault = rapid.IntRange(0, 15).Draw(w.t, "fault")
	}
	if fault != 14 {
		w.network = append(w.network, p)
	}
	if fault == 15 {
		w.network = append(w.network, p)
	}
}

// deliver delivers one message, in order or, under faults, any of the first few.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := 0
	if w.faulty {
		i = rapid.IntRange(0, min(3, len(w.network)-1)).Draw(w.t, "position")
	}
	p := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	e := w.entries[p.entry]
	if w.now-p.sent > maxDelay {
		return
	}
	if p.toAgent {
		// A start may even outlive its session, as a copy would.
		if _, start := p.message.(*wire.Start); start || p.session == w.session[p.entry] {
			w.step(startgate.Received{Entry: e.id, Message: p.message})
		}
	} else if p.session == w.session[p.entry] {
		w.entryReceives(p.entry, p.message)
	}
}

func (w *world) sendFrom(i int, message wire.Message) {
	if w.entries[i].linked {
		w.post(packet{session: w.session[i], toAgent: true, entry: i, message: message})
	}
}

func (w *world) entryReceives(i int, message wire.Message) {
	e := w.entries[i]
	switch m := message.(type) {
	case *wire.Offer:
		for _, number := range m.IDs {
			if !slices.Contains(e.offers, number) {
				e.offers = append(e.offers, number)
			}
		}
	case *wire.Withdraw:
		e.offers = nil
	case *wire.Recall:
		if !e.mute {
			n := min(m.Count, len(e.offers))
			w.sendFrom(i, &wire.Decline{IDs: slices.Clone(e.offers[:n]), Recalled: true})
			e.offers = e.offers[n:]
		}
	case *wire.Refused:
		w.outcome(i, m.ID, m.Reason != wire.RefusedIncarnation)
	case *wire.Finished:
		w.outcome(i, m.ID, false)
		if m.Result.State == job.Done && !w.oracle.called[m.ID] {
			w.t.Fatalf("result of the start %v, which never ran", m.ID)
		}
	}
}

// outcome notes the first outcome of a start. A refusal must be true at that time; the oracle
// checks that it stays true.
func (w *world) outcome(i int, id wire.StartID, refused bool) {
	if refused && w.oracle.called[id] && !w.oracle.notSent[id] {
		w.t.Fatalf("entry was told that %v did not run", id)
	}
	delete(w.entries[i].open, id)
	w.sendFrom(i, &wire.FinishedAck{ID: id})
}

func (w *world) reconnect(i int) {
	e := w.entries[i]
	w.sessions++
	w.session[i] = w.sessions
	e.linked, e.offers = true, nil
	w.step(startgate.Connected{Entry: e.id})
	if len(e.open) > 0 {
		var ids []wire.StartID
		for _, id := range e.issued {
			if e.open[id] {
				ids = append(ids, id)
			}
		}
		w.sendFrom(i, &wire.Query{IDs: ids})
	}
}

func (w *world) start(i int, withOffer bool) {
	e := w.entries[i]
	if !e.linked {
		return
	}
	w.nextTask++
	m := &wire.Start{
		ID: wire.StartID{Job: job.Key{ID: "j"}, Task: w.nextTask}, AgentIncarnation: w.incarnation,
		Task: job.Task{Need: job.Resources{
			MilliProcessors: rapid.SampledFrom([]int64{0, 500, 3000, 4001}).Draw(w.t, "processors"),
			Accelerators:    rapid.Int64Range(0, 1).Draw(w.t, "accelerators"),
		}},
	}
	if withOffer && len(e.offers) > 0 {
		m.Offer, e.offers = e.offers[0], e.offers[1:]
	}
	e.open[m.ID] = true
	e.issued = append(e.issued, m.ID)
	w.sendFrom(i, m)
}

func (w *world) endCall() {
	if len(w.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	id := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	ended := startgate.CallEnded{ID: id, Result: job.Result{State: job.Done, Body: make([]byte, 100)}}
	ended.NotSent = rapid.IntRange(0, 7).Draw(w.t, "not sent") == 0
	w.step(ended)
}

// refresh renews the announcement and the lease.
func (w *world) refresh(zoneOut bool) {
	w.step(startgate.Announced{Announce: modelAnnounce, Deadline: w.now + 10*time.Second})
	lease := time.Duration(rapid.IntRange(1, 6).Draw(w.t, "lease")) * time.Second
	w.step(startgate.LeaseChanged{Deadline: w.now + lease, ZoneOut: zoneOut})
}

func (w *world) act() {
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	e := w.entries[i]
	switch rapid.IntRange(0, 23).Draw(w.t, "action") {
	case 0, 1:
		w.start(i, false)
	case 2, 3, 4:
		w.start(i, true)
	case 5, 6, 7, 8, 9:
		w.deliver()
	case 10, 11, 12:
		w.endCall()
	case 13:
		w.sendFrom(i, &wire.Demand{Queued: rapid.IntRange(0, 3).Draw(w.t, "demand")})
	case 14:
		w.sendFrom(i, &wire.Reserve{Count: rapid.IntRange(1, 3).Draw(w.t, "probes")})
	case 15:
		w.sendFrom(i, &wire.Unreserve{Count: 1})
	case 16:
		w.sendFrom(i, &wire.Decline{IDs: slices.Clone(e.offers)})
		e.offers = nil
	case 17:
		if len(e.issued) > 0 {
			if id := rapid.SampledFrom(e.issued).Draw(w.t, "cancelled"); e.open[id] {
				w.sendFrom(i, &wire.Cancel{ID: id})
			}
		}
	case 18:
		w.step(startgate.Disconnected{Entry: e.id})
		e.linked = false
	case 19:
		w.reconnect(i)
	case 20, 21:
		w.refresh(rapid.IntRange(0, 5).Draw(w.t, "zone") == 0)
	case 22:
		w.rare(e)
	default:
		w.pass(time.Duration(rapid.IntRange(0, 400).Draw(w.t, "ms")) * time.Millisecond)
	}
}

func (w *world) rare(e *modelEntry) {
	switch rapid.IntRange(0, 5).Draw(w.t, "rare") {
	case 0:
		w.step(startgate.Withdrawn{})
	case 1:
		w.restartAgent()
	case 2:
		w.pass(12 * time.Second) // a suspended machine
	case 3:
		e.mute = !e.mute
	case 4: // the entry restarts
		w.step(startgate.Disconnected{Entry: e.id})
		e.id.Incarnation++
		e.linked, e.offers = false, nil
		clear(e.open)
		e.issued = nil
	case 5:
		small := modelAnnounce
		small.Slots, small.Capacity.MilliProcessors = 2, 3000
		w.step(startgate.Announced{Announce: small, Deadline: w.now + time.Second})
	}
}

// pass lets time go by and wakes the machine when it asked for it.
func (w *world) pass(d time.Duration) {
	end := w.now + d
	for {
		wake, due := w.oracle.machine.NextWake()
		if !due || wake > end {
			break
		}
		before := w.now
		w.now = max(w.now, wake)
		w.step(startgate.Tick{})
		if again, due := w.oracle.machine.NextWake(); due && again <= w.now && before == w.now {
			w.t.Fatalf("NextWake asks for %v again at %v", again, w.now)
		}
	}
	w.now = end
	if o := w.oracle; end >= min(o.leaseEnd, o.announceEnd) && o.machine.Gauges().Waiting > 0 {
		w.t.Fatalf("a start waits at %v, after the lease or the announcement has ended", end)
	}
}

// settle ends all faults and checks that nothing leaked and every start got its outcome.
func (w *world) settle() {
	w.faulty = false
	w.network = nil
	w.refresh(false)
	for i, e := range w.entries {
		e.mute = false
		w.step(startgate.Disconnected{Entry: e.id})
		w.reconnect(i)
	}
	for range 400 {
		for len(w.network) > 0 {
			w.deliver()
		}
		w.endCall()
		w.pass(50 * time.Millisecond)
		w.refresh(false)
	}
	for _, e := range w.entries {
		if len(e.open) > 0 {
			w.t.Fatalf("entry %v has starts without an outcome: %v", e.id, e.open)
		}
	}
	g := w.oracle.machine.Gauges()
	held := 0
	for _, e := range w.entries {
		held += len(e.offers)
	}
	if g.Running+g.Waiting != 0 || g.Offers != g.Slots || held != g.Slots || g.Unacked+g.ResultBytes != 0 {
		w.t.Fatalf("slots leaked: %+v; the entries hold %d offers", g, held)
	}
}

var _ = ginkgo.Describe("the machine", func() {
	// Guards against a start that runs twice, a refusal that is not true, a call outside of lease,
	// zone or announcement, and slots that are given out twice or lost.
	ginkgo.It("keeps its promises under drop, delay, copies, reorder, reconnect and restart", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			w := newWorld(t)
			w.refresh(false)
			for i := range w.entries {
				w.reconnect(i)
			}
			for range rapid.IntRange(20, 300).Draw(t, "steps") {
				w.act()
			}
			w.settle()
		})
	})
})
