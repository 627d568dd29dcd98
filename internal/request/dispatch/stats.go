package dispatch

import (
	"cmp"
	"slices"
	"time"

	"pollenpaddle/internal/request/admission"
)

// Stats holds counters since the creation of the machine, which never decrease, and the current
// values Queued, Running and Agents.
type Stats struct {
	Queued  int // queued tasks
	Running int // open starts
	Agents  int // agents with a valid announcement

	Submitted  uint64 // tasks of accepted submissions
	Starts     uint64 // Start messages sent
	Retries    uint64 // Start messages for requests whose earlier attempt may have run
	Done       uint64 // tasks by final state
	Failed     uint64
	NotRun     uint64
	MayHaveRun uint64
	Late       uint64 // Finished and Refused messages that matched no open start

	RejectedOverloaded  uint64 // rejected submissions by kind of error
	RejectedQuota       uint64
	RejectedNeverFits   uint64
	RejectedUnavailable uint64
	RejectedInvalid     uint64

	ShedLate      uint64 // queued tasks shed because they could probably no longer meet their target
	ShedOverShare uint64 // queued tasks shed because their organisation had the most of them, whatever its fair share
	Cancelled     uint64 // queued tasks cancelled by their caller

	RefusedBusy  uint64 // refused starts by reason
	RefusedOther uint64
	Reserves     uint64 // probes sent
	Unreserves   uint64 // probes withdrawn; always zero, as no probe is withdrawn
	Offers       uint64 // offers received
	Declined     uint64 // offers returned unused
	Recalls      uint64 // Recall messages received
	Demands      uint64 // Demand messages sent
	Wasted       uint64 // messages that led to no start; each unused offer or probe counts as one
	Probations   uint64 // number of times that an agent was put on probation
}

// ClassStats counts the answers of one class and those within its target.
type ClassStats struct {
	Name     string
	Answered uint64 // tasks finished, or rejected as overloaded, over quota or unavailable; without cancelled jobs
	InTarget uint64 // of these, done within the target
	Shed     uint64 // of these, rejected or finished as not run
	Share    float64
	Target   time.Duration
}

// Dump is a copy of the machine's state for operators. All slices are sorted by name.
type Dump struct {
	Stats         Stats
	Policy        string
	LeaseDeadline time.Duration
	Agents        []AgentDump
	Organisations []OrganisationDump
	Classes       []ClassStats
}

// AgentDump describes one agent as known to the entry.
type AgentDump struct {
	Agent            AgentID
	AvailabilityZone string
	Rack             string
	Upstream         string
	Connected        bool
	Health           string // healthy, probation, warming (see health.State.Describe), or out if the zone is
	Slots            int
	Running          int // open starts of this entry
	Offers           int // unused offers held by this entry
	Speed            float64
}

// OrganisationDump describes one organisation's share at this entry.
type OrganisationDump struct {
	Name       string
	Queued     int
	Running    int
	AboveShare bool // has reached its fair share but not its quota
	Allowance  int  // tasks that the quota allows to run at this entry; negative without a quota
}

// Stats returns the counters, which the caller exports as metrics.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Queued = m.queue.Queued()
	for _, upstream := range m.upstreamOrder {
		s.Agents += upstream.pool.Len()
	}
	return s
}

// Dump returns a copy of the machine's state for the state dump.
func (m *Machine) Dump() Dump {
	d := Dump{Stats: m.Stats(), Policy: m.config.Policy, LeaseDeadline: m.leaseDeadline}
	for _, a := range m.agents {
		d.Agents = append(d.Agents, a.dump(m.now))
	}
	slices.SortFunc(d.Agents, func(a, b AgentDump) int { return cmp.Compare(a.Agent.ID, b.Agent.ID) })
	for _, o := range m.queue.Organisations() {
		d.Organisations = append(d.Organisations, OrganisationDump{
			Name: o.Name, Queued: o.Queued(), Running: o.Running(), Allowance: o.Allowance,
			AboveShare: o.Rank() == admission.AtShare,
		})
	}
	slices.SortFunc(d.Organisations, func(a, b OrganisationDump) int { return cmp.Compare(a.Name, b.Name) })
	d.Classes = m.ClassStats()
	return d
}

func (a *agent) dump(now time.Duration) AgentDump {
	d := AgentDump{
		Agent: a.id, AvailabilityZone: a.zone.name, Rack: a.rackName, Connected: a.connected,
		Health: a.health.Describe(now), Slots: a.placement.Slots, Running: a.placement.Running,
		Offers: len(a.offers), Speed: 1 / a.history.slowness.Factor(),
	}
	if a.zone.out {
		d.Health = "out"
	}
	if a.upstream != nil {
		d.Upstream = a.upstream.name
	}
	return d
}

// ClassStats returns the statistics of each class, sorted by name.
func (m *Machine) ClassStats() []ClassStats {
	stats := make([]ClassStats, 0, len(m.classOrder))
	for _, c := range m.classOrder {
		stats = append(stats, ClassStats{
			Name: c.name, Answered: c.state.Answered, InTarget: c.state.InTarget, Shed: c.state.Shed,
			Share: c.state.Share, Target: c.state.Target,
		})
	}
	slices.SortFunc(stats, func(a, b ClassStats) int { return cmp.Compare(a.Name, b.Name) })
	return stats
}
