package runner

import (
	"time"

	"pollenpaddle/internal/model/run"
)

const (
	// startStopTimeout is the timeout of start and stop calls. The worker is on the same host and responds
	// within a few milliseconds. A premature timeout costs one additional renewal call.
	startStopTimeout = 30 * time.Millisecond
	// longPollMargin is added to the time for which a worker may delay its report.
	longPollMargin = 40 * time.Millisecond
)

// CallTimeout returns the time after which a call to the worker counts as unanswered.
func CallTimeout(call Action) time.Duration {
	if renew, ok := call.(Renew); ok {
		return renew.Wait + longPollMargin
	}
	return startStopTimeout
}

// stop asks the worker to stop a run. A run that has not started yet is prevented from starting.
func (m *Machine) stop(r *record) {
	r.phase, r.cancelRequested, r.stopAccepted = stopping, true, false
	m.sendStop(r)
}

func (m *Machine) sendStop(r *record) {
	r.stopRetryAt, r.stopSentAt = 0, m.now
	m.stats.Stops++
	m.emit(Stop{Worker: m.worker.id, Run: r.id, Token: m.worker.token})
}

// confirmRunning records that the worker executes the run, and stops it if that was requested.
func (m *Machine) confirmRunning(now time.Duration, r *record) {
	r.phase, r.confirmedAt = running, now
	if r.cancelRequested {
		m.stop(r)
	}
}

func (m *Machine) startReturned(now time.Duration, e StartReturned) {
	m.leaseCallReturned(leaseCall{kind: startCall, run: e.Run}, e.Result)
	w := &m.worker
	if e.Result == NoResponse && sameIncarnation(w.id, e.Worker) {
		m.noteUnanswered(now)
		m.stats.Unanswered++
		m.raiseAbove(e.Token)
	}
	r := m.records[e.Run]
	if r == nil || r.phase != starting || e.Token == r.token || e.Result != NoResponse {
		m.noteResult(now, e.Worker, e.Result) // the worker may have responded since an earlier copy was sent
	}
	if r == nil || r.phase != starting || !sameIncarnation(w.id, e.Worker) {
		return
	}
	if e.Clock > 0 {
		w.clock, w.clockAt = e.Clock, now
	}
	switch {
	case e.Token != r.token:
		m.earlierCopyReturned(now, r, e.Result)
	case r.copies > 1:
		m.lastCopyReturned(now, r, e)
	case e.Result == Accepted:
		w.heardAt = now
		m.confirmRunning(now, r)
	case e.Result == Fenced:
		m.startFenced(now, r, e)
	case e.Result == NoResponse:
		m.startUnanswered(now, r)
	default:
		m.endUnstarted(now, r, e.Result)
	}
}

// startFenced handles the refusal of a start because the worker has seen a higher fencing token. If this process has
// raised its own token since the call, the start is repeated with it. Otherwise another process of the agent has called
// the worker, which had accepted this token before, and may have reported the run as over: it must not be sent again.
func (m *Machine) startFenced(now time.Duration, r *record, e StartReturned) {
	if e.Token < m.worker.token && !r.cancelRequested {
		r.copies = 0 // the refused call is certainly not carried out
		m.sendStart(now, r)
		return
	}
	m.raiseToken(e.Token)
	m.endUnstarted(now, r, e.Result)
}

// endUnstarted reports a run that the worker has not started and never will as refused, or as stopped if
// its owner has cancelled it.
func (m *Machine) endUnstarted(now time.Duration, r *record, result CallResult) {
	if r.cancelRequested {
		m.endRun(now, r, run.Stopped, 0)
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
	case OtherWorker, NotSent, ConnectionRefused, Fenced:
		reason = run.Closed
	case NoCapacity:
		m.worker.outOfBandWanted = true // the worker may be executing a run without a record; the next report shows it
	}
	m.endRun(now, r, run.Refused, reason)
}

func (m *Machine) stopReturned(now time.Duration, e StopReturned) {
	m.noteResult(now, e.Worker, e.Result)
	r := m.records[e.Run]
	if r == nil {
		// The stop of an unknown run may have returned; the next report shows whether that run is over.
		m.worker.outOfBandWanted = m.worker.outOfBandWanted || len(m.worker.unknownTasks) > 0
		return
	}
	if r.phase != stopping || !sameIncarnation(m.worker.id, e.Worker) {
		return
	}
	switch e.Result {
	case Accepted:
		// The worker lists the end once the stop has completed; a run that never started is not listed.
		r.confirmedAt, r.stopAccepted = now, true
		m.worker.outOfBandWanted = true
	case Fenced:
		m.raiseToken(e.Token)
		m.sendStop(r)
	case NoResponse:
		m.noteUnanswered(now)
		r.backOffStop(now)
		r.stopRetryAt = now + r.stopBackoff
	default:
		r.stopRetryAt = now + stopBackoff
	}
}

// backOffStop sets the backoff after an unanswered stop. It grows while stops fail at once: the worker resets its
// connections, and each stop opens a new one.
func (r *record) backOffStop(now time.Duration) {
	if now >= r.stopSentAt+repeatInterval {
		r.stopBackoff = unansweredBackoff
		return
	}
	r.stopBackoff = min(max(unansweredBackoff, 2*r.stopBackoff), maxStopBackoff)
}
