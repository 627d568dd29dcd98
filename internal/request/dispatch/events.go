package dispatch

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/version/catalog"
)

// AgentID names one agent and its incarnation.
type AgentID struct {
	ID          string
	Incarnation uint64
}

// Event is an input of the machine.
type Event interface{ dispatchEvent() }

// AgentConnected reports a session with an agent. The same incarnation within the reconnect grace
// resumes its open starts; another incarnation ends them as "may have run".
type AgentConnected struct {
	Agent            AgentID
	AvailabilityZone string
}

// AgentDisconnected reports the end of a session with an agent.
type AgentDisconnected struct{ Agent AgentID }

// AgentMessage is a message from an agent. The machine does not keep or change the message after
// Step, apart from the bodies of results.
type AgentMessage struct {
	Agent   AgentID
	Message wire.Message
}

// Submitted is a job or request that may be started: its claim is granted. The machine keeps the
// submission until its last task is final.
type Submitted struct{ Submission *job.Submission }

// Cancelled asks to cancel a job. Tasks that were not started become "not run"; an agent is asked
// to refuse or stop the others, whose results follow as usual.
type Cancelled struct{ Key job.Key }

// Configured reports a new configuration.
type Configured struct{ State *catalog.State }

// LeaseChanged reports a newer basis for starts: the entry may start work before Deadline.
type LeaseChanged struct{ Deadline time.Duration }

// PeerUsage is a usage report of another entry.
type PeerUsage struct {
	Entry  string
	Report *wire.UsageReport
}

// Tick lets the machine act on the time alone. The shell sends it when NextWake is due.
type Tick struct{}

func (AgentConnected) dispatchEvent()    {}
func (AgentDisconnected) dispatchEvent() {}
func (AgentMessage) dispatchEvent()      {}
func (Submitted) dispatchEvent()         {}
func (Cancelled) dispatchEvent()         {}
func (Configured) dispatchEvent()        {}
func (LeaseChanged) dispatchEvent()      {}
func (PeerUsage) dispatchEvent()         {}
func (Tick) dispatchEvent()              {}

// Action is an output of the machine, which the shell carries out.
type Action interface{ dispatchAction() }

// Send sends a message to an agent.
type Send struct {
	Agent   AgentID
	Message wire.Message
}

// Rejected refuses a whole submission: none of its tasks was started or ever will be. It is the
// only action for that submission.
type Rejected struct {
	Key   job.Key
	Error *failure.Error
}

// TaskStarted reports that a start was sent. It repeats for each attempt.
type TaskStarted struct {
	Key   job.Key
	Task  int
	Agent AgentID
}

// TaskFinished reports the final result of one task, once per task of an accepted submission.
// RetryAfter is set with the kinds overloaded, quota_exceeded and unavailable.
type TaskFinished struct {
	Key        job.Key
	Task       int
	Result     job.Result
	RetryAfter time.Duration
}

// ReportUsage asks the shell to send the report to all other entries.
type ReportUsage struct{ Report *wire.UsageReport }

func (Send) dispatchAction()         {}
func (Rejected) dispatchAction()     {}
func (TaskStarted) dispatchAction()  {}
func (TaskFinished) dispatchAction() {}
func (ReportUsage) dispatchAction()  {}
