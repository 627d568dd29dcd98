package replication

import "time"

// becomeFollower enters the term, if it is newer, and follows the leader, which may be NoIdentity.
func (c *Core) becomeFollower(term uint64, leader Identity) {
	if term > c.hard.Term {
		c.hard.Term, c.hard.Vote = term, NoIdentity
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
// that others still hear.
func (c *Core) becomePreCandidate() {
	c.role, c.leader = PreCandidate, NoIdentity
	c.preVote, c.preVoteAt = c.options.Identity, c.now
	c.electionDeadline = c.now + preVoteWindow + time.Duration(c.random.Int64N(int64(preVoteRetrySpread)))
	c.votes = make(map[Identity]bool)
	c.requestVotes(MessagePreVote, c.hard.Term+1, immediately)
	c.recordVote(c.options.Identity, true)
}

// becomeCandidate enters a new term. The vote requests and the own vote wait until the term is synced.
func (c *Core) becomeCandidate(transferred bool) {
	c.hard.Term++
	c.hard.Vote = c.options.Identity
	c.dirtyState = true
	c.role, c.leader, c.transferred = Candidate, NoIdentity, transferred
	c.votes = make(map[Identity]bool)
	c.candidateBatch = c.lastBatch + 1
	c.resetElectionDeadline()
	c.requestVotes(MessageVote, c.hard.Term, afterState)
}

func (c *Core) requestVotes(kind MessageType, term uint64, after sendCondition) {
	for _, m := range c.configuration.Members {
		if m.Voter && m.Identity != c.options.Identity {
			c.send(Message{
				Type: kind, To: m.Identity, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(),
				Transfer: kind == MessageVote && c.transferred,
			}, after)
		}
	}
}

// handleVoteRequest grants a vote if the candidate's log holds everything that may be committed and,
// for a real vote, if no other candidate has got it in this term.
func (c *Core) handleVoteRequest(m *Message) {
	reply := Message{To: m.From, Type: MessageVoteReply}
	free := c.hard.Vote == NoIdentity || c.hard.Vote == m.From
	if m.Type == MessagePreVote {
		reply.Type = MessagePreVoteReply
		free = m.Term > c.hard.Term && !c.supportsAnotherCandidate(m)
	}
	if !c.mayVote() || !free || !c.log.upToDate(m.Index, m.LogTerm) {
		reply.Reject = true
		c.send(reply, afterState)
		return
	}
	if m.Type == MessagePreVote {
		if c.role == PreCandidate {
			c.becomeFollower(c.hard.Term, NoIdentity)
		}
		c.preVote, c.preVoteAt = m.From, c.now
		reply.Term = m.Term
		c.send(reply, afterState)
		return
	}
	if c.hard.Vote != m.From {
		c.hard.Vote = m.From
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
	pre := c.role == PreCandidate && m.Type == MessagePreVoteReply && (m.Reject || m.Term == c.hard.Term+1)
	real := c.role == Candidate && m.Type == MessageVoteReply
	if pre || real {
		c.recordVote(m.From, !m.Reject)
	}
}

// recordVote records a vote and acts on the majority among the voters of the own configuration.
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
	refused := c.configuration.countVoters(func(id Identity) bool {
		granted, voted := c.votes[id]
		return voted && !granted
	})
	if refused > c.configuration.Voters()-quorum {
		c.becomeFollower(c.hard.Term, NoIdentity)
	}
}

// ElectionDeadline returns the time at which this member calls an election unless it hears a leader.
func (c *Core) ElectionDeadline() time.Duration { return c.electionDeadline }
