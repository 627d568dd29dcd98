// Package lease is the arithmetic of the lease under which a process may start work.
//
// A basis is a time at which a revision was known to be the newest accepted one. A process polls
// its source at local time t. The grant carries the revision and the age of the source's basis
// when the source answered; the receiver's basis is t minus that age. The answer was given after
// the poll was sent, so the result is early rather than late on every hop, and no two clocks are
// compared.
//
// Clocks may run at different rates. Each is assumed to run within RateAllowance of true time. The
// age of a basis at its last holder is the sum of the times that it spent on each hop, each read
// from one clock. If every clock counts at least 99% of the true time, a sum below 2.97 s stands
// for less than 3 s. Shortening the lease by the allowance is therefore enough on any number of
// hops, and ages need no correction of their own.
package lease

import "time"

const (
	// Duration bounds the true time between a basis and the last start that rests on it.
	Duration = 3 * time.Second
	// RateAllowance is the relative error of a clock's rate that leases tolerate, in percent. Time
	// daemons slew a clock by at most 0.05%; a VM that is migrated can be off by more for a while.
	RateAllowance = 1
	// UsableDuration is the part of Duration during which a process allows starts by its own clock. A clock
	// that is slow by RateAllowance counts UsableDuration while Duration passes.
	UsableDuration = Duration * (100 - RateAllowance) / 100
	// maxAge bounds the ages that are taken into account, so that the arithmetic cannot overflow.
	maxAge = time.Hour
)

// Grant is the answer to a lease poll.
type Grant struct {
	Sent     time.Duration // the receiver's clock when it sent the poll
	Revision uint64        // newest accepted revision at the source's basis
	Age      time.Duration // age of the source's basis by the source's clock
}

// Holder holds the newest basis of one process. The zero value holds none.
type Holder struct {
	applied  uint64
	basis    time.Duration
	held     bool
	waiting  Grant // a grant for a revision that is not applied yet
	deferred bool
}

// HandleApplied tells the holder that the state of the process includes the revision. It reports whether
// the basis became newer.
func (h *Holder) HandleApplied(revision uint64) bool {
	h.applied = max(h.applied, revision)
	if h.deferred && h.waiting.Revision <= h.applied {
		h.deferred = false
		return h.adopt(h.waiting)
	}
	return false
}

// HandleGrant takes a grant at local time now and reports whether the basis became newer. A grant for
// a revision that has not been applied waits until it is; only the newest one waits.
func (h *Holder) HandleGrant(now time.Duration, grant Grant) bool {
	if grant.Sent > now || grant.Age < 0 || grant.Age > maxAge {
		return false
	}
	if grant.Revision <= h.applied {
		return h.adopt(grant)
	}
	if !h.deferred || basisOf(grant) > basisOf(h.waiting) {
		h.waiting, h.deferred = grant, true
	}
	return false
}

func basisOf(grant Grant) time.Duration { return grant.Sent - grant.Age }

func (h *Holder) adopt(grant Grant) bool {
	basis := basisOf(grant)
	if h.held && basis <= h.basis {
		return false
	}
	h.basis, h.held = basis, true
	return true
}

// Age returns the age of the basis at local time now; false if there is none.
func (h *Holder) Age(now time.Duration) (time.Duration, bool) { return now - h.basis, h.held }

// Deadline returns the local time before which starts are allowed; false if there is no basis.
func (h *Holder) Deadline() (time.Duration, bool) { return h.basis + UsableDuration, h.held }

// Valid reports whether a start is allowed at local time now.
func (h *Holder) Valid(now time.Duration) bool { return h.held && now < h.basis+UsableDuration }
