// Package startgate is the agent's state machine. It decides for each start that arrives whether
// it runs, now or later, and keeps the evidence: a start runs at most once, and a refused start
// never runs. It also gives out the idle slots, each to at most one entry at a time.
package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

// Config holds the settings of a machine. A zero field takes its default.
type Config struct {
	Incarnation uint64
	// QueueLimit bounds the starts without an offer that wait at the agent. A negative value means
	// that none waits.
	QueueLimit int
	// MaxRecords bounds the starts whose outcome is remembered. Refusals may take as many again.
	MaxRecords int
	// MaxResultBytes bounds the bodies of results that no entry has acknowledged.
	MaxResultBytes int
	// EvidenceRetention is how long an outcome is remembered. It must exceed the reconnect grace of
	// entries, after which an entry no longer asks.
	EvidenceRetention time.Duration
}

// Defaults of Config.
const (
	DefaultQueueLimit     = 32
	DefaultMaxRecords     = 1 << 16
	DefaultMaxResultBytes = 64 << 20
	// DefaultEvidenceRetention is twice the entries' reconnect grace.
	DefaultEvidenceRetention = 10 * time.Second
)

const (
	// MaxAnnounceTTL caps the time to live of an announcement, so that an upstream that disappears
	// gets no new work after 4 s.
	MaxAnnounceTTL = 3 * time.Second
	// settleTime is how long offers that answer a probe or a demand are left to their entry before
	// they may be recalled. A recall any earlier meets the starts that use them: the round trip to
	// an entry takes up to 3 ms.
	settleTime = 20 * time.Millisecond
	// recallTimeout ends the offers of an entry that does not answer a recall.
	recallTimeout = time.Second
	// loadIntervalPerEntry times the number of entries is the shortest time between two Load
	// messages to one entry, so that an agent sends at most 200 of them a second in all, some 5 KB.
	// With three entries a report is at most 15 ms old; at 100 ms, starts followed stale reports to
	// slots that others had taken, and the p99 of short jobs was 1.4 times as high.
	loadIntervalPerEntry = 5 * time.Millisecond
	// loadInterest is how long an entry that sent a start without an offer is sent Load messages.
	loadInterest = time.Second
	// maxOvertaken is how many others may pass a waiting start that does not fit beside the running
	// ones. After that nothing passes it, so a large task is not starved by small ones.
	maxOvertaken = 32
	// maxProbes bounds the queued probes of one entry.
	maxProbes = 1 << 16
	// maxProbeGroups bounds the queue positions that the probes of one entry take.
	maxProbeGroups = 64
	// maxLostEntries bounds the entries remembered for having lost a result unseen.
	maxLostEntries = 1024
)

// Machine is the agent's state.
type Machine struct {
	config   Config
	announce wire.Announce
	// announced is true while the announcement holds; announceEnd and leaseEnd are exclusive.
	announced   bool
	announceEnd time.Duration
	leaseEnd    time.Duration
	zoneOut     bool
	draining    bool

	entries []*entry // with a session, in the order in which they connected
	byID    map[EntryID]*entry
	cursor  int // next entry in turn among equals

	records     map[wire.StartID]*record
	expiry      queue[*record]
	resultBytes int
	unacked     int
	lost        map[EntryID]struct{}
	lostAny     bool

	claimed waitList // starts that hold a slot through an offer and wait for resources
	waiting waitList // starts without an offer, and probes
	running int
	used    job.Resources

	nextOffer uint64
	offers    map[uint64]*offer
	unsettled queue[*offer]
	dirty     []*entry      // entries with offers to be sent at the end of the step
	retryAt   time.Duration // when recall should be tried again; zero if not

	loadSent wire.Load
	loadNext time.Duration // no Load message on a change before
	loadDue  bool          // one is wanted at loadNext
	direct   time.Duration // when the last start without an offer came

	stats   Stats
	actions []Action
}

// New returns the machine of an agent.
func New(config Config) *Machine {
	return &Machine{
		config: config.withDefaults(), byID: map[EntryID]*entry{}, records: map[wire.StartID]*record{},
		lost: map[EntryID]struct{}{}, offers: map[uint64]*offer{}, direct: -loadInterest,
	}
}

func (c Config) withDefaults() Config {
	if c.QueueLimit == 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxResultBytes <= 0 {
		c.MaxResultBytes = DefaultMaxResultBytes
	}
	if c.EvidenceRetention <= 0 {
		c.EvidenceRetention = DefaultEvidenceRetention
	}
	return c
}

// Step applies one event. The returned actions are valid until the next call. The machine keeps
// the messages that it is given.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	m.expire(now)
	switch e := event.(type) {
	case Connected:
		m.connect(now, e.Entry)
	case Disconnected:
		m.disconnect(now, e.Entry)
	case Received:
		m.receive(now, e)
	case Announced:
		m.upstreamAnnounced(now, e)
	case Withdrawn:
		m.withdraw()
	case Draining:
		m.draining = true
		m.withdraw()
	case CallEnded:
		m.callEnded(now, e)
	case LeaseChanged:
		m.leaseEnd, m.zoneOut = e.Deadline, e.ZoneOut
	case Tick:
	}
	m.serve(now)
	return m.actions
}

// NextWake returns the time at which the machine needs a Tick unless another event comes first.
// It returns false if no time is due.
func (m *Machine) NextWake() (time.Duration, bool) {
	wake, due := time.Duration(0), false
	consider := func(at time.Duration) {
		if !due || at < wake {
			wake, due = at, true
		}
	}
	if m.announced {
		consider(m.announceEnd)
	}
	if m.claimed.starts+m.waiting.starts > 0 {
		consider(m.leaseEnd)
	}
	if first, ok := m.expiry.front(); ok {
		consider(first.expires)
	}
	if m.retryAt > 0 {
		consider(m.retryAt)
	}
	if m.loadDue {
		consider(m.loadNext)
	}
	return wake, due
}

func (m *Machine) receive(now time.Duration, e Received) {
	from := m.byID[e.Entry]
	if from == nil {
		return
	}
	switch message := e.Message.(type) {
	case *wire.Start:
		m.handleStart(now, from, message)
	case *wire.FinishedAck:
		m.acknowledge(from, message.ID)
	case *wire.Cancel:
		m.cancel(now, from, message.ID)
	case *wire.Query:
		for _, id := range message.IDs {
			m.query(now, from, id)
		}
	case *wire.Reserve:
		m.reserve(from, message.Count)
	case *wire.Unreserve:
		m.unreserve(from, message.Count)
	case *wire.Demand:
		from.demand = max(0, message.Queued)
		from.credits = true
	case *wire.Decline:
		m.decline(now, from, message)
	case *wire.Closing:
		from.credits = false
	}
}

func (m *Machine) upstreamAnnounced(now time.Duration, e Announced) {
	if m.draining {
		return
	}
	m.announce, m.announced = e.Announce, true
	m.announceEnd = min(e.Deadline, now+MaxAnnounceTTL)
	for _, to := range m.entries {
		m.announceTo(now, to)
	}
}

// announceTo repeats the announcement to one entry, with the time to live that is left.
func (m *Machine) announceTo(now time.Duration, to *entry) {
	if !m.announced || now >= m.announceEnd {
		return
	}
	announce := m.announce
	announce.TTL = m.announceEnd - now
	m.send(to, &announce)
	load := m.load()
	m.send(to, &load)
}

// withdraw tells all entries that the upstream is leaving. Withdraw ends all offers, probes and
// demands at both ends; running starts go on.
func (m *Machine) withdraw() {
	if !m.announced {
		return
	}
	m.announced = false
	for _, to := range m.entries {
		m.endOffers(to)
		m.send(to, &wire.Withdraw{})
	}
}

// expire acts on the times that have passed.
func (m *Machine) expire(now time.Duration) {
	if m.announced && now >= m.announceEnd {
		m.withdraw()
	}
	m.expireRecords(now)
	m.settleOffers(now)
}

func (m *Machine) send(to *entry, message wire.Message) {
	if to != nil && to.connected {
		m.actions = append(m.actions, Send{Entry: to.id, Message: message})
	}
}

// load returns the idle slots, offered or not, less the starts that already wait for one.
func (m *Machine) load() wire.Load {
	free := 0
	if m.announced {
		free = max(0, m.slots()-m.running-m.claimed.starts-m.waiting.starts)
	}
	return wire.Load{Free: free, Queue: m.waiting.starts}
}

// sendLoad reports a change of the load to the entries that place starts by it.
func (m *Machine) sendLoad(now time.Duration) {
	m.loadDue = now < m.direct+loadInterest && m.load() != m.loadSent
	if now < m.loadNext || !m.loadDue {
		return
	}
	m.loadDue, m.loadSent, m.loadNext = false, m.load(), now+loadIntervalPerEntry*time.Duration(len(m.entries))
	for _, to := range m.entries {
		if now < to.direct+loadInterest {
			load := m.loadSent
			m.send(to, &load)
		}
	}
}
