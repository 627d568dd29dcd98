package scheduler

import (
	"slices"
	"time"
)

const (
	// overdueFactor times the predicted run time is when a run counts as overdue. The natural logarithm
	// of the ratio of actual to predicted run time has a standard deviation of about 0.55, so 2% of runs
	// become overdue by chance.
	overdueFactor = 3
	// siblingPercent is the percentage of the median run time of the job's completed tasks above which
	// a run counts as a straggler. The run times of the tasks of one job differ by about 15%.
	siblingPercent = 160
	// minOverdue is the number of overdue runs from which an agent counts as slow.
	minOverdue = 2
	// stragglerMargin is added to both limits to cover network and scheduling delays.
	stragglerMargin = 40 * time.Millisecond
)

// stopStragglers stops runs that take much longer than expected if another agent can run the task.
// The task is queued again once the run is over.
func (m *Machine) stopStragglers(now time.Duration, j *jobState) {
	if j.activeRuns == 0 {
		return
	}
	sibling := median(j.completedRunTimes)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.agent == nil || t.stopSent {
			continue
		}
		elapsed := now - t.orderedAt
		overdue := elapsed >= overdueFactor*t.predicted<<t.stragglers+stragglerMargin && m.mostlyOverdue(now, t.agent)
		if !overdue && !m.behindSiblings(t, sibling<<t.stragglers, elapsed) {
			continue
		}
		if !m.otherAgentAvailable(now, t) {
			continue
		}
		m.stats.Stragglers++
		t.stragglers++ // doubles the limits for the next run: the declared run time may be wrong
		t.avoidAgent = t.agent
		m.queue(j.submission.Queue).runTimes.updateDeviation(now, &t.agent.speed, elapsed, t.expected(), stragglerWeight)
		m.stopRun(t)
	}
}

// mostlyOverdue reports whether at least half of the agent's runs are overdue, and not just one: a
// single run may merely be longer than declared.
func (m *Machine) mostlyOverdue(now time.Duration, a *agent) bool {
	overdue := 0
	for t := range a.tasks {
		if now-t.orderedAt >= overdueFactor*t.predicted+stragglerMargin {
			overdue++
		}
	}
	return overdue >= minOverdue && 2*overdue >= len(a.tasks)
}

// behindSiblings reports whether a run takes much longer than the completed tasks of its job. It uses
// the learned speed of the agent without the recent deviation, which may be what makes the run late.
func (m *Machine) behindSiblings(t *task, sibling, elapsed time.Duration) bool {
	if sibling == 0 || 2*len(t.job.completedRunTimes) < len(t.job.tasks) {
		return false
	}
	expected := time.Duration(float64(sibling) * max(1, t.agent.speed.learned.Slowness()))
	return elapsed > expected*siblingPercent/100+stragglerMargin
}

func median(runs []time.Duration) time.Duration {
	if len(runs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(runs))
	return sorted[len(sorted)/2]
}

// otherAgentAvailable reports whether the task could be placed on another agent now.
func (m *Machine) otherAgentAvailable(now time.Duration, t *task) bool {
	need := t.job.submission.Steps[t.step].Need
	for _, a := range m.sortedAgents {
		if a == t.agent || a.state.Service != t.job.submission.Service || now < a.backoffUntil || !m.available(now, a) {
			continue
		}
		if m.evaluate(a, need, t.job.submission.Priority).ok && a.state.Capacity.Fits(need) {
			return true
		}
	}
	return false
}
