package replication

import "time"

// becomeLeader starts a term with an entry of its own: earlier entries count as committed only
// together with it.
func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes, c.incoming = Leader, c.options.Identity, nil, nil
	c.leading = &leadership{self: c.options.Identity}
	c.leading.follow(c)
	for _, e := range c.log.between(c.log.committed+1, c.log.last()) {
		c.leading.uncommittedBytes += len(e.Data)
	}
	c.appendEntry(EntryNoop, ProposalID{}, nil)
	c.leading.noop = c.log.last()
	c.broadcast()
	c.startRound()
}

func (c *Core) appendEntry(kind EntryKind, proposal ProposalID, data []byte) {
	index := c.log.last() + 1
	c.log.append(Entry{Term: c.hard.Term, Index: index, Kind: kind, Proposal: proposal, Data: data})
	c.dirtyEntries(index)
	c.leading.uncommittedBytes += len(data)
	if kind == EntryConfiguration {
		c.changed()
	}
}

func (c *Core) tickLeader() {
	l := c.leading
	if c.aliveVoters(c.configuration) < c.configuration.Quorum() {
		c.becomeFollower(c.hard.Term, NoIdentity)
		return
	}
	if l.transferee != NoIdentity && c.now >= l.transferDeadline {
		l.transferee = NoIdentity
	}
	if c.now >= l.nextRound {
		c.startRound()
	}
	c.promoteLearner()
	c.admitJoiner()
}

// refusesProposals returns why a leader takes no proposals at present, or "".
func (c *Core) refusesProposals() string {
	l := c.leading
	switch {
	case l == nil:
		return "this member is not the leader"
	case l.transferee != NoIdentity:
		return "the leader is handing over"
	case c.log.last()-c.log.committed >= maxUncommittedEntries || l.uncommittedBytes >= maxUncommittedBytes:
		return "too many changes wait for a quorum"
	}
	return ""
}

// propose appends the caller's proposals, or forwards them to the leader.
func (c *Core) propose(proposals []Proposal) {
	if c.leading == nil && c.leader != NoIdentity {
		c.forward(proposals)
		return
	}
	appended := false
	for _, p := range proposals {
		reason := c.refusesProposals()
		if len(p.Data) > MaxProposalBytes {
			reason = "the change is too large"
		}
		if reason != "" {
			c.out.Refused = append(c.out.Refused, Refusal{Sequence: p.Sequence, Reason: reason})
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
	return ProposalID{Origin: c.options.Identity, Run: c.options.Run, Sequence: sequence}
}

func (c *Core) forward(proposals []Proposal) {
	for _, p := range proposals {
		if len(p.Data) > MaxProposalBytes {
			c.out.Refused = append(c.out.Refused, Refusal{Sequence: p.Sequence, Reason: "the change is too large"})
			continue
		}
		entry := Entry{Kind: EntryCommand, Proposal: c.proposalID(p.Sequence), Data: p.Data}
		c.send(Message{Type: MessagePropose, To: c.leader, Entries: []Entry{entry}}, immediately)
	}
}

// handleForwarded appends proposals of a follower.
func (c *Core) handleForwarded(m *Message) {
	appended := false
	for i, e := range m.Entries {
		if c.refusesProposals() != "" {
			c.refuseForwarded(m.From, m.Entries[i:])
			break
		}
		c.appendEntry(EntryCommand, e.Proposal, e.Data)
		appended = true
	}
	if appended {
		c.broadcast()
	}
}

func (c *Core) refuseForwarded(from Identity, entries []Entry) {
	for _, e := range entries {
		c.send(Message{Type: MessageProposeReply, To: from, Reject: true, Hint: e.Proposal.Sequence, Run: e.Proposal.Run}, afterState)
	}
}

// handleProposeReply reports that the leader refused a forwarded proposal. An earlier copy of the
// message may have been appended.
func (c *Core) handleProposeReply(m *Message) {
	if m.Run == c.options.Run {
		c.out.Refused = append(c.out.Refused, Refusal{Sequence: m.Hint, MayBeCommitted: true, Reason: "the leader refused the proposal"})
	}
}

// broadcast sends to every member what it lacks.
func (c *Core) broadcast() {
	for _, m := range c.configuration.Members {
		if m.Identity != c.options.Identity {
			c.replicate(m.Identity)
		}
	}
}

// replicate sends what the member's progress allows: entries, or a chunk of the snapshot.
func (c *Core) replicate(id Identity) {
	p := c.leading.of(id)
	for p.state != installing && p.next <= c.log.last() && !p.waiting && len(p.inflight) < maxInflight {
		previous, known := c.log.term(p.next - 1)
		if !known {
			c.startInstall(id, p)
			return
		}
		entries := c.log.limited(p.next)
		c.sendAppend(id, p, previous, entries)
		if p.state == probing {
			p.waiting = true
			return
		}
		last := entries[len(entries)-1].Index
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
	// A commit that no further Append carries is announced at once, so that followers apply a
	// change without waiting for the next heartbeat.
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

// handleFromFollower updates the sender's progress. Replies of older terms never get here.
func (c *Core) handleFromFollower(m *Message) {
	if c.leading == nil {
		return
	}
	p, member := c.leading.members[m.From]
	if !member {
		return
	}
	p.heardAt, p.heard = c.now, true
	if m.Barred && !p.barred {
		p.bar(c.now)
	}
	switch m.Type {
	case MessageAppendReply:
		c.handleAppendReply(m, p)
	case MessageSnapshotReply:
		c.handleSnapshotReply(m, p)
	case MessageHeartbeatReply:
		if !p.barred {
			p.acknowledgedRound = max(p.acknowledgedRound, min(m.Round, c.leading.round))
		}
		c.renewBasis()
		c.grant(m)
		c.retry(m.From, p)
	}
}

func (c *Core) handleAppendReply(m *Message, p *progress) {
	if m.Reject {
		stale := p.state == replicating && m.Index <= p.match || p.state == probing && m.Index != p.next-1
		if !stale && p.state != installing {
			agreed, _ := c.log.agreement(m.Hint, m.LogTerm)
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
	if c.leading == nil {
		return // the commit removed this leader
	}
	c.promoteLearner()
	c.continueTransfer()
	c.replicate(m.From)
}

// retry sends again when a member that lags has made no progress for a while.
func (c *Core) retry(id Identity, p *progress) {
	if p.match >= c.log.last() || c.now-p.changedAt < retryInterval {
		return
	}
	if p.state == installing {
		p.changedAt = c.now
		c.sendChunk(id, p)
		return
	}
	p.probe(p.match+1, c.now)
	c.replicate(id)
}

// maybeCommit advances the commit index to what a quorum has synced. Only an entry of the own
// term commits by counting: an older one could still be overwritten by another leader.
func (c *Core) maybeCommit() {
	index := c.configuration.quorumValue(func(id Identity) uint64 {
		if id == c.options.Identity {
			return c.log.synced
		}
		return c.leading.of(id).countedMatch()
	})
	if term, known := c.log.term(index); index <= c.log.committed || !known || term != c.hard.Term {
		return
	}
	for _, e := range c.log.between(c.log.committed+1, index) {
		c.leading.uncommittedBytes -= len(e.Data)
	}
	c.log.committed = index
	c.renewBasis()
	c.broadcast()
	if _, member := c.configuration.Find(c.options.Identity); !member && c.configurationIndex <= index {
		c.becomeFollower(c.hard.Term, NoIdentity)
	}
}

// startTransfer stops proposals and hands over to the voter with the longest log.
func (c *Core) startTransfer() {
	if c.leading == nil || c.leading.transferee != NoIdentity {
		return
	}
	best, match := NoIdentity, uint64(0)
	for _, m := range c.configuration.Members {
		p := c.leading.of(m.Identity)
		alive := p.heard && c.now-p.heardAt < ElectionTimeoutMin
		if m.Voter && m.Identity != c.options.Identity && alive && p.countedMatch() > match {
			best, match = m.Identity, p.match
		}
	}
	if best == NoIdentity {
		return
	}
	c.leading.transferee, c.leading.transferDeadline = best, c.now+ElectionTimeoutMax
	c.continueTransfer()
}

// continueTransfer tells the transferee to start an election once it holds the whole log.
func (c *Core) continueTransfer() {
	id := c.leading.transferee
	if id != NoIdentity && c.leading.of(id).countedMatch() == c.log.last() {
		c.send(Message{Type: MessageTimeoutNow, To: id}, immediately)
	}
}

// NextDeadline returns when the core next needs a Tick at the latest.
func (c *Core) NextDeadline() time.Duration {
	if c.leading != nil {
		return c.leading.nextRound
	}
	return c.electionDeadline
}
