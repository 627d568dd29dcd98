package clock

import "time"

// minSuspension is the shortest suspension that is reported at once; shorter ones are added up.
const minSuspension = time.Millisecond

// Suspensions measures how long the machine was suspended. The zero value is ready for use. It is not safe for
// concurrent use.
type Suspensions struct {
	observed bool
	total    time.Duration // by which SinceBoot was ahead of Steady at the last report
}

// Observe returns how long the machine was suspended since the last report, in the time up to boot; zero if that is
// less than minSuspension. boot and steady are readings of SinceBoot and Steady, of which steady was taken later.
func (s *Suspensions) Observe(boot, steady time.Duration) time.Duration {
	ahead := boot - steady
	if !s.observed {
		s.observed, s.total = true, ahead
	}
	suspended := ahead - s.total
	if suspended < minSuspension {
		return 0
	}
	s.total = ahead
	return suspended
}
