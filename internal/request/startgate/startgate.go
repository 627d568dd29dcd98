// Package startgate implements the start gate, the agent's admission control for starts, as a state
// machine without I/O. For each start that arrives it decides whether the start runs now, waits or
// is refused, and records the outcome: a start runs at most once, and a refused start never runs.
// It also offers the idle slots to entries, each slot to at most one entry at a time.
//
// An offer is an idle slot that the agent holds for one entry. A probe is a reservation request of
// an entry (wire message Reserve) that waits in the agent's queue until an offer is made for it. A
// demand is an entry's report of its queued tasks, for which offers are made as well. A credit is an
// offer that is made for neither. A direct start is a start without an offer.
package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

// Config holds the settings of a machine. A zero field takes its default.
type Config struct {
	Incarnation uint64
	// QueueLimit is the maximum number of direct starts that wait at the agent. With a negative value
	// a direct start is accepted only if no direct start or probe is queued and a slot is available; it
	// can then still wait, for example for resources.
	QueueLimit int
	// MaxRecords is the number of recorded starts at which the machine makes no further offers and
	// refuses direct starts. Starts that use an earlier offer are recorded regardless of it;
	// refusals and unknown outcomes are recorded up to twice the number.
	MaxRecords int
	// MaxResultBytes is the total size of unacknowledged results at which no further start runs.
	MaxResultBytes int
	// RecordRetention is how long the outcome of a start is kept. It must exceed the entries'
	// ReconnectGrace (package dispatch), after which an entry sends no further queries.
	RecordRetention time.Duration
}

// Defaults of Config.
const (
	DefaultQueueLimit     = 32
	DefaultMaxRecords     = 1 << 16
	DefaultMaxResultBytes = 64 << 20
	// DefaultRecordRetention is twice the default ReconnectGrace of entries.
	DefaultRecordRetention = 10 * time.Second
)

const (
	// MaxAnnounceTTL caps the TTL of an announcement. An upstream that disappears must get no
	// new work after 4 s; with this cap it gets none later than 3 s after its last announcement.
	MaxAnnounceTTL = 3 * time.Second
	// minOfferHold is the time during which an offer made for a probe or a demand is not
	// recalled, and the wait after a recall that returned too few offers. It is several times the
	// round trip to an entry, which takes up to 3 ms: a recall during the round trip could arrive
	// when the entry has already sent the start that uses the offer.
	minOfferHold = 20 * time.Millisecond
	// recallTimeout is the time after which the offers of an entry that has not replied to a
	// recall are dropped.
	recallTimeout = time.Second
	// loadIntervalPerEntry times the number of entries is the shortest time between two reports of
	// a changed load to one entry, so that an agent sends at most 200 of them a second in total,
	// about 5 KB/s. Load messages after an announcement or a RefusedBusy are not included. With
	// three entries a report is at most 15 ms old. Older reports make entries send starts to slots
	// that are no longer idle, which raises the p99 of short jobs (measured: by a factor of 1.4 at
	// an age of 100 ms).
	loadIntervalPerEntry = 5 * time.Millisecond
	// loadReportPeriod is the time after its last direct start during which an entry receives
	// reports of a changed load.
	loadReportPeriod = time.Second
	// maxBypasses is the number of later starts and probes that may be served ahead of a waiting start
	// that does not fit alongside the running ones. After that the start blocks the queue, so that
	// small tasks do not starve a large one.
	maxBypasses = 32
	// maxProbes is the maximum number of queued probes of one entry.
	maxProbes = 1 << 16
	// maxProbeGroups is the maximum number of queue positions that the probes of one entry take.
	maxProbeGroups = 64
	// maxDroppedResultEntries is the maximum size of the set of entries with a dropped result.
	maxDroppedResultEntries = 1024
)

// Machine is the state machine of one agent. It is not safe for concurrent use.
type Machine struct {
	config   Config
	announce wire.Announce
	// announced is true while announce is valid. Calls may begin only before announceEnd and
	// leaseEnd.
	announced   bool
	announceEnd time.Duration
	leaseEnd    time.Duration
	zoneOut     bool
	draining    bool

	entries []*entry // with a session, in the order in which they connected
	byID    map[EntryID]*entry
	cursor  int // round-robin position among entries with equally many offers

	records            map[wire.StartID]*record
	expiry             fifo[*record]        // records with an outcome, by the time at which they expire
	resultBytes        int                  // of unacknowledged results
	unacked            int                  // unacknowledged results
	droppedResults     map[EntryID]struct{} // entries of which an unacknowledged result was dropped
	droppedResultsFull bool                 // droppedResults is full: a result of any entry may have been dropped

	waitingWithOffer waitQueue // starts whose offer holds a slot and that wait for resources
	waiting          waitQueue // direct starts, and probes
	running          int
	used             job.Resources

	nextOffer        uint64
	offers           map[uint64]*offer
	notYetRecallable fifo[*offer]  // offers that may not be recalled yet, oldest first
	withUnsentOffers []*entry      // entries with offers to be sent at the end of the step
	nextRecallCheck  time.Duration // time at which recallOffers must run again (see scheduleRecallCheck); zero if there is none

	loadSent      wire.Load
	loadNotBefore time.Duration // earliest time of the next report of a changed load
	loadDue       bool          // a report is due at loadNotBefore
	lastDirect    time.Duration // arrival of the last direct start

	stats   Stats
	actions []Action
}

// New returns a machine without entries, announcement and configuration lease.
func New(config Config) *Machine {
	return &Machine{
		config: config.withDefaults(), byID: map[EntryID]*entry{}, records: map[wire.StartID]*record{},
		droppedResults: map[EntryID]struct{}{}, offers: map[uint64]*offer{}, lastDirect: -loadReportPeriod,
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
	if c.RecordRetention <= 0 {
		c.RecordRetention = DefaultRecordRetention
	}
	return c
}

// Step applies one event. The returned actions are valid until the next call. The machine retains
// the messages of its events.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	m.expire(now)
	switch e := event.(type) {
	case Connected:
		m.connect(now, e.Entry)
	case Disconnected:
		m.disconnect(now, e.Entry)
	case Retired:
		m.retire(e.Entry)
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
// It returns false if there is no such time.
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
	if m.waitingWithOffer.starts+m.waiting.starts > 0 {
		consider(m.leaseEnd)
	}
	if first, ok := m.expiry.front(); ok {
		consider(first.expires)
	}
	if m.nextRecallCheck > 0 {
		consider(m.nextRecallCheck)
	}
	if m.loadDue {
		consider(m.loadNotBefore)
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
		if !from.retired {
			m.addProbes(from, message.Count)
		}
	case *wire.Unreserve:
		m.withdrawProbes(from, message.Count)
	case *wire.Demand:
		if !from.retired {
			from.demand, from.credits = max(0, message.Queued), true
		}
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

// announceTo sends the announcement to one entry, with the remaining TTL.
func (m *Machine) announceTo(now time.Duration, to *entry) {
	if !m.announced || now >= m.announceEnd || to.retired {
		return
	}
	announce := m.announce
	announce.TTL = m.announceEnd - now
	m.send(to, &announce)
	load := m.load()
	m.send(to, &load)
}

// withdraw tells all entries that the announcement is no longer valid: the upstream is leaving, its
// announcement has expired, or the agent drains. The Withdraw message ends all offers, probes and
// demands on both sides; running starts continue.
func (m *Machine) withdraw() {
	if !m.announced {
		return
	}
	m.announced = false
	for _, to := range m.entries {
		m.dropOffersAndRequests(to)
		m.send(to, &wire.Withdraw{})
	}
}

// expire applies the deadlines that have passed.
func (m *Machine) expire(now time.Duration) {
	if m.announced && now >= m.announceEnd {
		m.withdraw()
	}
	m.expireRecords(now)
	m.markRecallable(now)
}

func (m *Machine) send(to *entry, message wire.Message) {
	if to != nil && to.connected {
		m.actions = append(m.actions, Send{Entry: to.id, Message: message})
	}
}

// load returns the number of idle slots, offered or not, less the waiting starts, and the number of
// waiting direct starts.
func (m *Machine) load() wire.Load {
	idle := 0
	if m.announced {
		idle = max(0, m.slots()-m.running-m.waitingWithOffer.starts-m.waiting.starts)
	}
	return wire.Load{Free: idle, Queue: m.waiting.starts}
}

// sendLoad reports a changed load to the entries that recently sent a direct start.
func (m *Machine) sendLoad(now time.Duration) {
	m.loadDue = now < m.lastDirect+loadReportPeriod && m.load() != m.loadSent
	if now < m.loadNotBefore || !m.loadDue {
		return
	}
	m.loadDue, m.loadSent, m.loadNotBefore = false, m.load(), now+loadIntervalPerEntry*time.Duration(len(m.entries))
	for _, to := range m.entries {
		if now < to.lastDirect+loadReportPeriod {
			load := m.loadSent
			m.send(to, &load)
		}
	}
}
