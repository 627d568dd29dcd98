package control_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/process/configfeed"
	"pollenpaddle/internal/process/control"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/replication"
)

func TestControl(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(10 * time.Second)
	gomega.SetDefaultEventuallyPollingInterval(10 * time.Millisecond)
	ginkgo.RunSpecs(t, "control")
}

var key = []byte("shared key of the test installation")

// member is one control process on the loopback interface. stop ends it without a drain, like a crash.
type member struct {
	name, address, folder string
	listener              net.Listener // open from the start, so that no other process takes the port
	peers                 []replication.Member
	starts                uint64
	server                *control.Server
	stop                  func()
}

// group is a set of control members. Each reaches the others through its own proxies, so that single
// members can be isolated.
type group struct {
	members []*member
	proxies map[string]*proxy // by "from>to"
}

func startGroup(size int, configure ...func(*control.Config)) *group {
	g := &group{proxies: map[string]*proxy{}}
	for i := range size {
		g.members = append(g.members, newMember(i, filepath.Join(ginkgo.GinkgoT().TempDir(), fmt.Sprint(i))))
	}
	for _, m := range g.members {
		for _, to := range g.members {
			address := to.address
			if to != m {
				p := newProxy(to.address)
				g.proxies[m.name+">"+to.name] = p
				address = p.address
			}
			m.peers = append(m.peers, replication.Member{Name: to.name, Address: address})
		}
		m.start(configure...)
		ginkgo.DeferCleanup(func() { m.stop() })
	}
	gomega.Eventually(g.formed).Should(gomega.BeTrue(), "the group is not formed")
	return g
}

// formed reports whether every member is a voter. The member that forms a group is its only voter at
// first, and the others become voters one at a time; if one of the first two voters fails before there is
// a third, the majority is lost.
func (g *group) formed() bool {
	for _, m := range g.members {
		status, err := m.server.Status(context.Background())
		if err != nil || len(status.Members) != len(g.members) {
			return false
		}
		for _, known := range status.Members {
			if !known.Voter {
				return false
			}
		}
	}
	return true
}

func newMember(i int, folder string) *member {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return &member{name: fmt.Sprint("control-", i), address: listener.Addr().String(), folder: folder, listener: listener}
}

func (m *member) start(configure ...func(*control.Config)) {
	m.starts++
	config := control.Config{
		Identity: session.Identity{Role: wire.RoleControl, ID: m.name, Incarnation: uint64(len(m.address))*1000 + m.starts + hash(m.name), Address: m.address},
		Key:      key, Folder: m.folder, Peers: m.peers,
	}
	for _, c := range configure {
		c(&config)
	}
	server, err := control.New(config)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if m.listener == nil {
		// An outgoing connection may occupy the port briefly after a restart.
		gomega.Eventually(func() (err error) {
			m.listener, err = net.Listen("tcp", m.address)
			return err
		}).Should(gomega.Succeed())
	}
	listener := m.listener
	routes := router.New()
	server.Routes(routes)
	web := &fasthttp.Server{Handler: routes.Handler, CloseOnShutdown: true}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = web.Serve(listener) })
	running.Go(func() { _ = server.Run(ctx) })
	m.server = server
	m.stop = sync.OnceFunc(func() { cancel(); _ = listener.Close(); running.Wait(); m.listener = nil })
}

// hash makes the incarnations, and so the random seeds, of the members differ.
func hash(name string) uint64 {
	sum := uint64(0)
	for _, c := range name {
		sum = sum*131 + uint64(c)
	}
	return sum
}

// isolate disconnects a member from the other members or reconnects it. Entries and agents can still
// reach it.
func (g *group) isolate(m *member, isolated bool) {
	for _, other := range g.members {
		if other != m {
			g.proxies[m.name+">"+other.name].setDisconnected(isolated)
			g.proxies[other.name+">"+m.name].setDisconnected(isolated)
		}
	}
}

// leader returns the leader once it has a recent lease basis.
func (g *group) leader() *member {
	var found *member
	gomega.Eventually(func() bool {
		for _, m := range g.members {
			if status, err := m.server.Status(context.Background()); err == nil && status.Leader == m.name && m.server.Ready() == nil {
				found = m
				return true
			}
		}
		return false
	}).Should(gomega.BeTrue(), "the group has no leader")
	return found
}

func (g *group) addresses() []string {
	var addresses []string
	for _, m := range g.members {
		addresses = append(addresses, m.address)
	}
	return addresses
}

// proxy forwards TCP connections unless it is disconnected.
type proxy struct {
	address      string
	target       string
	mu           sync.Mutex
	disconnected bool
	open         map[net.Conn]bool
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = listener.Close() })
	p := &proxy{address: listener.Addr().String(), target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(in)
		}
	}()
	return p
}

func (p *proxy) serve(in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	p.mu.Lock()
	if p.disconnected {
		p.mu.Unlock()
		return
	}
	p.open[in], p.open[out] = true, true
	p.mu.Unlock()
	go func() { copyAndClose(in, out) }()
	copyAndClose(out, in)
}

func copyAndClose(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err == nil {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

func (p *proxy) setDisconnected(disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = disconnected
	for conn := range p.open {
		if disconnected {
			_ = conn.Close()
		}
	}
	clear(p.open)
}

// process is a configfeed client with the role of an entry or agent that records what it receives.
type process struct {
	*configfeed.Client
	stop func()

	mu       sync.Mutex
	state    *catalog.State
	deadline time.Duration // end of the configuration lease
	tooEarly bool          // the configuration lease was extended before a configuration was reported
}

func startProcess(role wire.Role, id string, incarnation uint64, members ...string) *process {
	p := &process{}
	p.Client = &configfeed.Client{
		Connector: session.Connector{Key: key, Local: session.Identity{
			Role: role, ID: id, Incarnation: incarnation, AvailabilityZone: "subiaco", Address: "127.0.0.1:7400",
		}},
		Seeds: members, Subscriber: p,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = p.Run(ctx) })
	p.stop = sync.OnceFunc(func() { cancel(); running.Wait() })
	ginkgo.DeferCleanup(p.stop)
	return p
}

// ConfigurationChanged implements configfeed.Subscriber.
func (p *process) ConfigurationChanged(state *catalog.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// LeaseExtended implements configfeed.Subscriber.
func (p *process) LeaseExtended(deadline time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline, p.tooEarly = deadline, p.tooEarly || p.state == nil
}

func (p *process) leased() bool { return clock.SinceBoot() < p.leaseEnd() }

func (p *process) leaseEnd() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deadline
}

func (p *process) leasedTooEarly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tooEarly
}

func (p *process) revision() uint64 {
	if state := p.State(); state != nil {
		return state.Revision
	}
	return 0
}

func change(id string, expected uint64, operation catalog.Operation) catalog.Command {
	return catalog.Command{ChangeID: id, ExpectedRevision: expected, Operation: operation}
}

func quota(slots int) catalog.Operation {
	return catalog.PutOrganisation{Organisation: catalog.Organisation{Name: "swan", Slots: slots}}
}

// timeoutContext returns a context that is done after some seconds or when the spec ends.
func timeoutContext(seconds int) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(seconds)*time.Second)
	ginkgo.DeferCleanup(cancel)
	return ctx
}

func peerOf(m *member) replication.Member {
	return replication.Member{Name: m.name, Address: m.address}
}

// changeMember asks a member for a change that is based on the revision that it knows.
func changeMember(asked *member, kind wire.AdminKind, name, address string) error {
	revision, err := asked.server.MembersRevision(timeoutContext(5))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return asked.server.ChangeMember(timeoutContext(10), wire.MemberChange{Kind: kind, Name: name, Address: address, Expected: revision})
}
