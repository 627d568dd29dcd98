package entry

import (
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
	// verdictMemory is how long the verdict on a restartable job answers a copy of its submission.
	// Copies arrive some seconds after the answer.
	verdictMemory = 10 * time.Second
	// sweepInterval is the time between two removals of old verdicts.
	sweepInterval = time.Second
)

// The events of the loop for restartable jobs.
type (
	jobSubmitted struct {
		submission *scheduler.Submission
		reply      chan<- scheduler.Decided
	}
	jobAbandoned struct {
		job   string
		reply chan<- scheduler.Decided // of the caller that has left; nil to cancel for all
	}
	jobQuestion struct {
		job, queue string
		answer     chan<- JobState
	}
)

// JobState is what an entry knows about a restartable job and its queue.
type JobState struct {
	Owned   bool // the entry owns the job, and it has no verdict yet
	Verdict scheduler.Verdict
	Waiting int // jobs of the queue of which no task was ordered
}

// verdict is a remembered decision.
type verdict struct {
	decided scheduler.Decided
	until   time.Duration
}

// restartable is the entry's part for restartable jobs. Its fields belong to the event loop.
type restartable struct {
	scheduler *scheduler.Machine
	replies   map[string][]chan<- scheduler.Decided
	verdicts  map[string]verdict
	sweepAt   time.Duration
	events    []scheduler.Event
	stepping  bool
	ready     bool // as it was last logged
}

func newRestartable(identity session.Identity) restartable {
	return restartable{
		scheduler: scheduler.New(scheduler.Config{Seed: identity.Incarnation, AvailabilityZone: identity.AvailabilityZone}),
		replies:   map[string][]chan<- scheduler.Decided{}, verdicts: map[string]verdict{},
	}
}

// RunJob hands a restartable job to the scheduler. The channel, which needs room for one value, gets
// the verdict. A job that is under way already is joined.
func (e *Entry) RunJob(s *scheduler.Submission, reply chan<- scheduler.Decided) error {
	if !e.loop.TryPost(jobSubmitted{s, reply}) {
		return errBusy()
	}
	return nil
}

// AbandonJob reports that the caller with the given reply channel has left. A job that no other
// caller waits for is cancelled.
func (e *Entry) AbandonJob(job string, reply chan<- scheduler.Decided) {
	e.loop.Post(jobAbandoned{job: job, reply: reply})
}

// CancelJob cancels a restartable job here and at every other entry.
func (e *Entry) CancelJob(job string) { e.loop.Post(jobAbandoned{job: job}) }

// QueryJob returns what is known about a restartable job and its queue.
func (e *Entry) QueryJob(job, queue string) (JobState, error) {
	answer := make(chan JobState, 1)
	if !e.loop.TryPost(jobQuestion{job, queue, answer}) {
		return JobState{}, errBusy()
	}
	select {
	case state := <-answer:
		return state, nil
	case <-e.stopped:
		return JobState{}, errStopping()
	}
}

// Configuration returns the newest configuration, nil while there is none.
func (e *Entry) Configuration() *catalog.State { return e.feed.State() }

// AwaitRouting returns the newest configuration as soon as it has a routing, which a process that has
// just started usually gets within a few hundred milliseconds. It returns nil when the wait is over.
func (e *Entry) AwaitRouting(limit time.Duration) *catalog.State {
	if state := e.feed.State(); state != nil && state.Routing != nil {
		return state
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-e.routed:
		return e.feed.State()
	case <-timer.C:
	case <-e.stopped:
	}
	return nil
}

// SetControlMembers replaces the control members of the settings.
func (e *Entry) SetControlMembers(addresses []string) { e.feed.SetMembers(addresses) }

// ReadyForJobs returns nil when the entry serves restartable jobs. Unlike Ready it needs no lease:
// such jobs go on under the newest known configuration while control has no quorum.
func (e *Entry) ReadyForJobs() error {
	state := e.feed.State()
	switch {
	case e.status.draining.Load():
		return errStopping()
	case state == nil || state.Routing == nil:
		return failure.New(failure.Unavailable, "check that the control members run and have a routing configuration", "the entry has no routing configuration yet").WithRetryAfter(time.Second)
	case e.status.workers.Load() == 0:
		return failure.New(failure.Unavailable, "check that agents run", "no agent takes starts").WithRetryAfter(time.Second)
	}
	return nil
}

func (e *Entry) submitJob(event jobSubmitted) {
	id := event.submission.ID
	if known, found := e.jobs.verdicts[id]; found && known.decided.Verdict == scheduler.Completed {
		event.reply <- known.decided
		return
	}
	e.jobs.replies[id] = append(e.jobs.replies[id], event.reply)
	e.stepJobs(scheduler.Submitted{Submission: event.submission})
}

func (e *Entry) abandonJob(event jobAbandoned) {
	if event.reply == nil {
		for _, peer := range e.peers {
			peer.Send(&wire.JobCancel{Job: event.job})
		}
		e.stepJobs(scheduler.Cancelled{Job: event.job})
		return
	}
	left := slices.DeleteFunc(e.jobs.replies[event.job], func(r chan<- scheduler.Decided) bool { return r == event.reply })
	if len(left) > 0 {
		e.jobs.replies[event.job] = left
		return
	}
	delete(e.jobs.replies, event.job)
	e.stepJobs(scheduler.Cancelled{Job: event.job})
}

func (e *Entry) answerQuestion(event jobQuestion) {
	state := JobState{Owned: e.jobs.scheduler.Owns(event.job), Waiting: e.jobs.scheduler.Waiting(event.queue)}
	if known, found := e.jobs.verdicts[event.job]; found {
		state.Verdict = known.decided.Verdict
	}
	event.answer <- state
}

// stepJobs carries out what the scheduler decides about an event. An event that comes up meanwhile
// waits for its turn.
func (e *Entry) stepJobs(event scheduler.Event) {
	j := &e.jobs
	j.events = append(j.events, event)
	if j.stepping {
		return
	}
	j.stepping = true
	for i := 0; i < len(j.events); i++ {
		for _, action := range j.scheduler.Step(clock.SinceBoot(), j.events[i]) {
			e.carryOutJob(action)
		}
	}
	clear(j.events)
	j.events, j.stepping = j.events[:0], false
}

func (e *Entry) carryOutJob(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Send:
		if s := e.agents[dispatch.AgentID(a.Agent)]; s != nil {
			s.Send(a.Message)
		}
	case scheduler.Decided:
		e.jobDecided(a)
	case scheduler.RunEnded:
		e.logRun(a)
	case scheduler.Ordered:
		e.logPlacements(a)
	case scheduler.EligibilityChanged:
		logging.Log(e.config.Logger, logging.AgentEligibilityChanged, zap.String("agent", a.Agent.ID), zap.String("reason", a.Eligibility.String()))
	}
}

func (e *Entry) jobDecided(d scheduler.Decided) {
	e.logVerdict(d)
	e.metrics.jobs.WithLabelValues(d.Verdict.String()).Inc()
	if d.Verdict == scheduler.Completed {
		e.metrics.jobTime.Observe(d.Summary.Age.Seconds())
	}
	e.jobs.verdicts[d.Job] = verdict{decided: d, until: clock.SinceBoot() + verdictMemory}
	for _, reply := range e.jobs.replies[d.Job] {
		reply <- d
	}
	delete(e.jobs.replies, d.Job)
}

// logVerdict writes the line by which the verdict on a job is explained.
func (e *Entry) logVerdict(d scheduler.Decided) {
	event := logging.JobCompleted
	fields := []zap.Field{
		zap.String("job", d.Job), zap.String("verdict", d.Verdict.String()), zap.String("queue", d.Summary.Queue),
		zap.Int("tasks", d.Summary.Tasks), zap.Duration("age", d.Summary.Age), zap.Duration("objective", d.Summary.Objective),
		zap.Duration("first_run", d.Summary.FirstRun), zap.Int("orders", d.Summary.Orders), zap.Int("failed_runs", d.Summary.Failures),
		zap.Int("lost_runs", d.Summary.Lost), zap.Int("refused_runs", d.Summary.Refusals), zap.Int("waiting_tasks", d.Summary.Waiting),
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

// placement is the log form of a scheduler.Placement.
type placement scheduler.Placement

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p placement) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("agent", p.Agent.ID)
	encoder.AddInt("runs", p.Runs)
	encoder.AddDuration("predicted", p.Predicted)
	encoder.AddDuration("state_age", p.StateAge)
	return nil
}

// logPlacements writes one line for the runs of a job that were ordered together.
func (e *Entry) logPlacements(o scheduler.Ordered) {
	placements := make([]placement, len(o.Placements))
	for i, p := range o.Placements {
		placements[i] = placement(p)
	}
	logging.Log(e.config.Logger, logging.RunsOrdered, zap.String("job", o.Job), zap.Objects("placements", placements))
}

// logReadiness writes a line when the entry begins or ceases to report itself as ready.
func (e *Entry) logReadiness() {
	err := e.ReadyForJobs()
	if ready := err == nil; ready != e.jobs.ready {
		e.jobs.ready = ready
		logging.Log(e.config.Logger, logging.EntryReadinessChanged, zap.Bool("ready", ready), zap.NamedError("reason", err))
	}
}

// logRun writes a line for a run that did not end well.
func (e *Entry) logRun(a scheduler.RunEnded) {
	if a.End.Outcome == run.Done {
		return
	}
	logging.Log(e.config.Logger, logging.RunNotDone, zap.String("job", a.End.ID.Task.Job), zap.Stringer("run", a.End.ID),
		zap.String("outcome", a.End.Outcome.String()), zap.String("reason", a.End.Reason.String()), zap.String("agent", a.Agent.ID))
}

func (e *Entry) routingVersion() uint64 {
	if e.catalog == nil || e.catalog.Routing == nil {
		return 0
	}
	return e.catalog.Routing.Version
}

// wakeJobs handles what is due.
func (e *Entry) wakeJobs() {
	now := clock.SinceBoot()
	j := &e.jobs
	if due, ok := j.scheduler.NextWake(); ok && due <= now {
		e.stepJobs(scheduler.Tick{})
	}
	if now >= j.sweepAt {
		j.sweepAt = now + sweepInterval
		for id, v := range j.verdicts {
			if now >= v.until {
				delete(j.verdicts, id)
			}
		}
	}
	e.status.workers.Store(int64(j.scheduler.AvailableAgents(now)))
	e.logReadiness()
}

// receiveRun hands a message about runs to the scheduler; false if it is about something else.
func (e *Entry) receiveRun(from scheduler.AgentID, message wire.Message) bool {
	switch message.(type) {
	case *wire.OwnerPoll, *wire.RunInventory, *wire.WorkerState, *wire.RunEnds:
		e.stepJobs(scheduler.AgentMessage{Agent: from, Message: message})
		return true
	}
	return false
}
