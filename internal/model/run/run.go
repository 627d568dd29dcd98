// Package run defines the identifiers and outcomes of runs of restartable tasks, which entries,
// agents and workers exchange. A run is one execution of a task; to order a run is to request it
// from an agent with wire.RunOrder. The owner of a run is the entry that ordered it.
//
// A restartable job need not be persisted: its tasks may run again, but two runs of a task never
// overlap. The number of a run is higher than those of all earlier runs of the task, so that a
// delayed request for an earlier run can be detected and refused.
package run

import (
	"strconv"
	"time"
)

// TaskID is the identifier of one task of a restartable job. Unlike job.Task, it does not hold the
// content of the task.
type TaskID struct {
	_     struct{} `cbor:",toarray"`
	Job   string   // id chosen by the caller
	Step  uint16   // index of the step within the job, from zero
	Index uint16   // within the step, from zero
}

// ID identifies one run of a task.
type ID struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskID
	Number uint64
}

// String returns the form used in logs.
func (t TaskID) String() string {
	return t.Job + "/" + strconv.Itoa(int(t.Step)) + "/" + strconv.Itoa(int(t.Index))
}

// String returns the form used in logs.
func (id ID) String() string { return id.Task.String() + "#" + strconv.FormatUint(id.Number, 10) }

// Outcome states how an ordered run ended. Every outcome is final: the run is not active and will
// not become active.
type Outcome uint8

// The outcomes.
const (
	// Done is a run that completed successfully.
	Done Outcome = iota + 1
	// Failed is a run that ended with an error of the task or the worker.
	Failed
	// Stopped is a run that was stopped, or not started, at the request of its owner.
	Stopped
	// Lost is a run that ended without a known result: the worker has disappeared, its worker lease
	// expired, or the agent has no record of the run.
	Lost
	// Refused is a run that the agent or the worker did not start; End.Reason contains the reason.
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

// Reason is the reason why a run was refused or counts as lost.
type Reason uint8

// The reasons.
const (
	// Busy: no capacity became free within RunOrder.MaxWait.
	Busy Reason = iota + 1
	// Closed: the agent or its worker currently accepts no starts, for example because it is draining.
	Closed
	// Outdated: the worker has received a run of the task with this number or a higher one.
	Outdated
	// Unhealthy: the worker refused the run because it is unhealthy.
	Unhealthy
	// Unfit: the worker never accepts the run, for example because the run needs more than the
	// worker's capacity.
	Unfit
	// Conflict: a run of the same task by another owner has not ended yet.
	Conflict
	// WorkerReplaced: another incarnation of the worker has announced itself.
	WorkerReplaced
	// WorkerLeft: the worker has reported that it is shutting down.
	WorkerLeft
	// LeaseExpired: the worker was silent until its lease expired.
	LeaseExpired
	// NotReported: the worker has reported its runs, and this one is not among them.
	NotReported
	// EndedByWorker: the worker has reported an end that is neither a success nor a failure, for example because its
	// lease expired.
	EndedByWorker
	// NotInInventory: the agent has opened a session and does not list the run.
	NotInInventory
	// AgentAbsent: the agent had no session with the owner for longer than a run can continue.
	AgentAbsent
	// Cancelled: the agent was told that the job is cancelled.
	Cancelled
)

var reasonNames = [...]string{
	"", "busy", "closed", "outdated", "unhealthy", "unfit", "conflict",
	"worker_replaced", "worker_left", "lease_expired", "not_reported", "ended_by_worker", "not_in_inventory", "agent_absent", "cancelled",
}

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
	Reason  Reason        // set with Refused and Lost
	RunTime time.Duration // from the start on the worker to its end; zero if unknown
}
