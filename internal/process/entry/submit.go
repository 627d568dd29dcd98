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

// maxReclaims limits how often one submission is claimed again because the presumed owner of its id
// denied that it owns it.
const maxReclaims = 10

// reclaimDelay is the base of the upper bound of the random delay before the next claim. During the
// delay the releases of the denying entry arrive. The bound doubles with every claim: entries with
// equal delays would split the registrars between them again.
const reclaimDelay = 20 * time.Millisecond

// maxReclaimDelay limits the upper bound of the random delay before one claim.
const maxReclaimDelay = 300 * time.Millisecond

// answer is the loop's answer to a caller: the state of a job, or an error.
type answer struct {
	view       *tracker.View
	err        error
	retryAfter time.Duration // for a request that was not run
}

// waiter is a caller that waits for a job, or another entry that queries it on behalf of a caller.
type waiter struct {
	key        job.Key
	reply      chan<- answer // of a caller; capacity 1
	query      *servedQuery  // of another entry
	waitOver   bool          // the caller's wait is over
	submission *job.Submission
	generated  bool
	reclaims   int
}

func (e *Entry) addWaiter(w *waiter) tracker.Token {
	e.lastToken++
	e.waiters[e.lastToken] = w
	return e.lastToken
}

// answer removes a waiter and sends it the answer.
func (e *Entry) answer(token tracker.Token, a answer) {
	w := e.waiters[token]
	if w == nil {
		return
	}
	delete(e.waiters, token)
	if w.query != nil {
		e.answerQuery(w.query, a)
		return
	}
	w.reply <- a
}

func (e *Entry) answerAll(tokens []tracker.Token, a answer) {
	for _, token := range tokens {
		e.answer(token, a)
	}
}

// submit handles a caller's submission.
func (e *Entry) submit(s submissionReceived) {
	token := e.addWaiter(&waiter{key: s.submission.Key, reply: s.reply, submission: s.submission, generated: s.generated})
	s.token <- token
	e.admit(token, 0)
}

// admit answers a submission from the job that this entry tracks, rejects it, or claims its id.
func (e *Entry) admit(token tracker.Token, delay time.Duration) {
	w := e.waiters[token]
	at := e.config.Now()
	e.tracker.Advance(at.Boot, at.Wall)
	known := e.tracker.Lookup(w.key, w.submission.SubmittedAt)
	if known == tracker.Active {
		e.metrics.submissions.WithLabelValues("resubmitted").Inc()
		e.waitFor(token)
		return
	}
	err := checkKnown(known, w.submission)
	if err == nil {
		err = e.checkNew(w.submission, at)
	}
	if err != nil {
		e.metrics.submissions.WithLabelValues(string(err.Kind)).Inc()
		e.answer(token, answer{err: err})
		return
	}
	e.tracker.Begin(at.Boot, w.submission)
	e.waitFor(token)
	e.stepClaims(claim.Requested{
		Key: w.key, SubmittedAt: w.submission.SubmittedAt, Generated: w.generated, Delay: delay,
	})
}

// waitFor answers a waiter of a tracked job at the end of the job.
func (e *Entry) waitFor(token tracker.Token) {
	w := e.waiters[token]
	if !e.tracker.AddWaiter(w.key, token) {
		e.answer(token, answer{view: e.tracker.View(w.key)})
		return
	}
	if w.waitOver {
		e.endWait(token)
	}
}

// endWait answers a waiter now, or as soon as it is known whether the job was accepted.
func (e *Entry) endWait(token tracker.Token) {
	w := e.waiters[token]
	if w == nil {
		return
	}
	w.waitOver = true
	if e.tracker.EndWait(w.key, token) {
		e.answer(token, answer{view: e.tracker.View(w.key)})
		return
	}
	e.withdrawQuery(token)
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
		"the job %q has ended, and its results are no longer kept", id)
}

// checkNew returns an error if the entry cannot accept a new job now, or not this one.
func (e *Entry) checkNew(s *job.Submission, at claim.Instant) *failure.Error {
	if e.status.draining.Load() {
		return errStopping()
	}
	if e.catalog == nil || int64(at.Boot) >= e.status.leaseDeadline.Load() {
		return failure.New(failure.Unavailable, "retry after the time in Retry-After; if this lasts, check the control members",
			"the entry holds no lease on the configuration; this submission was not run").WithRetryAfter(time.Second)
	}
	if len(e.catalog.Classes) == 0 {
		return failure.New(failure.NotFound, "ask an operator to create one with PUT /v1/classes/{name}",
			"no class of work is configured yet; this submission was not run")
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
	for _, token := range e.tracker.Remove(a.Key) {
		w := e.waiters[token]
		if w.query != nil || w.submission == nil {
			e.answer(token, answer{err: errNotOwned(a.Key.ID)})
			continue
		}
		e.startQuery(token, a.Owner, w.submission.SubmittedAt, cancel)
	}
}

// ownerDenied handles the reply of a presumed owner that does not know the id. The submission is
// claimed again, because the presumed owner has released its abandoned claim by now.
func (e *Entry) ownerDenied(token tracker.Token) {
	w := e.waiters[token]
	if w.submission == nil {
		e.answer(token, answer{err: errNotFound(w.key.ID)})
		return
	}
	w.reclaims++
	if w.reclaims > maxReclaims {
		e.answer(token, answer{err: failure.New(failure.MayHaveRun,
			"submit the job again with the same id and submission time, which never runs it twice",
			"several entries claimed the id %q at once; this submission was not run, but another may have been", w.key.ID).WithRetryAfter(time.Second)})
		return
	}
	bound := min(reclaimDelay<<w.reclaims, maxReclaimDelay)
	e.admit(token, reclaimDelay/4+rand.N(bound))
}

// answerOwnerLost answers a waiter whose job's owner has stopped or cannot be reached: the job has failed,
// and each of its tasks may have run.
func (e *Entry) answerOwnerLost(token tracker.Token) {
	w := e.waiters[token]
	if w.submission == nil {
		e.answer(token, answer{err: failure.New(failure.MayHaveRun, "choose a new id if the job must be run again",
			"the entry that owned the job %q has stopped or cannot be reached; its tasks may have run", w.key.ID)})
		return
	}
	view := &tracker.View{
		Key: w.key, Kind: w.submission.Kind, Class: w.submission.Class, SubmittedAt: w.submission.SubmittedAt,
		Phase: tracker.Failed, Results: make([]job.Result, len(w.submission.Tasks)),
	}
	for i := range view.Results {
		view.Results[i] = job.Result{
			State: job.MayHaveRun, Kind: failure.MayHaveRun, Message: "the entry that owned the job has stopped or cannot be reached",
		}
	}
	e.answer(token, answer{view: view})
}

func errNotOwned(id string) *failure.Error {
	return failure.New(failure.NotFound, "submit the job again", "the entry does not own the job %q", id)
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
// the answers of ended handlers before it closes their connections.
func (e *Entry) checkDrained() {
	if !e.status.draining.Load() || e.tracker.OpenJobs() > 0 || len(e.waiters) > 0 || e.restartable.scheduler.OpenJobs() > 0 || e.status.activeRequests.Load() > 0 {
		return
	}
	select {
	case <-e.drained:
	default:
		close(e.drained)
	}
}
