package scheduler

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// AgentID identifies one incarnation of an agent.
type AgentID struct {
	ID          string
	Incarnation uint64
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count           int
	Need            job.Resources // of each task
	DeclaredRunTime time.Duration // declared run time of a task; zero if none was declared
}

// Submission describes one restartable job.
type Submission struct {
	ID string
	// Jobs of one queue share estimates of run time, throughput and failure rate. The jobs of all queues
	// wait in one list.
	Queue       string
	Service     string // the service whose workers run it
	Priority    int    // lower values start first
	MaxAttempts int    // failed runs of one task after which the job fails
	// The response-time objective is Stretch times the run time of the longest task, plus Slack.
	Stretch float64
	Slack   time.Duration
	Wait    time.Duration // how long the caller waits for the response
	// WaitingSince is the time, on the clock of Step, from which Wait and the objective count. Zero stands
	// for the time of the submission.
	WaitingSince time.Duration
	// Delayed is set if the submission may have been delayed on its way, so that WaitingSince may be too late and another
	// entry may have the job; see package jobcheck.
	Delayed bool
	Spec    string // passed to the worker unchanged
	Steps   []Step
}

// Event is an input of the machine.
type Event interface{ schedulerEvent() }

// AgentConnected reports a session with an agent.
type AgentConnected struct {
	Agent            AgentID
	AvailabilityZone string
}

// AgentDisconnected reports the end of a session with an agent.
type AgentDisconnected struct{ Agent AgentID }

// AgentMessage reports a message from an agent.
type AgentMessage struct {
	Agent   AgentID
	Message wire.Message
}

// PeerCapacities reports the capacities that another entry knows. It replaces the earlier report of the entry.
type PeerCapacities struct {
	Entry  wire.Claimant
	Report *wire.Capacities
}

// PeerDisconnected reports the end of the session with another entry.
type PeerDisconnected struct{ Entry wire.Claimant }

// PeerCrashes reports a worker crash under tasks of another entry.
type PeerCrashes struct{ Report *wire.TaskCrashes }

// PeerUnresolved reports the jobs of another entry with runs on hosts that may be suspended. It replaces the earlier report of
// the entry.
type PeerUnresolved struct {
	Entry  wire.Claimant
	Report *wire.UnresolvedJobs
}

// ZonesChanged reports the availability zones that are out of service.
type ZonesChanged struct{ OutOfService []string }

// Submitted reports a new job. It is ignored if a job with this id has no verdict yet. If that job has a
// verdict and an active run, the new one is submitted when the last run of the old one is over.
type Submitted struct{ Submission *Submission }

// Cancelled reports that the job was cancelled on request, or else that its last caller has disconnected.
type Cancelled struct {
	Job       string
	Requested bool
}

// JobsHeld asks to order no runs of the jobs that were submitted up to now until JobsReleased: the entry was out of touch,
// and the jobs may have been cancelled elsewhere.
type JobsHeld struct{}

// JobsReleased ends JobsHeld. With Drop, the held jobs get a verdict instead: it is not known whether they were cancelled.
type JobsReleased struct{ Drop bool }

// Tick triggers time-based actions. It is due at the time returned by Machine.NextWake.
type Tick struct{}

func (AgentConnected) schedulerEvent()    {}
func (AgentDisconnected) schedulerEvent() {}
func (AgentMessage) schedulerEvent()      {}
func (PeerCapacities) schedulerEvent()    {}
func (PeerDisconnected) schedulerEvent()  {}
func (PeerCrashes) schedulerEvent()       {}
func (PeerUnresolved) schedulerEvent()    {}
func (ZonesChanged) schedulerEvent()      {}
func (Submitted) schedulerEvent()         {}
func (Cancelled) schedulerEvent()         {}
func (JobsHeld) schedulerEvent()          {}
func (JobsReleased) schedulerEvent()      {}
func (Tick) schedulerEvent()              {}

// Action is an output of the machine, to be executed by the caller of Machine.Step.
type Action interface{ schedulerAction() }

// Send sends a message to an agent.
type Send struct {
	Agent   AgentID
	Message wire.Message
}

// Verdict is the final state of a job.
type Verdict uint8

// The verdicts.
const (
	// Completed means that every task has succeeded.
	Completed Verdict = iota + 1
	// Failed means that a task has used up its attempts or fits no worker, or that the job was given up because
	// workers crashed under one of its tasks (JobSummary.GivenUp).
	Failed
	// Rejected means that no task has started and none ever will; Decided.Error gives the reason.
	Rejected
	// Expired means that the job was abandoned by its callers or reached its deadline; some of its tasks may have run. It
	// may be resubmitted.
	Expired
	// Revoked means that the job was cancelled on request; some of its tasks may have run. It must not be resubmitted.
	Revoked
)

var verdictNames = [...]string{"none", "completed", "failed", "rejected", "expired", "cancelled"}

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Decided reports the verdict on a job, once per job.
type Decided struct {
	Job     string
	Verdict Verdict
	Error   *failure.Error // with Rejected, Expired and Revoked
	Summary JobSummary
}

// JobSummary holds the statistics of a job, for logs.
type JobSummary struct {
	Queue     string
	Tasks     int
	Age       time.Duration // since the caller's wait began, see Submission.WaitingSince
	Objective time.Duration // estimated response-time objective
	FirstRun  time.Duration // from the beginning of the caller's wait to the first order; negative if none was sent
	Orders    int           // runs ordered
	Failures  int           // runs that failed
	Lost      int           // runs with the outcome run.Lost or run.Stopped
	Refusals  int           // runs refused by agents
	Waiting   int           // tasks that wait for a run to be ordered, for the first time or again
	Crashes   int           // worker crashes under the task with the most of them, when one was last reported
	Refusal   Refusal
}

// Refusal says why a job was rejected.
type Refusal struct {
	// Rule is the name of a shedding.Rule, RefusedNoWorker or RefusedAfterWait; empty if the job was not rejected.
	Rule     string
	Wait     time.Duration // predicted on arrival; zero if not known
	CostRate float64       // cost to callers per second of processor time; zero without the order "cost"
}

// Further values of Refusal.Rule.
const (
	RefusedNoWorker  = "no_worker"  // no worker of the service accepts starts
	RefusedAfterWait = "after_wait" // its caller no longer waits
)

// GivenUp reports whether the job was given up because too many workers crashed under one of its tasks.
func (s *JobSummary) GivenUp() bool { return s.Crashes >= maxCrashes }

// Ordered reports the agents to which runs of a job were sent in one call of Machine.Step, over all steps
// of the job.
type Ordered struct {
	Job        string
	Placements []Placement
}

// Placement describes the runs of a job that were sent to one agent, and the data behind the choice.
type Placement struct {
	Agent     AgentID
	Runs      int
	Predicted time.Duration // predicted run time of the last of them
	StateAge  time.Duration // age of the agent state that the placement is based on
}

// EligibilityChanged reports a change of an agent's eligibility.
type EligibilityChanged struct {
	Agent       AgentID
	Eligibility Eligibility
}

// RunEnded reports the outcome of a run.
type RunEnded struct {
	Agent AgentID
	End   run.End
}

// ConfinementChanged reports that a queue was confined to some agents because its tasks crash workers, or was released.
type ConfinementChanged struct {
	Queue    string
	Confined bool
	Crashes  int      // crashes on which the confinement rests
	Agents   []string // ids of the agents to which the queue is confined
}

// ShareCrashes asks to send a report about a worker crash under tasks of this entry to all other entries.
type ShareCrashes struct{ Report *wire.TaskCrashes }

// ShareUnresolved asks to send a report to all other entries, also to those that connect later.
type ShareUnresolved struct{ Report *wire.UnresolvedJobs }

func (Send) schedulerAction()               {}
func (ShareUnresolved) schedulerAction()    {}
func (Decided) schedulerAction()            {}
func (Ordered) schedulerAction()            {}
func (EligibilityChanged) schedulerAction() {}
func (RunEnded) schedulerAction()           {}
func (ShareCrashes) schedulerAction()       {}
func (ConfinementChanged) schedulerAction() {}
