package entry

import (
	"math/rand/v2"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/request/tracker"
)

// maxClaimRetries limits how often the claim of one submission is retried because the presumed owner of
// the id denied that it owns it.
const maxClaimRetries = 10

// claimBackoff determines the backoff before a claim is retried: a quarter of it plus a random part,
// whose upper bound doubles with each retry. During the backoff the registrars receive the releases of
// the entry that denied ownership. With equal backoffs, entries that claim an id at the same time would
// each get the grants of some registrars again, and none would get those of a majority.
const claimBackoff = 20 * time.Millisecond

// maxClaimBackoff limits the upper bound of the random part of the backoff before one retry.
const maxClaimBackoff = 300 * time.Millisecond

// response is the loop's response to a caller: the state of a job, or an error.
type response struct {
	view       *tracker.View
	err        error
	retryAfter time.Duration // greatest RetryAfter of the ended job's finished tasks; sent only in errors of POST /v1/requests
}

// waiter is a caller that waits for a job, or another entry that queries it on behalf of a caller.
type waiter struct {
	key          job.Key
	response     chan<- response // of a caller; capacity 1
	query        *peerQuery      // of another entry
	waitEnded    bool            // the caller's wait has ended
	submission   *job.Submission
	idGenerated  bool
	claimRetries int
}

func (e *Entry) addWaiter(w *waiter) tracker.WaiterID {
	e.lastWaiterID++
	e.waiters[e.lastWaiterID] = w
	return e.lastWaiterID
}

// respond removes a waiter and sends it the response.
func (e *Entry) respond(waiterID tracker.WaiterID, r response) {
	w := e.waiters[waiterID]
	if w == nil {
		return
	}
	delete(e.waiters, waiterID)
	if w.query != nil {
		e.replyToQuery(w.query, r)
		return
	}
	w.response <- r
}

func (e *Entry) respondAll(waiterIDs []tracker.WaiterID, r response) {
	for _, waiterID := range waiterIDs {
		e.respond(waiterID, r)
	}
}

// submit handles a caller's submission.
func (e *Entry) submit(s submissionReceived) {
	waiterID := e.addWaiter(&waiter{key: s.submission.Key, response: s.response, submission: s.submission, idGenerated: s.idGenerated})
	s.waiterID <- waiterID
	e.admit(waiterID, 0)
}

// admit lets a submission wait for its job if this entry already tracks the job. Otherwise it rejects
// the submission or claims its id.
func (e *Entry) admit(waiterID tracker.WaiterID, delay time.Duration) {
	w := e.waiters[waiterID]
	at := e.config.Now()
	e.tracker.Advance(at.Boot, at.Wall)
	known := e.tracker.Lookup(w.key, w.submission.SubmittedAt)
	if known == tracker.Tracked {
		e.metrics.submissions.WithLabelValues("resubmitted").Inc()
		e.waitFor(waiterID)
		return
	}
	err := checkKnown(known, w.submission)
	if err == nil {
		err = e.checkNew(w.submission, at)
	}
	if err != nil {
		e.metrics.submissions.WithLabelValues(string(err.Kind)).Inc()
		e.respond(waiterID, response{err: err})
		return
	}
	e.tracker.Begin(at.Boot, w.submission)
	e.waitFor(waiterID)
	e.stepClaims(claim.Requested{
		Key: w.key, SubmittedAt: w.submission.SubmittedAt, Generated: w.idGenerated, Delay: delay,
	})
}

// waitFor lets a waiter wait for the end of a tracked job. It responds at once if the job has ended.
func (e *Entry) waitFor(waiterID tracker.WaiterID) {
	w := e.waiters[waiterID]
	if !e.tracker.AddWaiter(w.key, waiterID) {
		e.respond(waiterID, response{view: e.tracker.View(w.key)})
		return
	}
	if w.waitEnded {
		e.endWait(waiterID)
	}
}

// endWait responds to a waiter now, or as soon as the claim of its job is decided or the search for the
// owner of the job and the query of this owner have ended.
func (e *Entry) endWait(waiterID tracker.WaiterID) {
	w := e.waiters[waiterID]
	if w == nil {
		return
	}
	w.waitEnded = true
	if e.tracker.EndWait(w.key, waiterID) {
		e.respond(waiterID, response{view: e.tracker.View(w.key)})
		return
	}
	e.endRemoteWait(waiterID)
}

// checkKnown returns an error if a submission must be rejected because of what this entry knows about
// its id.
func checkKnown(known tracker.LookupResult, s *job.Submission) *failure.Error {
	switch known {
	case tracker.Dropped:
		return errDropped(s.Key.ID)
	case tracker.OtherTime:
		return failure.New(failure.InvalidArgument, "send the submission time of the first submission, or choose another id",
			"the id %q is in use with another submission time; this submission was not run", s.Key.ID)
	case tracker.TooOld:
		return claim.TooOld(s.Key.ID)
	}
	return nil
}

func errDropped(id string) *failure.Error {
	return failure.New(failure.MayHaveRun, "ask for results within result_retention; the job will not run again",
		"the results of the job %q are no longer kept; it may have run", id)
}

// checkNew returns an error if the entry cannot accept a new job now, or not this one.
func (e *Entry) checkNew(s *job.Submission, at claim.Instant) *failure.Error {
	if e.status.draining.Load() {
		return errStopping()
	}
	if e.catalog == nil || int64(at.Boot) >= e.status.leaseDeadline.Load() {
		return failure.New(failure.Unavailable, "retry after the time in Retry-After; if this lasts, check the control members",
			"the entry holds no configuration lease; this submission was not run").WithRetryAfter(time.Second)
	}
	if len(e.catalog.Classes) == 0 {
		return failure.New(failure.NotFound, "ask an operator to create one with PUT /v1/classes/{name}",
			"no class is configured yet; this submission was not run")
	}
	class, found := e.catalog.Class(s.Class)
	if !found || class.Retired {
		return failure.New(failure.NotFound, "use one of the classes that GET /v1/classes lists, or ask an operator to create it",
			"the class %q does not exist or is retired; this submission was not run", s.Class)
	}
	organisation, found := e.catalog.Organisation(s.Key.Organisation)
	if !found || organisation.Retired {
		return failure.New(failure.NotFound, "ask an operator to create it with PUT /v1/organisations/{name}",
			"the organisation %q does not exist or is retired; this submission was not run", s.Key.Organisation)
	}
	if err := job.CheckTime(s.SubmittedAt, at.Wall); err != nil {
		return err.(*failure.Error)
	}
	return nil
}

// claimTaken handles an id that another entry appears to own: this owner is queried for each caller.
func (e *Entry) claimTaken(a claim.Taken) {
	cancel := e.pendingCancels[a.Key]
	delete(e.pendingCancels, a.Key)
	for _, waiterID := range e.tracker.Remove(a.Key) {
		w := e.waiters[waiterID]
		if w.query != nil || w.submission == nil {
			e.respond(waiterID, response{err: errNotOwned(a.Key.ID)})
			continue
		}
		e.startQuery(waiterID, a.Owner, w.submission.SubmittedAt, cancel)
	}
}

// ownerDenied handles the reply of a presumed owner that does not own the job. The claim of a submission
// is retried after a backoff. If the presumed owner does not know the id, it has just sent releases of its
// abandoned claims, which reach the registrars during the backoff.
func (e *Entry) ownerDenied(waiterID tracker.WaiterID) {
	w := e.waiters[waiterID]
	if w.submission == nil {
		e.respond(waiterID, response{err: errNotFound(w.key.ID)})
		return
	}
	w.claimRetries++
	if w.claimRetries > maxClaimRetries {
		e.respond(waiterID, response{err: failure.New(failure.MayHaveRun,
			"resubmit the job with the same id and submission time; it will not run twice",
			"several entries claimed the id %q at once; this submission was not run, but another may have been", w.key.ID).WithRetryAfter(time.Second)})
		return
	}
	bound := min(claimBackoff<<w.claimRetries, maxClaimBackoff)
	e.admit(waiterID, claimBackoff/4+rand.N(bound))
}

// reportOwnerLost responds to a waiter whose job's owner has stopped or cannot be reached: the job has
// failed, and each of its tasks may have run.
func (e *Entry) reportOwnerLost(waiterID tracker.WaiterID) {
	w := e.waiters[waiterID]
	if w.submission == nil {
		e.respond(waiterID, response{err: failure.New(failure.MayHaveRun, "choose a new id if the job must be run again",
			"the entry that owned the job %q has stopped or cannot be reached; its tasks may have run", w.key.ID)})
		return
	}
	view := &tracker.View{
		Key: w.key, Kind: w.submission.Kind, Class: w.submission.Class, SubmittedAt: w.submission.SubmittedAt,
		Phase: tracker.Failed, Results: make([]job.Result, len(w.submission.Tasks)),
	}
	for i := range view.Results {
		view.Results[i] = job.Result{
			State: job.MayHaveRun, FailureKind: failure.MayHaveRun, Message: "the entry that owned the job has stopped or cannot be reached",
		}
	}
	e.respond(waiterID, response{view: view})
}

func errNotOwned(id string) *failure.Error {
	return failure.New(failure.NotFound, "repeat the request", "another entry appears to own the job %q", id)
}

func errNotFound(id string) *failure.Error {
	return failure.New(failure.NotFound, "check the id; results are kept for result_retention after the end of a job", "there is no job %q", id)
}

// notifyClosing tells agents and entries that this entry accepts no new work.
func (e *Entry) notifyClosing() {
	for _, s := range e.agents {
		s.Send(&wire.Closing{})
	}
	for _, s := range e.peers {
		s.Send(&wire.Closing{})
	}
}

// checkDrained completes a drain when no job, waiter or HTTP request is left. The HTTP server flushes
// the responses of ended handlers before it closes their connections.
func (e *Entry) checkDrained() {
	if !e.status.draining.Load() || e.tracker.OpenJobs() > 0 || len(e.waiters) > 0 || e.restartable.scheduler.OpenJobs() > 0 ||
		e.restartable.checks.heldCount > 0 || e.status.activeRequests.Load() > 0 {
		return
	}
	select {
	case <-e.drained:
	default:
		close(e.drained)
	}
}
