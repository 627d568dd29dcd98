package entry

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/request/tracker"
	"pollenpaddle/internal/version/catalog"
)

// ownerLookupTimeout bounds the wait for the registrars' replies about the owner of an id.
const ownerLookupTimeout = time.Second

// ownerLookup asks the registrars of an id which entry owns it.
type ownerLookup struct {
	key        job.Key
	waiters    []ownerLookupWaiter
	registrars []catalog.Entry
	replies    []*wire.ClaimReply
	deadline   time.Duration
}

type ownerLookupWaiter struct {
	waiterID tracker.WaiterID
	cancel   bool
}

// handleLookup serves a caller's look-up or cancellation of a job. The state of the job comes from the
// local tracker or from the entry that owns the job.
func (e *Entry) handleLookup(a lookupRequested) {
	waiterID := e.addWaiter(&waiter{key: a.key, response: a.response, waitEnded: !a.wait})
	a.waiterID <- waiterID
	at := e.config.Now()
	e.tracker.Advance(at.Boot, at.Wall)
	switch e.tracker.Lookup(a.key, 0) {
	case tracker.Tracked:
		if a.cancel {
			e.cancelTracked(a.key)
		}
		e.waitFor(waiterID)
	case tracker.Dropped:
		e.respond(waiterID, response{err: errDropped(a.key.ID)})
	default:
		e.startOwnerLookup(waiterID, a)
	}
}

func (e *Entry) startOwnerLookup(waiterID tracker.WaiterID, a lookupRequested) {
	if e.catalog == nil {
		e.respond(waiterID, response{err: failure.New(failure.Unavailable, "retry later", "the entry has no configuration yet").WithRetryAfter(time.Second)})
		return
	}
	if l := e.ownerLookups[a.key]; l != nil {
		l.waiters = append(l.waiters, ownerLookupWaiter{waiterID, a.cancel})
		return
	}
	l := &ownerLookup{
		key: a.key, waiters: []ownerLookupWaiter{{waiterID, a.cancel}}, registrars: claim.Registrars(e.catalog.Entries, a.key),
		deadline: e.config.Now().Boot + ownerLookupTimeout,
	}
	l.replies = make([]*wire.ClaimReply, len(l.registrars))
	e.ownerLookups[a.key] = l
	// A claim with attempt zero only asks for the owner; see wire.Claim.
	for i, to := range l.registrars {
		if reply := e.sendClaim(claim.Send{To: to, Message: &wire.Claim{Key: a.key}}); reply != nil {
			l.replies[i] = reply
		}
	}
	e.checkOwnerLookup(l)
}

func (e *Entry) ownerLookupReplied(from wire.Claimant, reply *wire.ClaimReply) {
	l := e.ownerLookups[reply.Key]
	if l == nil {
		return
	}
	for i, registrar := range l.registrars {
		if registrar.ID == from.EntryID {
			l.replies[i] = reply
		}
	}
	e.checkOwnerLookup(l)
}

// checkOwnerLookup finishes the search for an owner when all registrars have replied.
func (e *Entry) checkOwnerLookup(l *ownerLookup) {
	if !slices.Contains(l.replies, nil) {
		e.finishOwnerLookup(l)
	}
}

// finishOwnerLookup queries the owner that the largest number of replies names, even if it is only one
// reply. Without such an owner, or if it is this entry, the job is reported as not found; with too few
// replies and no owner, the caller is told to retry.
func (e *Entry) finishOwnerLookup(l *ownerLookup) {
	delete(e.ownerLookups, l.key)
	var best *wire.ClaimReply
	bestCount, replied := 0, 0
	for _, reply := range l.replies {
		if reply == nil {
			continue
		}
		replied++
		if reply.Outcome != wire.ClaimTaken {
			continue
		}
		count := 0
		for _, other := range l.replies {
			if other != nil && other.Outcome == wire.ClaimTaken && other.Owner == reply.Owner {
				count++
			}
		}
		if count > bestCount {
			best, bestCount = reply, count
		}
	}
	for _, w := range l.waiters {
		if e.waiters[w.waiterID] == nil {
			continue
		}
		switch {
		case best != nil && best.Owner != e.self:
			// In a reply with the outcome ClaimTaken, Bound is the submission time of the job.
			e.startQuery(w.waiterID, best.Owner, best.Bound, w.cancel)
		case best == nil && replied < claim.Majority(len(l.registrars)):
			e.respond(w.waiterID, response{err: failure.New(failure.Unavailable, "retry later", "too few registrars replied to find the job %q", l.key.ID).WithRetryAfter(time.Second)})
		default:
			e.respond(w.waiterID, response{err: errNotFound(l.key.ID)})
		}
	}
}
