// Package agent is the I/O shell of the agent role: it follows the announcements of the upstream
// beside it, calls it, keeps a session with every entry, and carries out what the start gate
// decides.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/configfeed"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/process/loop"
	"pollenpaddle/internal/process/workerhost"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/startgate"
	"pollenpaddle/internal/version/catalog"
)

const eventRingLimit = 16384

// Config describes one agent.
type Config struct {
	Identity session.Identity
	Key      []byte
	Members  []string // control members
	// Upstream is the address (host:port) of a static upstream, which the agent probes and announces
	// as Offer. It is empty if the upstream announces itself.
	Upstream           string
	StaticAnnouncement wire.Announce
	Platform           workerhost.Platform   // nil if there is no worker platform
	Worker             Worker                // runs restartable jobs; nil if there is none
	Token              uint64                // first fencing token for calls to Worker
	Logger             *zap.Logger           // nil logs nothing
	Registry           prometheus.Registerer // nil registers no metrics
	// Authorize checks an announcement that does not come from this machine. Nil refuses it.
	Authorize func(authorization string) error
}

// Agent is the agent role of a process.
type Agent struct {
	config    Config
	connector session.Connector
	feed      *configfeed.Client
	loop      *loop.Loop[any]
	pool      *callerPool
	upstream  upstream
	directory directory

	// The fields that follow belong to the loop's thread.
	machine *startgate.Machine
	runner  *runner.Machine
	// announced is the newest announcement of the worker, for logs.
	announced runner.WorkerAnnounced
	sessions  map[startgate.EntryID]*session.Session
	zoneOut   bool
	leaseEnd  time.Duration
	dropped   uint64        // results dropped, as of the last log line
	drained   chan struct{} // closed when a drain is complete; nil unless draining

	workerOpen atomic.Bool // the worker takes runs of restartable jobs
	ready      atomic.Pointer[readiness]
	draining   atomic.Bool
}

// readiness is what Ready needs to know of the machine.
type readiness struct {
	announced bool
	leaseEnd  time.Duration
}

// New returns an agent.
func New(config Config) *Agent {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	config.StaticAnnouncement = withHostCapacity(config.StaticAnnouncement)
	a := &Agent{
		config: config, machine: startgate.New(startgate.Config{Incarnation: config.Identity.Incarnation}),
		sessions: map[startgate.EntryID]*session.Session{}, runner: runner.New(runner.Config{Token: config.Token}),
	}
	a.ready.Store(&readiness{})
	a.connector = session.Connector{Local: config.Identity, Key: config.Key, Handler: a}
	a.directory.dialers = map[string]*dialer{}
	a.loop = loop.New(eventRingLimit, a.handle, a.wake)
	a.pool = newCallerPool(config.Platform, func(e startgate.CallEnded) { a.loop.Post(e) }, a.platformFailed)
	a.feed = &configfeed.Client{
		Connector: session.Connector{Local: config.Identity, Key: config.Key},
		Members:   config.Members, Subscriber: a, Logger: config.Logger,
	}
	if config.Registry != nil {
		config.Registry.MustRegister(&collector{agent: a})
	}
	return a
}

// Run implements daemon.Role.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	a.directory.open(ctx, group)
	group.Go(func() error { return a.loop.Run(ctx) })
	group.Go(func() error { return a.feed.Run(ctx) })
	group.Go(func() error { return a.supervise(ctx) })
	if a.config.Upstream != "" {
		group.Go(func() error { return a.probe(ctx) })
	}
	defer a.pool.close()
	return group.Wait()
}

// Ready implements daemon.Role.
func (a *Agent) Ready() error {
	r := a.ready.Load()
	switch {
	case a.draining.Load():
		return failure.New(failure.Unavailable, "use another agent", "the agent is shutting down")
	case !r.announced:
		return failure.New(failure.Unavailable, "start the upstream, or set upstream in the section [agent]", "no upstream is announced")
	case clock.SinceBoot() >= r.leaseEnd:
		return failure.New(failure.Unavailable, "check that a majority of the control members runs", "the agent has no lease")
	}
	return nil
}

// ConfigurationChanged implements configfeed.Subscriber.
func (a *Agent) ConfigurationChanged(state *catalog.State) {
	a.loop.Post(state)
	a.dialEntries(state.Entries)
}

// LeaseExtended implements configfeed.Subscriber.
func (a *Agent) LeaseExtended(deadline time.Duration) { a.loop.Post(leaseExtended(deadline)) }

// The events of the loop, besides those of the start gate and *catalog.State.
type (
	leaseExtended time.Duration
	sessionOpened struct{ session *session.Session }
	sessionClosed struct {
		session *session.Session
		err     error
	}
	sessionMessages struct {
		session  *session.Session
		messages []wire.Message
	}
	// inspection runs on the loop's thread.
	inspection func()
)

// SessionOpened implements session.Handler.
func (a *Agent) SessionOpened(s *session.Session) {
	a.directory.opened(s)
	a.loop.Post(sessionOpened{s})
}

// SessionClosed implements session.Handler.
func (a *Agent) SessionClosed(s *session.Session, err error) { a.loop.Post(sessionClosed{s, err}) }

// MessagesReceived implements session.Handler.
func (a *Agent) MessagesReceived(s *session.Session, messages []wire.Message) {
	a.loop.Post(sessionMessages{s, messages})
}

func entryOf(s *session.Session) startgate.EntryID {
	return startgate.EntryID{ID: s.Peer().ID, Incarnation: s.Peer().Incarnation}
}

func (a *Agent) handle(event any) {
	switch e := event.(type) {
	case sessionOpened:
		logging.Log(a.config.Logger, logging.SessionOpened, zap.String("entry", e.session.Peer().ID), zap.String("address", e.session.DialedAddress()))
		a.sessions[entryOf(e.session)] = e.session
		a.step(startgate.Connected{Entry: entryOf(e.session)})
		a.stepRuns(runner.Connected{Entry: runner.EntryID(entryOf(e.session))})
	case sessionClosed:
		logging.Log(a.config.Logger, logging.SessionClosed, zap.String("entry", e.session.Peer().ID), zap.Error(e.err))
		if a.sessions[entryOf(e.session)] == e.session {
			delete(a.sessions, entryOf(e.session))
			a.step(startgate.Disconnected{Entry: entryOf(e.session)})
			a.stepRuns(runner.Disconnected{Entry: runner.EntryID(entryOf(e.session))})
		}
	case sessionMessages:
		if a.sessions[entryOf(e.session)] == e.session {
			for _, message := range e.messages {
				a.received(entryOf(e.session), message)
			}
		}
	case *catalog.State:
		a.zoneOut = e.ZoneOut(a.config.Identity.AvailabilityZone)
		a.step(startgate.LeaseChanged{Deadline: a.leaseEnd, ZoneOut: a.zoneOut})
		a.stepRuns(runner.ZoneChanged{Out: a.zoneOut})
	case leaseExtended:
		a.leaseEnd = time.Duration(e)
		a.step(startgate.LeaseChanged{Deadline: a.leaseEnd, ZoneOut: a.zoneOut})
	case inspection:
		e()
	case startgate.Event:
		a.step(e)
	case runner.Event:
		a.stepRuns(e)
	}
}

// received hands a message of an entry to the machine that it is about.
func (a *Agent) received(from startgate.EntryID, message wire.Message) {
	switch message.(type) {
	case *wire.RunOrder, *wire.RunCancel, *wire.OwnerGrant:
		a.stepRuns(runner.Received{Entry: runner.EntryID(from), Message: message})
	default:
		a.step(startgate.Received{Entry: from, Message: message})
	}
}

func (a *Agent) step(event startgate.Event) {
	for _, action := range a.machine.Step(clock.SinceBoot(), event) {
		switch action := action.(type) {
		case startgate.Send:
			if s := a.sessions[action.Entry]; s != nil {
				s.Send(action.Message)
			}
		case startgate.Call:
			a.pool.start(action)
		case startgate.StopCall:
			go a.pool.stop(action.ID) // the platform may take its time
		}
	}
}

// wake is called after each batch of events and at the times that it returns.
func (a *Agent) wake() time.Duration {
	next, due := a.machine.NextWake()
	if due && next <= clock.SinceBoot() {
		a.step(startgate.Tick{})
		next, due = a.machine.NextWake()
	}
	if wake, ok := a.wakeRuns(); ok && (!due || wake < next) {
		next, due = wake, true
	}
	a.observe()
	if !due {
		return -1
	}
	return max(0, next-clock.SinceBoot())
}

// wakeRuns does what is due for runs and returns the time of the next tick.
func (a *Agent) wakeRuns() (time.Duration, bool) {
	next, due := a.runner.NextWake()
	if due && next <= clock.SinceBoot() {
		a.stepRuns(runner.Tick{})
		next, due = a.runner.NextWake()
	}
	a.workerOpen.Store(a.runner.Open(clock.SinceBoot()))
	return next, due
}

// observe publishes what other threads need to know of the machine.
func (a *Agent) observe() {
	g, stats := a.machine.Gauges(), a.machine.Stats()
	if now := (readiness{g.Slots > 0, a.leaseEnd}); now != *a.ready.Load() {
		if before := a.ready.Load(); before.announced && !now.announced && !a.draining.Load() {
			logging.Log(a.config.Logger, logging.UpstreamLost)
		}
		a.ready.Store(&now)
	}
	if stats.ResultsDropped > a.dropped {
		logging.Log(a.config.Logger, logging.ResultsDropped, zap.Uint64("results", stats.ResultsDropped-a.dropped))
		a.dropped = stats.ResultsDropped
	}
	if a.drained != nil && g.Running+g.Waiting+g.Unacked == 0 && a.runner.Idle() {
		close(a.drained)
		a.drained = nil
	}
}

// inspect runs a function on the loop's thread and waits for it. It reports false if the loop does
// not run.
func (a *Agent) inspect(look func()) bool {
	done := make(chan struct{})
	if !a.loop.TryPost(inspection(func() { look(); close(done) })) {
		return false
	}
	timer := time.NewTimer(inspectTimeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
