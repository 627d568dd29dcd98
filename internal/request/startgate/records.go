package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
)

// phase is the state of a start.
type phase uint8

const (
	phaseWaiting      phase = iota // in a wait queue
	phaseRunning                   // the upstream is being called
	phaseFinished                  // the result is kept until the entry has acknowledged it
	phaseAcknowledged              // the entry has acknowledged the result
	phaseRefused                   // it must not run: it was refused, or its outcome is unknown
)

// record holds the state and the outcome of one start. It is kept for RecordRetention after the
// outcome, whether acknowledged or not: a delayed duplicate of the start must not run.
type record struct {
	id      wire.StartID
	owner   EntryID
	phase   phase
	item    *waitItem // while waiting
	need    job.Resources
	outcome wire.Message // Finished or Refused
	bytes   int          // size of the unacknowledged result
	expires time.Duration
}

// expireRecords drops the records whose retention has ended.
func (m *Machine) expireRecords(now time.Duration) {
	for {
		r, ok := m.expiry.front()
		if !ok || r.expires > now {
			return
		}
		m.expiry.pop()
		if r.phase == phaseFinished {
			m.discardResult(r)
			m.markDroppedResult(r.owner)
			m.stats.ResultsDropped++
		}
		delete(m.records, r.id)
	}
}

// markDroppedResult notes that an unacknowledged result of the entry was dropped. From then on a
// missing record no longer proves that a start of this entry has not run.
func (m *Machine) markDroppedResult(owner EntryID) {
	if len(m.droppedResults) >= maxDroppedResultEntries {
		m.droppedResultsFull = true
		return
	}
	m.droppedResults[owner] = struct{}{}
}

func (m *Machine) discardResult(r *record) {
	m.resultBytes -= r.bytes
	m.unacked--
	r.bytes, r.outcome = 0, nil
}

// finalize sets the outcome of a record and starts its retention.
func (m *Machine) finalize(now time.Duration, r *record, p phase, outcome wire.Message) {
	r.phase, r.outcome, r.item = p, outcome, nil
	r.expires = now + m.config.RecordRetention
	m.expiry.push(r)
}

// refuse records a refusal and sends it.
func (m *Machine) refuse(now time.Duration, r *record, reason wire.RefusalReason) {
	refused := &wire.Refused{ID: r.id, Reason: reason}
	m.finalize(now, r, phaseRefused, refused)
	m.stats.Refused++
	if reason == wire.RefusedBusy {
		m.stats.RefusedBusy++
	}
	m.send(m.byID[r.owner], refused)
}

// refuseNew refuses a start that has no record yet, and records the refusal. If no further record is
// allowed, it replies that the outcome is unknown, because a later duplicate of a start whose refusal is
// not recorded could run.
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

// unknownOutcome returns the reply for a start of which it is not known whether it ran.
func unknownOutcome(id wire.StartID) *wire.Finished {
	return &wire.Finished{ID: id, Result: job.Result{
		State: job.MayHaveRun, FailureKind: failure.MayHaveRun, Message: "the agent keeps no record of the start",
	}}
}

// resolveUnrecorded records an outcome for a start that has no record and that an entry queries or
// cancels. The start is refused, unless a result of this entry was dropped: then it is unknown whether
// the start ran. In both cases it must not run later.
func (m *Machine) resolveUnrecorded(now time.Duration, from *entry, id wire.StartID, reason wire.RefusalReason) {
	_, dropped := m.droppedResults[from.id]
	if !dropped && !m.droppedResultsFull {
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

// atRetentionLimit reports whether the limit of records or of result bytes is reached. Results of calls
// in flight may exceed the limit of result bytes.
func (m *Machine) atRetentionLimit() bool {
	return len(m.records) >= m.config.MaxRecords || m.resultBytes >= m.config.MaxResultBytes
}

func (m *Machine) acknowledge(from *entry, id wire.StartID) {
	r := m.records[id]
	if r != nil && r.phase == phaseFinished && r.owner == from.id {
		m.discardResult(r)
		r.phase = phaseAcknowledged
	}
}

// resendOutcome replies to a query, to a cancellation or to a duplicate of a start with the recorded
// outcome, if there is one.
func (m *Machine) resendOutcome(from *entry, r *record) {
	if r.outcome != nil {
		m.send(from, r.outcome)
	}
}

// query replies to an entry that asks for the state of a start after a reconnect.
func (m *Machine) query(now time.Duration, from *entry, id wire.StartID) {
	r := m.records[id]
	switch {
	case r == nil:
		m.resolveUnrecorded(now, from, id, wire.RefusedUnknown)
	case r.phase == phaseWaiting || r.phase == phaseRunning:
		m.send(from, &wire.Running{ID: id})
	default:
		m.resendOutcome(from, r)
	}
}

// cancel refuses a start that has not begun, even if it has not arrived yet, and stops the call of
// one that is running.
func (m *Machine) cancel(now time.Duration, from *entry, id wire.StartID) {
	r := m.records[id]
	switch {
	case r == nil:
		m.resolveUnrecorded(now, from, id, wire.RefusedCancelled)
	case r.phase == phaseWaiting:
		r.item.queue.remove(r.item)
		m.refuse(now, r, wire.RefusedCancelled)
	case r.phase == phaseRunning:
		m.actions = append(m.actions, StopCall{ID: id})
	default:
		m.resendOutcome(from, r)
	}
}
