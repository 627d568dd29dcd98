package entry_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/scheduler"
)

// workerAgent is a fake agent that reports the state of its worker and sends nothing else.
type workerAgent struct{ capacity job.Resources }

func (a *workerAgent) SessionOpened(s *session.Session) {
	s.Send(&wire.RunInventory{})
	s.Send(&wire.WorkerState{Service: "logs", Capacity: a.capacity, Free: a.capacity, Open: true})
}

func (a *workerAgent) MessagesReceived(*session.Session, []wire.Message) {}
func (a *workerAgent) SessionClosed(*session.Session, error)             {}

var _ = ginkgo.Describe("An entry without the agent of a worker", func() {
	// Guards against capacities that do not reach other entries: an entry that knows no capacity rejects a job
	// that fits no worker and asks its caller to come back.
	ginkgo.It("learns the worker's capacity from another entry", func() {
		i := newInstallation("a", "b")
		i.awaitSessions()
		handler := &workerAgent{capacity: job.Resources{MilliProcessors: 4000, MemoryBytes: 1 << 30}}
		agent := &session.Connector{Local: session.Identity{Role: wire.RoleAgent, ID: "w", Incarnation: 1, AvailabilityZone: "zone-b"}, Handler: handler}
		go func() { _ = agent.Dial(i.ctx, i.nodes[1].address, wire.RoleEntry) }()
		verdictOf := func(id string) scheduler.Verdict {
			verdicts := make(chan scheduler.Decided, 1)
			gomega.Expect(i.nodes[0].RunRestartableJob(&scheduler.Submission{
				ID: id, Queue: "q", Service: "logs", MaxAttempts: 1, Stretch: 1, Slack: time.Second, Wait: 500 * time.Millisecond,
				Steps: []scheduler.Step{{Count: 1, Need: job.Resources{MilliProcessors: 4001}}},
			}, verdicts)).To(gomega.Succeed())
			var decided scheduler.Decided
			gomega.Eventually(verdicts, 5*time.Second).Should(gomega.Receive(&decided))
			return decided.Verdict
		}
		gomega.Expect(verdictOf("0000000000000001")).To(gomega.Equal(scheduler.Rejected))
		attempt := 1
		gomega.Eventually(func() scheduler.Verdict {
			attempt++
			return verdictOf(fmt.Sprintf("%016x", attempt))
		}, 10*time.Second).Should(gomega.Equal(scheduler.Failed))
	})
})
