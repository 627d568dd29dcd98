package scheduler

import (
	"slices"
	"time"

	"pollenpaddle/internal/model/job"
)

const (
	// queuedMaxWait is how long a run that is sent to wait at its agent may wait there. A worker with ten runs of
	// 200 ms frees capacity for one run every 20 ms.
	queuedMaxWait = 40 * time.Millisecond
	// collisionMaxWait applies to a run for which the agent reported free capacity. If there is none on arrival,
	// another entry has used it; capacity at another agent is one round trip away, while a worker with four runs
	// of 200 ms frees capacity for one run only every 50 ms.
	collisionMaxWait = 5 * time.Millisecond
	// requestOverhead is the part of a job's response time that is spent on the way between caller,
	// entry, agent and worker.
	requestOverhead = 14 * time.Millisecond
	// maxAgentWait is the longest predicted wait for capacity at an agent for which a run of priority 0 is
	// still sent there. For other runs it is divided by 1 + agentWaitStep * priority. Freed capacity goes
	// to urgent runs first; less urgent ones would wait at the agent, be refused after queuedMaxWait and be
	// completed late. The number of such runs grows with the number of entries.
	maxAgentWait  = 30 * time.Millisecond
	agentWaitStep = 4
	// checkInterval is the time between two checks of a job with active runs or waiting tasks.
	checkInterval = 25 * time.Millisecond
	// slowElapsedRatio is the mean ratio of elapsed to predicted time over the runs of an agent above
	// which the agent counts as slow. Active runs are half done on average, so the usual ratio is 0.5.
	slowElapsedRatio = 1.3
	// equalCompletionRatio is the ratio of predicted times to completion below which the agent with more
	// free capacity is chosen.
	equalCompletionRatio = 1.15
	// slowWorkerFactor is the run time on a worker, relative to mean speed, from which it gets no tasks that would be late
	// there but in time elsewhere. Below, the difference is within the error of the estimates.
	slowWorkerFactor = 1.25
)

// placeWaiting orders runs for waiting tasks while agents have free capacity or a short predicted wait for it
// (see evaluate).
func (m *Machine) placeWaiting(now time.Duration) {
	var blocked []blockedNeed
	for i := 0; i < len(m.waiting); {
		j := m.waiting[i]
		started := j.started()
		if !m.held(now, j) {
			m.placeJob(now, j, &blocked)
		}
		switch {
		case j.unplacedTasks == 0:
			m.waiting = slices.Delete(m.waiting, i, i+1)
		case started != j.started():
			// Its first run moves the job ahead of those that have not started. The jobs up to index i have
			// been handled already.
			m.waiting = slices.Delete(m.waiting, i, i+1)
			m.enqueue(j)
			i++
		default:
			i++
		}
	}
}

// plannedRun is a run that is about to be ordered.
type plannedRun struct {
	task    *task
	agent   *agent
	need    job.Resources
	maxWait time.Duration // at the agent
}

// blockedNeed records that no agent of a service was found for a run with this need in the current call
// of placeWaiting. Runs of the same or a less urgent priority with at least the same need are not tried.
type blockedNeed struct {
	service  string
	queue    string // if it is confined; otherwise the need is blocked for all queues that are not confined
	priority int
	need     job.Resources
	// stretch is set if the run would have been late on the agents with free capacity: the need is then blocked only for
	// tasks with at most this ratio of the time left to the predicted run time.
	stretch float64
}

// placeJob plans runs for the waiting tasks of a job and orders them. A job is started only if all of
// its tasks, or at least as many as there are eligible agents, can be placed at once: its completion
// depends on the last task, and until that is placed the others would occupy capacity that jobs with
// fewer tasks can use.
func (m *Machine) placeJob(now time.Duration, j *jobState, blocked *[]blockedNeed) {
	m.plan = m.plan[:0]
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.agent != nil {
			continue
		}
		need := j.submission.Steps[t.step].Need
		if m.isBlocked(now, *blocked, t, need) {
			break
		}
		choice := m.chooseAgent(now, t)
		if choice.agent == nil {
			if !choice.onlyAvoided {
				*blocked = append(*blocked, blockedNeed{service: j.submission.Service, queue: m.confinedQueue(j.submission), priority: j.submission.Priority, need: need, stretch: choice.stretch})
			}
			break
		}
		m.plan = append(m.plan, plannedRun{task: t, agent: choice.agent, need: need, maxWait: maxWaitAtAgent(choice.wait)})
		choice.agent.plannedRuns++
	}
	for _, p := range m.plan {
		p.agent.plannedRuns = 0
	}
	if !j.started() && len(m.plan) < j.unplacedTasks && len(m.plan) < max(1, m.eligibleAgents(now, j.submission)) {
		m.plan = m.plan[:0]
		return
	}
	plan := m.plan
	m.plan = nil
	for _, p := range plan {
		m.orderRun(now, p)
	}
	m.plan = plan[:0]
}

// eligibleAgents counts the eligible agents that serve a submission, regardless of their free capacity.
func (m *Machine) eligibleAgents(now time.Duration, s *Submission) int {
	n := 0
	for _, a := range m.sortedAgents {
		if m.serves(a, s) && m.eligibility(now, a) == Open {
			n++
		}
	}
	return n
}

// isBlocked reports whether the need is at least as large as a blocked one of the same service and of the
// same or a more urgent priority, for a queue that uses the same agents.
func (m *Machine) isBlocked(now time.Duration, blocked []blockedNeed, t *task, need job.Resources) bool {
	s := t.job.submission
	queue := m.confinedQueue(s)
	return slices.ContainsFunc(blocked, func(b blockedNeed) bool {
		return b.service == s.Service && b.queue == queue && b.priority <= s.Priority && need.Covers(b.need) &&
			(b.stretch == 0 || m.stretch(now, t) <= b.stretch)
	})
}

// due returns when a task must be completed for the job to meet its objective.
func (t *task) due() time.Duration {
	return t.job.waitStartedAt + t.job.summary.Objective - requestOverhead
}

// waitsForSpeedUntil returns until when the tasks of a job may wait for a faster worker. It leaves half of the time
// until the latest start under overload, so that the job isn't refused because of this wait.
func (j *jobState) waitsForSpeedUntil() time.Duration {
	return j.waitStartedAt + (j.overloadLatestStart-j.waitStartedAt)/2
}

// stretch returns the time left for a task relative to its predicted run time at mean speed.
func (m *Machine) stretch(now time.Duration, t *task) float64 {
	return float64(t.due()-now) / float64(m.statsOf(t.job.submission.Queue).runTimeRatio.predict(t.declaredRunTime()))
}

// confinedQueue returns the queue of a submission if it is confined, and otherwise an empty string.
func (m *Machine) confinedQueue(s *Submission) string {
	if m.confined(s.Queue) {
		return s.Queue
	}
	return ""
}

// maxWaitAtAgent returns how long a run may wait at its agent, given the predicted wait there.
func maxWaitAtAgent(predicted time.Duration) time.Duration {
	if predicted > 0 {
		return queuedMaxWait
	}
	return collisionMaxWait
}

// orderRun orders the next run of the planned task.
func (m *Machine) orderRun(now time.Duration, p plannedRun) {
	t, a := p.task, p.agent
	j := t.job
	t.number++
	t.agent, t.orderedAt, t.cancelRequested, t.crashReported, t.countedLong = a, now, false, false, false
	t.predicted = m.predict(t, a)
	a.tasks[t] = struct{}{}
	j.unplacedTasks--
	m.statsOf(j.submission.Queue).throughput.record(now, -1, 1)
	m.statsOf(j.submission.Queue).traffic.add(now)
	j.activeRuns++
	if j.summary.Orders == 0 {
		j.summary.FirstRun = now - j.waitStartedAt
	}
	j.summary.Orders++
	m.stats.Orders++
	m.addOrder(p)
	m.scheduleCheck(now + checkInterval)
}

// predict returns the predicted run time of a task on an agent.
func (m *Machine) predict(t *task, a *agent) time.Duration {
	base := m.statsOf(t.job.submission.Queue).runTimeRatio.predict(t.declaredRunTime())
	return time.Duration(float64(base) * a.currentSlowness(m.now))
}

// currentSlowness returns the run time on the agent relative to mean speed. Unlike speed.slowness it
// also takes the elapsed time of the agent's active runs into account, if there are at least minSlowRuns.
func (a *agent) currentSlowness(now time.Duration) float64 {
	factor := a.speed.slowness(now)
	ratioSum, runs := 0.0, 0
	for t := range a.tasks {
		if t.predicted > 0 && !t.cancelRequested {
			ratioSum += float64(now-t.orderedAt-a.roundTrip) / float64(t.predicted)
			runs++
		}
	}
	if runs >= minSlowRuns && ratioSum > slowElapsedRatio*float64(runs) {
		factor *= ratioSum / float64(runs)
	}
	return factor
}

// outstandingNeed returns the resources of runs for the agent that its reported state does not include
// yet: unreported orders, planned runs and pending orders.
func (m *Machine) outstandingNeed(a *agent) (need job.Resources) {
	for _, o := range a.unreported {
		need = job.Sum(need, o.need)
	}
	for _, p := range m.plan {
		if p.agent == a {
			need = job.Sum(need, p.need)
		}
	}
	for _, o := range m.pendingOrders {
		if o.agent == a {
			need = job.Sum(need, scale(o.job.submission.Steps[o.step].Need, len(o.tasks)))
		}
	}
	return need
}

// placementOption describes whether and when an agent has capacity for one run.
type placementOption struct {
	ok   bool
	wait time.Duration // predicted wait for capacity; zero if it is free
	free int64         // processors left beside the run, in thousandths; negative if some are missing
}

// evaluate returns whether a run may be sent to the agent. It may be sent to wait there, so that freed
// capacity is used immediately and the agent, which starts runs by priority, can choose between entries,
// but not if as many runs of this entry with the same or a more urgent priority wait there as may. A run
// whose predicted wait exceeds the limit for its priority is not sent.
func (m *Machine) evaluate(a *agent, need job.Resources, priority int) placementOption {
	free := job.Difference(a.state.Free, m.outstandingNeed(a))
	// mayNotWait is set if no further run of this entry with the priority may wait there. A
	// component of free is negative if more was ordered than the agent has free; the excess, of whatever
	// priority, then waits there.
	mayNotWait := !free.Covers(job.Resources{})
	for _, w := range a.state.Waiting {
		if w.Priority <= priority {
			free = job.Difference(free, w.Need)
			mayNotWait = mayNotWait || w.LimitReached
		}
	}
	if free.Covers(need) {
		return placementOption{ok: true, free: free.MilliProcessors - need.MilliProcessors}
	}
	capacity := a.state.Capacity.MilliProcessors
	if mayNotWait || capacity <= 0 {
		return placementOption{}
	}
	missing := max(1, need.MilliProcessors-free.MilliProcessors)
	wait := time.Duration(float64(missing) / float64(capacity) * float64(m.meanRunTimeOrDefault()))
	return placementOption{ok: wait <= maxAgentWait/time.Duration(1+agentWaitStep*priority), wait: wait, free: -missing}
}

// meanRunTimeOrDefault returns the mean run time over all queues.
func (m *Machine) meanRunTimeOrDefault() time.Duration {
	if m.meanRunTime == 0 {
		return defaultRunTime
	}
	return m.meanRunTime
}

// agentChoice is the agent for the next run of a task.
type agentChoice struct {
	agent *agent        // nil if the task has to wait at the entry
	wait  time.Duration // predicted wait for capacity at the agent
	// onlyAvoided is set, without an agent, if the only agent that could take the run is the one that this task
	// avoids: other tasks with the same need may be sent there.
	onlyAvoided bool
	// stretch is set, without an agent, if the task would be late on the agents with free capacity, but may be in time
	// on others (see Machine.stretch).
	stretch float64
}

// chooseAgent returns the agent with the earliest predicted completion for a task. If only slow workers
// have capacity and the task would be late there, it waits while it can still be in time on another worker: it would take
// capacity that shorter tasks can use in time. The tasks of a job of a confined queue
// are sent to the same agent while it has free capacity, so that a crash hits few other jobs. The task's avoidAgent is chosen
// only if no other agent is available, with or without free capacity, and not before avoidUntil; the agent's own
// backoff is then ignored.
func (m *Machine) chooseAgent(now time.Duration, t *task) agentChoice {
	s := t.job.submission
	need := s.Steps[t.step].Need
	var best *agent
	var bestCompletion time.Duration
	var bestOption placementOption
	due, bestLate, mayWait := t.due(), false, false
	base := m.statsOf(s.Queue).runTimeRatio.predict(t.declaredRunTime())
	avoided, others := false, false
	for _, a := range m.sortedAgents {
		if !m.serves(a, s) || !m.available(now, a) || !a.state.Capacity.Covers(need) {
			continue
		}
		if a == t.avoidAgent {
			avoided = true
			continue
		}
		others = true
		// The recent deviation of an agent is too noisy to let tasks wait.
		learned := time.Duration(float64(base) * a.speed.learned.Factor())
		option := m.evaluate(a, need, s.Priority)
		mayWait = mayWait || now+a.roundTrip+learned <= due
		if !option.ok || now < a.backoffUntil {
			continue
		}
		if option.wait == 0 && m.confined(s.Queue) && m.hasRunOf(a, t.job) {
			return agentChoice{agent: a}
		}
		completion := a.roundTrip + option.wait + m.predict(t, a)
		late := a.speed.learned.Factor() >= slowWorkerFactor && now+a.roundTrip+option.wait+learned > due
		switch {
		case best == nil, bestLate && !late:
		case late && !bestLate:
			continue
		case option.wait == 0 && bestOption.wait > 0:
		case option.wait > 0 && bestOption.wait == 0:
			continue // a run is sent to wait only if no agent has free capacity
		case !isBetter(completion, option.free, bestCompletion, bestOption.free, m.random.Uint32()):
			continue
		}
		best, bestCompletion, bestOption, bestLate = a, completion, option, late
	}
	if bestLate && mayWait && now < t.job.waitsForSpeedUntil() {
		m.statsOf(s.Queue).waitsForSpeedUntil = now + waitForSpeedMemory
		return agentChoice{stretch: m.stretch(now, t)}
	}
	if best == nil && avoided {
		option := m.evaluate(t.avoidAgent, need, s.Priority)
		if option.ok && !others && now >= t.avoidUntil {
			return agentChoice{agent: t.avoidAgent, wait: option.wait}
		}
		return agentChoice{onlyAvoided: option.ok}
	}
	return agentChoice{agent: best, wait: bestOption.wait}
}

// hasFreeCapacity reports whether the eligible agents have reported free capacity for all tasks of a submission, apart
// from what this entry has ordered since.
func (m *Machine) hasFreeCapacity(now time.Duration, s *Submission) bool {
	for _, step := range s.Steps {
		fitting := 0
		for _, a := range m.sortedAgents {
			if fitting >= step.Count {
				break
			}
			if !m.serves(a, s) || !m.available(now, a) || now < a.backoffUntil {
				continue
			}
			if option := m.evaluate(a, step.Need, s.Priority); option.ok && option.wait == 0 {
				fitting += 1 + int(option.free/max(1, step.Need.MilliProcessors))
			}
		}
		if fitting < step.Count {
			return false
		}
	}
	return true
}

// hasRunOf reports whether a run of the job is active or planned at the agent.
func (m *Machine) hasRunOf(a *agent, j *jobState) bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.agent == a }) ||
		slices.ContainsFunc(m.plan, func(p plannedRun) bool { return p.agent == a && p.task.job == j })
}

// isBetter compares two agents by the predicted time to completion, or by free capacity if these times
// are close. The tie-break is a random number.
func isBetter(completion time.Duration, free int64, bestCompletion time.Duration, bestFree int64, tieBreak uint32) bool {
	a, b := float64(completion), float64(bestCompletion)
	switch {
	case a*equalCompletionRatio < b:
		return true
	case b*equalCompletionRatio < a:
		return false
	case free != bestFree:
		return free > bestFree
	}
	return tieBreak%2 == 0
}
