// Package shedding decides which jobs wait, in which order, and which are refused when capacity is too small for all of
// them. It keeps the cost to callers low: the cost of a job that is refused or late.
//
// Operators state a priority and an objective for each class of jobs, and no weights. A class therefore counts as a
// whole: the jobs of a class share its standing in proportion to their processor time. The cost of a job is
//
//	urgency(priority) * standing(class) * processor time * usefulness(time)
//
// where the standing falls with the processor time that the class demands (see Classes), and the usefulness is 1 while
// the job can meet its objective, lateUsefulness after that, and 0 beyond uselessAfter times the objective.
package shedding

import (
	"cmp"
	"math"
	"time"
)

const (
	// urgencyStep is the part of its urgency that a job loses with each step of priority. With 0.25, three classes of
	// priority 0 to 2 and equal demand differ by a third at most, so that a less urgent class is not starved.
	urgencyStep = 0.25
	// maxPriority is the least urgent priority that is told apart.
	maxPriority = 9
	// lateUsefulness is the part of its cost that a job keeps when it can no longer meet its objective.
	lateUsefulness = 0.25
	// uselessAfter is the multiple of the objective from which a response has no use.
	uselessAfter = 3
	// costHorizon converts cost to time in the order: a job whose cost per processor time is greater by the factor e
	// may start this much later and keep its place.
	costHorizon = 3000 * time.Millisecond
)

// Job is a waiting or an arriving job. Times are on one clock.
type Job struct {
	Priority    int           // 0 is the most urgent
	Standing    float64       // of its class, see Classes.Standing
	Arrived     time.Duration // when the caller's wait began
	Objective   time.Duration // for the response time
	LatestStart time.Duration // last start with which the objective is probably met
	Work        time.Duration // predicted processor time of the tasks that wait
	Started     bool          // a task was ordered or has succeeded
	Sequence    uint64        // order of arrival, to break ties
}

// urgency returns the weight of a priority. It falls with the priority and is positive.
func urgency(priority int) float64 {
	return 1 / (1 + urgencyStep*float64(max(0, min(maxPriority, priority))))
}

// UselessAt returns when a response has no more use for the caller.
func (j *Job) UselessAt() time.Duration { return j.Arrived + uselessAfter*j.Objective }

// usefulness returns the part of the job's cost that depends on the time.
func (j *Job) usefulness(now time.Duration) float64 {
	switch {
	case now > j.UselessAt():
		return 0
	case now > j.LatestStart && !j.Started:
		return lateUsefulness
	}
	return 1
}

// CostRate returns the cost to callers per second of processor time if the job is not served.
func (j *Job) CostRate(now time.Duration) float64 {
	return urgency(j.Priority) * j.Standing * j.usefulness(now)
}

// Cost returns the cost to callers if the job is not served.
func (j *Job) Cost(now time.Duration) float64 { return j.CostRate(now) * j.Work.Seconds() }

// Group is a coarse place in the order of waiting jobs.
type Group uint8

// The groups, in their order.
const (
	Started Group = iota // has begun, and its response can still be of use
	OnTime               // can meet its objective
	Late                 // can no longer meet its objective
	Useless              // its response can be of no use
)

var groupNames = [...]string{"started", "on_time", "late", "useless"}

// String returns the name used in dumps.
func (g Group) String() string {
	if int(g) < len(groupNames) {
		return groupNames[g]
	}
	return "unknown"
}

// Rank is the place of a job in the order of waiting jobs: by Group, then by At. At is the latest start, less a time that
// grows with the cost per processor time; the order thus approximates that of the apparent tardiness cost, which is
// constant over time.
type Rank struct {
	Group Group
	At    time.Duration
}

// Group returns the group of the job at a time.
func (j *Job) Group(now time.Duration) Group {
	switch {
	case now > j.UselessAt():
		return Useless
	case j.Started:
		return Started
	case now > j.LatestStart:
		return Late
	}
	return OnTime
}

// Rank returns the place of the job in the order at a time.
func (j *Job) Rank(now time.Duration) Rank {
	r := Rank{Group: j.Group(now), At: j.LatestStart}
	if weight := urgency(j.Priority) * j.Standing; weight > 0 {
		r.At -= time.Duration(float64(costHorizon) * math.Log(weight))
	}
	return r
}

// NextChange returns when the group of the job changes next without an event; false if it does not.
func (j *Job) NextChange(now time.Duration) (time.Duration, bool) {
	switch {
	case now > j.UselessAt():
		return 0, false
	case j.Started || now > j.LatestStart:
		return j.UselessAt() + 1, true
	}
	return min(j.LatestStart, j.UselessAt()) + 1, true
}

// Compare compares two ranks.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Group, other.Group), cmp.Compare(r.At, other.At))
}

// Compare is the order of waiting jobs at a time. It is total for jobs with different sequence numbers.
func Compare(now time.Duration, a, b *Job) int {
	if c := cmp.Compare(a.Group(now), b.Group(now)); c != 0 {
		return c
	}
	return cmp.Or(a.Rank(now).Compare(b.Rank(now)), cmp.Compare(a.Sequence, b.Sequence))
}
