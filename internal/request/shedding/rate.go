package shedding

import "time"

const (
	// rateWindow is the interval over which started processor time is counted while jobs wait.
	rateWindow = 50 * time.Millisecond
	// rateWeight is the weight of the newest window in the moving average.
	rateWeight = 0.3
	// minWaitingWindows is the number of consecutive windows with waiting jobs from which capacity counts as too
	// small. Short waits under normal load are no sign of that.
	minWaitingWindows = 3
)

// Rate measures the processor time that is started per time while jobs wait for capacity.
type Rate struct {
	perSecond      float64 // moving average; zero until jobs have waited during a whole window
	waitingWindows int     // consecutive windows during which jobs waited all the time
	windowStart    time.Duration
	started        time.Duration // processor time started in the current window
	idle           bool          // at some time in the current window no job waited
}

// Record adds processor time that was started. waiting tells whether jobs wait after that.
func (r *Rate) Record(now, started time.Duration, waiting bool) {
	if elapsed := now - r.windowStart; elapsed >= rateWindow {
		r.closeWindow(elapsed)
		r.windowStart, r.started, r.idle = now, 0, !waiting
	}
	r.started += started
	r.idle = r.idle || !waiting
}

func (r *Rate) closeWindow(elapsed time.Duration) {
	if r.idle {
		r.waitingWindows = 0
		return
	}
	r.waitingWindows++
	rate := float64(r.started) / float64(elapsed)
	if r.perSecond == 0 {
		r.perSecond = rate
	}
	r.perSecond += rateWeight * (rate - r.perSecond)
}

// Overloaded reports whether jobs have waited during the last minWaitingWindows windows.
func (r *Rate) Overloaded() bool { return r.waitingWindows >= minWaitingWindows }

// PerTime returns the processor time that is started per time, or zero if capacity is not known to be too small.
func (r *Rate) PerTime() float64 {
	if !r.Overloaded() {
		return 0
	}
	return r.perSecond
}
