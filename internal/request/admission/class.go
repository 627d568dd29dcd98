package admission

import "time"

const (
	// missRateWeight is the weight of one answer in the moving average of missed targets, which
	// covers about the last 200 answers.
	missRateWeight = 0.005
	// boostFactor makes the boost the whole target if the share of answers in time is 10 percentage
	// points below the required share.
	boostFactor = 10
)

// ClassState counts the answers of a class and those within its target. A class whose share of answers in
// time is below the required share gets a boost, with which its tasks precede those of others.
type ClassState struct {
	Target time.Duration // time within which an answer is due
	Share  float64       // required share of answers within Target

	// Shed counts the tasks that were rejected or ended as not run, not only the shed ones.
	Answered, InTarget, Shed uint64

	queued   int
	missRate float64 // recent share of answers that missed the target
	boost    time.Duration
}

// Queued returns the number of queued tasks.
func (c *ClassState) Queued() int { return c.queued }

// Boost returns the time that is subtracted from the latest starts of the class's tasks when they
// are compared with those of other classes.
func (c *ClassState) Boost() time.Duration { return c.boost }

// RecordAnswer counts one final answer.
func (c *ClassState) RecordAnswer(inTarget, notRun bool) {
	c.Answered++
	missed := 1.0
	if inTarget {
		c.InTarget++
		missed = 0
	}
	if notRun {
		c.Shed++
	}
	c.missRate += missRateWeight * (missed - c.missRate)
	shortfall := c.missRate - (1 - c.Share)
	c.boost = time.Duration(max(0, min(1, shortfall*boostFactor)) * float64(c.Target))
}
