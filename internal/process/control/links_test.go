package control

import (
	"context"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/ring"
	"pollenpaddle/internal/version/replication"
)

// inbox collects what arrives on sessions.
type inbox struct{ messages *ring.Queue[wire.Message] }

func (i inbox) SessionOpened(*session.Session)        {}
func (i inbox) SessionClosed(*session.Session, error) {}
func (i inbox) MessagesReceived(_ *session.Session, messages []wire.Message) {
	for _, m := range messages {
		i.messages.TryPush(m)
	}
}

var _ = ginkgo.Describe("the link to a member", func() {
	// Guards against an election that fails because the first pre-votes are dropped: members that start
	// together have no sessions yet, and the next attempt followed 240 ms later.
	ginkgo.It("delivers what is sent while the first session is set up", func() {
		received := inbox{messages: ring.New[wire.Message](8)}
		connector := session.Connector{Local: session.Identity{Role: wire.RoleControl, ID: "control-2", Incarnation: 2}, Handler: received}
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { _ = connector.Accept(context.Background(), ctx) }}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		ginkgo.DeferCleanup(server.Shutdown)
		// A busy machine may take longer than unsentTime for a session, so there are several attempts.
		gomega.Eventually(func() int {
			ctx, cancel := context.WithCancel(context.Background())
			ginkgo.DeferCleanup(cancel)
			l := newLinks(ctx, Config{Identity: session.Identity{Role: wire.RoleControl, ID: "control-1", Incarnation: 1}})
			l.Send(replication.Member{Name: "control-2", Address: listener.Addr().String()}, replication.Message{Term: 1})
			select {
			case <-received.messages.Ready():
			case <-time.After(2 * unsentTime):
			}
			return received.messages.Len()
		}).ShouldNot(gomega.BeZero())
	})

	// Guards against a backlog that grows while a member is away, and against messages that are sent
	// when they have long been overtaken.
	ginkgo.It("keeps the newest messages for a short time", func() {
		var waiting unsent
		waiting.add(0, &wire.MemberList{})
		for range unsentLimit {
			waiting.add(unsentTime+1, &wire.Presence{})
		}
		waiting.add(unsentTime+2, &wire.Presence{})
		gomega.Expect(waiting).To(gomega.HaveLen(unsentLimit))
		waiting = append(unsent{{at: 0, message: &wire.MemberList{}}}, waiting...)
		taken := waiting.take(unsentTime + 2)
		gomega.Expect(taken).To(gomega.HaveLen(unsentLimit))
		gomega.Expect(taken).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(&wire.MemberList{})))
		gomega.Expect(waiting.take(unsentTime + 2)).To(gomega.BeEmpty())
	})
})
