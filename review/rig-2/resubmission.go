//go:build review2

package main

import (
	"net/http"
	"time"
)

const (
	cancelBound = 3000 * time.Millisecond // cancel_ms
	resendTime  = 1300 * time.Millisecond // resend_ms
)

// judgeCancelling checks that no task starts later than cancel_ms after the acknowledgement of the cancelling.
func (d *deployment) judgeCancelling(acknowledged time.Time) int {
	late, last := 0, time.Duration(0)
	for _, m := range d.minions {
		for _, s := range m.allStarts() {
			if after := s.at.Sub(acknowledged); after > cancelBound {
				late++
				last = max(last, after)
			}
		}
	}
	d.r.add("%d starts later than %v after the acknowledgement of the cancelling, the last one %v after it", late, cancelBound, last)
	if late > 0 {
		return broken
	}
	return held
}

// resubmission cancels a job whose submitter follows the protocol: it sends the job again after a 504.
func resubmission(l *layout, r *record, trouble bool) int {
	d, err := startDeployment(l, r)
	defer d.stop()
	if err != nil {
		r.add("%v", err)
		return couldNot
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for i := 0; ; i++ {
			status, _ := d.submit(d.fronts[i%len(d.fronts)], 16, 1500)
			if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout || i == 2 {
				return
			}
			time.Sleep(resendTime)
		}
	}()
	time.Sleep(500 * time.Millisecond)
	acknowledged := time.Now().Add(time.Hour) // without a cancelling, no start is late
	if trouble {
		status, body := request(http.MethodDelete, d.jobURL(d.fronts[0]), routeHost, nil, nil, 2*time.Second)
		r.add("operator's desk: DELETE of the job at %s: status %d %s", d.fronts[0].name, status, body)
		if status/100 != 2 && status != http.StatusGone {
			return couldNot
		}
		acknowledged = time.Now()
	}
	<-answered
	return d.judgeCancelling(acknowledged)
}
