package scheduler_test

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/scheduler"
)

// startUnreachableRun returns a cluster whose entry has ordered a run of 20 s of one task, the node that executes it, whose
// messages no longer reach the entry, and the job.
func startUnreachableRun() (*cluster, *node, string) {
	c := newCluster(1, 2)
	s := c.submission(jobClass{name: "long", tasks: 1, runTime: 20 * time.Second})
	s.Steps[0].Count, s.Wait = 1, 20*time.Second
	c.actual[run.TaskID{Job: s.ID}] = 20 * time.Second
	c.submit(c.entries[0], s)
	c.advance(startDelay)
	at := slices.IndexFunc(c.nodes, func(n *node) bool { return len(n.worker.Running) > 0 })
	gomega.Expect(at).To(gomega.BeNumerically(">=", 0), "the run must have started")
	c.nodes[at].unreachable = true
	return c, c.nodes[at], s.ID
}

var _ = ginkgo.Describe("an agent that has opened a new session and does not know all runs on its worker yet", func() {
	// Guards against a run that is started elsewhere while its agent, whose inventory is late, keeps it running.
	ginkgo.It("keeps its runs while it polls their owner", func() {
		c, n, id := startUnreachableRun()
		e := c.entries[0]
		c.stepEntry(e, scheduler.AgentDisconnected{Agent: n.id})
		c.stepEntry(e, scheduler.AgentConnected{Agent: n.id, AvailabilityZone: "a"})
		for range 20 {
			c.stepEntry(e, scheduler.AgentMessage{Agent: n.id, Message: &wire.OwnerPoll{Sent: c.now}})
			c.advance(runner.PollInterval)
		}
		gomega.Expect(c.startedRuns[id]).To(gomega.Equal(1), "runs of the task")
	})

	// Guards against a run that its agent continues although its job was cancelled before the session.
	ginkgo.It("is asked to stop the runs that were cancelled meanwhile", func() {
		c, n, id := startUnreachableRun()
		e := c.entries[0]
		c.stepEntry(e, scheduler.AgentDisconnected{Agent: n.id})
		c.stepEntry(e, scheduler.Cancelled{Job: id})
		var cancelled []wire.Message
		for _, action := range e.machine.Step(c.now, scheduler.AgentConnected{Agent: n.id, AvailabilityZone: "a"}) {
			if send, ok := action.(scheduler.Send); ok {
				cancelled = append(cancelled, send.Message)
			}
		}
		gomega.Expect(cancelled).To(gomega.ContainElement(&wire.RunCancel{Runs: []run.ID{{Task: run.TaskID{Job: id}, Number: 1}}}))
	})

	// Guards against a run that is started elsewhere while its agent continues it because of a later session, or may
	// continue it after a suspension of its host, and against a run that is never given up.
	ginkgo.It("keeps its runs for as long as its last session lets it continue them", func() {
		c, n, id := startUnreachableRun()
		e := c.entries[0]
		c.stepEntry(e, scheduler.AgentDisconnected{Agent: n.id})
		c.advance(1700 * time.Millisecond)
		c.stepEntry(e, scheduler.AgentConnected{Agent: n.id, AvailabilityZone: "a"})
		c.advance(longestSuspension + runner.OwnerTimeout + runner.DefaultLeaseTerm)
		gomega.Expect(c.startedRuns[id]).To(gomega.Equal(1), "runs of the task")
		c.advance(time.Second)
		gomega.Expect(c.startedRuns[id]).To(gomega.Equal(2), "runs of the task")
	})
})
