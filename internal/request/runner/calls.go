package runner

import (
	"time"

	"pollenpaddle/internal/model/run"
)

const (
	// answerTimeout is the wait for the answer to a call. The worker is on the same machine and answers
	// within a few milliseconds. A timeout that is too short costs one look at the worker.
	answerTimeout = 30 * time.Millisecond
	// reportSlack is added to the time that a worker may wait before it reports.
	reportSlack = 40 * time.Millisecond
)

// CallTimeout is how long the shell waits for the answer to a call.
func CallTimeout(call Action) time.Duration {
	if renew, ok := call.(Renew); ok {
		return renew.Wait + reportSlack
	}
	return answerTimeout
}

// stop asks the worker to end a run. A run that has not begun is kept from beginning.
func (m *Machine) stop(r *record) {
	r.phase, r.cancelled, r.confirmed = stopping, true, false
	m.callStop(r)
}

func (m *Machine) callStop(r *record) {
	r.stopAt = 0
	m.stats.Stops++
	m.act(Stop{Worker: m.worker.id, Run: r.id, Token: m.worker.token})
}

// confirm notes that the worker runs the record.
func (m *Machine) confirm(now time.Duration, r *record) {
	r.phase, r.known = running, now
	if r.cancelled {
		m.stop(r)
	}
}

func (m *Machine) startReturned(now time.Duration, e StartReturned) {
	r := m.records[e.Run]
	if r == nil || r.phase != starting || !sameLife(m.worker.id, e.Worker) {
		return
	}
	w := &m.worker
	if e.Clock > 0 {
		w.clock, w.clockAt = e.Clock, now
	}
	switch e.Result {
	case Accepted:
		w.heardAt = now
		m.confirm(now, r)
	case Fenced:
		m.raiseToken(e.Token)
		m.retryStart(now, r)
	case NoAnswer:
		m.unanswered(now)
		m.stats.Unanswered++
		r.phase, r.known = doubtful, now
		if r.token == w.token {
			w.token += tokenUnit // once the worker has seen it, the start can no longer be carried out
		}
		w.wantLook = true
	default:
		m.refusedByWorker(now, r, e.Result)
	}
}

// retryStart repeats a start that the worker has not carried out because of its token.
func (m *Machine) retryStart(now time.Duration, r *record) {
	if r.cancelled {
		m.settle(now, r, run.Stopped, 0)
		return
	}
	m.callStart(now, r)
}

// refusedByWorker settles a run that the worker has not begun and never will.
func (m *Machine) refusedByWorker(now time.Duration, r *record, result CallResult) {
	if r.cancelled {
		m.settle(now, r, run.Stopped, 0)
		return
	}
	reason := run.Busy
	switch result {
	case Outdated:
		reason = run.Outdated
	case Unfit:
		reason = run.Unfit
	case Unhealthy:
		reason = run.Unhealthy
	case OtherWorker, NotSent:
		reason = run.Closed
	case NoRoom:
		m.worker.wantLook = true // something runs there that is not accounted for
	}
	m.settle(now, r, run.Refused, reason)
}

func (m *Machine) stopReturned(now time.Duration, e StopReturned) {
	r := m.records[e.Run]
	if r == nil {
		m.worker.wantLook = m.worker.wantLook || len(m.worker.strangers) > 0
		return
	}
	if r.phase != stopping || !sameLife(m.worker.id, e.Worker) {
		return
	}
	switch e.Result {
	case Accepted:
		// The end is listed within the time that a stop takes; a run that never began is not.
		r.known, r.confirmed = now, true
		m.worker.wantLook = true
	case Fenced:
		m.raiseToken(e.Token)
		m.callStop(r)
	case NoAnswer:
		m.unanswered(now)
		r.stopAt = now + unansweredRetry
	default:
		r.stopAt = now + stopRetry
	}
}
