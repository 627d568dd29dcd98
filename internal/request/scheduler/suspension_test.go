package scheduler_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/scheduler"
)

// longestSuspension is the longest suspension of a host that entries expect.
const longestSuspension = 15 * time.Second

// sessionTimeout is the time of silence after which an entry closes a session.
const sessionTimeout = 3 * time.Second

// suspendHost suspends the host of an agent and its worker. Sessions with it end when it has been silent for
// sessionTimeout, and are opened again afterwards.
func (c *cluster) suspendHost(n *node, d time.Duration) {
	n.suspendedUntil, n.pausedUntil = c.now+d, c.now+d
	n.worker.Suspend(d)
	if d > sessionTimeout {
		c.after(sessionTimeout, func() {
			for _, e := range c.entries {
				c.disconnect(e, n)
			}
		})
	}
	c.after(d, func() {
		c.stepAgent(n, runner.HostSuspended{Duration: d})
		for _, e := range c.entries {
			c.connect(e, n)
		}
	})
}

func (c *cluster) shareUnresolved(from *entryProcess, report *wire.UnresolvedJobs) {
	sender := wire.Claimant{EntryID: from.id.ID, Incarnation: from.id.Incarnation}
	for _, e := range c.entries {
		if e != from {
			c.after(oneWay, func() { c.stepEntry(e, scheduler.PeerUnresolved{Entry: sender, Report: report}) })
		}
	}
}

// submitUntilCompleted submits a job of one task to the entries in turn. Its caller waits for the given time, cancels the
// job by disconnecting, and submits it again after resubmitDelay, until it is completed.
func (c *cluster) submitUntilCompleted(wait, runTime time.Duration) string {
	s := c.submission(jobClass{name: "one task", tasks: 1, runTime: runTime})
	s.Steps[0].Count, s.Steps[0].DeclaredRunTime, s.Wait = 1, runTime, wait
	c.actual[run.TaskID{Job: s.ID}] = runTime
	c.resubmitted[s.ID] = true
	var attempt func(n int)
	attempt = func(n int) {
		if c.records[s.ID] != nil && c.records[s.ID].Verdict == scheduler.Completed {
			return
		}
		e := c.entries[n%len(c.entries)]
		again := *s
		c.submit(e, &again)
		c.after(wait, func() { c.stepEntry(e, scheduler.Cancelled{Job: s.ID}) })
		c.after(wait+resubmitDelay, func() { attempt(n + 1) })
	}
	attempt(0)
	return s.ID
}

// advanceUntilCompleted advances simulated time until the job is completed, at most by limit.
func (c *cluster) advanceUntilCompleted(id string, limit time.Duration) {
	for end := c.now + limit; c.now < end && c.records[id].Verdict != scheduler.Completed; {
		c.advance(100 * time.Millisecond)
	}
}

var _ = ginkgo.Describe("a run on a host that is suspended", func() {
	// Guards against a task that runs again, at any entry, while a suspended host still has its run: that one goes on when
	// the host does. The simulated workers fail the test if two runs of a task overlap.
	ginkgo.It("is not repeated before its outcome is known, however long the suspension", func() {
		for _, wait := range []time.Duration{1500 * time.Millisecond, 20 * time.Second} {
			for _, d := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond, 3500 * time.Millisecond, 6 * time.Second, longestSuspension - time.Second} {
				for _, began := range []time.Duration{startDelay, 700 * time.Millisecond, 1400 * time.Millisecond} {
					c := newCluster(3, 3)
					id := c.submitUntilCompleted(wait, 1450*time.Millisecond)
					c.advance(began)
					for _, n := range c.nodes {
						if len(n.worker.Running) > 0 {
							c.suspendHost(n, d)
						}
					}
					c.advance(d) // a repetition during the suspension fails in any case
					c.advanceUntilCompleted(id, 25*time.Second)
					gomega.Expect(c.records[id].Verdict).To(gomega.Equal(scheduler.Completed), fmt.Sprintf("waits %v, suspended after %v for %v", wait, began, d))
				}
			}
		}
	})

	// Guards against a caller that resubmits its job to the same entry and gets no answer while the run has no outcome.
	ginkgo.It("does not keep the caller of a resubmission waiting for longer than it asked", func() {
		c := newCluster(1, 3)
		var verdicts []scheduler.Verdict
		c.onDecided = func(d scheduler.Decided) { verdicts = append(verdicts, d.Verdict) }
		s := c.submission(jobClass{name: "one task", tasks: 1, runTime: time.Second})
		s.Steps[0].Count, s.Wait = 1, 1500*time.Millisecond
		c.actual[run.TaskID{Job: s.ID}] = time.Second
		c.submit(c.entries[0], s)
		c.advance(startDelay)
		for _, n := range c.nodes {
			if len(n.worker.Running) > 0 {
				c.suspendHost(n, 10*time.Second)
			}
		}
		c.advance(1500*time.Millisecond + resubmitDelay)
		gomega.Expect(verdicts).To(gomega.Equal([]scheduler.Verdict{scheduler.Expired}))
		again := *s
		c.submit(c.entries[0], &again)
		c.advance(1500 * time.Millisecond)
		gomega.Expect(verdicts).To(gomega.Equal([]scheduler.Verdict{scheduler.Expired, scheduler.Expired}))
	})

	// Guards against jobs that wait for a host that is lost for good, and for its suspension no longer.
	ginkgo.It("is repeated once the host cannot be suspended any more", func() {
		c := newCluster(3, 3)
		id := c.submitUntilCompleted(1500*time.Millisecond, time.Second)
		c.advance(startDelay)
		for _, n := range c.nodes {
			if len(n.worker.Running) > 0 {
				n.worker.Running = nil
				c.suspendHost(n, time.Hour)
			}
		}
		c.advanceUntilCompleted(id, 30*time.Second)
		gomega.Expect(c.records[id].Verdict).To(gomega.Equal(scheduler.Completed))
	})

	// Guards against a job that is lost with an agent whose process alone has ended, and starts later than before.
	ginkgo.It("is repeated soon if its agent's process has ended and the host runs", func() {
		c := newCluster(1, 3)
		s := c.submitTask(c.entries[0], time.Second)
		c.advance(startDelay)
		for _, n := range c.nodes {
			if len(n.worker.Running) > 0 {
				killAgent(c, n)
				c.disconnect(c.entries[0], n)
			}
		}
		c.advance(4 * time.Second)
		gomega.Expect(c.records[s.ID].Verdict).To(gomega.Equal(scheduler.Completed))
	})
})
