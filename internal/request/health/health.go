// Package health tracks the health of agents by the outcomes of the starts that were sent to them.
// A worker that fails every task immediately looks idle and would be sent the whole queue; probation
// stops the starts to it early. In package scheduler a start is a run.
package health

import (
	"math"
	"time"
)

const (
	// probationBase is the duration of an agent's first probation; each further one lasts
	// probationGrowth times as long, up to probationMax. After each probation the agent gets one
	// start, so that a probation costs at most one task.
	probationBase   = 2 * time.Second
	probationGrowth = 4
	probationMax    = 5 * time.Minute
	// minFailures is the number of consecutive failures that put an agent with an earlier success
	// on probation if its classes rarely fail elsewhere.
	minFailures = 3
	// falseProbationRate is the accepted probability that the threshold of consecutive failures is
	// reached by an agent that fails no more often than the others.
	falseProbationRate = 1e-4
	// maxFailures is the threshold if nearly all starts of a class fail at all agents, which is
	// not a fault of the agent, or if none has succeeded yet.
	maxFailures = 1000
	// noLimit is the limit of open starts at a healthy agent. An open start has no outcome yet.
	noLimit = math.MaxInt32
	// warmUpLimit is the limit of open starts at an agent whose zone has returned to service.
	warmUpLimit = 2
	// failureRateWeight is the weight of one outcome in the moving average, which covers about the
	// last 30 outcomes. When a class starts to fail at all agents, the threshold has to grow faster
	// than the number of consecutive failures at each agent.
	failureRateWeight = 0.03
)

// FailureRate is the recent share of failed starts of a class over all agents, as an exponential
// moving average.
type FailureRate struct {
	rate      float64
	succeeded bool // at least one outcome was a success
}

// Observe counts one outcome.
func (r *FailureRate) Observe(failed bool) {
	value := 0.0
	if failed {
		value = 1
	} else {
		r.succeeded = true
	}
	r.rate += failureRateWeight * (value - r.rate)
}

// FailureThreshold returns the number of consecutive failures that put an agent on probation. For an
// agent without a success since its start or its last probation, State.RecordFailure lowers it by minFailures-1.
func (r *FailureRate) FailureThreshold() int {
	if r.rate < 0.001 {
		return minFailures
	}
	if r.rate > 0.95 || !r.succeeded {
		return maxFailures
	}
	return max(minFailures, int(math.Ceil(math.Log(falseProbationRate)/math.Log(r.rate))))
}

// State is the health state of one agent.
type State struct {
	Limit        int           // open starts allowed at once
	Probations   int           // consecutive, without a recovery in between
	ProbationEnd time.Duration // end of the last probation; zero without one

	trusted             bool // initially healthy, or a start succeeded since the last probation began
	consecutiveFailures int
	limitBeforeFailure  int // Limit before a failure limited the agent to one open start; zero if none did
}

// New returns the state of an unknown agent, which gets one start at a time until the first
// success.
func New() State { return State{Limit: 1} }

// NewHealthy returns the state of an agent that gets starts without a limit from the beginning.
func NewHealthy() State { return State{Limit: noLimit, trusted: true} }

// RecordSuccess counts a success. Each one doubles the limit, which is lifted when it reaches twice
// the number of slots.
func (s *State) RecordSuccess(slots int) {
	s.consecutiveFailures, s.limitBeforeFailure = 0, 0
	if !s.trusted || s.Limit < noLimit {
		s.trusted = true
		s.Limit *= 2
	}
	if s.Limit >= 2*max(slots, 1) {
		s.Limit = noLimit
		s.Probations = 0
	}
}

// RecordFailure counts a failed start and reports whether a probation begins. After each of the last
// minFailures-1 failures before the threshold the agent is limited to one open start until the next
// success, so that a sudden fault costs few tasks. An earlier failure restores the limit that a trusted agent had
// before: the threshold may have grown since.
func (s *State) RecordFailure(now time.Duration, threshold int) bool {
	if s.ProbationEnd > now {
		return false // the start was sent before the probation began
	}
	s.consecutiveFailures++
	if !s.trusted {
		threshold -= minFailures - 1
	}
	switch {
	case s.consecutiveFailures >= threshold:
	case s.consecutiveFailures > threshold-minFailures:
		if s.limitBeforeFailure == 0 {
			s.limitBeforeFailure = s.Limit
		}
		s.Limit = 1
		return false
	default:
		if s.trusted && s.limitBeforeFailure != 0 {
			s.Limit, s.limitBeforeFailure = s.limitBeforeFailure, 0
		}
		return false
	}
	s.ProbationEnd = now + probationDuration(s.Probations)
	s.Probations++
	s.consecutiveFailures, s.trusted, s.Limit, s.limitBeforeFailure = 0, false, 1, 0
	return true
}

func probationDuration(earlier int) time.Duration {
	d := probationBase
	for range earlier {
		d = min(d*probationGrowth, probationMax)
	}
	return d
}

// WarmUp limits an agent whose zone has returned to service.
func (s *State) WarmUp() { s.Limit = min(s.Limit, warmUpLimit) }

// Describe returns the name of the state for the state dump. An agent is warming while the number of
// its open starts is limited: at first, after a failure or a probation, or after the return of its zone.
func (s *State) Describe(now time.Duration) string {
	switch {
	case s.ProbationEnd > now:
		return "probation"
	case s.Limit < noLimit:
		return "warming"
	}
	return "healthy"
}
