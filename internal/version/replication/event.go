package replication

import "time"

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick tells the core that time has passed. Ticks should come at least every TickInterval.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message Message }

// Proposal is data that the caller wants in the log. Sequence identifies it in Entry.Proposal and
// in a Refusal; it must not repeat within a run.
type Proposal struct {
	Sequence uint64
	Data     []byte
}

// Propose hands over proposals, which are appended as one batch.
type Propose struct{ Proposals []Proposal }

// ChangeKind tells what a Change does.
type ChangeKind uint8

// The kinds of change.
const (
	// AddLearner adds Member as a learner that is promoted once it has caught up.
	AddLearner ChangeKind = iota + 1
	// RemoveMember removes the member with the name of Member.
	RemoveMember
	// ReplaceMember removes the member with the name of Member and adds the process with an empty
	// folder that asked to join under that name.
	ReplaceMember
)

// MembershipChange asks the leader for a membership change.
type MembershipChange struct {
	Sequence uint64
	Kind     ChangeKind
	Member   Member
}

// Synced confirms that all batches up to Sequence are durable.
type Synced struct{ Sequence uint64 }

// Snapshotted hands over the encoded state after the entry at Index, which must be applied.
type Snapshotted struct {
	Index uint64
	Data  []byte
}

// TransferLeadership asks a leader to hand its leadership to another voter.
type TransferLeadership struct{}

func (Tick) event()               {}
func (Received) event()           {}
func (Propose) event()            {}
func (MembershipChange) event()   {}
func (Synced) event()             {}
func (Snapshotted) event()        {}
func (TransferLeadership) event() {}

// PeersChanged replaces the processes that are asked for the group.
type PeersChanged struct{ Peers []Member }

func (PeersChanged) event() {}

// HardState is the state that a member must not forget.
type HardState struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Vote   Identity // the candidate that got this member's vote in Term
	Barred bool     // the folder is older than what it acknowledged; the member must not vote
}

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	_             struct{} `cbor:",toarray"`
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// Batch is what the caller makes durable before it reports Synced.
type Batch struct {
	Sequence uint64
	State    *HardState // nil if unchanged
	// Entries follow each other. They replace every stored entry from the first one's index on.
	Entries []Entry
	// Rewrite, if set, starts a new log behind this snapshot: State and Entries are then the
	// whole remaining content, and everything older may be deleted once they are durable.
	Rewrite *Snapshot
}

// Recovered is the durable state of a member at its start.
type Recovered struct {
	State    HardState
	Snapshot *Snapshot // nil if there is none
	Entries  []Entry   // contiguous; may begin at or before Snapshot.Index + 1
}

// Envelope is a message with its receiver.
type Envelope struct {
	To      Member
	Message Message
}

// Refusal reports a proposal or a change that this member does not pursue.
type Refusal struct {
	Sequence uint64
	// MayBeCommitted is true if the proposal may still be committed.
	MayBeCommitted bool
	Reason         string
}

// Accepted reports the index at which a membership change was appended.
type Accepted struct {
	Sequence uint64
	Index    uint64
}

// Output is what the caller carries out after a step.
type Output struct {
	Messages    []Envelope
	Persist     *Batch    // nil if nothing changed
	Restore     *Snapshot // replaces the state machine's state, before Committed is applied
	Committed   []Entry
	Refused     []Refusal
	Accepted    []Accepted
	RoleChanged bool // the role, the term, the leader or the configuration changed
}

// The timing of the protocol. Two election rounds fit inside the lease of 3 s.
const (
	// TickInterval is the longest useful time between ticks.
	TickInterval = 20 * time.Millisecond
	// HeartbeatInterval is the time between a leader's heartbeat rounds.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeoutMin and ElectionTimeoutMax bound the randomised election timeout.
	ElectionTimeoutMin = 400 * time.Millisecond
	ElectionTimeoutMax = 800 * time.Millisecond
	// firstElectionMin and firstElectionSpread bound the time until a member that starts asks for an
	// election. It is shorter than later timeouts: after a power loss all members start together and
	// everything waits for a leader, and a pre-vote disturbs no leader that works.
	firstElectionMin    = 20 * time.Millisecond
	firstElectionSpread = 130 * time.Millisecond
	// preVoteWindow is how long a pre-vote excludes others: long enough for the sync and the
	// vote requests of the candidate, and a fraction of the election timeout if it fails.
	preVoteWindow = 100 * time.Millisecond
	// preVoteRetrySpread is the random part of the wait before a pre-candidate asks again. A
	// a pre-vote disturbs no leader, so the wait is shorter than the election timeout.
	preVoteRetrySpread = 150 * time.Millisecond
	// quorumTimeout is how long a leader stays in office without hearing from a quorum.
	quorumTimeout = ElectionTimeoutMax
	// retryInterval is how long a leader waits for progress before it sends again. It is well
	// above a synced write, so that a slow disk rarely causes duplicates.
	retryInterval = 300 * time.Millisecond
	// joinInterval is the time between requests to join of a member without a group.
	joinInterval = 500 * time.Millisecond
	// joinValidity is how long a report of an empty folder counts when a group is formed.
	joinValidity = 4 * joinInterval
)

// The size limits of the protocol.
const (
	// MaxProposalBytes bounds the data of one entry.
	MaxProposalBytes = 256 << 10
	// maxAppendBytes is the size at which an Append is cut; one entry always fits.
	maxAppendBytes = 256 << 10
	// maxAppendEntries bounds the entries of one Append.
	maxAppendEntries = 1024
	// maxInflight bounds the unacknowledged Appends per member.
	maxInflight = 16
	// maxUncommittedEntries and maxUncommittedBytes bound what a leader accepts ahead of commits.
	maxUncommittedEntries = 8192
	maxUncommittedBytes   = 8 << 20
	// DefaultChunkBytes is the size of a snapshot chunk.
	DefaultChunkBytes = 64 << 10
	// MaxSnapshotBytes bounds a snapshot.
	MaxSnapshotBytes = 64 << 20
	// DefaultKeptEntries stay in the log behind a snapshot, so that a member that lags a little
	// catches up without the whole snapshot.
	DefaultKeptEntries = 500
	// roundHistory is the number of heartbeat rounds whose send time is known (6.4 s); an
	// acknowledgement of an older round renews no useful lease.
	roundHistory = 64
	// maxMembers bounds the group.
	maxMembers = 9
)
