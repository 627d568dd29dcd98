// Package simworker simulates a worker for tests; its users supply the time. It enforces worker leases,
// fencing tokens and run numbers, and reports the runs that ended.
package simworker

import (
	"slices"
	"time"

	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
)

// LeaseTerm is the longest worker lease that a call can set, counted from the time of the call.
const LeaseTerm = time.Second

// Run is a run in progress.
type Run struct {
	ID      run.ID
	EndsAt  time.Duration
	Outcome run.Outcome // of the run if it lasts until EndsAt
}

// Worker is one incarnation of a worker.
type Worker struct {
	ID      runner.Worker
	Running []Run
	Down    bool // set by the users of the package while the worker is crashed; not evaluated here
	// OnStart, which must be set, is called before a run starts.
	OnStart func(run.ID)
	// OnEnd, if set, is called when a run ends.
	OnEnd func(run.ID, run.Outcome)
	// Plan, which must be set, returns the run time and the outcome of a run.
	Plan func(runner.Start) (time.Duration, run.Outcome)
	// ClockStart is the time, on the clock of the package's users, at which the worker's clock shows zero. The clock
	// of a worker that restarts begins anew.
	ClockStart time.Duration

	token         uint64          // highest fencing token of a call
	leaseEnd      time.Duration   // end of the worker lease, on the clock of the package's users
	ended         []runner.RunEnd // not acknowledged yet
	lastEndNumber uint64
	highestRun    map[run.TaskID]uint64 // highest number of a run that ended or was stopped
}

// defaultClockStart is the ClockStart of a new worker.
const defaultClockStart = -time.Minute

// New returns a worker without runs. The caller sets OnStart and Plan before the first Start.
func New(id string, born int64) *Worker {
	return &Worker{ID: runner.Worker{ID: id, Born: born}, ClockStart: defaultClockStart, highestRun: map[run.TaskID]uint64{}}
}

// Clock returns the reading of the worker's clock at now.
func (w *Worker) Clock(now time.Duration) time.Duration { return now - w.ClockStart }

// Suspend records that the worker and its clock stood still for a time that has just ended.
func (w *Worker) Suspend(d time.Duration) {
	w.ClockStart += d
	w.leaseEnd += d
	for i := range w.Running {
		w.Running[i].EndsAt += d
	}
}

// Advance ends the runs that are due, or all runs if the worker lease has expired, and reports whether any ended.
func (w *Worker) Advance(now time.Duration) (ended bool) {
	before := w.lastEndNumber
	for i := 0; i < len(w.Running); {
		r := w.Running[i]
		switch {
		case now >= w.leaseEnd:
			w.end(r.ID, run.Lost)
		case now >= r.EndsAt:
			w.end(r.ID, r.Outcome)
		default:
			i++
		}
	}
	return w.lastEndNumber > before
}

func (w *Worker) end(id run.ID, outcome run.Outcome) {
	w.Running = slices.DeleteFunc(w.Running, func(r Run) bool { return r.ID == id })
	w.lastEndNumber++
	w.ended = append(w.ended, runner.RunEnd{Number: w.lastEndNumber, Run: id, Outcome: outcome})
	w.highestRun[id.Task] = max(w.highestRun[id.Task], id.Number)
	if w.OnEnd != nil {
		w.OnEnd(id, outcome)
	}
}

// IsRunning reports whether the run is in progress.
func (w *Worker) IsRunning(id run.ID) bool {
	return slices.ContainsFunc(w.Running, func(r Run) bool { return r.ID == id })
}

// HasToken reports whether the worker has accepted a call: from then on it refuses calls with a lower token.
func (w *Worker) HasToken() bool { return w.token > 0 }

// fenceOrRaiseToken reports whether a call is fenced because its token is lower than the worker's. If it is
// not, the worker's token is raised to that of the call.
func (w *Worker) fenceOrRaiseToken(token uint64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend extends the worker lease to until, a time on the worker's clock, but at most to LeaseTerm from now.
func (w *Worker) extend(now, until time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(now+LeaseTerm, until+w.ClockStart))
}

// Start handles a call that starts a run. A call names only the ID of the worker, so it is also carried out by a later
// incarnation with the same ID.
func (w *Worker) Start(now time.Duration, c runner.Start) runner.CallResult {
	switch {
	case c.Worker.ID != w.ID.ID:
		return runner.OtherWorker
	case w.fenceOrRaiseToken(c.Token):
		return runner.Fenced
	case w.IsRunning(c.Run):
		return runner.Accepted
	case c.Run.Number <= w.highestRun[c.Run.Task]:
		return runner.Outdated
	case c.Until <= w.Clock(now):
		return runner.Expired
	}
	w.extend(now, c.Until)
	w.OnStart(c.Run)
	runTime, outcome := w.Plan(c)
	w.Running = append(w.Running, Run{ID: c.Run, EndsAt: now + runTime, Outcome: outcome})
	return runner.Accepted
}

// Stop handles a call that stops a run.
func (w *Worker) Stop(c runner.Stop) runner.CallResult {
	switch {
	case c.Worker.ID != w.ID.ID:
		return runner.OtherWorker
	case w.fenceOrRaiseToken(c.Token):
		return runner.Fenced
	case w.IsRunning(c.Run):
		w.end(c.Run, run.Stopped)
	}
	w.highestRun[c.Run.Task] = max(w.highestRun[c.Run.Task], c.Run.Number)
	return runner.Accepted
}

// Renew handles a call that asks for a report of the runs and, if Until is set, renews the worker lease.
func (w *Worker) Renew(now time.Duration, c runner.Renew) (runner.CallResult, runner.Report) {
	switch {
	case c.Worker.ID != w.ID.ID:
		return runner.OtherWorker, runner.Report{}
	case w.fenceOrRaiseToken(c.Token):
		return runner.Fenced, runner.Report{}
	}
	if c.Until > 0 {
		w.extend(now, c.Until)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e runner.RunEnd) bool { return e.Number <= c.Acknowledged })
	report := runner.Report{Born: w.ID.Born, Clock: w.Clock(now), Ended: slices.Clone(w.ended)}
	for _, r := range w.Running {
		report.Running = append(report.Running, r.ID)
	}
	return runner.Accepted, report
}
