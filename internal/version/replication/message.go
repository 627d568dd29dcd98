package replication

import (
	"strconv"
	"time"
)

// Identity identifies one data folder. It is chosen at random when the folder is created, so a member
// whose data folder was replaced has a new identity, and the vote of the old one is void.
type Identity uint64

// NoIdentity is the zero Identity; no member has it.
const NoIdentity Identity = 0

// String returns the identity as 16 hexadecimal digits, the form used in commands and dumps.
func (i Identity) String() string {
	s := strconv.FormatUint(uint64(i), 16)
	return "0000000000000000"[len(s):] + s
}

// ParseIdentity parses the form that String returns.
func ParseIdentity(s string) (Identity, error) {
	v, err := strconv.ParseUint(s, 16, 64)
	return Identity(v), err
}

// Member is one member of the group.
type Member struct {
	_        struct{} `cbor:",toarray"`
	Identity Identity
	Name     string // stable name of the process, from its settings
	Address  string // where the process accepts sessions
	Voter    bool   // false for a learner, which receives the log and has no vote
	Promote  bool   // the leader promotes this learner to a voter once it has caught up
}

// Configuration is the membership of the group, not the catalog, which package wire calls the
// configuration. Members are sorted by identity.
type Configuration struct {
	_       struct{} `cbor:",toarray"`
	Group   uint64   // chosen at random when the group is formed; members of different groups ignore each other
	Members []Member
}

// EntryKind is the kind of content of an entry.
type EntryKind uint8

// The kinds of entry.
const (
	// EntryCommand holds data for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop is the first entry of a leader's term.
	EntryNoop
	// EntryConfiguration holds an encoded Configuration. It takes effect when it is appended.
	EntryConfiguration
)

// ProposalID identifies a proposal, so that its origin recognises the committed entry.
type ProposalID struct {
	_        struct{} `cbor:",toarray"`
	Origin   Identity
	Run      uint64 // the origin's incarnation (Options.Incarnation); differs after every restart
	Sequence uint64
}

// Entry is one entry of the replicated log, not an entry process.
type Entry struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Index    uint64
	Kind     EntryKind
	Proposal ProposalID
	Data     []byte
}

// MessageType is the type of a message. Numbers are never reused.
type MessageType uint8

// The message types.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageBasis
	MessageSnapshot
	MessageSnapshotReply
	MessageTimeoutNow
	MessagePropose
	MessageProposeReply
	MessageJoin
	MessageJoinReply
)

// Message is a message between members. Which fields are used depends on the type; the comments name
// the types without the prefix Message.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Type     MessageType
	Group    uint64
	From     Identity
	To       Identity      // zero in Join
	FromName string        // needed for a reply by a receiver whose configuration does not contain the sender
	Term     uint64        // the sender's term; PreVote and a granted PreVoteReply: the term of the planned election
	Index    uint64        // Append: index before Entries; PreVote and Vote: last index; Heartbeat: index that the receiver has acknowledged; Basis: index of the basis; AppendReply: matched index, or in a rejection the Index of the rejected message; SnapshotReply: index of the snapshot
	LogTerm  uint64        // Append, PreVote and Vote: term of the entry at Index; rejecting AppendReply: term of the entry at Hint
	Commit   uint64        // Append: the leader's commit index; Heartbeat: the same, but at most Index
	Reject   bool          // replies that reject; HeartbeatReply: the sender departs; Heartbeat: the receiver may depart
	Hint     uint64        // rejecting AppendReply: index up to which the logs may agree; SnapshotReply: next offset; ProposeReply: sequence number of the rejected proposal
	Barred   bool          // the sender is barred; set in every message, read in replies
	Transfer bool          // Vote: the leader requested this election
	Round    uint64        // Heartbeat and its reply: number of the round in the leader's term
	Sent     time.Duration // HeartbeatReply: time on the sender's clock; Basis: echo of it
	Run      uint64        // HeartbeatReply: the sender's incarnation (Options.Incarnation); Basis: echo of it; ProposeReply: Run of the rejected proposal
	Age      time.Duration // Basis: age of the basis
	Entries  []Entry
	Chunk    *Chunk
	Address  string   // Join, JoinReply and Heartbeat: where the sender accepts sessions
	Members  []Member // JoinReply of a member: the members of the group as the sender knows them; HeartbeatReply of a departing member: the joiners that it knows
}

// Chunk is one part of a snapshot.
type Chunk struct {
	_             struct{} `cbor:",toarray"`
	Index         uint64   // last entry that the snapshot covers
	Term          uint64
	Configuration Configuration
	Offset        uint64
	Total         uint64
	Data          []byte
}
