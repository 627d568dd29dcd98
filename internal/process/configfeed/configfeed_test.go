package configfeed_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/configfeed"
	"pollenpaddle/internal/version/catalog"
)

func TestConfigFeed(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(5 * time.Second)
	ginkgo.RunSpecs(t, "configfeed")
}

// fakeMember is a control member whose messages a test sends and receives.
type fakeMember struct {
	address  string
	sessions chan *session.Session
	received chan wire.Message
	polls    chan *wire.LeasePoll
}

func newFakeMember() *fakeMember {
	m := &fakeMember{sessions: make(chan *session.Session, 16), received: make(chan wire.Message, 64), polls: make(chan *wire.LeasePoll, 1024)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	m.address = listener.Addr().String()
	connector := session.Connector{Local: session.Identity{Role: wire.RoleControl, ID: m.address}, Handler: m}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_ = fasthttp.Serve(listener, func(request *fasthttp.RequestCtx) { _ = connector.Accept(ctx, request) })
	}()
	ginkgo.DeferCleanup(func() { cancel(); _ = listener.Close() })
	return m
}

func (m *fakeMember) SessionOpened(s *session.Session) { m.sessions <- s }

func (m *fakeMember) SessionClosed(*session.Session, error) {}

func (m *fakeMember) MessagesReceived(_ *session.Session, messages []wire.Message) {
	for _, message := range messages {
		if poll, ok := message.(*wire.LeasePoll); ok {
			m.polls <- poll
			continue
		}
		m.received <- message
	}
}

// recorder is a Subscriber that records the order of its calls.
type recorder struct {
	mu             sync.Mutex
	events         []string
	leasedRevision uint64 // revision of the configuration when the configuration lease was last extended; not read
	state          *catalog.State
}

func (r *recorder) ConfigurationChanged(state *catalog.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.events = append(r.events, "configuration")
}

func (r *recorder) LeaseExtended(time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, "lease")
	if r.state != nil {
		r.leasedRevision = r.state.Revision
	}
}

func (r *recorder) order() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

func start(members ...*fakeMember) (*configfeed.Client, *recorder) {
	r := &recorder{}
	c := &configfeed.Client{Connector: session.Connector{Local: session.Identity{Role: wire.RoleEntry, ID: "entry-1"}}, Subscriber: r}
	for _, m := range members {
		c.Seeds = append(c.Seeds, m.address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = c.Run(ctx) }()
	ginkgo.DeferCleanup(func() { cancel(); <-ended })
	return c, r
}

// stateWithOrganisations returns the state after n organisations were added, and its steps since a
// revision.
func stateWithOrganisations(n int, from uint64) (*catalog.State, []catalog.Step) {
	m := catalog.New()
	for i := range n {
		name := string(rune('a' + i))
		data, err := catalog.Command{ChangeID: name, ExpectedRevision: m.State().Revision, Operation: catalog.PutOrganisation{Organisation: catalog.Organisation{Name: name}}}.Encode()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		m.Apply(data)
	}
	kept, _ := m.StepsSince(from)
	return m.State(), kept
}

// silentAddress returns an address that answers no packet, like that of a host that is off: the queue of connections
// that wait to be accepted is full.
func silentAddress() string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(unix.Close, fd)
	gomega.Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(gomega.Succeed())
	gomega.Expect(unix.Listen(fd, 0)).To(gomega.Succeed())
	name, err := unix.Getsockname(fd)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*unix.SockaddrInet4).Port))
	gomega.Eventually(func() error {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err == nil {
			ginkgo.DeferCleanup(conn.Close)
		}
		return err
	}).Should(gomega.HaveOccurred())
	return address
}

var _ = ginkgo.Describe("Client", func() {
	// Guards against a process that waits for members whose hosts are still off, while another member has the
	// configuration.
	ginkgo.It("finds the only running member in less than the timeout of two sessions", func() {
		m := newFakeMember()
		c := &configfeed.Client{Connector: session.Connector{Local: session.Identity{Role: wire.RoleEntry, ID: "entry-1"}}, Subscriber: &recorder{}}
		for range 4 {
			c.Seeds = append(c.Seeds, silentAddress())
		}
		last := (xxhash.Sum64String("entry-1") + 3) % 4
		c.Seeds[last] = m.address // dialed after the three others
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		began := time.Now()
		go func() { defer close(ended); _ = c.Run(ctx) }()
		ginkgo.DeferCleanup(func() { cancel(); <-ended })
		gomega.Eventually(m.sessions).Should(gomega.Receive())
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 600*time.Millisecond))
	})

	// Guards against a configuration lease for a revision that the process does not have, and against deltas
	// that are applied twice or with steps missing.
	ginkgo.It("defers a grant, requests the missing steps after a gap and ignores duplicate steps", func() {
		m := newFakeMember()
		c, r := start(m)
		s := <-m.sessions
		gomega.Eventually(m.received).Should(gomega.Receive(gomega.Equal(&wire.ConfigRequest{})))
		poll := <-m.polls
		s.Send(&wire.LeaseGrant{Sent: poll.Sent, Revision: 3, Group: 1})
		old, _ := stateWithOrganisations(0, 1)
		s.Send(&wire.ConfigSnapshot{Group: 1, State: *old})
		_, gap := stateWithOrganisations(3, 2)
		s.Send(&wire.ConfigDelta{Group: 1, From: 2, To: 4, Steps: gap})
		gomega.Eventually(m.received).Should(gomega.Receive(gomega.Equal(&wire.ConfigRequest{Revision: 1})))
		gomega.Expect(r.order()).To(gomega.Equal([]string{"configuration"}))
		want, all := stateWithOrganisations(3, 1)
		s.Send(&wire.ConfigDelta{Group: 1, From: 1, To: 4, Steps: all})
		s.Send(&wire.ConfigDelta{Group: 1, From: 1, To: 4, Steps: all})
		gomega.Eventually(r.order).Should(gomega.Equal([]string{"configuration", "configuration", "lease"}))
		gomega.Expect(c.State()).To(gomega.Equal(want))
		confirmed := func() uint64 { return (<-m.polls).Revision }
		gomega.Eventually(confirmed).Should(gomega.Equal(want.Revision))
	})

	// Guards against a poll timer for each grant or session, which would multiply the polls: the load
	// would double with every reconnect.
	ginkgo.It("polls at one rate whatever the number of grants and sessions", func() {
		m := newFakeMember()
		start(m)
		for range 3 {
			s := <-m.sessions
			poll := <-m.polls
			for range 20 {
				s.Send(&wire.LeaseGrant{Sent: poll.Sent, Revision: 1, Group: 1})
			}
			go s.Close()
		}
		<-m.sessions
		<-m.polls
		opened := clock.SinceBoot()
		for range 4 {
			<-m.polls
		}
		gomega.Expect(clock.SinceBoot() - opened).To(gomega.BeNumerically(">", 1400*time.Millisecond))
	})

	// Guards against a configuration lease from control members that were set up anew: their revisions
	// start again below those that this process has.
	ginkgo.It("ignores messages from another group of control members", func() {
		m := newFakeMember()
		c, r := start(m)
		s := <-m.sessions
		state, _ := stateWithOrganisations(2, 1)
		s.Send(&wire.ConfigSnapshot{Group: 1, State: *state})
		gomega.Eventually(c.State).ShouldNot(gomega.BeNil())
		poll := <-m.polls
		s.Send(&wire.LeaseGrant{Sent: poll.Sent, Revision: 1, Group: 2})
		gomega.Eventually(m.sessions).Should(gomega.Receive())
		gomega.Expect(r.order()).To(gomega.Equal([]string{"configuration"}))
	})

	// Guards against a process that keeps its session with a member that drains or has no leader.
	ginkgo.It("switches to another member when one closes or grants no lease", func() {
		a, b := newFakeMember(), newFakeMember()
		start(a, b)
		for range 4 {
			select {
			case s := <-a.sessions:
				s.Send(&wire.Closing{})
			case <-b.sessions: // grants no lease
			case <-time.After(4 * time.Second):
				ginkgo.Fail("the client stays with a member that does not serve it")
			}
		}
	})

	// Guards against a change that is lost with its session, and against a membership command that is
	// carried out twice.
	ginkgo.It("resends proposals on the next session but not membership commands", func() {
		m := newFakeMember()
		c, _ := start(m)
		s := <-m.sessions
		gomega.Eventually(m.received).Should(gomega.Receive())
		outcomes, failures := make(chan catalog.Outcome, 1), make(chan error, 1)
		go func() {
			outcome, _ := c.Propose(context.Background(), catalog.Command{Operation: catalog.AnnounceZone{Name: "z"}})
			outcomes <- outcome
		}()
		gomega.Eventually(m.received).Should(gomega.Receive(gomega.BeAssignableToTypeOf(&wire.Propose{})))
		go func() {
			failures <- c.ChangeMember(context.Background(), wire.MemberChange{Kind: wire.AdminReplace, Name: "a", Expected: 1})
		}()
		gomega.Eventually(m.received).Should(gomega.Receive(gomega.BeAssignableToTypeOf(&wire.MemberChange{})))
		s.Close()
		gomega.Expect(failure.KindOf(<-failures)).To(gomega.Equal(failure.MayHaveRun))
		s = <-m.sessions
		for {
			if p, ok := (<-m.received).(*wire.Propose); ok {
				s.Send(&wire.ProposeResult{ID: p.ID, Revision: 9})
				break
			}
		}
		gomega.Expect(<-outcomes).To(gomega.Equal(catalog.Outcome{Revision: 9}))
		gomega.Expect(m.received).NotTo(gomega.Receive(gomega.BeAssignableToTypeOf(&wire.MemberChange{})))
	})
})
