package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

// slots returns the maximum number of concurrent calls.
func (m *Machine) slots() int { return min(m.announce.Slots, m.announce.Connections) }

// available returns the number of idle slots that are not offered. It is negative after the upstream
// has announced fewer slots than are in use or offered.
func (m *Machine) available() int {
	return m.slots() - m.running - m.waitingWithOffer.starts - len(m.offers)
}

// blockReason returns the reason why no start may run at present, or zero.
func (m *Machine) blockReason(now time.Duration) wire.RefusalReason {
	switch {
	case !m.announced:
		return wire.RefusedLeaving
	case now >= m.leaseEnd:
		return wire.RefusedLeaseExpired
	case m.zoneOut:
		return wire.RefusedZoneOut
	}
	return 0
}

// neverFits reports whether the declared need exceeds the whole capacity or is negative in a
// dimension.
func (m *Machine) neverFits(need job.Resources) bool {
	return !need.Covers(job.Resources{}) || !m.announce.Capacity.Covers(need)
}

// fits reports whether the need fits alongside the running starts.
func (m *Machine) fits(need job.Resources) bool {
	return m.announce.Capacity.Covers(job.Sum(m.used, need))
}

// saturated reports whether the running starts use all processors or all memory, so that few starts
// could use another slot.
func (m *Machine) saturated() bool {
	c := m.announce.Capacity
	return c.MilliProcessors > 0 && m.used.MilliProcessors >= c.MilliProcessors ||
		c.MemoryBytes > 0 && m.used.MemoryBytes >= c.MemoryBytes
}

// handleStart queues a start or refuses it. Whether a waiting start runs at once is decided at the
// end of the step.
func (m *Machine) handleStart(now time.Duration, from *entry, message *wire.Start) {
	hasOffer := m.removeOffer(from, message.Offer) != nil
	if known := m.records[message.ID]; known != nil {
		m.stats.Repeated++
		m.resendOutcome(from, known)
		return
	}
	if hasOffer {
		from.credits = true
	} else {
		from.lastDirect, m.lastDirect = now, now
	}
	reason := m.refusal(now, message)
	if reason == 0 && !hasOffer && !m.canQueue() {
		reason = wire.RefusedBusy
	}
	if reason != 0 {
		m.refuseNew(now, from, message.ID, reason)
		if reason == wire.RefusedBusy {
			load := m.load()
			m.send(from, &load)
		}
		return
	}
	r := &record{id: message.ID, owner: from.id, need: message.Task.Need}
	r.item = &waitItem{start: message, record: r}
	m.records[r.id] = r
	if hasOffer {
		m.waitingWithOffer.push(r.item)
	} else {
		m.waiting.push(r.item)
	}
}

// refusal returns the reason to refuse a start, or zero.
func (m *Machine) refusal(now time.Duration, message *wire.Start) wire.RefusalReason {
	if message.AgentIncarnation != m.config.Incarnation {
		return wire.RefusedIncarnation
	}
	if reason := m.blockReason(now); reason != 0 {
		return reason
	}
	if m.neverFits(message.Task.Need) {
		return wire.RefusedNeverFits
	}
	return 0
}

// canQueue reports whether a direct start can be queued. It cannot if a limit of records or
// result bytes is reached: an outcome that an entry may still query would have to be dropped.
func (m *Machine) canQueue() bool {
	if m.atRetentionLimit() {
		return false
	}
	return m.waiting.starts < m.config.QueueLimit || m.waiting.head == nil && m.available() > 0
}

// serve refuses the waiting starts if no start may run at present. Otherwise, below the limit of result
// bytes, it runs those that can run now, offers the remaining idle slots and recalls offers. In any case
// it then sends the offers of the step and a changed load.
func (m *Machine) serve(now time.Duration) {
	m.nextRecallCheck = 0
	if reason := m.blockReason(now); reason != 0 {
		m.refuseWaiting(now, reason)
	} else if m.resultBytes < m.config.MaxResultBytes {
		m.runWaiting(now)
		m.offerIdle(now)
		m.recallOffers(now)
	}
	m.flushOffers()
	m.sendLoad(now)
}

// refuseWaiting refuses all waiting starts. Probes stay queued.
func (m *Machine) refuseWaiting(now time.Duration, reason wire.RefusalReason) {
	for _, queue := range []*waitQueue{&m.waitingWithOffer, &m.waiting} {
		if queue.starts == 0 {
			continue
		}
		for w := queue.head; w != nil; {
			next := w.next
			if w.start != nil {
				queue.remove(w)
				m.refuse(now, w.record, reason)
			}
			w = next
		}
	}
}

// runWaiting runs waiting starts and makes offers for probes, in order. A start whose need does not fit
// alongside the running ones is bypassed, but at most maxBypasses times.
func (m *Machine) runWaiting(now time.Duration) {
	var unfit *waitItem // the oldest start that does not fit
	for _, queue := range []*waitQueue{&m.waitingWithOffer, &m.waiting} {
		for w := queue.head; w != nil; {
			next := w.next
			if m.running >= m.slots() || queue == &m.waiting && m.available() <= 0 {
				return
			}
			if unfit != nil && unfit.bypassed >= maxBypasses {
				return
			}
			switch served := m.serveItem(now, w); {
			case served > 0 && unfit != nil:
				unfit.bypassed += served
			case served == 0 && unfit == nil && w.start != nil && w.queue != nil:
				unfit = w
			}
			w = next
		}
	}
}

// serveItem runs a start or makes offers for probes, and returns the number of starts and probes served.
func (m *Machine) serveItem(now time.Duration, w *waitItem) int {
	switch {
	case w.start == nil:
		return m.serveProbes(now, w)
	case m.neverFits(w.record.need): // the announced capacity has decreased
		w.queue.remove(w)
		m.refuse(now, w.record, wire.RefusedNeverFits)
		return 0
	case !m.fits(w.record.need):
		return 0
	}
	w.queue.remove(w)
	r := w.record
	r.phase, r.item = phaseRunning, nil // before the call, so that a duplicate cannot run
	m.running++
	m.used = job.Sum(m.used, r.need)
	m.stats.Calls++
	m.actions = append(m.actions, Call{ID: r.id, Task: w.start.Task, NotAfter: min(m.leaseEnd, m.announceEnd)})
	return 1
}

func (m *Machine) callEnded(now time.Duration, e CallEnded) {
	r := m.records[e.ID]
	if r == nil || r.phase != phaseRunning {
		return
	}
	m.running--
	m.used = job.Difference(m.used, r.need)
	if e.NotSent {
		m.refuse(now, r, wire.RefusedUnreachable)
		return
	}
	r.bytes = resultBytes(&e.Result)
	m.resultBytes += r.bytes
	m.unacked++
	m.stats.Finished++
	finished := &wire.Finished{ID: r.id, Result: e.Result}
	m.finalize(now, r, phaseFinished, finished)
	m.send(m.byID[r.owner], finished)
}

func resultBytes(result *job.Result) int {
	size := len(result.Body) + len(result.Message)
	for _, header := range result.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}
