package control_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/version/catalog"
)

// sink is a bare agent session that notes the newest revision.
type sink struct {
	crowd   *crowd
	session *session.Session
}

// crowd is a number of sinks that are spread over the members of a group.
type crowd struct {
	sinks    []*sink
	open     sync.WaitGroup
	wanted   atomic.Uint64 // revision that the sinks wait for
	missing  atomic.Int64  // sinks that have not got it
	inForce  chan struct{}
	grants   atomic.Int64
	granted  chan struct{}
	awaiting atomic.Int64
}

func (s *sink) SessionOpened(opened *session.Session) {
	s.session = opened
	opened.Send(&wire.ConfigRequest{})
	s.crowd.open.Done()
}

func (s *sink) SessionClosed(*session.Session, error) {}

func (s *sink) MessagesReceived(_ *session.Session, messages []wire.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case *wire.ConfigDelta:
			s.crowd.got(m.To)
		case *wire.ConfigSnapshot:
			s.crowd.got(m.State.Revision)
		case *wire.LeaseGrant:
			if s.crowd.grants.Add(1) == s.crowd.awaiting.Load() {
				s.crowd.granted <- struct{}{}
			}
		}
	}
}

func (c *crowd) got(revision uint64) {
	if revision == c.wanted.Load() && c.missing.Add(-1) == 0 {
		c.inForce <- struct{}{}
	}
}

// expect makes inForce receive a value once all sinks have got the revision.
func (c *crowd) expect(revision uint64) {
	c.missing.Store(int64(len(c.sinks)))
	c.wanted.Store(revision)
}

func gather(b *testing.B, size int, addresses []string) *crowd {
	c := &crowd{inForce: make(chan struct{}, 1), granted: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	c.open.Add(size)
	c.missing.Store(int64(size))
	c.wanted.Store(catalog.FirstRevision)
	for i := range size {
		s := &sink{crowd: c}
		c.sinks = append(c.sinks, s)
		connector := session.Connector{
			Key: key, Handler: s, Local: session.Identity{Role: wire.RoleAgent, ID: fmt.Sprint("agent-", i), Incarnation: 1, AvailabilityZone: "subiaco"},
		}
		go func() { _ = connector.Dial(ctx, addresses[i%len(addresses)], wire.RoleControl) }()
	}
	c.open.Wait()
	<-c.inForce // every sink has its first configuration
	return c
}

func (c *crowd) bytes() (sum uint64) {
	for _, s := range c.sinks {
		received, sent := s.session.Bytes()
		sum += received + sent
	}
	return sum
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// inGroup runs a benchmark against three members. Their helpers report through ginkgo, which a
// benchmark does not run, so failures panic and clean-ups are done here.
func inGroup(b *testing.B, size int, run func(b *testing.B, g *group, c *crowd)) {
	gomega.RegisterFailHandler(func(message string, _ ...int) { panic(message) })
	gomega.SetDefaultEventuallyTimeout(10 * time.Second)
	g := &group{paths: map[string]*forwarder{}}
	for i := range 3 {
		g.members = append(g.members, newMember(i, b.TempDir()))
	}
	for _, m := range g.members {
		for _, to := range g.members {
			m.peers = append(m.peers, peerOf(to))
		}
		m.start()
		b.Cleanup(func() { m.stop() })
	}
	g.leader()
	run(b, g, gather(b, size, g.addresses()))
}

// BenchmarkChangeInForce measures a zone change: from the proposal to its acceptance, from there
// until the last of the sessions has it, and the bytes that it costs per session.
func BenchmarkChangeInForce(b *testing.B) {
	for _, size := range []int{100, 1000, 6400} {
		b.Run(fmt.Sprint("sessions=", size), func(b *testing.B) {
			inGroup(b, size, func(b *testing.B, g *group, c *crowd) {
				ctx, leader := context.Background(), g.leader()
				if _, err := leader.server.Propose(ctx, catalog.Command{Operation: catalog.AnnounceZone{Name: "subiaco"}}); err != nil {
					b.Fatal(err)
				}
				var accept, force []time.Duration
				before := uint64(0)
				for i := 0; b.Loop(); i++ {
					revision := leader.server.State().Revision
					if i == 1 {
						before = c.bytes()
					}
					c.expect(revision + 1)
					start := clock.SinceBoot()
					if _, err := leader.server.Propose(ctx, change(fmt.Sprint("c", revision), revision, catalog.SetZone{Name: "subiaco", Out: i%2 == 0})); err != nil {
						b.Fatal(err)
					}
					accepted := clock.SinceBoot()
					<-c.inForce
					accept, force = append(accept, accepted-start), append(force, max(0, clock.SinceBoot()-accepted))
				}
				if n := len(force); n > 1 {
					slices.Sort(accept)
					slices.Sort(force)
					b.ReportMetric(float64(accept[n/2].Microseconds())/1e3, "accept-p50-ms")
					b.ReportMetric(float64(force[n/2].Microseconds())/1e3, "in-force-p50-ms")
					b.ReportMetric(float64(force[n*99/100].Microseconds())/1e3, "in-force-p99-ms")
					b.ReportMetric(float64(c.bytes()-before)/float64((n-1)*size), "bytes/change/session")
				}
			})
		})
	}
}

// BenchmarkLeasePoll measures the processor time and bytes of a poll and its grant, both ends and
// the heartbeats of the three members included.
func BenchmarkLeasePoll(b *testing.B) {
	inGroup(b, 1000, func(b *testing.B, _ *group, c *crowd) {
		before, started, rounds := c.bytes(), processorTime(), 0
		for b.Loop() {
			rounds++
			c.awaiting.Store(int64(rounds * len(c.sinks)))
			for _, s := range c.sinks {
				s.session.Send(&wire.LeasePoll{Sent: clock.SinceBoot(), Revision: catalog.FirstRevision})
			}
			<-c.granted
		}
		polls := float64(rounds * len(c.sinks))
		b.ReportMetric(float64((processorTime()-started).Microseconds())/polls, "cpu-us/poll")
		b.ReportMetric(float64(c.bytes()-before)/polls, "bytes/poll")
	})
}
