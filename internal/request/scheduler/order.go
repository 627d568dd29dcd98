package scheduler

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/shedding"
)

// The values of Config.OverloadOrder.
const (
	// OrderPriority is the default: started jobs first, then by priority, then by arrival. Jobs are refused by the
	// throughput of their queue.
	OrderPriority = "priority"
	// OrderCost orders and refuses jobs by their cost to callers, see package shedding.
	OrderCost = "cost"
)

// byCost reports whether jobs are ordered and refused by their cost to callers.
func (m *Machine) byCost() bool { return m.config.OverloadOrder == OrderCost }

// costOrder is the state of a machine that orders jobs by their cost.
type costOrder struct {
	classes shedding.Classes          // by queue
	rates   map[string]*shedding.Rate // by service
	sortAt  time.Duration             // when the order of the waiting jobs changes next without an event; zero if never
	scratch []shedding.Job
}

func (o *costOrder) rate(service string) *shedding.Rate {
	r := o.rates[service]
	if r == nil {
		r = &shedding.Rate{}
		if o.rates == nil {
			o.rates = map[string]*shedding.Rate{}
		}
		o.rates[service] = r
	}
	return r
}

// setCost sets what the order by cost needs to know of a new job with the given spare time, see maxWaitPercent.
func (m *Machine) setCost(now time.Duration, j *jobState, spare time.Duration) {
	if !m.byCost() {
		return
	}
	s := j.submission
	work := m.waitingWork(j)
	m.cost.classes.Arrived(now, s.Queue, work)
	maxWait := time.Duration(costMaxWaitPercent)
	if m.newlyStarted(now) {
		maxWait = startupMaxWaitPercent
	}
	j.cost = shedding.Job{
		Priority: s.Priority, Standing: m.cost.classes.Standing(now, s.Queue), Arrived: j.waitStartedAt,
		Objective: j.summary.Objective, LatestStart: min(j.waitStartedAt+spare*maxWait/100, j.deadline), Sequence: j.arrival,
	}
	// From then on the job is overdue.
	j.latestStart, j.overloadLatestStart = j.cost.LatestStart+1, j.cost.LatestStart+1
}

// taskWork returns the predicted processor time of a task. One that declares no processors counts as one that occupies a
// processor.
func (m *Machine) taskWork(t *task) time.Duration {
	s := t.job.submission
	milliProcessors := s.Steps[t.step].Need.MilliProcessors
	if milliProcessors <= 0 {
		milliProcessors = 1000
	}
	predicted := m.statsOf(s.Queue).runTimeRatio.predict(t.declaredRunTime())
	return time.Duration(float64(predicted) * float64(milliProcessors) / 1000)
}

// waitingWork returns the predicted processor time of the tasks of a job that wait.
func (m *Machine) waitingWork(j *jobState) (work time.Duration) {
	step, each := -1, time.Duration(0) // the tasks are sorted by step
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.agent != nil {
			continue
		}
		if t.step != step {
			step, each = t.step, m.taskWork(t)
		}
		work += each
	}
	return work
}

// compare is the order in which jobs are placed.
func (m *Machine) compare(a, b *jobState) int {
	if !m.byCost() {
		return compareJobs(a, b)
	}
	a.cost.Started, b.cost.Started = a.started(), b.started()
	return shedding.Compare(m.now, &a.cost, &b.cost)
}

// orderChanged makes sortWaiting sort the waiting jobs at a time at the latest.
func (o *costOrder) orderChanged(at time.Duration) {
	if o.sortAt == 0 || at < o.sortAt {
		o.sortAt = at
	}
}

// noteWaiting schedules the next change of the order by a job that waits.
func (m *Machine) noteWaiting(j *jobState) {
	if !m.byCost() {
		return
	}
	if at, changes := j.cost.NextChange(m.now); changes {
		m.cost.orderChanged(at)
	}
}

// sortWaiting restores the order of the waiting jobs after a change that came with time.
func (m *Machine) sortWaiting(now time.Duration) {
	if m.cost.sortAt == 0 || now < m.cost.sortAt {
		return
	}
	m.cost.sortAt = 0
	slices.SortFunc(m.waiting, m.compare)
	for _, j := range m.waiting {
		m.noteWaiting(j)
	}
}

// recordStart records a run that was ordered.
func (m *Machine) recordStart(now time.Duration, t *task) {
	if !m.byCost() {
		return
	}
	work := m.taskWork(t)
	m.cost.rate(t.job.submission.Service).Record(now, work, true)
	m.cost.classes.Served(now, t.job.submission.Queue, work)
}

// recordWaiting records for each service whether jobs wait after a step.
func (m *Machine) recordWaiting(now time.Duration) {
	for service, rate := range m.cost.rates {
		rate.Record(now, 0, slices.ContainsFunc(m.waiting, func(j *jobState) bool { return j.submission.Service == service }))
	}
}

// decideByCost returns the decision on an arriving job. The rate of a newly started process covers the time before the
// first runs have freed their capacity, and is too low.
func (m *Machine) decideByCost(now time.Duration, j *jobState) shedding.Decision {
	service := j.submission.Service
	rate := m.cost.rate(service).PerTime()
	if rate <= 0 || m.newlyStarted(now) {
		return shedding.Decision{Priority: j.cost.Priority}
	}
	j.cost.Work = m.waitingWork(j)
	return shedding.Decide(now, j.cost, m.waitingFor(service), rate)
}

// waitingFor returns the waiting jobs of a service in their order. It is valid until the next call.
func (m *Machine) waitingFor(service string) []shedding.Job {
	waiting := m.cost.scratch[:0]
	for _, w := range m.waiting {
		if w.submission.Service != service {
			continue
		}
		w.cost.Started, w.cost.Work = w.started(), m.waitingWork(w)
		waiting = append(waiting, w.cost)
	}
	m.cost.scratch = waiting
	return waiting
}

// overdueError returns the reason of the refusal of an overdue job.
func (m *Machine) overdueError(j *jobState) *failure.Error {
	err := m.overloadedError(j)
	if !m.byCost() {
		return err
	}
	service := j.submission.Service
	return m.spreadRetry(err, shedding.RetryAfter(shedding.Wait(m.waitingFor(service), m.cost.rate(service).PerTime())))
}

// spreadRetry sets a random retry delay of at least the given one, so that callers do not return together.
func (m *Machine) spreadRetry(err *failure.Error, delay time.Duration) *failure.Error {
	return err.WithRetryAfter(delay + time.Duration(m.random.Int64N(int64(delay))))
}

// overdue reports whether a job is refused because it has not started in time. In the order by cost, a job that can no longer
// meet its objective waits on unless capacity is too small and it could delay a job that can.
func (m *Machine) overdue(now time.Duration, j *jobState) bool {
	if !m.allRefused(j) || j.activeRuns > 0 {
		return false
	}
	if !m.byCost() {
		return now >= j.latestStart || now >= j.overloadLatestStart && m.statsOf(j.submission.Queue).throughput.overloaded()
	}
	return now >= j.latestStart && m.cost.rate(j.submission.Service).Overloaded() && slices.ContainsFunc(m.waiting, func(w *jobState) bool {
		return w.submission.Service == j.submission.Service && now <= w.cost.LatestStart
	})
}

// ranked returns the order with the place of its job, if jobs are ordered by cost. A job counts as started if a run of it was
// ordered in an earlier step.
func (m *Machine) ranked(now time.Duration, j *jobState, order *wire.TimedOrder) wire.Message {
	if !m.byCost() {
		return order
	}
	of := j.cost
	of.Started = j.waitStartedAt+j.summary.FirstRun < now
	rank := of.Rank(now)
	return &wire.RankedOrder{Order: *order, Group: uint8(rank.Group), In: rank.At - now}
}

// hasIdleCapacity reports whether all tasks of a job, or as many as there are eligible agents, fit on the agents beside what
// was ordered.
func (m *Machine) hasIdleCapacity(now time.Duration, j *jobState) bool {
	s := j.submission
	wanted := min(len(j.tasks), max(1, m.eligibleAgents(now, s)))
	for _, step := range s.Steps {
		for _, a := range m.sortedAgents {
			if wanted <= 0 {
				return true
			}
			if !m.serves(a, s) || !m.available(now, a) || now < a.backoffUntil || !m.evaluate(a, step.Need, s.Priority).ok {
				continue
			}
			free := job.Difference(a.state.Free, m.outstandingNeed(a))
			for n := 0; n < step.Count && wanted > 0 && free.Covers(step.Need); n++ {
				free = job.Difference(free, step.Need)
				wanted--
			}
		}
	}
	return wanted <= 0
}
