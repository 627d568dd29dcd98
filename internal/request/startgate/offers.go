package startgate

import (
	"math"
	"time"

	"pollenpaddle/internal/connection/wire"
)

// offer holds one idle slot for one entry.
type offer struct {
	id           uint64
	holder       *entry // nil once used, declined or dropped
	credit       bool   // made without a request of the entry
	recallable   bool
	recallableAt time.Duration
}

// makeOffer offers one available slot to an entry. The message is sent at the end of the step.
func (m *Machine) makeOffer(now time.Duration, to *entry, forProbe, credit bool) {
	m.nextOffer++
	o := &offer{id: m.nextOffer, holder: to, credit: credit, recallable: credit, recallableAt: now + minOfferHold}
	m.offers[o.id] = o
	to.held++
	if credit {
		to.recallable++
	} else {
		m.notYetRecallable.push(o)
	}
	if len(to.probeOffers)+len(to.otherOffers) == 0 {
		m.withUnsentOffers = append(m.withUnsentOffers, to)
	}
	if forProbe {
		to.probeOffers = append(to.probeOffers, o.id)
	} else {
		to.otherOffers = append(to.otherOffers, o.id)
	}
	m.stats.Offers++
}

// flushOffers sends the offers of this step, one message per entry.
func (m *Machine) flushOffers() {
	for _, to := range m.withUnsentOffers {
		if n := len(to.probeOffers); n+len(to.otherOffers) > 0 {
			m.send(to, &wire.Offer{IDs: append(to.probeOffers, to.otherOffers...), Reserved: n})
		}
		to.probeOffers, to.otherOffers = nil, nil
	}
	clear(m.withUnsentOffers)
	m.withUnsentOffers = m.withUnsentOffers[:0]
}

// removeOffer removes and returns the entry's offer with that ID, or nil if the entry does not
// hold it.
func (m *Machine) removeOffer(from *entry, id uint64) *offer {
	o := m.offers[id]
	if o == nil || o.holder != from {
		return nil
	}
	delete(m.offers, id)
	o.holder = nil
	from.held--
	if o.recallable {
		from.recallable--
	}
	return o
}

// markRecallable marks the offers that have become recallable.
func (m *Machine) markRecallable(now time.Duration) {
	for {
		o, ok := m.notYetRecallable.front()
		if !ok || o.recallableAt > now {
			return
		}
		m.notYetRecallable.pop()
		if o.holder != nil {
			o.recallable = true
			o.holder.recallable++
		}
	}
}

// offerIdle offers each available slot to the entry with unmet demand that holds the fewest offers.
// If no entry has demand, it offers the slot as a credit, so that the entry can start its next
// task without requesting an offer.
func (m *Machine) offerIdle(now time.Duration) {
	if m.atRetentionLimit() || m.saturated() {
		return
	}
	// One slot stays available for each waiting direct start. While more slots than that are available,
	// such a start waits only because its need, or that of an earlier start that blocks the queue, does
	// not fit alongside the running starts.
	for m.available() > m.waiting.starts {
		if i := m.fewestOffers(func(e *entry) bool { return e.demand > 0 }); i >= 0 {
			m.entries[i].demand--
			m.makeOffer(now, m.entries[i], false, false)
			m.cursor = i + 1
		} else if i := m.fewestOffers(func(e *entry) bool { return e.credits }); i >= 0 {
			m.makeOffer(now, m.entries[i], false, true)
			m.cursor = i + 1
		} else {
			return
		}
	}
}

// fewestOffers returns the index of the eligible entry that holds the fewest offers, or -1. Ties
// are broken round-robin.
func (m *Machine) fewestOffers(eligible func(*entry) bool) int {
	best := -1
	for k := range m.entries {
		i := (m.cursor + k) % len(m.entries)
		if eligible(m.entries[i]) && (best < 0 || m.entries[i].held < m.entries[best].held) {
			best = i
		}
	}
	return best
}

// shortage describes the need for slots that the available slots do not meet.
type shortage struct {
	// slots is the number of slots needed for waiting direct starts and probes, plus the number by
	// which the slots in use or offered exceed the announced ones.
	slots     int
	demand    int // slots needed for the entries' demand
	leastHeld int // fewest offers held by an entry with demand
	pending   int // offers requested by recalls that are awaiting a reply
}

// recallOffers recalls as many unused offers as are needed elsewhere, from the entries with the
// most recallable offers.
func (m *Machine) recallOffers(now time.Duration) {
	m.endOverdueRecalls(now)
	if m.available() > 0 || len(m.offers) == 0 || m.saturated() {
		return
	}
	s := m.shortage()
	for s.slots+s.demand > s.pending {
		h := m.mostRecallable(now, &s)
		if h == nil {
			break
		}
		h.toRecall++
		s.pending++
	}
	for _, e := range m.entries {
		if e.toRecall > 0 {
			e.recalling, e.toRecall, e.recallDeadline = e.toRecall, 0, now+recallTimeout
			m.stats.Recalls++
			m.send(e, &wire.Recall{Count: e.recalling})
		}
	}
	m.scheduleRecallCheck(now, s.slots+s.demand > s.pending)
}

func (m *Machine) shortage() shortage {
	s := shortage{slots: m.waiting.starts + m.waiting.probes - min(0, m.available()), leastHeld: math.MaxInt}
	for _, e := range m.entries {
		s.demand += e.demand
		s.pending += e.recalling
		if e.demand > 0 {
			s.leastHeld = min(s.leastHeld, e.held)
		}
	}
	return s
}

// mostRecallable returns the entry with the most recallable offers, or nil. An entry with unmet
// demand loses an offer to another entry's demand only if it holds at least two more than the entry
// with demand that holds the fewest.
func (m *Machine) mostRecallable(now time.Duration, s *shortage) *entry {
	var best *entry
	for k := range m.entries {
		e := m.entries[(m.cursor+k)%len(m.entries)]
		switch {
		case e.recalling > 0 || e.recallable <= e.toRecall || now < e.noRecallBefore:
		case s.pending >= s.slots && e.demand > 0 && e.held-e.toRecall < s.leastHeld+2:
		case best == nil || e.recallable-e.toRecall > best.recallable-best.toRecall:
			best = e
		}
	}
	return best
}

// scheduleRecallCheck sets the next time at which recallOffers must run again: when a recall becomes
// overdue or, if more offers are needed than the open recalls request (unmet), when more offers can be
// recalled.
func (m *Machine) scheduleRecallCheck(now time.Duration, unmet bool) {
	consider := func(at time.Duration) {
		if m.nextRecallCheck == 0 || at < m.nextRecallCheck {
			m.nextRecallCheck = at
		}
	}
	for _, e := range m.entries {
		if e.recalling > 0 {
			consider(e.recallDeadline)
		} else if unmet && e.recallable > 0 && now < e.noRecallBefore {
			consider(e.noRecallBefore)
		}
	}
	if o, ok := m.notYetRecallable.front(); ok && unmet {
		consider(o.recallableAt)
	}
}

// endOverdueRecalls drops the offers of entries that have not replied to a recall in time. A start
// that uses such an offer may be in flight; it is then handled as a direct start.
func (m *Machine) endOverdueRecalls(now time.Duration) {
	ended := false
	for _, e := range m.entries {
		if e.recalling > 0 && now >= e.recallDeadline {
			m.stats.RecallsOverdue++
			m.dropOffers(e)
			e.recalling, e.credits = 0, false
			ended = true
		}
	}
	if ended {
		m.runWaiting(now)
		m.offerIdle(now)
	}
}

// dropOffers drops the unused offers of an entry. Their IDs are not reused, so a start that
// names one later is a direct start.
func (m *Machine) dropOffers(e *entry) {
	if e.held > 0 {
		for id, o := range m.offers {
			if o.holder == e { // the random order of the map has no effect
				o.holder = nil
				delete(m.offers, id)
			}
		}
	}
	e.held, e.recallable = 0, 0
	e.probeOffers, e.otherOffers = nil, nil
}

// decline removes returned offers. An entry that returns credits without a recall gets no further
// credits until it sends a Demand message, even one with no queued tasks, or uses an offer.
func (m *Machine) decline(now time.Duration, from *entry, message *wire.Decline) {
	returned := 0
	for _, id := range message.IDs {
		if o := m.removeOffer(from, id); o != nil {
			returned++
			if o.credit && !message.Recalled {
				from.credits = false
			}
		}
	}
	m.stats.Declined += uint64(returned)
	if message.Recalled && from.recalling > 0 {
		if returned < from.recalling {
			from.noRecallBefore = now + minOfferHold
		}
		from.recalling = 0
	}
}

// addProbes appends probes of an entry to the queue. The probes join the entry's newest group if that
// is last in the queue or if the entry has maxProbeGroups groups. Probes beyond maxProbes are dropped,
// and without a valid announcement all are.
func (m *Machine) addProbes(from *entry, count int) {
	count = min(count, maxProbes-from.probes)
	if count <= 0 || !m.announced {
		return
	}
	from.probes += count
	last := m.waiting.tail
	if last == nil || last.entry != from {
		last = nil
		if n := len(from.probeGroups); n >= maxProbeGroups {
			last = from.probeGroups[n-1]
		}
	}
	if last != nil {
		last.probes += count
		m.waiting.probes += count
		return
	}
	group := &waitItem{entry: from, probes: count}
	from.probeGroups = append(from.probeGroups, group)
	m.waiting.push(group)
}

// withdrawProbes removes probes of the entry, newest first.
func (m *Machine) withdrawProbes(from *entry, count int) {
	for count > 0 && len(from.probeGroups) > 0 {
		group := from.probeGroups[len(from.probeGroups)-1]
		n := min(count, group.probes)
		count -= n
		m.removeProbes(group, n)
	}
}

// serveProbes makes offers for a group of probes and returns the number of probes served.
func (m *Machine) serveProbes(now time.Duration, group *waitItem) int {
	if m.saturated() || m.atRetentionLimit() {
		return 0
	}
	n := min(group.probes, m.available())
	for range n {
		m.makeOffer(now, group.entry, true, false)
	}
	m.removeProbes(group, n)
	return n
}

func (m *Machine) removeProbes(group *waitItem, n int) {
	group.probes -= n
	group.entry.probes -= n
	m.waiting.probes -= n
	if group.probes > 0 {
		return
	}
	m.waiting.remove(group)
	groups := group.entry.probeGroups
	for i := range groups {
		if groups[i] == group {
			group.entry.probeGroups = append(groups[:i], groups[i+1:]...)
			return
		}
	}
}
