package replication

import (
	"math/rand/v2"
	"time"
)

// Role is the role of a member in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Options configure a member.
type Options struct {
	Identity    Identity
	Name        string
	Address     string
	Peers       []Member // names and addresses of the control processes in the settings, including this one
	Incarnation uint64   // incarnation of the process; differs after every restart
	Seed        uint64   // for the election timeouts; differs between members

	// AutomaticMembership lets the leader admit joiners and replace unresponsive members without an
	// operator's command. Peers are then the processes to which join requests are sent, or with which the
	// group is formed.
	AutomaticMembership bool
	// Size is the number of members up to which a group with automatic membership grows; zero stands for
	// the number of Peers.
	Size int
	// Bootstrap allows this process to form a group with automatic membership. It may be set only for the
	// first start of an installation; a process that loses its data folder later must join the existing
	// group.
	Bootstrap bool

	KeptEntries uint64 // entries kept although a snapshot covers them; zero stands for DefaultKeptEntries
	ChunkBytes  uint64 // size of a snapshot chunk; zero stands for DefaultChunkBytes
}

// Core is the state machine of one member. It is not safe for concurrent use.
type Core struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	role      Role
	hardState HardState
	log       memoryLog
	applied   uint64 // index up to which entries were returned in Output.Committed or are covered by a snapshot

	configuration      Configuration // the newest one in the log, committed or not
	configurationIndex uint64

	leader            Identity
	leaderContact     time.Duration
	electionDeadline  time.Duration
	candidateBatch    uint64 // batch that makes this member's own vote durable
	votes             map[Identity]bool
	preVote           Identity // member that this one last supported in a pre-vote, from preVoteAt on; a pre-candidate supports itself
	preVoteAt         time.Duration
	requestedByLeader bool // the leader requested the current candidacy
	writesFail        bool // see StorageChanged
	nextHandOver      time.Duration

	leaderState *leaderState // nil unless role is Leader
	incoming    *incomingSnapshot
	basis       basis
	joinState   joinState
	departure   departure

	senderName string // name of the sender of the message being handled

	outbox
	out Output
}

// New returns a member that continues from its durable state. now is the current time on the clock
// that is passed to Step.
func New(now time.Duration, options Options, recovered Recovered) *Core {
	if options.KeptEntries == 0 {
		options.KeptEntries = DefaultKeptEntries
	}
	if options.ChunkBytes == 0 {
		options.ChunkBytes = DefaultChunkBytes
	}
	c := &Core{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, uint64(options.Identity))),
		now:       now,
		hardState: recovered.State,
		log:       newMemoryLog(recovered),
	}
	c.leaderContact = now
	c.applied = c.log.snapshot.Index
	c.configuration, c.configurationIndex = c.log.configurationAt(c.log.last())
	c.electionDeadline = now + firstElectionMin + time.Duration(c.random.Int64N(int64(firstElectionSpread)))
	return c
}

// Step processes one event and returns what the caller has to carry out. now must not decrease.
func (c *Core) Step(now time.Duration, event Event) Output {
	c.now = max(c.now, now)
	c.out = Output{}
	role, term, leader, configurationIndex := c.role, c.hardState.Term, c.leader, c.configurationIndex
	switch e := event.(type) {
	case Tick:
		c.tick()
	case Received:
		if e.Message.Validate() == nil {
			c.senderName = e.Message.FromName
			c.receive(&e.Message)
		}
	case Propose:
		c.propose(e.Proposals)
	case MembershipChange:
		c.changeMembership(e)
	case Synced:
		c.confirmBatches(e.Sequence)
	case Snapshotted:
		c.compactLog(e)
	case TransferLeadership:
		c.startTransfer()
	case Depart:
		c.depart()
	case MemberConnected:
		c.repeatVoteRequest(e.Name)

	case StorageChanged:
		c.writesFail = e.Failing
		c.handOver()
	case PeersChanged:
		c.options.Peers = e.Peers
	}
	c.advance()
	c.flush()
	c.out.RoleChanged = role != c.role || term != c.hardState.Term || leader != c.leader || configurationIndex != c.configurationIndex
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) tick() {
	c.tickDeparture()
	if c.configuration.Group == 0 {
		c.tickJoining()
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.tickRejoin()
	if c.now < c.electionDeadline {
		return
	}
	c.resetElectionDeadline()
	if c.mayStartElection() {
		c.becomePreCandidate()
	}
}

// mayStartElection reports whether this member may start an election: it must be able to store its own vote. A
// removed member may start one until the entry that removes it is committed, because it may be the only member
// with all committed entries; its own vote does not count then.
func (c *Core) mayStartElection() bool {
	if !c.mayVote() || c.writesFail {
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

// mayVote reports whether this member's vote may be counted: the member belongs to a group and its
// data folder holds everything that it has acknowledged.
func (c *Core) mayVote() bool { return c.configuration.Group != 0 && !c.hardState.Barred }

func (c *Core) resetElectionDeadline() {
	spread := int64(ElectionTimeoutMax - ElectionTimeoutMin)
	c.electionDeadline = c.now + ElectionTimeoutMin + time.Duration(c.random.Int64N(spread))
}

// receive checks the addressing and the term of a message before it passes the message on.
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
	case m.Term > c.hardState.Term:
		// The term of a pre-vote, or of a granted one, belongs to a candidacy that has not begun.
		if m.Type != MessagePreVote && (m.Type != MessagePreVoteReply || m.Reject) {
			c.becomeFollower(m.Term, NoIdentity)
		}
	case m.Term < c.hardState.Term:
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

// ignoresElection reports whether a vote request is ignored because this member leads, or has received a
// message from its leader within ElectionTimeoutMin. A candidate without contact to a working leader
// thus does not end the leader's term.
func (c *Core) ignoresElection(m *Message) bool {
	if m.Type != MessagePreVote && m.Type != MessageVote || m.Transfer {
		return false
	}
	recentContact := c.leader != NoIdentity && c.now-c.leaderContact < ElectionTimeoutMin
	return c.role == Leader || recentContact
}

// rejectOldTerm replies to an Append, Heartbeat, Snapshot, PreVote or Propose of an older term, so that
// the sender learns the current term. A ProposeReply is handled in any term. All other messages of an
// older term, Vote among them, are ignored, except the notice of a departing member: a removed one does not learn of a new
// term.
func (c *Core) rejectOldTerm(m *Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Type: MessageAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: c.log.last()}, afterState)
	case MessagePreVote:
		c.send(Message{Type: MessagePreVoteReply, To: m.From, Reject: true}, afterState)
	case MessagePropose:
		c.rejectForwarded(m.From, m.Entries)
	case MessageProposeReply:
		c.handleProposeReply(m)
	case MessageHeartbeatReply:
		if m.Reject && c.leaderState != nil {
			c.handleDeparture(m)
		}
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
	case MessageBasis:
		c.handleBasis(m)
	case MessagePropose:
		c.handleForwarded(m)
	case MessageProposeReply:
		c.handleProposeReply(m)
	case MessageTimeoutNow:
		if m.From == c.leader && c.mayStartElection() {
			c.becomeCandidate(true)
		}
	}
}

// advance outputs the entries that have been committed since the last step, and adopts a
// pending basis whose index they reach.
func (c *Core) advance() {
	if c.log.committed > c.applied {
		c.out.Committed = c.log.entriesBetween(c.applied+1, c.log.committed)
		c.applied = c.log.committed
	}
	c.adoptPendingBasis()
}

// refreshConfiguration re-reads the newest configuration from the log after entries were added or
// removed.
func (c *Core) refreshConfiguration() {
	c.configuration, c.configurationIndex = c.log.configurationAt(c.log.last())
	c.joinState.forgetMembers(c.configuration)
	if c.leaderState != nil {
		c.leaderState.updateMembers(c)
	}
}
