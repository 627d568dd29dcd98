package entry

import (
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/request/scheduler"
	"pollenpaddle/internal/request/tracker"
	"pollenpaddle/internal/version/catalog"
)

// Events of the loop.
type (
	sessionOpened struct{ session *session.Session }
	sessionClosed struct {
		session *session.Session
		err     error
	}
	sessionMessages struct {
		session  *session.Session
		messages []wire.Message
	}
	configured    struct{ state *catalog.State }
	leaseExtended struct{ deadline time.Duration }
	drainStarted  struct{}
	// lastRequestEnded wakes the loop, which then checks whether a drain is complete.
	lastRequestEnded struct{}
	// submissionReceived is a caller's submission.
	submissionReceived struct {
		submission  *job.Submission
		idGenerated bool
		response    chan<- response
		waiterID    chan<- tracker.WaiterID
	}
	// lookupRequested is a caller's look-up or cancellation of a job.
	lookupRequested struct {
		key      job.Key
		wait     bool // for the end of the job
		cancel   bool
		response chan<- response
		waiterID chan<- tracker.WaiterID
	}
	// waitEnded makes the loop respond to a waiter now, or as soon as the claim of its job is decided or
	// the search for the owner of the job and the query of this owner have ended.
	waitEnded struct{ waiterID tracker.WaiterID }
	// snapshotRequested asks for a copy of the state.
	snapshotRequested struct{ snapshots chan<- *Snapshot }
)

// handle processes one event of the loop.
func (e *Entry) handle(event any) {
	switch event := event.(type) {
	case sessionOpened:
		e.sessionOpened(event.session)
	case sessionClosed:
		e.sessionClosed(event.session, event.err)
	case sessionMessages:
		e.receive(event.session, event.messages)
	case configured:
		e.configured(event.state)
	case leaseExtended:
		e.leaseExtended(event.deadline)
	case submissionReceived:
		e.submit(event)
	case lookupRequested:
		e.handleLookup(event)
	case waitEnded:
		e.endWait(event.waiterID)
	case snapshotRequested:
		event.snapshots <- e.snapshot()
	case drainStarted:
		e.notifyClosing()
	case restartableSubmitted:
		e.submitRestartable(event)
	case restartableAbandoned:
		e.abandonRestartable(event)
	case cancelRequested:
		e.requestCancel(event)
	case restartableQueried:
		e.reportRestartableState(event)
	case lastRequestEnded:
	}
}

// wake runs all due timers and returns the delay until the next one, negative if there is none. The
// loop calls it after each batch of events.
func (e *Entry) wake() time.Duration {
	at := e.config.Now()
	if due, ok := e.dispatcher.NextWake(); ok && due <= at.Boot {
		e.step(dispatch.Tick{})
	}
	if due, ok := e.claimant.NextWake(); ok && due <= at.Boot {
		e.stepClaims(claim.Tick{})
	}
	e.tracker.Advance(at.Boot, at.Wall)
	e.expireQueries(at.Boot)
	e.wakeScheduler()
	e.checkDrained()
	next := time.Duration(-1)
	for _, source := range []func() (time.Duration, bool){
		e.dispatcher.NextWake, e.claimant.NextWake, e.tracker.NextWake, e.nextQueryExpiry, e.restartable.scheduler.NextWake,
		e.nextCancellationWake, e.restartable.checks.machine.NextWake,
	} {
		if due, ok := source(); ok {
			if delay := max(0, due-at.Boot); next < 0 || delay < next {
				next = delay
			}
		}
	}
	return next
}

func (e *Entry) configured(state *catalog.State) {
	if e.catalog != nil && state.Revision <= e.catalog.Revision {
		return
	}
	if state.Routing != nil && (e.catalog == nil || e.catalog.Routing == nil) {
		close(e.routingReceived)
	}
	e.entryChanges += possibleEntryChanges(e.catalog, state)
	e.catalog = state
	at := e.config.Now()
	configuration := claim.Configuration{Revision: state.Revision, Changes: e.entryChanges, Entries: state.Entries}
	e.registrar.Configured(at, configuration)
	e.stepClaims(claim.Configured{Configuration: configuration})
	e.step(dispatch.Configured{State: state})
	e.stepScheduler(scheduler.ZonesChanged{OutOfService: state.ZonesOut()})
	e.configureCancellations(state)
	e.configureJobChecks(state)
	e.updateDialers(state.Entries)
	e.status.configured.Store(true)
}

// possibleEntryChanges returns how many revisions between two configurations may have changed the
// list of entries: all but those in which a class, organisation or zone was last changed.
func possibleEntryChanges(before, after *catalog.State) uint64 {
	if before == nil {
		return after.Revision
	}
	otherRevisions := map[uint64]struct{}{}
	record := func(revision uint64) {
		if revision > before.Revision && revision <= after.Revision {
			otherRevisions[revision] = struct{}{}
		}
	}
	for i := range after.Classes {
		record(after.Classes[i].Revision)
	}
	for i := range after.Organisations {
		record(after.Organisations[i].Revision)
	}
	for i := range after.AvailabilityZones {
		record(after.AvailabilityZones[i].Revision)
	}
	return after.Revision - before.Revision - uint64(len(otherRevisions))
}

func (e *Entry) leaseExtended(deadline time.Duration) {
	e.registrar.LeaseChanged(e.config.Now(), deadline)
	e.stepClaims(claim.LeaseChanged{Deadline: deadline})
	e.step(dispatch.LeaseChanged{Deadline: deadline})
	e.status.leaseDeadline.Store(int64(deadline))
	above, listed := e.registrar.GrantsAbove()
	if !listed {
		above = notListed
	}
	e.status.grantsAbove.Store(above)
}

// step passes an event to the dispatcher and executes the resulting actions. An event that is raised
// during this execution is queued, because each step of the dispatcher overwrites the actions of the
// previous one.
func (e *Entry) step(event dispatch.Event) {
	e.dispatchEvents = append(e.dispatchEvents, event)
	if e.dispatching {
		return
	}
	e.dispatching = true
	for i := 0; i < len(e.dispatchEvents); i++ {
		e.execute(e.dispatcher.Step(e.config.Now().Boot, e.dispatchEvents[i]))
	}
	clear(e.dispatchEvents)
	e.dispatchEvents, e.dispatching = e.dispatchEvents[:0], false
}

func (e *Entry) execute(actions []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case dispatch.Send:
			if s := e.agents[action.Agent]; s != nil {
				s.Send(action.Message)
			}
		case dispatch.TaskStarted:
			e.tracker.Started(action.Key, action.Task)
		case dispatch.TaskFinished:
			e.taskFinished(action)
		case dispatch.Rejected:
			e.submissionRejected(action)
		case dispatch.ReportUsage:
			for _, peer := range e.peers {
				peer.Send(action.Report)
			}
		}
	}
}

func (e *Entry) taskFinished(action dispatch.TaskFinished) {
	e.metrics.tasks.WithLabelValues(action.Result.State.String()).Inc()
	if action.RetryAfter > 0 && e.tracker.Lookup(action.Key, 0) == tracker.Tracked {
		e.retryAfter[action.Key] = max(e.retryAfter[action.Key], action.RetryAfter)
	}
	ended, waiterIDs := e.tracker.Finish(e.config.Now().Boot, action.Key, action.Task, action.Result)
	if !ended {
		return
	}
	view := e.tracker.View(action.Key)
	e.metrics.responseTime.WithLabelValues(view.Class).Observe(e.tracker.Age(e.config.Now().Boot, action.Key).Seconds())
	e.respondAll(waiterIDs, response{view: view, retryAfter: e.retryAfter[action.Key]})
	delete(e.retryAfter, action.Key)
}

// submissionRejected handles a submission of which no task was started. Its id may be claimed again.
func (e *Entry) submissionRejected(action dispatch.Rejected) {
	e.metrics.submissions.WithLabelValues(string(action.Error.Kind)).Inc()
	view := e.tracker.View(action.Key)
	if view == nil {
		return
	}
	waiterIDs := e.tracker.Remove(action.Key)
	delete(e.pendingCancels, action.Key)
	e.stepClaims(claim.Release{Key: action.Key, SubmittedAt: view.SubmittedAt})
	e.respondAll(waiterIDs, response{err: action.Error})
}

// stepClaims passes an event to the claimant and executes the resulting actions. Replies of the
// local registrar are processed after these actions, because each step of the claimant overwrites
// the actions of the previous one.
func (e *Entry) stepClaims(event claim.Event) {
	queue := []claim.Event{event}
	for len(queue) > 0 {
		actions := e.claimant.Step(e.config.Now().Boot, queue[0])
		queue = queue[1:]
		var decided []claim.Action
		for _, action := range actions {
			send, ok := action.(claim.Send)
			if !ok {
				decided = append(decided, action)
				continue
			}
			if reply := e.sendClaim(send); reply != nil {
				queue = append(queue, claim.Received{From: e.self, Reply: reply})
			}
		}
		for _, action := range decided {
			e.claimDecided(action)
		}
	}
}

// sendClaim sends a message to a registrar. It returns the reply if the registrar is the local one.
func (e *Entry) sendClaim(send claim.Send) *wire.ClaimReply {
	if send.To.ID == e.self.EntryID {
		switch m := send.Message.(type) {
		case *wire.Claim:
			return e.registrar.Claim(e.config.Now(), e.self, m)
		case *wire.ClaimRelease:
			e.registrar.Release(e.self, m)
		}
		return nil
	}
	if s := e.peers[wire.Claimant{EntryID: send.To.ID, Incarnation: send.To.Incarnation}]; s != nil {
		s.Send(send.Message)
	}
	return nil
}

func (e *Entry) claimDecided(action claim.Action) {
	switch a := action.(type) {
	case claim.Owned:
		e.metrics.claimTime.Observe(a.Elapsed.Seconds())
		e.claimGranted(a.Key)
	case claim.Taken:
		e.claimTaken(a)
	case claim.Failed:
		logging.Log(e.config.Logger, logging.ClaimFailed, zap.String("organisation", a.Key.Organisation), zap.String("job", a.Key.ID), zap.Error(a.Error))
		e.metrics.submissions.WithLabelValues(string(a.Error.Kind)).Inc()
		delete(e.pendingCancels, a.Key)
		e.respondAll(e.tracker.Remove(a.Key), response{err: a.Error})
	}
}

// claimGranted starts a job whose claim was granted.
func (e *Entry) claimGranted(key job.Key) {
	submission, ended := e.tracker.Accept(key)
	if submission == nil {
		e.config.Logger.DPanic("a claim was granted for a job that is not tracked")
		return
	}
	e.metrics.submissions.WithLabelValues("accepted").Inc()
	e.step(dispatch.Submitted{Submission: submission})
	if e.pendingCancels[key] {
		delete(e.pendingCancels, key)
		e.cancel(key)
	}
	e.respondToEndedWaits(key, ended)
}

// respondToEndedWaits responds to waiters whose wait ended before the claim was decided.
func (e *Entry) respondToEndedWaits(key job.Key, waiterIDs []tracker.WaiterID) {
	if len(waiterIDs) == 0 {
		return
	}
	if view := e.tracker.View(key); view != nil {
		e.respondAll(waiterIDs, response{view: view})
		return
	}
	e.respondAll(waiterIDs, response{err: failure.New(failure.Unavailable, "resubmit the job", "the job was rejected; it was not run")})
}

func (e *Entry) cancel(key job.Key) {
	if e.tracker.Cancel(key) {
		e.step(dispatch.Cancelled{Key: key})
	}
}
