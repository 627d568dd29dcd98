// Package lease computes the configuration lease during which a process may start work.
//
// A basis is a time at which a revision was known to be the newest committed one. A process polls
// its source, the process from which it receives the configuration, at local time t. The grant
// contains the revision and the age of the source's basis when the source replied; the receiver's
// basis is t minus that age. The source replies after the poll was sent, so on every hop the
// computed basis is never later than the true one. Readings of two clocks are never compared.
//
// Clocks may run at different rates. Each is assumed to run within ClockRateTolerance of true time.
// The age of a basis at the last process is the sum of the times that it spent on each hop, each
// measured with one clock. If every clock counts at least 99% of the true time, a sum below 2.97 s
// corresponds to less than 3 s. Shortening the lease by the tolerance is therefore sufficient for
// any number of hops, and ages need no further correction.
package lease

import "time"

const (
	// Duration bounds the true time between a basis and the last start that it permits.
	Duration = 3 * time.Second
	// ClockRateTolerance is the tolerated relative error of a clock's rate, in percent. Time daemons
	// slew a clock by at most 0.05%; the error can be temporarily larger when a VM is migrated.
	ClockRateTolerance = 1
	// UsableDuration is the part of Duration during which a process permits starts, measured with its
	// own clock. A clock that is slow by ClockRateTolerance counts UsableDuration while Duration
	// passes.
	UsableDuration = Duration * (100 - ClockRateTolerance) / 100
	// maxAge is the largest valid age in a grant; it prevents overflow.
	maxAge = time.Hour
)

// Grant is the reply to a lease poll.
type Grant struct {
	Sent     time.Duration // time on the receiver's clock at which the receiver sent the poll
	Revision uint64        // newest committed revision at the source's basis
	Age      time.Duration // age of the source's basis, measured with the source's clock
}

// Holder tracks the newest basis of one process and the configuration lease that follows from it.
// The zero value has none.
type Holder struct {
	applied    uint64
	basis      time.Duration
	hasBasis   bool
	pending    Grant // newest grant for a revision that is not applied yet; valid if hasPending
	hasPending bool
}

// HandleApplied records that the process has applied the revision. It reports whether the basis
// became newer.
func (h *Holder) HandleApplied(revision uint64) bool {
	h.applied = max(h.applied, revision)
	if h.hasPending && h.pending.Revision <= h.applied {
		h.hasPending = false
		return h.updateBasis(h.pending)
	}
	return false
}

// HandleGrant processes a grant received at local time now and reports whether the basis became
// newer. A grant for a revision that is not applied yet takes effect when it is; only the newest
// such grant is retained.
func (h *Holder) HandleGrant(now time.Duration, grant Grant) bool {
	if grant.Sent > now || grant.Age < 0 || grant.Age > maxAge {
		return false
	}
	if grant.Revision <= h.applied {
		return h.updateBasis(grant)
	}
	if !h.hasPending || basisOf(grant) > basisOf(h.pending) {
		h.pending, h.hasPending = grant, true
	}
	return false
}

func basisOf(grant Grant) time.Duration { return grant.Sent - grant.Age }

func (h *Holder) updateBasis(grant Grant) bool {
	basis := basisOf(grant)
	if h.hasBasis && basis <= h.basis {
		return false
	}
	h.basis, h.hasBasis = basis, true
	return true
}

// Age returns the age of the basis at local time now; false if there is none.
func (h *Holder) Age(now time.Duration) (time.Duration, bool) { return now - h.basis, h.hasBasis }

// Deadline returns the local time before which starts are permitted; false if there is no basis.
func (h *Holder) Deadline() (time.Duration, bool) { return h.basis + UsableDuration, h.hasBasis }

// Valid reports whether a start is permitted at local time now.
func (h *Holder) Valid(now time.Duration) bool { return h.hasBasis && now < h.basis+UsableDuration }
