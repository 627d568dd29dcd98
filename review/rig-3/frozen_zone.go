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

// playFrozenZone suspends all machines of one zone while a front there has a job with tasks on minions of its zone.
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
		i.freezeZone(zoneNames[0], freezeTime)
	}
	status := <-first
	for attempt := 1; mayResend(status) && attempt <= 4; attempt++ {
		time.Sleep(resendDelay)
		status = i.post(i.fronts[attempt%len(i.fronts)], job, requesterWait)
	}
	time.Sleep(2 * time.Second)
	return i.judgeTwice(status), nil
}

// freezeZone suspends all machines of a zone at once and resumes them after a time.
func (i *Installation) freezeZone(zone string, lasts time.Duration) {
	var frozen []*Process
	for _, p := range i.processes() {
		if p.zone == zone {
			frozen = append(frozen, p)
		}
	}
	for _, p := range frozen {
		p.suspend()
	}
	i.record.Logf("platform: zone %s stands still", zone)
	time.AfterFunc(lasts, func() {
		for _, p := range frozen {
			p.resume()
		}
		i.record.Logf("platform: zone %s goes on", zone)
	})
}
