package scheduler

import (
	"time"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/shedding"
)

const (
	// throughputWindow is the interval over which ordered runs are counted while jobs wait.
	throughputWindow = 50 * time.Millisecond
	// throughputWeight is the weight of the newest window in the moving average.
	throughputWeight = 0.3
	// minWaitingWindows is the number of consecutive waiting windows from which a queue counts as overloaded.
	// Short waits under normal load place few runs and are no sign of overload.
	minWaitingWindows = 3
	// admitWaitPercent is the share of the time until its latest start that a new job may be expected
	// to wait. The rest is reserved for more urgent jobs that arrive later.
	admitWaitPercent = 60
	// waitForSpeedMemory is how long a wait for a faster worker affects the throughput: after four windows, three
	// quarters of the moving average are newer.
	waitForSpeedMemory = 4 * throughputWindow
)

// throughput measures how many runs of a queue an entry orders per second while jobs of the queue
// wait for capacity. Admission control uses it under overload: a job that would wait too long is
// rejected on arrival, so that the jobs accepted before it start in time. Without it, every job would
// wait until it is almost late.
type throughput struct {
	perSecond      float64 // moving average; zero until jobs have waited during a whole window
	waitingWindows int     // consecutive windows during which jobs waited all the time
	windowStart    time.Duration
	ordered        int  // runs ordered in the current window
	waiting        int  // waiting tasks of the queue
	idle           bool // at some time in the current window no task waited
}

// record adds to the numbers of waiting tasks and of ordered runs; tasks may be negative.
func (t *throughput) record(now time.Duration, tasks, ordered int) {
	t.closeWindow(now)
	t.waiting += tasks
	t.ordered += ordered
	t.idle = t.idle || t.waiting <= 0
}

// closeWindow evaluates the current window and starts the next one if its time is over.
func (t *throughput) closeWindow(now time.Duration) {
	elapsed := now - t.windowStart
	if elapsed < throughputWindow {
		return
	}
	t.waitingWindows++
	if t.idle {
		t.waitingWindows = 0
	} else {
		rate := float64(t.ordered) / elapsed.Seconds()
		if t.perSecond == 0 {
			t.perSecond = rate
		}
		t.perSecond += throughputWeight * (rate - t.perSecond)
	}
	t.windowStart, t.ordered, t.idle = now, 0, t.waiting <= 0
}

// overloaded reports whether jobs of the queue have waited during the last minWaitingWindows windows.
func (t *throughput) overloaded() bool { return t.waitingWindows >= minWaitingWindows }

// expectedWait returns the time in which runs of the waiting tasks and of the given number of further
// tasks are ordered. It is zero if the queue is not overloaded or the throughput is unknown.
func (t *throughput) expectedWait(now time.Duration, tasks int) time.Duration {
	t.closeWindow(now)
	if t.waiting <= 0 || t.perSecond <= 0 || !t.overloaded() {
		return 0
	}
	return time.Duration(float64(t.waiting+tasks) / t.perSecond * float64(time.Second))
}

// refusal returns why a job cannot be accepted because of the jobs that wait, or nil.
func (m *Machine) refusal(now time.Duration, j *jobState) *failure.Error {
	d := shedding.Decision{Priority: j.cost.Priority, RetryAfter: maxRetryAfter}
	switch {
	case len(m.waiting) >= m.config.QueueLimit:
		d.Rule = shedding.QueueFull
	case m.byCost():
		if d = m.decideByCost(now, j); d.Rule != shedding.Admitted && m.hasIdleCapacity(now, j) {
			d.Rule = shedding.Admitted
		}
	case m.wouldBeLate(now, j):
		d.Rule = shedding.CannotMeet
	}
	j.summary.Refusal = Refusal{Rule: d.Rule.String(), Wait: d.Wait, CostRate: j.cost.CostRate(now)}
	if d.Rule == shedding.Admitted {
		j.cost.Priority = d.Priority
		return nil
	}
	err := m.overloadedError(j)
	if m.byCost() {
		err = m.spreadRetry(err, d.RetryAfter)
	}
	return err
}

// wouldBeLate reports whether the expected wait of a new job exceeds admitWaitPercent of the time until
// its latest start. In a newly started process, the throughput covers the time before the first runs have freed their
// capacity, and is too low. While tasks of the queue wait for faster workers, the throughput says little, and a job for which
// agents report free capacity is not late.
func (m *Machine) wouldBeLate(now time.Duration, j *jobState) bool {
	if m.newlyStarted(now) {
		return false
	}
	q := m.statsOf(j.submission.Queue)
	wait := q.throughput.expectedWait(now, len(j.tasks))
	if wait == 0 || wait <= (j.latestStart-now)*admitWaitPercent/100 {
		return false
	}
	return now >= q.waitsForSpeedUntil || !m.hasFreeCapacity(now, j.submission)
}
