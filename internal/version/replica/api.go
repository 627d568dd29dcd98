// Package replica runs one member of the replicated log: it connects the consensus core of package
// replication with the files of package storage, a transport and a state machine.
//
// To grant a configuration lease or to read a state that is at least as new as a basis, call Basis first
// and read the state machine afterwards. The state then includes every log entry that was committed
// before the time of the basis.
package replica

import (
	"context"
	"time"

	"pollenpaddle/internal/version/replication"
)

// Transport sends messages to other members. Implementations must not block: they drop messages that
// cannot be queued, and the core retransmits. Messages to one member should arrive in order; the core
// tolerates loss, duplicates and reordering.
type Transport interface {
	// Send queues a message for the process of the given member. Name and Address are set; Identity is
	// zero if it is not known.
	Send(to replication.Member, message replication.Message)
}

// StateMachine applies committed entries. All calls come from one goroutine, in log order.
type StateMachine interface {
	// Apply applies the data of one committed command.
	Apply(index uint64, data []byte)
	// Snapshot returns the encoded state after all entries applied so far.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot, at startup or when the member has fallen too far behind.
	Restore(index uint64, snapshot []byte) error
}

// Options are the settings of a member.
type Options struct {
	Folder string // data folder; created if missing
	Name   string // name of this process; must appear in Peers unless AutomaticMembership is set
	// Peers are the names and addresses of all control processes, from the settings. They are used to
	// form the group at the first start: once every peer has reported an empty data folder, the
	// peer whose name sorts first forms the group. Identities are left zero.
	Peers []replication.Member
	// Address is where this process accepts sessions. The default is its address in Peers.
	Address string
	// AutomaticMembership, Size and Bootstrap control membership changes without commands; see
	// replication.Options. With AutomaticMembership, this process need not be among Peers.
	AutomaticMembership bool
	Size                int
	Bootstrap           bool

	Seed        uint64 // seed of the election timeouts; must differ between members
	Incarnation uint64 // must differ after every restart

	Transport    Transport
	StateMachine StateMachine

	// Now is the clock. The default is clock.SinceBoot.
	Now func() time.Duration
	// OnRoleChange is called, if set, from the main goroutine after a change of role, term,
	// leader or membership.
	OnRoleChange func(Status)
	// OnError is called, if set, when a write fails and will be retried.
	OnError func(error)

	SnapshotEvery uint64 // log entries between snapshots; the default is DefaultSnapshotEvery
}

// DefaultSnapshotEvery limits the log entries that are replayed at a restart and kept in memory.
const DefaultSnapshotEvery = 1000

// Basis states that Age ago no log entry after Index had been committed. A configuration lease that is
// granted with this basis starts at that time or earlier (see package lease).
type Basis struct {
	Index uint64
	Age   time.Duration
}

// MemberStatus describes a member as seen by this process.
type MemberStatus struct {
	replication.Member
	Match      uint64               // leader only: last entry that the member has synced
	Heard      time.Duration        // leader only: time since its last message; negative if never
	Barred     bool                 // leader only: its data folder lacks entries that it has acknowledged
	ReplacedBy replication.Identity // identity of a new process with this name; zero if there is none
}

// Status describes the member for dumps and metrics.
type Status struct {
	Identity replication.Identity
	Name     string
	Group    uint64
	Role     string // joining, learner, follower, candidate, leader, barred
	Term     uint64
	Leader   replication.Member // zero if unknown
	Commit   uint64
	Applied  uint64
	First    uint64 // first entry that is still in the log
	Last     uint64
	Synced   uint64 // last entry that is synced to the local disk
	Members  []MemberStatus
	Joining  []replication.Member // processes with an empty data folder that asked to join
	Storage  string               // error of the latest write; empty if it succeeded
	// OtherGroup is the group of the peers if they already form one while this member's data folder is
	// empty. The member then joins only by ReplaceMember, or by AddMember under a new name.
	OtherGroup uint64
}

// API is the interface of a Replica for other packages.
type API interface {
	// Run runs the member until the context ends or storage fails permanently.
	Run(ctx context.Context) error
	// Receive queues a message from another member. It returns false if the queue is full or closed and
	// the message was dropped.
	Receive(message replication.Message) bool
	// MemberConnected reports that messages to the named member are delivered from now on. If the queue is full,
	// an election in progress repeats its requests only at its next attempt.
	MemberConnected(name string)
	// Propose replicates data and returns its index once it is committed and applied here. A follower
	// forwards it to the leader. An error of kind Unavailable means that nothing was appended; MayHaveRun
	// means that the outcome is unknown: the same data may be resent if it is idempotent or
	// contains a change id.
	Propose(ctx context.Context, data []byte) (index uint64, err error)
	// Basis returns the current basis; false if there is none. The entries up to Basis.Index have been
	// applied here.
	Basis() (Basis, bool)
	// Leader returns the current leader; false if it is not known.
	Leader() (replication.Member, bool)
	// SetPeers replaces Options.Peers.
	SetPeers(peers []replication.Member)
	// Committed returns the index of the last entry that this member knows to be committed.
	Committed() uint64
	// Status returns a consistent copy of the member's state.
	Status() Status
	// AddMember adds a process as a learner, which is promoted to voter once it has caught up. It returns a
	// RevisionConflict if the members have changed after expected, an index that Committed has returned;
	// zero stands for any index. RemoveMember and ReplaceMember do the same.
	AddMember(ctx context.Context, expected uint64, member replication.Member) error
	// RemoveMember removes the member with the given name.
	RemoveMember(ctx context.Context, expected uint64, name string) error
	// ReplaceMember removes the member with the given name and adds, as a learner, the process that now
	// runs under that name with a new data folder. The learner is promoted to voter once it has caught up.
	ReplaceMember(ctx context.Context, expected uint64, name string) error
	// Transfer transfers leadership to the most up-to-date voter; it has no effect on a follower. A nil
	// error does not mean that leadership has moved. Call it at shutdown, before the context of Run ends.
	Transfer(ctx context.Context) error
	// Depart announces that the process is about to end and returns when it may: in a group with automatic membership,
	// when a waiting process has taken the place of this member, or if there is none. Call it at shutdown after Transfer,
	// before the context of Run ends.
	Depart(ctx context.Context) error
}
