package clock_test

import (
	"testing"
	"time"

	"pollenpaddle/internal/clock"
)

// Guards against a late request that counts as new because the process noticed its own pause after the
// request was read, or had just run on for one observation.
func TestStallsReportPauseBeforeAndAfterItIsObserved(t *testing.T) {
	var s clock.Stalls
	if s.Recent(time.Hour) {
		t.Error("a process that has just started counts as stalled")
	}
	now := time.Hour
	for range 40 {
		s.Observe(now)
		now += clock.StallCheckInterval
	}
	if s.Recent(now) {
		t.Error("a process that runs counts as stalled")
	}
	woken := now + 2*time.Second
	if !s.Recent(woken) {
		t.Error("a pause is not reported before its first observation")
	}
	for now = woken; now < woken+2*time.Second; now += clock.StallCheckInterval {
		s.Observe(now)
		if recent, want := s.Recent(now), now-woken < time.Second; recent != want {
			t.Errorf("%v after a pause: reported %v, want %v", now-woken, recent, want)
		}
	}
}
