// Package runner implements the agent's state machine for restartable jobs. Only the agent starts and
// stops runs on the worker of its host; it renews the worker's lease and tracks the runs there.
//
// Invariants: a task has at most one run that may be in progress on the worker; the outcome of a run
// is reported only when the run is certainly over, by a report of the worker or by a lease that counts only time in
// which the host was not suspended; a run is stopped if its owner has replied to no poll for OwnerTimeout, and the worker
// lease ends soon after that even if the stop has no effect.
//
// A token is a fencing token, and a lease is a worker lease. The owner of a run is the entry that ordered
// it. An active run, ordered and without an outcome, is waiting until its start call and started from then on.
package runner

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/cancellation"
	"pollenpaddle/internal/request/shedding"
)

// Config holds the settings of a machine. A zero duration takes its default.
type Config struct {
	// Token is the first fencing token. It should exceed those of earlier processes of this agent;
	// the machine raises it if the worker has seen a higher one. Its lowest TokenTagBits should differ
	// between processes: they never change, so that two processes cannot arrive at the same token.
	Token uint64
	// LeaseTerm is the term of the worker lease. It must not exceed the longest that the worker accepts.
	LeaseTerm time.Duration
}

// TokenTagBits is the number of low bits of a fencing token that identify the process. Unix time in
// milliseconds and these bits fit into the 53 bits of a JSON number.
const TokenTagBits = 10

// tokenIncrement is the smallest step by which a fencing token is raised.
const tokenIncrement = 1 << TokenTagBits

const (
	// DefaultLeaseTerm suits workers that limit leases to one second.
	DefaultLeaseTerm = time.Second
	// OwnerTimeout is how long a run continues after the last poll to which its owner has replied. It is
	// below the 1.3 s after which a caller resubmits a job whose entry has failed.
	OwnerTimeout = 900 * time.Millisecond
	// endRetention is how long the outcomes for an absent entry are kept after its runs were stopped. With
	// OwnerTimeout it exceeds the time after which an entry counts the runs of an absent agent as lost.
	endRetention = 2 * time.Second
	// maxUnconfirmed bounds the outcomes that are kept for one entry until it has confirmed them.
	maxUnconfirmed = 1024
	// PollInterval is the time between two liveness polls to an entry. An owner does not expire if two
	// consecutive polls are delayed by a retransmission.
	PollInterval = 250 * time.Millisecond
	// clockDriftPercent is how much slower the worker's clock may run than the agent's.
	clockDriftPercent = 2
	// clockErrorMargin covers the error of the estimate of the worker's clock.
	clockErrorMargin = 50 * time.Millisecond
	// longPollWait is how long the worker may delay a report. The lease is renewed at least that often;
	// two renewals may be lost before it expires.
	longPollWait = 300 * time.Millisecond
	// lossyLongPollWait replaces longPollWait while calls go unanswered: a lost report delays the ends of
	// all runs until the call times out.
	lossyLongPollWait = 30 * time.Millisecond
	// lossyPeriod is how long after an unanswered call further calls are expected to go unanswered.
	lossyPeriod = 2 * time.Second
	// minRenewBackoff is the backoff after a failed renewal. It doubles up to maxRenewBackoff, because each
	// attempt opens a connection and a worker that is back announces itself. If the renewal was not
	// answered, unansweredBackoff applies instead.
	minRenewBackoff = 50 * time.Millisecond
	maxRenewBackoff = 400 * time.Millisecond
	// unansweredBackoff is the backoff after an unanswered renewal or stop. Most such calls have waited
	// for their timeout already; those to a worker that has just crashed fail immediately.
	unansweredBackoff = 10 * time.Millisecond
	// silentAfter is the time without a report after which the worker gets no new starts.
	silentAfter = 600 * time.Millisecond
	// stopBackoff is the backoff after a stop that was refused or not sent.
	stopBackoff = 50 * time.Millisecond
	// maxStopBackoff bounds the backoff after stops that fail at once without a response. Eight workers that were down
	// for half of 5 s got 7,600 stops, each on a new connection, with 10 ms.
	maxStopBackoff = 160 * time.Millisecond
	// stateInterval is the minimum time between two reports of the worker's state to one active entry, and
	// stateIntervalPerOwner the part of it for each active entry if that is longer: the reports of an agent
	// do not grow with the number of entries.
	stateInterval         = 15 * time.Millisecond
	stateIntervalPerOwner = 3 * time.Millisecond
	// idleStateInterval is the minimum time between two reports to an entry that is not active. Its first
	// orders are placed by a state of that age.
	idleStateInterval = PollInterval
	// ownerActivePeriod is how long an entry counts as active after an order. At half of the usual load an
	// entry with callers sends an order to each of its agents about once a second.
	ownerActivePeriod = 2 * time.Second
	// retirementDelay is the time between the report that closes a worker for an entry and the end of the
	// session, in which orders of the entry that crossed the report arrive.
	retirementDelay = time.Second
	// lateCallPeriod is how long after it was sent an unanswered call may still be carried out.
	lateCallPeriod = 15 * time.Second
	// SuspectFailures is the number of consecutive jobs with a failed run from which the worker gets only
	// one trial run at a time. About 0.2% of jobs fail because of the job itself, so three in
	// a row point to the worker.
	SuspectFailures = 3
	// SuspectRetryInterval is the time between the last failure and the next trial run.
	SuspectRetryInterval = 2 * time.Second
	// maxQueued bounds the runs that wait at the agent.
	maxQueued = 256
)

// phase is the state of a run between its order and its end.
type phase uint8

const (
	waiting     phase = iota // for capacity; unknown to the worker
	starting                 // the start call is pending
	unconfirmed              // the start call was not answered; it may be executed later
	running                  // the worker has confirmed the start
	stopping                 // a stop was requested; the run may still be in progress
)

// record is an ordered run whose outcome is not known yet.
type record struct {
	id            run.ID
	owner         EntryID
	spec          string
	need          job.Resources
	predicted     time.Duration // run time on a worker of mean speed; zero if unknown
	priority      int
	ranked        bool // rank is known
	rank          shedding.Rank
	arrival       uint64        // order of arrival
	queueDeadline time.Duration // when the run is refused unless it has started
	phase         phase
	startedAt     time.Duration
	// confirmedAt is when the worker last confirmed the start or accepted a stop. Before that it is when the
	// start call was sent, or went unanswered. See reconcile for its use.
	confirmedAt     time.Duration
	stopAccepted    bool
	cancelRequested bool
	stopRetryAt     time.Duration // when the stop is repeated; zero while a stop call is pending
	stopSentAt      time.Duration // time of the last stop call
	stopBackoff     time.Duration // last backoff after an unanswered stop
	token           uint64        // fencing token of the last start call
	copies          int           // start calls that may be carried out, see repeatStarts
	sentAt          time.Duration // time of the last start call
	repeatAt        time.Duration // when the start is sent again while calls go unanswered
}

// Machine is the state machine. It performs no I/O and reads no clock.
type Machine struct {
	config Config
	now    time.Duration // of the last Step

	worker        workerState
	pendingLeases map[leaseCall]pendingLease
	zoneOut       bool
	draining      bool

	owners        map[EntryID]*owner
	ownerList     []*owner // in order of connection, for deterministic output
	demand        demand
	records       map[run.ID]*record
	cancellations *cancellation.Records  // that an entry has told
	startedByTask map[run.TaskID]*record // records that are not waiting
	queue         []*record              // waiting records, in the order in which they are started
	queueRanked   bool                   // queue is sorted by rank
	arrival       uint64
	used          job.Resources // of all records that are not waiting

	stats   Stats
	actions []Action
}

// New returns a machine without a worker.
func New(config Config) *Machine {
	if config.LeaseTerm <= 0 {
		config.LeaseTerm = DefaultLeaseTerm
	}
	return &Machine{
		config: config, owners: map[EntryID]*owner{}, records: map[run.ID]*record{}, startedByTask: map[run.TaskID]*record{},
		cancellations: cancellation.NewRecords(cancellation.AgentLimit),
		worker:        workerState{token: max(1, config.Token)}, pendingLeases: map[leaseCall]pendingLease{},
	}
}

// Step applies one event. The returned actions are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	if m.now == 0 {
		// Runs left behind by an earlier process of the agent end at the latest when their lease expires.
		m.worker.leaseEnd = now + m.maxLeaseTime()
	} else {
		m.excludePause(now, event)
	}
	m.now = now
	m.expireDue(now)
	m.forgetDeparted()
	switch e := event.(type) {
	case Connected:
		m.connect(now, e.Entry)
	case Disconnected:
		m.disconnect(e.Entry)
	case Retired:
		m.retire(now, e.Entry)
	case Received:
		m.receive(now, e)
	case WorkerAnnounced:
		m.workerAnnounced(now, e)
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
	m.expireLease(now) // a call that was not sent may have had the latest lease end
	m.sendDue(now)
	return m.actions
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// sendDue sends everything that is due after an event: lease renewals, refusals of waiting runs that
// must not start, start calls of those that fit, and updates to the entries.
func (m *Machine) sendDue(now time.Duration) {
	m.reportCrash()
	m.repeatStarts(now)
	m.sendDueRenewals(now)
	if !m.acceptsStarts(now) {
		for len(m.queue) > 0 {
			m.endRun(now, m.queue[0], run.Refused, run.Closed)
		}
	}
	for m.suspect(now) && len(m.queue) > 0 {
		m.endRun(now, m.queue[0], run.Refused, run.Unhealthy)
	}
	for i := 0; i < len(m.queue); {
		if r := m.queue[i]; m.mayStart(now, r) {
			m.queue = slices.Delete(m.queue, i, i+1)
			m.start(now, r)
			continue
		}
		i++
	}
	m.sendUpdates(now)
}

// acceptsStarts reports whether new runs are accepted.
func (m *Machine) acceptsStarts(now time.Duration) bool {
	w := &m.worker
	return w.present && w.tokenAccepted && !w.leaving && !w.departed && !m.zoneOut && !m.draining && !w.refusing && now < w.heardAt+silentAfter
}

// suspect reports whether runs of several consecutive jobs have failed on the worker and no trial run
// is due. The entries apply the same rule, but runs ordered before the worker's state reached them
// would probably fail as well.
func (m *Machine) suspect(now time.Duration) bool {
	w := &m.worker
	return w.failures >= SuspectFailures && (now < w.failedAt+SuspectRetryInterval || len(m.startedByTask) > 0)
}

// mayStart reports whether the worker has capacity for the run now and the lease suffices. Runs without a record have
// unknown needs, so nothing is started beside them; nor is a second run of a task.
func (m *Machine) mayStart(now time.Duration, r *record) bool {
	return m.worker.capacity.Covers(job.Sum(m.used, r.need)) && m.startedByTask[r.id.Task] == nil && len(m.worker.unknownTasks) == 0 &&
		m.leaseSuffices(now, r)
}

// start sends the start call. From then on the run may be executing.
func (m *Machine) start(now time.Duration, r *record) {
	r.phase, r.startedAt, r.confirmedAt, r.stopAccepted, r.copies = starting, now, now, false, 0
	m.used = job.Sum(m.used, r.need)
	m.startedByTask[r.id.Task] = r
	m.sendStart(now, r)
}

func (m *Machine) sendStart(now time.Duration, r *record) {
	m.stats.Starts++
	r.token = m.worker.token
	r.copies++
	r.sentAt, r.confirmedAt, r.repeatAt = now, now, now+repeatInterval
	until := m.requestLease(now, leaseCall{kind: startCall, run: r.id})
	m.worker.leaseAssured = max(m.worker.leaseAssured, until)
	m.emit(Start{Worker: m.worker.id, Run: r.id, Spec: r.spec, Token: m.worker.token, Until: m.worker.onWorkerClock(until)})
}

// expireDue handles all deadlines that have passed.
func (m *Machine) expireDue(now time.Duration) {
	m.expireOwners(now)
	for i := 0; i < len(m.queue); {
		if r := m.queue[i]; now >= r.queueDeadline {
			m.endRun(now, r, run.Refused, run.Busy)
			continue
		}
		i++
	}
	for _, r := range m.startedByArrival() {
		if r.phase == stopping && r.stopRetryAt != 0 && now >= r.stopRetryAt {
			m.sendStop(r)
		}
	}
	m.expireLease(now)
}

// startedByArrival returns the records that are not waiting in order of arrival, so that the output
// does not depend on the iteration order of a map.
func (m *Machine) startedByArrival() []*record {
	records := make([]*record, 0, len(m.startedByTask))
	for _, r := range m.startedByTask {
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

// endRun removes the record of a run and queues its outcome for the owner.
func (m *Machine) endRun(now time.Duration, r *record, outcome run.Outcome, reason run.Reason) {
	if r.phase == waiting {
		m.queue = slices.DeleteFunc(m.queue, func(q *record) bool { return q == r })
	} else {
		delete(m.startedByTask, r.id.Task)
		m.used = job.Difference(m.used, r.need)
	}
	delete(m.records, r.id)
	m.stats.count(outcome)
	end := run.End{ID: r.id, Outcome: outcome, Reason: reason}
	if outcome == run.Done || outcome == run.Failed {
		end.RunTime = now - r.startedAt
	}
	if outcome == run.Done && r.predicted > 0 && r.copies == 1 {
		m.worker.speed.ObserveRatio(end.RunTime, r.predicted)
	}
	if o := m.owners[r.owner]; o != nil {
		o.pendingEnds = append(o.pendingEnds, end)
	}
}

// NextWake returns the time at which the machine needs a Tick unless another event arrives earlier. It
// returns false if no Tick is needed.
func (m *Machine) NextWake() (time.Duration, bool) {
	wake, due := time.Duration(0), false
	// The last step has handled everything that was due by then.
	consider := func(at time.Duration) {
		if at > m.now && (!due || at < wake) {
			wake, due = at, true
		}
	}
	for _, r := range m.queue {
		consider(r.queueDeadline)
	}
	for _, r := range m.startedByTask {
		if r.phase == starting && m.now < m.worker.lossyUntil {
			consider(r.repeatAt)
		}
		if r.phase == stopping {
			consider(r.stopRetryAt)
		}
		if r.undecided() {
			consider(r.confirmedAt + lateCallPeriod)
		}
	}
	if len(m.startedByTask) > 0 || m.now < m.leaseEnd() {
		consider(m.now + PollInterval) // see maxStepGap
	}
	m.eachOwnerDeadline(consider)
	m.eachWorkerDeadline(consider)
	return wake, due
}

// Idle reports whether the machine has no record of a run.
func (m *Machine) Idle() bool { return len(m.records) == 0 }

func (m *Machine) send(to EntryID, message wire.Message) { m.emit(Send{Entry: to, Message: message}) }
