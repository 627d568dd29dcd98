package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/estimate"
	"pollenpaddle/internal/request/health"
	"pollenpaddle/internal/request/placement"
)

const (
	// localRoundTrip and remoteRoundTrip are the expected network times within and between zones.
	localRoundTrip  = time.Millisecond
	remoteRoundTrip = 3 * time.Millisecond
	// firstWindow is the first bound on direct starts at an agent.
	firstWindow = 2
	// maxWindowRounds bounds the direct starts at an agent, in multiples of its slots.
	maxWindowRounds = 2
	// historyMemory is how long an agent that is gone keeps its learned speed and probations.
	historyMemory = 10 * time.Minute
	// pruneInterval is the time between removals of outdated state.
	pruneInterval = time.Minute
	// maxQuery bounds the starts in one Query message.
	maxQuery = 1024
)

// zone is an availability zone with its connected agents.
type zone struct {
	name   string
	index  int
	out    bool
	agents []*agent
}

// history is what outlives an agent's incarnation.
type history struct {
	speed      estimate.Speed
	probations int
	last       time.Duration
}

// agent is one incarnation of an agent.
type agent struct {
	id            AgentID
	zone          *zone
	connected     bool
	graceEnd      time.Duration
	service       *service // nil without a valid announcement
	announceEnd   time.Duration
	rackName      string
	blockedUntil  time.Duration
	window        float64
	health        health.State
	history       *history
	place         placement.Agent
	offers        []offer
	first, last   *task // open starts, oldest first
	wake          time.Duration
	timerPosition int // -1 outside the timer heap
}

type offer struct {
	id       uint64
	reserved bool
}

func (m *Machine) zone(name string) *zone {
	for _, z := range m.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name, index: len(m.zones)}
	if m.catalog != nil {
		z.out = m.catalog.ZoneOut(name)
	}
	m.zones = append(m.zones, z)
	return z
}

func (z *zone) remove(a *agent) {
	z.agents = slices.DeleteFunc(z.agents, func(known *agent) bool { return known == a })
}

func (m *Machine) connect(now time.Duration, e AgentConnected) {
	a := m.agents[e.Agent.ID]
	if a != nil && a.id != e.Agent {
		m.lose(now, a, "the agent restarted after the start was sent")
		a = nil
	}
	if a == nil {
		a = m.newAgent(now, e.Agent)
	}
	if a.connected {
		m.suspend(now, a)
	}
	a.connected, a.graceEnd = true, 0
	a.zone = m.zone(e.AvailabilityZone)
	a.zone.agents = append(a.zone.agents, a)
	a.place.Zone, a.place.RTT = a.zone.index, remoteRoundTrip
	if e.AvailabilityZone == m.config.AvailabilityZone {
		a.place.RTT = localRoundTrip
	}
	m.query(a)
}

func (m *Machine) newAgent(now time.Duration, id AgentID) *agent {
	h := m.history[id.ID]
	if h == nil {
		h = &history{}
		m.history[id.ID] = h
	}
	h.last = now
	a := &agent{id: id, history: h, health: health.New(), window: firstWindow, timerPosition: -1}
	a.health.Probations = h.probations
	a.place.Owner = a
	m.agents[id.ID] = a
	return a
}

// query asks a reconnected agent about the open starts.
func (m *Machine) query(a *agent) {
	var ids []wire.StartID
	for t := a.first; t != nil; t = t.next {
		ids = append(ids, t.startID())
		if len(ids) == maxQuery {
			m.send(a, &wire.Query{IDs: ids})
			ids = nil
		}
	}
	if len(ids) > 0 {
		m.send(a, &wire.Query{IDs: ids})
	}
}

func (m *Machine) disconnect(now time.Duration, id AgentID) {
	a := m.agents[id.ID]
	if a == nil || a.id != id || !a.connected {
		return
	}
	m.suspend(now, a)
	a.graceEnd = now + m.config.ReconnectGrace
	if a.first == nil {
		m.lose(now, a, "")
		return
	}
	m.arm(now, a)
}

// suspend ends placement on the agent, whose session is over. Open starts remain.
func (m *Machine) suspend(now time.Duration, a *agent) {
	m.withdraw(now, a)
	a.connected = false
	a.zone.remove(a)
}

// lose ends the agent: its open starts may have run.
func (m *Machine) lose(now time.Duration, a *agent, message string) {
	if a.connected {
		m.suspend(now, a)
	}
	a.history.last, a.history.probations = now, a.health.Probations
	m.disarm(a)
	delete(m.agents, a.id.ID)
	for a.first != nil {
		t := a.first
		m.unlink(t)
		m.attemptEnded(now, t, job.Result{State: job.MayHaveRun, Kind: failure.MayHaveRun, Message: message})
	}
}

// announce adopts what the agent offers.
func (m *Machine) announce(now time.Duration, a *agent, message *wire.Announce) {
	s := m.service(message.Upstream)
	changed := a.service != s || a.place.Capacity != message.Capacity || a.place.Slots != message.Slots || a.rackName != message.Rack
	if changed && a.service != nil {
		m.withdrawKeepingOffers(a)
	}
	a.announceEnd = now + message.TTL
	if message.TTL <= 0 || message.Slots <= 0 {
		m.withdraw(now, a)
		return
	}
	if a.service == nil {
		a.service = s
		a.rackName = message.Rack
		a.place.Slots, a.place.Capacity = message.Slots, message.Capacity
		m.moveToRack(a, message.Rack)
		a.place.Slowness = a.history.speed.Slowness()
		m.setRoom(now, a)
		s.pool.Add(&a.place)
	}
	s.remember(now, message.Capacity)
	m.refresh(now, a)
}

func (m *Machine) rack(zone, name string) *placement.Rack {
	key := zone + "\x00" + name
	r := m.racks[key]
	if r == nil {
		r = &placement.Rack{}
		m.racks[key] = r
	}
	return r
}

// moveToRack counts the agent's slots and open starts in the named rack.
func (m *Machine) moveToRack(a *agent, name string) {
	if old := a.place.Rack; old != nil {
		old.Running -= a.place.Running
	}
	r := m.rack(a.zone.name, name)
	r.Slots += a.place.Slots
	r.Running += a.place.Running
	a.place.Rack = r
}

// withdraw ends the agent's announcement and drops its offers.
func (m *Machine) withdraw(now time.Duration, a *agent) {
	a.offers = a.offers[:0]
	a.place.Offers, a.place.Free, a.place.Queue, a.place.DemandedAt = 0, 0, 0, 0
	if a.service != nil {
		a.service.pool.Probes -= a.place.Probes
		a.service.lastAgent = now
	}
	a.place.Probes = 0
	m.withdrawKeepingOffers(a)
}

func (m *Machine) withdrawKeepingOffers(a *agent) {
	if a.service == nil {
		return
	}
	a.service.pool.Remove(&a.place)
	a.place.Rack.Slots -= a.place.Slots
	a.service = nil
}

// setRoom computes whether and how far the agent takes starts.
func (m *Machine) setRoom(now time.Duration, a *agent) {
	p := &a.place
	p.Blocked = !a.connected || a.service == nil || a.zone.out || now < a.blockedUntil || now < a.health.ProbationEnd
	p.Limit = a.health.Limit
	p.Offers = len(a.offers)
	p.OffersUnrequested = a.service != nil && m.policy.KeepsUnrequestedOffers(&a.service.pool)
	p.MaxDirectStarts = 0
	if m.policy.StartsWithoutOffer() {
		p.MaxDirectStarts = int(a.window)
	}
}

// refresh updates the agent's place in the pool's index and its timer.
func (m *Machine) refresh(now time.Duration, a *agent) {
	m.setRoom(now, a)
	if a.service != nil {
		a.service.pool.Update(&a.place)
	}
	m.arm(now, a)
}

// nextTimer is when time alone changes the agent's state; zero if never.
func (a *agent) nextTimer(now time.Duration) time.Duration {
	next := a.graceEnd
	for _, at := range [...]time.Duration{a.announceEnd, a.blockedUntil, a.health.ProbationEnd} {
		if at > now && a.connected && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// arm makes the agent's timer fire no later than needed. A timer that is early is left alone.
func (m *Machine) arm(now time.Duration, a *agent) {
	next := a.nextTimer(now)
	switch {
	case next == 0 || a.timerPosition >= 0 && a.wake <= next:
	case a.timerPosition >= 0:
		a.wake = next
		heap.Fix(&m.timers, a.timerPosition)
	default:
		a.wake = next
		heap.Push(&m.timers, a)
	}
}

func (m *Machine) disarm(a *agent) {
	if a.timerPosition >= 0 {
		heap.Remove(&m.timers, a.timerPosition)
	}
}

func (m *Machine) fireTimers(now time.Duration) {
	for len(m.timers) > 0 && m.timers[0].wake <= now {
		a := m.timers[0]
		m.disarm(a)
		switch {
		case a.graceEnd != 0 && now >= a.graceEnd:
			m.lose(now, a, "the agent did not reconnect after the start was sent")
			continue
		case a.service != nil && now >= a.announceEnd:
			m.withdraw(now, a)
		}
		if a.blockedUntil != 0 && now >= a.blockedUntil {
			// The queue was assumed full after a refusal; without a report since, only the own
			// starts are known to be there.
			a.blockedUntil = 0
			a.place.Queue = min(a.place.Queue, a.place.DirectStarts)
		}
		m.refresh(now, a)
	}
}

// prune removes state of agents and capacities that were last seen long ago.
func (m *Machine) prune(now time.Duration) {
	for id, h := range m.history {
		if m.agents[id] == nil && now-h.last > historyMemory {
			delete(m.history, id)
		}
	}
	for key, r := range m.racks {
		if *r == (placement.Rack{}) {
			delete(m.racks, key)
		}
	}
	m.queue.Prune()
}

// timers is a heap of agents by wake time.
type timers []*agent

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].wake < t[j].wake }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerPosition, t[j].timerPosition = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	a := x.(*agent)
	a.timerPosition = len(*t)
	*t = append(*t, a)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	a := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	a.timerPosition = -1
	return a
}
