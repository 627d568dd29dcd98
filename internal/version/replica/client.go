package replica

import (
	"context"
	"time"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/replication"
)

// retryAfter is the retry delay suggested to callers while there is no leader: an election takes about
// this long.
const retryAfter = time.Second

var _ API = (*Replica)(nil)

func unknownOutcome(reason string) error {
	return failure.New(failure.MayHaveRun, "resend the same change, with the same change id if it has one", "the outcome of the change is not known: %s", reason).WithRetryAfter(retryAfter)
}

func (r *Replica) notAppended(reason string) error {
	if leader, ok := r.Leader(); ok {
		reason += " (the leader is " + leader.Name + ")"
	}
	return failure.New(failure.Unavailable, "retry; if the error persists, make sure that a majority of the control members is running and connected", "the request was not carried out: %s", reason).WithRetryAfter(retryAfter)
}

// Receive implements API.
func (r *Replica) Receive(message replication.Message) bool {
	return r.requests.TryPush(request{message: &message})
}

// MemberConnected implements API.
func (r *Replica) MemberConnected(name string) {
	r.requests.TryPush(request{connected: name})
}

// SetPeers implements API. An empty list is ignored.
func (r *Replica) SetPeers(peers []replication.Member) {
	if len(peers) > 0 {
		r.requests.Push(request{peers: peers})
	}
}

// Propose implements API.
func (r *Replica) Propose(ctx context.Context, data []byte) (uint64, error) {
	w := &waiter{ctx: ctx, data: data, outcome: make(chan outcome, 1)}
	return r.await(request{proposal: w}, w)
}

// await queues a request and waits for its outcome.
func (r *Replica) await(q request, w *waiter) (uint64, error) {
	if !r.requests.TryPush(q) {
		return 0, r.notAppended("too many requests are queued, or the process is stopping")
	}
	select {
	case out := <-w.outcome:
		return out.index, out.err
	case <-w.ctx.Done():
		return 0, unknownOutcome(w.ctx.Err().Error())
	}
}

// Basis implements API.
func (r *Replica) Basis() (Basis, bool) {
	v := r.publishedState.Load()
	now := r.options.Now()
	if !v.hasBasis || now < v.basisAt {
		return Basis{}, false
	}
	return Basis{Index: v.basisIndex, Age: now - v.basisAt}, true
}

// Leader implements API.
func (r *Replica) Leader() (replication.Member, bool) {
	leader := r.publishedState.Load().leader
	return leader, leader.Identity != replication.NoIdentity
}

// Committed implements API.
func (r *Replica) Committed() uint64 { return r.publishedState.Load().committed }

// Status implements API. It is at most 100 ms old.
func (r *Replica) Status() Status { return r.publishedState.Load().status }

// Identity returns the identity of the data folder.
func (r *Replica) Identity() replication.Identity { return r.store.Identity() }

func (r *Replica) changeMembership(ctx context.Context, expected uint64, kind replication.ChangeKind, member replication.Member) error {
	w := &waiter{ctx: ctx, change: replication.MembershipChange{Expected: expected, Kind: kind, Member: member}, outcome: make(chan outcome, 1)}
	_, err := r.await(request{membershipChange: w}, w)
	return err
}

// AddMember implements API. It must be called on the leader.
func (r *Replica) AddMember(ctx context.Context, expected uint64, member replication.Member) error {
	return r.changeMembership(ctx, expected, replication.AddLearner, member)
}

// RemoveMember implements API. It must be called on the leader.
func (r *Replica) RemoveMember(ctx context.Context, expected uint64, name string) error {
	return r.changeMembership(ctx, expected, replication.RemoveMember, replication.Member{Name: name})
}

// ReplaceMember implements API. It must be called on the leader.
func (r *Replica) ReplaceMember(ctx context.Context, expected uint64, name string) error {
	return r.changeMembership(ctx, expected, replication.ReplaceMember, replication.Member{Name: name})
}

// Transfer implements API. It returns nil once this member is no longer the leader, after
// transferTimeout, or when the member stops.
func (r *Replica) Transfer(ctx context.Context) error {
	done := make(chan struct{})
	return r.awaitDone(ctx, request{transfer: done}, done)
}

// awaitDone queues a request and waits until done is closed.
func (r *Replica) awaitDone(ctx context.Context, q request, done <-chan struct{}) error {
	if !r.requests.TryPush(q) {
		return r.notAppended("too many requests are queued, or the process is stopping")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Depart implements API.
func (r *Replica) Depart(ctx context.Context) error {
	done := make(chan struct{})
	return r.awaitDone(ctx, request{departure: done}, done)
}

// completeDepartures completes the calls of Depart once the process may end.
func (r *Replica) completeDepartures() {
	if !r.core.Departed() {
		return
	}
	for _, done := range r.departures {
		close(done)
	}
	r.departures = nil
}

// completeTransfers completes the calls of Transfer once this member is not the leader or their
// deadline has passed.
func (r *Replica) completeTransfers(now time.Duration) {
	if len(r.transfers) == 0 {
		return
	}
	leads := r.core.Status().Role == replication.Leader
	waiting := r.transfers[:0]
	for _, t := range r.transfers {
		if leads && now < t.deadline {
			waiting = append(waiting, t)
			continue
		}
		close(t.done)
	}
	r.transfers = waiting
}

// publish makes the basis visible to other goroutines, and the status if it has changed or is older
// than statusInterval.
func (r *Replica) publish(now time.Duration, changed bool) {
	next := publishedState{}
	if old := r.publishedState.Load(); old != nil {
		next = *old
	}
	index, age, ok := r.core.Basis(now)
	next.basisIndex, next.basisAt, next.hasBasis = index, now-age, ok
	next.committed = r.core.Committed()
	if changed || now >= r.nextStatusAt {
		r.nextStatusAt = now + statusInterval
		next.status = r.status()
		next.leader = next.status.Leader
	}
	r.publishedState.Store(&next)
}

func (r *Replica) status() Status {
	c := r.core.Status()
	s := Status{
		Identity: r.store.Identity(), Name: r.options.Name, Group: c.Configuration.Group, Role: roleName(c, r.store.Identity()),
		Term: c.Term, Commit: c.Commit, Applied: c.Applied, First: c.First, Last: c.Last, Synced: c.Synced,
		Joining: c.Joining, Storage: r.storageError,
	}
	if s.Group == 0 {
		s.OtherGroup = c.OtherGroup
	}
	s.Leader, _ = c.Configuration.Find(c.Leader)
	for i, m := range c.Configuration.Members {
		member := MemberStatus{Member: m, Heard: -1}
		if c.Progress != nil {
			member.Match, member.Heard, member.Barred = c.Progress[i].Match, c.Progress[i].Heard, c.Progress[i].Barred
		}
		for _, j := range c.Joining {
			if j.Name == m.Name && j.Identity != m.Identity {
				member.ReplacedBy = j.Identity
			}
		}
		s.Members = append(s.Members, member)
	}
	return s
}

// roleName returns the role as it appears in Status.
func roleName(s replication.Status, self replication.Identity) string {
	switch {
	case s.Configuration.Group == 0:
		return "joining"
	case s.Barred:
		return "barred"
	case s.Role == replication.Leader:
		return "leader"
	case s.Role != replication.Follower:
		return "candidate"
	case !s.Configuration.IsVoter(self):
		return "learner"
	}
	return "follower"
}
