package dispatch

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/version/catalog"
)

// AgentID identifies one incarnation of an agent.
type AgentID struct {
	ID          string
	Incarnation uint64
}

// Event is an input of Machine.Step.
type Event interface{ dispatchEvent() }

// AgentConnected reports a new session with an agent. If the same incarnation reconnects within the
// reconnect grace, its open starts continue; if it is another incarnation, they end as "may have
// run".
type AgentConnected struct {
	Agent            AgentID
	AvailabilityZone string
}

// AgentDisconnected reports the end of a session with an agent.
type AgentDisconnected struct{ Agent AgentID }

// AgentMessage is a message from an agent. After Step the machine keeps no reference to the message
// except to the bodies of results, and does not change it.
type AgentMessage struct {
	Agent   AgentID
	Message wire.Message
}

// Submitted is a job or request that was claimed for this entry alone (package claim), so that it
// may be started. The machine keeps the submission until all its tasks have a final result.
type Submitted struct{ Submission *job.Submission }

// Cancelled requests the cancellation of a job. Tasks that were not started become "not run";
// agents are asked to refuse or stop the others, whose results follow as usual.
type Cancelled struct{ Key job.Key }

// Configured provides a new configuration.
type Configured struct{ State *catalog.State }

// LeaseChanged reports a new configuration lease: until Deadline the entry may start tasks under the
// configuration that it has.
type LeaseChanged struct{ Deadline time.Duration }

// PeerUsage is a usage report from another entry.
type PeerUsage struct {
	Entry  string
	Report *wire.UsageReport
}

// Tick only advances the time. The caller sends it when NextWake is due.
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

// Action is an output of Machine.Step, which the caller carries out.
type Action interface{ dispatchAction() }

// Send sends a message to an agent.
type Send struct {
	Agent   AgentID
	Message wire.Message
}

// Rejected reports that a whole submission is rejected: none of its tasks was or will be started. No other action
// concerns that submission.
type Rejected struct {
	Key   job.Key
	Error *failure.Error
}

// TaskStarted reports that a Start message was sent, once per attempt.
type TaskStarted struct {
	Key   job.Key
	Task  int
	Agent AgentID
}

// TaskFinished reports the final result of one task, once per task of an accepted submission.
// RetryAfter is set only for a task that was shed or refused too often, and so was not run.
type TaskFinished struct {
	Key        job.Key
	Task       int
	Result     job.Result
	RetryAfter time.Duration
}

// ReportUsage asks the caller to send the report to all other entries.
type ReportUsage struct{ Report *wire.UsageReport }

func (Send) dispatchAction()         {}
func (Rejected) dispatchAction()     {}
func (TaskStarted) dispatchAction()  {}
func (TaskFinished) dispatchAction() {}
func (ReportUsage) dispatchAction()  {}
