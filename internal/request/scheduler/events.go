package scheduler

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// AgentID names an agent and its incarnation.
type AgentID struct {
	ID          string
	Incarnation uint64
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count    int
	Need     job.Resources // of each task
	Expected time.Duration // declared run time of a task; a prior only
}

// Submission is one restartable job.
type Submission struct {
	ID          string
	Queue       string // class of work, whose run times are learned together
	Service     string // the service whose workers run it
	Priority    int    // lower values start first
	MaxAttempts int    // failed runs of one task after which the job has failed
	// The objective of the job is Stretch times the run time of its longest task, and Slack more.
	Stretch float64
	Slack   time.Duration
	Wait    time.Duration // how long the caller waits for the answer
	Waited  time.Duration // part of both that has passed before the machine gets the job
	Spec    string        // passed to the worker unchanged
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

// AgentMessage is a message from an agent.
type AgentMessage struct {
	Agent   AgentID
	Message wire.Message
}

// ZonesChanged names the availability zones that are out of service.
type ZonesChanged struct{ Out []string }

// Submitted is a new job. One whose id is known is ignored.
type Submitted struct{ Submission *Submission }

// Cancelled reports that the last caller of the job has left, or that it was cancelled.
type Cancelled struct{ Job string }

// Tick lets the machine act on the time alone. The shell sends it when NextWake is due.
type Tick struct{}

func (AgentConnected) schedulerEvent()    {}
func (AgentDisconnected) schedulerEvent() {}
func (AgentMessage) schedulerEvent()      {}
func (ZonesChanged) schedulerEvent()      {}
func (Submitted) schedulerEvent()         {}
func (Cancelled) schedulerEvent()         {}
func (Tick) schedulerEvent()              {}

// Action is an output of the machine, which the shell carries out.
type Action interface{ schedulerAction() }

// Send sends a message to an agent.
type Send struct {
	Agent   AgentID
	Message wire.Message
}

// Verdict is the final answer about a job.
type Verdict uint8

// The verdicts.
const (
	// Completed: every task has ended well.
	Completed Verdict = iota + 1
	// Failed: a task has failed for good, or can never run.
	Failed
	// Rejected: no task has run and none ever will; Decided.Error tells why.
	Rejected
	// Expired: the job was given up after some of its tasks may have run. It may be sent again.
	Expired
)

var verdictNames = [...]string{"none", "completed", "failed", "rejected", "expired"}

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Decided reports the verdict on a job, once for each.
type Decided struct {
	Job     string
	Verdict Verdict
	Error   *failure.Error // with Rejected and Expired
	Summary JobSummary
}

// JobSummary are what a verdict rests on, for logs.
type JobSummary struct {
	Queue     string
	Tasks     int
	Age       time.Duration // since the job was accepted
	Objective time.Duration // estimate of the time within which the answer is useful
	FirstRun  time.Duration // from acceptance to the first order; negative if none was sent
	Orders    int           // runs ordered
	Failures  int           // runs that failed
	Lost      int           // runs that were lost or stopped
	Refusals  int           // runs that agents refused
	Waiting   int           // tasks without a run
}

// Ordered reports where runs of a job were sent in one step.
type Ordered struct {
	Job        string
	Placements []Placement
}

// Placement is what decided about the runs of a job at one agent.
type Placement struct {
	Agent     AgentID
	Runs      int
	Predicted time.Duration // run time of the last of them
	StateAge  time.Duration // age of the agent's state that showed the room
}

// EligibilityChanged reports that an agent begins or ceases to get runs.
type EligibilityChanged struct {
	Agent       AgentID
	Eligibility Eligibility // Open if it gets runs from now on
}

// RunEnded reports the outcome of a run.
type RunEnded struct {
	Agent AgentID
	End   run.End
}

func (Send) schedulerAction()               {}
func (Decided) schedulerAction()            {}
func (Ordered) schedulerAction()            {}
func (EligibilityChanged) schedulerAction() {}
func (RunEnded) schedulerAction()           {}
