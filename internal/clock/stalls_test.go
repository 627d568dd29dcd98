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

// Guards against a request that arrives long after a stall in which it may have been sent and counts as new.
func TestStallsReportTheEndOfTheLatest(t *testing.T) {
	s := clock.Stalls{Threshold: time.Second}
	if end := s.LastEnd(time.Hour); end != 0 {
		t.Errorf("a process that has just started has stalled until %v", end)
	}
	s.Observe(time.Hour)
	s.Observe(time.Hour + 999*time.Millisecond)
	if end := s.LastEnd(time.Hour + 1500*time.Millisecond); end != 0 {
		t.Errorf("stalled until %v, below the threshold", end)
	}
	woken := time.Hour + 4*time.Second
	if end := s.LastEnd(woken); end != woken {
		t.Errorf("before the first observation, stalled until %v, want %v", end, woken)
	}
	s.Observe(woken)
	s.Observe(woken + 500*time.Millisecond)
	if end := s.LastEnd(woken + 500*time.Millisecond); end != woken {
		t.Errorf("stalled until %v, want %v", end, woken)
	}
}
