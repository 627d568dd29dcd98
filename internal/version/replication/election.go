package replication

import "time"

// becomeFollower enters the term, if it is newer, and follows the leader, which may be NoIdentity.
func (c *Core) becomeFollower(term uint64, leader Identity) {
	if term > c.hardState.Term {
		c.hardState.Term, c.hardState.Vote = term, NoIdentity
		c.dirtyState = true
	}
	if c.role != Follower || leader != c.leader {
		c.incoming = nil
	}
	c.role, c.leader = Follower, leader
	c.leaderState, c.votes, c.candidateBatch = nil, nil, 0
	c.resetElectionDeadline()
}

// becomePreCandidate asks the voters whether an election could be won. This does not disturb a leader
// from which other members still receive messages.
func (c *Core) becomePreCandidate() {
	c.role, c.leader = PreCandidate, NoIdentity
	c.preVote, c.preVoteAt = c.options.Identity, c.now
	c.electionDeadline = c.now + preVoteWindow + time.Duration(c.random.Int64N(int64(preVoteRetrySpread)))
	c.votes = make(map[Identity]bool)
	c.requestVotes(MessagePreVote, c.hardState.Term+1, immediately)
	c.recordVote(c.options.Identity, true)
}

// becomeCandidate enters a new term. The vote requests and its own vote wait until the term is synced.
func (c *Core) becomeCandidate(requestedByLeader bool) {
	c.hardState.Term++
	c.hardState.Vote = c.options.Identity
	c.dirtyState = true
	c.role, c.leader, c.requestedByLeader = Candidate, NoIdentity, requestedByLeader
	c.votes = make(map[Identity]bool)
	c.candidateBatch = c.lastBatch + 1
	c.resetElectionDeadline()
	c.requestVotes(MessageVote, c.hardState.Term, afterState)
}

func (c *Core) requestVotes(messageType MessageType, term uint64, after sendCondition) {
	for _, m := range c.configuration.Members {
		if m.Voter && m.Identity != c.options.Identity {
			c.requestVote(m.Identity, messageType, term, after)
		}
	}
}

func (c *Core) requestVote(from Identity, messageType MessageType, term uint64, after sendCondition) {
	c.send(Message{
		Type: messageType, To: from, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(),
		Transfer: messageType == MessageVote && c.requestedByLeader,
	}, after)
}

// repeatVoteRequest requests the vote of the named voter again if it has not replied in the election in progress.
func (c *Core) repeatVoteRequest(name string) {
	for _, m := range c.configuration.Members {
		if _, replied := c.votes[m.Identity]; replied || m.Name != name || !m.Voter || m.Identity == c.options.Identity {
			continue
		}
		switch c.role {
		case PreCandidate:
			c.requestVote(m.Identity, MessagePreVote, c.hardState.Term+1, immediately)
		case Candidate:
			c.requestVote(m.Identity, MessageVote, c.hardState.Term, afterState)
		}
	}
}

// handleVoteRequest grants a vote if the candidate's log holds everything that may be committed and,
// for a real vote, if this member has not voted for another candidate in this term.
func (c *Core) handleVoteRequest(m *Message) {
	reply := Message{To: m.From, Type: MessageVoteReply}
	mayGrant := c.hardState.Vote == NoIdentity || c.hardState.Vote == m.From
	if m.Type == MessagePreVote {
		reply.Type = MessagePreVoteReply
		mayGrant = m.Term > c.hardState.Term && !c.supportsAnotherCandidate(m)
	}
	if !c.mayVote() || !mayGrant || !c.log.upToDate(m.Index, m.LogTerm) {
		reply.Reject = true
		c.send(reply, afterState)
		if m.Type == MessagePreVote && c.role == PreCandidate && c.log.upToDate(m.Index, m.LogTerm) {
			// The sender yields to this pre-candidate, whose requests it may not have received.
			c.requestVote(m.From, MessagePreVote, c.hardState.Term+1, immediately)
		}
		return
	}
	if m.Type == MessagePreVote {
		if c.role == PreCandidate {
			c.becomeFollower(c.hardState.Term, NoIdentity)
		}
		c.preVote, c.preVoteAt = m.From, c.now
		reply.Term = m.Term
		c.send(reply, afterState)
		return
	}
	if c.hardState.Vote != m.From {
		c.hardState.Vote = m.From
		c.dirtyState = true
	}
	c.resetElectionDeadline()
	c.send(reply, afterState)
}

// supportsAnotherCandidate reports whether this member supports a candidate other than the sender. For
// preVoteWindow, a member supports one candidate, itself included, so that only one can get a quorum
// of pre-votes; several would split the votes and wait for another election timeout. A pre-candidate
// yields to one with a longer log or a higher identity.
func (c *Core) supportsAnotherCandidate(m *Message) bool {
	if c.preVote == NoIdentity || c.preVote == m.From || c.now-c.preVoteAt >= preVoteWindow {
		return false
	}
	equal := m.Index == c.log.last() && m.LogTerm == c.log.lastTerm()
	return c.role != PreCandidate || equal && m.From < c.options.Identity
}

func (c *Core) handleVoteReply(m *Message) {
	if m.Barred {
		return
	}
	pre := c.role == PreCandidate && m.Type == MessagePreVoteReply && (m.Reject || m.Term == c.hardState.Term+1)
	real := c.role == Candidate && m.Type == MessageVoteReply
	if pre || real {
		c.recordVote(m.From, !m.Reject)
	}
}

// recordVote records a vote and ends the election once it is won or lost. Only the votes of voters in
// this member's configuration are counted.
func (c *Core) recordVote(from Identity, granted bool) {
	c.votes[from] = granted
	quorum := c.configuration.Quorum()
	if c.configuration.countVoters(func(id Identity) bool { return c.votes[id] }) >= quorum {
		if c.role == PreCandidate {
			c.becomeCandidate(false)
		} else {
			c.becomeLeader()
		}
		return
	}
	rejected := c.configuration.countVoters(func(id Identity) bool {
		granted, voted := c.votes[id]
		return voted && !granted
	})
	if rejected > c.configuration.Voters()-quorum {
		c.becomeFollower(c.hardState.Term, NoIdentity)
	}
}

// ElectionDeadline returns the time at which this member may start an election unless it receives a
// message from a leader.
func (c *Core) ElectionDeadline() time.Duration { return c.electionDeadline }
