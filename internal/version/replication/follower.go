package replication

// handleFromLeader accepts the sender as the leader of the current term.
func (c *Core) handleFromLeader(m *Message) {
	if c.role == Leader {
		return // a second leader of the same term cannot exist
	}
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.hardState.Term, m.From)
	}
	c.leaderContact = c.now
	c.resetElectionDeadline()
	switch m.Type {
	case MessageAppend:
		c.handleAppend(m)
	case MessageHeartbeat:
		c.handleHeartbeat(m)
	case MessageSnapshot:
		c.handleChunk(m)
	}
}

func (c *Core) handleAppend(m *Message) {
	if m.Index < c.log.committed {
		// Committed entries are the same in every leader's log, so the logs agree up to the commit index.
		c.send(Message{Type: MessageAppendReply, To: m.From, Index: c.log.committed}, afterEntries)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint, term := c.log.lastPossibleMatch(m.Index, m.LogTerm)
		c.send(Message{Type: MessageAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint, LogTerm: term}, afterState)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	if from := c.log.firstConflict(m.Entries); from != 0 {
		if from <= c.log.committed {
			panic("replication: entries of a leader conflict with committed entries")
		}
		if from <= c.log.last() {
			c.truncate(from)
		}
		c.log.append(m.Entries[from-m.Index-1:]...)
		c.markEntriesDirty(from)
		c.refreshConfiguration()
	}
	c.commitTo(min(m.Commit, last))
	c.send(Message{Type: MessageAppendReply, To: m.From, Index: last}, afterEntries)
}

func (c *Core) commitTo(index uint64) {
	c.log.committed = max(c.log.committed, min(index, c.log.last()))
}

// handleHeartbeat acknowledges the round and requests the leader's basis. m.Index is an index that
// this member has acknowledged in the leader's term. If the log ends before it, the data folder was
// restored to an older state, which may include an older term and vote: the member must neither vote
// nor count towards a quorum any more.
func (c *Core) handleHeartbeat(m *Message) {
	if m.Address != "" {
		c.joinState.leader = Member{Name: m.FromName, Address: m.Address}
	}
	if m.Index > c.log.last() && !c.hardState.Barred {
		c.hardState.Barred = true
		c.dirtyState = true
	}
	if !c.hardState.Barred {
		c.commitTo(m.Commit)
	}
	if m.Reject && c.departure.begun {
		c.departure.completed = true
	}
	c.send(Message{Type: MessageHeartbeatReply, To: m.From, Round: m.Round, Sent: c.now, Run: c.options.Incarnation}, afterState)
}
