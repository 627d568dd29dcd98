package runner

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// EntryID identifies one incarnation of an entry.
type EntryID struct {
	ID          string
	Incarnation uint64
}

// Worker identifies one incarnation of the worker on the agent's host. A worker that restarts with
// the same id differs in Born.
type Worker struct {
	ID   string
	Born int64 // start time reported by the worker; zero if unknown
}

// Event is an input of the machine.
type Event interface{ runnerEvent() }

// Connected reports a new session with an entry. Orders of a session are numbered from 1.
type Connected struct{ Entry EntryID }

// Disconnected reports the end of the session with an entry.
type Disconnected struct{ Entry EntryID }

// Retired reports that the session with an entry is to be closed, because the agent keeps sessions with other
// entries instead. The entry gets no state in which the worker accepts starts; its orders and runs continue
// until Machine.Retirable returns true.
type Retired struct{ Entry EntryID }

// Received reports a message from an entry.
type Received struct {
	Entry   EntryID
	Message wire.Message
}

// WorkerAnnounced reports an announcement of the worker.
type WorkerAnnounced struct {
	Worker   Worker
	Sequence uint64 // increases with each announcement of one incarnation
	Service  string
	Rack     string
	Labels   []string
	Capacity job.Resources
	Leaving  bool          // the worker accepts no more starts
	Clock    time.Duration // the worker's clock when it sent the announcement; zero if unknown
}

// WorkerLeft reports that the worker is shutting down. It may still execute runs.
type WorkerLeft struct{ ID string }

// ZoneChanged reports whether the agent's availability zone is out of service.
type ZoneChanged struct{ Out bool }

// Draining reports that the agent is shutting down. All further orders are refused.
type Draining struct{}

// HostSuspended reports that the host was suspended between the previous step and this one, and the worker and its clock
// with it. Duration is the time on the boot-time clock.
type HostSuspended struct{ Duration time.Duration }

// CallResult is the outcome of a call to the worker.
type CallResult uint8

// The outcomes of calls.
const (
	// Accepted means that the worker has accepted the call. A stop may not have completed yet.
	Accepted CallResult = iota + 1
	// Fenced means that the worker has seen a higher fencing token and refused the call.
	Fenced
	// Outdated means that the worker knows a run of the task with this number or a higher one.
	Outdated
	// Expired means that the lease in the call had expired on arrival.
	Expired
	// NoCapacity means that the worker lacks free capacity for the run at present.
	NoCapacity
	// Unfit means that the worker cannot execute the run at all.
	Unfit
	// Unhealthy means that the worker refused the call because it is unhealthy.
	Unhealthy
	// OtherWorker means that another incarnation of the worker received and refused the call.
	OtherWorker
	// NotSent means that there was no connection: the call cannot have reached the worker.
	NotSent
	// NoResponse means that the call may have been executed, or may be executed later.
	NoResponse
	// ConnectionRefused means that nothing accepts connections at the worker's address: the call cannot have reached
	// the worker. Its runs may be in progress nevertheless, for example behind a network that refuses connections.
	ConnectionRefused
)

var callResultNames = [...]string{"none", "accepted", "fenced", "outdated", "expired", "no_room", "unfit", "unhealthy", "other_worker", "not_sent", "no_answer", "connection_refused"}

// cannotHaveReached reports whether the call cannot have reached the worker.
func (r CallResult) cannotHaveReached() bool { return r == NotSent || r == ConnectionRefused }

// String returns the name used in logs and metrics.
func (r CallResult) String() string {
	if int(r) < len(callResultNames) {
		return callResultNames[r]
	}
	return "unknown"
}

// StartReturned reports the outcome of a Start.
type StartReturned struct {
	Worker Worker
	Run    run.ID
	Token  uint64 // copied from the Start
	Result CallResult
	Clock  time.Duration // the worker's clock in its response; zero if unknown
}

// StopReturned reports the outcome of a Stop.
type StopReturned struct {
	Worker Worker
	Run    run.ID
	Token  uint64 // copied from the Stop
	Result CallResult
}

// RunEnd is the end of a run as reported by the worker.
type RunEnd struct {
	Number  uint64 // increases with each end in one incarnation of the worker
	Run     run.ID
	Outcome run.Outcome
}

// Report lists the runs that the worker executes and the ends that were not acknowledged yet.
type Report struct {
	Born    int64 // zero if unknown
	Clock   time.Duration
	Running []run.ID
	Ended   []RunEnd // in order of Number
}

// Renewed reports the outcome of a Renew.
type Renewed struct {
	Worker    Worker
	Sent      time.Duration // when the call was sent, on the agent's clock
	OutOfBand bool          // copied from the Renew
	Token     uint64        // copied from the Renew
	Result    CallResult
	Report    Report // set if Result is Accepted
}

// Tick triggers time-based actions. It is due at the time returned by Machine.NextWake.
type Tick struct{}

func (Connected) runnerEvent()       {}
func (Disconnected) runnerEvent()    {}
func (Retired) runnerEvent()         {}
func (Received) runnerEvent()        {}
func (WorkerAnnounced) runnerEvent() {}
func (WorkerLeft) runnerEvent()      {}
func (ZoneChanged) runnerEvent()     {}
func (Draining) runnerEvent()        {}
func (StartReturned) runnerEvent()   {}
func (StopReturned) runnerEvent()    {}
func (Renewed) runnerEvent()         {}
func (HostSuspended) runnerEvent()   {}
func (Tick) runnerEvent()            {}

// Action is an output of the machine, to be executed by the caller of Machine.Step.
type Action interface{ runnerAction() }

// Send sends a message to an entry.
type Send struct {
	Entry   EntryID
	Message wire.Message
}

// Start starts a run on the worker. Exactly one StartReturned follows.
type Start struct {
	Worker Worker
	Run    run.ID
	Spec   string
	Token  uint64        // fencing token
	Until  time.Duration // end of the lease on the worker's clock
}

// Stop stops a run on the worker, or prevents it from starting. Exactly one StopReturned follows.
type Stop struct {
	Worker Worker
	Run    run.ID
	Token  uint64
}

// Renew renews the lease of all runs on the worker, acknowledges ends and requests a report. Exactly
// one Renewed follows.
type Renew struct {
	Worker       Worker
	Token        uint64
	Until        time.Duration // end of the lease on the worker's clock
	Acknowledged uint64        // acknowledges all ends up to this number
	Wait         time.Duration // how long the worker may delay its response until a run ends
	OutOfBand    bool          // additional call beside the pending long poll
}

func (Send) runnerAction()  {}
func (Start) runnerAction() {}
func (Stop) runnerAction()  {}
func (Renew) runnerAction() {}
