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

// The events of the loop.
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
	drainBegun    struct{}
	// nudge makes the loop check whether a drain is complete.
	nudge struct{}
	// submitted is a caller's submission; the answer goes to reply.
	submitted struct {
		submission *job.Submission
		generated  bool
		reply      chan<- answer
		token      chan<- tracker.Token
	}
	// asked is a look-up or cancellation of a job.
	asked struct {
		key    job.Key
		wait   bool // for the end of the job
		cancel bool
		reply  chan<- answer
		token  chan<- tracker.Token
	}
	// waitEnded asks to answer a waiter now, or as soon as its claim is decided.
	waitEnded struct{ token tracker.Token }
	// inspect asks for a copy of the state.
	inspect struct{ reply chan<- *Snapshot }
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
	case submitted:
		e.submit(event)
	case asked:
		e.ask(event)
	case waitEnded:
		e.endWait(event.token)
	case inspect:
		event.reply <- e.snapshot()
	case drainBegun:
		e.notifyClosing()
	case jobSubmitted:
		e.submitJob(event)
	case jobAbandoned:
		e.abandonJob(event)
	case jobQuestion:
		e.answerQuestion(event)
	case nudge:
	}
}

// wake handles what is due and returns the delay until the next time. The loop calls it after
// each batch of events.
func (e *Entry) wake() time.Duration {
	at := e.config.Now()
	if due, ok := e.machine.NextWake(); ok && due <= at.Boot {
		e.step(dispatch.Tick{})
	}
	if due, ok := e.claimant.NextWake(); ok && due <= at.Boot {
		e.stepClaims(claim.Tick{})
	}
	e.tracker.Advance(at.Boot, at.Wall)
	e.expireQueries(at.Boot)
	e.wakeJobs()
	e.checkDrained()
	next := time.Duration(-1)
	for _, source := range []func() (time.Duration, bool){
		e.machine.NextWake, e.claimant.NextWake, e.tracker.NextWake, e.nextQueryExpiry, e.jobs.scheduler.NextWake,
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
		close(e.routed)
	}
	e.entryChanges += unexplained(e.catalog, state)
	e.catalog = state
	at := e.config.Now()
	configuration := claim.Configuration{Revision: state.Revision, Changes: e.entryChanges, Entries: state.Entries}
	e.registrar.Configured(at, configuration)
	e.stepClaims(claim.Configured{Configuration: configuration})
	e.step(dispatch.Configured{State: state})
	e.stepJobs(scheduler.ZonesChanged{Out: state.ZonesOut()})
	e.redial(state.Entries)
	e.status.configured.Store(true)
}

// unexplained returns how many revisions between two configurations may have changed the list of
// entries: all but those in which a class, organisation or zone was last changed.
func unexplained(before, after *catalog.State) uint64 {
	if before == nil {
		return after.Revision
	}
	explained := map[uint64]struct{}{}
	note := func(revision uint64) {
		if revision > before.Revision && revision <= after.Revision {
			explained[revision] = struct{}{}
		}
	}
	for i := range after.Classes {
		note(after.Classes[i].Revision)
	}
	for i := range after.Organisations {
		note(after.Organisations[i].Revision)
	}
	for i := range after.AvailabilityZones {
		note(after.AvailabilityZones[i].Revision)
	}
	return after.Revision - before.Revision - uint64(len(explained))
}

func (e *Entry) leaseExtended(deadline time.Duration) {
	e.registrar.LeaseChanged(e.config.Now(), deadline)
	e.stepClaims(claim.LeaseChanged{Deadline: deadline})
	e.step(dispatch.LeaseChanged{Deadline: deadline})
	e.status.lease.Store(int64(deadline))
	from, named := e.registrar.GrantsFrom()
	if !named {
		from = notNamed
	}
	e.status.grantsFrom.Store(from)
}

// step carries out what the dispatch machine decides about an event. An event that comes up while
// actions are carried out waits for its turn, because a step overwrites the actions before it.
func (e *Entry) step(event dispatch.Event) {
	e.events = append(e.events, event)
	if e.stepping {
		return
	}
	e.stepping = true
	for i := 0; i < len(e.events); i++ {
		e.carryOut(e.machine.Step(e.config.Now().Boot, e.events[i]))
	}
	clear(e.events)
	e.events, e.stepping = e.events[:0], false
}

func (e *Entry) carryOut(actions []dispatch.Action) {
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
			e.rejected(action)
		case dispatch.ReportUsage:
			for _, peer := range e.peers {
				peer.Send(action.Report)
			}
		}
	}
}

func (e *Entry) taskFinished(action dispatch.TaskFinished) {
	e.metrics.tasks.WithLabelValues(action.Result.State.String()).Inc()
	if action.RetryAfter > 0 && e.tracker.Lookup(action.Key, 0) == tracker.Active {
		e.outcomes[action.Key] = max(e.outcomes[action.Key], action.RetryAfter)
	}
	ended, tokens := e.tracker.Finish(e.config.Now().Boot, action.Key, action.Task, action.Result)
	if !ended {
		return
	}
	view := e.tracker.View(action.Key)
	e.metrics.responseTime.WithLabelValues(view.Class).Observe(e.tracker.Age(e.config.Now().Boot, action.Key).Seconds())
	e.answerAll(tokens, answer{view: view, retryAfter: e.outcomes[action.Key]})
	delete(e.outcomes, action.Key)
}

// rejected handles a submission of which nothing was started: its id may be claimed again.
func (e *Entry) rejected(action dispatch.Rejected) {
	e.metrics.submissions.WithLabelValues(string(action.Error.Kind)).Inc()
	view := e.tracker.View(action.Key)
	if view == nil {
		return
	}
	tokens := e.tracker.Remove(action.Key)
	delete(e.cancels, action.Key)
	e.stepClaims(claim.Released{Key: action.Key, SubmittedAt: view.SubmittedAt})
	e.answerAll(tokens, answer{err: action.Error})
}

// stepClaims carries out what the claimant decides about an event. Answers of the own registrar
// are fed back after the actions, because a step overwrites the actions of the one before.
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

// sendClaim sends a message to a registrar and returns the answer if it is the own one.
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
		e.owned(a.Key)
	case claim.Taken:
		e.taken(a)
	case claim.Refused:
		logging.Log(e.config.Logger, logging.ClaimRefused, zap.String("organisation", a.Key.Organisation), zap.String("job", a.Key.ID), zap.Error(a.Error))
		e.metrics.submissions.WithLabelValues(string(a.Error.Kind)).Inc()
		delete(e.cancels, a.Key)
		e.answerAll(e.tracker.Remove(a.Key), answer{err: a.Error})
	}
}

// owned starts a job whose id was granted.
func (e *Entry) owned(key job.Key) {
	submission, cut := e.tracker.Accept(key)
	if submission == nil {
		e.config.Logger.DPanic("a claim was granted for a job that is not tracked")
		return
	}
	e.metrics.submissions.WithLabelValues("accepted").Inc()
	e.step(dispatch.Submitted{Submission: submission})
	if e.cancels[key] {
		delete(e.cancels, key)
		e.cancel(key)
	}
	e.answerCut(key, cut)
}

// answerCut answers waiters whose wait was over before the claim was decided.
func (e *Entry) answerCut(key job.Key, tokens []tracker.Token) {
	if len(tokens) == 0 {
		return
	}
	if view := e.tracker.View(key); view != nil {
		e.answerAll(tokens, answer{view: view})
		return
	}
	e.answerAll(tokens, answer{err: failure.New(failure.Unavailable, "submit the job again", "the job was refused; it was not run")})
}

func (e *Entry) cancel(key job.Key) {
	if e.tracker.Cancel(key) {
		e.step(dispatch.Cancelled{Key: key})
	}
}
