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

// modelEntry is an entry that follows the protocol and sends starts without a placement policy.
type modelEntry struct {
	id             startgate.EntryID
	pending        map[wire.StartID]bool // starts without a known outcome
	issued         []wire.StartID
	offers         []uint64
	ignoresRecalls bool
	connected      bool
}

// delivery is a message in flight in one direction of a session.
type delivery struct {
	session int
	toAgent bool
	entry   int
	message wire.Message
	sent    time.Duration
}

// maxDelay is the age at which the simulated network drops a message. It is longer than real delays,
// because a session ends after 3 s without messages, but must be shorter than RecordRetention: a
// duplicate that arrived after its record was dropped could run.
const maxDelay = 8 * time.Second

// simulation simulates one agent and several entries that are connected by a faulty network.
type simulation struct {
	t           *rapid.T
	now         time.Duration
	oracle      *oracle
	incarnation uint64
	entries     []*modelEntry
	session     []int // current session of each entry
	sessions    int
	network     []delivery
	calls       []wire.StartID
	nextTask    uint16
	faulty      bool
}

var modelAnnounce = wire.Announce{
	Slots: 4, Connections: 5, Capacity: job.Resources{MilliProcessors: 4000, MemoryBytes: 100, Accelerators: 1},
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Hour, faulty: true, session: make([]int, 3)}
	for i := range s.session {
		s.entries = append(s.entries, &modelEntry{
			id: startgate.EntryID{ID: string(rune('a' + i)), Incarnation: 1}, pending: map[wire.StartID]bool{},
		})
	}
	s.restartAgent()
	return s
}

func (s *simulation) restartAgent() {
	called := map[wire.StartID]bool{}
	if s.oracle != nil {
		called = s.oracle.called
	}
	s.incarnation++
	s.oracle = newOracle(s.t, startgate.Config{
		Incarnation: s.incarnation, QueueLimit: 1, MaxRecords: 60, MaxResultBytes: 1 << 10,
	}, called)
	s.calls = nil
	for i, e := range s.entries {
		s.network = slices.DeleteFunc(s.network, func(p delivery) bool { return p.entry == i && !p.toAgent })
		e.connected, e.offers = false, nil
		clear(e.pending) // after a restart of the agent, an entry reports its pending starts as MayHaveRun
	}
}

func (s *simulation) step(event startgate.Event) {
	for _, action := range s.oracle.step(s.now, event) {
		switch a := action.(type) {
		case startgate.Call:
			s.calls = append(s.calls, a.ID)
		case startgate.StopCall:
			if i := slices.Index(s.calls, a.ID); i < 0 {
				s.t.Fatalf("StopCall for a call that is not running")
			}
		case startgate.Send:
			for i, e := range s.entries {
				if e.id == a.Entry {
					s.transmit(delivery{session: s.session[i], entry: i, message: a.Message})
				}
			}
		}
	}
}

// transmit sends a message through the network, where a fault may drop or duplicate it.
func (s *simulation) transmit(p delivery) {
	fault := 0
	p.sent = s.now
	if s.faulty {
		fault = rapid.IntRange(0, 15).Draw(s.t, "fault")
	}
	if fault != 14 {
		s.network = append(s.network, p)
	}
	if fault == 15 {
		s.network = append(s.network, p)
	}
}

// deliver delivers the oldest message or, with faults, one of the four oldest.
func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := 0
	if s.faulty {
		i = rapid.IntRange(0, min(3, len(s.network)-1)).Draw(s.t, "position")
	}
	p := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	e := s.entries[p.entry]
	if s.now-p.sent > maxDelay {
		return
	}
	if p.toAgent {
		// A start may arrive after the end of its session, as a delayed duplicate would.
		if _, start := p.message.(*wire.Start); start || p.session == s.session[p.entry] {
			s.step(startgate.Received{Entry: e.id, Message: p.message})
		}
	} else if p.session == s.session[p.entry] {
		s.entryReceives(p.entry, p.message)
	}
}

func (s *simulation) sendFrom(i int, message wire.Message) {
	if s.entries[i].connected {
		s.transmit(delivery{session: s.session[i], toAgent: true, entry: i, message: message})
	}
}

func (s *simulation) entryReceives(i int, message wire.Message) {
	e := s.entries[i]
	switch m := message.(type) {
	case *wire.Offer:
		for _, id := range m.IDs {
			if !slices.Contains(e.offers, id) {
				e.offers = append(e.offers, id)
			}
		}
	case *wire.Withdraw:
		e.offers = nil
	case *wire.Recall:
		if !e.ignoresRecalls {
			n := min(m.Count, len(e.offers))
			s.sendFrom(i, &wire.Decline{IDs: slices.Clone(e.offers[:n]), Recalled: true})
			e.offers = e.offers[n:]
		}
	case *wire.Refused:
		s.outcome(i, m.ID, m.Reason != wire.RefusedIncarnation)
	case *wire.Finished:
		s.outcome(i, m.ID, false)
		if m.Result.State == job.Done && !s.oracle.called[m.ID] {
			s.t.Fatalf("result of the start %v, which was not called", m.ID)
		}
	}
}

// outcome handles the outcome of a start: the start is no longer pending and is acknowledged. It checks that a refused start has not run; the oracle
// checks that it does not run later.
func (s *simulation) outcome(i int, id wire.StartID, refused bool) {
	if refused && s.oracle.called[id] && !s.oracle.notSent[id] {
		s.t.Fatalf("refusal of the start %v, which was called", id)
	}
	delete(s.entries[i].pending, id)
	s.sendFrom(i, &wire.FinishedAck{ID: id})
}

func (s *simulation) reconnect(i int) {
	e := s.entries[i]
	s.sessions++
	s.session[i] = s.sessions
	e.connected, e.offers = true, nil
	s.step(startgate.Connected{Entry: e.id})
	if len(e.pending) > 0 {
		var ids []wire.StartID
		for _, id := range e.issued {
			if e.pending[id] {
				ids = append(ids, id)
			}
		}
		s.sendFrom(i, &wire.Query{IDs: ids})
	}
}

func (s *simulation) start(i int, withOffer bool) {
	e := s.entries[i]
	if !e.connected {
		return
	}
	s.nextTask++
	m := &wire.Start{
		ID: wire.StartID{Job: job.Key{ID: "j"}, Task: s.nextTask}, AgentIncarnation: s.incarnation,
		Task: job.Task{Need: job.Resources{
			MilliProcessors: rapid.SampledFrom([]int64{0, 500, 3000, 4001}).Draw(s.t, "processors"),
			Accelerators:    rapid.Int64Range(0, 1).Draw(s.t, "accelerators"),
		}},
	}
	if withOffer && len(e.offers) > 0 {
		m.Offer, e.offers = e.offers[0], e.offers[1:]
	}
	e.pending[m.ID] = true
	e.issued = append(e.issued, m.ID)
	s.sendFrom(i, m)
}

func (s *simulation) endCall() {
	if len(s.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(s.t, "call")
	id := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	ended := startgate.CallEnded{ID: id, Result: job.Result{State: job.Done, Body: make([]byte, 100)}}
	ended.NotSent = rapid.IntRange(0, 7).Draw(s.t, "not sent") == 0
	s.step(ended)
}

// refresh renews the announcement and the lease.
func (s *simulation) refresh(zoneOut bool) {
	s.step(startgate.Announced{Announce: modelAnnounce, Deadline: s.now + 10*time.Second})
	lease := time.Duration(rapid.IntRange(1, 6).Draw(s.t, "lease")) * time.Second
	s.step(startgate.LeaseChanged{Deadline: s.now + lease, ZoneOut: zoneOut})
}

func (s *simulation) randomStep() {
	i := rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "entry")
	e := s.entries[i]
	switch rapid.IntRange(0, 23).Draw(s.t, "action") {
	case 0, 1:
		s.start(i, false)
	case 2, 3, 4:
		s.start(i, true)
	case 5, 6, 7, 8, 9:
		s.deliver()
	case 10, 11, 12:
		s.endCall()
	case 13:
		s.sendFrom(i, &wire.Demand{Queued: rapid.IntRange(0, 3).Draw(s.t, "demand")})
	case 14:
		s.sendFrom(i, &wire.Reserve{Count: rapid.IntRange(1, 3).Draw(s.t, "probes")})
	case 15:
		s.sendFrom(i, &wire.Unreserve{Count: 1})
	case 16:
		s.sendFrom(i, &wire.Decline{IDs: slices.Clone(e.offers)})
		e.offers = nil
	case 17:
		if len(e.issued) > 0 {
			if id := rapid.SampledFrom(e.issued).Draw(s.t, "cancelled"); e.pending[id] {
				s.sendFrom(i, &wire.Cancel{ID: id})
			}
		}
	case 18:
		s.step(startgate.Disconnected{Entry: e.id})
		e.connected = false
	case 19:
		s.reconnect(i)
	case 20, 21:
		s.refresh(rapid.IntRange(0, 5).Draw(s.t, "zone") == 0)
	case 22:
		s.rareStep(e)
	default:
		s.advance(time.Duration(rapid.IntRange(0, 400).Draw(s.t, "ms")) * time.Millisecond)
	}
}

func (s *simulation) rareStep(e *modelEntry) {
	switch rapid.IntRange(0, 5).Draw(s.t, "rare") {
	case 0:
		s.step(startgate.Withdrawn{})
	case 1:
		s.restartAgent()
	case 2:
		s.advance(12 * time.Second) // the VM was suspended
	case 3:
		e.ignoresRecalls = !e.ignoresRecalls
	case 4: // the entry restarts
		s.step(startgate.Disconnected{Entry: e.id})
		e.id.Incarnation++
		e.connected, e.offers = false, nil
		clear(e.pending)
		e.issued = nil
	case 5:
		small := modelAnnounce
		small.Slots, small.Capacity.MilliProcessors = 2, 3000
		s.step(startgate.Announced{Announce: small, Deadline: s.now + time.Second})
	}
}

// advance advances the clock and sends a Tick at each time that NextWake returns.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	for {
		wake, due := s.oracle.machine.NextWake()
		if !due || wake > end {
			break
		}
		before := s.now
		s.now = max(s.now, wake)
		s.step(startgate.Tick{})
		if again, due := s.oracle.machine.NextWake(); due && again <= s.now && before == s.now {
			s.t.Fatalf("NextWake returns %v again after the Tick at %v", again, s.now)
		}
	}
	s.now = end
	if o := s.oracle; end >= min(o.leaseEnd, o.announceEnd) && o.machine.Gauges().Waiting > 0 {
		s.t.Fatalf("a start still waits at %v, after the end of the lease or the announcement", end)
	}
}

// checkQuiescence ends all faults and checks that then every start has an outcome, none runs or waits,
// all results are acknowledged, and every slot is offered to an entry that knows of the offer.
func (s *simulation) checkQuiescence() {
	s.faulty = false
	s.network = nil
	s.refresh(false)
	for i, e := range s.entries {
		e.ignoresRecalls = false
		s.step(startgate.Disconnected{Entry: e.id})
		s.reconnect(i)
	}
	for range 400 {
		for len(s.network) > 0 {
			s.deliver()
		}
		s.endCall()
		s.advance(50 * time.Millisecond)
		s.refresh(false)
	}
	for _, e := range s.entries {
		if len(e.pending) > 0 {
			s.t.Fatalf("entry %v has starts without an outcome: %v", e.id, e.pending)
		}
	}
	g := s.oracle.machine.Gauges()
	held := 0
	for _, e := range s.entries {
		held += len(e.offers)
	}
	if g.Running+g.Waiting != 0 || g.Offers != g.Slots || held != g.Slots || g.Unacked+g.ResultBytes != 0 {
		s.t.Fatalf("not quiescent: %+v; the entries hold %d offers", g, held)
	}
}

var _ = ginkgo.Describe("the machine", func() {
	// Guards against a start that runs twice or after its refusal, a call without a lease or an
	// announcement or while the zone is out, and slots that are offered twice or leak.
	ginkgo.It("keeps its invariants under message loss, delay, duplication, reordering, reconnects and restarts", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			s := newSimulation(t)
			s.refresh(false)
			for i := range s.entries {
				s.reconnect(i)
			}
			for range rapid.IntRange(20, 300).Draw(t, "steps") {
				s.randomStep()
			}
			s.checkQuiescence()
		})
	})
})
