package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
)

// phase is what has become of a start.
type phase uint8

const (
	phaseWaiting   phase = iota // in a wait list
	phaseRunning                // the upstream is being called
	phaseFinished               // the result is kept until the entry has acknowledged it
	phaseDelivered              // the entry has acknowledged the result
	phaseRefused                // it never ran and never will
)

// record is the evidence about one start. From the moment it has an outcome it is kept for the
// evidence retention, whether acknowledged or not: a late copy of the start must not run.
type record struct {
	id      wire.StartID
	owner   EntryID
	phase   phase
	waiter  *waiter
	need    job.Resources
	outcome wire.Message // Finished or Refused
	bytes   int          // size of the result
	expires time.Duration
}

// expireRecords drops the evidence that is older than its retention.
func (m *Machine) expireRecords(now time.Duration) {
	for {
		r, ok := m.expiry.front()
		if !ok || r.expires > now {
			return
		}
		m.expiry.pop()
		if r.phase == phaseFinished {
			m.releaseResult(r)
			m.markLost(r.owner)
			m.stats.ResultsDropped++
		}
		delete(m.records, r.id)
	}
}

// markLost notes that a result of the entry was dropped unseen. From then on the machine no longer
// claims that a start which the entry asks about never ran.
func (m *Machine) markLost(owner EntryID) {
	if len(m.lost) >= maxLostEntries {
		m.lostAny = true
		return
	}
	m.lost[owner] = struct{}{}
}

func (m *Machine) releaseResult(r *record) {
	m.resultBytes -= r.bytes
	m.unacked--
	r.bytes, r.outcome = 0, nil
}

// finalize gives a record its outcome and starts its retention.
func (m *Machine) finalize(now time.Duration, r *record, p phase, outcome wire.Message) {
	r.phase, r.outcome, r.waiter = p, outcome, nil
	r.expires = now + m.config.EvidenceRetention
	m.expiry.push(r)
}

// refuse records the refusal before it is sent.
func (m *Machine) refuse(now time.Duration, r *record, reason wire.RefusalReason) {
	refused := &wire.Refused{ID: r.id, Reason: reason}
	m.finalize(now, r, phaseRefused, refused)
	m.stats.Refused++
	if reason == wire.RefusedBusy {
		m.stats.RefusedBusy++
	}
	m.send(m.byID[r.owner], refused)
}

// refuseNew refuses a start that the machine has no record of. Without room for another record it
// promises nothing, because an unrecorded refusal could not be kept.
func (m *Machine) refuseNew(now time.Duration, from *entry, id wire.StartID, reason wire.RefusalReason) {
	if len(m.records) >= 2*m.config.MaxRecords {
		m.stats.Unanswerable++
		m.send(from, unknownOutcome(id))
		return
	}
	r := &record{id: id, owner: from.id}
	m.records[id] = r
	m.refuse(now, r, reason)
}

// unknownOutcome is the answer when it is not known whether the start ran.
func unknownOutcome(id wire.StartID) *wire.Finished {
	return &wire.Finished{ID: id, Result: job.Result{
		State: job.MayHaveRun, Kind: failure.MayHaveRun, Message: "the agent keeps no record of the start",
	}}
}

// settleUnseen records the outcome of a start that an entry asks about or cancels and that the
// machine has no record of: it is refused, unless a result of this entry was dropped. Then it is
// unknown whether it ran, and it must not run later.
func (m *Machine) settleUnseen(now time.Duration, from *entry, id wire.StartID, reason wire.RefusalReason) {
	_, lost := m.lost[from.id]
	if !lost && !m.lostAny {
		m.refuseNew(now, from, id, reason)
		return
	}
	unknown := unknownOutcome(id)
	if len(m.records) < 2*m.config.MaxRecords {
		r := &record{id: id, owner: from.id}
		m.records[id] = r
		m.finalize(now, r, phaseRefused, unknown)
	}
	m.send(from, unknown)
}

// evidenceFull reports whether another start could make the machine exceed its bounds. Results
// of calls in flight come on top of the bound in bytes.
func (m *Machine) evidenceFull() bool {
	return len(m.records) >= m.config.MaxRecords || m.resultBytes >= m.config.MaxResultBytes
}

func (m *Machine) acknowledge(from *entry, id wire.StartID) {
	r := m.records[id]
	if r != nil && r.phase == phaseFinished && r.owner == from.id {
		m.releaseResult(r)
		r.phase = phaseDelivered
	}
}

// repeat answers a copy of a known start, or a question about it.
func (m *Machine) repeat(from *entry, r *record) {
	if r.outcome != nil {
		m.send(from, r.outcome)
	}
}

// query answers a question after a reconnect.
func (m *Machine) query(now time.Duration, from *entry, id wire.StartID) {
	r := m.records[id]
	switch {
	case r == nil:
		m.settleUnseen(now, from, id, wire.RefusedUnknown)
	case r.phase == phaseWaiting || r.phase == phaseRunning:
		m.send(from, &wire.Running{ID: id})
	default:
		m.repeat(from, r)
	}
}

// cancel refuses a start that has not begun, seen or not, and asks the shell to stop one that has.
func (m *Machine) cancel(now time.Duration, from *entry, id wire.StartID) {
	r := m.records[id]
	switch {
	case r == nil:
		m.settleUnseen(now, from, id, wire.RefusedCancelled)
	case r.phase == phaseWaiting:
		r.waiter.list.remove(r.waiter)
		m.refuse(now, r, wire.RefusedCancelled)
	case r.phase == phaseRunning:
		m.actions = append(m.actions, StopCall{ID: id})
	default:
		m.repeat(from, r)
	}
}
