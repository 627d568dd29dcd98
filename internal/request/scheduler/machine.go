// Package scheduler is the entry's state machine for restartable jobs. It admits jobs, places their
// tasks on agents, starts lost and failed tasks again, and gives up what can no longer be useful.
//
// Invariants: a task has at most one ordered run without an outcome; the next run of a task is
// ordered only when the one before is over for certain; a rejected job has no run that has begun or
// ever will.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pollenpaddle/internal/connection/wire"
)

// Config holds the settings of a machine. A zero field takes its default.
type Config struct {
	Seed             uint64 // of the choice between equal agents
	AvailabilityZone string // zone of the entry, to prefer near agents
	QueueLimit       int    // jobs that wait for room
}

// DefaultQueueLimit bounds the jobs that wait at one entry. The longest useful wait is about a
// second, in which a small entry accepts far fewer jobs.
const DefaultQueueLimit = 4096

// Machine is the entry's state.
type Machine struct {
	config    Config
	now       time.Duration // of the last Step
	firstStep time.Duration
	random    *rand.Rand

	jobs    map[string]*jobState
	waiting []*jobState // jobs with tasks to place, in the order in which they are served
	agents  map[string]*agent
	order   []*agent // sorted by id, for deterministic output
	zoneOut map[string]bool
	queues  map[string]*queueStats
	shapes  map[string]*shapes
	held    time.Duration // mean time that a run holds its room; zero before the first one
	arrival uint64
	expiry  time.Duration // when the first job may need attention by time alone
	// reportAt is when changes of the agents are next reported.
	reportAt time.Duration

	plan    []planned      // of the job that is being placed
	orders  []pendingOrder // of this step
	stats   Stats
	actions []Action
}

// New returns a machine without agents.
func New(config Config) *Machine {
	if config.QueueLimit <= 0 {
		config.QueueLimit = DefaultQueueLimit
	}
	return &Machine{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), jobs: map[string]*jobState{}, agents: map[string]*agent{},
		zoneOut: map[string]bool{}, queues: map[string]*queueStats{}, shapes: map[string]*shapes{},
	}
}

// Step applies one event. The returned actions are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	m.now = now
	if m.firstStep == 0 {
		m.firstStep = now
	}
	m.expireAgents(now)
	m.expireJobs(now)
	switch e := event.(type) {
	case AgentConnected:
		m.connect(now, e)
	case AgentDisconnected:
		m.disconnect(now, e.Agent)
	case AgentMessage:
		m.receive(now, e)
	case ZonesChanged:
		m.zonesChanged(e.Out)
	case Submitted:
		m.submit(now, e.Submission)
	case Cancelled:
		m.cancelled(now, e.Job)
	}
	m.place(now)
	m.flushOrders(now)
	m.reportAgents(now)
	return m.actions
}

func (m *Machine) act(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) zonesChanged(out []string) {
	clear(m.zoneOut)
	for _, zone := range out {
		m.zoneOut[zone] = true
	}
}

// receive handles a message of an agent.
func (m *Machine) receive(now time.Duration, e AgentMessage) {
	a := m.agents[e.Agent.ID]
	if a == nil || a.id != e.Agent || !a.connected {
		return
	}
	a.heardAt = now
	switch message := e.Message.(type) {
	case *wire.OwnerPoll:
		m.act(Send{Agent: a.id, Message: &wire.OwnerGrant{Sent: message.Sent}})
	case *wire.RunInventory:
		m.inventory(now, a, message)
	case *wire.WorkerState:
		m.describe(now, a, message)
	case *wire.RunEnds:
		for _, end := range message.Ends {
			m.ended(now, a, end)
		}
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
	consider(m.expiry)
	for _, a := range m.order {
		consider(a.lostAt)
		if a.connected {
			consider(a.blockedUntil)
			consider(a.standing.ProbationEnd)
			consider(a.suspectUntil)
		}
	}
	return wake, due
}

// OpenJobs returns the number of jobs without a verdict.
func (m *Machine) OpenJobs() int { return len(m.jobs) }

// Owns reports whether the job is known and has no verdict yet.
func (m *Machine) Owns(id string) bool { return m.jobs[id] != nil && !m.jobs[id].decided }

// Waiting returns the number of jobs of a queue of which no task was ordered yet.
func (m *Machine) Waiting(queue string) int {
	n := 0
	for _, j := range m.waiting {
		if j.submission.Queue == queue && j.facts.Orders == 0 {
			n++
		}
	}
	return n
}

// AvailableAgents returns the number of agents that take starts.
func (m *Machine) AvailableAgents(now time.Duration) int {
	n := 0
	for _, a := range m.order {
		if m.open(now, a) {
			n++
		}
	}
	return n
}

// pendingOrder collects the runs of one job for one agent within a step.
type pendingOrder struct {
	agent *agent
	job   *jobState
	need  int // index of the step whose needs the runs share
	tasks []wire.OrderedTask
	// predicted is the run time of the last task.
	predicted time.Duration
}

// flushOrders sends the orders of the step, one message for each job, step and agent, and reports the
// placements of each job.
func (m *Machine) flushOrders(now time.Duration) {
	for len(m.orders) > 0 {
		first := m.orders[0].job
		placed := Ordered{Job: first.submission.ID}
		rest := m.orders[:0]
		for _, o := range m.orders {
			if o.job != first {
				rest = append(rest, o)
				continue
			}
			placed.Placements = append(placed.Placements, m.sendOrder(now, o))
		}
		clear(m.orders[len(rest):])
		m.orders = rest
		m.act(placed)
	}
}

func (m *Machine) sendOrder(now time.Duration, o pendingOrder) Placement {
	s, a := o.job.submission, o.agent
	a.lastOrder++
	order := &wire.RunOrder{
		Sequence: a.lastOrder, Job: s.ID, Service: s.Service, Priority: s.Priority, MaxWait: orderPatience,
		Spec: s.Spec, Need: s.Steps[o.need].Need, Tasks: o.tasks,
	}
	a.pending = append(a.pending, unseenOrder{sequence: a.lastOrder, priority: s.Priority, need: scale(order.Need, len(o.tasks))})
	m.act(Send{Agent: a.id, Message: order})
	return Placement{Agent: a.id, Runs: len(o.tasks), Predicted: o.predicted, StateAge: now - a.describedAt}
}

// addOrder adds a run to the orders of the step.
func (m *Machine) addOrder(a *agent, t *task) {
	ordered := wire.OrderedTask{Step: uint16(t.step), Index: uint16(t.index), Number: t.number}
	for i := range m.orders {
		if o := &m.orders[i]; o.agent == a && o.job == t.job && o.need == t.step {
			o.tasks, o.predicted = append(o.tasks, ordered), t.predicted
			return
		}
	}
	m.orders = append(m.orders, pendingOrder{agent: a, job: t.job, need: t.step, tasks: []wire.OrderedTask{ordered}, predicted: t.predicted})
}

func (m *Machine) insertAgent(a *agent) {
	m.agents[a.id.ID] = a
	m.order = append(m.order, a)
	slices.SortFunc(m.order, func(a, b *agent) int { return strings.Compare(a.id.ID, b.id.ID) })
}

func (m *Machine) removeAgent(a *agent) {
	delete(m.agents, a.id.ID)
	m.order = slices.DeleteFunc(m.order, func(known *agent) bool { return known == a })
}
