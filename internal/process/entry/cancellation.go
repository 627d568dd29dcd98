package entry

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/cancellation"
	"pollenpaddle/internal/request/jobcheck"
	"pollenpaddle/internal/request/scheduler"
	"pollenpaddle/internal/version/catalog"
)

const (
	// cancelWait bounds the wait for the event loop to answer a cancellation, which takes at most 300 ms unless the loop
	// is behind.
	cancelWait = 2 * time.Second
	// featureCheckInterval is the time between two checks whether connected processes have announced their features, while
	// an answer of theirs is awaited. The announcement arrives a round trip after the session has opened.
	featureCheckInterval = 10 * time.Millisecond
)

// cancelRequested is a caller's request to cancel a job on all entries.
type cancelRequested struct {
	job      string
	response chan<- error
}

// cancellations is the entry's state for cancellations. It is accessed by the event loop only.
type cancellations struct {
	machine *cancellation.Machine
	// unannounced are the sessions whose peer has not announced yet whether it understands the messages.
	unannounced map[*session.Session]struct{}
	requests    map[uint64]cancelRequested
	lastNumber  uint64
	closedAt    time.Duration          // when the machine was last closed
	held        []restartableSubmitted // submissions that wait until it is open
	contactAt   time.Duration          // time of the last message of any other process; zero before
	answered    uint64                 // submissions that were answered as cancelled
}

func newCancellations(entry string) cancellations {
	return cancellations{
		machine:     cancellation.New(cancellation.Config{Entry: entry}),
		unannounced: map[*session.Session]struct{}{}, requests: map[uint64]cancelRequested{},
	}
}

// CancelRestartableJob cancels a restartable job on all entries. It returns nil once the cancellation holds even if this
// entry ends, and otherwise an Unavailable error.
func (e *Entry) CancelRestartableJob(job string) error {
	responses := make(chan error, 1)
	if !e.loop.TryPost(cancelRequested{job, responses}) {
		return errBusy()
	}
	timer := time.NewTimer(cancelWait)
	defer timer.Stop()
	select {
	case err := <-responses:
		return err
	case <-e.stopped:
		return errStopping()
	case <-timer.C:
		return failure.New(failure.Unavailable, "send the cancellation again after the time in Retry-After",
			"the entry did not complete the cancellation in time; the job may run again").WithRetryAfter(time.Second)
	}
}

func (e *Entry) requestCancel(event cancelRequested) {
	c := &e.restartable.cancellations
	c.lastNumber++
	c.requests[c.lastNumber] = event
	for _, s := range e.peers {
		if !s.Supports(wire.FeatureCancellations) {
			s.Send(&wire.JobCancel{Job: event.job}) // an earlier release stops the job and keeps nothing
		}
	}
	e.stepCancellations(cancellation.Requested{Job: event.job, Number: c.lastNumber})
}

// stepCancellations passes an event to the machine and executes the resulting actions.
func (e *Entry) stepCancellations(event cancellation.Event) {
	c := &e.restartable.cancellations
	actions := c.machine.Step(clock.SinceBoot(), event)
	if len(actions) == 0 {
		return
	}
	for _, action := range slices.Clone(actions) { // the actions may raise further events
		e.executeCancellation(action)
	}
}

func (e *Entry) executeCancellation(action cancellation.Action) {
	c := &e.restartable.cancellations
	switch a := action.(type) {
	case cancellation.Send:
		if s := e.peers[a.To]; s != nil {
			s.Send(a.Message)
		}
	case cancellation.TellAgents:
		for _, s := range e.agents {
			if s.Supports(wire.FeatureCancellations) {
				s.Send(a.Message)
			}
		}
	case cancellation.Stop:
		e.stepScheduler(scheduler.Cancelled{Job: a.Job, Requested: true})
	case cancellation.StopCancelled:
		for _, id := range e.restartable.scheduler.OpenJobIDs() {
			if c.machine.Cancelled(clock.SinceBoot(), id) {
				e.stepScheduler(scheduler.Cancelled{Job: id, Requested: true})
			}
		}
	case cancellation.Acknowledged:
		if a.Unconfirmed {
			logging.Log(e.config.Logger, logging.CancellationUnconfirmed, zap.String("job", c.requests[a.Number].job), zap.Int("entries", a.Copies))
		}
		e.respondCancel(a.Number, nil)
	case cancellation.Refused:
		logging.Log(e.config.Logger, logging.CancellationRefused, zap.String("job", c.requests[a.Number].job), zap.Error(a.Error))
		e.respondCancel(a.Number, a.Error)
	case cancellation.Closed:
		c.closedAt = clock.SinceBoot()
		e.stepScheduler(scheduler.JobsHeld{})
	case cancellation.Opened:
		e.resumeJobs(a)
	}
}

func (e *Entry) respondCancel(number uint64, err error) {
	c := &e.restartable.cancellations
	if request, found := c.requests[number]; found {
		delete(c.requests, number)
		request.response <- err
	}
}

// resumeJobs continues the jobs that were held, and submits those that arrived meanwhile.
func (e *Entry) resumeJobs(opened cancellation.Opened) {
	c := &e.restartable.cancellations
	drop := !opened.Complete && !opened.Starting
	if drop {
		logging.Log(e.config.Logger, logging.JobsNotContinued, zap.Int("jobs", e.restartable.scheduler.OpenJobs()),
			zap.Int("submissions", len(c.held)), zap.Int("answers", opened.Answers))
	} else if !opened.Starting {
		logging.Log(e.config.Logger, logging.JobsContinued, zap.Int("jobs", e.restartable.scheduler.OpenJobs()),
			zap.Int("submissions", len(c.held)), zap.Duration("held", clock.SinceBoot()-c.closedAt))
	}
	e.stepScheduler(scheduler.JobsReleased{Drop: drop})
	held := c.held
	c.held = nil
	for _, event := range held {
		s := event.submission
		if drop && s.WaitingSince != 0 && s.WaitingSince < c.closedAt && !c.machine.Cancelled(clock.SinceBoot(), s.ID) {
			event.caller <- scheduler.RejectedOnSubmission(s)
			continue
		}
		e.submitRestartable(event)
	}
}

// admitSubmission reports whether the scheduler may get a submission now. Otherwise it answers the submission or holds it.
func (e *Entry) admitSubmission(event restartableSubmitted) bool {
	c := &e.restartable.cancellations
	now := clock.SinceBoot()
	e.checkContact(now)
	if c.machine.Cancelled(now, event.submission.ID) {
		c.answered++
		logging.Log(e.config.Logger, logging.CancelledJobSubmitted, zap.String("job", event.submission.ID), zap.String("queue", event.submission.Queue))
		event.caller <- scheduler.RevokedOnSubmission(event.submission)
		return false
	}
	if c.machine.IsOpen() {
		return true
	}
	if len(c.held) >= scheduler.DefaultQueueLimit {
		event.caller <- scheduler.RejectedOnSubmission(event.submission)
		return false
	}
	c.held = append(c.held, event)
	return false
}

// forgetHeld drops the held submission of a caller that no longer waits, and reports whether there was one.
func (e *Entry) forgetHeld(caller chan<- scheduler.Decided) bool {
	c := &e.restartable.cancellations
	before := len(c.held)
	c.held = slices.DeleteFunc(c.held, func(event restartableSubmitted) bool { return event.caller == caller })
	return len(c.held) < before
}

// checkContact asks the other entries for cancellations if no message of any other process has arrived for
// isolationThreshold: this process may have been stopped or cut off. Every connected agent sends a poll each
// runner.PollInterval, so without a gap this costs no message.
func (e *Entry) checkContact(now time.Duration) {
	c := &e.restartable.cancellations
	if gap := now - c.contactAt; c.contactAt != 0 && gap >= isolationThreshold && c.machine.IsOpen() {
		e.stepCancellations(cancellation.OutOfTouch{Gap: gap})
	}
}

// contacted records a message of another process.
func (e *Entry) contacted(now time.Duration) {
	e.checkContact(now)
	e.restartable.cancellations.contactAt = now
}

// receiveCancellation passes a message of another entry to the machine. It returns false for other messages.
func (e *Entry) receiveCancellation(from wire.Claimant, message wire.Message) bool {
	switch m := message.(type) {
	case *wire.JobCancel:
		e.stepCancellations(cancellation.Learned{Job: m.Job})
	case *wire.JobCancellation, *wire.CancellationKept, *wire.CancellationQuery, *wire.CancellationRecords, *wire.CancellationAnswer:
		e.stepCancellations(cancellation.Received{From: from, Message: message})
	default:
		return false
	}
	return true
}

// learnCancellations takes over the cancellations for which an agent has refused or stopped runs.
func (e *Entry) learnCancellations(ends []run.End) {
	for _, end := range ends {
		if end.Reason == run.Cancelled {
			e.stepCancellations(cancellation.Learned{Job: end.ID.Task.Job})
		}
	}
}

// configureCancellations passes the list of entries and the longest wait of a route to the machine.
func (e *Entry) configureCancellations(state *catalog.State) {
	configured := cancellation.Configured{}
	for _, listed := range state.Entries {
		configured.Entries = append(configured.Entries, listed.ID)
	}
	if state.Routing != nil {
		for i := range state.Routing.Routes {
			configured.LongestWait = max(configured.LongestWait, state.Routing.Routes[i].Timeout)
		}
	}
	e.stepCancellations(configured)
}

// introduceSessions passes the sessions to the machine whose peers have announced what they understand.
func (e *Entry) introduceSessions() {
	c := &e.restartable.cancellations
	for s := range c.unannounced {
		supported := s.Supports(wire.FeatureCancellations)
		isAgent := s.Peer().Role == wire.RoleAgent
		if !supported && (isAgent && !s.Supports(wire.FeatureSpeeds) || !isAgent && !s.Supports(wire.FeatureCapacities)) {
			continue
		}
		delete(c.unannounced, s)
		switch {
		case !isAgent:
			e.stepCancellations(cancellation.PeerConnected{Entry: peerOf(s), EarlierRelease: !supported})
			e.stepJobChecks(jobcheck.PeerConnected{Entry: peerOf(s), EarlierRelease: !s.Supports(wire.FeatureJobChecks)})
		case supported:
			for _, message := range c.machine.Told(clock.SinceBoot()) {
				s.Send(message)
			}
		}
	}
}

// wakeCancellations runs the due timers of the machine.
func (e *Entry) wakeCancellations(now time.Duration) {
	c := &e.restartable.cancellations
	if len(c.unannounced) > 0 {
		e.introduceSessions()
	}
	if e.restartable.scheduler.OpenJobs() > 0 {
		e.checkContact(now)
	}
	if due, ok := c.machine.NextWake(); ok && due <= now {
		e.stepCancellations(cancellation.Tick{})
	}
}

// nextCancellationWake returns when wakeCancellations is due; false if it is not.
func (e *Entry) nextCancellationWake() (time.Duration, bool) {
	c := &e.restartable.cancellations
	due, ok := c.machine.NextWake()
	if ok && len(c.unannounced) > 0 {
		due = min(due, clock.SinceBoot()+featureCheckInterval)
	}
	return due, ok
}
