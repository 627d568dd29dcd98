package replication

import (
	"math/rand/v2"
	"time"
)

// Role is what a member currently does.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Options identify a member and its process.
type Options struct {
	Identity Identity
	Name     string
	Address  string
	Peers    []Member // all control processes of the settings, this one included; names and addresses
	Run      uint64   // differs after every restart
	Seed     uint64   // of the election timeouts; differs between members

	// AutomaticMembership lets the leader admit processes that ask to join and replace members that are gone,
	// without a command. Peers are then hints: processes that know the group, or may form it.
	AutomaticMembership bool
	// Size is the number of members that an automatic group grows to; zero stands for the number of
	// Peers at the first start.
	Size int
	// Bootstrap allows an automatic group to be formed by this process. Only the first start of an
	// installation may; a process that lost its folder later must join the group that exists.
	Bootstrap bool

	KeptEntries uint64 // entries kept behind a snapshot; zero stands for DefaultKeptEntries
	ChunkBytes  uint64 // size of a snapshot chunk; zero stands for DefaultChunkBytes
}

// Core is one member. It is not safe for concurrent use.
type Core struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	role    Role
	hard    HardState
	log     memoryLog
	applied uint64

	configuration      Configuration // the newest one in the log, committed or not
	configurationIndex uint64

	leader           Identity
	leaderContact    time.Duration
	electionDeadline time.Duration
	candidateBatch   uint64 // batch that makes the own vote durable
	votes            map[Identity]bool
	preVote          Identity // member that got the last pre-vote, at preVoteAt
	preVoteAt        time.Duration
	transferred      bool // the current candidacy was asked for by the leader

	leading  *leadership // nil unless role is Leader
	incoming *incomingSnapshot
	basis    basis
	joining  joining

	replyName string // name of the sender of the message that is being handled

	outbox
	out Output
}

// New returns a member that continues from its durable state.
func New(now time.Duration, options Options, recovered Recovered) *Core {
	if options.KeptEntries == 0 {
		options.KeptEntries = DefaultKeptEntries
	}
	if options.ChunkBytes == 0 {
		options.ChunkBytes = DefaultChunkBytes
	}
	c := &Core{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, uint64(options.Identity))),
		now:     now,
		hard:    recovered.State,
		log:     newMemoryLog(recovered),
	}
	c.leaderContact = now
	c.applied = c.log.snapshot.Index
	c.configuration, c.configurationIndex = c.log.configurationAt(c.log.last())
	c.electionDeadline = now + firstElectionMin + time.Duration(c.random.Int64N(int64(firstElectionSpread)))
	return c
}

// Step processes one event and returns what the caller has to do. now must not decrease.
func (c *Core) Step(now time.Duration, event Event) Output {
	c.now = max(c.now, now)
	c.out = Output{}
	role, term, leader, configuration := c.role, c.hard.Term, c.leader, c.configurationIndex
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Received:
		if e.Message.Validate() == nil {
			c.replyName = e.Message.FromName
			c.receive(&e.Message)
		}
	case Propose:
		c.propose(e.Proposals)
	case MembershipChange:
		c.change(e)
	case Synced:
		c.confirm(e.Sequence)
	case Snapshotted:
		c.snapshotted(e)
	case TransferLeadership:
		c.startTransfer()
	case PeersChanged:
		c.options.Peers = e.Peers
	}
	c.advance()
	c.flush()
	c.out.RoleChanged = role != c.role || term != c.hard.Term || leader != c.leader || configuration != c.configurationIndex
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) tick() {
	if c.configuration.Group == 0 {
		c.tickJoining()
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.tickEstranged()
	if c.now < c.electionDeadline {
		return
	}
	c.resetElectionDeadline()
	if c.mayCampaign() {
		c.becomePreCandidate()
	}
}

// mayCampaign reports whether this member may call an election. Until the entry that removes it
// is committed, a member may be the only one with all accepted entries and must still lead; its
// own vote does not count then.
func (c *Core) mayCampaign() bool {
	if !c.mayVote() {
		return false
	}
	if c.configuration.IsVoter(c.options.Identity) {
		return true
	}
	if c.configurationIndex <= c.log.committed {
		return false
	}
	previous, _ := c.log.configurationAt(c.configurationIndex - 1)
	return previous.IsVoter(c.options.Identity)
}

// mayVote reports whether this member's vote is trustworthy: it belongs to a group and its folder
// holds everything that it has acknowledged.
func (c *Core) mayVote() bool { return c.configuration.Group != 0 && !c.hard.Barred }

func (c *Core) resetElectionDeadline() {
	spread := int64(ElectionTimeoutMax - ElectionTimeoutMin)
	c.electionDeadline = c.now + ElectionTimeoutMin + time.Duration(c.random.Int64N(spread))
}

// receive checks the addressing and the term of a message before it is handled.
func (c *Core) receive(m *Message) {
	if m.Type == MessageJoin || m.Type == MessageJoinReply {
		c.receiveJoin(m)
		return
	}
	if m.To != c.options.Identity || m.From == c.options.Identity {
		return
	}
	if !c.sameGroup(m) {
		return
	}
	if c.ignoresElection(m) {
		return
	}
	switch {
	case m.Term > c.hard.Term:
		// A pre-vote, and a granted one, name the term of a candidacy that has not begun.
		if m.Type != MessagePreVote && (m.Type != MessagePreVoteReply || m.Reject) {
			c.becomeFollower(m.Term, NoIdentity)
		}
	case m.Term < c.hard.Term:
		c.rejectOldTerm(m)
		return
	}
	c.handle(m)
}

// sameGroup reports whether the sender belongs to this member's group. A new learner replies
// without a group until it has received the first entry or the snapshot.
func (c *Core) sameGroup(m *Message) bool {
	group := c.configuration.Group
	if group == 0 || m.Group == group {
		return true
	}
	reply := m.Type == MessageAppendReply || m.Type == MessageHeartbeatReply || m.Type == MessageSnapshotReply
	return reply && m.Group == 0
}

// ignoresElection protects a working leader from a member that does not hear it.
func (c *Core) ignoresElection(m *Message) bool {
	if m.Type != MessagePreVote && m.Type != MessageVote || m.Transfer {
		return false
	}
	heard := c.leader != NoIdentity && c.now-c.leaderContact < ElectionTimeoutMin
	return c.role == Leader || heard
}

// rejectOldTerm tells a member of an older term which term is current. A refusal of a proposal
// holds in any term.
func (c *Core) rejectOldTerm(m *Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Type: MessageAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: c.log.last()}, afterState)
	case MessagePreVote:
		c.send(Message{Type: MessagePreVoteReply, To: m.From, Reject: true}, afterState)
	case MessagePropose:
		c.refuseForwarded(m.From, m.Entries)
	case MessageProposeReply:
		c.handleProposeReply(m)
	}
}

func (c *Core) handle(m *Message) {
	switch m.Type {
	case MessagePreVote, MessageVote:
		c.handleVoteRequest(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.handleVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.handleFromLeader(m)
	case MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		c.handleFromFollower(m)
	case MessageGrant:
		c.handleGrant(m)
	case MessagePropose:
		c.handleForwarded(m)
	case MessageProposeReply:
		c.handleProposeReply(m)
	case MessageTimeoutNow:
		if m.From == c.leader && c.mayCampaign() {
			c.becomeCandidate(true)
		}
	}
}

// advance hands out entries that have been committed since the last step.
func (c *Core) advance() {
	if c.log.committed > c.applied {
		c.out.Committed = c.log.between(c.applied+1, c.log.committed)
		c.applied = c.log.committed
	}
	c.adoptPendingBasis()
}

// changed follows the log after entries were added or removed.
func (c *Core) changed() {
	c.configuration, c.configurationIndex = c.log.configurationAt(c.log.last())
	if c.leading != nil {
		c.leading.follow(c)
	}
}
