// Package jobcheck implements the entry's state machine that asks the other entries before it starts a restartable job that
// another one may have. This is the case if a submission may have been delayed on its way: its caller may have stopped
// waiting and submitted the job to another entry, and may do so later.
//
// A delayed submission is started once every other listed entry has answered that it does not have the job. Each of them
// notes the job until the sender reports that it is over. An entry that gets a submission of a job that it has noted asks
// the other one to give the job up, and starts it when no run is left there.
//
// A note is valid while the session with the other entry is open, and as long afterwards as runs of an entry that is lost
// may continue. An entry gives the noted jobs up when a session ends or opens, and after a pause of its process (package
// scheduler).
package jobcheck

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/runner"
)

const (
	// answerTimeout bounds a check. Sessions that have ended during a stall are open again after some 300 ms.
	answerTimeout = 500 * time.Millisecond
	// lossTimeout is the time after which no run of an entry that has ended or is cut off is in progress.
	lossTimeout = runner.OwnerTimeout + runner.DefaultLeaseTerm + 200*time.Millisecond
	// refusalRetryAfter is the retry delay suggested for submissions that cannot be checked.
	refusalRetryAfter = time.Second
)

// check is a check of a job that this entry would start.
type check struct {
	job      string
	round    uint64
	deadline time.Duration
	delayed  bool            // all listed entries are asked, and otherwise only the one that is noted
	free     map[string]bool // ids of the entries that do not have the job
	revision uint64          // highest revision of an answer
}

// note says that another entry may start or run a job after a check.
type note struct {
	entry  wire.Claimant
	expiry time.Duration // zero while the session is open
}

// Stats holds the counters of a machine.
type Stats struct {
	Checks  uint64 // of delayed submissions
	Recalls uint64 // of jobs that another entry has started after a check
	Refused uint64 // checks after which the job was not started
	GivenUp uint64 // jobs started after a check and given up
	Running int    // jobs started after a check that are not over
}

// Machine is the state machine. It performs no I/O and reads no clock.
type Machine struct {
	entry     string // id of this entry
	firstStep time.Duration
	revision  uint64
	listed    []string // ids of the other listed entries
	peers     map[wire.Claimant]bool
	earlier   map[string]bool // connected entries of an earlier release, by id
	lastRound uint64
	checks    map[string]*check // by job
	rounds    map[uint64]*check
	queue     []*check        // in order of their deadlines; some may have ended
	running   map[string]bool // jobs started after the check of a delayed submission; true once given up
	notes     map[string]note // by job
	// notesExpireAt is when the first note expires; zero if none does.
	notesExpireAt time.Duration
	stats         Stats
	actions       []Action
}

// New returns a machine of the entry with the given id.
func New(entry string) *Machine {
	return &Machine{
		entry: entry, peers: map[wire.Claimant]bool{}, earlier: map[string]bool{}, checks: map[string]*check{},
		rounds: map[uint64]*check{}, running: map[string]bool{}, notes: map[string]note{},
	}
}

// Step applies one event. The returned actions are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	if m.firstStep == 0 {
		m.firstStep = now
	}
	m.expire(now) // before answers that have waited during a pause
	switch e := event.(type) {
	case Configured:
		m.revision = e.Revision
		m.listed = slices.DeleteFunc(slices.Clone(e.Entries), func(id string) bool { return id == m.entry })
		m.concludeAll()
	case PeerConnected:
		m.connect(now, e)
	case PeerDisconnected:
		m.disconnect(now, e.Entry)
	case Received:
		m.receive(now, e)
	case Submitted:
		m.begin(now, e)
	case Dropped:
		if c := m.checks[e.Job]; c != nil {
			m.end(c)
		}
	case Over:
		m.over(e.Job)
	}
	return m.actions
}

// Needed reports whether a submission needs a check before it is started. The job must have no run at this entry.
func (m *Machine) Needed(now time.Duration, job string, delayed bool) bool {
	return delayed && len(m.respondents()) > 0 || m.noted(now, job)
}

// Running returns the jobs that were started after the check of a delayed submission and are not over, in a fixed order.
func (m *Machine) Running() []string { return slices.Sorted(maps.Keys(m.running)) }

// Checking reports whether a check of the job is in progress.
func (m *Machine) Checking(job string) bool { return m.checks[job] != nil }

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Running = len(m.running)
	return s
}

// NextWake returns the time of the next Tick; false if none is needed.
func (m *Machine) NextWake() (time.Duration, bool) {
	if len(m.checks) == 0 {
		return 0, false
	}
	for m.rounds[m.queue[0].round] == nil {
		m.queue = m.queue[1:]
	}
	if m.notesExpireAt != 0 {
		return min(m.queue[0].deadline, m.notesExpireAt), true
	}
	return m.queue[0].deadline, true
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// sortedPeers returns the connected entries that understand the messages, in a fixed order.
func (m *Machine) sortedPeers() []wire.Claimant {
	return slices.SortedFunc(maps.Keys(m.peers), func(a, b wire.Claimant) int {
		return cmp.Or(strings.Compare(a.EntryID, b.EntryID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

func (m *Machine) sortedChecks() []*check {
	return slices.SortedFunc(maps.Values(m.checks), func(a, b *check) int { return cmp.Compare(a.round, b.round) })
}

// respondents returns the ids of the entries whose answers a delayed submission needs. Entries of an earlier release give none.
func (m *Machine) respondents() []string {
	return slices.DeleteFunc(slices.Clone(m.listed), func(id string) bool { return m.earlier[id] })
}

func (m *Machine) noted(now time.Duration, job string) bool {
	n, found := m.notes[job]
	return found && (n.expiry == 0 || now < n.expiry)
}

// expire ends the checks and notes whose time is over.
func (m *Machine) expire(now time.Duration) {
	for len(m.queue) > 0 && (m.rounds[m.queue[0].round] == nil || now >= m.queue[0].deadline) {
		c := m.queue[0]
		m.queue = m.queue[1:]
		if m.rounds[c.round] != nil {
			m.refuse(c, errNotChecked())
		}
	}
	if m.notesExpireAt == 0 || now < m.notesExpireAt {
		return
	}
	m.notesExpireAt = 0
	for job, n := range m.notes {
		switch {
		case n.expiry == 0:
		case now >= n.expiry:
			delete(m.notes, job)
		case m.notesExpireAt == 0 || n.expiry < m.notesExpireAt:
			m.notesExpireAt = n.expiry
		}
	}
	m.concludeAll()
}

// errNotChecked is the error of a submission whose check was not answered in time.
func errNotChecked() *failure.Error {
	return failure.New(failure.MayHaveRun, "resubmit the job",
		"the caller may have submitted the job to another entry, and not every entry has answered whether it has the job").WithRetryAfter(refusalRetryAfter)
}

// errElsewhere is the error of a submission of a job that another entry has.
func errElsewhere() *failure.Error {
	return failure.New(failure.MayHaveRun, "resubmit the job", "another entry has the job").WithRetryAfter(refusalRetryAfter)
}

func (m *Machine) connect(now time.Duration, e PeerConnected) {
	if e.EarlierRelease {
		m.earlier[e.Entry.EntryID] = true
		m.concludeAll()
		return
	}
	delete(m.earlier, e.Entry.EntryID)
	m.peers[e.Entry] = true
	// The peer gives up the jobs noted here, and may have sent the end of some on an earlier session. It checks others again.
	m.expireNotes(now, e.Entry)
	m.giveUpAll() // the peer has no notes, or they will expire
	for _, c := range m.sortedChecks() {
		if c.delayed {
			delete(c.free, e.Entry.EntryID)
			m.emit(Send{To: e.Entry, Message: &wire.JobCheck{Round: c.round, Job: c.job}})
		}
	}
}

func (m *Machine) disconnect(now time.Duration, entry wire.Claimant) {
	delete(m.earlier, entry.EntryID)
	if !m.peers[entry] {
		return
	}
	delete(m.peers, entry)
	m.expireNotes(now, entry)
	for _, c := range m.checks {
		delete(c.free, entry.EntryID)
	}
	m.giveUpAll()
}

// expireNotes lets the notes for an entry expire when its runs are over.
func (m *Machine) expireNotes(now time.Duration, entry wire.Claimant) {
	for job, n := range m.notes {
		if n.entry != entry || n.expiry != 0 {
			continue
		}
		n.expiry = now + lossTimeout
		m.notes[job] = n
		if m.notesExpireAt == 0 {
			m.notesExpireAt = n.expiry
		}
	}
}

func (m *Machine) receive(now time.Duration, e Received) {
	switch message := e.Message.(type) {
	case *wire.JobCheck:
		m.serve(now, e, message)
	case *wire.JobCheckAnswer:
		if c := m.rounds[message.Round]; c != nil {
			m.answered(c, e.From, message)
		}
	case *wire.JobCheckEnded:
		if n, found := m.notes[message.Job]; found && n.entry == e.From {
			delete(m.notes, message.Job)
			if c := m.checks[message.Job]; c != nil {
				m.conclude(c)
			}
		}
	}
}

// serve answers a check of another entry.
func (m *Machine) serve(now time.Duration, e Received, message *wire.JobCheck) {
	_, running := m.running[message.Job]
	if running && message.Recall {
		m.giveUp(message.Job)
		return // JobCheckEnded follows when the job is over
	}
	if c := m.checks[message.Job]; c != nil && c.delayed && message.Recall {
		m.refuse(c, errElsewhere())
	}
	n, found := m.notes[message.Job]
	notedByOther := found && n.entry != e.From
	result := wire.CheckFree
	switch {
	case e.Owned || running || notedByOther || m.checks[message.Job] != nil:
		result = wire.CheckOwned
	case message.Recall:
	case now-m.firstStep < lossTimeout:
		result = wire.CheckUncertain
	default:
		m.notes[message.Job] = note{entry: e.From}
	}
	m.emit(Send{To: e.From, Message: &wire.JobCheckAnswer{Round: message.Round, Result: result, Revision: m.revision}})
}

// answered handles the answer to a check of this entry.
func (m *Machine) answered(c *check, from wire.Claimant, message *wire.JobCheckAnswer) {
	switch {
	case message.Result == wire.CheckOwned:
		m.refuse(c, errElsewhere())
		return
	case message.Result != wire.CheckFree:
		m.refuse(c, errNotChecked())
		return
	case c.delayed:
		c.free[from.EntryID] = true
		c.revision = max(c.revision, message.Revision)
	case m.notes[c.job].entry == from:
		delete(m.notes, c.job)
	}
	m.conclude(c)
}

// begin starts a check unless there is one.
func (m *Machine) begin(now time.Duration, e Submitted) {
	if m.checks[e.Job] != nil {
		return
	}
	m.lastRound++
	c := &check{job: e.Job, round: m.lastRound, deadline: now + answerTimeout, delayed: e.Delayed, free: map[string]bool{}}
	m.checks[c.job], m.rounds[c.round], m.queue = c, c, append(m.queue, c)
	if !c.delayed {
		m.stats.Recalls++
		if n := m.notes[c.job]; m.peers[n.entry] {
			m.emit(Send{To: n.entry, Message: &wire.JobCheck{Round: c.round, Job: c.job, Recall: true}})
		}
		return
	}
	m.stats.Checks++
	for _, peer := range m.sortedPeers() {
		m.emit(Send{To: peer, Message: &wire.JobCheck{Round: c.round, Job: c.job}})
	}
}

func (m *Machine) concludeAll() {
	for _, c := range m.sortedChecks() {
		m.conclude(c)
	}
}

// conclude starts the job of a check that has succeeded. An entry that is not known here yet may have the job, so the
// list of entries must be as new as those of the entries that have answered.
func (m *Machine) conclude(c *check) {
	if !c.delayed {
		if _, found := m.notes[c.job]; !found {
			m.remove(c)
			m.emit(Start{Job: c.job})
		}
		return
	}
	if m.revision < c.revision || slices.ContainsFunc(m.respondents(), func(id string) bool { return !c.free[id] }) {
		return
	}
	m.remove(c)
	m.running[c.job] = false
	m.emit(Start{Job: c.job})
}

func (m *Machine) refuse(c *check, err *failure.Error) {
	m.stats.Refused++
	m.end(c)
	m.emit(Refuse{Job: c.job, Error: err})
}

// end removes a check and the notes that it has left.
func (m *Machine) end(c *check) {
	m.remove(c)
	if c.delayed {
		m.tellEnded(c.job)
	}
}

func (m *Machine) remove(c *check) {
	delete(m.checks, c.job)
	delete(m.rounds, c.round)
}

func (m *Machine) tellEnded(job string) {
	for _, peer := range m.sortedPeers() {
		m.emit(Send{To: peer, Message: &wire.JobCheckEnded{Job: job}})
	}
}

func (m *Machine) giveUp(job string) {
	if m.running[job] {
		return
	}
	m.running[job] = true
	m.stats.GivenUp++
	m.emit(GiveUp{Job: job})
}

func (m *Machine) giveUpAll() {
	for _, job := range m.Running() {
		m.giveUp(job)
	}
}

func (m *Machine) over(job string) {
	if _, found := m.running[job]; found {
		delete(m.running, job)
		m.tellEnded(job)
	}
}
