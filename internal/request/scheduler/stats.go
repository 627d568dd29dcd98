package scheduler

import (
	"slices"
	"time"
)

// Stats holds the counters of a machine since its creation.
type Stats struct {
	Submitted  uint64
	Completed  uint64 // jobs by verdict
	Failed     uint64
	Rejected   uint64
	Expired    uint64
	Revoked    uint64
	Orders     uint64 // ordered runs
	RunsFailed uint64
	Lost       uint64 // runs with the outcome run.Lost or run.Stopped
	Refusals   uint64 // runs refused by agents
	Stragglers uint64 // runs stopped as stragglers
	Probations uint64
	// TaskCrashes counts the worker crashes under tasks of all entries, once for each task, and GivenUp the jobs that
	// were given up for them.
	TaskCrashes uint64
	GivenUp     uint64
	// Confinements counts the times that a queue was confined.
	Confinements uint64
}

func (s *Stats) count(verdict Verdict) {
	switch verdict {
	case Completed:
		s.Completed++
	case Failed:
		s.Failed++
	case Rejected:
		s.Rejected++
	case Expired:
		s.Expired++
	case Revoked:
		s.Revoked++
	}
}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Gauges returns the current numbers of jobs without a verdict or with an active run, of jobs that wait
// for capacity, and of active runs.
func (m *Machine) Gauges() (jobs, waiting, activeRuns int) {
	for _, j := range m.jobs {
		activeRuns += j.activeRuns
	}
	return len(m.jobs), len(m.waiting), activeRuns
}

// AgentDump describes one agent as the entry sees it.
type AgentDump struct {
	Agent            AgentID
	AvailabilityZone string
	Connected        bool
	Open             bool // may get another run
	Health           string
	Service          string
	FreeProcessors   int64 // thousandths
	Runs             int
	Slowness         float64
	ReservedFor      []string // the confined queues that run on the agent
	SilentFor        time.Duration
}

// Dump is the part of the machine's state that the state dump shows.
type Dump struct {
	Stats   Stats
	Jobs    int
	Waiting int
	// ConfinedQueues are the queues whose tasks crash workers and that are confined to some agents.
	ConfinedQueues []string
	Agents         []AgentDump
}

// Dump returns the current state for the state dump.
func (m *Machine) Dump(now time.Duration) Dump {
	d := Dump{Stats: m.stats, Jobs: len(m.jobs), Waiting: len(m.waiting), ConfinedQueues: sortedKeys(m.blame.confined)}
	for _, a := range m.sortedAgents {
		d.Agents = append(d.Agents, AgentDump{
			Agent: a.id, AvailabilityZone: a.zone, Connected: a.connected, Open: m.available(now, a), Health: a.health.Describe(now),
			Service: a.state.Service, FreeProcessors: a.state.Free.MilliProcessors, Runs: len(a.tasks), Slowness: a.currentSlowness(now),
			SilentFor: now - a.heardAt, ReservedFor: slices.Clone(a.confinedQueues),
		})
	}
	return d
}
