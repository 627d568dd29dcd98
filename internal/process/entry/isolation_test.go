package entry_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
)

// pollingAgent is a fake agent that hands over its session.
type pollingAgent struct {
	workerAgent
	opened chan *session.Session
}

func (a *pollingAgent) SessionOpened(s *session.Session) { a.opened <- s }

var _ = ginkgo.Describe("An entry that hears from nobody", func() {
	// Guards against submissions that count as new although the entry was cut off while they were sent.
	ginkgo.It("counts as cut off until the next message", func() {
		i := newInstallation("a")
		handler := &pollingAgent{opened: make(chan *session.Session, 1)}
		agent := &session.Connector{Local: session.Identity{Role: wire.RoleAgent, ID: "w", Incarnation: 1, AvailabilityZone: "zone-b"}, Handler: handler}
		go func() { _ = agent.Dial(i.ctx, i.nodes[0].address, wire.RoleEntry) }()
		var polls *session.Session
		gomega.Eventually(handler.opened, "5s").Should(gomega.Receive(&polls))
		polls.Send(&wire.OwnerPoll{})
		gomega.Consistently(i.nodes[0].LastIsolationEnd, "300ms").Should(gomega.BeZero())
		gomega.Eventually(i.nodes[0].LastIsolationEnd, "3s").ShouldNot(gomega.BeZero())
		polls.Send(&wire.OwnerPoll{})
		gomega.Eventually(func() bool { return i.nodes[0].LastIsolationEnd() < clock.SinceBoot()-100*time.Millisecond }, "2s").Should(gomega.BeTrue())
	})
})
