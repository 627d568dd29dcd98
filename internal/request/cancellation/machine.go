// Package cancellation implements the entry's state machine that keeps the cancellations of restartable jobs, so that no
// task of a cancelled job starts when a copy of the job arrives later or its entry continues after a stall.
//
// The entry that is asked to cancel a job sends the cancellation to all connected entries and acknowledges it once a
// majority of the listed entries, itself included, keeps it. If some listed entry has not confirmed it, agents are told
// too: they stop and refuse the runs that this entry may still order. An entry that was out of touch, or has started,
// asks the others before it continues or starts earlier jobs; an answer from a majority, itself included, contains every
// acknowledged cancellation.
package cancellation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
)

const (
	// DefaultLimit bounds the cancellations that an entry keeps. 744,000 took 36 to 63 MB.
	DefaultLimit = 1 << 20
	// AgentLimit bounds the cancellations that an agent keeps. It is told only those that some entry has not confirmed.
	AgentLimit = 1 << 15
	// confirmTimeout is the time after which an entry that has not confirmed counts as stalled. It is well above a round
	// trip between zones and a pause for garbage collection, and leaves 2.7 s of the smaller bound of 3 s.
	confirmTimeout = 300 * time.Millisecond
	// askTimeout bounds the wait for the answers of other entries. A session that ended during a stall is open again
	// after some 300 ms.
	askTimeout = time.Second
	// maxPending bounds the cancellations that wait for confirmations.
	maxPending = 1 << 16
	// refusalRetryAfter is the retry delay suggested when a cancellation is not acknowledged.
	refusalRetryAfter = time.Second
)

// Config configures a machine. A Limit that is not positive is replaced by DefaultLimit.
type Config struct {
	Entry string // id of this entry
	Limit int
}

// Event is an input of the machine.
type Event interface{ cancellationEvent() }

// Configured reports the ids of the listed entries and the longest time for which callers wait by the configuration.
type Configured struct {
	Entries     []string
	LongestWait time.Duration
}

// PeerConnected reports a session with another entry, which understands the messages or belongs to an earlier release.
type PeerConnected struct {
	Entry          wire.Claimant
	EarlierRelease bool
}

// PeerDisconnected reports the end of a session.
type PeerDisconnected struct{ Entry wire.Claimant }

// Received reports a message of another entry.
type Received struct {
	From    wire.Claimant
	Message wire.Message
}

// Requested reports a caller's request to cancel a job. Exactly one Acknowledged or Refused with its number follows.
type Requested struct {
	Job    string
	Number uint64
}

// Learned reports a cancellation that an agent, or an entry of an earlier release, knows of.
type Learned struct{ Job string }

// OutOfTouch reports that the entry has stalled or was cut off from all other processes for a time.
type OutOfTouch struct{ Gap time.Duration }

// Tick triggers time-based actions. It is due at the time returned by Machine.NextWake.
type Tick struct{}

func (Configured) cancellationEvent()       {}
func (PeerConnected) cancellationEvent()    {}
func (PeerDisconnected) cancellationEvent() {}
func (Received) cancellationEvent()         {}
func (Requested) cancellationEvent()        {}
func (Learned) cancellationEvent()          {}
func (OutOfTouch) cancellationEvent()       {}
func (Tick) cancellationEvent()             {}

// Action is an output of the machine, to be executed by the caller of Machine.Step.
type Action interface{ cancellationAction() }

// Send sends a message to another entry.
type Send struct {
	To      wire.Claimant
	Message wire.Message
}

// TellAgents sends a message to all agents.
type TellAgents struct{ Message wire.Message }

// Stop stops a job.
type Stop struct{ Job string }

// StopCancelled stops every open job that Machine.Cancelled reports as cancelled.
type StopCancelled struct{}

// Acknowledged answers a request: the cancellation holds.
type Acknowledged struct {
	Number      uint64
	Copies      int  // entries that keep the cancellation, this one included
	Unconfirmed bool // some entry that is listed, or was within the retention, has not confirmed it
}

// Refused answers a request: the cancellation is not known to hold.
type Refused struct {
	Number uint64
	Error  *failure.Error
}

// Closed asks to hold the jobs that were submitted before and those that are submitted until Opened.
type Closed struct{}

// Opened ends Closed. Unless Complete is set, the cancellations of jobs that were submitted before are unknown, and the
// entry must not continue them.
type Opened struct {
	Complete bool
	Starting bool // the first one since the start: there are no earlier jobs
	Answers  int
}

func (Send) cancellationAction()          {}
func (TellAgents) cancellationAction()    {}
func (Stop) cancellationAction()          {}
func (StopCancelled) cancellationAction() {}
func (Acknowledged) cancellationAction()  {}
func (Refused) cancellationAction()       {}
func (Closed) cancellationAction()        {}
func (Opened) cancellationAction()        {}

// pending is a cancellation that was requested here and is not acknowledged yet.
type pending struct {
	job       string
	number    uint64
	deadline  time.Duration
	awaited   map[wire.Claimant]bool // connected entries that have not replied
	confirmed map[string]bool        // ids of the entries that keep it
}

// question is a round of queries to the other entries.
type question struct {
	round    uint64
	deadline time.Duration
	gap      time.Duration
	answered map[string]bool // by the id of the entry; false if it was asking itself
	// stalled is set if an answer came from an entry that was asking because it had stalled or was cut off.
	stalled bool
}

// Stats holds the counters of a machine.
type Stats struct {
	Kept         int // cancellations
	Acknowledged uint64
	Unconfirmed  uint64 // acknowledged before some listed entry had confirmed
	Refused      uint64
	Questions    uint64 // rounds of queries
	Incomplete   uint64 // rounds without enough answers
}

// Machine is the state machine. It performs no I/O and reads no clock.
type Machine struct {
	config   Config
	records  *Records
	told     *Records                 // of the records, those that agents are told
	listed   []string                 // ids of the other listed entries, sorted
	departed map[string]time.Duration // ids of entries that were listed, with the time until which they may have jobs
	peers    map[wire.Claimant]bool
	earlier  map[string]bool // connected entries of an earlier release, by id
	starting bool            // no question to a listed entry has been concluded yet
	question *question       // nil: open
	round    uint64
	pending  []*pending // in order of their deadlines
	stats    Stats
	actions  []Action
}

// New returns a machine without cancellations. It is open until it is configured.
func New(config Config) *Machine {
	if config.Limit <= 0 {
		config.Limit = DefaultLimit
	}
	return &Machine{
		config: config, records: NewRecords(config.Limit), told: NewRecords(AgentLimit), starting: true,
		peers: map[wire.Claimant]bool{}, earlier: map[string]bool{}, departed: map[string]time.Duration{},
	}
}

// Step applies one event. The returned actions are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case Configured:
		m.configure(now, e)
	case PeerConnected:
		m.connect(now, e)
	case PeerDisconnected:
		m.disconnect(e.Entry)
	case Received:
		m.receive(now, e)
	case Requested:
		m.request(now, e)
	case Learned:
		if !m.Cancelled(now, e.Job) {
			m.records.Keep(now, Digest(e.Job), m.records.retention)
		}
		m.emit(Stop(e))
	case OutOfTouch:
		m.ask(now, e.Gap)
	}
	m.concludePending(now)
	m.concludeQuestion(now)
	return m.actions
}

// Cancelled reports whether the job was cancelled.
func (m *Machine) Cancelled(now time.Duration, job string) bool {
	return m.records.Len() > 0 && m.records.Contains(now, Digest(job))
}

// IsOpen reports whether jobs may be started and continued.
func (m *Machine) IsOpen() bool { return m.question == nil }

// Told returns the messages for an agent that connects.
func (m *Machine) Told(now time.Duration) []wire.Message {
	if m.told.Len() == 0 {
		return nil
	}
	return m.told.Messages(now)
}

// Expire removes the cancellations that have expired.
func (m *Machine) Expire(now time.Duration) {
	m.records.Expire(now)
	m.told.Expire(now)
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Kept = m.records.Len()
	return s
}

// NextWake returns the time of the next Tick; false if none is needed.
func (m *Machine) NextWake() (time.Duration, bool) {
	wake, due := time.Duration(0), false
	if m.question != nil {
		wake, due = m.question.deadline, true
	}
	if len(m.pending) > 0 && (!due || m.pending[0].deadline < wake) {
		wake, due = m.pending[0].deadline, true
	}
	return wake, due
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// sortedPeers returns the connected entries that understand the messages, in a fixed order.
func (m *Machine) sortedPeers() []wire.Claimant {
	return slices.SortedFunc(maps.Keys(m.peers), func(a, b wire.Claimant) int {
		if c := strings.Compare(a.EntryID, b.EntryID); c != 0 {
			return c
		}
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
}

// voters returns the ids of the other listed entries without those of an earlier release, which can neither keep
// cancellations nor answer.
func (m *Machine) voters() []string {
	return slices.DeleteFunc(slices.Clone(m.listed), func(id string) bool { return m.earlier[id] })
}

// majority returns how many entries, this one included, must keep a cancellation or answer.
func majority(others int) int { return (others+1)/2 + 1 }

func (m *Machine) configure(now time.Duration, e Configured) {
	first, before := m.listed == nil, m.listed
	m.listed = slices.DeleteFunc(slices.Sorted(slices.Values(e.Entries)), func(id string) bool { return id == m.config.Entry })
	if m.listed == nil {
		m.listed = []string{}
	}
	m.records.retention = max(Retention, min(e.LongestWait+resubmissionMargin, maxRetention))
	m.told.retention = m.records.retention
	// An entry that stalls or is cut off is removed from the list after some seconds and may continue its jobs.
	for _, id := range before {
		m.departed[id] = now + m.records.retention
	}
	maps.DeleteFunc(m.departed, func(id string, until time.Duration) bool { return now >= until || slices.Contains(m.listed, id) })
	if first && m.starting {
		m.ask(now, 0)
	}
}

func (m *Machine) connect(now time.Duration, e PeerConnected) {
	if e.EarlierRelease {
		m.earlier[e.Entry.EntryID] = true
		return
	}
	delete(m.earlier, e.Entry.EntryID)
	m.peers[e.Entry] = true
	for _, p := range m.pending {
		p.awaited[e.Entry] = true
		m.emit(Send{To: e.Entry, Message: &wire.JobCancellation{Round: p.number, Job: p.job}})
	}
	// The session may have been missing when a cancellation was acknowledged. If sessions with a majority were missing,
	// this entry holds its jobs until it knows.
	if m.question == nil && len(m.peers)+1 == majority(len(m.voters())) && len(m.listed) > 0 {
		m.ask(now, 0)
		return
	}
	m.emit(Send{To: e.Entry, Message: &wire.CancellationQuery{Round: m.round}})
}

func (m *Machine) disconnect(entry wire.Claimant) {
	delete(m.earlier, entry.EntryID)
	delete(m.peers, entry)
	for _, p := range m.pending {
		delete(p.awaited, entry)
	}
}

func (m *Machine) receive(now time.Duration, e Received) {
	switch message := e.Message.(type) {
	case *wire.JobCancellation:
		_, kept := m.records.Keep(now, Digest(message.Job), m.records.retention)
		m.emit(Stop{Job: message.Job})
		if message.TellAgents {
			m.tellAgents(now, message.Job)
		}
		if message.Round != 0 {
			m.emit(Send{To: e.From, Message: &wire.CancellationKept{Round: message.Round, Kept: kept}})
		}
	case *wire.CancellationKept:
		m.confirm(e.From, message)
	case *wire.CancellationQuery:
		for _, records := range m.records.Messages(now) {
			m.emit(Send{To: e.From, Message: records})
		}
		m.emit(Send{To: e.From, Message: &wire.CancellationAnswer{Round: message.Round, Asking: m.starting || m.question != nil, Starting: m.starting}})
	case *wire.CancellationRecords:
		if m.records.KeepAll(now, message) {
			m.emit(StopCancelled{})
		}
	case *wire.CancellationAnswer:
		if q := m.question; q != nil && q.round == message.Round {
			q.answered[e.From.EntryID] = !message.Asking
			q.stalled = q.stalled || message.Asking && !message.Starting
		}
	}
}

func (m *Machine) confirm(from wire.Claimant, message *wire.CancellationKept) {
	for _, p := range m.pending {
		if p.number == message.Round && p.awaited[from] {
			delete(p.awaited, from)
			if message.Kept {
				p.confirmed[from.EntryID] = true
			}
			return
		}
	}
}

func (m *Machine) request(now time.Duration, e Requested) {
	_, kept := m.records.Keep(now, Digest(e.Job), m.records.retention)
	if !kept || len(m.pending) >= maxPending {
		m.refuse(e.Number, failure.New(failure.Unavailable, "send the cancellation again after the time in Retry-After",
			"this entry keeps too many cancellations; the job is not cancelled"))
		return
	}
	m.emit(Stop{Job: e.Job})
	p := &pending{job: e.Job, number: e.Number, deadline: now + confirmTimeout, awaited: maps.Clone(m.peers), confirmed: map[string]bool{}}
	for _, peer := range m.sortedPeers() {
		m.emit(Send{To: peer, Message: &wire.JobCancellation{Round: p.number, Job: p.job}})
	}
	m.pending = append(m.pending, p)
}

func (m *Machine) refuse(number uint64, err *failure.Error) {
	m.stats.Refused++
	m.emit(Refused{Number: number, Error: err.WithRetryAfter(refusalRetryAfter)})
}

// concludePending answers the requests whose outcome is known.
func (m *Machine) concludePending(now time.Duration) {
	if len(m.pending) == 0 {
		return
	}
	voters := m.voters()
	m.pending = slices.DeleteFunc(m.pending, func(p *pending) bool { return m.conclude(now, p, voters) })
}

// conclude reports whether the request was answered.
func (m *Machine) conclude(now time.Duration, p *pending, voters []string) bool {
	copies := 1
	for _, id := range voters {
		if p.confirmed[id] {
			copies++
		}
	}
	everywhere := copies == len(voters)+1
	for id, until := range m.departed {
		everywhere = everywhere && (p.confirmed[id] || now >= until)
	}
	enough, timedOut := copies >= majority(len(voters)), now >= p.deadline
	switch {
	case now >= p.deadline+confirmTimeout: // this entry was stalled meanwhile, and the records are as old as the request
		m.refuse(p.number, failure.New(failure.Unavailable, "send the cancellation again after the time in Retry-After",
			"the entry was stalled before the cancellation was complete; the job may run again"))
	case everywhere && len(p.awaited) == 0:
		m.stats.Acknowledged++
		m.emit(Acknowledged{Number: p.number, Copies: copies})
	case enough && (len(p.awaited) == 0 || timedOut):
		m.stats.Acknowledged++
		m.stats.Unconfirmed++
		m.tellAgents(now, p.job)
		for _, peer := range m.sortedPeers() {
			m.emit(Send{To: peer, Message: &wire.JobCancellation{Job: p.job, TellAgents: true}})
		}
		m.emit(Acknowledged{Number: p.number, Copies: copies, Unconfirmed: true})
	case timedOut:
		m.refuse(p.number, failure.New(failure.Unavailable, "send the cancellation again after the time in Retry-After",
			"%d of %d entries keep the cancellation, which is no majority; the job may run again", copies, len(voters)+1))
	default:
		return false
	}
	return true
}

func (m *Machine) tellAgents(now time.Duration, job string) {
	m.told.Keep(now, Digest(job), m.told.retention)
	m.emit(TellAgents{Message: &wire.JobCancellation{Job: job}})
}

// ask starts a round of queries, or starts the present one again.
func (m *Machine) ask(now, gap time.Duration) {
	if m.question != nil {
		gap = max(gap, m.question.gap)
	} else {
		m.emit(Closed{})
	}
	m.stats.Questions++
	m.round++
	m.question = &question{round: m.round, deadline: now + askTimeout, gap: gap, answered: map[string]bool{}}
	for _, peer := range m.sortedPeers() {
		m.emit(Send{To: peer, Message: &wire.CancellationQuery{Round: m.round}})
	}
}

// concludeQuestion opens the entry once the answers suffice, or askTimeout has passed. Answers of entries that are
// asking themselves suffice if every other entry has answered: then nobody knows more. After a start of all entries, the
// answers of a majority are enough for an entry that starts itself, unless one of them has stalled: it has no earlier
// jobs, and it asks each further entry when their session opens. Waiting for the last of twelve entries held their first jobs for up to 260 ms.
func (m *Machine) concludeQuestion(now time.Duration) {
	q := m.question
	if q == nil {
		return
	}
	voters := m.voters()
	answers, authoritative := 0, 0
	for _, id := range voters {
		if known, answered := q.answered[id]; answered {
			answers++
			if known {
				authoritative++
			}
		}
	}
	enough := majority(len(voters))
	complete := authoritative+1 >= enough || answers == len(voters) || m.starting && !q.stalled && answers+1 >= enough
	if !complete && now < q.deadline {
		return
	}
	if !complete {
		m.stats.Incomplete++
	}
	m.question = nil
	m.emit(StopCancelled{})
	m.emit(Opened{Complete: complete && q.gap <= maxGap, Starting: m.starting, Answers: answers})
	m.starting = m.starting && len(voters) == 0 // a first configuration may list no other entry yet
}
