package replication

import "time"

// MemberProgress is what the leader knows about a member.
type MemberProgress struct {
	Match  uint64
	Heard  time.Duration // time since its last message; negative if never
	Barred bool
}

// Status is a copy of a member's state for the state dump. Commit, Applied, First, Last, Synced and
// Snapshot are indexes of entries: Applied is the last one returned in Output.Committed or covered by a
// snapshot, First the oldest in memory (the next one if there is none), and Snapshot the last one that
// the snapshot covers.
type Status struct {
	Role          Role
	Term          uint64
	Leader        Identity
	Barred        bool
	Commit        uint64
	Applied       uint64
	First         uint64
	Last          uint64
	Synced        uint64
	Snapshot      uint64
	Configuration Configuration
	Progress      []MemberProgress // leader only: one per member, in the order of Configuration.Members
	Joining       []Member         // processes that requested to join within joinValidity
	// OtherGroup is the last group that a process reported and that was not this member's group at that
	// time; zero if none. For a process without a group it may be the group that the process is about to
	// join. It is not cleared; once it is set, a process with an empty data folder does not form a group.
	OtherGroup uint64
}

// Term returns the member's current term. A proposal that is submitted now is committed in this term or never: only
// the leader of this term accepts it.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Committed returns the index of the last entry that this member knows to be committed.
func (c *Core) Committed() uint64 { return c.log.committed }

// Status returns a copy of the member's state.
func (c *Core) Status() Status {
	s := Status{
		Role: c.role, Term: c.hardState.Term, Leader: c.leader, Barred: c.hardState.Barred,
		Commit: c.log.committed, Applied: c.applied, First: c.log.first, Last: c.log.last(),
		Synced: c.log.synced, Snapshot: c.log.snapshot.Index, Configuration: c.configuration,
		OtherGroup: c.joinState.otherGroup,
	}
	for _, j := range c.joinState.joiners {
		if m, ok := c.joinState.findJoiner(j.member.Name, c.now); ok {
			s.Joining = append(s.Joining, m)
		}
	}
	if c.leaderState == nil {
		return s
	}
	for _, m := range c.configuration.Members {
		p := c.leaderState.progressOf(m.Identity)
		progress := MemberProgress{Match: p.match, Heard: -1, Barred: p.barred}
		if m.Identity == c.options.Identity {
			progress.Match, progress.Heard = c.log.synced, 0
		} else if p.hadContact {
			progress.Heard = c.now - p.lastContact
		}
		s.Progress = append(s.Progress, progress)
	}
	return s
}
