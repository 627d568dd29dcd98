package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
)

// entry is the state of an entry with a session. Records outlive it and refer to their entry by
// EntryID.
type entry struct {
	id         EntryID
	connected  bool
	retired    bool          // the session is to be closed
	lastDirect time.Duration // arrival of its last direct start

	demand      int // reported queued tasks for which no offer has been made yet
	probeGroups []*waitItem
	probes      int // sum of the groups

	held           int  // unused offers
	recallable     int  // of these, the ones that may be recalled
	credits        bool // it accepts credits
	recalling      int  // number of offers requested by the recall that is awaiting a reply; zero if there is none
	toRecall       int  // number of offers to recall in this step
	recallDeadline time.Duration
	noRecallBefore time.Duration // earliest time of the next recall, after one that returned too few offers

	// IDs of the offers made in this step, which are sent as one message.
	probeOffers []uint64 // for probes
	otherOffers []uint64 // for a demand, and credits
}

func (m *Machine) connect(now time.Duration, id EntryID) {
	if m.byID[id] != nil {
		m.disconnect(now, id)
	}
	for _, other := range m.entries {
		if other.id.ID == id.ID {
			// The earlier incarnation has ended, although its session is not closed yet.
			m.disconnect(now, other.id)
			break
		}
	}
	e := &entry{id: id, connected: true, credits: true, lastDirect: -loadReportPeriod}
	m.byID[id] = e
	m.entries = append(m.entries, e)
	m.announceTo(now, e)
}

// disconnect drops the entry's offers and refuses its waiting starts. After a reconnect the entry
// queries these starts, receives the refusals and may place the tasks elsewhere. The reason is
// RefusedUnknown, as for a queried start that never arrived.
func (m *Machine) disconnect(now time.Duration, id EntryID) {
	e := m.byID[id]
	if e == nil {
		return
	}
	e.connected = false
	delete(m.byID, id)
	for i, known := range m.entries {
		if known == e {
			m.entries = append(m.entries[:i], m.entries[i+1:]...)
			if m.cursor > i {
				m.cursor--
			}
			break
		}
	}
	m.dropOffersAndRequests(e)
	for _, queue := range []*waitQueue{&m.waitingWithOffer, &m.waiting} {
		for w := queue.head; w != nil; {
			next := w.next
			if w.start != nil && w.record.owner == id {
				queue.remove(w)
				m.refuse(now, w.record, wire.RefusedUnknown)
			}
			w = next
		}
	}
}

// retire withdraws the upstream from one entry.
func (m *Machine) retire(id EntryID) {
	e := m.byID[id]
	if e == nil || e.retired {
		return
	}
	e.retired, e.credits = true, false
	m.dropOffersAndRequests(e)
	m.send(e, &wire.Withdraw{})
}

// Retirable reports whether the session with a retired entry can be closed: the agent holds neither a start
// of the entry without an outcome nor a result that the entry has not acknowledged.
func (m *Machine) Retirable(id EntryID) bool {
	e := m.byID[id]
	if e == nil {
		return true
	}
	if !e.retired {
		return false
	}
	for _, r := range m.records {
		if r.owner == id && r.phase <= phaseFinished {
			return false
		}
	}
	return true
}

// dropOffersAndRequests drops the offers, probes and demand of an entry.
func (m *Machine) dropOffersAndRequests(e *entry) {
	m.dropOffers(e)
	for _, group := range e.probeGroups {
		m.waiting.remove(group)
	}
	e.probeGroups, e.probes, e.demand, e.recalling = nil, 0, 0, 0
}
