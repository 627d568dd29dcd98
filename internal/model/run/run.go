// Package run names the runs of restartable tasks, as entries, agents and workers exchange them.
//
// A restartable job need not be kept: its tasks may run again, but no task runs twice at the same
// time. Each run of a task has a number that is higher than those of its earlier runs, so that a
// late order for an earlier run can be told apart.
package run

import (
	"strconv"
	"time"
)

// Task identifies one task of a restartable job.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Job   string   // id that the caller chose
	Step  uint16
	Index uint16 // within the step
}

// ID identifies one run of a task.
type ID struct {
	_      struct{} `cbor:",toarray"`
	Task   Task
	Number uint64
}

// String returns the form used in logs.
func (t Task) String() string {
	return t.Job + "/" + strconv.Itoa(int(t.Step)) + "/" + strconv.Itoa(int(t.Index))
}

// String returns the form used in logs.
func (id ID) String() string { return id.Task.String() + "#" + strconv.FormatUint(id.Number, 10) }

// Outcome is what became of an ordered run. Every outcome is final: the run is not under way and
// never will be.
type Outcome uint8

// The outcomes.
const (
	// Done is a run that ended well.
	Done Outcome = iota + 1
	// Failed is a run that ended with an error of the task or the worker.
	Failed
	// Stopped is a run that was ended early, or never begun, on request of its owner.
	Stopped
	// Lost is a run that ended without a result: the worker is gone, its lease lapsed, or the
	// agent lost track of it.
	Lost
	// Refused is a run that was not begun; End.Reason tells why.
	Refused
)

var outcomeNames = [...]string{"none", "done", "failed", "stopped", "lost", "refused"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Reason tells why a run was refused.
type Reason uint8

// The reasons.
const (
	// Busy: there was no room within the patience of the order.
	Busy Reason = iota + 1
	// Closed: the agent or its worker takes no starts at present.
	Closed
	// Outdated: the worker knows a run of the task with this number or a higher one.
	Outdated
	// Unhealthy: the worker refused because it is unhealthy.
	Unhealthy
	// Unfit: the worker does not accept the run at all.
	Unfit
	// Conflict: another owner's run of the same task has not ended yet.
	Conflict
)

var reasonNames = [...]string{"", "busy", "closed", "outdated", "unhealthy", "unfit", "conflict"}

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// End reports the outcome of one ordered run.
type End struct {
	_       struct{} `cbor:",toarray"`
	ID      ID
	Outcome Outcome
	Reason  Reason        // set with Refused
	RunTime time.Duration // from the start on the worker to its end; zero if unknown
}
