// Package dispatch is the entry's state machine. It admits the tasks of accepted jobs and
// requests, places them on agents, watches the agents' health and collects the results.
package dispatch

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/admission"
	"pollenpaddle/internal/request/placement"
	"pollenpaddle/internal/version/catalog"
)

// Machine is the entry's state.
type Machine struct {
	config        Config
	now           time.Duration // of the last Step
	policy        placement.Policy
	catalog       *catalog.State
	leaseDeadline time.Duration

	queue    *admission.Queue
	jobs     map[job.Key]*jobState
	classes  map[string]*class
	services map[string]*service
	// classOrder and serviceOrder are in order of arrival, for output that must not depend on maps.
	classOrder   []*class
	serviceOrder []*service
	agents       map[string]*agent
	history      map[string]*history
	racks        map[string]*placement.Rack
	zones        []*zone
	timers       timers
	usage        usage

	nextLate      time.Duration // when the next queued task is too late; zero if nothing is queued
	nextRebalance time.Duration
	nextSolicit   time.Duration // when to ask for offers again; zero if nothing is queued
	nextPrune     time.Duration

	stats   Stats
	asks    []placement.OfferRequest
	actions []Action
}

// New returns an empty machine. It starts nothing before LeaseChanged and Configured. An unknown
// policy is replaced by DefaultPolicy; the shell checks the name with KnownPolicy first.
func New(config Config) *Machine {
	config = config.withDefaults()
	return &Machine{
		config: config,
		policy: placement.New(config.Policy, config.Seed),
		queue: admission.NewQueue(admission.Limits{
			Total: config.QueueLimit, Organisation: config.OrganisationLimit, Class: config.ClassLimit,
		}),
		jobs:     map[job.Key]*jobState{},
		classes:  map[string]*class{},
		services: map[string]*service{},
		agents:   map[string]*agent{},
		history:  map[string]*history{},
		racks:    map[string]*placement.Rack{},
	}
}

// Step applies one event. The returned actions are valid until the next call.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	clear(m.actions)
	m.actions = m.actions[:0]
	m.now = now
	m.advance(now)
	switch e := event.(type) {
	case AgentConnected:
		m.connect(now, e)
	case AgentDisconnected:
		m.disconnect(now, e.Agent)
	case AgentMessage:
		m.receive(now, e)
	case Submitted:
		m.submit(now, e.Submission)
	case Cancelled:
		m.cancel(now, e.Key)
	case Configured:
		m.configure(now, e.State)
	case LeaseChanged:
		m.leaseDeadline = e.Deadline
	case PeerUsage:
		m.peerUsage(now, e)
	case Tick:
	}
	m.schedule(now)
	return m.actions
}

// advance does everything that is due by now.
func (m *Machine) advance(now time.Duration) {
	m.fireTimers(now)
	if m.nextLate != 0 && now >= m.nextLate {
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
		consider(m.timers[0].wake, true)
	}
	consider(m.nextLate, m.nextLate != 0)
	consider(m.nextSolicit, m.nextSolicit != 0)
	consider(m.usage.next, m.usageActive())
	return next, due
}

func (m *Machine) act(action Action) { m.actions = append(m.actions, action) }

func (m *Machine) send(a *agent, message wire.Message) {
	m.act(Send{Agent: a.id, Message: message})
}

// configure adopts a configuration.
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
