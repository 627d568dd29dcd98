// Package dispatch implements the entry's state machine for jobs and requests, except restartable
// jobs (package scheduler). It admits their tasks, places them on agents, tracks the health of the
// agents and collects the results. It performs no I/O and reads no clock: the caller passes events
// and the time, and carries out the returned actions.
//
// A start is one attempt to run a task, sent to an agent; it is open until its outcome is known.
// Package placement defines direct starts, offers, probes, demands and credits. A lease is a
// configuration lease.
package dispatch

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/admission"
	"pollenpaddle/internal/request/placement"
	"pollenpaddle/internal/version/catalog"
)

// Machine is the state of the dispatcher of one entry. It is not safe for concurrent use.
type Machine struct {
	config        Config
	now           time.Duration // time of the last Step
	policy        placement.Policy
	catalog       *catalog.State
	leaseDeadline time.Duration

	queue     *admission.Queue
	jobs      map[job.Key]*jobState
	classes   map[string]*class
	upstreams map[string]*upstream
	// classOrder and upstreamOrder list the values of the maps in order of their creation, for
	// output that must not depend on the iteration order of maps.
	classOrder    []*class
	upstreamOrder []*upstream
	agents        map[string]*agent
	history       map[string]*agentHistory
	racks         map[string]*placement.Rack
	zones         []*zone
	timers        timers
	usage         usage

	nextShed         time.Duration // when the next queued task becomes too late; zero if none is queued
	nextRebalance    time.Duration
	nextOfferRequest time.Duration // when to request offers again; zero if no task is queued or without a lease
	nextPrune        time.Duration

	stats         Stats
	offerRequests []placement.OfferRequest
	actions       []Action
}

// New returns an empty machine, which starts no task before it has received LeaseChanged and
// Configured. An unknown policy is replaced by DefaultPolicy; the caller validates the name.
func New(config Config) *Machine {
	config = config.withDefaults()
	return &Machine{
		config: config,
		policy: placement.New(config.Policy, config.Seed),
		queue: admission.NewQueue(admission.Limits{
			Total: config.QueueLimit, Organisation: config.OrganisationLimit, Class: config.ClassLimit,
		}),
		jobs:      map[job.Key]*jobState{},
		classes:   map[string]*class{},
		upstreams: map[string]*upstream{},
		agents:    map[string]*agent{},
		history:   map[string]*agentHistory{},
		racks:     map[string]*placement.Rack{},
	}
}

// Step applies one event. The returned actions are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	m.now = now
	m.runDueWork(now)
	switch e := event.(type) {
	case AgentConnected:
		m.connect(now, e)
	case AgentDisconnected:
		m.disconnect(now, e.Agent)
	case AgentMessage:
		m.handleMessage(now, e)
	case Submitted:
		m.submit(now, e.Submission)
	case Cancelled:
		m.cancel(now, e.Key)
	case Configured:
		m.configure(now, e.State)
	case LeaseChanged:
		m.leaseDeadline = e.Deadline
	case PeerUsage:
		m.handlePeerUsage(now, e)
	case Tick:
	}
	m.schedule(now)
	return m.actions
}

// runDueWork does the work that is due by time alone.
func (m *Machine) runDueWork(now time.Duration) {
	m.fireTimers(now)
	if m.nextShed != 0 && now >= m.nextShed {
		m.shedLate(now)
	}
	if m.usageDue(now) {
		m.reportUsage(now)
	}
	if now >= m.nextPrune {
		m.nextPrune = now + pruneInterval
		m.prune(now)
	}
}

// NextWake returns the time at which the machine needs a Tick unless another event comes first.
// It returns false if no time is due.
func (m *Machine) NextWake() (time.Duration, bool) {
	var next time.Duration
	due := false
	consider := func(at time.Duration, ok bool) {
		if ok && (!due || at < next) {
			next, due = at, true
		}
	}
	if len(m.timers) > 0 {
		consider(m.timers[0].timerAt, true)
	}
	consider(m.nextShed, m.nextShed != 0)
	consider(m.nextOfferRequest, m.nextOfferRequest != 0)
	consider(m.usage.next, m.usageActive())
	return next, due
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) send(a *agent, message wire.Message) {
	m.emit(Send{Agent: a.id, Message: message})
}

// configure applies a new configuration.
func (m *Machine) configure(now time.Duration, state *catalog.State) {
	m.catalog = state
	for i := range state.Classes {
		m.configureClass(&state.Classes[i])
	}
	for _, z := range m.zones {
		out := state.ZoneOut(z.name)
		if out == z.out {
			continue
		}
		z.out = out
		for _, a := range z.agents {
			if !out {
				a.health.WarmUp()
			}
			m.refresh(now, a)
		}
	}
	for _, o := range m.queue.Organisations() {
		m.updateAllowance(now, o)
	}
}
