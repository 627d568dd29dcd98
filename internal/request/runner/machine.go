// Package runner is the agent's state machine for restartable jobs. It alone starts and stops runs
// on the worker beside the agent, holds the worker's lease, and is the record of what runs there.
//
// Invariants: a task has at most one run that may be under way on the worker; the outcome of a run
// is reported only when the run is over for certain; a run whose owner has not been heard of for
// the owner term is stopped.
package runner

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// Config holds the settings of a machine. A zero duration takes its default.
type Config struct {
	// Token is the first fencing token. It should exceed those of earlier processes of this agent; a
	// worker that has seen a higher one makes the machine raise it. Its lowest TokenTagBits should
	// differ between processes: they are kept, so that two processes do not arrive at one token.
	Token uint64
	// LeaseTerm is the longest lease that the worker grants.
	LeaseTerm time.Duration
}

// TokenTagBits is the number of bits of a token that tell processes apart. A time of day in
// milliseconds and the tag fit into the 53 bits of a JSON number.
const TokenTagBits = 10

// tokenUnit is the smallest step by which a token is raised.
const tokenUnit = 1 << TokenTagBits

const (
	// DefaultLeaseTerm suits workers that shorten longer leases to a second.
	DefaultLeaseTerm = time.Second
	// OwnerTimeout is how long a run goes on without word from the entry that owns it. It is below the
	// 1.3 s after which a caller sends a job again that its entry has lost.
	OwnerTimeout = 900 * time.Millisecond
	// PollInterval is the time between two questions to an entry whether it is still there. Two
	// polls may be lost to a retransmission before the owner term ends.
	PollInterval = 250 * time.Millisecond
	// clockRateAllowance is how much slower the worker's clock may run, in percent.
	clockRateAllowance = 2
	// leaseSlack covers the error of the estimate of the worker's clock.
	leaseSlack = 50 * time.Millisecond
	// renewWait is how long the worker may wait with a report. The lease is renewed at least that
	// often; two renewals may be lost before it lapses.
	renewWait = 300 * time.Millisecond
	// lossyWait replaces renewWait while calls get no answer. A lost report keeps the ends of all runs
	// back until the call has timed out.
	lossyWait = 30 * time.Millisecond
	// lossyTime is how long an unanswered call shows that others may get no answer either.
	lossyTime = 2 * time.Second
	// renewRetry is the wait after a renewal that the worker did not get. It doubles up to
	// maxRenewRetry: each attempt is a new connection, and a worker that is back announces itself.
	renewRetry    = 50 * time.Millisecond
	maxRenewRetry = 400 * time.Millisecond
	// unansweredRetry is the wait before a call without an answer is repeated. Most such calls have
	// waited for their timeout; those to a worker that has just died end at once.
	unansweredRetry = 10 * time.Millisecond
	// silentAfter is the time without a report after which the worker gets no new starts.
	silentAfter = 600 * time.Millisecond
	// stopRetry is the wait before an unanswered stop is repeated.
	stopRetry = 50 * time.Millisecond
	// stateInterval is the shortest time between two reports of the worker's state to one entry.
	stateInterval = 15 * time.Millisecond
	// SuspectFailures is the number of jobs in a row of which a run has failed on the worker from which
	// it gets one run at a time. Jobs fail by themselves in some 0.2% of the cases.
	SuspectFailures = 3
	// SuspectRetryInterval is the pause between such runs.
	SuspectRetryInterval = 2 * time.Second
	// maxWaiting bounds the orders that wait at the agent.
	maxWaiting = 256
)

// phase is how far a run has come.
type phase uint8

const (
	waiting  phase = iota // for room; the worker does not know it
	starting              // the start call is under way
	doubtful              // the start call got no answer; it may be carried out later
	running               // the worker has confirmed it
	stopping              // a stop was asked for; the run may still be there
)

// record is one ordered run that is not over for certain.
type record struct {
	id        run.ID
	owner     EntryID
	spec      string
	need      job.Resources
	priority  int
	arrival   uint64 // order of arrival
	refuseAt  time.Duration
	phase     phase
	startedAt time.Duration
	// known is when the worker last confirmed the phase: a report to a later call shows the run, or
	// the run is over.
	known     time.Duration
	confirmed bool
	cancelled bool
	stopAt    time.Duration // when an unanswered stop is repeated; zero while one is under way
	token     uint64        // of the newest start call
}

// Machine is the agent's record of runs.
type Machine struct {
	config Config
	now    time.Duration // of the last Step

	worker   workerState
	zoneOut  bool
	draining bool

	owners  map[EntryID]*owner
	order   []*owner // in the order in which they connected, for deterministic output
	records map[run.ID]*record
	byTask  map[run.Task]*record // not waiting
	queue   []*record            // waiting, in the order in which they start
	arrival uint64
	used    job.Resources // of all records that are not waiting

	stats   Stats
	actions []Action
}

// New returns a machine without a worker.
func New(config Config) *Machine {
	if config.LeaseTerm <= 0 {
		config.LeaseTerm = DefaultLeaseTerm
	}
	return &Machine{
		config: config, owners: map[EntryID]*owner{}, records: map[run.ID]*record{}, byTask: map[run.Task]*record{},
		worker: workerState{token: max(1, config.Token)},
	}
}

// Step applies one event. The returned actions are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	if m.now == 0 {
		// Runs that an earlier process of the agent left behind end with their lease at the latest.
		m.worker.leaseEnd = now + m.leaseBound()
	}
	m.now = now
	m.expire(now)
	switch e := event.(type) {
	case Connected:
		m.connect(now, e.Entry)
	case Disconnected:
		m.disconnect(e.Entry)
	case Received:
		m.receive(now, e)
	case WorkerAnnounced:
		m.announced(now, e)
	case WorkerLeft:
		m.workerLeft(e.ID)
	case ZoneChanged:
		m.zoneOut = e.Out
	case Draining:
		m.draining = true
	case StartReturned:
		m.startReturned(now, e)
	case StopReturned:
		m.stopReturned(now, e)
	case Renewed:
		m.renewed(now, e)
	}
	m.serve(now)
	return m.actions
}

func (m *Machine) act(action Action) { m.actions = append(m.actions, action) }

// serve starts what may start now, refuses what may not, and tells the entries what has changed.
func (m *Machine) serve(now time.Duration) {
	m.renewDue(now)
	if !m.open(now) {
		for len(m.queue) > 0 {
			m.settle(now, m.queue[0], run.Refused, run.Closed)
		}
	}
	for m.suspect(now) && len(m.queue) > 0 {
		m.settle(now, m.queue[0], run.Refused, run.Unhealthy)
	}
	for i := 0; i < len(m.queue); {
		if r := m.queue[i]; m.mayStart(r) {
			m.queue = slices.Delete(m.queue, i, i+1)
			m.start(now, r)
			continue
		}
		i++
	}
	m.flush(now)
}

// open reports whether starts are accepted.
func (m *Machine) open(now time.Duration) bool {
	w := &m.worker
	return w.present && w.claimed && !w.leaving && !m.zoneOut && !m.draining && now < w.heardAt+silentAfter
}

// suspect reports whether the worker has failed several jobs in a row and gets no run at present. The
// entries apply the same rule, but what they have ordered meanwhile would fail as well.
func (m *Machine) suspect(now time.Duration) bool {
	w := &m.worker
	return w.failures >= SuspectFailures && (now < w.failedAt+SuspectRetryInterval || len(m.byTask) > 0)
}

// mayStart reports whether the run fits now. The needs of strangers are not known, so nothing starts
// beside them.
func (m *Machine) mayStart(r *record) bool {
	return m.worker.capacity.Fits(job.Sum(m.used, r.need)) && m.byTask[r.id.Task] == nil && len(m.worker.strangers) == 0
}

// start calls the worker. Everything that may come of the call is accounted for from here on.
func (m *Machine) start(now time.Duration, r *record) {
	r.phase, r.startedAt, r.known, r.confirmed = starting, now, now, false
	m.used = job.Sum(m.used, r.need)
	m.byTask[r.id.Task] = r
	m.callStart(now, r)
}

func (m *Machine) callStart(now time.Duration, r *record) {
	m.stats.Starts++
	r.token = m.worker.token
	m.extendLease(now)
	m.act(Start{Worker: m.worker.id, Run: r.id, Spec: r.spec, Token: m.worker.token, Until: m.until(now)})
}

// expire does what is due by now.
func (m *Machine) expire(now time.Duration) {
	m.expireOwners(now)
	for i := 0; i < len(m.queue); {
		if r := m.queue[i]; now >= r.refuseAt {
			m.settle(now, r, run.Refused, run.Busy)
			continue
		}
		i++
	}
	for _, r := range m.byArrival() {
		if r.phase == stopping && r.stopAt != 0 && now >= r.stopAt {
			m.callStop(r)
		}
	}
	m.expireLease(now)
}

// byArrival returns the records that are not waiting, in the order of their arrival, so that output
// does not depend on the order of a map.
func (m *Machine) byArrival() []*record {
	records := make([]*record, 0, len(m.byTask))
	for _, r := range m.byTask {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int {
		if a.arrival < b.arrival {
			return -1
		}
		return 1
	})
	return records
}

// settle ends a record with its outcome and reports it to its owner.
func (m *Machine) settle(now time.Duration, r *record, outcome run.Outcome, reason run.Reason) {
	if r.phase == waiting {
		m.queue = slices.DeleteFunc(m.queue, func(q *record) bool { return q == r })
	} else {
		delete(m.byTask, r.id.Task)
		m.used = job.Difference(m.used, r.need)
	}
	delete(m.records, r.id)
	m.stats.count(outcome)
	end := run.End{ID: r.id, Outcome: outcome, Reason: reason}
	if outcome == run.Done || outcome == run.Failed {
		end.RunTime = now - r.startedAt
	}
	if o := m.owners[r.owner]; o != nil {
		o.ends = append(o.ends, end)
	}
}

// NextWake returns the time at which the machine needs a Tick unless another event comes first. It
// returns false if no time is due.
func (m *Machine) NextWake() (time.Duration, bool) {
	wake, due := time.Duration(0), false
	// What was due at the last step has been done then.
	consider := func(at time.Duration) {
		if at > m.now && (!due || at < wake) {
			wake, due = at, true
		}
	}
	for _, r := range m.queue {
		consider(r.refuseAt)
	}
	for _, r := range m.byTask {
		if r.phase == stopping {
			consider(r.stopAt)
		}
	}
	m.considerOwners(consider)
	m.considerWorker(consider)
	return wake, due
}

// Idle reports whether no run is waiting or under way.
func (m *Machine) Idle() bool { return len(m.records) == 0 }

func (m *Machine) send(to EntryID, message wire.Message) { m.act(Send{Entry: to, Message: message}) }
