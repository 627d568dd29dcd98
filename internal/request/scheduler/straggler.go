package scheduler

import (
	"slices"
	"time"
)

const (
	// overdueFactor is the multiple of the predicted run time from which a run is overdue. The natural logarithm
	// of the ratio of actual to predicted run time has a standard deviation of about 0.55, so 2% of runs
	// become overdue by chance.
	overdueFactor = 3
	// stragglerPercent is the percentage of the median run time of the job's completed tasks above which
	// a run counts as a straggler. The run times of the tasks of one job differ by about 15%.
	stragglerPercent = 160
	// minSlowRuns is the minimum number of overdue runs (mostlyOverdue) or active runs (currentSlowness)
	// from which an agent may count as slow.
	minSlowRuns = 2
	// stragglerMargin is added to the limits by overdueFactor and stragglerPercent to cover network and
	// scheduling delays.
	stragglerMargin = 40 * time.Millisecond
	// longTaskPercent replaces stragglerPercent while stopped stragglers turn out to be long tasks (see longTasks). It
	// exceeds the run time of tasks that take seven times as long as their peers, and still ends hung runs.
	longTaskPercent = 1000
	// longTaskWeight is the weight of the newest outcome in longTasks.share, and maxLongTaskShare the share from which
	// stragglers are not stopped at stragglerPercent: four long tasks in a row after a start.
	longTaskWeight   = 0.2
	maxLongTaskShare = 0.5
	// longTaskProbes is the number of runs over stragglerPercent of which one is stopped nevertheless, to notice that
	// stops help again. With 3% long tasks, stopping all stragglers wasted a ninth of the capacity.
	longTaskProbes = 20
)

// longTasks estimates whether the runs that are stopped as stragglers are slow because of their task. The next run
// of such a task takes as long as the stopped one would have, so the stop only wastes processor time.
type longTasks struct {
	share float64 // moving average: the share of the stops after which the next run was no faster
	spent int     // runs over stragglerPercent that were not stopped, since the last probe
}

// record adds the outcome of a stop.
func (l *longTasks) record(long bool) {
	x := 0.0
	if long {
		x = 1
	}
	l.share += longTaskWeight * (x - l.share)
}

// percent returns the limit for a run, relative to the median of its peers.
func (l *longTasks) percent() time.Duration {
	if l.share < maxLongTaskShare || l.spent >= longTaskProbes {
		return stragglerPercent
	}
	return longTaskPercent
}

// stopStragglers stops runs that take much longer than expected if another agent can run the task.
// The task is queued again once the run is over.
func (m *Machine) stopStragglers(now time.Duration, j *jobState) {
	if j.activeRuns == 0 {
		return
	}
	medianRunTime := median(j.completedRunTimes)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.agent == nil || t.cancelRequested {
			continue
		}
		elapsed := now - t.orderedAt
		overdue := elapsed >= overdueFactor*t.predicted<<t.stragglers+stragglerMargin && m.mostlyOverdue(now, t.agent)
		exceeds := m.exceedsMedian(t, medianRunTime<<t.stragglers, elapsed, stragglerPercent)
		if exceeds && !t.countedLong {
			t.countedLong = true
			m.longTasks.spent++
		}
		if !overdue && !(exceeds && m.exceedsMedian(t, medianRunTime<<t.stragglers, elapsed, m.longTasks.percent())) {
			continue
		}
		if !m.otherAgentAvailable(now, t) {
			continue
		}
		m.stats.Stragglers++
		m.recordStop(now, t, elapsed, overdue)
		t.stragglers++ // doubles the limits for the next run: the declared run time may be wrong
		t.avoidAgent = t.agent
		m.statsOf(j.submission.Queue).runTimeRatio.updateDeviation(now, &t.agent.speed, elapsed, t.declaredRunTime(), stragglerWeight)
		m.cancelRun(t)
	}
}

// recordStop records that a run is stopped, and that the last stop of the task, if any, did not help.
func (m *Machine) recordStop(now time.Duration, t *task, elapsed time.Duration, overdue bool) {
	if t.stoppedAfter > 0 {
		m.longTasks.record(true)
	}
	t.stoppedAfter = 0
	if !overdue { // otherwise the agent is slow
		t.stoppedAfter = t.agent.normalise(now, elapsed)
		m.longTasks.spent = 0
	}
}

// recordDone records whether the last stop of a completed task helped.
func (m *Machine) recordDone(t *task, normalised time.Duration) {
	if t.stoppedAfter > 0 {
		m.longTasks.record(normalised >= t.stoppedAfter)
		t.stoppedAfter = 0
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
	return overdue >= minSlowRuns && 2*overdue >= len(a.tasks)
}

// exceedsMedian reports whether a run takes longer than percent of medianRunTime, the median of the completed
// tasks of its job. At least half of the tasks must be completed. It uses the learned speed of the agent
// without the recent deviation, because a recent slowdown must not raise the limit for the run that it
// delays.
func (m *Machine) exceedsMedian(t *task, medianRunTime, elapsed, percent time.Duration) bool {
	if medianRunTime == 0 || 2*len(t.job.completedRunTimes) < len(t.job.tasks) {
		return false
	}
	expected := time.Duration(float64(medianRunTime) * max(1, t.agent.speed.learned.Factor()))
	return elapsed > expected*percent/100+stragglerMargin
}

func median(runTimes []time.Duration) time.Duration {
	if len(runTimes) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(runTimes))
	return sorted[len(sorted)/2]
}

// otherAgentAvailable reports whether the task could be placed on another agent now.
func (m *Machine) otherAgentAvailable(now time.Duration, t *task) bool {
	need := t.job.submission.Steps[t.step].Need
	for _, a := range m.sortedAgents {
		if a == t.agent || !m.serves(a, t.job.submission) || now < a.backoffUntil || !m.available(now, a) {
			continue
		}
		if m.evaluate(a, need, t.job.submission.Priority).ok && a.state.Capacity.Covers(need) {
			return true
		}
	}
	return false
}
