package runner

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/estimate"
)

// workerState is the known state of the worker.
type workerState struct {
	present  bool
	id       Worker
	sequence uint64 // of the last announcement
	service  string
	rack     string
	labels   []string
	capacity job.Resources
	leaving  bool
	departed bool // the worker has reported that it shuts down; its lease is not renewed any more

	token     uint64 // fencing token of the next call
	tokenStep uint64 // by which the token was last raised; zero once it is accepted
	// tokenAccepted is set once the worker has accepted the fencing token: from then on it refuses calls
	// with a lower one, so no call of an earlier process of the agent can take effect.
	tokenAccepted bool

	reportClock time.Duration // worker's clock in the latest report
	clock       time.Duration // worker's clock at clockAt
	clockAt     time.Duration
	heardAt     time.Duration // time of the last report or accepted start
	leaseEnd    time.Duration // as Machine.leaseEnd, without the pending calls
	// leaseRequested is the latest end of a lease that was requested, on the agent's clock.
	leaseRequested time.Duration
	// leaseAssured is like leaseRequested, but without renewals that the worker has not accepted.
	leaseAssured  time.Duration
	longPollLease time.Duration // end of the lease in the last long poll; zero if it contained none
	// outOfBandLeases are the leases in the pending out-of-band calls and in some earlier ones.
	outOfBandLeases []sentLease

	speed estimate.Slowness // relative to the predictions of the entries

	failures  int    // consecutive jobs with a failed run
	failedJob string // last of these jobs
	failedAt  time.Duration

	lastEnd         uint64 // number of the last end that was received
	longPollActive  bool   // the long poll is pending
	outOfBandActive int    // pending out-of-band calls
	nextLongPollAt  time.Duration
	outOfBandWanted bool
	nextOutOfBandAt time.Duration // earliest time of the next out-of-band call
	renewBackoff    time.Duration // last backoff after a failed renewal; zero after a report or an announcement
	// lossyUntil is when calls are expected to be answered again, and reportsLostUntil the same for renewals.
	lossyUntil       time.Duration
	reportsLostUntil time.Duration
	reportLostAt     time.Duration // time of the last unanswered renewal
	// refusing is set when connections are refused, until the worker responds to a call or announces itself.
	refusing     bool
	failingSince time.Duration // first call without a response since the last response; zero if there is none
	crashChecked bool          // reportCrash was called for a refused connection since the last response

	// unknownTasks are the tasks of runs in the last report that have no record: an earlier process of
	// the agent started them, or a start was executed late.
	unknownTasks map[run.TaskID]bool
}

// workerAnnounced applies an announcement of the worker. It is ignored if it is older than the last one, if
// its incarnation was born before the known one, or if it comes from a worker with another id while the known
// one may still be alive.
func (m *Machine) workerAnnounced(now time.Duration, e WorkerAnnounced) {
	w := &m.worker
	if w.id == e.Worker && e.Sequence <= w.sequence {
		return // a later announcement was processed already; the worker may have left since
	}
	if w.present && w.id != e.Worker && (e.Worker.Born < w.id.Born || m.mayStillBeAlive(now, e.Worker)) {
		return
	}
	if !w.present || w.id != e.Worker {
		m.replaceWorker(now, e.Worker)
	}
	if w.renewBackoff > 0 {
		w.renewBackoff, w.nextLongPollAt = 0, now
	}
	w.refusing = false
	w.sequence, w.service, w.rack, w.labels = e.Sequence, e.Service, e.Rack, e.Labels
	w.capacity, w.leaving = e.Capacity, e.Leaving
	if e.Clock > 0 && w.clockAt == 0 {
		w.clock, w.clockAt = e.Clock, now
	}
}

// mayStillBeAlive reports whether the known worker may still be alive when a worker with another id
// announces itself.
func (m *Machine) mayStillBeAlive(now time.Duration, next Worker) bool {
	w := &m.worker
	return w.id.ID != next.ID && (now < w.heardAt+silentAfter || len(m.startedByTask) > 0 && now < m.leaseEnd())
}

// replaceWorker switches to another incarnation of the worker. The runs of the previous one are over, but calls name
// only the ID of the worker: one with the same ID may have carried out starts that were meant for the previous one, and
// may still do so until it has seen a higher token. Its first report under such a token shows which runs it has.
func (m *Machine) replaceWorker(now time.Duration, id Worker) {
	w := &m.worker
	sameID := w.id.ID == id.ID
	token := w.token
	if sameID {
		token += tokenIncrement // a start call of a run that is over may still be carried out
	}
	for _, r := range m.startedByArrival() {
		if !sameID {
			m.endRun(now, r, run.Lost, run.WorkerReplaced)
			continue
		}
		r.phase, r.confirmedAt = unconfirmed, now
		r.stopAccepted, r.stopRetryAt = false, 0
	}
	*w = workerState{present: true, id: id, token: token, tokenStep: w.tokenStep, nextLongPollAt: now, leaseEnd: w.leaseEnd}
}

// workerLeft stops the use of a worker that is shutting down. It shuts down when the response to its message has arrived,
// or later: a run in progress is over when the worker reports so or its lease has expired.
func (m *Machine) workerLeft(id string) {
	w := &m.worker
	if w.present && w.id.ID == id {
		w.departed = true
		m.forgetDeparted()
	}
}

// forgetDeparted forgets a worker that has left and has no runs.
func (m *Machine) forgetDeparted() {
	if w := &m.worker; w.departed && len(m.startedByTask) == 0 {
		w.present, w.departed, w.tokenAccepted = false, false, false
	}
}

// maxLeaseTime returns the time on the agent's clock after which a lease of LeaseTerm has certainly
// expired.
func (m *Machine) maxLeaseTime() time.Duration {
	return maxElapsed(m.config.LeaseTerm)
}

// onWorkerClock converts a time on the agent's clock to the worker's clock.
func (w *workerState) onWorkerClock(at time.Duration) time.Duration {
	return w.clock + (at - w.clockAt)
}

// expireLease reports the runs as lost if the worker sent no report until its lease expired. An undecided run is kept
// while its start may still be carried out: a worker that has restarted with the same ID does so, because the lease in
// the call refers to the clock of its previous incarnation.
func (m *Machine) expireLease(now time.Duration) {
	w := &m.worker
	if !w.present || now < m.leaseEnd() || now < w.heardAt+silentAfter && !w.departed {
		return
	}
	for _, r := range m.startedByArrival() {
		if !r.undecided() || now >= r.confirmedAt+lateCallPeriod {
			m.endRun(now, r, run.Lost, run.LeaseExpired)
		}
	}
}

// allRunsKnown reports whether the records include every run that may be executing on the worker: it has accepted the
// fencing token and reports no unknown runs, or all earlier leases have expired.
func (m *Machine) allRunsKnown(now time.Duration) bool {
	w := &m.worker
	return w.tokenAccepted && len(w.unknownTasks) == 0 || now >= m.leaseEnd()
}

// state returns the worker's state as sent to an entry.
func (m *Machine) state(now time.Duration, o *owner) wire.WorkerState {
	w := &m.worker
	state := wire.WorkerState{
		Service: w.service, Rack: w.rack, Labels: w.labels, Capacity: w.capacity, Free: job.Difference(w.capacity, m.used),
		Open: m.acceptsStarts(now) && !o.retired, Failures: w.failures, Orders: o.lastOrder,
	}
	var own []int // runs of the owner, by element of state.Waiting
	for _, r := range m.queue {
		at, found := slices.BinarySearchFunc(state.Waiting, r.priority, func(w wire.WaitingRuns, priority int) int { return w.Priority - priority })
		if !found {
			state.Waiting = slices.Insert(state.Waiting, at, wire.WaitingRuns{Priority: r.priority})
			own = slices.Insert(own, at, 0)
		}
		waitingRuns := &state.Waiting[at]
		waitingRuns.Need = job.Sum(waitingRuns.Need, r.need)
		if r.owner == o.id {
			own[at]++
		}
		waitingRuns.LimitReached = own[at] >= max(1, o.waitingLimit)
	}
	return state
}

// sendDueRenewals sends a renewal when the long poll or an out-of-band call is due.
func (m *Machine) sendDueRenewals(now time.Duration) {
	w := &m.worker
	if !w.present {
		return
	}
	w.outOfBandWanted = w.outOfBandWanted || m.renewEarly(now) || m.repeatsReports(now) && now >= w.nextOutOfBandAt
	if !w.longPollActive && now >= w.nextLongPollAt {
		w.longPollActive = true
		wait := longPollWait
		switch {
		case !w.tokenAccepted:
			wait = 0
		case now < w.lossyUntil:
			wait = lossyLongPollWait
		}
		m.sendRenew(now, wait, false)
	}
	if w.outOfBandWanted && m.outOfBandPermitted(now) && now >= w.nextOutOfBandAt {
		if m.repeatsReports(now) {
			w.nextOutOfBandAt = now + reportInterval
		}
		w.outOfBandWanted = false
		w.outOfBandActive++
		m.sendRenew(now, 0, true)
	}
}

// sendRenew sends a renewal. It extends the lease up to leaseLimit unless there are no runs, the worker has left or is
// silent: a call that is executed late must not extend a lease that counts as expired here.
func (m *Machine) sendRenew(now, wait time.Duration, outOfBand bool) {
	w := &m.worker
	renew := Renew{Worker: w.id, Token: w.token, Acknowledged: w.lastEnd, Wait: wait, OutOfBand: outOfBand}
	lease := time.Duration(0)
	if len(m.startedByTask) > 0 && now < w.heardAt+silentAfter && !w.departed && m.leaseLimit(now) > now {
		lease = m.requestLease(now, renewCall(outOfBand))
		renew.Until = w.onWorkerClock(lease)
	} else {
		m.leaseCallSent(renewCall(outOfBand), 0)
	}
	if outOfBand {
		w.outOfBandLeases = append(w.outOfBandLeases, sentLease{sentAt: now, end: lease})
		w.outOfBandLeases = w.outOfBandLeases[max(0, len(w.outOfBandLeases)-2*maxOutOfBand):]
	} else {
		w.longPollLease = lease
	}
	m.stats.Renewals++
	m.emit(renew)
}

// raiseToken chooses a fencing token above one that the worker has refused. The step doubles, so that few
// calls are enough to exceed a much higher token.
func (m *Machine) raiseToken(refused uint64) {
	w := &m.worker
	if refused < w.token {
		return // already raised
	}
	w.tokenStep = max(tokenIncrement, 2*w.tokenStep)
	w.token = refused + w.tokenStep
	w.tokenAccepted = false
	m.stats.TokensRaised++
}

func (m *Machine) renewed(now time.Duration, e Renewed) {
	m.leaseCallReturned(renewCall(e.OutOfBand), e.Result)
	m.noteResult(now, e.Worker, e.Result)
	w := &m.worker
	if !w.present || !sameIncarnation(w.id, e.Worker) {
		return
	}
	if e.OutOfBand {
		w.outOfBandActive = max(0, w.outOfBandActive-1)
	} else {
		w.longPollActive, w.nextLongPollAt = false, now
	}
	switch e.Result {
	case Accepted:
		m.applyReport(now, e)
	case Fenced:
		m.raiseToken(e.Token)
	default:
		m.stats.RenewalsFailed++
		retry := w.backOff()
		if e.Result == NoResponse {
			m.noteUnanswered(now)
			retry = unansweredBackoff
			if now >= e.Sent+repeatInterval {
				m.noteReportLost(now)
			} else if w.renewBackoff > minRenewBackoff {
				retry = 2 * unansweredBackoff // calls fail at once, so each opens a connection and delays no report
			}
		}
		switch {
		case e.OutOfBand && m.repeatsReports(now): // further calls are pending or due
		case e.OutOfBand:
			w.outOfBandWanted, w.nextOutOfBandAt = m.anyAwaitingReport(), now+retry
		default:
			w.nextLongPollAt = now + retry
		}
	}
}

// backOff increases and returns the backoff after a failed renewal.
func (w *workerState) backOff() time.Duration {
	w.renewBackoff = min(max(minRenewBackoff, 2*w.renewBackoff), maxRenewBackoff)
	return w.renewBackoff
}

// noteUnanswered records that a call was not answered.
func (m *Machine) noteUnanswered(now time.Duration) { m.worker.lossyUntil = now + lossyPeriod }

// sameIncarnation reports whether two identities may denote the same incarnation. An unknown Born
// matches any other.
func sameIncarnation(a, b Worker) bool {
	return a.ID == b.ID && (a.Born == b.Born || a.Born == 0 || b.Born == 0)
}

// anyAwaitingReport reports whether the next report is needed to determine the state of a run.
func (m *Machine) anyAwaitingReport() bool {
	for _, r := range m.startedByTask {
		if r.phase == unconfirmed || r.phase == stopping && r.stopAccepted {
			return true
		}
	}
	return false
}

// applyReport applies a report of the worker.
func (m *Machine) applyReport(now time.Duration, e Renewed) {
	w := &m.worker
	if born := e.Report.Born; born != 0 && w.id.Born != 0 && born != w.id.Born {
		if born > w.id.Born {
			m.replaceWorker(now, Worker{ID: w.id.ID, Born: born})
		}
		return // the new incarnation announces itself
	}
	if e.Token == w.token {
		w.tokenAccepted = true
		w.tokenStep = 0
	}
	w.heardAt, w.renewBackoff = now, 0
	if e.OutOfBand {
		w.leaseAssured = max(w.leaseAssured, w.outOfBandLease(e.Sent))
	} else {
		w.leaseAssured = max(w.leaseAssured, w.longPollLease)
	}
	overtaken := e.Report.Clock > 0 && e.Report.Clock < w.reportClock
	if e.Report.Clock > 0 && !overtaken {
		w.clock, w.clockAt, w.reportClock = e.Report.Clock, now, e.Report.Clock
	}
	for _, end := range e.Report.Ended {
		m.runEnded(now, end)
	}
	if overtaken {
		return // runs that it lists may have ended in a later report
	}
	listed := make(map[run.ID]bool, len(e.Report.Running))
	for _, id := range e.Report.Running {
		listed[id] = true
	}
	m.reconcile(now, e, listed)
	m.stopUnknownRuns(e.Report.Running)
}

// runEnded processes an end that the worker reports.
func (m *Machine) runEnded(now time.Duration, end RunEnd) {
	w := &m.worker
	if end.Number <= w.lastEnd {
		return
	}
	w.lastEnd = end.Number
	r := m.records[end.Run]
	if r == nil || r.phase == waiting {
		return
	}
	w.countFailure(now, end, r.startedAt)
	outcome, reason := end.Outcome, run.Reason(0)
	if outcome == run.Stopped && !r.cancelRequested {
		outcome = run.Lost
	}
	if outcome == run.Lost {
		reason = run.EndedByWorker
	}
	m.endRun(now, r, outcome, reason)
}

// countFailure counts consecutive jobs with a failed run. Several failed runs of one job count once,
// because the job itself may be the cause. The success of a run that started before the last failure
// does not reset the count, because it says nothing about the worker after that failure.
func (w *workerState) countFailure(now time.Duration, end RunEnd, startedAt time.Duration) {
	switch {
	case end.Outcome == run.Done && startedAt >= w.failedAt:
		w.failures, w.failedJob = 0, ""
	case end.Outcome == run.Failed && end.Run.Task.Job != w.failedJob:
		w.failures, w.failedJob, w.failedAt = w.failures+1, end.Run.Task.Job, now
	}
}

// reconcile compares the records with a report. A run that is not listed is over in two cases: its phase is
// running or its stop was accepted, and the worker confirmed the start or accepted the stop before the
// renewal was sent; or its start is unconfirmed and had a lower token than the renewal.
func (m *Machine) reconcile(now time.Duration, e Renewed, listed map[run.ID]bool) {
	sent := e.Sent
	for _, r := range m.startedByArrival() {
		isListed := listed[r.id]
		switch {
		case r.undecided() && isListed:
			m.confirmRunning(now, r)
		case r.phase == unconfirmed && e.Token > r.token:
			m.endRun(now, r, run.Lost, run.NotReported)
		case r.phase == unconfirmed:
			m.worker.outOfBandWanted = true
		case r.phase == running && !isListed && sent > r.confirmedAt:
			m.endRun(now, r, run.Lost, run.NotReported)
		case r.phase == stopping && !isListed && r.stopAccepted && sent > r.confirmedAt:
			m.endRun(now, r, run.Stopped, 0)
		}
	}
}

// stopUnknownRuns stops runs on the worker that have no record.
func (m *Machine) stopUnknownRuns(listed []run.ID) {
	w := &m.worker
	w.unknownTasks = nil
	for _, id := range listed {
		if m.records[id] != nil {
			continue
		}
		if w.unknownTasks == nil {
			w.unknownTasks = map[run.TaskID]bool{}
		}
		w.unknownTasks[id.Task] = true
		m.stats.Strangers++
		m.stats.Stops++
		m.emit(Stop{Worker: w.id, Run: id, Token: w.token})
	}
}

func (m *Machine) eachWorkerDeadline(consider func(time.Duration)) {
	w := &m.worker
	if !w.present {
		return
	}
	if !w.longPollActive {
		consider(w.nextLongPollAt)
	}
	if w.outOfBandWanted && m.outOfBandPermitted(m.now) || m.repeatsReports(m.now) {
		consider(w.nextOutOfBandAt)
	}
	consider(w.heardAt + silentAfter)
	consider(m.leaseEnd())
	if len(m.startedByTask) > 0 {
		consider(w.leaseAssured - earlyRenewal)
	}
}
