package dispatch

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/admission"
)

// jobState is an accepted submission.
type jobState struct {
	submission   *job.Submission
	class        *class
	organisation *admission.Organisation
	acceptedAt   time.Duration
	tasks        []task
	unfinished   int // number of tasks without a final result
	cancelled    bool
}

type taskState uint8

const (
	queued taskState = iota
	running
	final
)

// task is one task of an accepted submission.
type task struct {
	item           admission.Item
	job            *jobState
	lane           *lane
	index          uint16
	attempts       uint16 // attempts sent so far; the last one has the number attempts-1
	state          taskState
	retries        uint8
	refusals       uint8
	cancelSent     bool
	usedOffer      bool
	agent          *agent
	startedAt      time.Duration
	overdueAfter   time.Duration // time since the start from which it is overdue
	earlierResult  *job.Result   // result of an earlier attempt that may have run; replaces a final "not run"
	next, previous *task         // neighbours among the open starts of the agent
}

func (t *task) spec() *job.Task { return &t.job.submission.Tasks[t.index] }

func (t *task) startID() wire.StartID {
	return wire.StartID{Job: t.job.submission.Key, Task: t.index, Attempt: t.attempts - 1}
}

// addOpenStart appends the task to the agent's open starts, which are ordered by the time at which they
// were sent.
func (m *Machine) addOpenStart(t *task, a *agent) {
	t.agent, t.previous, t.next = a, a.lastStart, nil
	if a.lastStart == nil {
		a.firstStart = t
	} else {
		a.lastStart.next = t
	}
	a.lastStart = t
	a.placement.Running++
	a.placement.Rack.Running++
	if !t.usedOffer {
		a.placement.DirectStarts++
	}
	a.updateOldestStart()
	m.stats.Running++
	m.queue.TaskStarted(t.job.organisation)
}

// removeOpenStart removes the task from the agent's open starts.
func (m *Machine) removeOpenStart(t *task) {
	a := t.agent
	if t.previous == nil {
		a.firstStart = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		a.lastStart = t.previous
	} else {
		t.next.previous = t.previous
	}
	t.agent, t.previous, t.next = nil, nil, nil
	a.placement.Running--
	a.placement.Rack.Running--
	if !t.usedOffer {
		a.placement.DirectStarts--
	}
	a.updateOldestStart()
	m.stats.Running--
	m.queue.TaskEnded(t.job.organisation)
}

func (a *agent) updateOldestStart() {
	a.placement.OldestStart, a.placement.OverdueAfter = 0, 0
	if a.firstStart != nil {
		a.placement.OldestStart, a.placement.OverdueAfter = a.firstStart.startedAt, a.firstStart.overdueAfter
	}
}

// finish gives the task its final result.
func (m *Machine) finish(now time.Duration, t *task, result job.Result, retryAfter time.Duration) {
	if t.state == queued && t.item.Queued() {
		m.dequeue(t)
	}
	if result.State == job.NotRun && t.earlierResult != nil {
		result, retryAfter = *t.earlierResult, 0
	}
	t.state = final
	j := t.job
	j.unfinished--
	if j.unfinished == 0 {
		delete(m.jobs, j.submission.Key)
	}
	m.countResult(now, j, &result)
	m.emit(TaskFinished{Key: j.submission.Key, Task: int(t.index), Result: result, RetryAfter: retryAfter})
}

func (m *Machine) countResult(now time.Duration, j *jobState, result *job.Result) {
	switch result.State {
	case job.Done:
		m.stats.Done++
	case job.Failed:
		m.stats.Failed++
	case job.MayHaveRun:
		m.stats.MayHaveRun++
	default:
		m.stats.NotRun++
	}
	if j.cancelled {
		return
	}
	inTarget := result.State == job.Done && now-j.acceptedAt <= j.class.state.Target
	j.class.state.RecordAnswer(inTarget, result.State == job.NotRun)
}

// enqueue queues the task.
func (m *Machine) enqueue(t *task) {
	t.state = queued
	t.lane.upstream.queued++
	t.lane.noAgent = false
	m.queue.Push(t.lane.admissionLane, t.job.organisation, &t.item)
	if m.nextShed == 0 || t.item.LatestStart+1 < m.nextShed {
		m.nextShed = t.item.LatestStart + 1
	}
}

// dequeue removes a queued task without starting it.
func (m *Machine) dequeue(t *task) {
	t.lane.upstream.queued--
	m.queue.Remove(&t.item)
}

// cancel finishes the queued tasks of a job and asks agents to refuse or stop the started ones.
func (m *Machine) cancel(now time.Duration, key job.Key) {
	j := m.jobs[key]
	if j == nil {
		return
	}
	j.cancelled = true
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.state == queued:
			m.stats.Cancelled++
			m.finish(now, t, job.Result{State: job.NotRun, Message: "cancelled before it was started"}, 0)
		case t.state == running && !t.cancelSent && t.agent.connected:
			t.cancelSent = true
			m.send(t.agent, &wire.Cancel{ID: t.startID()})
		}
	}
}

// shedJob finishes all queued tasks of the task's job as not run and returns their number. Started
// tasks continue.
func (m *Machine) shedJob(now time.Duration, t *task, kind failure.Kind, message string, retryAfter time.Duration) int {
	shed := 0
	for i := range t.job.tasks {
		if other := &t.job.tasks[i]; other.state == queued {
			m.finish(now, other, job.Result{State: job.NotRun, FailureKind: kind, Message: message}, retryAfter)
			shed++
		}
	}
	return shed
}
