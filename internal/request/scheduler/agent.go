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
	// localRoundTrip and remoteRoundTrip are the network times to an agent and back within and
	// between zones.
	localRoundTrip  = time.Millisecond
	remoteRoundTrip = 3 * time.Millisecond
	// silentAfter is the time without a word after which an agent gets no orders. A retransmission
	// of one of its polls fits in.
	silentAfter = 2*runner.PollInterval + 200*time.Millisecond
	// busyBlock is how long an agent that was full gets no order unless its state changes.
	busyBlock = 8 * time.Millisecond
	// unhealthyBlock is how long an agent that refused for another reason gets no order.
	unhealthyBlock = 250 * time.Millisecond
	// lossBound is the time after the end of a session after which none of its runs goes on: the
	// agent stops them after the owner term, and if it is gone, their lease has lapsed.
	lossBound = runner.OwnerTerm + runner.DefaultLeaseTerm + 200*time.Millisecond
	// shapeMemory is how long the capacity of a lost worker still shows that a task fits somewhere.
	shapeMemory = time.Minute
	// startGrace is how long a process that has just started takes jobs without knowing a worker: agents
	// connect to it within some hundred milliseconds.
	startGrace = 1500 * time.Millisecond
	// startSettle is how long such a process, after it has heard of its first worker, waits for the
	// others before it refuses work for lack of room. The agents of an installation of three zones were
	// seen to connect within 50 ms of each other.
	startSettle = 200 * time.Millisecond
	// reportInterval is the time between two reports of agents that begin or cease to get runs.
	reportInterval = 100 * time.Millisecond
	// absenceGrace is how long jobs wait for a service without a worker that takes starts.
	absenceGrace = 3 * time.Second
)

// unseenOrder is an order that the agent's reported state does not include yet.
type unseenOrder struct {
	sequence uint64
	priority int
	need     job.Resources
}

// agent is one incarnation of an agent.
type agent struct {
	id        AgentID
	zone      string
	connected bool
	listed    bool // its inventory has arrived on this session
	roundTrip time.Duration
	heardAt   time.Duration
	lostAt    time.Duration // when its runs are over for certain; zero while connected

	state        wire.WorkerState
	describedAt  time.Duration // when state arrived
	reported     Eligibility
	pending      []unseenOrder
	lastOrder    uint64
	blockedUntil time.Duration
	suspectUntil time.Duration // with failures in a row: when one run may show whether it still fails
	tasks        map[*task]struct{}
	planned      int // runs of the job that is being placed
	speed        speed
	standing     health.State
}

func (m *Machine) connect(now time.Duration, e AgentConnected) {
	a := m.agents[e.Agent.ID]
	if a != nil && a.id != e.Agent {
		// The earlier process is gone. Its runs are over once the new one accounts for the worker.
		a.id = e.Agent
		a.state = wire.WorkerState{}
	}
	if a == nil {
		a = &agent{id: e.Agent, tasks: map[*task]struct{}{}, standing: health.NewHealthy(), reported: Disconnected}
		m.insertAgent(a)
	}
	a.zone, a.connected, a.listed, a.heardAt = e.AvailabilityZone, true, false, now
	a.state.Open, a.pending, a.lastOrder = false, nil, 0
	a.roundTrip = remoteRoundTrip
	if a.zone == m.config.AvailabilityZone {
		a.roundTrip = localRoundTrip
	}
	if len(a.tasks) > 0 && a.lostAt == 0 {
		a.lostAt = now + lossBound
	}
}

func (m *Machine) disconnect(now time.Duration, id AgentID) {
	a := m.agents[id.ID]
	if a == nil || a.id != id || !a.connected {
		return
	}
	a.connected, a.listed, a.state.Open, a.pending = false, false, false, nil
	a.lostAt = now + lossBound
}

// inventory settles the runs that the agent does not list.
func (m *Machine) inventory(now time.Duration, a *agent, message *wire.RunInventory) {
	a.listed, a.lostAt = true, 0
	for _, t := range a.sortedTasks() {
		if !slices.Contains(message.Runs, t.id()) {
			m.ended(now, a, run.End{ID: t.id(), Outcome: run.Lost})
		} else if t.stopSent {
			t.stopSent = false
			m.stopRun(t)
		}
	}
	// Runs that are listed and unknown here belong to jobs with a verdict.
	var unknown []run.ID
	for _, id := range message.Runs {
		if j := m.jobs[id.Task.Job]; j == nil || j.find(id) == nil {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) > 0 {
		m.act(Send{Agent: a.id, Message: &wire.RunCancel{Runs: unknown}})
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

// expireAgents settles the runs of agents that have been gone for the loss bound.
func (m *Machine) expireAgents(now time.Duration) {
	for _, a := range slices.Clone(m.order) {
		if a.lostAt == 0 || now < a.lostAt {
			continue
		}
		a.lostAt = 0
		for _, t := range a.sortedTasks() {
			m.ended(now, a, run.End{ID: t.id(), Outcome: run.Lost})
		}
		if !a.connected {
			m.removeAgent(a)
		}
	}
}

// describe adopts the state of the agent's worker.
func (m *Machine) describe(now time.Duration, a *agent, state *wire.WorkerState) {
	if state.Failures > a.state.Failures {
		a.suspectUntil = now + runner.SuspectTime
	}
	if state.Free != a.state.Free || state.Orders != a.state.Orders {
		a.blockedUntil = min(a.blockedUntil, now+busyBlock)
	}
	a.state, a.describedAt = *state, now
	a.pending = slices.DeleteFunc(a.pending, func(o unseenOrder) bool { return o.sequence <= state.Orders })
	m.shapesOf(state.Service).remember(now, state.Capacity, state.Open)
}

// Eligibility is why an agent gets no runs.
type Eligibility uint8

// The closures.
const (
	Open         Eligibility = iota // it gets runs
	Disconnected                    // no session, or no inventory on it yet
	WorkerClosed                    // its worker takes no starts, by the agent's last word
	ZoneOut                         // its availability zone is out of service
	Silent                          // no word for silentAfter
	Probation                       // its runs fail more often than those of others
	Suspect                         // runs of several jobs in a row have failed there
)

var closureNames = [...]string{"open", "disconnected", "worker_closed", "zone_out", "silent", "probation", "suspect"}

// String returns the name used in logs.
func (c Eligibility) String() string {
	if int(c) < len(closureNames) {
		return closureNames[c]
	}
	return "unknown"
}

// closure tells why the agent gets no runs whatever its room.
func (m *Machine) closure(now time.Duration, a *agent) Eligibility {
	switch {
	case !a.connected || !a.listed:
		return Disconnected
	case !a.state.Open:
		return WorkerClosed
	case m.zoneOut[a.zone]:
		return ZoneOut
	case now >= a.heardAt+silentAfter:
		return Silent
	case now < a.standing.ProbationEnd:
		return Probation
	case a.state.Failures >= runner.SuspectFailures && now < a.suspectUntil:
		return Suspect
	}
	return Open
}

// open reports whether the agent takes orders.
func (m *Machine) open(now time.Duration, a *agent) bool {
	return m.closure(now, a) == Open && a.runs() < a.standing.Limit && !a.suspect(now)
}

// reportAgents reports the agents that began or ceased to get runs since the last report.
func (m *Machine) reportAgents(now time.Duration) {
	if now < m.reportAt {
		return
	}
	m.reportAt = now + reportInterval
	for _, a := range m.order {
		if reason := m.closure(now, a); reason != a.reported {
			a.reported = reason
			m.act(EligibilityChanged{Agent: a.id, Eligibility: reason})
		}
	}
}

// suspect reports whether the worker has failed the runs of several jobs in a row, ordered by whatever
// entry. From time to time one run is tried.
func (a *agent) suspect(now time.Duration) bool {
	return a.state.Failures >= runner.SuspectFailures && (now < a.suspectUntil || a.runs() > 0)
}

// runs is the number of runs that are ordered there or about to be.
func (a *agent) runs() int { return len(a.tasks) + a.planned }

// shapes are the capacities of the workers of one service that were seen lately.
type shapes struct {
	known  []seenShape
	openAt time.Duration // when a worker last took starts
	seen   bool
	seenAt time.Duration // when a worker first took starts
}

type seenShape struct {
	capacity job.Resources
	at       time.Duration
}

func (m *Machine) shapesOf(service string) *shapes {
	s := m.shapes[service]
	if s == nil {
		s = &shapes{}
		m.shapes[service] = s
	}
	return s
}

func (s *shapes) remember(now time.Duration, capacity job.Resources, open bool) {
	if open && !s.seen {
		s.seenAt = now
	}
	if open {
		s.openAt, s.seen = now, true
	}
	for i := range s.known {
		if s.known[i].capacity == capacity {
			s.known[i].at = now
			return
		}
	}
	s.known = slices.DeleteFunc(s.known, func(k seenShape) bool { return now-k.at > shapeMemory })
	s.known = append(s.known, seenShape{capacity: capacity, at: now})
}

// neverFits reports whether a task of the job exceeds every worker of its service. Without a known
// worker the answer is no.
func (m *Machine) neverFits(now time.Duration, j *jobState) bool {
	known := m.shapesOf(j.submission.Service).known
	for _, step := range j.submission.Steps {
		fits := func(k seenShape) bool { return now-k.at <= shapeMemory && k.capacity.Fits(step.Need) }
		if len(known) > 0 && !slices.ContainsFunc(known, fits) {
			return true
		}
	}
	return false
}

// serviceKnown reports whether a worker of the service takes starts, or did a moment ago.
func (m *Machine) serviceKnown(now time.Duration, service string) bool {
	for _, a := range m.order {
		if a.state.Service == service && m.open(now, a) {
			return true
		}
	}
	s := m.shapesOf(service)
	return s.seen && now-s.openAt < absenceGrace || m.starting(now, service)
}

// starting reports whether this process has just started and its agents are still connecting. Jobs
// then wait for agents rather than for room.
func (m *Machine) starting(now time.Duration, service string) bool {
	known := m.shapesOf(service)
	return now < m.firstStep+startGrace && (!known.seen || now < known.seenAt+startSettle)
}

func scale(need job.Resources, n int) job.Resources {
	return job.Resources{
		MilliProcessors: need.MilliProcessors * int64(n), MemoryBytes: need.MemoryBytes * int64(n), Accelerators: need.Accelerators * int64(n),
	}
}
