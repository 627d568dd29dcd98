package session

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
)

func TestSession(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "session")
}

// recorder is a Handler that records events.
type recorder struct {
	mu       sync.Mutex
	events   []string
	sessions []*Session
	received []wire.Message
	closed   []error
	opened   func(s *Session)
	reply    func(s *Session, messages []wire.Message)
}

func (r *recorder) record(text string, update func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, text)
	update()
}

func (r *recorder) SessionOpened(s *Session) {
	r.record("opened", func() { r.sessions = append(r.sessions, s) })
	if r.opened != nil {
		r.opened(s)
	}
}

func (r *recorder) SessionClosed(_ *Session, err error) {
	r.record("closed", func() { r.closed = append(r.closed, err) })
}

func (r *recorder) MessagesReceived(s *Session, messages []wire.Message) {
	r.mu.Lock()
	r.received = append(r.received, messages...)
	r.mu.Unlock()
	if r.reply != nil {
		r.reply(s, messages)
	}
}

func (r *recorder) counts() (opened, received, closed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions), len(r.received), len(r.closed)
}

func (r *recorder) session(i int) *Session {
	gomega.Eventually(func() int { n, _, _ := r.counts(); return n }).Should(gomega.BeNumerically(">", i))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sessions[i]
}

// firstCloseError waits for the end of the first session and returns its error.
func (r *recorder) firstCloseError() error {
	gomega.Eventually(func() int { _, _, n := r.counts(); return n }, 10*time.Second).Should(gomega.BeNumerically(">", 0))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed[0]
}

type fixture struct {
	acceptEvents, dialEvents *recorder
	acceptor, dialer         *Connector
	address                  string
	rejected                 chan error
}

func newFixture() *fixture {
	f := &fixture{acceptEvents: &recorder{}, dialEvents: &recorder{}, rejected: make(chan error, 10)}
	key := []byte("secret")
	f.acceptor = &Connector{
		Local: Identity{Role: wire.RoleEntry, ID: "e", Incarnation: 1}, Key: key, Handler: f.acceptEvents,
		OnRejected: func(_ string, err error) { f.rejected <- err },
	}
	f.dialer = &Connector{Local: Identity{Role: wire.RoleAgent, ID: "a", Incarnation: 2, AvailabilityZone: "z"}, Key: key, Handler: f.dialEvents}
	f.address = listen(func(ctx *fasthttp.RequestCtx) { _ = f.acceptor.Accept(context.Background(), ctx) })
	return f
}

func listen(handler fasthttp.RequestHandler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = fasthttp.Serve(listener, handler) }()
	ginkgo.DeferCleanup(listener.Close)
	return listener.Addr().String()
}

// connect dials in the background and returns both ends of the session.
func (f *fixture) connect() (dialed, accepted *Session) {
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go func() { _ = f.dialer.Dial(ctx, f.address, wire.RoleEntry) }()
	return f.dialEvents.session(0), f.acceptEvents.session(0)
}

// slowLink returns the address of a proxy to target that forwards bytesPerSecond in each direction.
func slowLink(target string, bytesPerSecond int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(listener.Close)
	forward := func(to, from net.Conn) {
		const interval = 20 * time.Millisecond
		buffer := make([]byte, bytesPerSecond/int(time.Second/interval))
		for {
			n, err := from.Read(buffer)
			if err != nil {
				_ = to.Close()
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
			time.Sleep(interval * time.Duration(n) / time.Duration(len(buffer)))
		}
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				return
			}
			go forward(server, client)
			go forward(client, server)
		}
	}()
	return listener.Addr().String()
}

// dialRaw dials without serving the session, so that a test can violate the protocol.
func (f *fixture) dialRaw() *websocket.Conn {
	conn, _, err := websocket.DefaultDialer.Dial("ws://"+f.address+Path(wire.RoleEntry), nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(conn.Close)
	return conn
}

var _ = ginkgo.Describe("the handshake", func() {
	ginkgo.It("gives each end the identity of its peer", func() {
		f := newFixture()
		dialed, accepted := f.connect()
		gomega.Expect(dialed.Peer()).To(gomega.Equal(f.acceptor.Local))
		gomega.Expect(accepted.Peer()).To(gomega.Equal(f.dialer.Local))
	})

	// Guards against connections from processes of another installation.
	ginkgo.It("rejects a peer without the key, and the dial fails", func() {
		f := newFixture()
		f.dialer.Key = []byte("other")
		gomega.Expect(f.dialer.Dial(context.Background(), f.address, wire.RoleEntry)).To(gomega.HaveOccurred())
		gomega.Expect(failure.KindOf(<-f.rejected)).To(gomega.Equal(failure.Unauthenticated))
	})

	ginkgo.It("rejects another protocol version", func() {
		f := newFixture()
		conn := f.dialRaw()
		_, err := readMessage[*wire.Challenge](conn)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(writeMessage(conn, &wire.Hello{Version: wire.ProtocolVersion + 1})).To(gomega.Succeed())
		gomega.Expect(<-f.rejected).To(gomega.MatchError(gomega.ContainSubstring("protocol version")))
	})

	// Guards against a relay without the key that presents the MAC of one dialing process (the signer)
	// to another dialing process (the verifier) as that of an accepting one.
	ginkgo.It("rejects the MAC of a dialing process in place of that of an accepting one", func() {
		nonces, hellos := make(chan []byte, 1), make(chan *wire.Hello, 1)
		accept := func(serve func(conn *websocket.Conn)) string {
			upgrader := websocket.FastHTTPUpgrader{}
			return listen(func(ctx *fasthttp.RequestCtx) { _ = upgrader.Upgrade(ctx, serve) })
		}
		relayToVerifier := accept(func(conn *websocket.Conn) {
			_ = writeMessage(conn, &wire.Challenge{Nonce: newNonce()})
			hello, _ := readMessage[*wire.Hello](conn)
			nonces <- hello.Nonce
			_ = writeMessage(conn, <-hellos)
		})
		relayToSigner := accept(func(conn *websocket.Conn) {
			_ = writeMessage(conn, &wire.Challenge{Nonce: <-nonces})
			hello, _ := readMessage[*wire.Hello](conn)
			hellos <- hello
		})
		key := []byte("secret")
		other := &Connector{Local: Identity{Role: wire.RoleEntry, ID: "b"}, Key: key, Handler: &recorder{}}
		go func() { _ = other.Dial(context.Background(), relayToSigner, wire.RoleEntry) }()
		err := (&Connector{Local: Identity{Role: wire.RoleEntry, ID: "a"}, Key: key, Handler: &recorder{}}).Dial(context.Background(), relayToVerifier, wire.RoleEntry)
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unauthenticated))
	})

	// Guards against a stale session that remains after its process has dialed again.
	ginkgo.It("replaces the earlier session of a process that dials again", func() {
		f := newFixture()
		f.connect()
		go func() { _ = f.dialer.Dial(context.Background(), f.address, wire.RoleEntry) }()
		f.acceptEvents.session(1)
		f.acceptEvents.mu.Lock()
		defer f.acceptEvents.mu.Unlock()
		gomega.Expect(f.acceptEvents.events).To(gomega.Equal([]string{"opened", "closed", "opened"}))
	})
})

var _ = ginkgo.Describe("a session", func() {
	sendRaw := func(send func(conn *websocket.Conn) error) (code int, reason error) {
		f := newFixture()
		conn := f.dialRaw()
		_, err := f.dialer.dialHandshake(conn, wire.RoleEntry)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_ = send(conn)
		_, _, err = conn.ReadMessage()
		closed, _ := err.(*websocket.CloseError)
		if closed != nil {
			code = closed.Code
		}
		return code, f.acceptEvents.firstCloseError()
	}

	// Guards against malformed frames of another release or another program.
	ginkgo.DescribeTable("ends when the peer sends", func(code int, frameType int, frame []byte) {
		got, reason := sendRaw(func(conn *websocket.Conn) error { return conn.WriteMessage(frameType, frame) })
		gomega.Expect(reason).To(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal(code))
	},
		ginkgo.Entry("a text frame", websocket.CloseProtocolError, websocket.TextMessage, []byte("hello")),
		ginkgo.Entry("a truncated frame", websocket.CloseProtocolError, websocket.BinaryMessage, []byte{0x82, 0x82, 3}),
	)

	// Guards against memory exhaustion by a peer that announces a large frame. Only the header is
	// sent: unread data would make the kernel reset the connection, and the close frame could be lost.
	ginkgo.It("ends when the peer announces an oversized frame", func() {
		header := binary.BigEndian.AppendUint64([]byte{0x82, 0xff}, wire.MaxFrameBytes+1)
		got, reason := sendRaw(func(conn *websocket.Conn) error {
			_, err := conn.NetConn().Write(append(header, 0, 0, 0, 0))
			return err
		})
		gomega.Expect(reason).To(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal(websocket.CloseMessageTooBig))
	})

	// Guards against the loss of results that are queued when the process shuts down.
	ginkgo.It("delivers the queued messages before it closes, while the peer sends replies", func() {
		f := newFixture()
		f.acceptEvents.reply = func(s *Session, messages []wire.Message) {
			for range messages {
				s.Send(&wire.Load{Free: 1})
			}
		}
		dialed, _ := f.connect()
		for i := range 2000 {
			gomega.Expect(dialed.Send(&wire.Demand{Queued: i})).To(gomega.BeTrue())
		}
		dialed.Close()
		gomega.Expect(dialed.Send(&wire.Demand{})).To(gomega.BeFalse())
		gomega.Expect(f.acceptEvents.firstCloseError()).To(gomega.Succeed())
		gomega.Expect(f.dialEvents.firstCloseError()).To(gomega.Succeed())
		_, received, _ := f.acceptEvents.counts()
		gomega.Expect(received).To(gomega.Equal(2000))
	})

	// Guards against a message that ends the process of its receiver by a fault in its handling.
	ginkgo.It("ends without its process when the handling of a message panics", func() {
		f := newFixture()
		faults := make(chan error, 1)
		f.acceptor.OnFault = func(err error) { faults <- err }
		f.acceptEvents.reply = func(*Session, []wire.Message) { panic("unexpected message") }
		dialed, _ := f.connect()
		gomega.Expect(dialed.Send(&wire.Load{Free: 1})).To(gomega.BeTrue())
		gomega.Expect(f.acceptEvents.firstCloseError()).To(gomega.MatchError(gomega.ContainSubstring("unexpected message")))
		gomega.Eventually(faults).Should(gomega.Receive())
		gomega.Expect(f.dialEvents.firstCloseError()).To(gomega.HaveOccurred())
		go func() { _ = f.dialer.Dial(context.Background(), f.address, wire.RoleEntry) }()
		f.acceptEvents.session(1)
	})

	// Guards against a batch that exceeds the peer's frame limit: a small message and one that nearly fills a frame
	// are queued before the session sends anything.
	ginkgo.It("splits a batch that exceeds the frame limit", func() {
		f := newFixture()
		f.dialEvents.opened = func(s *Session) {
			for _, size := range []int{maxBatchBytes / 2, wire.MaxFrameBytes - maxBatchBytes/4} {
				message := &wire.Start{}
				message.Task.Body = make([]byte, size)
				s.Send(message)
			}
		}
		f.connect()
		// A frame above the limit ends the session at once. The time until the messages have arrived is that of the
		// processor: with the race detector, beside other tests, several frames took more than 10 s.
		gomega.Eventually(func(g gomega.Gomega) {
			_, received, closed := f.acceptEvents.counts()
			if closed > 0 {
				gomega.StopTrying("the session ended").Wrap(f.acceptEvents.firstCloseError()).Now()
			}
			g.Expect(received).To(gomega.Equal(2))
		}, time.Minute).Should(gomega.Succeed())
	})

	// Guards against a timeout that covers a whole frame: on a loaded machine and on a slow link, a session ended while
	// a large frame was in transit, although its peer was alive.
	ginkgo.DescribeTable("remains open while a frame takes longer than the timeouts", func(sender func(dialed, accepted *Session) *Session) {
		f := newFixture()
		f.address = slowLink(f.address, 1<<20)
		dialed, accepted := f.connect()
		message := &wire.Start{}
		message.Task.Body = make([]byte, 7<<20) // 7 s
		gomega.Expect(sender(dialed, accepted).Send(message)).To(gomega.BeTrue())
		gomega.Eventually(func() int {
			_, dialedGot, _ := f.dialEvents.counts()
			_, acceptedGot, _ := f.acceptEvents.counts()
			return dialedGot + acceptedGot
		}, 15*time.Second).Should(gomega.Equal(1))
		_, _, ended := f.acceptEvents.counts()
		gomega.Expect(ended).To(gomega.BeZero())
	},
		ginkgo.Entry("to the accepting process", func(dialed, _ *Session) *Session { return dialed }),
		ginkgo.Entry("to the dialing process", func(_, accepted *Session) *Session { return accepted }),
	)

	// Guards against a session that outlives the host of its peer: the operating system repeats unacknowledged data
	// at doubling intervals, so an agent noticed the restart of an entry's host up to 0.8 s after it was back. A peer
	// that does not read stands in for a host that acknowledges nothing; without AckTimeout the session ends by its
	// write timeout of 5 s.
	ginkgo.It("ends when the peer's host acknowledges nothing for the ack timeout", func() {
		f := newFixture()
		blocked := make(chan struct{})
		defer close(blocked)
		f.acceptEvents.reply = func(*Session, []wire.Message) { <-blocked }
		f.dialer.AckTimeout = 300 * time.Millisecond
		dialed, _ := f.connect()
		began := time.Now()
		for range 8 {
			message := &wire.Start{}
			message.Task.Body = make([]byte, 7<<20)
			dialed.Send(message)
		}
		gomega.Expect(f.dialEvents.firstCloseError()).To(gomega.HaveOccurred())
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second))
	})

	// Guards against unbounded memory use if a peer does not read.
	ginkgo.It("ends when the peer does not read", func() {
		f := newFixture()
		_, err := f.dialer.dialHandshake(f.dialRaw(), wire.RoleEntry)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		s := f.acceptEvents.session(0)
		body := make([]byte, 64<<10)
		gomega.Eventually(func() bool {
			message := &wire.Start{}
			message.Task.Body = body
			return s.Send(message)
		}, 10*time.Second, time.Microsecond).Should(gomega.BeFalse())
		gomega.Expect(f.acceptEvents.firstCloseError()).To(gomega.HaveOccurred())
	})

	// Guards against a session that outlives a peer that disappeared without closing it, and against
	// an idle session that ends in spite of heartbeats.
	ginkgo.It("remains open while idle, and ends when the peer sends no heartbeats", func() {
		idle, silent := newFixture(), newFixture()
		idle.connect()
		_, err := silent.dialer.dialHandshake(silent.dialRaw(), wire.RoleEntry)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		begin := time.Now()
		gomega.Expect(silent.acceptEvents.firstCloseError()).To(gomega.HaveOccurred())
		gomega.Expect(time.Since(begin)).To(gomega.BeNumerically(">", ReadTimeout-PingInterval))
		_, _, closed := idle.acceptEvents.counts()
		gomega.Expect(closed).To(gomega.BeZero())
	})
})
