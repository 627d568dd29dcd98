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
	// localRoundTrip and remoteRoundTrip are the assumed network round trips within and between
	// zones.
	localRoundTrip  = time.Millisecond
	remoteRoundTrip = 3 * time.Millisecond
	// firstWindow is the initial congestion window of an agent.
	firstWindow = 2
	// maxWindowPerSlot is the largest congestion window of an agent, per slot.
	maxWindowPerSlot = 2
	// historyRetention is how long the learned slowness and the probations of an agent that is gone are
	// kept.
	historyRetention = 10 * time.Minute
	// pruneInterval is the time between removals of expired state.
	pruneInterval = time.Minute
	// maxQueryStarts bounds the starts in one Query message.
	maxQueryStarts = 1024
)

// zone is an availability zone with its connected agents.
type zone struct {
	name   string
	index  int
	out    bool
	agents []*agent
}

// agentHistory is the state that is kept across incarnations of an agent.
type agentHistory struct {
	slowness   estimate.Slowness
	probations int
	lastSeen   time.Duration
}

// agent is one incarnation of an agent.
type agent struct {
	id                    AgentID
	zone                  *zone
	connected             bool
	graceEnd              time.Duration // end of the reconnect grace; zero while connected
	upstream              *upstream     // nil without a valid announcement
	announceEnd           time.Duration
	rackName              string
	blockedUntil          time.Duration // end of the backoff after a refusal; zero if none
	congestionWindow      float64       // bound on direct starts; additive increase, multiplicative decrease
	health                health.State
	history               *agentHistory
	placement             placement.Agent
	offers                []offer
	firstStart, lastStart *task         // open starts, oldest first
	timerAt               time.Duration // when the timer fires
	timerPosition         int           // -1 outside the timer heap
}

type offer struct {
	id       uint64
	reserved bool // sent for a probe of this entry
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
	z.agents = slices.DeleteFunc(z.agents, func(connected *agent) bool { return connected == a })
}

func (m *Machine) connect(now time.Duration, e AgentConnected) {
	a := m.agents[e.Agent.ID]
	if a != nil && a.id != e.Agent {
		m.removeAgent(now, a, "the agent restarted after the start was sent")
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
	a.placement.Zone, a.placement.RTT = a.zone.index, remoteRoundTrip
	if e.AvailabilityZone == m.config.AvailabilityZone {
		a.placement.RTT = localRoundTrip
	}
	m.queryOpenStarts(a)
}

func (m *Machine) newAgent(now time.Duration, id AgentID) *agent {
	h := m.history[id.ID]
	if h == nil {
		h = &agentHistory{}
		m.history[id.ID] = h
	}
	h.lastSeen = now
	a := &agent{id: id, history: h, health: health.New(), congestionWindow: firstWindow, timerPosition: -1}
	a.health.Probations = h.probations
	a.placement.Owner = a
	m.agents[id.ID] = a
	return a
}

// queryOpenStarts asks a connected agent for the outcomes of its open starts.
func (m *Machine) queryOpenStarts(a *agent) {
	var ids []wire.StartID
	for t := a.firstStart; t != nil; t = t.next {
		ids = append(ids, t.startID())
		if len(ids) == maxQueryStarts {
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
	if a.firstStart == nil {
		m.removeAgent(now, a, "")
		return
	}
	m.armTimer(now, a)
}

// suspend excludes an agent whose session has ended from further starts. Its open starts remain.
func (m *Machine) suspend(now time.Duration, a *agent) {
	m.withdraw(now, a)
	a.connected = false
	a.zone.remove(a)
}

// removeAgent removes the agent and ends its open starts as "may have run".
func (m *Machine) removeAgent(now time.Duration, a *agent, message string) {
	if a.connected {
		m.suspend(now, a)
	}
	a.history.lastSeen, a.history.probations = now, a.health.Probations
	m.disarmTimer(a)
	delete(m.agents, a.id.ID)
	for a.firstStart != nil {
		t := a.firstStart
		m.removeOpenStart(t)
		m.attemptEnded(now, t, job.Result{State: job.MayHaveRun, FailureKind: failure.MayHaveRun, Message: message})
	}
}

// handleAnnounce adds the agent to the pool of the announced upstream. If its upstream, capacity,
// slots or rack have changed, it is removed from the earlier pool first.
func (m *Machine) handleAnnounce(now time.Duration, a *agent, message *wire.Announce) {
	u := m.upstream(message.Upstream)
	changed := a.upstream != u || a.placement.Capacity != message.Capacity || a.placement.Slots != message.Slots || a.rackName != message.Rack
	if changed && a.upstream != nil {
		m.removeFromPool(a)
	}
	a.announceEnd = now + message.TTL
	if message.TTL <= 0 || message.Slots <= 0 {
		m.withdraw(now, a)
		return
	}
	if a.upstream == nil {
		a.upstream = u
		a.rackName = message.Rack
		a.placement.Slots, a.placement.Capacity = message.Slots, message.Capacity
		m.moveToRack(a, message.Rack)
		a.placement.Slowness = a.history.slowness.Factor()
		m.updatePlacement(now, a)
		u.pool.Add(&a.placement)
	}
	u.recordCapacity(now, message.Capacity)
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

// moveToRack counts the agent's slots and open starts in the named rack. Its slots are no longer counted
// in the previous rack: removeFromPool has subtracted them.
func (m *Machine) moveToRack(a *agent, name string) {
	if previous := a.placement.Rack; previous != nil {
		previous.Running -= a.placement.Running
	}
	r := m.rack(a.zone.name, name)
	r.Slots += a.placement.Slots
	r.Running += a.placement.Running
	a.placement.Rack = r
}

// withdraw ends the agent's announcement and discards its offers.
func (m *Machine) withdraw(now time.Duration, a *agent) {
	a.offers = a.offers[:0]
	a.placement.Offers, a.placement.Free, a.placement.Queue, a.placement.DemandedAt = 0, 0, 0, 0
	if a.upstream != nil {
		a.upstream.pool.Probes -= a.placement.Probes
		a.upstream.lastAgentAt = now
	}
	a.placement.Probes = 0
	m.removeFromPool(a)
}

func (m *Machine) removeFromPool(a *agent) {
	if a.upstream == nil {
		return
	}
	a.upstream.pool.Remove(&a.placement)
	a.placement.Rack.Slots -= a.placement.Slots
	a.upstream = nil
}

// updatePlacement computes the placement properties that decide how many starts the agent takes.
func (m *Machine) updatePlacement(now time.Duration, a *agent) {
	p := &a.placement
	p.Blocked = !a.connected || a.upstream == nil || a.zone.out || now < a.blockedUntil || now < a.health.ProbationEnd
	p.Limit = a.health.Limit
	p.Offers = len(a.offers)
	p.OffersCredits = a.upstream != nil && m.policy.KeepsCredits(&a.upstream.pool)
	p.MaxDirectStarts = 0
	if m.policy.StartsWithoutOffer() {
		p.MaxDirectStarts = int(a.congestionWindow)
	}
}

// refresh updates the agent's placement properties, its position in the index of the pool and its
// timer.
func (m *Machine) refresh(now time.Duration, a *agent) {
	m.updatePlacement(now, a)
	if a.upstream != nil {
		a.upstream.pool.Update(&a.placement)
	}
	m.armTimer(now, a)
}

// nextTimer returns the time at which the agent's state changes by time alone; zero if never.
func (a *agent) nextTimer(now time.Duration) time.Duration {
	next := a.graceEnd
	for _, at := range [...]time.Duration{a.announceEnd, a.blockedUntil, a.health.ProbationEnd} {
		if at > now && a.connected && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// armTimer makes the agent's timer fire no later than needed. An earlier timer is not changed.
func (m *Machine) armTimer(now time.Duration, a *agent) {
	next := a.nextTimer(now)
	switch {
	case next == 0 || a.timerPosition >= 0 && a.timerAt <= next:
	case a.timerPosition >= 0:
		a.timerAt = next
		heap.Fix(&m.timers, a.timerPosition)
	default:
		a.timerAt = next
		heap.Push(&m.timers, a)
	}
}

func (m *Machine) disarmTimer(a *agent) {
	if a.timerPosition >= 0 {
		heap.Remove(&m.timers, a.timerPosition)
	}
}

func (m *Machine) fireTimers(now time.Duration) {
	for len(m.timers) > 0 && m.timers[0].timerAt <= now {
		a := m.timers[0]
		m.disarmTimer(a)
		switch {
		case a.graceEnd != 0 && now >= a.graceEnd:
			m.removeAgent(now, a, "the agent did not reconnect after the start was sent")
			continue
		case a.upstream != nil && now >= a.announceEnd:
			m.withdraw(now, a)
		}
		if a.blockedUntil != 0 && now >= a.blockedUntil {
			// A busy refusal raises the assumed length of the agent's queue. After a backoff for any
			// reason the length is capped at the number of this entry's own direct starts, even
			// if a load report has arrived since the refusal.
			a.blockedUntil = 0
			a.placement.Queue = min(a.placement.Queue, a.placement.DirectStarts)
		}
		m.refresh(now, a)
	}
}

// prune removes the expired history of agents, unused racks, and idle lanes and organisations.
func (m *Machine) prune(now time.Duration) {
	for id, h := range m.history {
		if m.agents[id] == nil && now-h.lastSeen > historyRetention {
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

// timers is a heap of agents by timerAt.
type timers []*agent

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].timerAt < t[j].timerAt }

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
