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

// receiver collects the messages that arrive on sessions.
type receiver struct{ messages *ring.Queue[wire.Message] }

func (r receiver) SessionOpened(*session.Session)        {}
func (r receiver) SessionClosed(*session.Session, error) {}
func (r receiver) MessagesReceived(_ *session.Session, messages []wire.Message) {
	for _, m := range messages {
		r.messages.TryPush(m)
	}
}

var _ = ginkgo.Describe("the link to a member", func() {
	// Guards against an election that fails because the first pre-votes are dropped: members that start
	// together have no sessions yet, and the next attempt follows only about 100 to 250 ms later
	// (240 ms were observed).
	ginkgo.It("delivers what is sent while the first session is set up", func() {
		received := receiver{messages: ring.New[wire.Message](8)}
		connector := session.Connector{Local: session.Identity{Role: wire.RoleControl, ID: "control-2", Incarnation: 2}, Handler: received}
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { _ = connector.Accept(context.Background(), ctx) }}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		ginkgo.DeferCleanup(server.Shutdown)
		// On a busy host, opening a session may take longer than unsentTTL, so there are several attempts.
		gomega.Eventually(func() int {
			ctx, cancel := context.WithCancel(context.Background())
			ginkgo.DeferCleanup(cancel)
			l := newLinks(ctx, Config{Identity: session.Identity{Role: wire.RoleControl, ID: "control-1", Incarnation: 1}})
			l.Send(replication.Member{Name: "control-2", Address: listener.Addr().String()}, replication.Message{Term: 1})
			select {
			case <-received.messages.Ready():
			case <-time.After(2 * unsentTTL):
			}
			return received.messages.Len()
		}).ShouldNot(gomega.BeZero())
	})

	// Guards against a link that waits for an attempt to connect, or for the loss of a session, that concerns an earlier
	// process of the member: after a loss of power, votes were exchanged up to 0.2 s after the member had started.
	ginkgo.It("is opened at once when the member opens a session", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		l := newLinks(ctx, Config{Identity: session.Identity{Role: wire.RoleControl, ID: "control-1", Incarnation: 1}})
		connected := make(chan string, 8)
		l.onOpen = func(name string) { connected <- name }
		// The attempt to connect ends by itself after two seconds.
		began := time.Now()
		l.connect([]replication.Member{{Name: "control-2", Address: listener.Addr().String()}})
		unanswered, err := listener.Accept()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(unanswered.Close)

		connector := session.Connector{Local: session.Identity{Role: wire.RoleControl, ID: "control-2", Incarnation: 2}, Handler: receiver{messages: ring.New[wire.Message](8)}}
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { _ = connector.Accept(context.Background(), ctx) }}
		go func() { _ = server.Serve(listener) }()
		ginkgo.DeferCleanup(server.Shutdown)
		l.memberStarted(session.Identity{ID: "control-2", Incarnation: 2})
		gomega.Eventually(connected, 3*time.Second).Should(gomega.Receive(gomega.Equal("control-2")))
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 1500*time.Millisecond))

		l.memberStarted(session.Identity{ID: "control-2", Incarnation: 2})
		gomega.Consistently(connected, 100*time.Millisecond).ShouldNot(gomega.Receive(), "the session is with that process already")
		l.memberStarted(session.Identity{ID: "control-2", Incarnation: 3})
		gomega.Eventually(connected, 3*time.Second).Should(gomega.Receive(gomega.Equal("control-2")))
	})

	// Guards against a queue that grows without bound while a member is down, and against the delivery of
	// messages that are long out of date.
	ginkgo.It("keeps the newest messages for a short time", func() {
		var queued unsentQueue
		queued.add(0, &wire.MemberList{})
		for range unsentLimit {
			queued.add(unsentTTL+1, &wire.Presence{})
		}
		queued.add(unsentTTL+2, &wire.Presence{})
		gomega.Expect(queued).To(gomega.HaveLen(unsentLimit))
		queued = append(unsentQueue{{at: 0, message: &wire.MemberList{}}}, queued...)
		taken := queued.take(unsentTTL + 2)
		gomega.Expect(taken).To(gomega.HaveLen(unsentLimit))
		gomega.Expect(taken).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(&wire.MemberList{})))
		gomega.Expect(queued.take(unsentTTL + 2)).To(gomega.BeEmpty())
	})
})
