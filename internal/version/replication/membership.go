package replication

import "time"

// promotionLag is the number of entries by which a learner may lag when it becomes a voter. It is
// small so that the enlarged quorum never waits long for the new voter.
const promotionLag = 16

// change carries out a membership change. Only one may be under way, and the leader's own term
// must have a committed entry: otherwise two leaders could decide with quorums that do not meet.
func (c *Core) change(e MembershipChange) {
	if reason := c.refusesChange(); reason != "" {
		c.out.Refused = append(c.out.Refused, Refusal{Sequence: e.Sequence, Reason: reason})
		return
	}
	next, reason := c.changedConfiguration(e)
	if reason != "" {
		c.out.Refused = append(c.out.Refused, Refusal{Sequence: e.Sequence, Reason: reason})
		return
	}
	c.appendEntry(EntryConfiguration, c.proposalID(e.Sequence), EncodeConfiguration(next))
	c.out.Accepted = append(c.out.Accepted, Accepted{Sequence: e.Sequence, Index: c.log.last()})
	c.broadcast()
	c.maybeCommit()
}

func (c *Core) refusesChange() string {
	if reason := c.refusesProposals(); reason != "" {
		return reason
	}
	if c.log.committed < c.leading.noop || c.log.committed < c.configurationIndex {
		return "another membership change is under way"
	}
	return ""
}

func (c *Core) changedConfiguration(e MembershipChange) (Configuration, string) {
	old, exists := c.configuration.FindName(e.Member.Name)
	switch e.Kind {
	case AddLearner:
		if _, known := c.configuration.Find(e.Member.Identity); exists || known || e.Member.Identity == NoIdentity {
			return Configuration{}, "the name or the identity belongs to a member already, or no identity is given"
		}
		if len(c.configuration.Members) >= maxMembers {
			return Configuration{}, "the group has its largest size"
		}
		return c.configuration.with(learner(e.Member)), ""
	case RemoveMember, ReplaceMember:
		if !exists {
			return Configuration{}, "no member has this name"
		}
		next := c.configuration.without(old.Identity)
		if next.Voters() == 0 {
			return Configuration{}, "the last voter cannot be removed"
		}
		if c.aliveVoters(next) < next.Quorum() {
			return Configuration{}, "too few of the remaining voters are reachable"
		}
		if e.Kind == RemoveMember {
			return next, ""
		}
		joiner, seen := c.joining.find(old.Name, c.now)
		if !seen || joiner.Identity == old.Identity {
			return Configuration{}, "no process with a new folder has asked to join under this name"
		}
		if !c.options.AutomaticMembership {
			joiner.Address = old.Address
		}
		return next.with(learner(joiner)), ""
	}
	return Configuration{}, "unknown kind of change"
}

// aliveVoters counts the voters of a configuration that this leader has heard of late; a new
// leader gives every member that long to answer.
func (c *Core) aliveVoters(configuration Configuration) int {
	return configuration.countVoters(func(id Identity) bool {
		p := c.leading.of(id)
		return id == c.options.Identity || !p.barred && c.now-p.heardAt < quorumTimeout
	})
}

func learner(m Member) Member {
	m.Voter, m.Promote = false, true
	return m
}

// promoteLearner makes the first learner that has caught up a voter.
func (c *Core) promoteLearner() {
	if c.refusesChange() != "" {
		return
	}
	for _, m := range c.configuration.Members {
		p := c.leading.of(m.Identity)
		caughtUp := p.heard && p.match >= c.log.committed && c.log.last()-p.match <= promotionLag
		if m.Voter || !m.Promote || p.barred || !caughtUp || c.now-p.heardAt >= ElectionTimeoutMin {
			continue
		}
		m.Voter, m.Promote = true, false
		c.appendEntry(EntryConfiguration, ProposalID{}, EncodeConfiguration(c.configuration.with(m)))
		c.broadcast()
		return
	}
}

// joiner is a process with an empty folder that asked to join.
type joiner struct {
	member Member
	at     time.Duration
}

// joining is the state of a member without a group, and what members of a group know about such
// processes.
type joining struct {
	nextRequest time.Duration
	joiners     []joiner // in order of arrival
	group       uint64   // a group that another process reported
	members     []Member // of that group
}

func (j *joining) note(member Member, now time.Duration) {
	for i := range j.joiners {
		if j.joiners[i].member.Name == member.Name {
			j.joiners[i] = joiner{member: member, at: now}
			return
		}
	}
	if len(j.joiners) == maxMembers {
		j.joiners = append(j.joiners[:0], j.joiners[1:]...)
	}
	j.joiners = append(j.joiners, joiner{member: member, at: now})
}

func (j *joining) find(name string, now time.Duration) (Member, bool) {
	for _, x := range j.joiners {
		if x.member.Name == name && now-x.at < joinValidity {
			return x.member, true
		}
	}
	return Member{}, false
}

// tickJoining asks the other processes of the settings for their state. When all of them have an
// empty folder, the one with the lowest name forms the group; it is the only voter until the
// others have received the log.
func (c *Core) tickJoining() {
	c.requestJoin()
	if c.hard.Term != 0 || c.log.last() != 0 || c.joining.group != 0 || c.options.AutomaticMembership && !c.options.Bootstrap {
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
			member, seen = c.joining.find(peer.Name, c.now)
			member = learner(member)
		} else {
			found = true
		}
		if !seen {
			return
		}
		configuration = configuration.with(member)
	}
	if found {
		c.form(configuration)
	}
}

// form starts a group. The configuration is the first entry of the log, in term 1.
func (c *Core) form(configuration Configuration) {
	c.hard.Term = 1
	c.dirtyState = true
	c.log.append(Entry{Term: 1, Index: 1, Kind: EntryConfiguration, Data: EncodeConfiguration(configuration)})
	c.dirtyEntries(1)
	c.changed()
	c.becomePreCandidate()
}

// receiveJoin notes a process that asks to join, and answers it.
func (c *Core) receiveJoin(m *Message) {
	if m.From == c.options.Identity || m.From == NoIdentity {
		return
	}
	if m.Type == MessageJoinReply && m.Group != 0 {
		c.joining.members = m.Members
	}
	if m.Group != 0 && m.Group != c.configuration.Group {
		c.joining.group = m.Group
		return
	}
	if m.Group != 0 && (m.Type == MessageJoinReply || c.isMember(m.From)) {
		return // a member that has lost touch with its group; the leader reaches it
	}
	joiner := Member{Identity: m.From, Name: m.FromName, Address: m.Address}
	if joiner.Address == "" {
		joiner.Address = c.addressOf(m.FromName)
	}
	c.joining.note(joiner, c.now)
	if m.Type == MessageJoin {
		c.sendTo(joiner, Message{Type: MessageJoinReply, To: m.From, Address: c.options.Address, Members: c.configuration.Members}, immediately)
	}
}

func (c *Core) isMember(id Identity) bool {
	_, member := c.configuration.Find(id)
	return member
}

// addressOf returns the address of a process that the configuration does not name: a peer of the
// settings or a member that a process of the group has named. A new member learns the address of a
// leader outside its settings only in the second way.
func (c *Core) addressOf(name string) string {
	for _, list := range [][]Member{c.options.Peers, c.joining.members, c.configuration.Members} {
		for _, peer := range list {
			if peer.Name == name {
				return peer.Address
			}
		}
	}
	return ""
}
