// Package replica runs one member of the replicated log: it joins the consensus core of package
// replication with the files of package storage, a transport and a state machine.
//
// Order of a read under a lease: call Basis first and read the state machine afterwards. The
// state then includes every change that was accepted before the basis.
package replica

import (
	"context"
	"time"

	"pollenpaddle/internal/version/replication"
)

// Transport sends messages to other members. Implementations must not block: a message that
// cannot be queued is dropped, and the core sends again. Messages to one member should arrive in
// order; the core tolerates loss, duplicates and reordering.
type Transport interface {
	// Send queues a message for the process of the given member. Name and Address are set;
	// Identity is zero while the member's identity is not known.
	Send(to replication.Member, message replication.Message)
}

// StateMachine is driven by committed entries. All calls come from one thread, in log order.
type StateMachine interface {
	// Apply applies the data of one committed command.
	Apply(index uint64, data []byte)
	// Snapshot returns the encoded state after all entries applied so far.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot, at start or when the member lagged too far.
	Restore(index uint64, snapshot []byte) error
}

// Options are the settings of a member.
type Options struct {
	Folder string // data folder; created if missing
	Name   string // this process's name; must appear in Peers
	// Peers are the names and addresses of all control processes, from the settings. They are
	// used to form the group at the first start: once every peer has reported an empty folder,
	// the peer with the lowest name forms the group. Identities are left zero.
	Peers []replication.Member
	// Address is where this process accepts sessions; empty stands for its address in Peers.
	Address string
	// AutomaticMembership, Size and MayForm let the group change without commands; see replication.Options.
	// This process need not be among Peers then.
	AutomaticMembership bool
	Size                int
	Bootstrap           bool

	Seed        uint64 // seeds the election timeouts; must differ between members
	Incarnation uint64 // must differ after every restart; the process's incarnation serves

	Transport    Transport
	StateMachine StateMachine

	// Now is the clock; nil stands for clock.Boot.
	Now func() time.Duration
	// OnRoleChange is called, if set, from the member's thread after a change of role, leader or
	// membership.
	OnRoleChange func(Status)
	// OnError is called, if set, when storage reports a fault that is being retried.
	OnError func(error)

	SnapshotEvery uint64 // entries between snapshots; zero stands for DefaultSnapshotEvery
}

// DefaultSnapshotEvery bounds the entries that a restart replays and that memory holds.
const DefaultSnapshotEvery = 1000

// Basis is the time at which Index was known to be the newest accepted entry.
type Basis struct {
	Index uint64
	Age   time.Duration
}

// MemberStatus is a member as seen by this process.
type MemberStatus struct {
	replication.Member
	Match      uint64               // leader only: newest entry that the member has synced
	Heard      time.Duration        // leader only: time since its last message; negative if never
	Barred     bool                 // leader only: its folder is older than what it acknowledged
	ReplacedBy replication.Identity // identity that now runs under this name, zero if the same
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
	Synced   uint64 // newest entry that is synced on the own disk
	Members  []MemberStatus
	Joining  []replication.Member // processes with an empty folder that asked to join
	Storage  string               // last storage fault, empty if none
	// OtherGroup is set while this member's folder is empty although its peers form a group: it
	// joins only by the command ReplaceMember, or AddMember for a new name.
	OtherGroup uint64
}

// API is what other packages use of a Replica.
type API interface {
	// Run drives the member until the context ends or storage fails for good.
	Run(ctx context.Context) error
	// Receive hands over a message from another member. It reports false when the queue is full
	// and the message was dropped.
	Receive(message replication.Message) bool
	// Propose replicates data and returns its index once it is committed and applied here. A
	// follower forwards to the leader. Unavailable: nothing was appended. MayHaveRun: the outcome
	// is unknown; the same change may be proposed again if its data carries an idempotency id.
	Propose(ctx context.Context, data []byte) (index uint64, err error)
	// Basis returns the lease basis; false while there is none. The entries up to Basis.Index
	// have been applied here.
	Basis() (Basis, bool)
	// Leader returns the current leader; false while it is not known.
	Leader() (replication.Member, bool)
	// SetPeers replaces the processes that are asked for the group.
	SetPeers(peers []replication.Member)
	// Status returns a consistent copy of the member's state.
	Status() Status
	// AddMember adds a process as a learner that is promoted once it has caught up.
	AddMember(ctx context.Context, member replication.Member) error
	// RemoveMember removes the member with the given name.
	RemoveMember(ctx context.Context, name string) error
	// ReplaceMember removes the member with the given name and adds, as a learner that is
	// promoted once caught up, the process that now runs under that name with a new folder.
	ReplaceMember(ctx context.Context, name string) error
	// Transfer hands leadership to the most advanced voter; a no-op on a follower. Call it at
	// shutdown, before the context of Run ends.
	Transfer(ctx context.Context) error
}
