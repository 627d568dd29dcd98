package runner

import (
	"slices"
	"strings"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// Stats holds the counters of a machine since its creation.
type Stats struct {
	Starts         uint64 // start calls
	Unanswered     uint64 // unanswered start calls
	StartsRepeated uint64 // start calls for a run whose earlier start call was not answered
	Stops          uint64 // stop calls
	Renewals       uint64
	RenewalsFailed uint64 // renewals neither accepted nor fenced: unanswered, refused or not sent
	TokensRaised   uint64
	Strangers      uint64 // unknown runs in reports of the worker: runs without a record, counted in each report
	Done           uint64 // ordered runs by outcome
	Failed         uint64
	Stopped        uint64
	Lost           uint64
	Refused        uint64
	Crashes        uint64 // suspected crashes of the worker while it executed runs
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

// Dump is the part of the machine's state that the state dump shows.
type Dump struct {
	Worker   Worker
	Present  bool
	Claimed  bool // the worker has accepted the fencing token
	Leaving  bool
	ZoneOut  bool
	Draining bool
	Open     bool
	Refusing bool // the worker refuses connections
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
	Age   time.Duration // since the start call; meaningless while Phase is waiting
}

// phaseNames is indexed by phase. In the dump, unconfirmed is called doubtful.
var phaseNames = [...]string{"waiting", "starting", "doubtful", "running", "stopping"}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Gauges returns the current numbers of waiting runs and of started runs.
func (m *Machine) Gauges() (waiting, started int) { return len(m.queue), len(m.startedByTask) }

// Open reports whether new runs are accepted.
func (m *Machine) Open(now time.Duration) bool { return m.acceptsStarts(now) }

// CallsUnanswered reports whether a call to the worker went unanswered recently, so that starts are repeated.
func (m *Machine) CallsUnanswered(now time.Duration) bool { return now < m.worker.lossyUntil }

// Dump returns the current state for the state dump.
func (m *Machine) Dump(now time.Duration) Dump {
	w := &m.worker
	d := Dump{
		Worker: w.id, Present: w.present, Claimed: w.tokenAccepted, Leaving: w.leaving, ZoneOut: m.zoneOut, Draining: m.draining,
		Open: m.acceptsStarts(now), Refusing: w.refusing, Token: w.token, Service: w.service, Capacity: w.capacity, Used: m.used, HeardAgo: now - w.heardAt,
		Stats: m.stats,
	}
	for _, r := range m.records {
		d.Runs = append(d.Runs, RunDump{Run: r.id.String(), Owner: r.owner, Phase: phaseNames[r.phase], Age: now - r.startedAt})
	}
	slices.SortFunc(d.Runs, func(a, b RunDump) int { return strings.Compare(a.Run, b.Run) })
	return d
}
