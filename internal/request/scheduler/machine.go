// Package scheduler implements the entry's state machine for restartable jobs. It admits jobs, places
// their tasks on agents, reruns lost and failed tasks, and rejects or expires jobs that can no longer
// finish in time.
//
// A run is active from its order until its outcome is known.
//
// Invariants: a task has at most one active run; the next run of a task is
// ordered only when the previous one is certainly over; no run of a rejected job has started or ever
// will.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/runner"
)

// Config holds the settings of a machine. A QueueLimit that is not positive is replaced by
// DefaultQueueLimit, and an unknown OverloadOrder by OrderPriority.
type Config struct {
	Seed             uint64 // of the choice between equally suitable agents
	AvailabilityZone string // zone of the entry, to prefer agents in the same zone
	QueueLimit       int    // maximum number of jobs that wait for capacity
	OverloadOrder    string // order of the waiting jobs: OrderPriority or OrderCost
}

// DefaultQueueLimit bounds the number of waiting jobs of one entry. The longest useful wait is about a
// second; an entry on a small VM accepts far fewer jobs in that time.
const DefaultQueueLimit = 4096

const (
	// pauseThreshold is the time without a step, while a job is open, from which this process counts as having been
	// paused: agents have stopped its runs, and callers may have resubmitted their jobs to other entries.
	pauseThreshold = runner.OwnerTimeout
	// CallerCheckTime is the time after a pause in which disconnected callers are reported. It exceeds the interval at
	// which the adapter checks the connections of waiting callers.
	CallerCheckTime = 150 * time.Millisecond
)

// Machine is the state machine. It performs no I/O and reads no clock.
type Machine struct {
	config    Config
	now       time.Duration // of the last Step
	firstStep time.Duration
	random    *rand.Rand

	jobs              map[string]*jobState
	waiting           []*jobState // jobs with tasks to place, in scheduling order
	agents            map[string]*agent
	sortedAgents      []*agent // sorted by id, for deterministic output
	zonesOutOfService map[string]bool
	queues            map[string]*queueStats
	workersByService  map[string]*serviceWorkers
	peerCapacities    map[wire.Claimant]*wire.Capacities
	cost              costOrder
	crashes           crashRecord
	blame             queueBlame
	unresolved        unresolvedRuns
	poolsOutdated     bool            // the agents of confined queues have to be chosen again
	openToAll         map[string]bool // services with an agent that is not reserved for a confined queue; valid while one is confined
	longTasks         longTasks
	meanRunTime       time.Duration // moving average over all queues; zero before the first run
	arrival           uint64
	nextCheckAt       time.Duration // when checkJobs is next due; zero if never
	// After a pause of this process, the jobs up to heldArrival get no runs until heldUntil.
	heldArrival uint64
	heldUntil   time.Duration
	// While holding, the jobs up to holdArrival get no runs.
	holding     bool
	holdArrival uint64
	// nextReportAt is when eligibility changes may be reported next.
	nextReportAt time.Duration

	plan          []plannedRun   // for the job that is being placed
	pendingOrders []pendingOrder // of the current call of Step
	stats         Stats
	actions       []Action
}

// New returns a machine without agents.
func New(config Config) *Machine {
	if config.QueueLimit <= 0 {
		config.QueueLimit = DefaultQueueLimit
	}
	return &Machine{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), jobs: map[string]*jobState{}, agents: map[string]*agent{},
		zonesOutOfService: map[string]bool{}, queues: map[string]*queueStats{}, workersByService: map[string]*serviceWorkers{},
		peerCapacities: map[wire.Claimant]*wire.Capacities{}, crashes: newCrashRecord(), blame: newQueueBlame(), unresolved: newUnresolvedRuns(), openToAll: map[string]bool{},
	}
}

// Step applies one event. The returned actions are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	paused := m.holdJobsAfterPause(now)
	m.now = now
	if m.firstStep == 0 {
		m.firstStep = now
	}
	if paused {
		m.giveUpDelayed(now)
	}
	m.sortWaiting(now)
	m.expireAgents(now)
	m.checkJobs(now)
	switch e := event.(type) {
	case AgentConnected:
		m.connect(now, e)
	case AgentDisconnected:
		m.disconnect(now, e.Agent)
	case AgentMessage:
		m.receive(now, e)
	case PeerCapacities:
		m.recordPeer(now, e.Entry)
		m.peerCapacities[e.Entry] = e.Report
	case PeerDisconnected:
		m.recordPeer(now, e.Entry)
	case PeerCrashes:
		m.recordCrash(now, e.Report)
	case PeerUnresolved:
		m.recordUnresolved(now, e)
	case ZonesChanged:
		m.setZonesOutOfService(e.OutOfService)
	case Submitted:
		m.submit(now, e.Submission)
	case Cancelled:
		m.cancel(now, e)
	case JobsHeld:
		m.holding, m.holdArrival = true, m.arrival
	case JobsReleased:
		m.release(now, e.Drop)
	}
	m.updateConfinement(now)
	m.updatePools()
	m.sortWaiting(now)
	m.placeWaiting(now)
	m.recordWaiting(now)
	m.flushOrders(now)
	m.shareUnresolved(now)
	m.reportAgents(now)
	return m.actions
}

// holdJobsAfterPause holds the open jobs back if this process was paused, and reports whether it was. Open jobs are checked
// every checkInterval, so without a pause steps are never that far apart.
func (m *Machine) holdJobsAfterPause(now time.Duration) bool {
	paused := len(m.jobs) > 0 && now-m.now >= pauseThreshold
	if paused {
		m.heldArrival, m.heldUntil = m.arrival, now+CallerCheckTime
	}
	return paused
}

// giveUpDelayed gives up the jobs whose callers may have stopped waiting before the pause: the other entries may have
// forgotten that this one runs them.
func (m *Machine) giveUpDelayed(now time.Duration) {
	for _, j := range m.sortedJobs() {
		if j.submission.Delayed && !j.hasVerdict {
			m.setVerdict(now, j, Expired, failure.New(failure.MayHaveRun, "resubmit the job", "the entry was paused, and the caller may have submitted the job to another one"))
		}
	}
}

// held reports whether the job gets no runs because its caller may have resubmitted it during a pause, because it may have
// been cancelled while this entry was out of touch, or because an earlier run may be in progress.
func (m *Machine) held(now time.Duration, j *jobState) bool {
	return j.arrival <= m.heldArrival && now < m.heldUntil || m.holding && j.arrival <= m.holdArrival || m.unresolvedElsewhere(now, j.submission.ID)
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) setZonesOutOfService(out []string) {
	clear(m.zonesOutOfService)
	for _, zone := range out {
		m.zonesOutOfService[zone] = true
	}
}

// receive handles a message from an agent.
func (m *Machine) receive(now time.Duration, e AgentMessage) {
	a := m.agents[e.Agent.ID]
	if a == nil || a.id != e.Agent || !a.connected {
		return
	}
	a.heardAt = now
	switch message := e.Message.(type) {
	case *wire.OwnerPoll:
		if a.lossDeadline != 0 {
			a.expectLoss(now, true) // with the reply, the agent continues the runs
		}
		m.emit(Send{Agent: a.id, Message: &wire.OwnerGrant{Sent: message.Sent}})
	case *wire.RunInventory:
		m.applyInventory(now, a, message)
	case *wire.WorkerState:
		m.applyState(now, a, message)
	case *wire.WorkerSpeed:
		a.speed.adopt(message)
	case *wire.WorkerCrash:
		m.receiveCrash(now, a, message)
	case *wire.RunEnds:
		for _, end := range message.Ends {
			m.runEnded(now, a, end)
		}
	}
}

// NextWake returns the time at which the machine needs a Tick unless another event arrives earlier. It
// returns false if no Tick is needed.
func (m *Machine) NextWake() (time.Duration, bool) {
	wake, due := time.Duration(0), false
	// The last call of Step has handled everything that was due by then.
	consider := func(at time.Duration) {
		if at > m.now && (!due || at < wake) {
			wake, due = at, true
		}
	}
	consider(m.nextCheckAt)
	consider(m.heldUntil)
	consider(m.blame.nextAt())
	for _, a := range m.sortedAgents {
		consider(a.lossDeadline)
		if len(a.tasks) > 0 {
			consider(a.heardAt + silentAfter)
		}
		if a.connected {
			consider(a.backoffUntil)
			consider(a.health.ProbationEnd)
			consider(a.suspectUntil)
		}
	}
	return wake, due
}

// OpenJobs returns the number of jobs without a verdict or with an active run.
func (m *Machine) OpenJobs() int { return len(m.jobs) }

// Knows reports whether the job was submitted here and has no verdict yet or an active run.
func (m *Machine) Knows(id string) bool { return m.jobs[id] != nil }

// Owns reports whether the job was submitted here and has no verdict yet.
func (m *Machine) Owns(id string) bool { return m.jobs[id] != nil && !m.jobs[id].hasVerdict }

// Waiting returns the number of waiting jobs of a queue for which no run was ordered yet.
func (m *Machine) Waiting(queue string) int {
	n := 0
	for _, j := range m.waiting {
		if j.submission.Queue == queue && j.summary.Orders == 0 {
			n++
		}
	}
	return n
}

// AvailableAgents returns the number of agents that may get another run.
func (m *Machine) AvailableAgents(now time.Duration) int {
	n := 0
	for _, a := range m.sortedAgents {
		if m.available(now, a) {
			n++
		}
	}
	return n
}

// pendingOrder collects the runs of one job step for one agent within a call of Machine.Step.
type pendingOrder struct {
	agent *agent
	job   *jobState
	step  int // index of the job step
	tasks []wire.OrderedTask
	// predicted is the predicted run time of the last task.
	predicted time.Duration
	maxWait   time.Duration // at the agent; the longest of the tasks
}

// flushOrders sends the pending orders, one message per job, job step and agent, and reports the
// placements of each job.
func (m *Machine) flushOrders(now time.Duration) {
	for len(m.pendingOrders) > 0 {
		first := m.pendingOrders[0].job
		placed := Ordered{Job: first.submission.ID}
		rest := m.pendingOrders[:0]
		for _, o := range m.pendingOrders {
			if o.job != first {
				rest = append(rest, o)
				continue
			}
			placed.Placements = append(placed.Placements, m.sendOrder(now, o))
		}
		clear(m.pendingOrders[len(rest):])
		m.pendingOrders = rest
		m.emit(placed)
	}
}

func (m *Machine) sendOrder(now time.Duration, o pendingOrder) Placement {
	s, a := o.job.submission, o.agent
	a.lastSequence++
	order := &wire.RunOrder{
		Sequence: a.lastSequence, Job: s.ID, Service: s.Service, Priority: s.Priority, MaxWait: o.maxWait,
		Spec: s.Spec, Need: s.Steps[o.step].Need, Tasks: o.tasks,
	}
	a.unreported = append(a.unreported, unreportedOrder{sequence: a.lastSequence, priority: s.Priority, need: scale(order.Need, len(o.tasks))})
	predicted := m.statsOf(s.Queue).runTimeRatio.predict(s.Steps[o.step].DeclaredRunTime)
	m.emit(Send{Agent: a.id, Message: m.ranked(now, o.job, &wire.TimedOrder{Order: *order, Predicted: predicted})})
	return Placement{Agent: a.id, Runs: len(o.tasks), Predicted: o.predicted, StateAge: now - a.stateAt}
}

// addOrder adds a run to the pending orders.
func (m *Machine) addOrder(p plannedRun) {
	t, a := p.task, p.agent
	m.recordStart(m.now, t)
	ordered := wire.OrderedTask{Step: uint16(t.step), Index: uint16(t.index), Number: t.number}
	for i := range m.pendingOrders {
		if o := &m.pendingOrders[i]; o.agent == a && o.job == t.job && o.step == t.step {
			o.tasks, o.predicted, o.maxWait = append(o.tasks, ordered), t.predicted, max(o.maxWait, p.maxWait)
			return
		}
	}
	m.pendingOrders = append(m.pendingOrders, pendingOrder{
		agent: a, job: t.job, step: t.step, tasks: []wire.OrderedTask{ordered}, predicted: t.predicted, maxWait: p.maxWait,
	})
}

func (m *Machine) insertAgent(a *agent) {
	m.agents[a.id.ID] = a
	m.poolsOutdated = true
	m.sortedAgents = append(m.sortedAgents, a)
	slices.SortFunc(m.sortedAgents, func(a, b *agent) int { return strings.Compare(a.id.ID, b.id.ID) })
}

func (m *Machine) removeAgent(a *agent) {
	delete(m.agents, a.id.ID)
	m.poolsOutdated = true
	m.sortedAgents = slices.DeleteFunc(m.sortedAgents, func(known *agent) bool { return known == a })
}
