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

// agentSession is an agent's end of a session, without the rest of an agent.
type agentSession struct {
	pool    *sessionPool
	session *session.Session
}

// sessionPool holds agent sessions that are distributed over the members of a group.
type sessionPool struct {
	sessions       []*agentSession
	opening        sync.WaitGroup
	expected       atomic.Uint64 // revision that the sessions wait for
	missing        atomic.Int64  // sessions that have not received it
	delivered      chan struct{} // receives a value when all sessions have received it
	grants         atomic.Int64
	granted        chan struct{} // receives a value when grants reaches expectedGrants
	expectedGrants atomic.Int64
}

func (s *agentSession) SessionOpened(opened *session.Session) {
	s.session = opened
	opened.Send(&wire.ConfigRequest{})
	s.pool.opening.Done()
}

func (s *agentSession) SessionClosed(*session.Session, error) {}

func (s *agentSession) MessagesReceived(_ *session.Session, messages []wire.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case *wire.ConfigDelta:
			s.pool.received(m.To)
		case *wire.ConfigSnapshot:
			s.pool.received(m.State.Revision)
		case *wire.LeaseGrant:
			if s.pool.grants.Add(1) == s.pool.expectedGrants.Load() {
				s.pool.granted <- struct{}{}
			}
		}
	}
}

func (p *sessionPool) received(revision uint64) {
	if revision == p.expected.Load() && p.missing.Add(-1) == 0 {
		p.delivered <- struct{}{}
	}
}

// expect makes delivered receive a value when all sessions have received the revision.
func (p *sessionPool) expect(revision uint64) {
	p.missing.Store(int64(len(p.sessions)))
	p.expected.Store(revision)
}

// openSessions opens size sessions and waits until each has received the first configuration.
func openSessions(b *testing.B, size int, addresses []string) *sessionPool {
	p := &sessionPool{delivered: make(chan struct{}, 1), granted: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	p.opening.Add(size)
	p.missing.Store(int64(size))
	p.expected.Store(catalog.FirstRevision)
	for i := range size {
		s := &agentSession{pool: p}
		p.sessions = append(p.sessions, s)
		connector := session.Connector{
			Key: key, Handler: s, Local: session.Identity{Role: wire.RoleAgent, ID: fmt.Sprint("agent-", i), Incarnation: 1, AvailabilityZone: "subiaco"},
		}
		go func() { _ = connector.Dial(ctx, addresses[i%len(addresses)], wire.RoleControl) }()
	}
	p.opening.Wait()
	<-p.delivered
	return p
}

func (p *sessionPool) bytes() (sum uint64) {
	for _, s := range p.sessions {
		received, sent := s.session.Bytes()
		sum += received + sent
	}
	return sum
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchmarkGroup runs a benchmark against three members. The helpers of the group report failures through
// ginkgo, which a benchmark does not run, so failures panic and clean-ups are registered here.
func benchmarkGroup(b *testing.B, size int, run func(b *testing.B, g *group, p *sessionPool)) {
	gomega.RegisterFailHandler(func(message string, _ ...int) { panic(message) })
	gomega.SetDefaultEventuallyTimeout(10 * time.Second)
	g := &group{proxies: map[string]*proxy{}}
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
	run(b, g, openSessions(b, size, g.addresses()))
}

// BenchmarkChangeDelivery measures a zone change: the time from the proposal to its commit, the time from
// the commit until the last session has received it, and the bytes per session.
func BenchmarkChangeDelivery(b *testing.B) {
	for _, size := range []int{100, 1000, 6400} {
		b.Run(fmt.Sprint("sessions=", size), func(b *testing.B) {
			benchmarkGroup(b, size, func(b *testing.B, g *group, p *sessionPool) {
				ctx, leader := context.Background(), g.leader()
				if _, err := leader.server.Propose(ctx, catalog.Command{Operation: catalog.AnnounceZone{Name: "subiaco"}}); err != nil {
					b.Fatal(err)
				}
				var commitTimes, deliveryTimes []time.Duration
				before := uint64(0)
				for i := 0; b.Loop(); i++ {
					revision := leader.server.State().Revision
					if i == 1 {
						before = p.bytes()
					}
					p.expect(revision + 1)
					start := clock.SinceBoot()
					if _, err := leader.server.Propose(ctx, change(fmt.Sprint("c", revision), revision, catalog.SetZone{Name: "subiaco", Out: i%2 == 0})); err != nil {
						b.Fatal(err)
					}
					committed := clock.SinceBoot()
					<-p.delivered
					commitTimes, deliveryTimes = append(commitTimes, committed-start), append(deliveryTimes, max(0, clock.SinceBoot()-committed))
				}
				if n := len(deliveryTimes); n > 1 {
					slices.Sort(commitTimes)
					slices.Sort(deliveryTimes)
					b.ReportMetric(float64(commitTimes[n/2].Microseconds())/1e3, "commit-p50-ms")
					b.ReportMetric(float64(deliveryTimes[n/2].Microseconds())/1e3, "deliver-p50-ms")
					b.ReportMetric(float64(deliveryTimes[n*99/100].Microseconds())/1e3, "deliver-p99-ms")
					b.ReportMetric(float64(p.bytes()-before)/float64((n-1)*size), "bytes/change/session")
				}
			})
		})
	}
}

// BenchmarkLeasePoll measures the processor time and bytes of a poll and its grant, including both ends
// and the heartbeats of the three members.
func BenchmarkLeasePoll(b *testing.B) {
	benchmarkGroup(b, 1000, func(b *testing.B, _ *group, p *sessionPool) {
		before, started, rounds := p.bytes(), processorTime(), 0
		for b.Loop() {
			rounds++
			p.expectedGrants.Store(int64(rounds * len(p.sessions)))
			for _, s := range p.sessions {
				s.session.Send(&wire.LeasePoll{Sent: clock.SinceBoot(), Revision: catalog.FirstRevision})
			}
			<-p.granted
		}
		polls := float64(rounds * len(p.sessions))
		b.ReportMetric(float64((processorTime()-started).Microseconds())/polls, "cpu-us/poll")
		b.ReportMetric(float64(p.bytes()-before)/polls, "bytes/poll")
	})
}
