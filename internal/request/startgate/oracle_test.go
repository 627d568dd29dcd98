package startgate_test

import (
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/startgate"
)

// oracle checks one machine. It derives from the events and actions what may run; from the machine
// it takes only which offers were dropped after an overdue recall. It fails the test when an action is
// not permitted.
type oracle struct {
	t                *rapid.T
	machine          *startgate.Machine
	called           map[wire.StartID]bool // shared by all incarnations of the agent
	notSent          map[wire.StartID]bool // of these, the ones whose call was not sent
	refused          map[wire.StartID]bool
	announce         wire.Announce
	announceEnd      time.Duration
	leaseEnd         time.Duration
	zoneOut          bool
	draining         bool
	running          map[wire.StartID]job.Task
	waitingWithOffer map[wire.StartID]startgate.EntryID
	holders          map[uint64]startgate.EntryID
	issued           map[uint64]bool
	overdue          uint64
}

func newOracle(t *rapid.T, config startgate.Config, called map[wire.StartID]bool) *oracle {
	return &oracle{
		t: t, machine: startgate.New(config), called: called, refused: map[wire.StartID]bool{}, notSent: map[wire.StartID]bool{},
		running: map[wire.StartID]job.Task{}, waitingWithOffer: map[wire.StartID]startgate.EntryID{}, holders: map[uint64]startgate.EntryID{}, issued: map[uint64]bool{},
	}
}

func (o *oracle) step(now time.Duration, event startgate.Event) []startgate.Action {
	if now >= o.announceEnd {
		clear(o.holders)
	}
	switch e := event.(type) {
	case startgate.Announced:
		if !o.draining {
			o.announce, o.announceEnd = e.Announce, min(e.Deadline, now+3*time.Second)
		}
	case startgate.Withdrawn:
		o.withdraw()
	case startgate.Draining:
		o.draining = true
		o.withdraw()
	case startgate.LeaseChanged:
		o.leaseEnd, o.zoneOut = e.Deadline, e.ZoneOut
	case startgate.Connected:
		o.disconnect(e.Entry)
	case startgate.Disconnected:
		o.disconnect(e.Entry)
	case startgate.CallEnded:
		delete(o.running, e.ID)
		o.notSent[e.ID] = e.NotSent
	case startgate.Received:
		o.receive(e)
	}
	actions := o.machine.Step(now, event)
	o.releaseOverdue()
	for _, action := range actions {
		switch a := action.(type) {
		case startgate.Call:
			o.checkCall(now, a)
		case startgate.Send:
			o.checkSend(a)
		}
	}
	return actions
}

func (o *oracle) withdraw() { o.announceEnd = 0; clear(o.holders) }

func (o *oracle) release(id startgate.EntryID) {
	for offer, holder := range o.holders {
		if holder == id {
			delete(o.holders, offer)
		}
	}
}

// disconnect releases the offers of an entry and removes its waiting starts with an offer. The
// machine refuses these starts without a message.
func (o *oracle) disconnect(id startgate.EntryID) {
	o.release(id)
	for start, owner := range o.waitingWithOffer {
		if owner == id {
			delete(o.waitingWithOffer, start)
		}
	}
}

// releaseOverdue releases the offers that the machine has dropped because their entry did not
// reply to a recall. Such entries have Credits false. Entries that declined credits or are closing
// have it false too; their offers are also released here, although the machine keeps them.
func (o *oracle) releaseOverdue() {
	if overdue := o.machine.Stats().RecallsOverdue; overdue != o.overdue {
		o.overdue = overdue
		for _, e := range o.machine.Dump().Entries {
			if !e.Credits {
				o.release(e.Entry)
			}
		}
	}
}

func (o *oracle) receive(e startgate.Received) {
	switch m := e.Message.(type) {
	case *wire.Start:
		if m.Offer != 0 && o.holders[m.Offer] == e.Entry {
			delete(o.holders, m.Offer)
			if !o.called[m.ID] && !o.refused[m.ID] {
				o.waitingWithOffer[m.ID] = e.Entry
			}
		}
	case *wire.Decline:
		for _, id := range m.IDs {
			if o.holders[id] == e.Entry {
				delete(o.holders, id)
			}
		}
	}
}

func (o *oracle) checkCall(now time.Duration, c startgate.Call) {
	o.check(!o.called[c.ID], "second call of %v", c.ID)
	o.check(!o.refused[c.ID], "call of the refused start %v", c.ID)
	o.check(now < o.leaseEnd, "call at %v, but the lease ended at %v", now, o.leaseEnd)
	o.check(now < o.announceEnd, "call at %v, but the announcement ended at %v", now, o.announceEnd)
	o.check(c.NotAfter <= min(o.leaseEnd, o.announceEnd), "NotAfter is after the end of the lease or the announcement")
	o.check(!o.zoneOut && !o.draining, "call while the zone is out or the agent drains")
	o.called[c.ID], o.running[c.ID] = true, c.Task
	delete(o.waitingWithOffer, c.ID)
	var used job.Resources
	for _, task := range o.running {
		used.MilliProcessors += task.Need.MilliProcessors
		used.MemoryBytes += task.Need.MemoryBytes
		used.Accelerators += task.Need.Accelerators
	}
	o.check(o.announce.Capacity.Covers(used), "resources exceeded: %+v", used)
	o.check(len(o.running) <= o.announce.Slots, "%d calls on %d slots", len(o.running), o.announce.Slots)
	o.check(len(o.running) <= o.announce.Connections, "%d calls on %d connections", len(o.running), o.announce.Connections)
}

func (o *oracle) checkSend(s startgate.Send) {
	switch m := s.Message.(type) {
	case *wire.Refused:
		_, running := o.running[m.ID]
		o.check(!running, "refusal of the running start %v", m.ID)
		o.check(!o.called[m.ID] || o.notSent[m.ID] || m.Reason == wire.RefusedIncarnation,
			"refusal for reason %d of the start %v, which was called", m.Reason, m.ID)
		_, hadOffer := o.waitingWithOffer[m.ID]
		o.check(!hadOffer || m.Reason != wire.RefusedBusy, "a start with an offer was refused as busy")
		o.refused[m.ID] = true
		delete(o.waitingWithOffer, m.ID)
	case *wire.Finished:
		delete(o.waitingWithOffer, m.ID)
	case *wire.Offer:
		for _, id := range m.IDs {
			o.check(!o.issued[id], "the offer ID %d is reused", id)
			o.issued[id] = true
			o.holders[id] = s.Entry
		}
		o.check(len(o.holders)+len(o.running)+len(o.waitingWithOffer) <= o.announce.Slots,
			"%d offers, %d running and %d waiting starts with an offer on %d slots", len(o.holders), len(o.running), len(o.waitingWithOffer), o.announce.Slots)
	}
}

func (o *oracle) check(ok bool, format string, args ...any) {
	if !ok {
		o.t.Fatalf(format, args...)
	}
}
