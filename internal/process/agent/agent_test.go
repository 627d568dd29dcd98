package agent

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/workerhost"
	"pollenpaddle/internal/request/startgate"
	"pollenpaddle/internal/standin"
	"pollenpaddle/internal/version/catalog"
)

func TestAgent(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "agent")
}

// fakeEntry accepts the agent's session and records the messages that the agent sends.
type fakeEntry struct {
	mu       sync.Mutex
	session  *session.Session
	messages []wire.Message
	ended    []error
	noAcks   bool // sends no acknowledgements of results
}

func (e *fakeEntry) SessionOpened(s *session.Session) { e.with(func() { e.session = s }) }

func (e *fakeEntry) SessionClosed(_ *session.Session, err error) {
	e.with(func() { e.ended = append(e.ended, err) })
}

func (e *fakeEntry) MessagesReceived(s *session.Session, messages []wire.Message) {
	e.with(func() { e.messages = append(e.messages, messages...) })
	for _, message := range messages {
		switch m := message.(type) {
		case *wire.Finished:
			if !e.noAcks {
				s.Send(&wire.FinishedAck{ID: m.ID})
			}
		case *wire.Offer: // this entry sends only direct starts, which use no offer
			s.Send(&wire.Decline{IDs: m.IDs})
		case *wire.Recall:
			s.Send(&wire.Decline{Recalled: true})
		}
	}
}

func (e *fakeEntry) with(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// await waits for a message of type M and returns it.
func await[M wire.Message](e *fakeEntry, wanted func(M) bool) M {
	var found M
	gomega.Eventually(func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, message := range e.messages {
			if m, ok := message.(M); ok && wanted(m) {
				found = m
				return true
			}
		}
		return false
	}, 10*time.Second).Should(gomega.BeTrue())
	return found
}

type fixture struct {
	agent *Agent
	entry *fakeEntry
	http  string // address of the agent's HTTP interface
}

func serve(handler fasthttp.RequestHandler) string {
	listener := listen()
	go func() { _ = fasthttp.Serve(listener, handler) }()
	return listener.Addr().String()
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
	return listener
}

// start runs an agent with a configuration lease and a session with one entry.
func start(config Config) *fixture {
	f := &fixture{entry: &fakeEntry{}}
	acceptor := &session.Connector{Local: session.Identity{Role: wire.RoleEntry, ID: "e"}, Handler: f.entry}
	address := serve(func(ctx *fasthttp.RequestCtx) { _ = acceptor.Accept(context.Background(), ctx) })
	config.Identity = session.Identity{Role: wire.RoleAgent, ID: "a", Incarnation: 7, AvailabilityZone: "midland"}
	config.Seeds = []string{"127.0.0.1:1"} // unreachable; the test calls the methods of configfeed.Subscriber
	f.agent = New(config)
	r := router.New()
	f.agent.Routes(r)
	f.http = serve(r.Handler)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.agent.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Eventually(done, 5*time.Second).Should(gomega.Receive())
	})
	f.agent.LeaseExtended(clock.SinceBoot() + time.Hour)
	gomega.Eventually(func() bool {
		f.agent.ConfigurationChanged(&catalog.State{Entries: []catalog.Entry{{ID: "e", Address: address}}})
		f.entry.mu.Lock()
		defer f.entry.mu.Unlock()
		return f.entry.session != nil
	}, 5*time.Second).Should(gomega.BeTrue())
	return f
}

func startUpstream(fault standin.Fault) string {
	u := standin.NewUpstream(1)
	u.SetFault(fault, 1)
	listener := listen()
	go func() { _ = u.Serve(listener) }()
	return listener.Addr().String()
}

func (f *fixture) request(method, body string) (status int, responseBody string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + f.http + "/v1/upstream")
	request.Header.SetMethod(method)
	request.SetBodyString(body)
	gomega.Expect(fasthttp.Do(request, response)).To(gomega.Succeed())
	return response.StatusCode(), string(response.Body())
}

func (f *fixture) announce(address string) {
	status, responseBody := f.request("PUT", fmt.Sprintf(`{"name": "kitchen", "address": %q, "slots": 2, "ttl_ms": 60000}`, address))
	gomega.Expect(status).To(gomega.Equal(200), responseBody)
	await(f.entry, func(m *wire.Announce) bool { return m.Upstream == "kitchen" })
}

func (f *fixture) send(message wire.Message) {
	f.entry.mu.Lock()
	s := f.entry.session
	f.entry.mu.Unlock()
	gomega.Expect(s.Send(message)).To(gomega.BeTrue())
}

func startID(n int) wire.StartID {
	return wire.StartID{Job: job.Key{Organisation: "o", ID: "j"}, Task: uint16(n)}
}

func (f *fixture) start(n int, runMS string) {
	f.send(&wire.Start{ID: startID(n), AgentIncarnation: 7, Task: job.Task{
		Method: "POST", Path: "/checks", Body: []byte("bread"), Headers: []job.Header{{Name: standin.RunTimeHeader, Value: runMS}},
		Need: job.Resources{MilliProcessors: 100},
	}})
}

func (f *fixture) result(n int) job.Result {
	return await(f.entry, func(m *wire.Finished) bool { return m.ID == startID(n) }).Result
}

func (f *fixture) refusal(n int) wire.RefusalReason {
	return await(f.entry, func(m *wire.Refused) bool { return m.ID == startID(n) }).Reason
}

var _ = ginkgo.Describe("an agent", func() {
	ginkgo.It("runs tasks on the upstream that announced itself", func() {
		f := start(Config{Registry: prometheus.NewRegistry()})
		gomega.Expect(f.agent.Ready()).To(gomega.HaveOccurred())
		f.start(1, "0")
		gomega.Expect(f.refusal(1)).To(gomega.Equal(wire.RefusedLeaving))
		f.announce(startUpstream(standin.FaultNone))
		gomega.Eventually(f.agent.Ready).Should(gomega.Succeed())
		f.start(2, "5")
		result := f.result(2)
		gomega.Expect(result.State).To(gomega.Equal(job.Done))
		gomega.Expect(string(result.Body)).To(gomega.Equal("POST /checks: 5 bytes"))
		gomega.Expect(result.RunTime).To(gomega.BeNumerically(">=", 5*time.Millisecond))
		gomega.Expect(result.Headers).To(gomega.ContainElement(gomega.HaveField("Name", "Content-Type")))
		dump := f.agent.Dump().(*DumpState)
		gomega.Expect(dump.Machine.Stats.Calls).To(gomega.BeNumerically("==", 1))
		gomega.Expect(dump.Upstream.TTLMillis).To(gomega.BeNumerically("==", 3000))
		gomega.Expect(f.agent.config.Registry.(*prometheus.Registry).Gather()).To(gomega.ContainElement(gomega.HaveField("GetName()", "pollenpaddle_agent_calls_total")))
	})

	// Guards against an upstream that stays announced, at the entries or in the agent, after it has
	// withdrawn its announcement.
	ginkgo.It("withdraws an upstream that ends its announcement", func() {
		f := start(Config{})
		f.announce(startUpstream(standin.FaultNone))
		status, _ := f.request("DELETE", "")
		gomega.Expect(status).To(gomega.Equal(204))
		await(f.entry, func(*wire.Withdraw) bool { return true })
		status, _ = f.request("GET", "")
		gomega.Expect(status).To(gomega.Equal(404))
	})

	ginkgo.It("rejects a malformed announcement", func() {
		f := start(Config{})
		for _, body := range []string{`{}`, `{"name": "k", "address": "x", "slots": 1}`, `{"name": "k", "address": "h:1", "slots": 0}`, `{"name": "k", "address": "h:1", "slots": 1, "processors": -1}`} {
			status, _ := f.request("PUT", body)
			gomega.Expect(status).To(gomega.Equal(400), body)
		}
	})

	// Guards against a refusal of a task that ran, and against "done" for a truncated response.
	ginkgo.DescribeTable("reports what is known about a call that failed", func(fault standin.Fault, state job.State) {
		f := start(Config{})
		f.announce(startUpstream(fault))
		f.start(1, "1")
		gomega.Expect(f.result(1).State).To(gomega.Equal(state))
	},
		ginkgo.Entry("an error status", standin.FaultFail, job.Failed),
		ginkgo.Entry("a truncated body", standin.FaultCutBody, job.Failed),
		ginkgo.Entry("a close before the response", standin.FaultNoResponse, job.MayHaveRun),
	)

	ginkgo.It("refuses a start if the upstream accepts no connection", func() {
		f := start(Config{})
		f.announce("127.0.0.1:1")
		f.start(1, "1")
		gomega.Expect(f.refusal(1)).To(gomega.Equal(wire.RefusedUnreachable))
	})

	// Guards against "may have run" for every first task after a pause, when the upstream has closed
	// the idle connection.
	ginkgo.It("replaces a connection that the upstream closed while it was idle", func() {
		listener := listen()
		closed := make(chan struct{}, 2)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				_ = conn.Close() // without the header Connection: close
				closed <- struct{}{}
			}
		}()
		f := start(Config{})
		f.announce(listener.Addr().String())
		for n := range 20 {
			f.start(n, "0")
			gomega.Expect(f.result(n).State).To(gomega.Equal(job.Done))
			<-closed
		}
	})

	ginkgo.It("stops a call in progress that is cancelled", func() {
		p := &standin.Platform{}
		f := start(Config{Platform: p})
		f.announce(startUpstream(standin.FaultHang))
		f.start(1, "1")
		gomega.Eventually(p.Leases, 5*time.Second).Should(gomega.Equal(1))
		f.send(&wire.Query{IDs: []wire.StartID{startID(1)}})
		await(f.entry, func(*wire.Running) bool { return true })
		f.send(&wire.Cancel{ID: startID(1)})
		gomega.Expect(f.result(1).State).To(gomega.Equal(job.MayHaveRun))
		gomega.Expect(p.Stopped()).To(gomega.Equal([]string{platformTaskID(startID(1))}))
		gomega.Expect(p.Leases()).To(gomega.BeZero())
	})

	ginkgo.It("throttles a task that uses more than it declared", func() {
		p := &standin.Platform{}
		f := start(Config{Platform: p})
		f.announce(startUpstream(standin.FaultNone))
		f.start(1, "3000")
		gomega.Eventually(p.Leases, 5*time.Second).Should(gomega.Equal(1))
		p.SetUsage(platformTaskID(startID(1)), job.Resources{MilliProcessors: 900})
		gomega.Eventually(p.Throttled, 5*time.Second).Should(gomega.HaveKeyWithValue(platformTaskID(startID(1)), job.Resources{MilliProcessors: 100}))
	})

	// Guards against tasks that use resources which the platform has not granted.
	ginkgo.It("refuses a start for which the worker platform grants no resource lease", func() {
		f := start(Config{Platform: &standin.Platform{Capacity: job.Resources{MilliProcessors: 50}}})
		f.announce(startUpstream(standin.FaultNone))
		f.start(1, "0")
		gomega.Expect(f.refusal(1)).To(gomega.Equal(wire.RefusedUnreachable))
	})

	// Guards against a static upstream that stays announced after it has died.
	ginkgo.It("lets the announcement of a static upstream expire", func() {
		listener := listen()
		f := start(Config{Upstream: listener.Addr().String(), StaticAnnouncement: wire.Announce{Upstream: "kitchen", Slots: 1, Connections: 1}})
		gomega.Eventually(f.agent.Ready, 5*time.Second).Should(gomega.Succeed())
		gomega.Expect(listener.Close()).To(gomega.Succeed())
		gomega.Eventually(f.agent.Ready, 4*time.Second).Should(gomega.HaveOccurred())
		await(f.entry, func(*wire.Withdraw) bool { return true })
	})

	// Guards against a shutdown that loses the result of a running task or starts further tasks.
	ginkgo.It("finishes calls in progress and delivers their results before it closes", func() {
		f := start(Config{})
		f.announce(startUpstream(standin.FaultNone))
		f.start(1, "300")
		gomega.Eventually(func() int { return f.agent.Dump().(*DumpState).Machine.Gauges.Running }, 5*time.Second).Should(gomega.Equal(1))
		drained := make(chan error, 1)
		go func() { drained <- f.agent.Drain(context.Background()) }()
		await(f.entry, func(*wire.Withdraw) bool { return true })
		f.start(2, "0")
		gomega.Expect(f.refusal(2)).To(gomega.Equal(wire.RefusedLeaving))
		gomega.Eventually(drained, 5*time.Second).Should(gomega.Receive(gomega.Succeed()))
		gomega.Expect(f.result(1).State).To(gomega.Equal(job.Done))
		gomega.Eventually(func() []error {
			f.entry.mu.Lock()
			defer f.entry.mu.Unlock()
			return f.entry.ended
		}).Should(gomega.Equal([]error{nil}))
		gomega.Expect(f.agent.Ready()).To(gomega.HaveOccurred())
	})

	// Guards against a drain that ends before a result is acknowledged.
	ginkgo.It("waits for the acknowledgement of results when it drains", func() {
		f := start(Config{})
		f.entry.with(func() { f.entry.noAcks = true })
		f.announce(startUpstream(standin.FaultNone))
		f.start(1, "1")
		f.result(1)
		drained := make(chan error, 1)
		go func() { drained <- f.agent.Drain(context.Background()) }()
		await(f.entry, func(*wire.Withdraw) bool { return true })
		gomega.Consistently(drained, 200*time.Millisecond).ShouldNot(gomega.Receive())
		f.send(&wire.FinishedAck{ID: startID(1)})
		gomega.Eventually(drained, 5*time.Second).Should(gomega.Receive(gomega.Succeed()))
	})
})

// BenchmarkCall measures one call over an open connection.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(bytes.Repeat([]byte("x"), 200)) })
	}()
	ended := make(chan startgate.CallEnded, 1)
	pool := newClientPool(workerhost.Platform(nil), func(e startgate.CallEnded) { ended <- e }, nil, nil)
	pool.setTarget(listener.Addr().String())
	call := startgate.Call{ID: startID(1), NotAfter: 1 << 62, Task: job.Task{Method: "POST", Path: "/", Body: []byte(strings.Repeat("x", 200))}}
	b.ReportAllocs()
	for b.Loop() {
		pool.start(call)
		if e := <-ended; e.Result.State != job.Done {
			b.Fatal(e.Result.Message)
		}
	}
}
