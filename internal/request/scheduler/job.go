package scheduler

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/health"
)

const (
	// answerMargin is kept before the end of the caller's wait, so that the answer still arrives.
	answerMargin = 40 * time.Millisecond
	// waitShare is the part of its slack, in percent, that a job may wait before its first run, and
	// busyWaitShare the part while its queue is busy: then every job that is served waits about as long
	// as it may, and its other tasks wait too.
	waitShare     = 50
	busyWaitShare = 25
	// defaultWait applies to callers that name no time.
	defaultWait = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice for refused work.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// absentRetryAfter is the advice while no worker of the service is known; one that restarts is
	// usually back by then.
	absentRetryAfter = 2 * time.Second
	// heldWeight makes the mean time that runs hold their room cover about the last 50 of them.
	heldWeight = 0.02
	// maxNumberGap is added to the number of a run after the worker has refused it as outdated.
	maxNumberGap = 8
)

// jobState is an accepted job. It stays until every ordered run has its outcome, also after its
// verdict.
type jobState struct {
	submission *Submission
	arrival    uint64
	accepted   time.Duration
	patience   time.Duration // latest first start while the queue is busy
	latest     time.Duration // latest first start; a job without one by then is refused
	giveUp     time.Duration // when the caller stops waiting
	tasks      []task
	undone     int // tasks that have not ended well
	unplaced   int // tasks without a run
	underWay   int // ordered runs without an outcome
	decided    bool
	doneRuns   []time.Duration // run times of ended tasks at mean speed, in order of their ends
	facts      JobSummary
	// successor is the job of the same id that was sent again after the verdict; it waits until the
	// last run is over.
	successor *Submission
}

// task is one task of a job.
type task struct {
	job        *jobState
	step       int
	index      int
	number     uint64 // of the newest run
	failures   int
	agent      *agent // of the run under way; nil if none
	ordered    time.Duration
	stopSent   bool
	done       bool
	stragglers uint   // runs stopped because they took far too long
	avoid      *agent // where the last run failed or got lost
	predicted  time.Duration
}

func (t *task) id() run.ID {
	return run.ID{Task: run.Task{Job: t.job.submission.ID, Step: uint16(t.step), Index: uint16(t.index)}, Number: t.number}
}

func (t *task) expected() time.Duration { return t.job.submission.Steps[t.step].Expected }

// queueStats is what is learned about a queue of jobs.
type queueStats struct {
	flow     flow
	runs     runTimes
	failures health.FailureRate
}

func (m *Machine) queue(name string) *queueStats {
	q := m.queues[name]
	if q == nil {
		q = &queueStats{}
		m.queues[name] = q
	}
	return q
}

// submit accepts a job or decides it at once.
func (m *Machine) submit(now time.Duration, s *Submission) {
	if known := m.jobs[s.ID]; known != nil {
		if known.decided {
			known.successor = s
		}
		return
	}
	m.arrival++
	m.stats.Submitted++
	accepted := now - s.Waited
	j := &jobState{submission: s, arrival: m.arrival, accepted: accepted}
	wait := s.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	j.giveUp = accepted + max(wait-answerMargin, wait/2)
	longest := time.Duration(0)
	for i, step := range s.Steps {
		longest = max(longest, m.queue(s.Queue).runs.predict(step.Expected))
		for k := range step.Count {
			j.tasks = append(j.tasks, task{job: j, step: i, index: k})
		}
	}
	objective := time.Duration(s.Stretch*float64(longest)) + s.Slack
	slack := max(objective-roundTrip-optimistic(longest), s.Slack/2)
	j.patience = min(accepted+slack*busyWaitShare/100, j.giveUp)
	j.latest = min(accepted+slack*waitShare/100, j.giveUp)
	j.undone, j.unplaced = len(j.tasks), len(j.tasks)
	j.facts = JobSummary{Queue: s.Queue, Tasks: len(j.tasks), Objective: objective, FirstRun: -1}
	m.jobs[s.ID] = j
	if m.neverFits(now, j) {
		m.decide(now, j, Failed, nil)
		return
	}
	if err := m.refuses(now, j); err != nil {
		m.decide(now, j, Rejected, err)
		return
	}
	m.enqueue(j)
	m.queue(s.Queue).flow.change(now, j.unplaced, 0)
	at := min(j.patience, j.giveUp)
	if at <= now {
		at = now + lookInterval
	}
	m.wakeAt(at)
}

// refuses returns why a job cannot be accepted at present.
func (m *Machine) refuses(now time.Duration, j *jobState) *failure.Error {
	if !m.serviceKnown(now, j.submission.Service) {
		return failure.New(failure.Unavailable, "send the job again after the stated time",
			"no worker of service %q takes starts at present; the job was not run", j.submission.Service).WithRetryAfter(absentRetryAfter)
	}
	if len(m.waiting) >= m.config.QueueLimit || m.wouldBeLate(now, j) {
		return m.overloaded(j)
	}
	return nil
}

func (m *Machine) overloaded(j *jobState) *failure.Error {
	return failure.New(failure.Overloaded, "send the job again after the stated time",
		"the workers of service %q are busy and the job would be late; it was not run", j.submission.Service).WithRetryAfter(m.retryAfter())
}

// retryAfter spreads returns over the time that the present backlog takes.
func (m *Machine) retryAfter() time.Duration {
	backlog := minRetryAfter * time.Duration(1+len(m.waiting)/8)
	backlog = max(minRetryAfter, min(maxRetryAfter, backlog))
	return backlog + time.Duration(m.random.Int64N(int64(backlog)))
}

// enqueue inserts a job that has tasks to place: started jobs first, because what they have run is
// lost if they end late, then by priority, then by arrival.
func (m *Machine) enqueue(j *jobState) {
	if slices.Contains(m.waiting, j) {
		return
	}
	at, _ := slices.BinarySearchFunc(m.waiting, j, compareJobs)
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

// started reports whether a run of the job is under way or done.
func (j *jobState) started() bool { return j.underWay > 0 || j.undone < len(j.tasks) }

func (m *Machine) dequeue(j *jobState) {
	m.waiting = slices.DeleteFunc(m.waiting, func(w *jobState) bool { return w == j })
}

// decide gives the verdict on a job and stops what is under way.
func (m *Machine) decide(now time.Duration, j *jobState, verdict Verdict, err *failure.Error) {
	j.decided = true
	j.facts.Age, j.facts.Waiting = now-j.accepted, j.unplaced
	m.stats.count(verdict)
	if slices.Contains(m.waiting, j) {
		m.queue(j.submission.Queue).flow.change(now, -j.unplaced, 0)
		m.dequeue(j)
	}
	for i := range j.tasks {
		m.stopRun(&j.tasks[i])
	}
	m.act(Decided{Job: j.submission.ID, Verdict: verdict, Error: err, Summary: j.facts})
	m.forget(j)
}

// forget drops a job that has its verdict and no run under way.
func (m *Machine) forget(j *jobState) {
	if !j.decided || j.underWay > 0 || m.jobs[j.submission.ID] != j {
		return
	}
	delete(m.jobs, j.submission.ID)
	if j.successor != nil {
		m.submit(m.now, j.successor)
	}
}

// stopRun asks the agent to stop the run of a task.
func (m *Machine) stopRun(t *task) {
	if t.agent == nil || t.stopSent {
		return
	}
	t.stopSent = true
	if t.agent.connected {
		m.act(Send{Agent: t.agent.id, Message: &wire.RunCancel{Runs: []run.ID{t.id()}}})
	}
}

// cancelled gives up a job without a caller that waits for it.
func (m *Machine) cancelled(now time.Duration, id string) {
	j := m.jobs[id]
	switch {
	case j == nil:
	case j.decided:
		j.successor = nil
	default:
		m.decide(now, j, Expired, failure.New(failure.MayHaveRun, "send the job again if it is still wanted", "the job was cancelled"))
	}
}

// expireJobs gives up jobs that can no longer be useful.
func (m *Machine) expireJobs(now time.Duration) {
	if m.expiry == 0 || now < m.expiry {
		return
	}
	m.expiry = 0
	for _, j := range m.sortedJobs() {
		if j.decided {
			continue
		}
		switch {
		case now >= j.giveUp && m.untouched(j):
			m.decide(now, j, Rejected, m.overloaded(j))
		case now >= j.giveUp:
			m.decide(now, j, Expired, failure.New(failure.MayHaveRun, "send the job again", "the job did not end within the time that its caller waits"))
		case m.starting(now, j.submission.Service):
			m.wakeAt(now + lookInterval)
		case m.untouched(j) && j.underWay == 0 && (now >= j.latest || now >= j.patience && m.queue(j.submission.Queue).flow.overloaded()):
			m.decide(now, j, Rejected, m.overloaded(j))
		default:
			m.stopStragglers(now, j)
			m.wakeAt(m.attention(now, j))
		}
	}
}

// untouched reports whether no task of the job can have begun: every order was refused.
func (m *Machine) untouched(j *jobState) bool {
	return j.facts.Orders == j.facts.Refusals
}

// attention is when a job next needs a look.
func (m *Machine) attention(now time.Duration, j *jobState) time.Duration {
	at := j.giveUp
	if j.latest > now && m.untouched(j) {
		at = min(at, j.latest)
	}
	if j.underWay > 0 || j.unplaced > 0 {
		at = min(at, now+lookInterval)
	}
	return at
}

func (m *Machine) wakeAt(at time.Duration) {
	if m.expiry == 0 || at < m.expiry {
		m.expiry = at
	}
}

// sortedJobs returns the jobs in the order of their arrival.
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

// ended takes the outcome of a run.
func (m *Machine) ended(now time.Duration, a *agent, end run.End) {
	j := m.jobs[end.ID.Task.Job]
	if j == nil {
		return
	}
	t := j.find(end.ID)
	if t == nil || t.agent != a {
		return
	}
	m.act(RunEnded{Agent: a.id, End: end})
	m.detach(t)
	switch end.Outcome {
	case run.Done:
		m.taskDone(now, a, t, end.RunTime)
	case run.Failed:
		m.taskFailed(now, a, t)
	case run.Refused:
		m.taskRefused(now, a, t, end.Reason)
	default:
		j.facts.Lost++
		m.stats.Lost++
		t.avoid = a
		m.again(j, t)
	}
	m.forget(j)
}

func (j *jobState) find(id run.ID) *task {
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

// detach ends the run of a task.
func (m *Machine) detach(t *task) {
	a := t.agent
	delete(a.tasks, t)
	t.agent, t.stopSent = nil, false
	t.job.underWay--
}

// again puts a task whose run is over without a result back in the queue.
func (m *Machine) again(j *jobState, t *task) {
	if j.decided {
		return
	}
	j.unplaced++
	m.queue(j.submission.Queue).flow.change(m.now, 1, 0)
	m.enqueue(j)
	m.wakeAt(m.now + lookInterval)
}

func (m *Machine) taskDone(now time.Duration, a *agent, t *task, runTime time.Duration) {
	j := t.job
	t.done = true
	j.undone--
	q := m.queue(j.submission.Queue)
	q.failures.Observe(false)
	a.standing.RecordSuccess(1)
	if runTime <= 0 {
		runTime = max(0, now-t.ordered-a.roundTrip)
	}
	if m.held == 0 {
		m.held = runTime
	}
	m.held += time.Duration(heldWeight * float64(runTime-m.held))
	j.doneRuns = append(j.doneRuns, a.normalise(now, runTime))
	q.runs.observe(now, &a.speed, runTime, t.expected())
	if j.undone == 0 && !j.decided {
		m.decide(now, j, Completed, nil)
	}
}

func (m *Machine) taskFailed(now time.Duration, a *agent, t *task) {
	j := t.job
	q := m.queue(j.submission.Queue)
	tolerated := q.failures.FailureThreshold()
	q.failures.Observe(true)
	if a.standing.RecordFailure(now, tolerated) {
		m.stats.Probations++
	}
	t.failures++
	j.facts.Failures++
	m.stats.RunsFailed++
	t.avoid = a
	if t.failures >= j.submission.MaxAttempts && !j.decided {
		m.decide(now, j, Failed, nil)
		return
	}
	m.again(j, t)
}

func (m *Machine) taskRefused(now time.Duration, a *agent, t *task, reason run.Reason) {
	t.job.facts.Refusals++
	m.stats.Refusals++
	switch reason {
	case run.Outdated:
		t.number += maxNumberGap
	case run.Unfit, run.Unhealthy, run.Conflict:
		t.avoid = a
		a.blockedUntil = max(a.blockedUntil, now+unhealthyBlock)
	default:
		a.blockedUntil = max(a.blockedUntil, now+busyBlock)
	}
	m.again(t.job, t)
}
