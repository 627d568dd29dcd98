package clock_test

import (
	"testing"
	"time"

	"pollenpaddle/internal/clock"
)

// Guards against a short suspension that is missed, and against a process that was stopped, or preempted between the
// two readings, and counts as suspended.
func TestSuspensionsCountOnlyTimeThatTheSteadyClockOmits(t *testing.T) {
	var s clock.Suspensions
	boot, steady := 9*time.Hour, time.Hour
	cases := []struct {
		name                          string
		stopped, suspended, preempted time.Duration
		want                          time.Duration
	}{
		{name: "suspended before the first observation", suspended: 3 * time.Second},
		{name: "stopped", stopped: 4 * time.Second},
		{name: "suspended while stopped", stopped: time.Second, suspended: 2500 * time.Millisecond, want: 2500 * time.Millisecond},
		{name: "suspended and preempted between the readings", suspended: 50 * time.Millisecond, preempted: 50 * time.Millisecond},
		{name: "the suspension of the previous case", want: 50 * time.Millisecond},
		{name: "below the shortest suspension", suspended: 600 * time.Microsecond},
		{name: "together above it", suspended: 600 * time.Microsecond, want: 1200 * time.Microsecond},
	}
	for _, c := range cases {
		boot, steady = boot+c.stopped+c.suspended, steady+c.stopped
		if got := s.Observe(boot, steady+c.preempted); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		boot, steady = boot+c.preempted, steady+c.preempted
	}
}
