//go:build review2

package main

import (
	"syscall"
	"time"
)

const suspensionTime = 2500 * time.Millisecond

// suspension suspends a side machine, with its agent and its minion, while a task runs there.
func suspension(l *layout, r *record, trouble bool) int {
	d, err := startDeployment(l, r)
	defer d.stop()
	if err != nil {
		r.add("%v", err)
		return couldNot
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		d.submit(d.fronts[0], 2, 3000)
	}()
	time.Sleep(700 * time.Millisecond)
	for i, m := range d.minions {
		if len(m.allStarts()) == 0 {
			continue
		}
		if trouble {
			r.add("platform: %s is suspended for %v", d.sides[i].name, suspensionTime)
			d.sides[i].signal(syscall.SIGSTOP)
			m.suspend()
			time.Sleep(suspensionTime)
			r.add("platform: %s goes on", d.sides[i].name)
			m.resume()
			d.sides[i].signal(syscall.SIGCONT)
		}
		break
	}
	<-answered
	time.Sleep(time.Second)
	return d.judgeConcurrency()
}

// judgeConcurrency checks that no two runs of one task overlap on minions that are up. The time up to the end of a
// suspension does not count.
func (d *deployment) judgeConcurrency() int {
	var runs []finished
	for _, m := range d.minions {
		runs = append(runs, m.allRuns()...)
	}
	status := held
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			from, to := later(later(a.at, b.at), later(a.upFrom, b.upFrom)), earlier(a.endAt, b.endAt)
			if a.task == b.task && from.Before(to) {
				d.r.add("runs %d on %s and %d on %s of task %s: both in progress for %v", a.run, a.minion, b.run, b.minion, a.task, to.Sub(from))
				status = broken
			}
		}
	}
	return status
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}
