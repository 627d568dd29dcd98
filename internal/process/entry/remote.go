package entry

import (
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/tracker"
)

// ownerTimeout is how long the owner of a job may be out of reach before its job is answered as
// failed. It exceeds the time in which a broken session is noticed and dialed again.
const ownerTimeout = 5 * time.Second

// maxTaskBytes bounds the body of one result that another entry may announce.
const maxTaskBytes = 64 << 20

// remoteQuery is a question to the entry that owns a job, on behalf of one waiter.
type remoteQuery struct {
	id          uint64
	token       tracker.Token
	owner       wire.Claimant
	submittedAt int64
	cancel      bool
	view        *tracker.View // results so far
	deadline    time.Duration // for a session with the owner, while there is none
}

// remoteQueries holds the questions without an answer.
type remoteQueries struct {
	last    uint64
	byID    map[uint64]*remoteQuery
	byToken map[tracker.Token]*remoteQuery
	offline map[uint64]*remoteQuery         // those without a session with the owner
	lost    map[wire.Claimant]time.Duration // when the session with an entry ended
}

// maxLost bounds the ended sessions that are remembered.
const maxLost = 256

func newRemoteQueries() remoteQueries {
	return remoteQueries{
		byID: map[uint64]*remoteQuery{}, byToken: map[tracker.Token]*remoteQuery{},
		offline: map[uint64]*remoteQuery{}, lost: map[wire.Claimant]time.Duration{},
	}
}

// awaitOwner gives the owner of a job until deadline to open a session.
func (r *remoteQueries) awaitOwner(q *remoteQuery, deadline time.Duration) {
	q.deadline = deadline
	r.offline[q.id] = q
}

// startQuery answers a waiter from the job of another entry.
func (e *Entry) startQuery(token tracker.Token, owner wire.Claimant, submittedAt int64, cancel bool) {
	e.remote.last++
	q := &remoteQuery{id: e.remote.last, token: token, owner: owner, submittedAt: submittedAt, cancel: cancel}
	e.remote.byID[q.id], e.remote.byToken[token] = q, q
	if e.gone(owner) {
		e.ownerGone(q)
		return
	}
	if e.peers[owner] != nil {
		e.sendQuery(q, wire.JobPosition{})
		return
	}
	now := e.config.Now().Boot
	deadline := now + ownerTimeout
	if lost, known := e.remote.lost[owner]; known {
		deadline = max(now, lost+ownerTimeout)
	}
	e.remote.awaitOwner(q, deadline)
}

// gone reports whether the run of an entry is known to have ended.
func (e *Entry) gone(owner wire.Claimant) bool {
	if e.peers[owner] != nil {
		return false
	}
	if owner.EntryID == e.self.EntryID {
		return true
	}
	entry, found := e.catalog.Entry(owner.EntryID)
	return found && entry.Incarnation != 0 && entry.Incarnation != owner.Incarnation
}

func (e *Entry) sendQuery(q *remoteQuery, from wire.JobPosition) {
	w := e.waiters[q.token]
	message := &wire.JobQuery{
		Query: q.id, Key: w.key, SubmittedAt: q.submittedAt, From: from, Cancel: q.cancel,
	}
	if !w.cut {
		message.Wait = e.config.MaxWait
	}
	delete(e.remote.offline, q.id)
	e.peers[q.owner].Send(message)
}

func (e *Entry) endQuery(q *remoteQuery) {
	delete(e.remote.byID, q.id)
	delete(e.remote.byToken, q.token)
	delete(e.remote.offline, q.id)
}

// withdrawQuery asks the owner to answer a waiting query at once.
func (e *Entry) withdrawQuery(token tracker.Token) {
	q := e.remote.byToken[token]
	if q == nil || e.peers[q.owner] == nil {
		return
	}
	e.peers[q.owner].Send(&wire.JobQuery{Query: q.id, Key: e.waiters[token].key, SubmittedAt: q.submittedAt, Withdraw: true})
}

// queryAnswered handles the owner's answer.
func (e *Entry) queryAnswered(from wire.Claimant, reply *wire.JobReply) {
	q := e.remote.byID[reply.Query]
	if q == nil || q.owner != from {
		return
	}
	switch reply.Outcome {
	case wire.JobNotOwned:
		e.endQuery(q)
		e.denied(q.token)
	case wire.JobDropped:
		e.endQuery(q)
		e.answer(q.token, answer{err: errDropped(e.waiters[q.token].key.ID)})
	case wire.JobRunning, wire.JobFinished:
		e.takeParts(q, reply)
	}
}

// takeParts adds a reply to the results so far and asks for the rest.
func (e *Entry) takeParts(q *remoteQuery, reply *wire.JobReply) {
	if q.view == nil {
		if reply.Count < 1 || reply.Count > job.MaxTasks {
			e.badReply(q)
			return
		}
		q.view = &tracker.View{
			Key: e.waiters[q.token].key, Class: reply.Class, SubmittedAt: reply.SubmittedAt,
			Phase: tracker.Running, Results: make([]job.Result, reply.Count),
		}
	}
	for _, part := range reply.Parts {
		if !takePart(q.view, part) {
			e.badReply(q)
			return
		}
	}
	if reply.Outcome == wire.JobFinished && reply.Next.Task < len(q.view.Results) {
		e.sendQuery(q, reply.Next)
		return
	}
	if reply.Outcome == wire.JobFinished {
		q.view.Phase = tracker.Complete
		for i := range q.view.Results {
			if !q.view.Results[i].State.Final() {
				e.badReply(q)
				return
			}
			if q.view.Results[i].State != job.Done {
				q.view.Phase = tracker.Failed
			}
		}
	}
	e.endQuery(q)
	e.answer(q.token, answer{view: q.view})
}

// takePart adds one part of a result, which must continue where the last one ended.
func takePart(view *tracker.View, part wire.JobPart) bool {
	if part.Task < 0 || part.Task >= len(view.Results) || part.Result.State > job.MayHaveRun ||
		part.BodyBytes < 0 || part.BodyBytes > maxTaskBytes {
		return false
	}
	known := &view.Results[part.Task]
	if len(known.Body)+len(part.Result.Body) > part.BodyBytes {
		return false
	}
	body := append(known.Body, part.Result.Body...)
	*known = part.Result
	known.Body = body
	return true
}

// badReply ends a query whose answer makes no sense. The caller may ask again.
func (e *Entry) badReply(q *remoteQuery) {
	e.endQuery(q)
	e.answer(q.token, answer{err: failure.New(failure.MayHaveRun, "ask for the job again; run the same release on all entries",
		"the entry that owns the job %q gave an incomplete answer", e.waiters[q.token].key.ID).WithRetryAfter(time.Second)})
}

func (e *Entry) ownerGone(q *remoteQuery) {
	logging.Log(e.config.Logger, logging.JobOwnerLost, zap.String("organisation", e.waiters[q.token].key.Organisation),
		zap.String("job", e.waiters[q.token].key.ID), zap.String("entry", q.owner.EntryID))
	e.endQuery(q)
	e.lost(q.token)
}

// peerConnected asks again what a session that has ended left unanswered, and settles questions
// to an earlier run of the entry.
func (e *Entry) peerConnected(peer wire.Claimant) {
	delete(e.remote.lost, peer)
	for _, q := range e.remote.byID {
		switch {
		case q.owner == peer:
			q.view = nil
			e.sendQuery(q, wire.JobPosition{})
		case q.owner.EntryID == peer.EntryID && e.gone(q.owner):
			e.ownerGone(q)
		}
	}
}

// peerLost drops what the peer was waiting for, and gives it some time to come back with what
// this entry is waiting for.
func (e *Entry) peerLost(peer wire.Claimant) {
	if len(e.remote.lost) >= maxLost {
		clear(e.remote.lost)
	}
	e.remote.lost[peer] = e.config.Now().Boot
	for id, token := range e.served {
		if id.from == peer {
			delete(e.served, id)
			e.tracker.RemoveWaiter(e.waiters[token].key, token)
			delete(e.waiters, token)
		}
	}
	for _, q := range e.remote.byID {
		if q.owner == peer {
			e.remote.awaitOwner(q, e.config.Now().Boot+ownerTimeout)
		}
	}
}

// expireQueries ends queries and look-ups that have waited too long.
func (e *Entry) expireQueries(now time.Duration) {
	for _, q := range e.remote.offline {
		if q.deadline <= now || e.gone(q.owner) {
			e.ownerGone(q)
		}
	}
	for _, l := range e.lookups {
		if l.deadline <= now {
			e.decideLookup(l)
		}
	}
}

func (e *Entry) nextQueryExpiry() (time.Duration, bool) {
	next := time.Duration(0)
	for _, q := range e.remote.offline {
		if next == 0 || q.deadline < next {
			next = q.deadline
		}
	}
	for _, l := range e.lookups {
		if next == 0 || l.deadline < next {
			next = l.deadline
		}
	}
	return next, next > 0
}
