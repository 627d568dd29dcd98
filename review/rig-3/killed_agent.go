//go:build review3

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// suspendAfter is the time from the kill of the process on a side machine to the suspension of the machine. It is below
	// the time that a lease lasts.
	suspendAfter = 300 * time.Millisecond
	shortFreeze  = 3 * time.Second
)

// playKilledAgent kills the process on one side machine with tasks of a job, and suspends the machine before the process is
// started again.
func playKilledAgent(i *Installation, trouble bool) (verdict, error) {
	i.setTaskTime(taskTime)
	if status := i.post(i.fronts[0], Job{id: newID(), count: 6, cpu: 6200, estimate: taskTime, spec: "earlier job"}, requesterWait); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the first job got %d", status)
	}
	side := i.sides[0]
	job := Job{id: newID(), count: 8, cpu: 6200, estimate: taskTime, spec: "ascent-summary"}
	first := make(chan int, 1)
	go func() { first <- i.post(i.fronts[0], job, requesterWait) }()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		i.record.Logf("platform: SIGKILL to %s", side.name)
		side.signal(syscall.SIGKILL)
		side.awaitEnd()
		go func() {
			time.Sleep(suspendAfter)
			side.suspend()
			i.record.Logf("platform: %s stands still", side.name)
			time.Sleep(shortFreeze)
			side.resume()
			i.record.Logf("platform: %s goes on", side.name)
			side.bootstrap = false
			if err := i.start(side); err != nil {
				i.record.Logf("platform: %s did not start: %v", side.name, err)
			}
			i.record.Logf("platform: %s is started again", side.name)
		}()
	}
	status := <-first
	for attempt := 1; mayResend(status) && attempt <= 4; attempt++ {
		time.Sleep(resendDelay)
		status = i.post(i.fronts[attempt%len(i.fronts)], job, requesterWait)
	}
	time.Sleep(3 * time.Second)
	return i.judgeTwice(status), nil
}
