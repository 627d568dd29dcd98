// Package agent implements the I/O of the agent role: it receives the announcements of the upstream
// on its host, calls it, keeps a session with every entry, and carries out the actions of the start
// gate (package startgate), which admits starts to the upstream, and of the runner (package runner),
// which controls the runs of restartable jobs on the worker.
//
// An offer is an idle slot that the agent holds for one entry. A probe is a reservation request of an
// entry that waits for an offer. A recall asks an entry to return unused offers. A direct start is a
// start without an offer.
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
	"pollenpaddle/internal/connection/subset"
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

// eventQueueLimit is the greatest number of queued events.
const eventQueueLimit = 16384

// Config describes one agent.
type Config struct {
	Identity session.Identity
	Key      []byte
	Seeds    []string // seeds at the start (host:port); see configfeed.Client.Seeds
	// EntrySessions is the number of entries with which the agent keeps sessions; zero selects subset.DefaultSize.
	EntrySessions int
	// Upstream is the address (host:port) of a static upstream. The agent announces it with
	// StaticAnnouncement while it accepts connections. It is empty if the upstream announces itself.
	Upstream           string
	StaticAnnouncement wire.Announce
	Platform           workerhost.Platform   // leases resources for calls to the upstream; nil if there is no worker platform
	Worker             Worker                // executes runs of restartable jobs, for which nothing is leased from Platform; nil if there is no worker
	Token              uint64                // first fencing token for calls to Worker
	Logger             *zap.Logger           // nil logs nothing
	Registry           prometheus.Registerer // nil registers no metrics
	// Authorize checks the Authorization header of an announcement from another host. If it is nil,
	// such announcements are rejected.
	Authorize func(authorization string) error
}

// Agent is the agent role of a process.
type Agent struct {
	config       Config
	connector    session.Connector
	feed         *configfeed.Client
	loop         *loop.Loop[any]
	pool         *clientPool
	announcement announcement
	dialers      dialerSet

	// The fields below are accessed only on the event loop's goroutine.
	startGate   *startgate.Machine
	runner      *runner.Machine
	suspensions clock.Suspensions // of the host
	// workerAnnounced is the newest announcement of the worker, for logging.
	workerAnnounced       runner.WorkerAnnounced
	callsUnanswered       *runner.Stats // when calls to the worker began to go unanswered; nil while all are answered
	sessions              map[startgate.EntryID]*session.Session
	retiring              map[*session.Session]struct{} // sessions that are to be closed once idle
	zoneOut               bool                          // the agent's availability zone is out of service
	configurationLeaseEnd time.Duration                 // boot-time clock
	dropped               uint64                        // number of dropped results at the last log line
	drained               chan struct{}                 // closed when a drain is complete; nil unless draining

	workerOpen atomic.Bool // the worker accepts runs of restartable jobs; set but not read
	ready      atomic.Pointer[readiness]
	draining   atomic.Bool
}

// readiness is the state that Ready reads; the event loop publishes it.
type readiness struct {
	upstreamAnnounced     bool
	configurationLeaseEnd time.Duration // boot-time clock
}

// New returns an agent.
func New(config Config) *Agent {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.EntrySessions <= 0 {
		config.EntrySessions = subset.DefaultSize
	}
	config.StaticAnnouncement = withHostCapacity(config.StaticAnnouncement)
	a := &Agent{
		config: config, startGate: startgate.New(startgate.Config{Incarnation: config.Identity.Incarnation}),
		sessions: map[startgate.EntryID]*session.Session{}, retiring: map[*session.Session]struct{}{}, runner: runner.New(runner.Config{Token: config.Token}),
	}
	a.ready.Store(&readiness{})
	a.connector = session.Connector{Local: config.Identity, Key: config.Key, Handler: a, OnFault: logging.LogFaults(config.Logger)}
	a.dialers.byAddress = map[string]*dialer{}
	a.loop = loop.New(eventQueueLimit, a.handle, a.wake)
	a.pool = newClientPool(config.Platform, func(e startgate.CallEnded) { a.loop.Post(e) }, a.platformFailed, logging.LogFaults(config.Logger))
	a.feed = &configfeed.Client{
		Connector: session.Connector{Local: config.Identity, Key: config.Key, OnFault: logging.LogFaults(config.Logger)},
		Seeds:     config.Seeds, Subscriber: a, Logger: config.Logger,
	}
	if config.Registry != nil {
		config.Registry.MustRegister(&collector{agent: a})
	}
	return a
}

// Run implements daemon.Role.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	a.dialers.start(ctx, group)
	group.Go(func() error { return a.loop.Run(ctx) })
	group.Go(func() error { return a.feed.Run(ctx) })
	group.Go(func() error { return a.enforceLimits(ctx) })
	if a.config.Upstream != "" {
		group.Go(func() error { return a.announceStaticUpstream(ctx) })
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
	case !r.upstreamAnnounced:
		return failure.New(failure.Unavailable, "start the upstream, or set upstream in the section [agent]", "no upstream is announced")
	case clock.SinceBoot() >= r.configurationLeaseEnd:
		return failure.New(failure.Unavailable, "make sure that a majority of the control members is running and connected", "the agent has no configuration lease")
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

// The events of the loop, besides *catalog.State and the events of the start gate and the runner.
type (
	leaseExtended time.Duration
	sessionOpened struct{ session *session.Session }
	sessionClosed struct {
		session *session.Session
		err     error
	}
	// sessionSuperseded reports that the agent keeps sessions with other entries instead.
	sessionSuperseded struct{ session *session.Session }
	sessionMessages   struct {
		session  *session.Session
		messages []wire.Message
	}
	// loopCall is a function to be called on the event loop's goroutine.
	loopCall func()
)

// SessionOpened implements session.Handler.
func (a *Agent) SessionOpened(s *session.Session) {
	a.dialers.sessionOpened(s)
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
		e.session.Send(&wire.Pong{Features: wire.FeatureSpeeds | wire.FeatureRanks | wire.FeatureCancellations})
		a.stepStartGate(startgate.Connected{Entry: entryOf(e.session)})
		a.stepRunner(runner.Connected{Entry: runner.EntryID(entryOf(e.session))})
		if a.dialers.isSuperseded(e.session) {
			a.retireSession(e.session)
		}
	case sessionSuperseded:
		a.retireSession(e.session)
	case sessionClosed:
		delete(a.retiring, e.session)
		logging.Log(a.config.Logger, logging.SessionClosed, zap.String("entry", e.session.Peer().ID), zap.Error(e.err))
		if a.sessions[entryOf(e.session)] == e.session {
			delete(a.sessions, entryOf(e.session))
			a.stepStartGate(startgate.Disconnected{Entry: entryOf(e.session)})
			a.stepRunner(runner.Disconnected{Entry: runner.EntryID(entryOf(e.session))})
		}
	case sessionMessages:
		if a.sessions[entryOf(e.session)] == e.session {
			for _, message := range e.messages {
				a.handleMessage(entryOf(e.session), message)
			}
		}
	case *catalog.State:
		a.zoneOut = e.ZoneOut(a.config.Identity.AvailabilityZone)
		a.stepStartGate(startgate.LeaseChanged{Deadline: a.configurationLeaseEnd, ZoneOut: a.zoneOut})
		a.stepRunner(runner.ZoneChanged{Out: a.zoneOut})
	case leaseExtended:
		a.configurationLeaseEnd = time.Duration(e)
		a.stepStartGate(startgate.LeaseChanged{Deadline: a.configurationLeaseEnd, ZoneOut: a.zoneOut})
	case loopCall:
		e()
	case startgate.Event:
		a.stepStartGate(e)
	case runner.Event:
		a.stepRunner(e)
	}
}

// handleMessage passes a message from an entry to the state machine that handles its type.
func (a *Agent) handleMessage(from startgate.EntryID, message wire.Message) {
	switch message.(type) {
	case *wire.RunOrder, *wire.TimedOrder, *wire.RankedOrder, *wire.RunCancel, *wire.OwnerGrant, *wire.JobCancellation, *wire.CancellationRecords:
		a.stepRunner(runner.Received{Entry: runner.EntryID(from), Message: message})
	default:
		a.stepStartGate(startgate.Received{Entry: from, Message: message})
	}
}

// stepStartGate passes an event to the start gate and carries out the resulting actions.
func (a *Agent) stepStartGate(event startgate.Event) {
	for _, action := range a.startGate.Step(clock.SinceBoot(), event) {
		switch action := action.(type) {
		case startgate.Send:
			if s := a.sessions[action.Entry]; s != nil {
				s.Send(action.Message)
			}
		case startgate.Call:
			a.pool.start(action)
		case startgate.StopCall:
			go a.pool.stop(action.ID) // the call to the platform may block
		}
	}
}

// wake is called after each batch of events and at the times that it requests. It returns the wait
// until the next call, negative if none is needed.
func (a *Agent) wake() time.Duration {
	next, due := a.startGate.NextWake()
	if due && next <= clock.SinceBoot() {
		a.stepStartGate(startgate.Tick{})
		next, due = a.startGate.NextWake()
	}
	if wake, ok := a.wakeRunner(); ok && (!due || wake < next) {
		next, due = wake, true
	}
	a.closeRetired()
	a.publishState()
	if !due {
		return -1
	}
	return max(0, next-clock.SinceBoot())
}

// wakeRunner sends the runner a tick if one is due. It returns the time of the next tick; false if
// there is none.
func (a *Agent) wakeRunner() (time.Duration, bool) {
	next, due := a.runner.NextWake()
	if due && next <= clock.SinceBoot() {
		a.stepRunner(runner.Tick{})
		next, due = a.runner.NextWake()
	}
	a.workerOpen.Store(a.runner.Open(clock.SinceBoot()))
	a.logUnanswered(a.runner.CallsUnanswered(clock.SinceBoot()))
	return next, due
}

// publishState updates the state that other goroutines read, logs what has changed, and reports the
// end of a drain.
func (a *Agent) publishState() {
	g, stats := a.startGate.Gauges(), a.startGate.Stats()
	if next := (readiness{g.Slots > 0, a.configurationLeaseEnd}); next != *a.ready.Load() {
		if previous := a.ready.Load(); previous.upstreamAnnounced && !next.upstreamAnnounced && !a.draining.Load() {
			logging.Log(a.config.Logger, logging.UpstreamNotAnnounced)
		}
		a.ready.Store(&next)
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

// inspect calls read on the event loop's goroutine and waits until it has returned. It returns false
// if the loop did not call it in time, for example because it is not running.
func (a *Agent) inspect(read func()) bool {
	done := make(chan struct{})
	if !a.loop.TryPost(loopCall(func() { read(); close(done) })) {
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
