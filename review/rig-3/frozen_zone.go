//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// freezeTime is the for_s of node_freeze on the site.
	freezeTime = 3500 * time.Millisecond
	// requesterWait is the deadline of all classes of the site.
	requesterWait = 1500 * time.Millisecond
	taskTime      = 1200 * time.Millisecond
)

// playFrozenZone suspends a front and a side machine of its zone at the same moment, while a job of the front has tasks there.
func playFrozenZone(i *Installation, trouble bool) (verdict, error) {
	i.setTaskTime(taskTime)
	if status := i.post(i.fronts[0], Job{id: newID(), count: 6, cpu: 6200, estimate: taskTime, spec: "warm-up"}, requesterWait); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the first job got %d", status)
	}
	job := Job{id: newID(), count: 8, cpu: 6200, estimate: taskTime, spec: "ascent-summary"}
	first := make(chan int, 1)
	go func() { first <- i.post(i.fronts[0], job, requesterWait) }()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		i.freezeTogether(freezeTime, i.fronts[0], i.sides[0])
	}
	status := <-first
	for attempt := 1; mayResend(status) && attempt <= 4; attempt++ {
		time.Sleep(resendDelay)
		status = i.post(i.fronts[attempt%len(i.fronts)], job, requesterWait)
	}
	time.Sleep(2 * time.Second)
	return i.judgeTwice(status), nil
}

// freezeTogether suspends machines at the same moment and resumes them after a time.
func (i *Installation) freezeTogether(lasts time.Duration, machines ...*Process) {
	for _, p := range machines {
		p.suspend()
		i.record.Logf("platform: %s stands still", p.name)
	}
	time.AfterFunc(lasts, func() {
		for _, p := range machines {
			p.resume()
			i.record.Logf("platform: %s goes on", p.name)
		}
	})
}
