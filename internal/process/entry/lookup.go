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

// lookupTimeout bounds the wait for the registrars' replies to a look-up.
const lookupTimeout = time.Second

// lookup is a query to the registrars of an id for the entry that owns it.
type lookup struct {
	key        job.Key
	waiters    []lookupWaiter
	registrars []catalog.Entry
	replies    []*wire.ClaimReply
	deadline   time.Duration
}

type lookupWaiter struct {
	token  tracker.Token
	cancel bool
}

// handleLookup answers a look-up or cancellation of a job from the local tracker or from the entry
// that owns the job.
func (e *Entry) handleLookup(a lookupRequested) {
	token := e.addWaiter(&waiter{key: a.key, reply: a.reply, waitOver: !a.wait})
	a.token <- token
	at := e.config.Now()
	e.tracker.Advance(at.Boot, at.Wall)
	switch e.tracker.Lookup(a.key, 0) {
	case tracker.Active:
		if a.cancel {
			e.cancelTracked(a.key)
		}
		e.waitFor(token)
	case tracker.Dropped:
		e.answer(token, answer{err: errDropped(a.key.ID)})
	default:
		e.startLookup(token, a)
	}
}

func (e *Entry) startLookup(token tracker.Token, a lookupRequested) {
	if e.catalog == nil {
		e.answer(token, answer{err: failure.New(failure.Unavailable, "retry later", "the entry has no configuration yet").WithRetryAfter(time.Second)})
		return
	}
	if l := e.lookups[a.key]; l != nil {
		l.waiters = append(l.waiters, lookupWaiter{token, a.cancel})
		return
	}
	l := &lookup{
		key: a.key, waiters: []lookupWaiter{{token, a.cancel}}, registrars: claim.Registrars(e.catalog.Entries, a.key),
		deadline: e.config.Now().Boot + lookupTimeout,
	}
	l.replies = make([]*wire.ClaimReply, len(l.registrars))
	e.lookups[a.key] = l
	for i, to := range l.registrars {
		if reply := e.sendClaim(claim.Send{To: to, Message: &wire.Claim{Key: a.key}}); reply != nil {
			l.replies[i] = reply
		}
	}
	e.checkLookup(l)
}

func (e *Entry) lookupAnswered(from wire.Claimant, reply *wire.ClaimReply) {
	l := e.lookups[reply.Key]
	if l == nil {
		return
	}
	for i, member := range l.registrars {
		if member.ID == from.EntryID {
			l.replies[i] = reply
		}
	}
	e.checkLookup(l)
}

// checkLookup finishes a look-up when all registrars have replied.
func (e *Entry) checkLookup(l *lookup) {
	if !slices.Contains(l.replies, nil) {
		e.finishLookup(l)
	}
}

// finishLookup queries the owner that most registrars name, if any.
func (e *Entry) finishLookup(l *lookup) {
	delete(e.lookups, l.key)
	var best *wire.ClaimReply
	bestCount, answered := 0, 0
	for _, reply := range l.replies {
		if reply == nil {
			continue
		}
		answered++
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
		if e.waiters[w.token] == nil {
			continue
		}
		switch {
		case best != nil && best.Owner != e.self:
			e.startQuery(w.token, best.Owner, best.Bound, w.cancel)
		case best == nil && answered < claim.Majority(len(l.registrars)):
			e.answer(w.token, answer{err: failure.New(failure.Unavailable, "retry later", "too few entries answered to find the job %q", l.key.ID).WithRetryAfter(time.Second)})
		default:
			e.answer(w.token, answer{err: errNotFound(l.key.ID)})
		}
	}
}
