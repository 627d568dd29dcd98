package scheduler

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/health"
	"pollenpaddle/internal/request/shedding"
)

const (
	// responseMargin is subtracted from the caller's wait, so that the response arrives in time.
	responseMargin = 40 * time.Millisecond
	// maxWaitPercent is the share of a job's spare time that it may wait before its first run, and
	// overloadMaxWaitPercent the share while its queue is overloaded. The spare time is the time between the
	// shortest likely response time of the job and its objective, and at least half of Submission.Slack.
	// Under overload nearly every job waits as long as it may, and its remaining tasks wait as well after
	// its first run has started, so the first run must start earlier.
	maxWaitPercent         = 50
	overloadMaxWaitPercent = 25
	// costMaxWaitPercent is maxWaitPercent in the order "cost". One entry at 1.3 times the capacity refuses 7% of the
	// long class and 4% of the short class are late; with 25, it refuses 13%, and with 100, 8% are late.
	costMaxWaitPercent = 40
	// startupMaxWaitPercent replaces them while this process counts as newly started. Other entries start at the same
	// time after a loss of power, and the jobs that arrived meanwhile are submitted at once.
	startupMaxWaitPercent = 80
	// defaultWait applies to submissions without a wait.
	defaultWait = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay suggested for rejected jobs.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// noWorkerRetryAfter is the retry delay suggested while no worker of the service accepts starts; a
	// restarting worker is usually back by then.
	noWorkerRetryAfter = 2 * time.Second
	// meanRunTimeWeight makes the moving average of run times cover about the last 50 runs.
	meanRunTimeWeight = 0.02
	// outdatedNumberStep is added to the run number of a task after the worker has refused a run as
	// outdated.
	outdatedNumberStep = 8
)

// jobState is the state of a submitted job. It is kept after the verdict until every ordered run has
// an outcome.
type jobState struct {
	submission          *Submission
	cost                shedding.Job // without its work; if jobs are ordered by cost
	arrival             uint64
	waitStartedAt       time.Duration // when the caller's wait began, see Submission.WaitingSince
	overloadLatestStart time.Duration // latest first start while the queue is overloaded
	latestStart         time.Duration // latest first start; the job is rejected then if allRefused
	deadline            time.Duration // when the caller stops waiting
	tasks               []task
	incompleteTasks     int // tasks that have not succeeded yet
	unplacedTasks       int // tasks that wait for a run to be ordered, for the first time or again
	activeRuns          int // ordered runs without an outcome, also those that have not started on a worker
	hasVerdict          bool
	completedRunTimes   []time.Duration // run times of completed tasks, normalised to mean speed, in order of completion
	summary             JobSummary
	// resubmission is a job with the same id that was submitted after the verdict; it is started when
	// the last run of this one is over.
	resubmission  *Submission
	resubmittedAt time.Duration
}

// task is one task of a job.
type task struct {
	job             *jobState
	step            int
	index           int
	number          uint64 // of the last run
	failures        int
	agent           *agent // to which the active run was sent; nil if none
	orderedAt       time.Duration
	cancelRequested bool // the cancellation of the active run was requested; see cancelRun
	crashReported   bool // a worker crash under the active run was reported
	done            bool
	stragglers      uint // runs stopped as stragglers
	countedLong     bool // the active run was counted in longTasks.spent
	// stoppedAfter is the time, normalised to mean speed, after which the last straggler was stopped because it exceeded
	// the median of its peers; zero if the outcome is recorded in longTasks.
	stoppedAfter time.Duration
	// avoidAgent is the last agent on which a run failed, was lost or was stopped, for example as a straggler, or
	// that refused a run with run.Unfit, run.Unhealthy or run.Conflict. It is not reset by later runs elsewhere.
	avoidAgent *agent
	avoidUntil time.Duration // after a refusal, the task is not sent to avoidAgent before this time, even if it is the only agent
	predicted  time.Duration
}

func (t *task) id() run.ID {
	return run.ID{Task: run.TaskID{Job: t.job.submission.ID, Step: uint16(t.step), Index: uint16(t.index)}, Number: t.number}
}

func (t *task) declaredRunTime() time.Duration { return t.job.submission.Steps[t.step].DeclaredRunTime }

// queueStats holds the statistics of a queue.
type queueStats struct {
	throughput         throughput
	waitsForSpeedUntil time.Duration // waitForSpeedMemory after a task last waited for a faster worker
	runTimeRatio       runTimeRatio
	failureRate        health.FailureRate
	traffic            trafficCounter
}

func (m *Machine) statsOf(queue string) *queueStats {
	q := m.queues[queue]
	if q == nil {
		q = &queueStats{}
		m.queues[queue] = q
	}
	return q
}

// submit queues a job or gives its verdict immediately. It is ignored while a job with the same id has no
// verdict.
func (m *Machine) submit(now time.Duration, s *Submission) {
	known := m.jobs[s.ID]
	if (known == nil || known.hasVerdict) && m.refuseGivenUp(now, s) {
		return
	}
	if known != nil {
		if known.hasVerdict {
			known.resubmission, known.resubmittedAt = s, now
			m.scheduleCheck(s.deadline(now))
		}
		return
	}
	m.arrival++
	m.stats.Submitted++
	waitStartedAt := s.waitStart(now)
	j := &jobState{submission: s, arrival: m.arrival, waitStartedAt: waitStartedAt}
	j.deadline = s.deadline(now)
	longest := time.Duration(0)
	for i, step := range s.Steps {
		longest = max(longest, m.statsOf(s.Queue).runTimeRatio.predict(step.DeclaredRunTime))
		for k := range step.Count {
			j.tasks = append(j.tasks, task{job: j, step: i, index: k})
		}
	}
	objective := time.Duration(s.Stretch*float64(longest)) + s.Slack
	spare := max(objective-requestOverhead-optimisticRunTime(longest), s.Slack/2)
	j.overloadLatestStart = min(waitStartedAt+spare*overloadMaxWaitPercent/100, j.deadline)
	j.latestStart = min(waitStartedAt+spare*maxWaitPercent/100, j.deadline)
	if m.newlyStarted(now) {
		j.latestStart = min(waitStartedAt+spare*startupMaxWaitPercent/100, j.deadline)
		j.overloadLatestStart = j.latestStart
	}
	j.incompleteTasks, j.unplacedTasks = len(j.tasks), len(j.tasks)
	j.summary = JobSummary{Queue: s.Queue, Tasks: len(j.tasks), Objective: objective, FirstRun: -1}
	m.setCost(now, j, spare)
	m.jobs[s.ID] = j
	if s.WaitOver(now) {
		// Its caller may have submitted it to another entry.
		j.summary.Refusal.Rule = RefusedAfterWait
		m.setVerdict(now, j, Rejected, failure.New(failure.Unavailable, "submit the job again if its result is still wanted",
			"the request was read when its caller no longer waited; the job was not run").WithRetryAfter(time.Second))
		return
	}
	if m.neverFits(now, j) {
		m.setVerdict(now, j, Failed, nil)
		return
	}
	unresolved := m.unresolvedElsewhere(now, s.ID)
	if err := m.admissionError(now, j); err != nil && !unresolved {
		m.setVerdict(now, j, Rejected, err)
		return
	}
	j.summary.Refusal.Rule = ""
	m.enqueue(j)
	m.statsOf(s.Queue).throughput.record(now, j.unplacedTasks, 0)
	at := min(j.overloadLatestStart, j.deadline)
	if unresolved {
		at = now + checkInterval
	}
	if at <= now {
		at = now + checkInterval
	}
	m.scheduleCheck(at)
}

// waitStart returns when the wait of the caller began.
func (s *Submission) waitStart(now time.Duration) time.Duration {
	if s.WaitingSince == 0 {
		return now
	}
	return min(s.WaitingSince, now)
}

// deadline returns when the caller of a job that was submitted at now stops waiting, less responseMargin.
func (s *Submission) deadline(now time.Duration) time.Duration {
	wait := s.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	return s.waitStart(now) + max(wait-responseMargin, wait/2)
}

// WaitOver reports whether a job that is submitted at now comes too late for its caller.
func (s *Submission) WaitOver(now time.Duration) bool { return now >= s.deadline(now) }

// admissionError returns why a job cannot be accepted at present, or nil. The reason is also noted in its summary.
func (m *Machine) admissionError(now time.Duration, j *jobState) *failure.Error {
	if !m.serviceAvailable(now, j.submission) {
		j.summary.Refusal.Rule = RefusedNoWorker
		if m.confined(j.submission.Queue) {
			return failure.New(failure.Unavailable, "retry after the time in Retry-After",
				"tasks of queue %q crash workers, and none of the workers that it may use accepts starts at present; the job was not run", j.submission.Queue).WithRetryAfter(noWorkerRetryAfter)
		}
		return failure.New(failure.Unavailable, "retry after the time in Retry-After",
			"no worker of service %q accepts starts at present; the job was not run", j.submission.Service).WithRetryAfter(noWorkerRetryAfter)
	}
	return m.refusal(now, j)
}

func (m *Machine) overloadedError(j *jobState) *failure.Error {
	return failure.New(failure.Overloaded, "retry after the time in Retry-After",
		"no worker of service %q can start the job in time, or too many jobs wait; it was not run", j.submission.Service).WithRetryAfter(m.retryAfter())
}

// retryAfter returns a random retry delay that grows with the number of waiting jobs, so that retries are spread out.
func (m *Machine) retryAfter() time.Duration {
	delay := minRetryAfter * time.Duration(1+len(m.waiting)/8)
	delay = max(minRetryAfter, min(maxRetryAfter, delay))
	return delay + time.Duration(m.random.Int64N(int64(delay)))
}

// enqueue inserts a job that has tasks to place. The order "priority" is: started jobs first, because the work
// already done is wasted if they are completed late; then by priority; then by arrival.
func (m *Machine) enqueue(j *jobState) {
	if slices.Contains(m.waiting, j) {
		return
	}
	m.noteWaiting(j)
	at, _ := slices.BinarySearchFunc(m.waiting, j, m.compare)
	m.waiting = slices.Insert(m.waiting, at, j)
}

func compareJobs(a, b *jobState) int {
	aStarted, bStarted := a.started(), b.started()
	switch {
	case aStarted != bStarted:
		if aStarted {
			return -1
		}
		return 1
	case a.submission.Priority != b.submission.Priority:
		return a.submission.Priority - b.submission.Priority
	case a.arrival < b.arrival:
		return -1
	}
	return 1
}

// started reports whether the job has an active run or a task that has succeeded. A job whose runs all failed
// or were lost is not started.
func (j *jobState) started() bool { return j.activeRuns > 0 || j.incompleteTasks < len(j.tasks) }

func (m *Machine) dequeue(j *jobState) {
	m.waiting = slices.DeleteFunc(m.waiting, func(w *jobState) bool { return w == j })
}

// setVerdict sets the verdict on a job and stops its remaining runs.
func (m *Machine) setVerdict(now time.Duration, j *jobState, verdict Verdict, err *failure.Error) {
	j.hasVerdict = true
	j.summary.Age, j.summary.Waiting = now-j.waitStartedAt, j.unplacedTasks
	m.stats.count(verdict)
	if slices.Contains(m.waiting, j) {
		m.statsOf(j.submission.Queue).throughput.record(now, -j.unplacedTasks, 0)
		m.dequeue(j)
	}
	for i := range j.tasks {
		m.cancelRun(&j.tasks[i])
	}
	m.emit(Decided{Job: j.submission.ID, Verdict: verdict, Error: err, Summary: j.summary})
	m.removeIfOver(j)
}

// removeIfOver removes a job that has a verdict and no active run, and submits its resubmission, if
// any.
func (m *Machine) removeIfOver(j *jobState) {
	if !j.hasVerdict || j.activeRuns > 0 || m.jobs[j.submission.ID] != j {
		return
	}
	delete(m.jobs, j.submission.ID)
	if j.resubmission != nil {
		m.submit(m.now, j.resubmission)
	}
}

// cancelRun asks the agent to stop the run of a task. While the agent is disconnected, the request is only
// recorded; applyInventory sends it.
func (m *Machine) cancelRun(t *task) {
	if t.agent == nil || t.cancelRequested {
		return
	}
	t.cancelRequested = true
	if t.agent.connected {
		m.emit(Send{Agent: t.agent.id, Message: &wire.RunCancel{Runs: []run.ID{t.id()}}})
	}
}

// cancel gives a job the verdict Expired, or Revoked if that was requested. If the job already has a verdict, its
// resubmission is dropped.
func (m *Machine) cancel(now time.Duration, e Cancelled) {
	j := m.jobs[e.Job]
	switch {
	case j == nil:
	case j.hasVerdict:
		if e.Requested && j.resubmission != nil {
			m.stats.count(Revoked)
			m.emit(RevokedOnSubmission(j.resubmission))
		}
		j.resubmission = nil
	case e.Requested:
		m.setVerdict(now, j, Revoked, errRevoked())
	default:
		m.setVerdict(now, j, Expired, failure.New(failure.MayHaveRun, "resubmit the job if its result is still needed", "the job was cancelled"))
	}
}

// checkJobs rejects or expires jobs that can no longer finish in time, and stops stragglers.
func (m *Machine) checkJobs(now time.Duration) {
	if m.nextCheckAt == 0 || now < m.nextCheckAt {
		return
	}
	m.nextCheckAt = 0
	for _, j := range m.sortedJobs() {
		if j.hasVerdict {
			m.checkResubmission(now, j)
			continue
		}
		unresolved := m.allRefused(j) && m.unresolvedElsewhere(now, j.submission.ID)
		switch {
		case now >= j.deadline && unresolved:
			m.setVerdict(now, j, Expired, errUnresolved())
		case unresolved:
			m.scheduleCheck(min(j.deadline, now+checkInterval))
		case now >= j.deadline && m.allRefused(j):
			j.summary.Refusal.Rule = RefusedAfterWait
			m.setVerdict(now, j, Rejected, m.overloadedError(j))
		case now >= j.deadline:
			m.setVerdict(now, j, Expired, failure.New(failure.MayHaveRun, "resubmit the job", "the job did not finish before the caller's timeout"))
		case m.awaitingAgents(now, j.submission.Service):
			m.scheduleCheck(now + checkInterval)
		case m.overdue(now, j):
			j.summary.Refusal.Rule = shedding.Overdue.String()
			m.setVerdict(now, j, Rejected, m.overdueError(j))
		default:
			m.stopStragglers(now, j)
			m.scheduleCheck(m.nextCheck(now, j))
		}
	}
}

// checkResubmission answers the caller of a resubmission that waits for a run of the earlier job until its wait is over.
func (m *Machine) checkResubmission(now time.Duration, j *jobState) {
	s := j.resubmission
	if s == nil {
		return
	}
	if deadline := s.deadline(j.resubmittedAt); now < deadline {
		m.scheduleCheck(deadline)
		return
	}
	j.resubmission = nil
	m.stats.count(Expired)
	m.emit(Decided{Job: s.ID, Verdict: Expired, Error: errUnresolved(), Summary: JobSummary{Queue: s.Queue, Tasks: len(j.tasks), Age: now - j.resubmittedAt, FirstRun: -1}})
}

// allRefused reports whether no task of the job can have started: no run was ordered, or every ordered run
// was refused.
func (m *Machine) allRefused(j *jobState) bool {
	return j.summary.Orders == j.summary.Refusals
}

// nextCheck returns when the job must be checked next.
func (m *Machine) nextCheck(now time.Duration, j *jobState) time.Duration {
	at := j.deadline
	if j.latestStart > now && m.allRefused(j) {
		at = min(at, j.latestStart)
	}
	if j.activeRuns > 0 || j.unplacedTasks > 0 {
		at = min(at, now+checkInterval)
	}
	return at
}

func (m *Machine) scheduleCheck(at time.Duration) {
	if m.nextCheckAt == 0 || at < m.nextCheckAt {
		m.nextCheckAt = at
	}
}

// sortedJobs returns the jobs in order of arrival.
func (m *Machine) sortedJobs() []*jobState {
	jobs := make([]*jobState, 0, len(m.jobs))
	for _, j := range m.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *jobState) int {
		if a.arrival < b.arrival {
			return -1
		}
		return 1
	})
	return jobs
}

// runEnded processes the outcome of a run.
func (m *Machine) runEnded(now time.Duration, a *agent, end run.End) {
	j := m.jobs[end.ID.Task.Job]
	if j == nil {
		return
	}
	t := j.findTask(end.ID)
	if t == nil || t.agent != a {
		return
	}
	m.emit(RunEnded{Agent: a.id, End: end})
	m.clearRun(t)
	switch end.Outcome {
	case run.Done:
		m.taskDone(now, a, t, end.RunTime)
	case run.Failed:
		m.taskFailed(now, a, t)
	case run.Refused:
		m.taskRefused(now, a, t, end.Reason)
	default:
		j.summary.Lost++
		m.stats.Lost++
		t.avoidAgent = a
		m.requeue(j, t)
	}
	m.removeIfOver(j)
}

func (j *jobState) findTask(id run.ID) *task {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.step == int(id.Task.Step) && t.index == int(id.Task.Index) {
			if t.number != id.Number {
				return nil
			}
			return t
		}
	}
	return nil
}

// clearRun detaches a task from its run, which is over.
func (m *Machine) clearRun(t *task) {
	a := t.agent
	delete(a.tasks, t)
	delete(m.unresolved.tasks, t)
	t.agent, t.cancelRequested = nil, false
	t.job.activeRuns--
}

// requeue queues a task whose run did not succeed, unless the job has a verdict.
func (m *Machine) requeue(j *jobState, t *task) {
	if j.hasVerdict {
		return
	}
	j.unplacedTasks++
	m.statsOf(j.submission.Queue).throughput.record(m.now, 1, 0)
	if m.byCost() {
		m.cost.orderChanged(m.now) // the job may no longer count as started
	}
	m.enqueue(j)
	m.scheduleCheck(m.now + checkInterval)
}

func (m *Machine) taskDone(now time.Duration, a *agent, t *task, runTime time.Duration) {
	j := t.job
	t.done = true
	m.crashes.acquit(t.id().Task)
	j.incompleteTasks--
	q := m.statsOf(j.submission.Queue)
	q.failureRate.Observe(false)
	a.health.RecordSuccess(1)
	if runTime <= 0 {
		runTime = max(0, now-t.orderedAt-a.roundTrip)
	}
	if m.meanRunTime == 0 {
		m.meanRunTime = runTime
	}
	m.meanRunTime += time.Duration(meanRunTimeWeight * float64(runTime-m.meanRunTime))
	normalised := a.normalise(now, runTime)
	m.recordDone(t, normalised)
	j.completedRunTimes = append(j.completedRunTimes, normalised)
	q.runTimeRatio.observe(now, &a.speed, runTime, t.declaredRunTime())
	if j.incompleteTasks == 0 && !j.hasVerdict {
		m.setVerdict(now, j, Completed, nil)
	}
}

func (m *Machine) taskFailed(now time.Duration, a *agent, t *task) {
	j := t.job
	q := m.statsOf(j.submission.Queue)
	threshold := q.failureRate.FailureThreshold()
	q.failureRate.Observe(true)
	if a.health.RecordFailure(now, threshold) {
		m.stats.Probations++
	}
	t.failures++
	j.summary.Failures++
	m.stats.RunsFailed++
	t.avoidAgent = a
	if t.failures >= j.submission.MaxAttempts && !j.hasVerdict {
		m.setVerdict(now, j, Failed, nil)
		return
	}
	m.requeue(j, t)
}

func (m *Machine) taskRefused(now time.Duration, a *agent, t *task, reason run.Reason) {
	t.job.summary.Refusals++
	m.stats.Refusals++
	switch reason {
	case run.Outdated:
		t.number += outdatedNumberStep
	case run.Unfit, run.Unhealthy, run.Conflict:
		t.avoidAgent, t.avoidUntil = a, now+refusalBackoff
		a.backoffUntil = max(a.backoffUntil, now+refusalBackoff)
	default:
		a.backoffUntil = max(a.backoffUntil, now+busyBackoff)
	}
	m.requeue(t.job, t)
}
