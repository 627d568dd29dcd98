package replication

import "time"

// basis is a pair (index, at): every entry committed before the time at has at most this index. This
// remains true after the leader that established it loses its leadership; the pair only ages.
type basis struct {
	ok      bool
	index   uint64
	at      time.Duration // on the clock of this member
	pending *pendingBasis
}

// pendingBasis is a basis received from the leader, with an index that this member has not committed
// yet.
type pendingBasis struct {
	index uint64
	at    time.Duration
}

// Basis returns the newest basis and its age. The entries up to the index have been returned in an
// Output. The last result is false while there is no basis, or if now precedes its time.
func (c *Core) Basis(now time.Duration) (index uint64, age time.Duration, ok bool) {
	if !c.basis.ok || now < c.basis.at {
		return 0, 0, false
	}
	return c.basis.index, now - c.basis.at, true
}

func (c *Core) adoptBasis(index uint64, at time.Duration) {
	if !c.basis.ok || at > c.basis.at {
		c.basis.ok, c.basis.at = true, at
		c.basis.index = max(c.basis.index, index)
	}
}

// startRound sends a heartbeat to every member and records the send time.
func (c *Core) startRound() {
	l := c.leaderState
	l.lastRound++
	l.roundSent[l.lastRound%roundHistory] = c.now
	l.nextRound = c.now + HeartbeatInterval
	l.localProgress().acknowledgedRound = l.lastRound
	for _, m := range c.configuration.Members {
		if m.Identity == c.options.Identity {
			continue
		}
		match := l.progressOf(m.Identity).match
		c.send(Message{Type: MessageHeartbeat, To: m.Identity, Index: match, Commit: min(match, c.log.committed), Round: l.lastRound, Address: c.options.Address}, immediately)
	}
	c.renewBasis()
}

// renewBasis sets the time of the basis to the send time of the newest round that a quorum has
// acknowledged. A member that acknowledged the round had not voted in a newer term by then, so no
// leader of a newer term can have committed an entry before the round was sent. Until an entry of its
// own term is committed, the leader's commit index may be below entries that an earlier leader
// committed.
func (c *Core) renewBasis() {
	l := c.leaderState
	if c.log.committed < l.noop {
		return
	}
	round := c.configuration.quorumValue(func(id Identity) uint64 { return l.progressOf(id).acknowledgedRound })
	if round == 0 || round+roundHistory <= l.lastRound {
		return
	}
	c.adoptBasis(c.log.committed, l.roundSent[round%roundHistory])
}

// sendBasis sends the leader's basis after a heartbeat reply. The age is measured on the leader's
// clock; the follower subtracts it from the time at which it sent the heartbeat reply, so its basis is
// never newer than the leader's.
func (c *Core) sendBasis(m *Message) {
	if index, age, ok := c.Basis(c.now); ok {
		c.send(Message{Type: MessageBasis, To: m.From, Index: index, Age: age, Sent: m.Sent, Run: m.Run}, immediately)
	}
}

// handleBasis adopts the leader's basis once this member has committed its index. A basis sent to an
// earlier incarnation of this process is ignored, because the clock may have restarted with the
// machine.
func (c *Core) handleBasis(m *Message) {
	if m.Run != c.options.Incarnation || m.Sent < 0 || m.Sent > c.now || m.Age < 0 {
		return
	}
	at := m.Sent - m.Age
	if m.Index <= c.log.committed {
		c.adoptBasis(m.Index, at)
		return
	}
	// A pending basis is replaced only by a newer one whose index is not higher: if a higher index could
	// replace it, the commit index would never reach the pending one under a steady load.
	if p := c.basis.pending; p == nil || m.Index <= p.index && at > p.at {
		c.basis.pending = &pendingBasis{index: m.Index, at: at}
	}
}

func (c *Core) adoptPendingBasis() {
	if p := c.basis.pending; p != nil && p.index <= c.log.committed {
		c.adoptBasis(p.index, p.at)
		c.basis.pending = nil
	}
}
