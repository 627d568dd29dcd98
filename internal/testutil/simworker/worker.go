// Package simworker is a worker in simulated time for the tests of the state machines that order
// runs. It obeys leases, fencing tokens and run numbers, and lists what has ended.
package simworker

import (
	"slices"
	"time"

	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
)

// LeaseTerm is the longest lease that the worker grants.
const LeaseTerm = time.Second

// Run is a run on the worker.
type Run struct {
	ID      run.ID
	Ends    time.Duration
	Outcome run.Outcome // at Ends
}

// Worker is one life of a worker.
type Worker struct {
	ID      runner.Worker
	Running []Run
	Down    bool // carries nothing out
	// Started is called before a run begins.
	Started func(run.ID)
	// Ended, if set, is called when a run ends.
	Ended func(run.ID, run.Outcome)
	// Plan decides how long a run takes and how it ends.
	Plan func(runner.Start) (time.Duration, run.Outcome)

	token   uint64
	lease   time.Duration // on the simulated clock
	ended   []runner.RunEnd
	lastEnd uint64
	highest map[run.Task]uint64 // highest run ended or stopped
}

// clockOffset is how far the worker's clock is ahead.
const clockOffset = time.Minute

// New returns a worker that runs nothing.
func New(id string, born int64) *Worker {
	return &Worker{ID: runner.Worker{ID: id, Born: born}, highest: map[run.Task]uint64{}}
}

// Clock returns the worker's clock.
func (w *Worker) Clock(now time.Duration) time.Duration { return now + clockOffset }

// Advance ends what is due and reports whether anything has ended.
func (w *Worker) Advance(now time.Duration) (ended bool) {
	before := w.lastEnd
	for i := 0; i < len(w.Running); {
		r := w.Running[i]
		switch {
		case now >= w.lease:
			w.end(r.ID, run.Lost)
		case now >= r.Ends:
			w.end(r.ID, r.Outcome)
		default:
			i++
		}
	}
	return w.lastEnd > before
}

func (w *Worker) end(id run.ID, outcome run.Outcome) {
	w.Running = slices.DeleteFunc(w.Running, func(r Run) bool { return r.ID == id })
	w.lastEnd++
	w.ended = append(w.ended, runner.RunEnd{Number: w.lastEnd, Run: id, Outcome: outcome})
	w.highest[id.Task] = max(w.highest[id.Task], id.Number)
	if w.Ended != nil {
		w.Ended(id, outcome)
	}
}

// Runs reports whether the run is under way.
func (w *Worker) Runs(id run.ID) bool {
	return slices.ContainsFunc(w.Running, func(r Run) bool { return r.ID == id })
}

func (w *Worker) fenced(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *Worker) extend(now, until time.Duration) {
	w.lease = max(w.lease, min(now+LeaseTerm, until-clockOffset))
}

// Start carries out a start.
func (w *Worker) Start(now time.Duration, a runner.Start) runner.CallResult {
	switch {
	case a.Worker != w.ID:
		return runner.OtherWorker
	case w.fenced(a.Token):
		return runner.Fenced
	case w.Runs(a.Run):
		return runner.Accepted
	case a.Run.Number <= w.highest[a.Run.Task]:
		return runner.Outdated
	case a.Until <= w.Clock(now):
		return runner.Expired
	}
	w.extend(now, a.Until)
	w.Started(a.Run)
	length, outcome := w.Plan(a)
	w.Running = append(w.Running, Run{ID: a.Run, Ends: now + length, Outcome: outcome})
	return runner.Accepted
}

// Stop carries out a stop.
func (w *Worker) Stop(a runner.Stop) runner.CallResult {
	switch {
	case a.Worker != w.ID:
		return runner.OtherWorker
	case w.fenced(a.Token):
		return runner.Fenced
	case w.Runs(a.Run):
		w.end(a.Run, run.Stopped)
	}
	w.highest[a.Run.Task] = max(w.highest[a.Run.Task], a.Run.Number)
	return runner.Accepted
}

// Renew carries out a renewal.
func (w *Worker) Renew(now time.Duration, a runner.Renew) (runner.CallResult, runner.Report) {
	switch {
	case a.Worker != w.ID:
		return runner.OtherWorker, runner.Report{}
	case w.fenced(a.Token):
		return runner.Fenced, runner.Report{}
	}
	if a.Until > 0 {
		w.extend(now, a.Until)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e runner.RunEnd) bool { return e.Number <= a.Acknowledged })
	report := runner.Report{Born: w.ID.Born, Clock: w.Clock(now), Ended: slices.Clone(w.ended)}
	for _, r := range w.Running {
		report.Running = append(report.Running, r.ID)
	}
	return runner.Accepted, report
}
