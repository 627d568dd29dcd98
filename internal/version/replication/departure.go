package replication

import "time"

// departureInterval is the time between the notices of a departing member.
const departureInterval = 50 * time.Millisecond

// A member of a group with automatic membership whose process is about to end announces that to the leader, with
// Message.Reject in heartbeat replies. The leader lets a waiting joiner take its place, one change at a time: the joiner
// becomes a learner and then a voter beside the departing member, which is removed last. The group never has fewer voters
// than before, so it bears another loss at any moment. The leader answers with Message.Reject in a heartbeat once the
// member may end: its removal is committed, or no joiner waits.

// departure is the state of a member whose process is about to end.
type departure struct {
	begun      bool
	completed  bool // the process may end
	nextNotice time.Duration
}

// Departed reports whether the process of this member may end, after a Depart.
func (c *Core) Departed() bool { return c.departure.completed }

// depart begins the departure of this member.
func (c *Core) depart() {
	c.departure.begun = true
	c.tickDeparture()
}

// tickDeparture sends the notices of a departing member. They go to all members, because this one may have missed a
// change of the leader; only the leader handles them.
func (c *Core) tickDeparture() {
	d := &c.departure
	if !d.begun || d.completed {
		return
	}
	if !c.options.AutomaticMembership || !c.isMember(c.options.Identity) || len(c.configuration.Members) == 1 ||
		c.leader == NoIdentity && c.replacements() == 0 {
		d.completed = true
		return
	}
	if c.role == Leader || c.now < d.nextNotice {
		return
	}
	d.nextNotice = c.now + departureInterval
	joiners := c.waitingJoiners()
	for _, m := range c.configuration.Members {
		if m.Identity != c.options.Identity {
			c.send(Message{Type: MessageHeartbeatReply, To: m.Identity, Reject: true, Sent: c.now, Run: c.options.Incarnation, Members: joiners}, afterState)
		}
	}
}

// waitingJoiners returns the joiners that replace no member of their name.
func (c *Core) waitingJoiners() []Member {
	var waiting []Member
	for _, j := range c.joinState.joiners {
		_, known := c.configuration.FindName(j.member.Name)
		if !known && c.now-j.requestedAt < joinValidity {
			waiting = append(waiting, j.member)
		}
	}
	return waiting
}

// replacements returns the number of processes that can take the place of a departing member: waiting joiners and members
// beyond the target size.
func (c *Core) replacements() int {
	return len(c.waitingJoiners()) + max(0, len(c.configuration.Members)-c.targetSize())
}

// recordWaiting records a joiner that another member has reported, unless it is known.
func (c *Core) recordWaiting(joiner Member) {
	if _, known := c.joinState.findJoiner(joiner.Name, c.now); !known && joiner.Identity != NoIdentity && !c.isMember(joiner.Identity) {
		c.joinState.recordJoiner(joiner, c.now)
	}
}

// departing returns the number of members that are to be replaced because they depart.
func (l *leaderState) departing() int {
	n := 0
	for _, p := range l.members {
		if p.departing {
			n++
		}
	}
	return n
}

// handleDeparture handles the notice of a departing member at the leader. A new leader may not know the joiners yet.
func (c *Core) handleDeparture(m *Message) {
	if c.options.AutomaticMembership {
		for _, joiner := range m.Members {
			c.recordWaiting(joiner)
		}
	}
	p, member := c.leaderState.members[m.From]
	if !member {
		if c.configurationIndex <= c.log.committed {
			c.allowDeparture(m.From)
		}
		return
	}
	p.departing, p.run = false, m.Run
	if !c.options.AutomaticMembership || c.replacements() <= c.leaderState.departing() {
		c.allowDeparture(m.From)
		return
	}
	p.departing = true
	c.removeSurplus()
	c.admitJoiner()
}

// allowDeparture tells a member, or a removed one, that its process may end.
func (c *Core) allowDeparture(id Identity) {
	message := Message{Type: MessageHeartbeat, To: id, Reject: true}
	if removed, ok := c.leaderState.removed[id]; ok {
		c.sendTo(removed, message, immediately)
		return
	}
	c.send(message, immediately)
}
