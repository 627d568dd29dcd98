package replication

import "time"

const (
	// replaceTimeout is the time without a message from a member after which a joiner replaces it in a
	// group with automatic membership. It is longer than a restart takes and shorter than the time within
	// which operators expect a lost member to be replaced.
	replaceTimeout = 3 * time.Second
	// rejoinTimeout is the time without contact with a leader after which a member of a group with
	// automatic membership sends join requests to all known processes: it may have been replaced while it
	// was partitioned.
	rejoinTimeout = 2 * time.Second
)

// requestJoin sends a join request to the peers and to all members that this process knows of, once
// per joinInterval.
func (c *Core) requestJoin() {
	if c.now < c.joinState.nextRequest {
		return
	}
	c.joinState.nextRequest = c.now + joinInterval
	requested := map[string]bool{c.options.Name: true}
	for _, list := range [][]Member{c.options.Peers, c.joinState.members, c.configuration.Members} {
		for _, peer := range list {
			if !requested[peer.Name] {
				requested[peer.Name] = true
				c.sendTo(peer, Message{Type: MessageJoin, Address: c.options.Address}, immediately)
			}
		}
	}
}

// tickRejoin requests to join again if this member of a group with automatic membership has not
// received a message from a leader for rejoinTimeout. The member keeps its identity and its log: the
// leader treats it as a member, or admits it as a learner.
func (c *Core) tickRejoin() {
	if c.options.AutomaticMembership && !c.departure.begun && c.now-c.leaderContact >= rejoinTimeout {
		c.requestJoin()
	}
}

// admitJoiner admits at most one joiner at a time to a group with automatic membership. A joiner with a new data folder
// replaces the member of its name, whose data folder is gone. Any other joiner is added while the group is below its
// target size, not counting unresponsive and departing members; removeSurplus removes these later.
func (c *Core) admitJoiner() {
	if !c.options.AutomaticMembership || c.changeRejection() != "" {
		return
	}
	for _, j := range c.joinState.joiners {
		if c.now-j.requestedAt >= joinValidity || c.isMember(j.member.Identity) {
			continue
		}
		next, ok := c.withJoiner(j.member)
		if !ok || c.activeVoters(next) < next.Quorum() {
			continue
		}
		c.appendEntry(EntryConfiguration, ProposalID{}, EncodeConfiguration(next))
		c.broadcast()
		return
	}
}

// withJoiner returns the configuration with the joiner as a learner; false if the joiner would replace the last voter, or
// if there is no place for it.
func (c *Core) withJoiner(joiner Member) (Configuration, bool) {
	if old, known := c.configuration.FindName(joiner.Name); known {
		next := c.configuration.without(old.Identity)
		return next.with(asLearner(joiner)), next.Voters() > 0
	}
	leaving := 0
	for _, m := range c.configuration.Members {
		if c.leaderState.progressOf(m.Identity).departing || c.unresponsive(m) {
			leaving++
		}
	}
	if len(c.configuration.Members) < min(c.targetSize()+leaving, maxMembers) {
		return c.configuration.with(asLearner(joiner)), true
	}
	return Configuration{}, false
}

// unresponsive reports whether the leader has received no message from a member for replaceTimeout.
func (c *Core) unresponsive(m Member) bool {
	return m.Identity != c.options.Identity && c.now-c.leaderState.progressOf(m.Identity).lastContact > replaceTimeout
}

// removeSurplus removes a member beyond the target size of a group with automatic membership: a departing or unresponsive
// one. A voter is removed only if the remaining ones are enough for the target size, so that the group has its voters at
// any moment, and an unresponsive member that returns before that is still one.
func (c *Core) removeSurplus() {
	if !c.options.AutomaticMembership || len(c.configuration.Members) <= c.targetSize() || c.changeRejection() != "" {
		return
	}
	for _, m := range c.configuration.Members {
		leaving := c.leaderState.progressOf(m.Identity).departing || c.unresponsive(m)
		if !leaving || m.Voter && c.configuration.Voters() <= c.targetSize() {
			continue
		}
		next := c.configuration.without(m.Identity)
		if c.activeVoters(next) < next.Quorum() {
			continue
		}
		c.leaderState.removed[m.Identity] = m
		c.appendEntry(EntryConfiguration, ProposalID{}, EncodeConfiguration(next))
		c.broadcast()
		return
	}
}

func (c *Core) targetSize() int {
	if c.options.Size > 0 {
		return c.options.Size
	}
	return len(c.options.Peers)
}
