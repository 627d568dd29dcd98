package replication

import "time"

const (
	// replaceAfter is the time without a word from a member after which a waiting process takes its
	// place in an automatic group. It is above a restart and below the time in which operators expect
	// a lost member to be made up for.
	replaceAfter = 3 * time.Second
	// estrangedAfter is the time without a leader after which a member of an automatic group asks all
	// known processes for the group: it may have been replaced while it was cut off.
	estrangedAfter = 2 * time.Second
)

// requestJoin asks the peers, and the members that they have named, for the group.
func (c *Core) requestJoin() {
	if c.now < c.joining.nextRequest {
		return
	}
	c.joining.nextRequest = c.now + joinInterval
	asked := map[string]bool{c.options.Name: true}
	for _, list := range [][]Member{c.options.Peers, c.joining.members, c.configuration.Members} {
		for _, peer := range list {
			if !asked[peer.Name] {
				asked[peer.Name] = true
				c.sendTo(peer, Message{Type: MessageJoin, Address: c.options.Address}, immediately)
			}
		}
	}
}

// tickEstranged lets a member that no leader has contacted for a while ask to join again. It keeps
// its identity and its log: the leader treats it as a member, or admits it as a learner.
func (c *Core) tickEstranged() {
	if c.options.AutomaticMembership && c.now-c.leaderContact >= estrangedAfter {
		c.requestJoin()
	}
}

// admitJoiner changes an automatic group by at most one process at a time: a process whose folder is
// new takes the place of the member of its name; any other takes the place of a member that is gone,
// or adds to the group up to its size.
func (c *Core) admitJoiner() {
	if !c.options.AutomaticMembership || c.refusesChange() != "" {
		return
	}
	for _, j := range c.joining.joiners {
		if c.now-j.at >= joinValidity || c.isMember(j.member.Identity) {
			continue
		}
		next, ok := c.withJoiner(j.member)
		if !ok || c.aliveVoters(next) < next.Quorum() {
			continue
		}
		c.appendEntry(EntryConfiguration, ProposalID{}, EncodeConfiguration(next))
		c.broadcast()
		return
	}
}

func (c *Core) withJoiner(joiner Member) (Configuration, bool) {
	if old, known := c.configuration.FindName(joiner.Name); known {
		next := c.configuration.without(old.Identity)
		return next.with(learner(joiner)), next.Voters() > 0
	}
	if gone, found := c.goneMember(); found {
		next := c.configuration.without(gone.Identity)
		return next.with(learner(joiner)), next.Voters() > 0
	}
	if len(c.configuration.Members) < min(c.size(), maxMembers) {
		return c.configuration.with(learner(joiner)), true
	}
	return Configuration{}, false
}

// goneMember returns the member that has been silent for the longest time beyond replaceAfter.
func (c *Core) goneMember() (gone Member, found bool) {
	longest := replaceAfter
	for _, m := range c.configuration.Members {
		if m.Identity == c.options.Identity {
			continue
		}
		if silence := c.now - c.leading.of(m.Identity).heardAt; silence > longest {
			gone, found, longest = m, true, silence
		}
	}
	return gone, found
}

func (c *Core) size() int {
	if c.options.Size > 0 {
		return c.options.Size
	}
	return len(c.options.Peers)
}
