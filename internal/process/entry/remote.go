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

// ownerGrace is how long the owner of a job may be unreachable before the job is reported as failed.
// It exceeds the time to detect a broken session and to dial again.
const ownerGrace = 5 * time.Second

// maxResultBytes limits the size of the body of one result in the replies of another entry.
const maxResultBytes = 64 << 20

// remoteQuery is a query to the entry that owns a job, on behalf of one waiter.
type remoteQuery struct {
	id          uint64
	waiterID    tracker.WaiterID
	owner       wire.Claimant
	submittedAt int64
	cancel      bool
	view        *tracker.View // results received so far
	deadline    time.Duration // time at which the query fails while it is in remoteQueries.offline
}

// remoteQueries holds the queries that have no complete reply yet.
type remoteQueries struct {
	lastID       uint64
	byID         map[uint64]*remoteQuery
	byWaiter     map[tracker.WaiterID]*remoteQuery
	offline      map[uint64]*remoteQuery         // queries whose owner has no open session
	disconnected map[wire.Claimant]time.Duration // time at which the session with an entry ended
}

// maxDisconnected limits the size of remoteQueries.disconnected.
const maxDisconnected = 256

func newRemoteQueries() remoteQueries {
	return remoteQueries{
		byID: map[uint64]*remoteQuery{}, byWaiter: map[tracker.WaiterID]*remoteQuery{},
		offline: map[uint64]*remoteQuery{}, disconnected: map[wire.Claimant]time.Duration{},
	}
}

// awaitOwner lets a query wait until deadline for its owner to open a session.
func (r *remoteQueries) awaitOwner(q *remoteQuery, deadline time.Duration) {
	q.deadline = deadline
	r.offline[q.id] = q
}

// startQuery queries the owner of a job on behalf of a waiter.
func (e *Entry) startQuery(waiterID tracker.WaiterID, owner wire.Claimant, submittedAt int64, cancel bool) {
	e.remote.lastID++
	q := &remoteQuery{id: e.remote.lastID, waiterID: waiterID, owner: owner, submittedAt: submittedAt, cancel: cancel}
	e.remote.byID[q.id], e.remote.byWaiter[waiterID] = q, q
	if e.incarnationEnded(owner) {
		e.failQuery(q)
		return
	}
	if e.peers[owner] != nil {
		e.sendQuery(q, wire.JobPosition{})
		return
	}
	now := e.config.Now().Boot
	deadline := now + ownerGrace
	if disconnectedAt, known := e.remote.disconnected[owner]; known {
		deadline = max(now, disconnectedAt+ownerGrace)
	}
	e.remote.awaitOwner(q, deadline)
}

// incarnationEnded reports whether the given incarnation of an entry is known to have ended.
func (e *Entry) incarnationEnded(owner wire.Claimant) bool {
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
	w := e.waiters[q.waiterID]
	message := &wire.JobQuery{
		Query: q.id, Key: w.key, SubmittedAt: q.submittedAt, From: from, Cancel: q.cancel,
	}
	if !w.waitEnded {
		message.Wait = e.config.MaxWait
	}
	delete(e.remote.offline, q.id)
	e.peers[q.owner].Send(message)
}

func (e *Entry) endQuery(q *remoteQuery) {
	delete(e.remote.byID, q.id)
	delete(e.remote.byWaiter, q.waiterID)
	delete(e.remote.offline, q.id)
}

// endRemoteWait ends the wait of a query at the owner, which then replies with the current state.
func (e *Entry) endRemoteWait(waiterID tracker.WaiterID) {
	q := e.remote.byWaiter[waiterID]
	if q == nil || e.peers[q.owner] == nil {
		return
	}
	e.peers[q.owner].Send(&wire.JobQuery{Query: q.id, Key: e.waiters[waiterID].key, SubmittedAt: q.submittedAt, EndWait: true})
}

// queryReplied handles the owner's reply to a query.
func (e *Entry) queryReplied(from wire.Claimant, reply *wire.JobReply) {
	q := e.remote.byID[reply.Query]
	if q == nil || q.owner != from {
		return
	}
	switch reply.Outcome {
	case wire.JobNotOwned:
		e.endQuery(q)
		e.ownerDenied(q.waiterID)
	case wire.JobDropped:
		e.endQuery(q)
		e.respond(q.waiterID, response{err: errDropped(e.waiters[q.waiterID].key.ID)})
	case wire.JobRunning, wire.JobFinished:
		e.addParts(q, reply)
	}
}

// addParts adds the parts of a reply to the results received so far and requests the rest.
func (e *Entry) addParts(q *remoteQuery, reply *wire.JobReply) {
	if q.view == nil {
		if reply.Count < 1 || reply.Count > job.MaxTasks {
			e.invalidReply(q)
			return
		}
		q.view = &tracker.View{
			Key: e.waiters[q.waiterID].key, Class: reply.Class, SubmittedAt: reply.SubmittedAt,
			Phase: tracker.Running, Results: make([]job.Result, reply.Count),
		}
	}
	for _, part := range reply.Parts {
		if !addPart(q.view, part) {
			e.invalidReply(q)
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
				e.invalidReply(q)
				return
			}
			if q.view.Results[i].State != job.Done {
				q.view.Phase = tracker.Failed
			}
		}
	}
	e.endQuery(q)
	e.respond(q.waiterID, response{view: q.view})
}

// addPart adds one part of a result, which must continue where the previous one ended. It reports
// whether the part is valid.
func addPart(view *tracker.View, part wire.JobPart) bool {
	if part.Task < 0 || part.Task >= len(view.Results) || part.Result.State > job.MayHaveRun ||
		part.BodyBytes < 0 || part.BodyBytes > maxResultBytes {
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

// invalidReply ends a query whose owner sent an invalid reply. The caller may retry.
func (e *Entry) invalidReply(q *remoteQuery) {
	e.endQuery(q)
	e.respond(q.waiterID, response{err: failure.New(failure.MayHaveRun, "ask for the job again; run the same release on all entries",
		"the entry that owns the job %q sent an invalid or incomplete reply", e.waiters[q.waiterID].key.ID).WithRetryAfter(time.Second)})
}

func (e *Entry) failQuery(q *remoteQuery) {
	logging.Log(e.config.Logger, logging.JobOwnerLost, zap.String("organisation", e.waiters[q.waiterID].key.Organisation),
		zap.String("job", e.waiters[q.waiterID].key.ID), zap.String("entry", q.owner.EntryID))
	e.endQuery(q)
	e.reportOwnerLost(q.waiterID)
}

// peerConnected resends the queries that got no complete reply on an earlier session, and fails those to
// an earlier incarnation of the entry.
func (e *Entry) peerConnected(peer wire.Claimant) {
	delete(e.remote.disconnected, peer)
	for _, q := range e.remote.byID {
		switch {
		case q.owner == peer:
			q.view = nil
			e.sendQuery(q, wire.JobPosition{})
		case q.owner.EntryID == peer.EntryID && e.incarnationEnded(q.owner):
			e.failQuery(q)
		}
	}
}

// peerDisconnected drops the peer's waiting queries. Queries to the peer are kept for ownerGrace, in
// which it may reconnect.
func (e *Entry) peerDisconnected(peer wire.Claimant) {
	if len(e.remote.disconnected) >= maxDisconnected {
		clear(e.remote.disconnected)
	}
	e.remote.disconnected[peer] = e.config.Now().Boot
	for id, waiterID := range e.peerQueries {
		if id.from == peer {
			delete(e.peerQueries, id)
			e.tracker.RemoveWaiter(e.waiters[waiterID].key, waiterID)
			delete(e.waiters, waiterID)
		}
	}
	for _, q := range e.remote.byID {
		if q.owner == peer {
			e.remote.awaitOwner(q, e.config.Now().Boot+ownerGrace)
		}
	}
}

// expireQueries ends the queries and owner look-ups whose deadline has passed.
func (e *Entry) expireQueries(now time.Duration) {
	for _, q := range e.remote.offline {
		if q.deadline <= now || e.incarnationEnded(q.owner) {
			e.failQuery(q)
		}
	}
	for _, l := range e.ownerLookups {
		if l.deadline <= now {
			e.finishOwnerLookup(l)
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
	for _, l := range e.ownerLookups {
		if next == 0 || l.deadline < next {
			next = l.deadline
		}
	}
	return next, next > 0
}
