package replication_test

import (
	"slices"
	"sort"
	"time"

	"pollenpaddle/internal/version/replication"
)

// committedEntry is an entry and the first time at which any member knew it to be committed.
type committedEntry struct {
	entry replication.Entry
	at    time.Duration
	term  uint64 // of the leader that committed it
}

// oracle observes all members and records what the group has committed. Its log is the reference
// implementation of the replicated log: a list that is only appended to.
type oracle struct {
	fail         func(string, ...any)
	leaders      map[uint64]replication.Identity // by term
	committed    []committedEntry                // at position index - 1
	lostDisks    map[replication.Identity]bool   // identities whose disks were replaced
	voters       map[replication.Identity]bool   // identities that were a voter in some configuration
	basesChecked int                             // calls of checkBasis that found a basis

	proposedIn map[replication.ProposalID]uint64 // the proposer's term at the time of the proposal

	configurations []configurationEntry // all that were appended, in the order in which they were persisted
}

// configurationEntry is a configuration with the position of the entry that holds it.
type configurationEntry struct {
	index, term   uint64
	configuration replication.Configuration
}

// groupSurvivesLossOf reports whether a majority of intact disks remains in every configuration that
// may be in effect if the disk of identity is lost in addition to those lost so far.
func (o *oracle) groupSurvivesLossOf(identity replication.Identity) bool {
	effective := uint64(0)
	for _, c := range o.configurations {
		if c.index <= uint64(len(o.committed)) && o.committed[c.index-1].entry.Term == c.term {
			effective = max(effective, c.index)
		}
	}
	for _, c := range o.configurations {
		overwritten := c.index <= uint64(len(o.committed)) && o.committed[c.index-1].entry.Term != c.term
		if c.index < effective || overwritten {
			continue
		}
		intact := 0
		for _, m := range c.configuration.Members {
			if m.Voter && m.Identity != identity && !o.lostDisks[m.Identity] {
				intact++
			}
		}
		if intact < c.configuration.Quorum() {
			return false
		}
	}
	return true
}

func newOracle(fail func(string, ...any)) *oracle {
	return &oracle{
		fail: fail, leaders: map[uint64]replication.Identity{},
		lostDisks: map[replication.Identity]bool{}, voters: map[replication.Identity]bool{},
		proposedIn: map[replication.ProposalID]uint64{},
	}
}

// checkOutput checks the votes that a member sends, and the election of a leader. It first
// records the configurations that the member persists.
func (o *oracle) checkOutput(m *machine, out replication.Output) {
	if out.Persist != nil {
		for _, e := range out.Persist.Entries {
			o.recordConfiguration(e)
		}
	}
	for _, e := range out.Messages {
		vote := e.Message.Type == replication.MessageVoteReply || e.Message.Type == replication.MessagePreVoteReply
		if !vote || e.Message.Reject {
			continue
		}
		if o.lostDisks[e.Message.From] || !o.voters[e.Message.From] || e.Message.From != m.store.Identity() {
			o.fail("%s granted a vote but may not vote (disk replaced: %v)", m.name, o.lostDisks[e.Message.From])
		}
	}
	if status := m.core.Status(); status.Role == replication.Leader {
		o.checkLeader(m, status)
	}
}

func (o *oracle) recordConfiguration(e replication.Entry) {
	if e.Kind != replication.EntryConfiguration {
		return
	}
	if c, err := replication.DecodeConfiguration(e.Data); err == nil {
		o.configurations = append(o.configurations, configurationEntry{e.Index, e.Term, c})
		for _, member := range c.Members {
			if member.Voter {
				o.voters[member.Identity] = true
			}
		}
	}
}

// checkLeader checks election safety, and that a new leader holds everything that leaders of earlier
// terms have committed. A member that was paused may win the election of an old term after a newer
// leader has committed more.
func (o *oracle) checkLeader(m *machine, status replication.Status) {
	identity, known := o.leaders[status.Term]
	if known && identity != m.store.Identity() {
		o.fail("term %d has two leaders", status.Term)
	}
	if known {
		return
	}
	o.leaders[status.Term] = m.store.Identity()
	earlier := uint64(sort.Search(len(o.committed), func(i int) bool { return o.committed[i].term >= status.Term }))
	if status.Last < earlier {
		o.fail("the log of the leader of term %d ends at %d, but %d entries were committed", status.Term, status.Last, earlier)
	}
	for _, e := range m.core.LogEntries() {
		if e.Index <= earlier && e.Term != o.committed[e.Index-1].entry.Term {
			o.fail("the leader of term %d lacks committed entry %d", status.Term, e.Index)
		}
	}
}

// checkCommitted checks that all members apply the same entries in the same order, and that a proposal is committed
// only in the term in which it was made.
func (o *oracle) checkCommitted(m *machine, e replication.Entry) {
	if e.Index != m.applied+1 {
		o.fail("%s applies entry %d after entry %d", m.name, e.Index, m.applied)
	}
	if term, known := o.proposedIn[e.Proposal]; known && term != e.Term {
		o.fail("%s commits a proposal of term %d in term %d", m.name, term, e.Term)
	}
	switch next := uint64(len(o.committed)) + 1; {
	case e.Index == next:
		o.committed = append(o.committed, committedEntry{entry: e, at: m.cluster.now, term: m.core.Status().Term})
	case e.Index > next:
		o.fail("%s commits entry %d after entry %d", m.name, e.Index, next-1)
	default:
		if c := o.committed[e.Index-1].entry; c.Term != e.Term || string(c.Data) != string(e.Data) {
			o.fail("%s commits a different entry %d", m.name, e.Index)
		}
	}
}

// check compares the state of all members. It is called after each step of the simulated time.
func (o *oracle) check(c *cluster) {
	type position struct{ index, term uint64 }
	held := map[position]string{}
	for _, m := range c.machines {
		if m.core == nil {
			continue
		}
		if m.pausedUntil <= c.now {
			o.checkBasis(m)
		}
		if c.now%(50*time.Millisecond) != 0 {
			continue // log matching is costly to check, and a violation persists
		}
		for _, e := range m.core.LogEntries() {
			at := position{e.Index, e.Term}
			if data, known := held[at]; known && data != string(e.Data) {
				o.fail("log matching: entry %d of term %d differs at %s", e.Index, e.Term, m.name)
			}
			held[at] = string(e.Data)
		}
	}
}

// checkBasis checks that the index of a basis includes every entry committed before its time, and
// that the member has applied it.
func (o *oracle) checkBasis(m *machine) {
	index, age, ok := m.core.Basis(m.localTime())
	if !ok {
		return
	}
	o.basesChecked++
	at := m.cluster.now - age
	before := sort.Search(len(o.committed), func(i int) bool { return o.committed[i].at >= at })
	if uint64(before) > index {
		o.fail("%s has a basis of age %v at index %d, but entry %d was committed before the time of the basis", m.name, age, index, before)
	}
	if m.applied < index {
		o.fail("%s has a basis at index %d but has applied only %d", m.name, index, m.applied)
	}
}

// commands returns the committed commands in order.
func (o *oracle) commands() []string {
	var commands []string
	for _, c := range o.committed {
		if c.entry.Kind == replication.EntryCommand {
			commands = append(commands, string(c.entry.Data))
		}
	}
	return commands
}

func (o *oracle) hasCommand(command string) bool { return slices.Contains(o.commands(), command) }
