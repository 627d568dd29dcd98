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

// Bounds of Dump.Queues. A queue beyond them is counted but not listed.
const (
	maxDumpedQueues = 32
	maxDumpedJobs   = 10 // of one queue
)

// QueueDump describes the jobs of one queue that wait.
type QueueDump struct {
	Queue   string
	Waiting int
	Jobs    []WaitingDump // the first of them, in their order
}

// WaitingDump describes a waiting job. Position counts the waiting jobs of all queues. Place tells why it is there: started,
// on_time, late or useless with the order by cost, and otherwise started or waiting.
type WaitingDump struct {
	Job           string
	Position      int
	Place         string
	Priority      int
	CostRate      float64       // cost to callers per second of processor time; zero without the order by cost
	LatestStartIn time.Duration // negative if it has passed
	Age           time.Duration
	Tasks         int // that wait
}

// Dump is the part of the machine's state that the state dump shows.
type Dump struct {
	Stats   Stats
	Jobs    int
	Waiting int
	Order   string      // of the waiting jobs
	Queues  []QueueDump // by their first waiting job
	// ConfinedQueues are the queues whose tasks crash workers and that are confined to some agents.
	ConfinedQueues []string
	Agents         []AgentDump
}

// Dump returns the current state for the state dump.
func (m *Machine) Dump(now time.Duration) Dump {
	d := Dump{Stats: m.stats, Jobs: len(m.jobs), Waiting: len(m.waiting), Order: OrderPriority, Queues: m.dumpQueues(now), ConfinedQueues: sortedKeys(m.blame.confined)}
	if m.byCost() {
		d.Order = OrderCost
	}
	for _, a := range m.sortedAgents {
		d.Agents = append(d.Agents, AgentDump{
			Agent: a.id, AvailabilityZone: a.zone, Connected: a.connected, Open: m.available(now, a), Health: a.health.Describe(now),
			Service: a.state.Service, FreeProcessors: a.state.Free.MilliProcessors, Runs: len(a.tasks), Slowness: a.currentSlowness(now),
			SilentFor: now - a.heardAt, ReservedFor: slices.Clone(a.confinedQueues),
		})
	}
	return d
}

// dumpQueues lists the waiting jobs by queue.
func (m *Machine) dumpQueues(now time.Duration) (queues []QueueDump) {
	for position, j := range m.waiting {
		queue := j.submission.Queue
		at := slices.IndexFunc(queues, func(q QueueDump) bool { return q.Queue == queue })
		if at < 0 {
			if len(queues) == maxDumpedQueues {
				continue
			}
			at, queues = len(queues), append(queues, QueueDump{Queue: queue})
		}
		q := &queues[at]
		if q.Waiting++; len(q.Jobs) < maxDumpedJobs {
			q.Jobs = append(q.Jobs, m.dumpWaiting(now, j, position))
		}
	}
	return queues
}

func (m *Machine) dumpWaiting(now time.Duration, j *jobState, position int) WaitingDump {
	d := WaitingDump{
		Job: j.submission.ID, Position: position, Place: "waiting", Priority: j.submission.Priority,
		LatestStartIn: j.latestStart - now, Age: now - j.waitStartedAt, Tasks: j.unplacedTasks,
	}
	if j.started() {
		d.Place = "started"
	}
	if m.byCost() {
		j.cost.Started = j.started()
		d.Place, d.Priority, d.CostRate = j.cost.Group(now).String(), j.cost.Priority, j.cost.CostRate(now)
	}
	return d
}
