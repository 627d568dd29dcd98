package configfeed

import "time"

const (
	// redialBackoff is the shortest time between the starts of two attempts to open a session.
	redialBackoff = 50 * time.Millisecond
	// minConnectTimeout and maxConnectTimeout bound the time in which a member must accept a connection; the session
	// handshake is not included. While a host is off, the first packet (SYN) of a connection is lost and retransmitted
	// only after a second. After a loss of power, a process that waited 300 ms for a member whose host was still off
	// got its configuration 0.2 s after the other members had elected a leader. 50 ms is well above a round trip
	// between zones, which is assumed to take 3 ms.
	minConnectTimeout = 50 * time.Millisecond
	maxConnectTimeout = 300 * time.Millisecond
)

// redialPlan determines how long an attempt to connect to a member may take. The timeout doubles after each round in
// which no member could be reached, so that members beyond a slow link are reached as well.
type redialPlan struct {
	connectTimeout time.Duration // zero: minConnectTimeout
	failures       int           // in this round
}

// timeout returns the time in which the next member must accept a connection.
func (p *redialPlan) timeout() time.Duration { return max(p.connectTimeout, minConnectTimeout) }

// ended records the end of an attempt or of its session, with the number of members and the time since the attempt
// began. It returns the time until the next attempt.
func (p *redialPlan) ended(opened bool, members int, elapsed time.Duration) time.Duration {
	p.failures++
	switch {
	case opened:
		*p = redialPlan{}
	case p.failures >= members:
		*p = redialPlan{connectTimeout: min(2*p.timeout(), maxConnectTimeout)}
	}
	return max(0, redialBackoff-elapsed)
}
