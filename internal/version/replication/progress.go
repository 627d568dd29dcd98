package replication

import "time"

// progressState is the mode in which a leader sends entries to a member. Probing has Raft's meaning
// here, not that of a probe in an agent's queue.
type progressState uint8

const (
	// probing: the last common entry of the logs is not known; one Append is sent at a time.
	probing progressState = iota
	// replicating: Appends are sent ahead of their acknowledgements.
	replicating
	// installing: the member needs entries that are no longer in the log, so it is sent the snapshot.
	installing
)

// progress is what the leader knows about a member.
//
// Invariants: match < next; entries up to match are synced at the member unless it is barred.
type progress struct {
	state             progressState
	match             uint64
	next              uint64
	inflight          []uint64      // last index of each unacknowledged Append, ascending
	probeSent         bool          // probing: an Append has no reply yet
	retryFrom         time.Duration // time of the last progress or (re)send, from which retryInterval counts
	lastContact       time.Duration // time of the last message; until there is one, when the member was added or the term began
	hadContact        bool          // a message was received from the member
	acknowledgedRound uint64
	commitSent        uint64
	barred            bool
	departing         bool   // the member is to be replaced, because its process is about to end
	run               uint64 // incarnation of the process that departs

	snapshot *Snapshot // installing: the snapshot being sent
	offset   uint64
}

// probe restarts the search for the last common entry of the logs with an Append from next on.
func (p *progress) probe(next uint64, now time.Duration) {
	p.state, p.next, p.probeSent, p.retryFrom = probing, max(next, p.match+1), false, now
	p.inflight, p.snapshot = p.inflight[:0], nil
}

// acknowledge records that entries up to index are synced at the member.
func (p *progress) acknowledge(index uint64, now time.Duration) {
	if index > p.match {
		p.match = index
		p.retryFrom = now
	}
	p.next = max(p.next, p.match+1)
	done := 0
	for done < len(p.inflight) && p.inflight[done] <= index {
		done++
	}
	p.inflight = append(p.inflight[:0], p.inflight[done:]...)
	if p.state == probing || p.state == installing && p.match >= p.snapshot.Index {
		p.state, p.snapshot, p.probeSent = replicating, nil, false
	}
}

// markBarred stops counting the member: its data folder has lost entries that it acknowledged.
func (p *progress) markBarred(now time.Duration) {
	p.barred, p.match, p.acknowledgedRound = true, 0, 0
	p.probe(p.next, now)
}

// countedMatch returns the match that counts towards a commit.
func (p *progress) countedMatch() uint64 {
	if p.barred {
		return 0
	}
	return p.match
}

// leaderState is the state that only a leader has.
type leaderState struct {
	self             Identity
	noop             uint64 // index of the first entry of the term
	members          map[Identity]*progress
	removed          map[Identity]Member // members beyond the target size that were removed in this term
	lastRound        uint64
	roundSent        [roundHistory]time.Duration
	nextRound        time.Duration
	uncommittedBytes int
	transferee       Identity // of the transfer in progress
	lastTransferee   Identity // of the last transfer of this term
	transferDeadline time.Duration
}

// progressOf returns the progress of a member of the configuration; for any other identity, an empty
// one that is not kept.
func (l *leaderState) progressOf(id Identity) *progress {
	if p, ok := l.members[id]; ok {
		return p
	}
	return &progress{}
}

func (l *leaderState) localProgress() *progress { return l.progressOf(l.self) }

// updateMembers adds the progress of new members and drops that of removed ones.
func (l *leaderState) updateMembers(c *Core) {
	members := make(map[Identity]*progress, len(c.configuration.Members))
	for _, m := range c.configuration.Members {
		p, ok := l.members[m.Identity]
		if !ok {
			p = &progress{next: c.log.last() + 1, retryFrom: c.now, lastContact: c.now}
		}
		members[m.Identity] = p
	}
	l.members = members
}
