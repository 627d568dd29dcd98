package admission

import (
	"slices"
	"time"

	"pollenpaddle/internal/failure"
)

// headroomPeriod is how long headroom (idle slots for the tasks of others) is left after an organisation was
// last seen that had tasks, but no more queued than running. Organisations that have reached their share and
// have more queued than running tasks leave it.
const headroomPeriod = 10 * time.Second

// TaskStarted counts a started task of the organisation.
func (q *Queue) TaskStarted(o *Organisation) { q.addRunning(o, 1) }

// TaskEnded counts the outcome of a started task.
func (q *Queue) TaskEnded(o *Organisation) { q.addRunning(o, -1) }

func (q *Queue) addRunning(o *Organisation, change int) {
	o.running += change
	q.running += change
	before := o.rank
	q.updateRank(o)
	if o.rank != before || o.rank == AtShare {
		o.reposition()
	}
}

func (o *Organisation) reposition() {
	for _, b := range o.backlogs {
		b.reposition()
	}
}

func (q *Queue) updateRank(o *Organisation) {
	switch {
	case o.Allowance >= 0 && o.running >= o.Allowance:
		o.rank = AtQuota
	case q.fairLevel >= 0 && o.running >= q.fairLevel:
		o.rank = AtShare
	default:
		o.rank = BelowShare
	}
}

// SetAllowance sets the number of tasks that the quota allows the organisation to run at this
// entry; negative means no bound.
func (q *Queue) SetAllowance(o *Organisation, allowance int) {
	if o.Allowance == allowance {
		return
	}
	o.Allowance = allowance
	q.updateRank(o)
	o.reposition()
}

// Rebalance recomputes the fair level of running tasks per organisation for the number of tasks
// that the entry can run at present. Its cost grows with the number of organisations.
func (q *Queue) Rebalance(now time.Duration, capacity int) {
	q.demands = q.demands[:0]
	for _, o := range q.byArrival {
		demand := o.demand()
		if demand == 0 {
			continue
		}
		q.demands = append(q.demands, demand)
		if o.queued <= o.running {
			q.headroomUntil = now + headroomPeriod
		}
	}
	slices.Sort(q.demands)
	q.fairLevel = sortedFairLevel(capacity, q.demands)
	for _, o := range q.byArrival {
		q.updateRank(o)
	}
	for _, l := range q.lanes {
		l.backlogs.rebuild()
	}
}

// demand returns the number of tasks that the organisation could run within its quota.
func (o *Organisation) demand() int {
	demand := o.running + o.queued
	if o.Allowance >= 0 {
		demand = min(demand, o.Allowance)
	}
	return demand
}

// LeavesHeadroom reports whether the organisation has reached its share and has more queued than
// running tasks, while another organisation recently had tasks, but no more queued than running. Its tasks
// then leave idle slots for the next tasks of the other.
func (q *Queue) LeavesHeadroom(now time.Duration, o *Organisation) bool {
	return now < q.headroomUntil && o.rank == AtShare && o.queued > o.running
}

// FairLevel returns the fair level of the last Rebalance; negative if no organisation is limited.
func (q *Queue) FairLevel() int { return q.fairLevel }

// Admit makes space for a number of tasks of an organisation in a class, or rejects them. If the
// bound of the class or of the queue is reached, shed is called with one task at a time of the
// organisation that has the most queued tasks; the callback must Remove at least that task. The new
// tasks are rejected if their own organisation would have the most.
func (q *Queue) Admit(class *ClassState, o *Organisation, tasks int, shed func(*Item)) *failure.Error {
	if o.queued+tasks > q.limits.Organisation {
		return q.rejection(o, "the queue limit of the organisation would be exceeded: %d of its tasks are queued", o.queued)
	}
	for class.queued+tasks > q.limits.Class {
		queued := func(other *Organisation) int { return other.queuedIn(class) }
		if !q.shedLargest(o, queued, tasks, class, shed) {
			return q.rejection(o, "the queue limit of the class would be exceeded: %d of its tasks are queued", class.queued)
		}
	}
	for q.queued+tasks > q.limits.Total {
		queued := func(other *Organisation) int { return other.queued }
		if !q.shedLargest(o, queued, tasks, nil, shed) {
			return q.rejection(o, "the queue limit of the entry would be exceeded: %d tasks are queued", q.queued)
		}
	}
	return nil
}

// rejection returns the error of rejected tasks. The reason is the quota if the organisation uses all
// of it, and overload otherwise.
func (q *Queue) rejection(o *Organisation, format string, queued int) *failure.Error {
	if o.rank == AtQuota {
		return failure.New(failure.QuotaExceeded, "wait for running tasks of the organisation to finish or ask for a higher quota",
			"the quota of the organisation is in use and "+format, queued)
	}
	return failure.New(failure.Overloaded, "retry after the time in Retry-After", format, queued)
}

func (o *Organisation) queuedIn(class *ClassState) int {
	sum := 0
	for _, b := range o.backlogs {
		if b.lane.Class == class {
			sum += b.queued
		}
	}
	return sum
}

// shedLargest calls shed with one task of the organisation with the most queued tasks, of the given
// class if class is not nil. It returns false if the requester would be that organisation, or if shed
// removed nothing.
func (q *Queue) shedLargest(requester *Organisation, queued func(*Organisation) int, tasks int, class *ClassState, shed func(*Item)) bool {
	largest, most := requester, queued(requester)+tasks
	for _, o := range q.byArrival {
		if n := queued(o); n > most {
			largest, most = o, n
		}
	}
	if largest == requester {
		return false
	}
	for _, b := range largest.backlogs {
		if b.queued == 0 || class != nil && b.lane.Class != class {
			continue
		}
		// The last elements of a heap are leaves and so not among the most urgent tasks.
		for i := len(b.items.elements) - 1; i >= 0; i-- {
			if item := b.items.elements[i]; item.queued {
				before := q.queued
				shed(item)
				return q.queued < before
			}
		}
	}
	return false
}

// ShedLate calls shed for the head of each backlog while its latest start has passed. The callback
// must Remove or Take the task. It returns the time at which the next task becomes late, and false
// if nothing is queued.
func (q *Queue) ShedLate(now time.Duration, shed func(*Item)) (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, o := range q.byArrival {
		if o.queued == 0 {
			continue
		}
		for _, b := range o.backlogs {
			at, ok := q.shedLateFrom(b, now, shed)
			if ok && (!found || at < next) {
				next, found = at, true
			}
		}
	}
	return next, found
}

func (q *Queue) shedLateFrom(b *backlog, now time.Duration, shed func(*Item)) (time.Duration, bool) {
	for b.queued > 0 {
		head := b.items.elements[0]
		if !head.queued {
			b.dropRemoved()
			continue
		}
		if head.LatestStart >= now {
			return head.LatestStart + 1, true
		}
		shed(head)
		if head.queued {
			return now, true
		}
	}
	return 0, false
}
