package runner

import (
	"slices"
	"strings"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// Stats counts what the machine has done since it was made.
type Stats struct {
	Starts         uint64 // start calls
	Unanswered     uint64 // start calls without an answer
	Stops          uint64 // stop calls
	Renewals       uint64
	RenewalsFailed uint64
	TokensRaised   uint64
	Strangers      uint64 // runs found on the worker that were not ordered from this process
	Done           uint64 // ordered runs by outcome
	Failed         uint64
	Stopped        uint64
	Lost           uint64
	Refused        uint64
}

func (s *Stats) count(outcome run.Outcome) {
	switch outcome {
	case run.Done:
		s.Done++
	case run.Failed:
		s.Failed++
	case run.Stopped:
		s.Stopped++
	case run.Lost:
		s.Lost++
	case run.Refused:
		s.Refused++
	}
}

// Dump is a readable copy of the machine's state.
type Dump struct {
	Worker   Worker
	Present  bool
	Claimed  bool
	Leaving  bool
	ZoneOut  bool
	Draining bool
	Open     bool
	Token    uint64
	Service  string
	Capacity job.Resources
	Used     job.Resources
	HeardAgo time.Duration
	Runs     []RunDump
	Stats    Stats
}

// RunDump describes one run.
type RunDump struct {
	Run   string
	Owner EntryID
	Phase string
	Age   time.Duration // since the start call
}

var phaseNames = [...]string{"waiting", "starting", "doubtful", "running", "stopping"}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Gauges returns the current numbers of runs that wait and that are under way.
func (m *Machine) Gauges() (queued, underWay int) { return len(m.queue), len(m.byTask) }

// Open reports whether starts are accepted.
func (m *Machine) Open(now time.Duration) bool { return m.open(now) }

// Dump returns a copy of the state for the state dump.
func (m *Machine) Dump(now time.Duration) Dump {
	w := &m.worker
	d := Dump{
		Worker: w.id, Present: w.present, Claimed: w.claimed, Leaving: w.leaving, ZoneOut: m.zoneOut, Draining: m.draining,
		Open: m.open(now), Token: w.token, Service: w.service, Capacity: w.capacity, Used: m.used, HeardAgo: now - w.heardAt,
		Stats: m.stats,
	}
	for _, r := range m.records {
		d.Runs = append(d.Runs, RunDump{Run: r.id.String(), Owner: r.owner, Phase: phaseNames[r.phase], Age: now - r.startedAt})
	}
	slices.SortFunc(d.Runs, func(a, b RunDump) int { return strings.Compare(a.Run, b.Run) })
	return d
}
