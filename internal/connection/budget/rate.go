package budget

import "time"

const (
	// rateWindow and windowBytes are the minimum rate of a body: a sender that sends less in one window loses its grant.
	// Slower than a modem, and no sender that stops holds its bytes for longer than a window.
	rateWindow  = 5 * time.Second
	windowBytes = 32 << 10
	// MaxReadTime is how long one read of a body may take. A longer one counts as this time only, because the process was
	// paused meanwhile and could not read what had arrived.
	MaxReadTime = 500 * time.Millisecond
	// GrantTimeout is how long a request waits for its bytes before it is refused: longer than a sender that has stopped can
	// keep them.
	GrantTimeout = rateWindow + time.Second
)

// Rate is the rate at which a body arrives. Time in which the process does not run is not held against the sender.
type Rate struct {
	bytes int           // of the window
	spent time.Duration // in reads of the window
}

// Read records a read that took a time and returned n bytes. It reports whether the sender is below the minimum rate.
func (r *Rate) Read(n int, took time.Duration) (tooSlow bool) {
	r.bytes += n
	r.spent += min(took, MaxReadTime)
	if r.bytes >= windowBytes {
		*r = Rate{}
	}
	return r.spent >= rateWindow
}
