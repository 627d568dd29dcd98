package runner

import "time"

const (
	// repeatInterval is the time without a response after which a start is sent again while calls go unanswered. A
	// worker that responds does so within a few milliseconds.
	repeatInterval = 6 * time.Millisecond
	// lateTick is how late a tick may be. If it is later, this process did not run for a while and the response may
	// have arrived.
	lateTick = 4 * time.Millisecond
	// maxStartCopies bounds the calls for one start. With two calls in five unanswered, 3% of the starts need more.
	maxStartCopies = 4
	// reportLossPeriod is how long after an unanswered renewal reports are requested every reportInterval, if another one
	// went unanswered in as long before it. A lost report delays the ends of all runs of the worker.
	reportLossPeriod = 500 * time.Millisecond
	// reportInterval is the time between two of these requests.
	reportInterval = 6 * time.Millisecond
	// maxOutOfBand bounds the out-of-band calls that are pending at the same time.
	maxOutOfBand = 8
)

// repeatStarts sends those starts again that have waited for a response for repeatInterval while calls go unanswered.
// The copies have the same run number, of which the worker starts only one, and each has a higher token than the one
// before, so the worker refuses the earlier ones once it has carried out a later one. When maxStartCopies have been
// sent, the next report decides about the run.
func (m *Machine) repeatStarts(now time.Duration) {
	if now >= m.worker.lossyUntil {
		return
	}
	for _, r := range m.startedByArrival() {
		if r.phase != starting || now < r.repeatAt {
			continue
		}
		switch {
		case now > r.repeatAt+lateTick:
			r.repeatAt = now + lateTick
		case r.copies >= maxStartCopies:
			m.startUnconfirmed(now, r)
		case !m.repeatStart(now, r):
			r.repeatAt = now + repeatInterval
		}
	}
}

// repeatStart sends a start again and reports whether it did.
func (m *Machine) repeatStart(now time.Duration, r *record) bool {
	if r.copies >= maxStartCopies || r.cancelRequested || !m.acceptsStarts(now) || len(m.worker.unknownTasks) > 0 || !m.leaseSuffices(now, r) {
		return false
	}
	m.raiseAbove(r.token)
	m.stats.StartsRepeated++
	m.sendStart(now, r)
	return true
}

// startUnanswered sends the start again whose last call was not answered, and requests a report beside it. A call that
// failed without waiting for a response is not sent again: the worker has closed the connection, and would probably close
// the next one.
func (m *Machine) startUnanswered(now time.Duration, r *record) {
	if now < r.sentAt+repeatInterval || !m.repeatStart(now, r) {
		m.startUnconfirmed(now, r)
	}
	m.worker.outOfBandWanted = true
}

// startUnconfirmed records that the worker may carry out the start, now or later. The next report decides.
func (m *Machine) startUnconfirmed(now time.Duration, r *record) {
	r.phase, r.confirmedAt = unconfirmed, now
	m.raiseAbove(r.token)
	m.worker.outOfBandWanted = true
}

// raiseAbove raises the token above that of a start call: a worker that has seen the new token refuses the call if it
// arrives later.
func (m *Machine) raiseAbove(token uint64) {
	if token == m.worker.token {
		m.worker.token += tokenIncrement
	}
}

// earlierCopyReturned handles the outcome of a start call that was sent again since. Unless the call was accepted, the
// outcome of the last copy decides.
func (m *Machine) earlierCopyReturned(now time.Duration, r *record, result CallResult) {
	if result == Accepted {
		m.worker.heardAt = now
		m.confirmRunning(now, r)
	}
}

// lastCopyReturned handles the outcome of the last of several calls for one start. If it was not accepted, the run may
// be in progress nevertheless, because an earlier copy was carried out.
func (m *Machine) lastCopyReturned(now time.Duration, r *record, e StartReturned) {
	switch e.Result {
	case Accepted:
		m.worker.heardAt = now
		r.startedAt = r.sentAt
		m.confirmRunning(now, r)
	case Fenced:
		if e.Token < m.worker.token && m.repeatStart(now, r) {
			return
		}
		m.raiseToken(e.Token)
		m.startUnconfirmed(now, r)
	case NoResponse:
		m.startUnanswered(now, r)
	default:
		m.startUnconfirmed(now, r)
	}
}

// undecided reports whether an unanswered start call may have started the run, or may start it later.
func (r *record) undecided() bool {
	return r.phase == unconfirmed || r.phase == starting && r.copies > 1
}

// sentLease is the lease in a renewal that was sent at a time; end is zero if it contained none.
type sentLease struct{ sentAt, end time.Duration }

// outOfBandLease returns the lease in the last out-of-band call that was sent at a time or before.
func (w *workerState) outOfBandLease(sent time.Duration) time.Duration {
	for i := len(w.outOfBandLeases) - 1; i >= 0; i-- {
		if w.outOfBandLeases[i].sentAt <= sent {
			return w.outOfBandLeases[i].end
		}
	}
	return 0
}

// noteReportLost records that a renewal was not answered.
func (m *Machine) noteReportLost(now time.Duration) {
	w := &m.worker
	if w.reportLostAt != 0 && now < w.reportLostAt+reportLossPeriod {
		w.reportsLostUntil = now + reportLossPeriod
	}
	w.reportLostAt = now
}

// repeatsReports reports whether reports are requested every reportInterval, without waiting for those that are pending:
// renewals go unanswered, and the worker has runs and is not silent.
func (m *Machine) repeatsReports(now time.Duration) bool {
	w := &m.worker
	return now < w.reportsLostUntil && len(m.startedByTask) > 0 && now < w.heardAt+silentAfter
}

// outOfBandPermitted reports whether an out-of-band call may be sent beside those that are pending.
func (m *Machine) outOfBandPermitted(now time.Duration) bool {
	active := m.worker.outOfBandActive
	return active == 0 || active < maxOutOfBand && m.repeatsReports(now)
}
