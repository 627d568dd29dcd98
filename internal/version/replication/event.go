package replication

import "time"

// Event is an input of Core.Step.
type Event interface{ event() }

// Tick tells the core that time has passed. The caller sends one at least every TickInterval.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message Message }

// Proposal is data to append to the log. Sequence identifies it in Entry.Proposal and in a Rejection;
// it must not repeat within an incarnation of the process.
type Proposal struct {
	Sequence uint64
	Data     []byte
}

// Propose submits proposals. Each is appended, forwarded to the leader or rejected on its own.
type Propose struct{ Proposals []Proposal }

// ChangeKind selects what a MembershipChange does.
type ChangeKind uint8

// The kinds of membership change.
const (
	// AddLearner adds Member as a learner that is promoted once it has caught up.
	AddLearner ChangeKind = iota + 1
	// RemoveMember removes the member named Member.Name.
	RemoveMember
	// ReplaceMember removes the member named Member.Name and adds the process with a new data folder
	// that requested to join under that name.
	ReplaceMember
)

// MembershipChange changes the membership if this member is the leader; any other member rejects it.
// Sequence has the same meaning as in Proposal. Expected is the index of the last entry that was known
// to be committed when the change was requested: if the membership has changed after it, the change is
// rejected. Zero stands for any index.
type MembershipChange struct {
	Sequence uint64
	Expected uint64
	Kind     ChangeKind
	Member   Member
}

// Synced confirms that all batches up to Sequence are durable.
type Synced struct{ Sequence uint64 }

// Snapshotted provides the encoded state of the state machine after the entry at Index. The entry must
// have been applied.
type Snapshotted struct {
	Index uint64
	Data  []byte
}

// TransferLeadership asks a leader to transfer its leadership to another voter.
type TransferLeadership struct{}

// Depart tells the core that the process is about to end. Departed reports when it may.
type Depart struct{}

// StorageChanged tells the core whether writes fail and are retried, as on a full disk. Such a member starts no
// election, rejects proposals that it would forward, and as the leader it hands leadership over.
// Batches are retried until they are durable, so the opposite event follows once there is space.
type StorageChanged struct{ Failing bool }

// MemberConnected tells the core that messages to the named member are delivered from now on. Requests for its vote
// that were sent earlier may be lost, so an election in progress repeats them.
type MemberConnected struct{ Name string }

func (MemberConnected) event()    {}
func (StorageChanged) event()     {}
func (Tick) event()               {}
func (Received) event()           {}
func (Propose) event()            {}
func (MembershipChange) event()   {}
func (Synced) event()             {}
func (Snapshotted) event()        {}
func (TransferLeadership) event() {}
func (Depart) event()             {}

// PeersChanged replaces Options.Peers.
type PeersChanged struct{ Peers []Member }

func (PeersChanged) event() {}

// HardState is the state that must survive a restart, besides the log.
type HardState struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Vote   Identity // the candidate that got this member's vote in Term
	Barred bool     // the data folder is older than state that it has acknowledged; the member must not vote
}

// Snapshot is the state of the state machine after the entry at Index.
type Snapshot struct {
	_             struct{} `cbor:",toarray"`
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// Batch is what the caller makes durable before it sends Synced.
type Batch struct {
	Sequence uint64
	State    *HardState // nil if unchanged
	// Entries are contiguous. They replace every stored entry from the first one's index on.
	Entries []Entry
	// Rewrite, if set, starts a new log after this snapshot: the hard state and the entries of the batch
	// are then its whole content, and everything older may be deleted once they are durable.
	Rewrite *Snapshot
}

// Recovered is the durable state of a member when it starts.
type Recovered struct {
	State    HardState
	Snapshot *Snapshot // nil if there is none
	Entries  []Entry   // contiguous; may begin at or before Snapshot.Index + 1
}

// Envelope is a message and its receiver.
type Envelope struct {
	To      Member
	Message Message
}

// Rejection reports a rejected proposal or membership change.
type Rejection struct {
	Sequence uint64
	// MayBeCommitted is true if the outcome is unknown: the proposal may still be committed.
	MayBeCommitted bool
	// Conflict is true if the membership has changed after MembershipChange.Expected.
	Conflict bool
	Reason   string
}

// AppendedChange reports the index at which a membership change was appended.
type AppendedChange struct {
	Sequence uint64
	Index    uint64
}

// Output is what the caller carries out after a Step.
type Output struct {
	Messages        []Envelope
	Persist         *Batch    // nil if nothing changed
	Restore         *Snapshot // replaces the state machine's state, before Committed is applied
	Committed       []Entry
	Rejected        []Rejection
	AppendedChanges []AppendedChange
	RoleChanged     bool // the role, the term, the leader or the configuration changed
}

// The timing of the protocol. Two rounds of elections fit into lease.Duration (3 s), for which entry
// and agent processes continue without a renewal of their configuration lease.
const (
	// TickInterval is the maximum time between ticks.
	TickInterval = 20 * time.Millisecond
	// HeartbeatInterval is the time between a leader's heartbeat rounds.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeoutMin and ElectionTimeoutMax bound the randomised election timeout.
	ElectionTimeoutMin = 400 * time.Millisecond
	ElectionTimeoutMax = 800 * time.Millisecond
	// firstElectionMin and firstElectionSpread bound the time from the start of a member to its
	// first election. It is shorter than later timeouts, because after a power loss all members
	// start together and everything waits for a leader. A pre-vote does not disturb a working
	// leader.
	firstElectionMin    = 20 * time.Millisecond
	firstElectionSpread = 130 * time.Millisecond
	// preVoteWindow is the time for which a member supports only one pre-candidate. It is long
	// enough for the sync and the vote requests of the candidate, and much shorter than the election
	// timeout, so that this member can soon support another pre-candidate if the first one fails.
	preVoteWindow = 100 * time.Millisecond
	// preVoteRetrySpread is the random part of the wait before a pre-candidate repeats its requests. The
	// wait is shorter than the election timeout, because a pre-vote does not disturb a working leader.
	preVoteRetrySpread = 150 * time.Millisecond
	// quorumTimeout is the time without messages from a quorum after which a leader steps down.
	quorumTimeout = ElectionTimeoutMax
	// retryInterval is the time without progress after which a leader resends. It is well above the time
	// of a synced write, so that a slow disk rarely causes duplicates.
	retryInterval = 300 * time.Millisecond
	// handOverInterval is the time between two attempts of a leader whose writes fail to hand leadership over. It
	// rejects proposals during an attempt, for at most ElectionTimeoutMax.
	handOverInterval = 3 * time.Second
	// joinInterval is the time between the join requests of a process.
	joinInterval = 500 * time.Millisecond
	// joinValidity is the time for which a join request is valid.
	joinValidity = 4 * joinInterval
)

// The size limits of the protocol.
const (
	// MaxProposalBytes bounds the data of one entry.
	MaxProposalBytes = 256 << 10
	// maxAppendBytes is the limit on the entry data of one Append; the first entry is included even if it
	// is larger.
	maxAppendBytes = 256 << 10
	// maxAppendEntries bounds the entries of one Append.
	maxAppendEntries = 1024
	// maxInflight bounds the unacknowledged Appends per member.
	maxInflight = 16
	// A leader rejects proposals while it has at least maxUncommittedEntries or maxUncommittedBytes of
	// uncommitted entries.
	maxUncommittedEntries = 8192
	maxUncommittedBytes   = 8 << 20
	// DefaultChunkBytes is the size of a snapshot chunk.
	DefaultChunkBytes = 64 << 10
	// MaxSnapshotBytes bounds a snapshot.
	MaxSnapshotBytes = 64 << 20
	// DefaultKeptEntries is the number of entries that remain in the log after a snapshot covers them, so
	// that a member that lags only a few entries catches up without the snapshot.
	DefaultKeptEntries = 500
	// roundHistory is the number of heartbeat rounds whose send time is kept (6.4 s). A basis from an
	// older round would be too old for the leases of entry and agent processes.
	roundHistory = 64
	// maxMembers bounds the number of members of a group.
	maxMembers = 9
)
