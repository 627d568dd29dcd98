// Package health judges agents by the outcomes of the starts that were sent to them. Workers that
// fail everything quickly look idle; they are put on probation before they drain a queue.
package health

import (
	"math"
	"time"
)

const (
	// probationBase is the first probation of an agent; each further one lasts probationGrowth
	// times as long, up to probationMax. Every probation costs at most one task.
	probationBase   = 2 * time.Second
	probationGrowth = 4
	probationMax    = 5 * time.Minute
	// minFailures is the number of failures in a row that put a proven agent on probation when
	// its classes rarely fail elsewhere.
	minFailures = 3
	// falseProbation is the accepted chance that this many failures in a row happen at an agent
	// that fails no more often than the others.
	falseProbation = 1e-4
	// maxFailures applies when nearly all answers of a class fail everywhere, which is no fault
	// of the agent.
	maxFailures = 1000
	// unlimited is the limit of a healthy agent.
	unlimited = math.MaxInt32
	// warmUpStart is the limit of open starts at an agent of a zone that returned.
	warmUpStart = 2
	// failureWeight makes a failure rate cover about the last 30 answers. When a class starts to
	// fail everywhere, the tolerance has to grow faster than the failures in a row at each agent.
	failureWeight = 0.03
)

// FailureRate is the recent share of failed answers of a class over all agents.
type FailureRate struct {
	rate      float64
	succeeded bool // ever
}

// Observe counts one answer.
func (f *FailureRate) Observe(failed bool) {
	value := 0.0
	if failed {
		value = 1
	} else {
		f.succeeded = true
	}
	f.rate += failureWeight * (value - f.rate)
}

// FailureThreshold is the number of failures in a row from which an agent is suspect.
func (f *FailureRate) FailureThreshold() int {
	if f.rate < 0.001 {
		return minFailures
	}
	if f.rate > 0.95 || !f.succeeded {
		return maxFailures
	}
	return max(minFailures, int(math.Ceil(math.Log(falseProbation)/math.Log(f.rate))))
}

// State is what is thought of one agent.
type State struct {
	Limit        int           // open starts allowed at once
	Probations   int           // in a row without recovery
	ProbationEnd time.Duration // end of the probation; zero without one

	proven   bool // a start has succeeded since the agent is known or left probation
	failures int  // in a row
}

// New returns the standing of an agent of which nothing is known: it gets one start at a time until
// the first good answer.
func New() State { return State{Limit: 1} }

// NewHealthy returns the standing of an agent that gets starts without a limit from the beginning.
func NewHealthy() State { return State{Limit: unlimited, proven: true} }

// RecordSuccess counts a good answer. The limit doubles with each one, until it no longer matters.
func (h *State) RecordSuccess(slots int) {
	h.failures = 0
	if !h.proven || h.Limit < unlimited {
		h.proven = true
		h.Limit *= 2
	}
	if h.Limit >= 2*max(slots, 1) {
		h.Limit = unlimited
		h.Probations = 0
	}
}

// RecordFailure counts a failed start and reports whether a probation begins. A proven agent that fails
// once is held to one open start until the next good answer, so that a sudden fault costs few
// tasks.
func (h *State) RecordFailure(now time.Duration, tolerated int) bool {
	if h.ProbationEnd > now {
		return false // a start from before the probation
	}
	h.failures++
	if !h.proven {
		tolerated -= minFailures - 1
	}
	switch {
	case h.failures >= tolerated:
	case h.failures > tolerated-minFailures:
		h.Limit = 1
		return false
	default:
		if h.proven {
			h.Limit = unlimited
		}
		return false
	}
	h.ProbationEnd = now + probationTime(h.Probations)
	h.Probations++
	h.failures, h.proven, h.Limit = 0, false, 1
	return true
}

func probationTime(earlier int) time.Duration {
	d := probationBase
	for range earlier {
		d = min(d*probationGrowth, probationMax)
	}
	return d
}

// WarmUp limits an agent whose zone has returned.
func (h *State) WarmUp() { h.Limit = min(h.Limit, warmUpStart) }

// Describe names the state for the dump.
func (h *State) Describe(now time.Duration) string {
	switch {
	case h.ProbationEnd > now:
		return "probation"
	case h.Limit < unlimited:
		return "warming"
	}
	return "healthy"
}
