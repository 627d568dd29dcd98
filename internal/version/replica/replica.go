package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/ring"
	"pollenpaddle/internal/version/replication"
	"pollenpaddle/internal/version/storage"
)

const (
	// requestQueueLimit is the maximum number of requests, including messages from other members, that wait
	// for the main goroutine.
	requestQueueLimit = 8192
	// unwrittenLimit is the number of batches waiting for the disk at which messages are dropped and
	// proposals rejected until the disk has caught up.
	unwrittenLimit = 4096
	// snapshotBytes is the total size of applied entries that triggers a snapshot before
	// Options.SnapshotEvery entries.
	snapshotBytes = 4 << 20
	// statusInterval is the maximum age of the published status.
	statusInterval = 100 * time.Millisecond
	// waiterSweepInterval is the time between two removals of waiters whose context has ended.
	waiterSweepInterval = time.Second
	// diskRetryInterval is the wait before a write is repeated on a full disk.
	diskRetryInterval = 500 * time.Millisecond
	// transferTimeout is the time after which Transfer returns even if this member is still the leader.
	transferTimeout = time.Second
)

// Replica is one member of the replicated log.
type Replica struct {
	options        Options
	store          *storage.Store
	core           *replication.Core
	requests       *ring.Queue[request]
	writes         *ring.Queue[[]replication.Batch] // to the writer goroutine, at most one list
	written        *ring.Queue[writeResult]         // from the writer goroutine
	publishedState atomic.Pointer[publishedState]

	// The fields below are only accessed by the main goroutine.
	lastProposal  uint64             // sequence number of the last proposal or membership change
	waiters       map[uint64]*waiter // by sequence number of the proposal or membership change
	transfers     []transferWaiter
	departures    []chan struct{} // closed when the process may end
	unwritten     []replication.Batch
	writing       bool
	snapshotIndex uint64
	appliedTerm   uint64 // term of the last applied entry; zero before the first one
	appliedBytes  int
	nextStatusAt  time.Duration
	nextSweepAt   time.Duration
	storageError  string
}

// publishedState is the state of the member that other goroutines can read.
type publishedState struct {
	basisIndex uint64
	basisAt    time.Duration
	hasBasis   bool
	committed  uint64
	leader     replication.Member
	status     Status
}

// request is an input of the main goroutine. Exactly one field is set.
type request struct {
	message          *replication.Message
	proposal         *waiter // the caller of Propose
	membershipChange *waiter // the caller of AddMember, RemoveMember or ReplaceMember
	transfer         chan struct{}
	departure        chan struct{}
	peers            []replication.Member
	connected        string // name of a member that can be reached now
}

// waiter is a caller that waits for a proposal or a membership change.
type waiter struct {
	ctx     context.Context
	data    []byte                       // of the proposal; nil for a membership change
	change  replication.MembershipChange // zero for a proposal
	term    uint64                       // term in which the core received it, the only one in which it can be committed
	outcome chan outcome                 // has capacity 1, so that the main goroutine never blocks
}

type outcome struct {
	index uint64
	err   error
}

type transferWaiter struct {
	done     chan struct{}
	deadline time.Duration
}

// writeResult reports the progress of the writer.
type writeResult struct {
	lastBatch uint64 // sequence number of the last synced batch; zero if none
	finished  bool   // the whole list is written
	err       error  // error of a write that will be retried
}

// Open opens the data folder and restores the state machine. Run closes the data folder when it
// returns; if Run is not called, call Close.
func Open(options Options) (*Replica, error) {
	files, err := storage.OpenFolder(options.Folder)
	if err != nil {
		return nil, failure.New(failure.Internal, "make the data folder readable and writable for the process", "cannot open data folder %s: %v", options.Folder, err)
	}
	return openFileSystem(files, options)
}

func openFileSystem(files storage.FileSystem, options Options) (*Replica, error) {
	if options.Now == nil {
		options.Now = clock.SinceBoot
	}
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = DefaultSnapshotEvery
	}
	address, allowed := options.Address, options.AutomaticMembership
	for _, p := range options.Peers {
		if p.Name == options.Name && address == "" {
			address = p.Address
		}
		allowed = allowed || p.Name == options.Name
	}
	if !allowed {
		return nil, failure.New(failure.InvalidArgument, "add this process to the list of control processes", "%q is not among the peers", options.Name)
	}
	store, recovered, err := storage.Open(files, newIdentity)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options:  options,
		store:    store,
		requests: ring.New[request](requestQueueLimit),
		writes:   ring.New[[]replication.Batch](1),
		written:  ring.New[writeResult](16),
		waiters:  map[uint64]*waiter{},
	}
	if s := recovered.Snapshot; s != nil {
		r.snapshotIndex = s.Index
		if err := options.StateMachine.Restore(s.Index, s.Data); err != nil {
			_ = store.Close()
			return nil, err
		}
	}
	r.core = replication.New(options.Now(), replication.Options{
		Identity: store.Identity(), Name: options.Name, Address: address, Peers: options.Peers, Incarnation: options.Incarnation, Seed: options.Seed,
		AutomaticMembership: options.AutomaticMembership, Size: options.Size, Bootstrap: options.Bootstrap,
	}, recovered)
	r.publish(options.Now(), true)
	return r, nil
}

// newIdentity returns a random identity for an empty data folder.
func newIdentity() replication.Identity {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails; see crypto/rand
	return replication.Identity(binary.LittleEndian.Uint64(b[:]) | 1)
}

// Close closes the data folder of a Replica on which Run was not called.
func (r *Replica) Close() error { return r.store.Close() }

// Run implements API. It closes the data folder when it returns.
func (r *Replica) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.runWriter(ctx) })
	group.Go(func() error {
		defer r.stop()
		return r.runMain(ctx)
	})
	err := group.Wait()
	if closeErr := r.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

// runMain is the main goroutine.
func (r *Replica) runMain(ctx context.Context) error {
	ticker := time.NewTicker(replication.TickInterval)
	defer ticker.Stop()
	var requests []request
	var results []writeResult
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := r.tick(); err != nil {
				return err
			}
		case <-r.requests.Ready():
			requests, _ = r.requests.Drain(requests)
			if err := r.handleRequests(requests); err != nil {
				return err
			}
			clear(requests)
		case <-r.written.Ready():
			results, _ = r.written.Drain(results)
			for _, w := range results {
				if err := r.handleWriteResult(w); err != nil {
					return err
				}
			}
		}
	}
}

func (r *Replica) tick() error {
	now := r.options.Now()
	if err := r.step(replication.Tick{}); err != nil {
		return err
	}
	if now >= r.nextSweepAt {
		r.nextSweepAt = now + waiterSweepInterval
		for sequence, w := range r.waiters {
			if w.ctx.Err() != nil {
				delete(r.waiters, sequence)
			}
		}
	}
	r.completeTransfers(now)
	r.completeDepartures()
	return nil
}

// handleRequests handles the requests that were queued together. Their proposals are appended
// together.
func (r *Replica) handleRequests(requests []request) error {
	for _, q := range requests {
		if err := r.handleRequest(q); err != nil {
			return err
		}
	}
	var proposals []replication.Proposal
	for _, q := range requests {
		if q.proposal != nil {
			r.addWaiter(q.proposal)
			proposals = append(proposals, replication.Proposal{Sequence: r.lastProposal, Data: q.proposal.data})
		}
	}
	if len(proposals) == 0 {
		return nil
	}
	if len(r.unwritten) >= unwrittenLimit {
		for _, p := range proposals {
			r.reject(replication.Rejection{Sequence: p.Sequence, Reason: "too many writes wait for the disk"})
		}
		return nil
	}
	return r.step(replication.Propose{Proposals: proposals})
}

// addWaiter registers a waiter under the next sequence number, r.lastProposal.
func (r *Replica) addWaiter(w *waiter) {
	r.lastProposal++
	w.term = r.core.Term()
	r.waiters[r.lastProposal] = w
}

func (r *Replica) handleRequest(q request) error {
	switch {
	case q.message != nil:
		if len(r.unwritten) >= unwrittenLimit {
			return nil
		}
		return r.step(replication.Received{Message: *q.message})
	case q.membershipChange != nil:
		r.addWaiter(q.membershipChange)
		change := q.membershipChange.change
		change.Sequence = r.lastProposal
		return r.step(change)
	case q.connected != "":
		return r.step(replication.MemberConnected{Name: q.connected})
	case q.peers != nil:
		return r.step(replication.PeersChanged{Peers: q.peers})
	case q.transfer != nil:
		r.transfers = append(r.transfers, transferWaiter{done: q.transfer, deadline: r.options.Now() + transferTimeout})
		if err := r.step(replication.TransferLeadership{}); err != nil {
			return err
		}
		r.completeTransfers(r.options.Now())
	case q.departure != nil:
		r.departures = append(r.departures, q.departure)
		if err := r.step(replication.Depart{}); err != nil {
			return err
		}
		r.completeDepartures()
	}
	return nil
}

// step passes an event to the core and executes the output. The basis is published after the entries
// that it includes have been applied.
func (r *Replica) step(event replication.Event) error {
	now := r.options.Now()
	out := r.core.Step(now, event)
	for _, e := range out.Messages {
		r.options.Transport.Send(e.To, e.Message)
	}
	if out.Persist != nil {
		r.unwritten = append(r.unwritten, *out.Persist)
		r.startWrite()
	}
	for _, rejection := range out.Rejected {
		r.reject(rejection)
	}
	if err := r.apply(out); err != nil {
		return err
	}
	r.publish(now, out.RoleChanged)
	if r.storageError != "" && r.core.Status().Role != replication.Leader {
		r.abandonWaiters("this member cannot write to its data folder and does not lead the group") // it does not learn of commits
	}
	if out.RoleChanged && r.options.OnRoleChange != nil {
		r.options.OnRoleChange(r.Status())
	}
	return nil
}

func (r *Replica) apply(out replication.Output) error {
	if s := out.Restore; s != nil {
		if err := r.options.StateMachine.Restore(s.Index, s.Data); err != nil {
			return err
		}
		r.snapshotIndex, r.appliedBytes = s.Index, 0
		// The snapshot may include forwarded proposals, whose entries will not be applied here.
		r.abandonWaiters("this member fell behind and was restored from a newer snapshot")
	}
	last := uint64(0)
	for i := range out.Committed {
		e := &out.Committed[i]
		last = e.Index
		if e.Kind == replication.EntryCommand {
			r.options.StateMachine.Apply(e.Index, e.Data)
			r.appliedBytes += len(e.Data)
		}
		r.completeWaiter(e)
		r.rejectSuperseded(e)
	}
	if last == 0 || last-r.snapshotIndex < r.options.SnapshotEvery && r.appliedBytes < snapshotBytes {
		return nil
	}
	data, err := r.options.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	r.snapshotIndex, r.appliedBytes = last, 0
	return r.step(replication.Snapshotted{Index: last, Data: data})
}

// abandonWaiters returns an unknown outcome to all waiting callers.
func (r *Replica) abandonWaiters(reason string) {
	for sequence, w := range r.waiters {
		delete(r.waiters, sequence)
		w.outcome <- outcome{err: unknownOutcome(reason)}
	}
}

// completeWaiter returns the index of the entry to the caller whose proposal or membership change it
// contains.
func (r *Replica) completeWaiter(e *replication.Entry) {
	if e.Proposal.Origin != r.store.Identity() || e.Proposal.Run != r.options.Incarnation {
		return
	}
	if w, ok := r.waiters[e.Proposal.Sequence]; ok {
		delete(r.waiters, e.Proposal.Sequence)
		w.outcome <- outcome{index: e.Index}
	}
}

// rejectSuperseded returns an error to the callers whose proposals belong to an earlier term than a committed entry.
// The terms in the log never decrease, so that entries of earlier terms that precede it have been applied, and others
// will never be committed. Without it, callers whose forwarded proposals were lost with a leader wait for their timeout.
func (r *Replica) rejectSuperseded(e *replication.Entry) {
	if e.Term <= r.appliedTerm {
		return
	}
	r.appliedTerm = e.Term
	for sequence, w := range r.waiters {
		if w.term < e.Term {
			r.reject(replication.Rejection{Sequence: sequence, Reason: "the leader was replaced before the change was committed"})
		}
	}
}

// reject returns an error to the caller whose proposal or membership change was rejected or has an
// outcome that the core cannot determine.
func (r *Replica) reject(rejection replication.Rejection) {
	w, ok := r.waiters[rejection.Sequence]
	if !ok {
		return
	}
	delete(r.waiters, rejection.Sequence)
	if rejection.MayBeCommitted {
		w.outcome <- outcome{err: unknownOutcome(rejection.Reason)}
		return
	}
	if rejection.Conflict {
		w.outcome <- outcome{err: failure.New(failure.RevisionConflict, "read GET /v1/members again, check that the change is still wanted, and send it with the new revision",
			"the group of control members was not changed: %s", rejection.Reason)}
		return
	}
	if w.data == nil {
		w.outcome <- outcome{err: failure.New(failure.Unavailable, "compare the command with the members listed by GET /v1/members, correct it and repeat it",
			"the group of control members was not changed: %s", rejection.Reason).WithRetryAfter(retryAfter)}
		return
	}
	w.outcome <- outcome{err: r.notAppended(rejection.Reason)}
}

// stop closes the queues and returns an error to all waiting callers.
func (r *Replica) stop() {
	r.requests.Close()
	r.writes.Close()
	r.written.Close()
	requests, _ := r.requests.Drain(nil)
	for _, q := range requests {
		for _, w := range []*waiter{q.proposal, q.membershipChange} {
			if w != nil {
				w.outcome <- outcome{err: r.notAppended("the process is stopping")}
			}
		}
		if q.transfer != nil {
			close(q.transfer)
		}
	}
	for _, w := range r.waiters {
		w.outcome <- outcome{err: unknownOutcome("the process is stopping")}
	}
	for _, t := range r.transfers {
		close(t.done)
	}
}
