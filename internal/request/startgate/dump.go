package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

// Stats holds counters since the creation of the machine. They never decrease.
type Stats struct {
	Calls          uint64 // calls requested, including those that ended without anything sent to the upstream
	Finished       uint64 // calls with a result
	Refused        uint64 // refusals recorded
	RefusedBusy    uint64 // of these, the refusals because neither a slot nor a queue position was free, or because a limit of records or result bytes was reached
	Repeated       uint64 // starts received again while their record existed
	Unanswerable   uint64 // refusals that could not be recorded, so that the reply was MayHaveRun
	ResultsDropped uint64 // unacknowledged results dropped at the end of their retention
	Offers         uint64 // offers made
	Declined       uint64 // offers returned unused
	Recalls        uint64 // Recall messages sent
	RecallsOverdue uint64 // recalls to which the entry did not reply in time
}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Gauges are current values.
type Gauges struct {
	Slots       int
	Running     int // calls in flight
	Waiting     int // starts that wait for a slot or resources
	Probes      int
	Offers      int // unused offers
	Entries     int // entries with a session
	Records     int // recorded starts
	Unacked     int // results that no entry has acknowledged
	ResultBytes int // size of the unacknowledged results
}

// Gauges returns the current values.
func (m *Machine) Gauges() Gauges {
	g := Gauges{
		Running: m.running, Waiting: m.waitingWithOffer.starts + m.waiting.starts, Probes: m.waiting.probes,
		Offers: len(m.offers), Entries: len(m.entries), Records: len(m.records),
		Unacked: m.unacked, ResultBytes: m.resultBytes,
	}
	if m.announced {
		g.Slots = m.slots()
	}
	return g
}

// Dump is a readable copy of the machine's state.
type Dump struct {
	Incarnation uint64
	Announce    wire.Announce
	Announced   bool
	AnnounceEnd time.Duration
	LeaseEnd    time.Duration
	ZoneOut     bool
	Draining    bool
	Used        job.Resources
	Gauges      Gauges
	Stats       Stats
	Entries     []EntryDump // in the order in which they connected
}

// EntryDump describes one entry with a session.
type EntryDump struct {
	Entry     EntryID
	Demand    int
	Probes    int
	Offers    int
	Recalling int
	Credits   bool // accepts credits
}

// Dump returns a copy of the machine's state for the state dump.
func (m *Machine) Dump() Dump {
	d := Dump{
		Incarnation: m.config.Incarnation, Announce: m.announce, Announced: m.announced,
		AnnounceEnd: m.announceEnd, LeaseEnd: m.leaseEnd, ZoneOut: m.zoneOut, Draining: m.draining,
		Used: m.used, Gauges: m.Gauges(), Stats: m.stats,
	}
	for _, e := range m.entries {
		d.Entries = append(d.Entries, EntryDump{
			Entry: e.id, Demand: e.demand, Probes: e.probes, Offers: e.held, Recalling: e.recalling, Credits: e.credits,
		})
	}
	return d
}
