package clock

import (
	"sync/atomic"
	"time"
)

const (
	// StallCheckInterval is the time between two calls of Stalls.Observe.
	StallCheckInterval = 100 * time.Millisecond
	// stallThreshold is the time between two observations from which the process counts as stalled. It
	// is well below the second for which callers wait for a response, and above the delays of a process
	// that shares its processor.
	stallThreshold = 300 * time.Millisecond
	// stallWindow is the time after a stall within which requests that arrived during the stall are read.
	stallWindow = time.Second
)

// Stalls records when the process last stalled, that is, did not run for stallThreshold or more: it was
// stopped or starved of processor time, or its VM was suspended. A request that is read soon after a
// stall may have waited in its connection for the whole stall, and nothing in the request shows it.
// The zero value is ready for use; a stall is detected from the first observation on. The methods may be called on any
// goroutine, Observe on one only. With another Threshold, Stalls records the gaps between any other observations.
type Stalls struct {
	// Threshold replaces stallThreshold unless it is zero. It is set before the first call.
	Threshold time.Duration

	observed atomic.Int64 // time of the latest observation, in nanoseconds since boot; zero before the first one
	ended    atomic.Int64 // end of the latest stall, in nanoseconds since boot; zero if there was none
}

// Observe records that the process runs at now, a reading of SinceBoot. Call it every StallCheckInterval.
func (s *Stalls) Observe(now time.Duration) {
	if s.stalledAt(now) {
		s.ended.Store(int64(now))
	}
	s.observed.Store(int64(now)) // after ended, see Recent
}

// Recent reports whether a request that is read at now, a reading of SinceBoot, may have arrived before
// or during a stall. It also detects a stall that Observe has not seen yet.
func (s *Stalls) Recent(now time.Duration) bool {
	ended := s.LastEnd(now)
	return ended != 0 && now-ended < stallWindow
}

// LastEnd returns the end of the latest stall up to now, a reading of SinceBoot; now itself if Observe has not been called
// since, and zero if there was no stall.
func (s *Stalls) LastEnd(now time.Duration) time.Duration {
	if s.stalledAt(now) {
		return now
	}
	return time.Duration(s.ended.Load())
}

func (s *Stalls) stalledAt(now time.Duration) bool {
	threshold := stallThreshold
	if s.Threshold != 0 {
		threshold = s.Threshold
	}
	observed := time.Duration(s.observed.Load())
	return observed != 0 && now-observed >= threshold
}
