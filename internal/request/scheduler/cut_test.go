package scheduler_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/scheduler"
)

// startDelay is the time from a submission until the run has started, with a margin.
const startDelay = 10 * time.Millisecond

// cutResult is what a worker and a caller observe of a job whose agent lost its session with the entry.
type cutResult struct {
	starts  int
	verdict scheduler.Verdict
}

// cutDuringRun submits a job of one task, ends the session with its agent and the messages in transit after the
// given part of the run time, and opens a new session after the given span.
func cutDuringRun(runTime, after, span time.Duration) cutResult {
	c := newCluster(1, 2)
	e := c.entries[0]
	s := c.submission(jobClass{name: "short", tasks: 1, runTime: runTime})
	s.Steps[0].Count, s.Steps[0].DeclaredRunTime, s.Wait = 1, runTime, 10*time.Second
	c.actual[run.TaskID{Job: s.ID}] = runTime
	c.submit(e, s)
	c.advance(startDelay)
	var cut *node
	for _, n := range c.nodes {
		if len(n.worker.Running) > 0 {
			cut = n
		}
	}
	gomega.Expect(cut).NotTo(gomega.BeNil(), "the run must have started")
	c.advance(after - startDelay)
	c.disconnect(e, cut)
	c.advance(span)
	c.connect(e, cut)
	c.advance(6 * time.Second)
	return cutResult{starts: c.startedRuns[s.ID], verdict: c.records[s.ID].Verdict}
}

var _ = ginkgo.Describe("a session that is lost while a run is active", func() {
	// lost is when the entry gives the runs of an absent agent up, and expired the earliest time at which the agent
	// stops the runs of an absent entry: the owner timeout after a poll that is one interval old.
	const lost, expired = 2100 * time.Millisecond, 600 * time.Millisecond

	// Guards against work that is done and runs again: an outcome that was in transit when the session ended, or
	// that the agent had during the absence, was dropped, and the inventory of the next session did not list the run.
	ginkgo.It("does not repeat a run that has ended meanwhile, whatever the length of the absence", func() {
		const runTime = 200 * time.Millisecond
		for _, after := range []time.Duration{startDelay, runTime / 2, runTime - 2*time.Millisecond, runTime + time.Millisecond} {
			for span := 50 * time.Millisecond; span < lost-50*time.Millisecond; span += 50 * time.Millisecond {
				got := cutDuringRun(runTime, after, span)
				gomega.Expect(got).To(gomega.Equal(cutResult{starts: 1, verdict: scheduler.Completed}), fmt.Sprintf("cut after %v for %v", after, span))
			}
		}
	})

	// Guards against a run that is given up although its entry returns before the owner timeout.
	ginkgo.It("continues a run whose entry returns before the owner timeout", func() {
		for span := 50 * time.Millisecond; span < expired; span += 50 * time.Millisecond {
			got := cutDuringRun(3*time.Second, 100*time.Millisecond, span)
			gomega.Expect(got).To(gomega.Equal(cutResult{starts: 1, verdict: scheduler.Completed}), fmt.Sprintf("cut for %v", span))
		}
	})

	// Guards against a job that never ends after an absence that outlasts every timeout. Its task runs again, after
	// the first run has ended: the simulated worker fails the test if two overlap.
	ginkgo.It("runs the task again after a longer absence, and never twice at a time", func() {
		for span := expired; span < 5*time.Second; span += 200 * time.Millisecond {
			got := cutDuringRun(3*time.Second, 100*time.Millisecond, span)
			gomega.Expect(got.starts).To(gomega.BeNumerically("<=", 2), fmt.Sprintf("cut for %v", span))
			gomega.Expect(got.verdict).To(gomega.Equal(scheduler.Completed), fmt.Sprintf("cut for %v", span))
		}
	})
})
