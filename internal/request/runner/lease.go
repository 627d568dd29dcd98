package runner

import (
	"time"

	"pollenpaddle/internal/model/run"
)

const (
	// stopMargin is the time after the expiry of an owner in which its runs can be stopped by calls. After it, they end
	// with the worker lease, which extends no further. With OwnerTimeout, clockDriftPercent and clockErrorMargin it is
	// below the 1.3 s after which a caller resubmits a job whose entry has failed.
	stopMargin = 200 * time.Millisecond
	// earlyRenewal is the remaining time from which a lease is renewed out of band if it can be extended: from the expiry
	// of an owner on, but not while every owner replies to its polls and no long poll is lost.
	earlyRenewal = stopMargin + 20*time.Millisecond
	// minStartLease is the shortest lease with which a run is started.
	minStartLease = 100 * time.Millisecond
)

// leaseLimit returns the end of a lease requested now, on the agent's clock: LeaseTerm from now, but at most stopMargin
// after the expiry of any owner that has runs on the worker or may order some. It is never earlier than before.
func (m *Machine) leaseLimit(now time.Duration) time.Duration {
	limit := now + m.config.LeaseTerm
	for _, o := range m.ownerList {
		if o.connected && now < o.expiresAt {
			limit = min(limit, o.expiresAt+stopMargin)
		}
	}
	for _, r := range m.startedByTask {
		limit = min(limit, m.owners[r.owner].expiresAt+stopMargin)
	}
	return max(limit, m.worker.leaseRequested)
}

// requestLease records a call that is sent now and returns the end of the lease for it, on the agent's clock.
func (m *Machine) requestLease(now time.Duration, call leaseCall) time.Duration {
	until := m.leaseLimit(now)
	m.worker.leaseRequested = until
	m.leaseCallSent(call, now+maxElapsed(until-now))
	return until
}

// leaseSuffices reports whether a run can start with regard to the lease: it lasts long enough, and does not exceed the
// limit for the owner of the run. It can exceed that limit if it was granted while the owner was expired.
func (m *Machine) leaseSuffices(now time.Duration, r *record) bool {
	end := m.owners[r.owner].expiresAt + stopMargin
	return m.worker.leaseRequested <= end && m.leaseEnd() <= end+m.maxLeaseTime()-m.config.LeaseTerm && m.leaseLimit(now) >= now+minStartLease
}

// renewEarly reports whether the lease ends soon and can be extended.
func (m *Machine) renewEarly(now time.Duration) bool {
	w := &m.worker
	return len(m.startedByTask) > 0 && !w.departed && w.outOfBandActive == 0 && now < w.heardAt+silentAfter &&
		w.leaseAssured <= now+earlyRenewal && m.leaseLimit(now) > max(now, w.leaseAssured)
}

// maxElapsed returns the time on the agent's clock after which the given time has certainly elapsed on the worker's.
func maxElapsed(d time.Duration) time.Duration {
	return d*(100+clockDriftPercent)/100 + clockErrorMargin
}

// callKind distinguishes the calls that may extend the worker lease.
type callKind uint8

const (
	startCall callKind = iota
	longPollCall
	outOfBandCall
)

// leaseCall identifies a call that may extend the worker lease. Calls of one kind for one run may be pending at
// the same time only if the worker was replaced meanwhile.
type leaseCall struct {
	kind callKind
	run  run.ID // of a start
}

// pendingLease describes the pending calls with the same leaseCall.
type pendingLease struct {
	calls int
	end   time.Duration // when the lease has expired if the calls reach the worker; zero if they extend none
}

func renewCall(outOfBand bool) leaseCall {
	if outOfBand {
		return leaseCall{kind: outOfBandCall}
	}
	return leaseCall{kind: longPollCall}
}

// leaseCallSent records a call. If it reaches the worker, the lease has expired at end; zero if it extends none. Its result
// is passed to leaseCallReturned.
func (m *Machine) leaseCallSent(call leaseCall, end time.Duration) {
	pending := m.pendingLeases[call]
	pending.calls++
	pending.end = max(pending.end, end)
	m.pendingLeases[call] = pending
}

// leaseCallReturned extends the lease by a call that may have reached the worker. If several calls with the same
// leaseCall are pending, the result may be that of any of them.
func (m *Machine) leaseCallReturned(call leaseCall, result CallResult) {
	pending, ok := m.pendingLeases[call]
	if !ok {
		return
	}
	if !result.cannotHaveReached() || pending.calls > 1 {
		m.worker.leaseEnd = max(m.worker.leaseEnd, pending.end)
	}
	if pending.calls--; pending.calls > 0 {
		m.pendingLeases[call] = pending
		return
	}
	delete(m.pendingLeases, call)
}

// leaseEnd returns when the leases of all runs started so far have expired, on the agent's clock, also if the
// pending calls reach the worker.
func (m *Machine) leaseEnd() time.Duration {
	end := m.worker.leaseEnd
	for _, pending := range m.pendingLeases {
		end = max(end, pending.end)
	}
	return end
}
