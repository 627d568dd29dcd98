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
	accepted     time.Duration
	tasks        []task
	open         int // tasks without a final result
	cancelled    bool
}

type taskState uint8

const (
	waiting taskState = iota
	running
	final
)

// task is one task of an accepted submission.
type task struct {
	item        admission.Item
	job         *jobState
	lane        *lane
	index       uint16
	attempt     uint16 // number of the next attempt, or of the running one plus one
	state       taskState
	retries     uint8
	refusals    uint8
	cancelSent  bool
	usedOffer   bool
	agent       *agent
	started     time.Duration
	lateAfter   time.Duration // run time from which the start is overdue
	earlier     *job.Result   // result of an earlier attempt that ran; the task is not "not run" then
	next, prior *task         // open starts of the agent
}

func (t *task) spec() *job.Task { return &t.job.submission.Tasks[t.index] }

func (t *task) startID() wire.StartID {
	return wire.StartID{Job: t.job.submission.Key, Task: t.index, Attempt: t.attempt - 1}
}

// link appends the task to the agent's open starts.
func (m *Machine) link(t *task, a *agent) {
	t.agent, t.prior, t.next = a, a.last, nil
	if a.last == nil {
		a.first = t
	} else {
		a.last.next = t
	}
	a.last = t
	a.place.Running++
	a.place.Rack.Running++
	if !t.usedOffer {
		a.place.DirectStarts++
	}
	a.setOldest()
	m.stats.Running++
	m.queue.TaskStarted(t.job.organisation)
}

// unlink removes the task from the agent's open starts.
func (m *Machine) unlink(t *task) {
	a := t.agent
	if t.prior == nil {
		a.first = t.next
	} else {
		t.prior.next = t.next
	}
	if t.next == nil {
		a.last = t.prior
	} else {
		t.next.prior = t.prior
	}
	t.agent, t.prior, t.next = nil, nil, nil
	a.place.Running--
	a.place.Rack.Running--
	if !t.usedOffer {
		a.place.DirectStarts--
	}
	a.setOldest()
	m.stats.Running--
	m.queue.TaskEnded(t.job.organisation)
}

func (a *agent) setOldest() {
	a.place.OldestStart, a.place.OverdueAfter = 0, 0
	if a.first != nil {
		a.place.OldestStart, a.place.OverdueAfter = a.first.started, a.first.lateAfter
	}
}

// finish gives the task its final result.
func (m *Machine) finish(now time.Duration, t *task, result job.Result, retryAfter time.Duration) {
	if t.state == waiting && t.item.Queued() {
		m.dequeue(t)
	}
	if result.State == job.NotRun && t.earlier != nil {
		result, retryAfter = *t.earlier, 0
	}
	t.state = final
	j := t.job
	j.open--
	if j.open == 0 {
		delete(m.jobs, j.submission.Key)
	}
	m.countResult(now, j, &result)
	m.act(TaskFinished{Key: j.submission.Key, Task: int(t.index), Result: result, RetryAfter: retryAfter})
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
	inTarget := result.State == job.Done && now-j.accepted <= j.class.count.Target
	j.class.count.RecordAnswer(inTarget, result.State == job.NotRun)
}

// enqueue queues the task.
func (m *Machine) enqueue(t *task) {
	t.state = waiting
	t.lane.service.waiting++
	t.lane.full = false
	m.queue.Push(t.lane.queue, t.job.organisation, &t.item)
	if m.nextLate == 0 || t.item.LatestStart+1 < m.nextLate {
		m.nextLate = t.item.LatestStart + 1
	}
}

// dequeue removes a waiting task without starting it.
func (m *Machine) dequeue(t *task) {
	t.lane.service.waiting--
	m.queue.Cancel(&t.item)
}

// cancel ends the tasks of a job that were not started and asks agents to stop the others.
func (m *Machine) cancel(now time.Duration, key job.Key) {
	j := m.jobs[key]
	if j == nil {
		return
	}
	j.cancelled = true
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.state == waiting:
			m.stats.Cancelled++
			m.finish(now, t, job.Result{State: job.NotRun, Message: "cancelled before it was started"}, 0)
		case t.state == running && !t.cancelSent && t.agent.connected:
			t.cancelSent = true
			m.send(t.agent, &wire.Cancel{ID: t.startID()})
		}
	}
}

// giveUp ends the queued tasks of the job that the task belongs to. Started tasks go on.
func (m *Machine) giveUp(now time.Duration, t *task, kind failure.Kind, message string, retryAfter time.Duration) int {
	given := 0
	for i := range t.job.tasks {
		if other := &t.job.tasks[i]; other.state == waiting {
			m.finish(now, other, job.Result{State: job.NotRun, Kind: kind, Message: message}, retryAfter)
			given++
		}
	}
	return given
}
