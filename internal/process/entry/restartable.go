package entry

import (
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/request/scheduler"
	"pollenpaddle/internal/version/catalog"
)

const (
	// verdictRetention is how long the verdict on a restartable job is kept for QueryRestartableJob. The
	// verdict Completed, or Failed on a job that was given up for crashes of workers, is also the response to a
	// duplicate submission while it is kept, which can arrive some seconds after the first response.
	verdictRetention = 10 * time.Second
	// sweepInterval is the time between two removals of expired verdicts.
	sweepInterval = time.Second
)

// Events of the loop for restartable jobs.
type (
	restartableSubmitted struct {
		submission *scheduler.Submission
		caller     chan<- scheduler.Decided
	}
	restartableAbandoned struct {
		job    string
		caller chan<- scheduler.Decided // of the caller that no longer waits
	}
	restartableQueried struct {
		job, queue string
		states     chan<- RestartableJobState
	}
)

// RestartableJobState is what an entry knows about a restartable job and its queue.
type RestartableJobState struct {
	Owned   bool // the entry owns the job, and it has no verdict yet
	Verdict scheduler.Verdict
	Waiting int // jobs of the queue for which no run has been ordered yet
}

// keptVerdict is a verdict that is kept for verdictRetention.
type keptVerdict struct {
	decided scheduler.Decided
	expiry  time.Duration
}

// final reports whether a duplicate submission of the job gets this verdict without a new run.
func (k *keptVerdict) final() bool {
	return k.decided.Verdict == scheduler.Completed || k.decided.Verdict == scheduler.Failed && k.decided.Summary.GivenUp()
}

// restartableJobs is the entry's state for restartable jobs. It is accessed by the event loop only.
type restartableJobs struct {
	scheduler       *scheduler.Machine
	callers         map[string][]chan<- scheduler.Decided // callers that wait for a verdict, by job
	verdicts        map[string]keptVerdict
	sweepAt         time.Duration
	schedulerEvents []scheduler.Event
	scheduling      bool // stepScheduler is executing actions
	loggedReady     bool // readiness that was last logged
	capacities      *wire.Capacities
	capacitiesSent  map[*session.Session]*wire.Capacities // the report that each peer has last got
	unresolved      *wire.UnresolvedJobs
	unresolvedSent  map[*session.Session]*wire.UnresolvedJobs // the report that each peer has last got
	cancellations   cancellations
	checks          jobChecks
}

func newRestartableJobs(identity session.Identity, overloadOrder string) restartableJobs {
	return restartableJobs{
		scheduler: scheduler.New(scheduler.Config{Seed: identity.Incarnation, AvailabilityZone: identity.AvailabilityZone, OverloadOrder: overloadOrder}),
		callers:   map[string][]chan<- scheduler.Decided{}, verdicts: map[string]keptVerdict{},
		capacities: &wire.Capacities{}, capacitiesSent: map[*session.Session]*wire.Capacities{},
		unresolvedSent: map[*session.Session]*wire.UnresolvedJobs{}, cancellations: newCancellations(identity.ID),
		checks: newJobChecks(identity.ID),
	}
}

// RunRestartableJob submits a restartable job to the scheduler. The verdict is sent to caller, which must have a
// capacity of at least one. If the job was submitted before and has no verdict yet, its verdict is sent
// to this caller too.
func (e *Entry) RunRestartableJob(s *scheduler.Submission, caller chan<- scheduler.Decided) error {
	if !e.loop.TryPost(restartableSubmitted{s, caller}) {
		return errBusy()
	}
	return nil
}

// AbandonRestartableJob reports that the caller with the given channel no longer waits. The job is
// cancelled if no other caller waits for it.
func (e *Entry) AbandonRestartableJob(job string, caller chan<- scheduler.Decided) {
	e.loop.Post(restartableAbandoned{job: job, caller: caller})
}

// QueryRestartableJob returns the state of a restartable job and its queue.
func (e *Entry) QueryRestartableJob(job, queue string) (RestartableJobState, error) {
	states := make(chan RestartableJobState, 1)
	if !e.loop.TryPost(restartableQueried{job, queue, states}) {
		return RestartableJobState{}, errBusy()
	}
	select {
	case state := <-states:
		return state, nil
	case <-e.stopped:
		return RestartableJobState{}, errStopping()
	}
}

// Configuration returns the newest configuration, or nil if there is none yet.
func (e *Entry) Configuration() *catalog.State { return e.feed.State() }

// AwaitRouting waits at most limit for a configuration that includes the routing (catalog.Routing, the
// configuration of restartable jobs) and returns the newest one, or nil if none arrives in time. A
// process that has just started usually receives one within a few hundred milliseconds.
func (e *Entry) AwaitRouting(limit time.Duration) *catalog.State {
	if state := e.feed.State(); state != nil && state.Routing != nil {
		return state
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-e.routingReceived:
		return e.feed.State()
	case <-timer.C:
	case <-e.stopped:
	}
	return nil
}

// SetSeeds replaces the seeds, the addresses that come from the settings.
func (e *Entry) SetSeeds(addresses []string) { e.feed.SetSeeds(addresses) }

// ReadyForRestartableJobs returns nil if the entry serves restartable jobs. Unlike Ready it requires no lease:
// such jobs continue under the newest known configuration while no majority of the control members runs.
func (e *Entry) ReadyForRestartableJobs() error {
	state := e.feed.State()
	switch {
	case e.status.draining.Load():
		return errStopping()
	case state == nil || state.Routing == nil:
		return failure.New(failure.Unavailable, "check that the control members run and that operators have configured the routing of restartable jobs", "the entry has no configuration that includes the routing of restartable jobs yet").WithRetryAfter(time.Second)
	case e.status.availableAgents.Load() == 0:
		return failure.New(failure.Unavailable, "check that agents run", "no agent accepts runs of restartable jobs").WithRetryAfter(time.Second)
	}
	return nil
}

func (e *Entry) submitRestartable(event restartableSubmitted) {
	id := event.submission.ID
	if known, found := e.restartable.verdicts[id]; found && known.final() {
		event.caller <- known.decided
		return
	}
	if e.admitSubmission(event) && !e.awaitCheck(event) {
		e.startRestartable(event)
	}
}

func (e *Entry) startRestartable(event restartableSubmitted) {
	id := event.submission.ID
	e.restartable.callers[id] = append(e.restartable.callers[id], event.caller)
	e.stepScheduler(scheduler.Submitted{Submission: event.submission})
}

func (e *Entry) abandonRestartable(event restartableAbandoned) {
	if e.forgetHeld(event.caller) || e.forgetChecked(event) {
		return
	}
	left := slices.DeleteFunc(e.restartable.callers[event.job], func(caller chan<- scheduler.Decided) bool { return caller == event.caller })
	if len(left) > 0 {
		e.restartable.callers[event.job] = left
		return
	}
	delete(e.restartable.callers, event.job)
	e.stepScheduler(scheduler.Cancelled{Job: event.job})
}

func (e *Entry) reportRestartableState(event restartableQueried) {
	state := RestartableJobState{Owned: e.restartable.scheduler.Owns(event.job), Waiting: e.restartable.scheduler.Waiting(event.queue)}
	if known, found := e.restartable.verdicts[event.job]; found {
		state.Verdict = known.decided.Verdict
	}
	event.states <- state
}

// stepScheduler passes an event to the scheduler and executes the resulting actions. An event that is
// raised during this execution is queued.
func (e *Entry) stepScheduler(event scheduler.Event) {
	j := &e.restartable
	j.schedulerEvents = append(j.schedulerEvents, event)
	if j.scheduling {
		return
	}
	j.scheduling = true
	for i := 0; i < len(j.schedulerEvents); i++ {
		for _, action := range j.scheduler.Step(clock.SinceBoot(), j.schedulerEvents[i]) {
			e.executeSchedulerAction(action)
		}
	}
	clear(j.schedulerEvents)
	j.schedulerEvents, j.scheduling = j.schedulerEvents[:0], false
}

func (e *Entry) executeSchedulerAction(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Send:
		if s := e.agents[dispatch.AgentID(a.Agent)]; s != nil {
			s.Send(supportedOrder(s, a.Message))
		}
	case scheduler.Decided:
		e.restartableDecided(a)
	case scheduler.RunEnded:
		e.logUnsuccessfulRun(a)
	case scheduler.Ordered:
		e.logPlacements(a)
	case scheduler.ConfinementChanged:
		e.logConfinement(a)
	case scheduler.ShareCrashes:
		e.shareCrashes(a.Report)
	case scheduler.ShareUnresolved:
		e.restartable.unresolved = a.Report
		logging.Log(e.config.Logger, logging.RunsUnresolved, zap.Int("jobs", len(a.Report.Jobs)))
		e.shareUnresolved()
	case scheduler.EligibilityChanged:
		logging.Log(e.config.Logger, logging.AgentEligibilityChanged, zap.String("agent", a.Agent.ID), zap.String("reason", a.Eligibility.String()))
	}
}

// supportedOrder returns the message, or the order without its rank or its predicted run time for an agent that does not
// understand them.
func supportedOrder(s *session.Session, message wire.Message) wire.Message {
	if ranked, ok := message.(*wire.RankedOrder); ok && !s.Supports(wire.FeatureRanks) {
		message = &ranked.Order
	}
	if timed, ok := message.(*wire.TimedOrder); ok && !s.Supports(wire.FeatureSpeeds) {
		return &timed.Order
	}
	return message
}

func (e *Entry) restartableDecided(d scheduler.Decided) {
	e.logVerdict(d)
	if d.Verdict == scheduler.Failed && d.Summary.GivenUp() {
		logging.Log(e.config.Logger, logging.JobGivenUp, zap.String("job", d.Job), zap.String("queue", d.Summary.Queue), zap.Int("worker_crashes", d.Summary.Crashes))
	}
	e.metrics.restartableJobs.WithLabelValues(d.Verdict.String()).Inc()
	if d.Verdict == scheduler.Rejected {
		e.refused(d)
	}
	if d.Verdict == scheduler.Completed {
		e.metrics.restartableJobTime.Observe(d.Summary.Age.Seconds())
	}
	e.restartable.verdicts[d.Job] = keptVerdict{decided: d, expiry: clock.SinceBoot() + verdictRetention}
	for _, caller := range e.restartable.callers[d.Job] {
		caller <- d
	}
	delete(e.restartable.callers, d.Job)
}

// refused counts and logs by which rule a job was refused.
func (e *Entry) refused(d scheduler.Decided) {
	refusal := d.Summary.Refusal
	e.metrics.refusals.WithLabelValues(refusal.Rule).Inc()
	logging.Log(e.config.Logger, logging.JobRefused, zap.String("job", d.Job), zap.String("queue", d.Summary.Queue),
		zap.String("rule", refusal.Rule), zap.Duration("predicted_wait", refusal.Wait), zap.Float64("cost_rate", refusal.CostRate),
		zap.Duration("retry_after", d.Error.RetryAfter))
}

// logVerdict logs the verdict on a job with the values that explain it.
func (e *Entry) logVerdict(d scheduler.Decided) {
	event := logging.JobCompleted
	fields := []zap.Field{
		zap.String("job", d.Job), zap.String("verdict", d.Verdict.String()), zap.String("queue", d.Summary.Queue),
		zap.Int("tasks", d.Summary.Tasks), zap.Duration("age", d.Summary.Age), zap.Duration("objective", d.Summary.Objective),
		zap.Duration("first_run", d.Summary.FirstRun), zap.Int("orders", d.Summary.Orders), zap.Int("failed_runs", d.Summary.Failures),
		zap.Int("lost_runs", d.Summary.Lost), zap.Int("worker_crashes", d.Summary.Crashes), zap.Int("refused_runs", d.Summary.Refusals), zap.Int("waiting_tasks", d.Summary.Waiting),
		zap.Uint64("routing_version", e.routingVersion()),
	}
	if d.Error != nil {
		fields = append(fields, zap.String("reason", d.Error.Message), zap.Duration("retry_after", d.Error.RetryAfter))
	}
	if d.Verdict != scheduler.Completed {
		event = logging.JobNotCompleted
	}
	logging.Log(e.config.Logger, event, fields...)
}

// placement is a scheduler.Placement that can be logged.
type placement scheduler.Placement

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p placement) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("agent", p.Agent.ID)
	encoder.AddInt("runs", p.Runs)
	encoder.AddDuration("predicted", p.Predicted)
	encoder.AddDuration("state_age", p.StateAge)
	return nil
}

// logConfinement logs that a queue was confined or released.
func (e *Entry) logConfinement(c scheduler.ConfinementChanged) {
	if !c.Confined {
		logging.Log(e.config.Logger, logging.QueueReleased, zap.String("queue", c.Queue))
		return
	}
	logging.Log(e.config.Logger, logging.QueueConfined, zap.String("queue", c.Queue), zap.Int("worker_crashes", c.Crashes), zap.Strings("agents", c.Agents))
}

// logPlacements logs one line for all runs of a job that were ordered together.
func (e *Entry) logPlacements(o scheduler.Ordered) {
	placements := make([]placement, len(o.Placements))
	for i, p := range o.Placements {
		placements[i] = placement(p)
	}
	logging.Log(e.config.Logger, logging.RunsOrdered, zap.String("job", o.Job), zap.Objects("placements", placements))
}

// logReadiness logs each change of the result of ReadyForRestartableJobs.
func (e *Entry) logReadiness() {
	err := e.ReadyForRestartableJobs()
	if ready := err == nil; ready != e.restartable.loggedReady {
		e.restartable.loggedReady = ready
		logging.Log(e.config.Logger, logging.EntryReadinessChanged, zap.Bool("ready", ready), zap.NamedError("reason", err))
	}
}

// logUnsuccessfulRun logs a run unless it ended with success.
func (e *Entry) logUnsuccessfulRun(a scheduler.RunEnded) {
	if a.End.Outcome == run.Done {
		return
	}
	logging.Log(e.config.Logger, logging.RunUnsuccessful, zap.String("job", a.End.ID.Task.Job), zap.Stringer("run", a.End.ID),
		zap.String("outcome", a.End.Outcome.String()), zap.String("reason", a.End.Reason.String()), zap.String("agent", a.Agent.ID))
}

func (e *Entry) routingVersion() uint64 {
	if e.catalog == nil || e.catalog.Routing == nil {
		return 0
	}
	return e.catalog.Routing.Version
}

// wakeScheduler runs the due timers of the scheduler, removes expired verdicts, and updates the readiness.
func (e *Entry) wakeScheduler() {
	now := clock.SinceBoot()
	j := &e.restartable
	e.wakeCancellations(now)
	e.wakeJobChecks(now)
	if due, ok := j.scheduler.NextWake(); ok && due <= now {
		e.stepScheduler(scheduler.Tick{})
	}
	if now >= j.sweepAt {
		j.sweepAt = now + sweepInterval
		for id, v := range j.verdicts {
			if now >= v.expiry {
				delete(j.verdicts, id)
			}
		}
		j.cancellations.machine.Expire(now)
		e.shareCapacities()
		e.shareUnresolved()
	}
	e.status.availableAgents.Store(int64(j.scheduler.AvailableAgents(now)))
	e.logReadiness()
}

// shareCapacities sends the capacities that the scheduler knows from its agents to each entry that has not got
// them yet.
func (e *Entry) shareCapacities() {
	j := &e.restartable
	if current := j.scheduler.Capacities(); !reflect.DeepEqual(current, j.capacities) {
		j.capacities = current
	}
	for _, s := range e.peers {
		if j.capacitiesSent[s] != j.capacities && s.Supports(wire.FeatureCapacities) {
			j.capacitiesSent[s] = j.capacities
			s.Send(j.capacities)
		}
	}
}

// shareUnresolved sends the last report about unresolved jobs to each entry that has not got it yet.
func (e *Entry) shareUnresolved() {
	j := &e.restartable
	for _, s := range e.peers {
		if j.unresolvedSent[s] != j.unresolved && s.Supports(wire.FeatureUnresolved) {
			j.unresolvedSent[s] = j.unresolved
			s.Send(j.unresolved)
		}
	}
}

// shareCrashes sends a report about a worker crash to the other entries.
func (e *Entry) shareCrashes(report *wire.TaskCrashes) {
	for _, s := range e.peers {
		if s.Supports(wire.FeatureCrashes) {
			s.Send(report)
		}
	}
}

// receiveRunMessage passes a message about runs to the scheduler. It returns false for other messages.
func (e *Entry) receiveRunMessage(from scheduler.AgentID, message wire.Message) bool {
	if ends, ok := message.(*wire.RunEnds); ok {
		e.learnCancellations(ends.Ends)
	}
	switch message.(type) {
	case *wire.OwnerPoll, *wire.RunInventory, *wire.WorkerState, *wire.WorkerSpeed, *wire.WorkerCrash, *wire.RunEnds:
		e.stepScheduler(scheduler.AgentMessage{Agent: from, Message: message})
		return true
	}
	return false
}
