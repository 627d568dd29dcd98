package replication

import "time"

// becomeLeader starts the term with a no-op entry: entries of earlier terms are committed only
// together with an entry of the leader's own term.
func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes, c.incoming = Leader, c.options.Identity, nil, nil
	c.leaderState = &leaderState{self: c.options.Identity, removed: map[Identity]Member{}}
	c.leaderState.updateMembers(c)
	for _, e := range c.log.entriesBetween(c.log.committed+1, c.log.last()) {
		c.leaderState.uncommittedBytes += len(e.Data)
	}
	c.appendEntry(EntryNoop, ProposalID{}, nil)
	c.leaderState.noop = c.log.last()
	c.broadcast()
	c.startRound()
}

func (c *Core) appendEntry(kind EntryKind, proposal ProposalID, data []byte) {
	index := c.log.last() + 1
	c.log.append(Entry{Term: c.hardState.Term, Index: index, Kind: kind, Proposal: proposal, Data: data})
	c.markEntriesDirty(index)
	c.leaderState.uncommittedBytes += len(data)
	if kind == EntryConfiguration {
		c.refreshConfiguration()
	}
}

func (c *Core) tickLeader() {
	l := c.leaderState
	if c.activeVoters(c.configuration) < c.configuration.Quorum() {
		c.becomeFollower(c.hardState.Term, NoIdentity)
		return
	}
	if l.transferee != NoIdentity && c.now >= l.transferDeadline {
		l.transferee = NoIdentity
	}
	if c.now >= l.nextRound {
		c.startRound()
	}
	c.handOver()
	c.promoteLearner()
	c.removeSurplus()
	c.admitJoiner()
}

// handOver transfers leadership if this leader departs or its writes fail. The group commits without this member's disk
// as long as a majority can write, but a leader that cannot is one failure away from a standstill.
func (c *Core) handOver() {
	if c.leaderState == nil || !c.writesFail && !c.departure.begun || c.now < c.nextHandOver {
		return
	}
	c.nextHandOver = c.now + handOverInterval
	c.startTransfer()
}

// proposalRejection returns why this member rejects proposals at present; "" if it accepts them.
func (c *Core) proposalRejection() string {
	l := c.leaderState
	switch {
	case l == nil:
		return "this member is not the leader"
	case l.transferee != NoIdentity:
		return "a leadership transfer is in progress"
	case c.log.last()-c.log.committed >= maxUncommittedEntries || l.uncommittedBytes >= maxUncommittedBytes:
		return "too many uncommitted proposals"
	}
	return ""
}

// propose appends the caller's proposals, or forwards them to the leader; without a known leader it
// rejects them.
func (c *Core) propose(proposals []Proposal) {
	// A new member that has heard from the leader, but has not received the group's configuration yet, must not
	// forward: the leader ignores requests without a group, and the caller would wait until its timeout.
	if c.leaderState == nil && c.leader != NoIdentity && c.configuration.Group != 0 {
		if !c.writesFail {
			c.forward(proposals)
			return
		}
		// Without a disk this member does not acknowledge the leader's log and does not learn of commits.
		for _, p := range proposals {
			c.out.Rejected = append(c.out.Rejected, Rejection{Sequence: p.Sequence, Reason: "this member cannot write to its data folder"})
		}
		return
	}
	appended := false
	for _, p := range proposals {
		reason := c.proposalRejection()
		if len(p.Data) > MaxProposalBytes {
			reason = "the proposal is too large"
		}
		if reason != "" {
			c.out.Rejected = append(c.out.Rejected, Rejection{Sequence: p.Sequence, Reason: reason})
			continue
		}
		c.appendEntry(EntryCommand, c.proposalID(p.Sequence), p.Data)
		appended = true
	}
	if appended {
		c.broadcast()
	}
}

func (c *Core) proposalID(sequence uint64) ProposalID {
	return ProposalID{Origin: c.options.Identity, Run: c.options.Incarnation, Sequence: sequence}
}

func (c *Core) forward(proposals []Proposal) {
	for _, p := range proposals {
		if len(p.Data) > MaxProposalBytes {
			c.out.Rejected = append(c.out.Rejected, Rejection{Sequence: p.Sequence, Reason: "the proposal is too large"})
			continue
		}
		entry := Entry{Kind: EntryCommand, Proposal: c.proposalID(p.Sequence), Data: p.Data}
		c.send(Message{Type: MessagePropose, To: c.leader, Entries: []Entry{entry}}, immediately)
	}
}

// handleForwarded appends proposals that a follower has forwarded.
func (c *Core) handleForwarded(m *Message) {
	appended := false
	for i, e := range m.Entries {
		if c.proposalRejection() != "" {
			c.rejectForwarded(m.From, m.Entries[i:])
			break
		}
		c.appendEntry(EntryCommand, e.Proposal, e.Data)
		appended = true
	}
	if appended {
		c.broadcast()
	}
}

// rejectForwarded does not wait for the disk: a rejection promises nothing that a restart could undo, and on a full
// disk it would never be sent.
func (c *Core) rejectForwarded(from Identity, entries []Entry) {
	for _, e := range entries {
		c.send(Message{Type: MessageProposeReply, To: from, Reject: true, Hint: e.Proposal.Sequence, Run: e.Proposal.Run}, immediately)
	}
}

// handleProposeReply reports that the member to which a proposal was forwarded, which may no longer be
// the leader, rejected it. The outcome is unknown, because an earlier copy of the message may have been
// appended.
func (c *Core) handleProposeReply(m *Message) {
	if m.Run == c.options.Incarnation {
		c.out.Rejected = append(c.out.Rejected, Rejection{Sequence: m.Hint, MayBeCommitted: true, Reason: "the member to which the proposal was forwarded rejected it"})
	}
}

// broadcast sends every member the entries that it lacks.
func (c *Core) broadcast() {
	for _, m := range c.configuration.Members {
		if m.Identity != c.options.Identity {
			c.replicate(m.Identity)
		}
	}
}

// replicate sends a member as many entries as its progress allows, or starts to send the snapshot if
// the log no longer holds them.
func (c *Core) replicate(id Identity) {
	p := c.leaderState.progressOf(id)
	for p.state != installing && p.next <= c.log.last() && !p.probeSent && len(p.inflight) < maxInflight {
		previous, known := c.log.term(p.next - 1)
		if !known {
			c.startSendingSnapshot(id, p)
			return
		}
		entries := c.log.entriesForAppend(p.next)
		c.sendAppend(id, p, previous, entries)
		if p.state == probing {
			p.probeSent = true
			return
		}
		last := entries[len(entries)-1].Index
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
	// An empty Append announces a commit that no Append with entries will carry, so that followers
	// apply it without waiting for the next heartbeat.
	if p.state == replicating && len(p.inflight) == 0 && p.commitSent < min(p.match, c.log.committed) {
		if previous, known := c.log.term(p.next - 1); known {
			c.sendAppend(id, p, previous, nil)
		}
	}
}

func (c *Core) sendAppend(id Identity, p *progress, previous uint64, entries []Entry) {
	p.commitSent = c.log.committed
	c.send(Message{
		Type: MessageAppend, To: id, Index: p.next - 1, LogTerm: previous, Commit: c.log.committed, Entries: entries,
	}, immediately)
}

// handleFromFollower updates the sender's progress. Replies of older terms are dropped in receive.
func (c *Core) handleFromFollower(m *Message) {
	if c.leaderState == nil {
		return
	}
	if m.Type == MessageHeartbeatReply && m.Reject {
		c.handleDeparture(m)
	}
	p, member := c.leaderState.members[m.From]
	if !member {
		return
	}
	p.lastContact, p.hadContact = c.now, true
	if m.Barred && !p.barred {
		p.markBarred(c.now)
	}
	switch m.Type {
	case MessageAppendReply:
		c.handleAppendReply(m, p)
	case MessageSnapshotReply:
		c.handleSnapshotReply(m, p)
	case MessageHeartbeatReply:
		if p.departing && p.run != m.Run {
			p.departing = false // its process has ended and started again
		}
		if !p.barred {
			p.acknowledgedRound = max(p.acknowledgedRound, min(m.Round, c.leaderState.lastRound))
		}
		c.renewBasis()
		c.sendBasis(m)
		c.retry(m.From, p)
	}
}

func (c *Core) handleAppendReply(m *Message, p *progress) {
	if m.Reject {
		stale := p.state == replicating && m.Index <= p.match || p.state == probing && m.Index != p.next-1
		if !stale && p.state != installing {
			agreed, _ := c.log.lastPossibleMatch(m.Hint, m.LogTerm)
			p.probe(min(agreed+1, m.Index), c.now)
			c.replicate(m.From)
		}
		return
	}
	if m.Index > c.log.last() {
		return
	}
	p.acknowledge(m.Index, c.now)
	c.maybeCommit()
	if c.leaderState == nil {
		return // stepped down: the committed configuration does not contain this member
	}
	c.promoteLearner()
	c.continueTransfer()
	c.replicate(m.From)
}

// retry resends the entries or the snapshot chunk to a lagging member that has made no progress for
// retryInterval.
func (c *Core) retry(id Identity, p *progress) {
	if p.match >= c.log.last() || c.now-p.retryFrom < retryInterval {
		return
	}
	if p.state == installing {
		p.retryFrom = c.now
		c.sendChunk(id, p)
		return
	}
	p.probe(p.match+1, c.now)
	c.replicate(id)
}

// maybeCommit advances the commit index to the last index that a quorum has synced. Only an entry of
// the leader's own term is committed by counting replicas: another leader could still overwrite an
// older one.
func (c *Core) maybeCommit() {
	index := c.configuration.quorumValue(func(id Identity) uint64 {
		if id == c.options.Identity {
			return c.log.synced
		}
		return c.leaderState.progressOf(id).countedMatch()
	})
	if term, known := c.log.term(index); index <= c.log.committed || !known || term != c.hardState.Term {
		return
	}
	for _, e := range c.log.entriesBetween(c.log.committed+1, index) {
		c.leaderState.uncommittedBytes -= len(e.Data)
	}
	c.log.committed = index
	c.renewBasis()
	c.broadcast()
	if _, member := c.configuration.Find(c.options.Identity); !member && c.configurationIndex <= index {
		c.becomeFollower(c.hardState.Term, NoIdentity)
	}
}

// startTransfer stops accepting proposals and transfers leadership to the voter with the longest log
// among those from which it has received a message within ElectionTimeoutMin. Of equals, the transferee of the
// previous attempt comes last.
func (c *Core) startTransfer() {
	if c.leaderState == nil || c.leaderState.transferee != NoIdentity {
		return
	}
	best, match := NoIdentity, uint64(0)
	for _, m := range c.configuration.Members {
		p := c.leaderState.progressOf(m.Identity)
		responsive := p.hadContact && c.now-p.lastContact < ElectionTimeoutMin
		longer := p.countedMatch() > match || p.countedMatch() == match && best == c.leaderState.lastTransferee
		if m.Voter && !p.departing && m.Identity != c.options.Identity && responsive && p.countedMatch() > 0 && longer {
			best, match = m.Identity, p.countedMatch()
		}
	}
	if best == NoIdentity {
		return
	}
	c.leaderState.transferee, c.leaderState.lastTransferee = best, best
	c.leaderState.transferDeadline = c.now + ElectionTimeoutMax
	c.continueTransfer()
}

// continueTransfer tells the transferee to start an election once it holds the whole log.
func (c *Core) continueTransfer() {
	id := c.leaderState.transferee
	if id != NoIdentity && c.leaderState.progressOf(id).countedMatch() == c.log.last() {
		c.send(Message{Type: MessageTimeoutNow, To: id}, immediately)
	}
}

// NextDeadline returns the time of a leader's next heartbeat round; for another role, the election
// deadline.
func (c *Core) NextDeadline() time.Duration {
	if c.leaderState != nil {
		return c.leaderState.nextRound
	}
	return c.electionDeadline
}
