// Package control implements the I/O of the control role. It runs a member of the replicated log, pushes
// the configuration to the processes that have a session with it, grants them configuration leases that
// start at the member's own lease basis, carries out proposals and maintains the directory of entries. A
// lease basis is a time at which the configuration was known to be the newest committed one (package
// lease).
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/admin"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/process/loop"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/lease"
	"pollenpaddle/internal/version/replica"
	"pollenpaddle/internal/version/replication"
)

const (
	// eventQueueLimit is the greatest number of queued events.
	eventQueueLimit = 65536
	// tickInterval is the time between two ticks of the directory, and between two presence reports to
	// the other members.
	tickInterval = time.Second
	// drainTimeout bounds the wait for entries and agents to switch to another member.
	drainTimeout = 2 * time.Second
	// departTimeout bounds the wait for another process to take the place of this member. It includes an election.
	departTimeout = 4 * time.Second
	// basisPollInterval is how often ConfirmedState checks the lease basis. It is shorter than the
	// heartbeat interval (100 ms), at which the basis is renewed.
	basisPollInterval = 10 * time.Millisecond
	// DefaultEntryTimeout is the time without a session after which an entry is removed from the
	// directory. It leaves time to detect a broken session (3 s) and to open another one.
	DefaultEntryTimeout = 10 * time.Second
)

// Config describes a control member.
type Config struct {
	Identity session.Identity
	Key      []byte
	Folder   string // data folder of the replicated log
	// Peers are the names and addresses of all control processes, including this one.
	Peers []replication.Member
	// AutomaticMembership lets the group of members change without commands. Peers are then the seeds,
	// which are asked for the current members, Bootstrap allows this process to take part in forming a
	// new group, and Size is the number of members to which the group grows.
	AutomaticMembership bool
	Size                int
	Bootstrap           bool
	EntryTimeout        time.Duration // zero: DefaultEntryTimeout
	SnapshotEvery       uint64        // zero: the default of package replica
	Logger              *zap.Logger
	Registry            prometheus.Registerer // nil registers no metrics
}

// Server is the control role of a process.
type Server struct {
	config     Config
	connector  session.Connector
	store      *store
	replica    replica.API
	links      *links
	loop       *loop.Loop[any]
	directory  *directory // accessed only on the event loop's goroutine
	calls      callLimiter
	ctx        context.Context // done when Run ends
	stop       context.CancelFunc
	draining   atomic.Bool
	pushQueued atomic.Bool // a pushDue event is queued

	clients  map[*session.Session]*client // accessed only on the event loop's goroutine
	nextTick time.Duration                // boot-time clock; accessed only on the event loop's goroutine
	sessions sync.Map                     // every accepted session, for Drain
	counts   sessionCounts
}

// New opens the data folder and returns a member. Call Run to start it.
func New(config Config) (*Server, error) {
	if config.EntryTimeout == 0 {
		config.EntryTimeout = DefaultEntryTimeout
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	s := &Server{config: config, clients: map[*session.Session]*client{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.connector = session.Connector{Local: config.Identity, Key: config.Key, Handler: s, OnFault: logFaults(config)}
	s.loop = loop.New(eventQueueLimit, s.handle, s.wake)
	s.store = newStore(s.configurationChanged)
	s.links = newLinks(s.ctx, config)
	s.directory = newDirectory(s)
	s.calls.permits = make(chan struct{}, maxCalls)
	member, err := replica.Open(replica.Options{
		Folder: config.Folder, Name: config.Identity.ID, Peers: config.Peers,
		Seed: config.Identity.Incarnation, Incarnation: config.Identity.Incarnation,
		Address: config.Identity.Address, AutomaticMembership: config.AutomaticMembership, Size: config.Size, Bootstrap: config.Bootstrap,
		Transport: s.links, StateMachine: s.store, OnRoleChange: s.roleChanged, OnError: s.storageFailed,
		SnapshotEvery: config.SnapshotEvery,
	})
	if err != nil {
		s.stop()
		return nil, err
	}
	s.replica = member
	s.links.onOpen = member.MemberConnected // no link exists before Run
	if config.Registry != nil {
		s.register(config.Registry)
	}
	return s, nil
}

func (s *Server) roleChanged(status replica.Status) {
	logging.Log(s.config.Logger, logging.ControlRoleChanged,
		zap.String("role", status.Role), zap.String("leader", status.Leader.Name), zap.Uint64("term", status.Term))
	// If the queue is full, the next tick pushes the configuration and proposes the changes. A changed
	// list of members is then sent only at the next such event, or when a process requests the
	// configuration.
	s.loop.TryPost(leaderChanged{})
}

func (s *Server) storageFailed(err error) {
	logging.Log(s.config.Logger, logging.ControlStorageFailed, zap.Error(err))
}

// Routes implements daemon.Role.
func (s *Server) Routes(r *router.Router) {
	r.GET(session.Path(wire.RoleControl), func(ctx *fasthttp.RequestCtx) { _ = s.connector.Accept(s.ctx, ctx) })
}

// Run implements daemon.Role.
func (s *Server) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.stop)()
	defer s.stop()
	s.links.connect(s.knownMembers())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.loop.Run(ctx) })
	group.Go(func() error { return s.replica.Run(ctx) })
	return group.Wait()
}

// knownMembers returns the members of the recovered group configuration, or the peers from the settings
// if there is none.
func (s *Server) knownMembers() []replication.Member {
	var members []replication.Member
	for _, m := range s.replica.Status().Members {
		members = append(members, m.Member)
	}
	if len(members) == 0 {
		return s.config.Peers
	}
	return members
}

// Drain implements daemon.Role. It transfers leadership, asks the other processes to use another member, and waits until
// the entries and agents have left, the calls in progress have ended, and a waiting process has taken the place of this
// member.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	hasOthers := len(s.replica.Status().Members) > 1
	if hasOthers {
		_ = s.replica.Transfer(ctx) // if it fails, the others elect a leader after this member has stopped
	}
	s.sessions.Range(func(key, _ any) bool {
		key.(*session.Session).Send(&wire.Closing{})
		return true
	})
	s.calls.drain()
	if hasOthers {
		var waits errgroup.Group
		waits.Go(func() error { s.awaitSwitch(ctx); return nil })
		waits.Go(func() error { s.depart(ctx); return nil })
		_ = waits.Wait()
	}
	var group errgroup.Group
	s.sessions.Range(func(key, _ any) bool {
		group.Go(func() error { key.(*session.Session).Close(); return nil })
		return true
	})
	return group.Wait()
}

// depart gives up the membership in favour of a waiting process, if there is one. After departTimeout the process ends as
// a member, and is replaced once it has been unresponsive for some time.
func (s *Server) depart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	if err := s.replica.Depart(ctx); err != nil {
		logging.Log(s.config.Logger, logging.ControlDepartedAsMember, zap.Error(err))
	}
}

// awaitSwitch waits until the entries and agents have switched to another member. It returns when none
// of them has a session, or after drainTimeout.
func (s *Server) awaitSwitch(ctx context.Context) {
	timeout := time.NewTimer(drainTimeout)
	defer timeout.Stop()
	check := time.NewTicker(10 * time.Millisecond)
	defer check.Stop()
	for s.counts.entriesAndAgents() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-check.C:
		}
	}
}

// Ready implements daemon.Role. A member is ready while it can grant configuration leases.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return failure.New(failure.Unavailable, "use another control member", "the control member is shutting down")
	}
	if basis, ok := s.replica.Basis(); !ok || basis.Age > lease.UsableDuration {
		return failure.New(failure.Unavailable, "wait for an election; if it persists, make sure that a majority of the control members is running and connected",
			"the control member cannot grant configuration leases: no majority of the members has confirmed its configuration in the last %v", lease.Duration)
	}
	return nil
}

// AdminBackend implements admin.BackendProvider.
func (s *Server) AdminBackend() admin.Backend { return s }

// SetPeers replaces the seeds, which are asked for the current members.
func (s *Server) SetPeers(peers []replication.Member) { s.replica.SetPeers(peers) }

// ConfirmedState returns a configuration that includes every change that was committed before the call.
// It waits until a majority has confirmed it. If no majority does so before ctx is done, it returns
// Unavailable.
func (s *Server) ConfirmedState(ctx context.Context) (*catalog.State, error) {
	began := clock.SinceBoot()
	check := time.NewTicker(basisPollInterval)
	defer check.Stop()
	for {
		if basis, ok := s.replica.Basis(); ok && clock.SinceBoot()-basis.Age >= began {
			return s.store.State(), nil
		}
		select {
		case <-ctx.Done():
			return nil, failure.New(failure.Unavailable, "ask another control member or retry",
				"the control member cannot confirm that its configuration is the newest").WithRetryAfter(time.Second)
		case <-check.C:
		}
	}
}

// Formed reports whether the group has enough voters to accept the first configuration from operators.
// A group with automatic membership must first have Config.Size voters: with fewer, losing some members
// could destroy every copy of a committed change. Once there is a configuration, changes are also
// accepted while members are being replaced.
func (s *Server) Formed() bool {
	if !s.config.AutomaticMembership || s.store.State().Routing != nil {
		return true
	}
	voters := 0
	for _, m := range s.replica.Status().Members {
		if m.Voter {
			voters++
		}
	}
	return voters >= s.config.Size
}

// State returns the newest configuration that this member has applied.
func (s *Server) State() *catalog.State { return s.store.State() }

// wake does the periodic work of the event loop and returns the wait until its next call.
func (s *Server) wake() time.Duration {
	now := clock.SinceBoot()
	if now < s.nextTick {
		return s.nextTick - now
	}
	s.directory.tick(now)
	s.pushAll()
	s.nextTick = now + tickInterval
	return tickInterval
}
