// Package entry implements the entry role: it serves callers over HTTP, claims the ids of submitted
// jobs, acts as a registrar for the claims of other entries, and executes the actions of the dispatch
// state machine.
//
// A few entries are the registrars of each job id. An entry owns a job, and alone starts its tasks,
// once a majority of these registrars has granted its claim of the id (package claim).
//
// Restartable jobs arrive through an adapter. Their tasks may run several times, and they may be lost
// with their entry. They are not claimed; package scheduler runs them.
//
// One event loop owns all state. HTTP handlers and sessions post events to it. A handler waits on a
// channel of capacity one, to which the loop sends exactly once, so that a slow caller never blocks
// the loop.
package entry

import (
	"context"
	"math"
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
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/admin"
	"pollenpaddle/internal/process/auth"
	"pollenpaddle/internal/process/configfeed"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/process/loop"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/request/tracker"
	"pollenpaddle/internal/version/catalog"
)

const (
	eventQueueLimit = 65536
	// DefaultMaxWait is the default limit on how long a caller's request waits for a job to end.
	DefaultMaxWait = 5 * time.Minute
	// snapshotTimeout bounds how long a dump or a scrape of metrics waits for the event loop.
	snapshotTimeout = time.Second
)

// Config configures an entry. Zero values select the defaults.
type Config struct {
	Identity session.Identity
	Key      []byte
	Seeds    []string // addresses of the control members; with automatic membership, of the seeds

	Policy          string
	OverloadOrder   string // order of waiting restartable jobs, see scheduler.Config
	Limits          job.Limits
	MaxWait         time.Duration
	ResultRetention time.Duration
	MaxResultBytes  int64 // results that are kept; 0: tracker.DefaultMaxFinishedBytes
	ClaimRetention  time.Duration
	ClaimTimeout    time.Duration
	Tokens          *auth.Tokens // nil: callers need no token
	Logger          *zap.Logger
	Registerer      prometheus.Registerer
	// ClaimMinimumFolder is the data folder if this process is the only control member, and otherwise
	// empty. The claim minimum stored in it (see minimumFile) is used after a start instead of the
	// wait of claim.GrantDelay, as long as no other entry is listed.
	ClaimMinimumFolder string
	// Now reads the clocks; nil selects the system clocks.
	Now func() claim.Instant
}

// Entry is the entry role of a process.
type Entry struct {
	config    Config
	self      wire.Claimant
	connector session.Connector
	feed      *configfeed.Client
	loop      *loop.Loop[any]
	metrics   *metrics
	status    status

	sessionCtx      context.Context
	stopSessions    context.CancelFunc
	sessionsMu      sync.Mutex
	sessions        map[*session.Session]struct{} // all open sessions; closed when Run ends
	stopped         chan struct{}                 // closed when the event loop has ended
	drained         chan struct{}                 // closed when a drain is complete
	routingReceived chan struct{}                 // closed when the first configuration that includes catalog.Routing arrives
	group           *errgroup.Group               // set by Run; the event loop starts dialers in it
	groupCtx        context.Context

	// The fields below are accessed by the event loop only.
	dispatcher     *dispatch.Machine
	dispatchEvents []dispatch.Event // not processed yet, in order
	dispatching    bool             // step is executing actions
	claimant       *claim.Claimant
	registrar      *claim.Registrar
	tracker        *tracker.Tracker
	catalog        *catalog.State
	// entryChanges is an upper bound on the number of changes to the list of entries.
	entryChanges   uint64
	agents         map[dispatch.AgentID]*session.Session
	peers          map[wire.Claimant]*session.Session
	dialers        map[string]dialer // by entry id
	waiters        map[tracker.WaiterID]*waiter
	lastWaiterID   tracker.WaiterID
	peerQueries    map[peerQueryID]tracker.WaiterID // waiting queries of other entries
	remote         remoteQueries
	ownerLookups   map[job.Key]*ownerLookup
	pendingCancels map[job.Key]bool          // jobs to cancel, here or at their owner, when their claim is decided
	retryAfter     map[job.Key]time.Duration // greatest RetryAfter of a job's finished tasks
	restartable    restartableJobs
}

// isolationThreshold is the time without a message from any other process from which this one counts as having been cut
// off. Every agent sends a poll each runner.PollInterval.
const isolationThreshold = time.Second

// LastIsolationEnd returns when this process was last cut off from all others until, on the boot-time clock; zero if it
// never was.
func (e *Entry) LastIsolationEnd() time.Duration { return e.status.contact.LastEnd(clock.SinceBoot()) }

// status is the part of the loop's state that other goroutines may read.
type status struct {
	configured      atomic.Bool
	leaseDeadline   atomic.Int64 // on the boot-time clock
	grantsAbove     atomic.Int64 // submission time in Unix ms above which claims are granted, or notListed
	draining        atomic.Bool
	activeRequests  atomic.Int64 // HTTP requests in progress
	availableAgents atomic.Int64 // agents that accept runs of restartable jobs
	contact         clock.Stalls // records the times without a message from any other process
}

// notListed is the value of status.grantsAbove while the configuration does not list this entry, and
// until the first configuration lease after it was listed. Each extension of the lease sets the value.
const notListed = math.MaxInt64

// New returns an entry.
func New(config Config) *Entry {
	config.Limits = config.Limits.WithDefaults()
	if config.MaxWait <= 0 {
		config.MaxWait = DefaultMaxWait
	}
	if config.Tokens == nil {
		config.Tokens = &auth.Tokens{}
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Now == nil {
		config.Now = func() claim.Instant { return claim.Instant{Boot: clock.SinceBoot(), Wall: clock.WallMillis()} }
	}
	e := &Entry{
		config: config, self: wire.Claimant{EntryID: config.Identity.ID, Incarnation: config.Identity.Incarnation},
		sessions: map[*session.Session]struct{}{}, stopped: make(chan struct{}), drained: make(chan struct{}), routingReceived: make(chan struct{}),
		dispatcher: dispatch.New(dispatch.Config{
			Entry: config.Identity.ID, Policy: config.Policy, Seed: config.Identity.Incarnation,
			AvailabilityZone: config.Identity.AvailabilityZone,
		}),
		claimant: claim.NewClaimant(claim.ClaimantConfig{Seed: config.Identity.Incarnation, Timeout: config.ClaimTimeout}),
		tracker: tracker.New(tracker.Config{
			ResultRetention: config.ResultRetention, ClaimRetention: config.ClaimRetention, MaxFinishedBytes: config.MaxResultBytes,
		}),
		agents: map[dispatch.AgentID]*session.Session{}, peers: map[wire.Claimant]*session.Session{},
		dialers: map[string]dialer{}, waiters: map[tracker.WaiterID]*waiter{}, peerQueries: map[peerQueryID]tracker.WaiterID{},
		remote: newRemoteQueries(), ownerLookups: map[job.Key]*ownerLookup{}, pendingCancels: map[job.Key]bool{},
		retryAfter: map[job.Key]time.Duration{}, restartable: newRestartableJobs(config.Identity, config.OverloadOrder),
	}
	e.status.contact.Threshold = isolationThreshold
	e.sessionCtx, e.stopSessions = context.WithCancel(context.Background())
	e.connector = session.Connector{Local: config.Identity, Key: config.Key, Handler: e, OnFault: logging.LogFaults(config.Logger)}
	e.loop = loop.New(eventQueueLimit, e.handle, e.wake)
	e.feed = &configfeed.Client{
		Connector: session.Connector{Local: config.Identity, Key: config.Key, OnFault: logging.LogFaults(config.Logger)}, Seeds: config.Seeds, Subscriber: e,
		Logger: config.Logger,
	}
	e.metrics = newMetrics(e)
	return e
}

// Routes implements daemon.Role.
func (e *Entry) Routes(r *router.Router) {
	r.GET(session.Path(wire.RoleEntry), func(ctx *fasthttp.RequestCtx) {
		if e.sessionCtx.Err() != nil {
			httpapi.WriteError(ctx, errStopping())
			return
		}
		_ = e.connector.Accept(e.sessionCtx, ctx)
	})
	r.POST("/v1/jobs", e.countRequests(e.postJob))
	r.GET("/v1/jobs/{id:*}", e.countRequests(e.getJob))
	r.DELETE("/v1/jobs/{id:*}", e.countRequests(e.deleteJob))
	r.POST("/v1/requests", e.countRequests(e.postRequest))
}

// countRequests wraps a handler and counts its requests in progress, for which a drain waits.
func (e *Entry) countRequests(serve func(ctx *fasthttp.RequestCtx) error) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		e.status.activeRequests.Add(1)
		defer func() {
			if e.status.activeRequests.Add(-1) == 0 && e.status.draining.Load() {
				e.loop.TryPost(lastRequestEnded{})
			}
		}()
		if err := serve(ctx); err != nil {
			httpapi.WriteError(ctx, err)
		}
	}
}

// Run implements daemon.Role.
func (e *Entry) Run(ctx context.Context) error {
	registrar, err := e.newRegistrar()
	if err != nil {
		return err
	}
	e.registrar = registrar
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoop()
	e.group, e.groupCtx = errgroup.WithContext(ctx)
	e.group.Go(func() error {
		defer close(e.stopped)
		return e.loop.Run(loopCtx)
	})
	e.group.Go(func() error { return e.feed.Run(e.groupCtx) })
	e.group.Go(func() error {
		<-e.groupCtx.Done()
		e.closeSessions()
		e.stopSessions()
		stopLoop()
		return nil
	})
	if err := e.group.Wait(); err != nil {
		return err
	}
	return e.storeMinimum()
}

// closeSessions closes all sessions. Each sends its queued messages before its close frame.
func (e *Entry) closeSessions() {
	e.sessionsMu.Lock()
	sessions := make([]*session.Session, 0, len(e.sessions))
	for s := range e.sessions {
		sessions = append(sessions, s)
	}
	e.sessionsMu.Unlock()
	var closing sync.WaitGroup
	for _, s := range sessions {
		closing.Go(s.Close)
	}
	closing.Wait()
}

// Ready implements daemon.Role.
func (e *Entry) Ready() error {
	switch {
	case e.status.draining.Load():
		return errStopping()
	case !e.status.configured.Load():
		return failure.New(failure.Unavailable, "check that the control members run", "the entry has no configuration yet")
	case int64(e.config.Now().Boot) >= e.status.leaseDeadline.Load():
		return failure.New(failure.Unavailable, "check that a majority of the control members runs", "the entry holds no configuration lease")
	}
	above := e.status.grantsAbove.Load()
	if above == notListed {
		return failure.New(failure.Unavailable, "retry later; if this lasts, check that no other process uses the same id",
			"the configuration does not list this entry yet")
	}
	if wait := above - e.config.Now().Wall; wait >= 0 {
		return failure.New(failure.Unavailable, "retry later", "the registrar of this entry grants no claims for another %d ms", wait+1).
			WithRetryAfter(time.Duration(wait+1) * time.Millisecond)
	}
	return nil
}

// Drain implements daemon.Role. It rejects new submissions and returns when every job has ended
// and the handler of every request has returned; the HTTP server then still sends the last responses.
// Results of finished jobs are not moved to another entry: if a job is resubmitted after the end of the
// process, it is reported as failed, with tasks that may have run.
func (e *Entry) Drain(ctx context.Context) error {
	e.status.draining.Store(true)
	logging.Log(e.config.Logger, logging.EntryDraining)
	e.loop.Post(drainStarted{})
	select {
	case <-e.drained:
		e.feed.AnnounceDrain()
		logging.Log(e.config.Logger, logging.EntryDrained)
		return nil
	case <-e.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func errStopping() *failure.Error {
	return failure.New(failure.Unavailable, "send the request to another entry",
		"the entry is shutting down and accepts no new work; a submission with this response was not run").WithRetryAfter(time.Second)
}

// ConfigurationChanged implements configfeed.Subscriber.
func (e *Entry) ConfigurationChanged(state *catalog.State) { e.loop.Post(configured{state}) }

// LeaseExtended implements configfeed.Subscriber.
func (e *Entry) LeaseExtended(deadline time.Duration) { e.loop.Post(leaseExtended{deadline}) }

// SessionOpened implements session.Handler.
func (e *Entry) SessionOpened(s *session.Session) {
	e.sessionsMu.Lock()
	e.sessions[s] = struct{}{}
	e.sessionsMu.Unlock()
	e.loop.Post(sessionOpened{s})
}

// SessionClosed implements session.Handler.
func (e *Entry) SessionClosed(s *session.Session, err error) {
	e.sessionsMu.Lock()
	delete(e.sessions, s)
	e.sessionsMu.Unlock()
	e.loop.Post(sessionClosed{s, err})
}

// MessagesReceived implements session.Handler.
func (e *Entry) MessagesReceived(s *session.Session, messages []wire.Message) {
	e.loop.Post(sessionMessages{s, messages})
}

// AdminBackend implements admin.BackendProvider: operators reach the control role through any entry.
func (e *Entry) AdminBackend() admin.Backend { return e.feed }
