package runner

import "time"

// maxStepGap is the longest time between two steps that counts as time in which this process ran. While the worker may
// hold a lease, a step is due every PollInterval; timers fire late on a busy host.
const maxStepGap = PollInterval + 50*time.Millisecond

// excludePause moves the times at which something is certainly over on the worker by the time since the last step in
// which this process did not run. A lease counts on the clock of the worker, which stands still while their host is
// suspended. If only this process was stopped, the worker went on, and its next report shows which leases have expired.
func (m *Machine) excludePause(now time.Duration, event Event) {
	elapsed := now - m.now
	paused := max(0, elapsed-maxStepGap)
	if e, ok := event.(HostSuspended); ok {
		paused = max(paused, min(e.Duration, elapsed))
	}
	if paused == 0 {
		return
	}
	w := &m.worker
	w.leaseEnd += paused
	for call, pending := range m.pendingLeases {
		if pending.end != 0 {
			pending.end += paused
			m.pendingLeases[call] = pending
		}
	}
	if w.clockAt != 0 {
		w.clockAt += paused
	}
	for _, r := range m.startedByTask {
		if r.undecided() {
			r.confirmedAt += paused // of a start that may still wait at the worker
		}
	}
}
