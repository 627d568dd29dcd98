package runner

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// workerState is what is known of the worker.
type workerState struct {
	present  bool
	id       Worker
	sequence uint64 // of the newest announcement
	service  string
	rack     string
	labels   []string
	capacity job.Resources
	leaving  bool

	token     uint64
	tokenStep uint64
	// claimed is set once the worker has accepted the token: from then on it carries out no call
	// with a lower one, so nothing that an earlier process of the agent sent can take effect.
	claimed bool

	clock    time.Duration // worker's clock at clockAt
	clockAt  time.Duration
	heardAt  time.Duration // of the newest report or announcement of a claimed worker
	leaseEnd time.Duration // when everything that was ever started has lapsed without a renewal

	failures  int    // jobs in a row of which a run has failed
	failedJob string // the last of them
	failedAt  time.Duration

	seen     uint64 // number of the newest end
	renewing bool   // the call that waits for ends is under way
	looking  bool   // an extra call is under way
	renewAt  time.Duration
	wantLook bool
	lookAt   time.Duration // earliest time of the next extra call
	retry    time.Duration // last wait after renewals that the worker did not get
	// lossyUntil is when calls count as reliable again.
	lossyUntil time.Duration

	// strangers are the tasks of runs in the newest report that no entry has ordered from this
	// process: an earlier process of the agent has, or an order was carried out late.
	strangers map[run.Task]bool
}

// announced takes what the worker says of itself.
func (m *Machine) announced(now time.Duration, e WorkerAnnounced) {
	w := &m.worker
	if w.present && w.id == e.Worker && e.Sequence <= w.sequence {
		return // overtaken by a later one
	}
	if w.present && w.id != e.Worker && (e.Worker.Born < w.id.Born || m.mayStillRun(now, e.Worker)) {
		return
	}
	if !w.present || w.id != e.Worker {
		m.replaceWorker(now, e.Worker)
	}
	if w.retry > 0 {
		w.retry, w.renewAt = 0, now
	}
	w.sequence, w.service, w.rack, w.labels = e.Sequence, e.Service, e.Rack, e.Labels
	w.capacity, w.leaving = e.Capacity, e.Leaving
	if e.Clock > 0 && w.clockAt == 0 {
		w.clock, w.clockAt = e.Clock, now
	}
}

// mayStillRun reports whether the known worker may be alive beside one with another id.
func (m *Machine) mayStillRun(now time.Duration, next Worker) bool {
	w := &m.worker
	return w.id.ID != next.ID && (now < w.heardAt+silentAfter || len(m.byTask) > 0 && now < w.leaseEnd)
}

// replaceWorker adopts another life of the worker. What ran in the one before is over.
func (m *Machine) replaceWorker(now time.Duration, id Worker) {
	w := &m.worker
	for _, r := range m.byArrival() {
		m.settle(now, r, run.Lost, 0)
	}
	*w = workerState{present: true, id: id, token: w.token, tokenStep: w.tokenStep, renewAt: now, leaseEnd: w.leaseEnd}
}

func (m *Machine) workerLeft(id string) {
	w := &m.worker
	if !w.present || w.id.ID != id {
		return
	}
	for _, r := range m.byArrival() {
		m.settle(0, r, run.Lost, 0)
	}
	w.present, w.claimed = false, false
}

// leaseBound is the time on the agent's clock in which a lease of LeaseTerm lapses for certain.
func (m *Machine) leaseBound() time.Duration {
	return m.config.LeaseTerm*(100+clockRateAllowance)/100 + leaseSlack
}

// until is the end of a lease that begins now, on the worker's clock.
func (m *Machine) until(now time.Duration) time.Duration {
	w := &m.worker
	return w.clock + (now - w.clockAt) + m.config.LeaseTerm
}

func (m *Machine) extendLease(now time.Duration) {
	m.worker.leaseEnd = max(m.worker.leaseEnd, now+m.leaseBound())
}

// expireLease settles all runs of a worker that has been silent until its lease has lapsed.
func (m *Machine) expireLease(now time.Duration) {
	w := &m.worker
	if !w.present || now < w.leaseEnd || now < w.heardAt+silentAfter {
		return
	}
	for _, r := range m.byArrival() {
		m.settle(now, r, run.Lost, 0)
	}
}

// accountable reports whether the machine knows of everything that may run on the worker: the
// worker obeys its token, or what ran before has lapsed.
func (m *Machine) accountable(now time.Duration) bool {
	w := &m.worker
	left := !w.present && w.id != Worker{}
	return left || w.claimed && len(w.strangers) == 0 || now >= w.leaseEnd
}

// state describes the worker for an entry.
func (m *Machine) state(now time.Duration, o *owner) wire.WorkerState {
	w := &m.worker
	state := wire.WorkerState{
		Service: w.service, Rack: w.rack, Labels: w.labels, Capacity: w.capacity, Free: job.Difference(w.capacity, m.used),
		Open: m.open(now), Failures: w.failures, Orders: o.orders,
	}
	for _, r := range m.queue {
		last := len(state.Waiting) - 1
		if last < 0 || state.Waiting[last].Priority != r.priority {
			state.Waiting = append(state.Waiting, wire.WaitingRuns{Priority: r.priority})
			last++
		}
		level := &state.Waiting[last]
		level.Need = job.Sum(level.Need, r.need)
		level.Own = level.Own || r.owner == o.id
	}
	return state
}

// renewDue calls the worker when a renewal or an extra look is due.
func (m *Machine) renewDue(now time.Duration) {
	w := &m.worker
	if !w.present {
		return
	}
	if !w.renewing && now >= w.renewAt {
		w.renewing = true
		wait := renewWait
		switch {
		case !w.claimed:
			wait = 0
		case now < w.lossyUntil:
			wait = lossyWait
		}
		m.callRenew(now, wait, false)
	}
	if w.wantLook && !w.looking && now >= w.lookAt {
		w.wantLook, w.looking = false, true
		m.callRenew(now, 0, true)
	}
}

// callRenew renews the lease unless there is nothing to hold or the worker is silent: a call that it
// carries out late must not prolong what counts as lapsed here.
func (m *Machine) callRenew(now, wait time.Duration, look bool) {
	w := &m.worker
	renew := Renew{Worker: w.id, Token: w.token, Acknowledged: w.seen, Wait: wait, OutOfBand: look}
	if len(m.byTask) > 0 && now < w.heardAt+silentAfter {
		m.extendLease(now)
		renew.Until = m.until(now)
	}
	m.stats.Renewals++
	m.act(renew)
}

// raiseToken picks a token above one that the worker has refused. The step doubles, so that a token
// that is far behind catches up in few calls.
func (m *Machine) raiseToken(refused uint64) {
	w := &m.worker
	if refused < w.token {
		return // raised since
	}
	w.tokenStep = max(tokenUnit, 2*w.tokenStep)
	w.token = refused + w.tokenStep
	w.claimed = false
	m.stats.TokensRaised++
}

func (m *Machine) renewed(now time.Duration, e Renewed) {
	w := &m.worker
	if !w.present || !sameLife(w.id, e.Worker) {
		return
	}
	if e.OutOfBand {
		w.looking = false
	} else {
		w.renewing, w.renewAt = false, now
	}
	switch e.Result {
	case Accepted:
		m.reported(now, e)
	case Fenced:
		m.raiseToken(e.Token)
	default:
		m.stats.RenewalsFailed++
		retry := w.backOff()
		if e.Result == NoAnswer {
			m.unanswered(now)
			retry = unansweredRetry
		}
		if e.OutOfBand {
			w.wantLook, w.lookAt = m.anyDoubtful(), now+retry
		} else {
			w.renewAt = now + retry
		}
	}
}

// backOff returns the wait after a renewal that the worker did not get.
func (w *workerState) backOff() time.Duration {
	w.retry = min(max(renewRetry, 2*w.retry), maxRenewRetry)
	return w.retry
}

// unanswered notes that a call got no answer.
func (m *Machine) unanswered(now time.Duration) { m.worker.lossyUntil = now + lossyTime }

// sameLife reports whether two identities mean the same life; one without Born matches any.
func sameLife(a, b Worker) bool {
	return a.ID == b.ID && (a.Born == b.Born || a.Born == 0 || b.Born == 0)
}

func (m *Machine) anyDoubtful() bool {
	for _, r := range m.byTask {
		if r.phase == doubtful {
			return true
		}
	}
	return false
}

// reported adopts a report of the worker.
func (m *Machine) reported(now time.Duration, e Renewed) {
	w := &m.worker
	if born := e.Report.Born; born != 0 && w.id.Born != 0 && born != w.id.Born {
		if born > w.id.Born {
			m.replaceWorker(now, Worker{ID: w.id.ID, Born: born})
		}
		return // the new life announces itself
	}
	if e.Token == w.token {
		w.claimed = true
		w.tokenStep = 0
	}
	w.heardAt, w.retry = now, 0
	if e.Report.Clock > 0 {
		w.clock, w.clockAt = e.Report.Clock, now
	}
	listed := make(map[run.ID]bool, len(e.Report.Running))
	for _, id := range e.Report.Running {
		listed[id] = true
	}
	for _, end := range e.Report.Ended {
		m.ended(now, end)
	}
	m.reconcile(now, e, listed)
	m.stopStrangers(e.Report.Running)
}

// ended takes an end that the worker lists.
func (m *Machine) ended(now time.Duration, end RunEnd) {
	w := &m.worker
	if end.Number <= w.seen {
		return
	}
	w.seen = end.Number
	r := m.records[end.Run]
	if r == nil || r.phase == waiting {
		return
	}
	w.judge(now, end, r.startedAt)
	outcome := end.Outcome
	if outcome == run.Stopped && !r.cancelled {
		outcome = run.Lost
	}
	m.settle(now, r, outcome, 0)
}

// judge counts jobs that fail one after the other. Several failed runs of one job may be its own fault,
// and a run that began before the last failure shows nothing about the worker since then.
func (w *workerState) judge(now time.Duration, end RunEnd, startedAt time.Duration) {
	switch {
	case end.Outcome == run.Done && startedAt >= w.failedAt:
		w.failures, w.failedJob = 0, ""
	case end.Outcome == run.Failed && end.Run.Task.Job != w.failedJob:
		w.failures, w.failedJob, w.failedAt = w.failures+1, end.Run.Task.Job, now
	}
}

// reconcile compares the runs with a report. A run that was confirmed before the call for the report
// was sent and is not listed is over, and so is one whose start had a lower token than that call.
func (m *Machine) reconcile(now time.Duration, e Renewed, listed map[run.ID]bool) {
	sent := e.Sent
	for _, r := range m.byArrival() {
		there := listed[r.id]
		switch {
		case r.phase == doubtful && there:
			m.confirm(now, r)
		case r.phase == doubtful && e.Token > r.token:
			m.settle(now, r, run.Lost, 0)
		case r.phase == doubtful:
			m.worker.wantLook = true
		case r.phase == running && !there && sent > r.known:
			m.settle(now, r, run.Lost, 0)
		case r.phase == stopping && !there && r.confirmed && sent > r.known:
			m.settle(now, r, run.Stopped, 0)
		}
	}
}

// stopStrangers stops runs on the worker that no entry has ordered from this process.
func (m *Machine) stopStrangers(listed []run.ID) {
	w := &m.worker
	w.strangers = nil
	for _, id := range listed {
		if m.records[id] != nil {
			continue
		}
		if w.strangers == nil {
			w.strangers = map[run.Task]bool{}
		}
		w.strangers[id.Task] = true
		m.stats.Strangers++
		m.stats.Stops++
		m.act(Stop{Worker: w.id, Run: id, Token: w.token})
	}
}

func (m *Machine) considerWorker(consider func(time.Duration)) {
	w := &m.worker
	if !w.present {
		return
	}
	if !w.renewing {
		consider(w.renewAt)
	}
	if w.wantLook && !w.looking {
		consider(w.lookAt)
	}
	consider(w.heardAt + silentAfter)
	consider(w.leaseEnd)
}
