package replication

import (
	"slices"
	"time"
)

// promotionLag is the number of entries by which a learner may lag when it is promoted. It is small
// so that commits do not wait long for the new voter.
const promotionLag = 16

// changeMembership carries out a membership change. Only one may be in progress, and an entry of the
// leader's own term must be committed: otherwise two leaders could commit with quorums that do not
// overlap.
func (c *Core) changeMembership(e MembershipChange) {
	if reason := c.changeRejection(); reason != "" {
		c.out.Rejected = append(c.out.Rejected, Rejection{Sequence: e.Sequence, Reason: reason})
		return
	}
	// A snapshot may cover the entry of the configuration; configurationIndex is then the later index of the
	// snapshot, so that some changes are rejected although the membership has not changed.
	if e.Expected != 0 && c.configurationIndex > e.Expected {
		c.out.Rejected = append(c.out.Rejected, Rejection{Sequence: e.Sequence, Conflict: true, Reason: "the members have changed since the change was requested"})
		return
	}
	next, reason := c.configurationAfter(e)
	if reason != "" {
		c.out.Rejected = append(c.out.Rejected, Rejection{Sequence: e.Sequence, Reason: reason})
		return
	}
	c.appendEntry(EntryConfiguration, c.proposalID(e.Sequence), EncodeConfiguration(next))
	c.out.AppendedChanges = append(c.out.AppendedChanges, AppendedChange{Sequence: e.Sequence, Index: c.log.last()})
	c.broadcast()
	c.maybeCommit()
}

func (c *Core) changeRejection() string {
	if reason := c.proposalRejection(); reason != "" {
		return reason
	}
	if c.log.committed < c.leaderState.noop || c.log.committed < c.configurationIndex {
		return "another membership change is in progress, or the leader has not committed an entry of its term yet"
	}
	return ""
}

func (c *Core) configurationAfter(e MembershipChange) (Configuration, string) {
	old, exists := c.configuration.FindName(e.Member.Name)
	switch e.Kind {
	case AddLearner:
		if _, known := c.configuration.Find(e.Member.Identity); exists || known || e.Member.Identity == NoIdentity {
			return Configuration{}, "a member already has this name or identity, or no identity is given"
		}
		if len(c.configuration.Members) >= maxMembers {
			return Configuration{}, "the group already has the maximum number of members"
		}
		return c.configuration.with(asLearner(e.Member)), ""
	case RemoveMember, ReplaceMember:
		if !exists {
			return Configuration{}, "no member has this name"
		}
		next := c.configuration.without(old.Identity)
		if next.Voters() == 0 {
			return Configuration{}, "the last voter cannot be removed"
		}
		if c.activeVoters(next) < next.Quorum() {
			return Configuration{}, "too few of the remaining voters are reachable"
		}
		if e.Kind == RemoveMember {
			return next, ""
		}
		joiner, seen := c.joinState.findJoiner(old.Name, c.now)
		if !seen || joiner.Identity == old.Identity {
			return Configuration{}, "no process with a new data folder has recently requested to join under this name"
		}
		if !c.options.AutomaticMembership {
			joiner.Address = old.Address
		}
		return next.with(asLearner(joiner)), ""
	}
	return Configuration{}, "unknown kind of membership change"
}

// activeVoters counts the voters of a configuration from which this leader has received a message
// within quorumTimeout. The leader itself counts; barred voters do not. For a member that has not
// replied yet, the time counts from the start of the term or from its admission.
func (c *Core) activeVoters(configuration Configuration) int {
	return configuration.countVoters(func(id Identity) bool {
		p := c.leaderState.progressOf(id)
		return id == c.options.Identity || !p.barred && c.now-p.lastContact < quorumTimeout
	})
}

// asLearner returns a copy of m that is a learner to be promoted.
func asLearner(m Member) Member {
	m.Voter, m.Promote = false, true
	return m
}

// promoteLearner promotes to a voter the first learner that has caught up.
func (c *Core) promoteLearner() {
	if c.changeRejection() != "" {
		return
	}
	for _, m := range c.configuration.Members {
		p := c.leaderState.progressOf(m.Identity)
		caughtUp := p.hadContact && p.match >= c.log.committed && c.log.last()-p.match <= promotionLag
		if m.Voter || !m.Promote || p.barred || !caughtUp || c.now-p.lastContact >= ElectionTimeoutMin {
			continue
		}
		m.Voter, m.Promote = true, false
		c.appendEntry(EntryConfiguration, ProposalID{}, EncodeConfiguration(c.configuration.with(m)))
		c.broadcast()
		return
	}
}

// joiner is a process that requested to join the group.
type joiner struct {
	member      Member
	requestedAt time.Duration
}

// joinState holds what a process has learned from join requests and their replies.
type joinState struct {
	nextRequest time.Duration // when this process next requests to join
	joiners     []joiner      // processes that requested to join, in the order of their first requests
	otherGroup  uint64        // see Status.OtherGroup
	members     []Member      // members of the group, as another process reported them
	leader      Member        // name and address of the last leader, as it reported them
}

func (j *joinState) recordJoiner(member Member, now time.Duration) {
	for i := range j.joiners {
		if j.joiners[i].member.Name == member.Name {
			j.joiners[i] = joiner{member: member, requestedAt: now}
			return
		}
	}
	if len(j.joiners) == maxMembers {
		j.joiners = append(j.joiners[:0], j.joiners[1:]...)
	}
	j.joiners = append(j.joiners, joiner{member: member, requestedAt: now})
}

// forgetMembers forgets the requests of processes that are members by now: a request counts only for one admission.
func (j *joinState) forgetMembers(configuration Configuration) {
	j.joiners = slices.DeleteFunc(j.joiners, func(x joiner) bool {
		_, member := configuration.Find(x.member.Identity)
		return member
	})
}

func (j *joinState) findJoiner(name string, now time.Duration) (Member, bool) {
	for _, x := range j.joiners {
		if x.member.Name == name && now-x.requestedAt < joinValidity {
			return x.member, true
		}
	}
	return Member{}, false
}

// tickJoining sends join requests to the peers. When all of them have an empty data folder, the one
// with the lowest name forms the group; it is the only voter until the others have received the log.
func (c *Core) tickJoining() {
	c.requestJoin()
	if c.hardState.Term != 0 || c.log.last() != 0 || c.joinState.otherGroup != 0 || c.options.AutomaticMembership && !c.options.Bootstrap {
		return
	}
	configuration := Configuration{Group: c.random.Uint64() | 1}
	found := false
	for _, peer := range c.options.Peers {
		member, seen := Member{Identity: c.options.Identity, Name: peer.Name, Address: peer.Address, Voter: true}, true
		if peer.Name < c.options.Name {
			return
		}
		if peer.Name != c.options.Name {
			member, seen = c.joinState.findJoiner(peer.Name, c.now)
			member = asLearner(member)
		} else {
			found = true
		}
		if !seen {
			return
		}
		configuration = configuration.with(member)
	}
	if found {
		c.formGroup(configuration)
	}
}

// formGroup starts a group. The configuration is the first entry of the log, in term 1.
func (c *Core) formGroup(configuration Configuration) {
	c.hardState.Term = 1
	c.dirtyState = true
	c.log.append(Entry{Term: 1, Index: 1, Kind: EntryConfiguration, Data: EncodeConfiguration(configuration)})
	c.markEntriesDirty(1)
	c.refreshConfiguration()
	c.becomePreCandidate()
}

// receiveJoin handles a join request or the reply to one. A sender without a group, or one of this group
// that requests to join and is not a member, is recorded as a joiner, and its request gets a reply. For a
// process of another group, only that group is recorded, and the list of members if the message is a
// reply.
func (c *Core) receiveJoin(m *Message) {
	if m.From == c.options.Identity || m.From == NoIdentity {
		return
	}
	if m.Type == MessageJoinReply && m.Group != 0 {
		c.joinState.members = m.Members
	}
	if m.Group != 0 && m.Group != c.configuration.Group {
		c.joinState.otherGroup = m.Group
		return
	}
	if m.Group != 0 && (m.Type == MessageJoinReply || c.isMember(m.From)) {
		// Not a joiner: a reply from this process's group, or a member that lost contact with its leader,
		// which the leader contacts itself.
		return
	}
	joiner := Member{Identity: m.From, Name: m.FromName, Address: m.Address}
	if joiner.Address == "" {
		joiner.Address = c.addressOf(m.FromName)
	}
	c.joinState.recordJoiner(joiner, c.now)
	if m.Type == MessageJoin {
		c.sendTo(joiner, Message{Type: MessageJoinReply, To: m.From, Address: c.options.Address, Members: c.configuration.Members}, immediately)
	}
}

func (c *Core) isMember(id Identity) bool {
	_, member := c.configuration.Find(id)
	return member
}

// addressOf returns the address of a process by name; "" if it is unknown. It searches the peers, the members that a
// process of the group has reported, the configuration, and the report of the last leader. A member that was cut off while
// others were replaced knows the address of a leader among these only from that report.
func (c *Core) addressOf(name string) string {
	for _, list := range [][]Member{c.options.Peers, c.joinState.members, c.configuration.Members, {c.joinState.leader}} {
		for _, peer := range list {
			if peer.Name == name {
				return peer.Address
			}
		}
	}
	return ""
}
