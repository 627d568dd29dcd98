//go:build review3

package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	graceTime   = 6 * time.Second  // grace_s
	settleTime  = 20 * time.Second // longer than an entry keeps a run whose agent is silent
	stuckRounds = 4
)

// playStuckFront plays the late request until both fronts have ordered the same run of a task from one agent, which ignores the
// second order. It then shuts the first front down. It breaks no rule by itself, so it is no case; see REPORT-3.md.
func playStuckFront(i *Installation, trouble bool) (verdict, error) {
	for range stuckRounds {
		if _, err := playLateRequest(i, trouble); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(settleTime)
	front := i.fronts[0]
	i.record.Logf("platform: SIGTERM to %s, which has no request", front.name)
	front.signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		front.awaitEnd()
		close(ended)
	}()
	select {
	case <-ended:
		return verdict{false, fmt.Sprintf("%s has ended", front.name)}, nil
	case <-time.After(2 * graceTime):
		return verdict{true, fmt.Sprintf("%s has not ended in %v", front.name, 2*graceTime)}, nil
	}
}
