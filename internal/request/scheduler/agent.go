package scheduler

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/health"
	"pollenpaddle/internal/request/runner"
)

const (
	// localRoundTrip and remoteRoundTrip are the assumed network round-trip times to an agent in the
	// same zone and in another zone.
	localRoundTrip  = time.Millisecond
	remoteRoundTrip = 3 * time.Millisecond
	// silentAfter is the time without a message after which an agent gets no more orders. It covers one
	// retransmission of a poll.
	silentAfter = 2*runner.PollInterval + 200*time.Millisecond
	// busyBackoff is how long an agent gets no order after a refusal with run.Busy or run.Closed. A change of
	// its free capacity, or of the last order that its state includes, shortens a longer backoff to this value.
	busyBackoff = 8 * time.Millisecond
	// refusalBackoff is how long an agent gets no order after a refusal with run.Unfit, run.Unhealthy or
	// run.Conflict, unless its state shortens the wait to busyBackoff; for the refused task nothing shortens it. A
	// refusal with run.Outdated causes no backoff.
	refusalBackoff = 250 * time.Millisecond
	// lossTimeout is how long after the end of a session this entry's runs at the agent may still be executing if their
	// host runs: the agent stops them after the owner timeout, and if the agent is gone, their lease expires.
	lossTimeout = runner.OwnerTimeout + runner.DefaultLeaseTerm + 200*time.Millisecond
	// startupGrace is how long a newly started process accepts jobs without a known worker: agents
	// connect within a few hundred milliseconds.
	startupGrace = 1500 * time.Millisecond
	// furtherWorkersGrace is how long a newly started process waits for further workers after the first
	// one before it rejects jobs for lack of capacity. In an installation with three zones, agents
	// connected within 50 ms of each other.
	furtherWorkersGrace = 200 * time.Millisecond
	// reportInterval is the minimum time between two reports of eligibility changes.
	reportInterval = 100 * time.Millisecond
	// serviceAbsenceGrace is how long jobs are accepted for a service without an available agent after
	// the last message from an agent whose worker accepted starts.
	serviceAbsenceGrace = 3 * time.Second
)

// unreportedOrder is an order that the agent's reported state does not include yet: its sequence number
// exceeds WorkerState.Orders.
type unreportedOrder struct {
	sequence uint64
	priority int
	need     job.Resources
}

// agent is one incarnation of an agent.
type agent struct {
	id                AgentID
	zone              string
	connected         bool
	inventoryReceived bool // the inventory of this session has arrived
	roundTrip         time.Duration
	heardAt           time.Duration
	lossDeadline      time.Duration // when its runs count as lost unless it polls or sends an inventory; zero if not set

	state               wire.WorkerState
	stateAt             time.Duration // when state arrived
	reportedEligibility Eligibility
	unreported          []unreportedOrder
	lastSequence        uint64
	backoffUntil        time.Duration
	suspectUntil        time.Duration // after consecutive failures: when a trial run is allowed
	tasks               map[*task]struct{}
	plannedRuns         int // runs planned here for the job that is being placed
	speed               speed
	confinedQueues      []string // the confined queues for which the agent is reserved
	health              health.State
}

func (m *Machine) connect(now time.Duration, e AgentConnected) {
	a := m.agents[e.Agent.ID]
	if a != nil && a.connected {
		m.rememberState(a)
	}
	if a != nil && a.id != e.Agent {
		// The earlier agent process is gone. Its runs end as lost when the inventory of the new process
		// arrives, unless it lists them.
		a.id = e.Agent
		a.state = wire.WorkerState{}
		m.poolsOutdated = true
	}
	if a == nil {
		a = &agent{id: e.Agent, tasks: map[*task]struct{}{}, health: health.NewHealthy(), reportedEligibility: Disconnected}
		m.insertAgent(a)
	}
	a.zone, a.connected, a.inventoryReceived, a.heardAt = e.AvailabilityZone, true, false, now
	a.state.Open, a.unreported, a.lastSequence = false, nil, 0
	a.roundTrip = remoteRoundTrip
	if a.zone == m.config.AvailabilityZone {
		a.roundTrip = localRoundTrip
	}
	if len(a.tasks) > 0 {
		a.expectLoss(now, true) // with the session, the agent continues the runs for OwnerTimeout
	}
	m.repeatCancellations(a)
}

func (m *Machine) disconnect(now time.Duration, id AgentID) {
	a := m.agents[id.ID]
	if a == nil || a.id != id || !a.connected {
		return
	}
	m.rememberState(a)
	a.connected, a.inventoryReceived, a.state.Open, a.unreported = false, false, false, nil
	a.expectLoss(now, a.silent(now) && len(a.tasks) > 0)
}

// expectLoss sets the time at which the runs at the agent count as lost unless it polls or sends an inventory. A session
// that an agent's host has closed shows that the host was running; one that ends in silence does not.
func (a *agent) expectLoss(now time.Duration, suspended bool) {
	a.lossDeadline = now + lossTimeout
	if suspended {
		a.lossDeadline += maxHostSuspension
	}
}

// repeatCancellations asks the agent to stop the runs whose cancellation was requested without a session.
func (m *Machine) repeatCancellations(a *agent) {
	for _, t := range a.sortedTasks() {
		if t.cancelRequested {
			t.cancelRequested = false
			m.cancelRun(t)
		}
	}
}

// applyInventory gives the outcome run.Lost to the runs that the agent does not list, and repeats the
// requested cancellations of the others.
func (m *Machine) applyInventory(now time.Duration, a *agent, message *wire.RunInventory) {
	a.inventoryReceived, a.lossDeadline = true, 0
	for _, t := range a.sortedTasks() {
		if !slices.Contains(message.Runs, t.id()) {
			m.runEnded(now, a, run.End{ID: t.id(), Outcome: run.Lost, Reason: run.NotInInventory})
		} else if t.cancelRequested {
			t.cancelRequested = false
			m.cancelRun(t)
		}
	}
	// Runs that are listed but not found here belong to jobs that already have a verdict.
	var unknown []run.ID
	for _, id := range message.Runs {
		if j := m.jobs[id.Task.Job]; j == nil || j.findTask(id) == nil {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) > 0 {
		m.emit(Send{Agent: a.id, Message: &wire.RunCancel{Runs: unknown}})
	}
}

func (a *agent) sortedTasks() []*task {
	tasks := make([]*task, 0, len(a.tasks))
	for t := range a.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		switch {
		case a.job != b.job && a.job.arrival < b.job.arrival, a.job == b.job && a.step < b.step,
			a.job == b.job && a.step == b.step && a.index < b.index:
			return -1
		}
		return 1
	})
	return tasks
}

// expireAgents gives the outcome run.Lost to the runs of agents whose lossDeadline has passed.
func (m *Machine) expireAgents(now time.Duration) {
	due := func(a *agent) bool { return a.lossDeadline != 0 && now >= a.lossDeadline }
	if !slices.ContainsFunc(m.sortedAgents, due) {
		return
	}
	for _, a := range slices.Clone(m.sortedAgents) {
		if !due(a) {
			continue
		}
		a.lossDeadline = 0
		for _, t := range a.sortedTasks() {
			m.runEnded(now, a, run.End{ID: t.id(), Outcome: run.Lost, Reason: run.AgentAbsent})
		}
		if !a.connected {
			m.removeAgent(a)
		}
	}
}

// applyState stores the state of the agent's worker.
func (m *Machine) applyState(now time.Duration, a *agent, state *wire.WorkerState) {
	m.rememberState(a)
	m.poolsOutdated = m.poolsOutdated || state.Service != a.state.Service
	if state.Failures > a.state.Failures {
		a.suspectUntil = now + runner.SuspectRetryInterval
	}
	if state.Free != a.state.Free || state.Orders != a.state.Orders {
		a.backoffUntil = min(a.backoffUntil, now+busyBackoff)
	}
	a.state, a.stateAt = *state, now
	a.unreported = slices.DeleteFunc(a.unreported, func(o unreportedOrder) bool { return o.sequence <= state.Orders })
	m.workersOf(state.Service).recordCapacity(now, state.Capacity, state.Open)
}

// Eligibility tells whether an agent is eligible for runs, or why not. Probation is the entry's own
// judgement of the agent (package health). Suspect rests on the failures that the agent counts for its worker
// over the jobs of all entries; the agent refuses runs by the same rule, with run.Unhealthy.
type Eligibility uint8

// The values of Eligibility.
const (
	Open             Eligibility = iota // eligible; "open" in logs
	Disconnected                        // no session, or its inventory has not arrived yet
	WorkerClosed                        // the worker accepts no starts, by the last state received
	ZoneOutOfService                    // the availability zone is out of service
	Silent                              // no message for silentAfter
	Probation                           // runs fail more often than on other agents
	Suspect                             // several consecutive jobs each had a failed run on the worker, and no trial run is due yet
)

var eligibilityNames = [...]string{"open", "disconnected", "worker_closed", "zone_out", "silent", "probation", "suspect"}

// String returns the name used in logs.
func (e Eligibility) String() string {
	if int(e) < len(eligibilityNames) {
		return eligibilityNames[e]
	}
	return "unknown"
}

// eligibility returns whether the agent may get runs, regardless of its free capacity.
func (m *Machine) eligibility(now time.Duration, a *agent) Eligibility {
	switch {
	case !a.connected || !a.inventoryReceived:
		return Disconnected
	case !a.state.Open:
		return WorkerClosed
	case m.zonesOutOfService[a.zone]:
		return ZoneOutOfService
	case a.silent(now):
		return Silent
	case now < a.health.ProbationEnd:
		return Probation
	case a.state.Failures >= runner.SuspectFailures && now < a.suspectUntil:
		return Suspect
	}
	return Open
}

// available reports whether the agent may get another run: it is eligible, has fewer runs than its
// health allows and, after several failures, has no other run (see suspect).
func (m *Machine) available(now time.Duration, a *agent) bool {
	return m.eligibility(now, a) == Open && a.runs() < a.health.Limit && !a.suspect(now)
}

// reportAgents reports the agents whose eligibility has changed since the last report.
func (m *Machine) reportAgents(now time.Duration) {
	if now < m.nextReportAt {
		return
	}
	m.nextReportAt = now + reportInterval
	for _, a := range m.sortedAgents {
		if eligibility := m.eligibility(now, a); eligibility != a.reportedEligibility {
			a.reportedEligibility = eligibility
			m.emit(EligibilityChanged{Agent: a.id, Eligibility: eligibility})
		}
	}
}

// suspect reports whether several consecutive jobs, of any entry, each had a failed run on the
// worker, and no trial run may be sent now. From suspectUntil on, one trial run at a time is allowed.
func (a *agent) suspect(now time.Duration) bool {
	return a.state.Failures >= runner.SuspectFailures && (now < a.suspectUntil || a.runs() > 0)
}

// runs returns the number of active and planned runs.
func (a *agent) runs() int { return len(a.tasks) + a.plannedRuns }

// serviceAvailable reports whether an agent that serves the submission may get another run, whether a worker of the
// service was known within serviceAbsenceGrace to accept starts, or whether agents are still connecting. There is no such
// grace for a confined queue.
func (m *Machine) serviceAvailable(now time.Duration, submission *Submission) bool {
	m.updatePools()
	service := submission.Service
	s := m.workersOf(service)
	lastOpenAt, everOpen := s.lastOpenAt, s.everOpen && !m.confined(submission.Queue)
	for _, a := range m.sortedAgents {
		if !m.serves(a, submission) {
			continue
		}
		if m.available(now, a) {
			return true
		}
		if a.state.Open {
			lastOpenAt = max(lastOpenAt, a.heardAt)
		}
	}
	return everOpen && now-lastOpenAt < serviceAbsenceGrace || m.awaitingAgents(now, service)
}

// awaitingAgents reports whether this process has just started and agents are still connecting. Jobs
// then wait for agents rather than for free capacity.
func (m *Machine) awaitingAgents(now time.Duration, service string) bool {
	workers := m.workersOf(service)
	return m.newlyStarted(now) && (!workers.everOpen || now < workers.firstOpenAt+furtherWorkersGrace)
}

// newlyStarted reports whether this process has run for less than startupGrace.
func (m *Machine) newlyStarted(now time.Duration) bool { return now < m.firstStep+startupGrace }

func scale(need job.Resources, n int) job.Resources {
	return job.Resources{
		MilliProcessors: need.MilliProcessors * int64(n), MemoryBytes: need.MemoryBytes * int64(n), Accelerators: need.Accelerators * int64(n),
	}
}
