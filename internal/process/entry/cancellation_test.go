package entry_test

import (
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/scheduler"
)

func submitRestartable(n *node, id string) scheduler.Decided {
	ginkgo.GinkgoHelper()
	verdicts := make(chan scheduler.Decided, 1)
	gomega.Expect(n.RunRestartableJob(&scheduler.Submission{
		ID: id, Queue: "q", Service: "logs", MaxAttempts: 1, Stretch: 1, Slack: time.Second, Wait: 2 * time.Second,
		Steps: []scheduler.Step{{Count: 1}},
	}, verdicts)).To(gomega.Succeed())
	var decided scheduler.Decided
	gomega.Eventually(verdicts, 5*time.Second).Should(gomega.Receive(&decided))
	return decided
}

// earlierEntry is an entry of a release without kept cancellations.
type earlierEntry struct {
	mu       sync.Mutex
	received []wire.Message
}

func (e *earlierEntry) SessionOpened(s *session.Session) {
	s.Send(&wire.Pong{Features: wire.FeatureCapacities | wire.FeatureUnresolved})
}

func (e *earlierEntry) MessagesReceived(_ *session.Session, messages []wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, messages...)
}

func (e *earlierEntry) SessionClosed(*session.Session, error) {}

var _ = ginkgo.Describe("A cancellation of a restartable job", func() {
	const id = "00000000000000aa"

	// Guards against a copy of a cancelled job that an entry runs because the cancellation was sent to another one, which
	// has ended since.
	ginkgo.It("holds at every entry, also at one that starts after the one that acknowledged it has ended", func() {
		i := newInstallation("a", "b", "c")
		i.awaitSessions()
		gomega.Expect(i.nodes[1].CancelRestartableJob(id)).To(gomega.Succeed())
		i.kill(i.nodes[1])
		restarted := i.start("b")
		i.configure()
		for _, n := range []*node{restarted, i.nodes[0], i.nodes[1]} {
			decided := submitRestartable(n, id)
			gomega.Expect(decided.Verdict).To(gomega.Equal(scheduler.Revoked), n.id)
			gomega.Expect(decided.Error.Kind).To(gomega.Equal(failure.Cancelled))
		}
		gomega.Expect(submitRestartable(restarted, "00000000000000ab").Verdict).To(gomega.Equal(scheduler.Rejected))
	})

	// Guards against an acknowledgement that only the process which gives it knows of.
	ginkgo.It("is not acknowledged without a majority of the entries", func() {
		i := newInstallation("a", "b", "c")
		i.awaitSessions()
		i.kill(i.nodes[2])
		gomega.Eventually(func() int { return len(snapshotOf(i.nodes[0]).Entries) }).Should(gomega.Equal(1))
		gomega.Expect(i.nodes[0].CancelRestartableJob(id)).To(gomega.Succeed())
		i.kill(i.nodes[1])
		gomega.Eventually(func() int { return len(snapshotOf(i.nodes[0]).Entries) }).Should(gomega.BeZero())
		err := i.nodes[0].CancelRestartableJob("00000000000000ab")
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
		gomega.Expect(err.(*failure.Error).RetryAfter).To(gomega.BeNumerically(">", 0)) //nolint:errorlint // the type is checked above
	})

	// Guards against messages that end the session with an entry of an earlier release in a rolling restart, and against
	// a job that continues there.
	ginkgo.It("reaches an entry of an earlier release as before", func() {
		i := newInstallation("a")
		earlier := &earlierEntry{}
		peer := &session.Connector{Local: session.Identity{Role: wire.RoleEntry, ID: "z", Incarnation: 1, AvailabilityZone: "zone-z"}, Handler: earlier}
		go func() { _ = peer.Dial(i.ctx, i.nodes[0].address, wire.RoleEntry) }()
		gomega.Eventually(func() int { return len(snapshotOf(i.nodes[0]).Entries) }).Should(gomega.Equal(1))
		for k := range 3 {
			gomega.Expect(i.nodes[0].CancelRestartableJob(fmt.Sprintf("%016x", k))).To(gomega.Succeed())
		}
		gomega.Eventually(func() []wire.Message {
			earlier.mu.Lock()
			defer earlier.mu.Unlock()
			return earlier.received
		}).Should(gomega.ContainElement(&wire.JobCancel{Job: "0000000000000002"}))
		for _, message := range earlier.received {
			gomega.Expect(message.MessageType()).To(gomega.BeNumerically("<", wire.TypeJobCancellation))
		}
	})
})
