package runner

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// EntryID names an entry and its incarnation.
type EntryID struct {
	ID          string
	Incarnation uint64
}

// Worker identifies one life of the worker beside the agent. A worker that starts again under its
// old id differs in Born.
type Worker struct {
	ID   string
	Born int64 // when it started by its own account; zero if it has not said so
}

// Event is an input of the machine.
type Event interface{ runnerEvent() }

// Connected reports a session with an entry; orders on it are numbered from 1.
type Connected struct{ Entry EntryID }

// Disconnected reports the end of the session with an entry.
type Disconnected struct{ Entry EntryID }

// Received is a message from an entry.
type Received struct {
	Entry   EntryID
	Message wire.Message
}

// WorkerAnnounced is what the worker says of itself.
type WorkerAnnounced struct {
	Worker   Worker
	Sequence uint64 // rises with each announcement of one life
	Service  string
	Rack     string
	Labels   []string
	Capacity job.Resources
	Leaving  bool          // it takes no more starts
	Clock    time.Duration // the worker's clock when it sent the announcement
}

// WorkerLeft reports that the worker ends and runs nothing any more.
type WorkerLeft struct{ ID string }

// ZoneChanged reports whether the agent's availability zone is out of service.
type ZoneChanged struct{ Out bool }

// Draining reports that the agent shuts down: it refuses all further orders.
type Draining struct{}

// CallResult is the outcome of a call to the worker.
type CallResult uint8

// The outcomes of calls.
const (
	// Accepted: the worker has done what was asked.
	Accepted CallResult = iota + 1
	// Fenced: the worker has seen a higher fencing token and did nothing.
	Fenced
	// Outdated: the worker knows a run of the task with this number or a higher one.
	Outdated
	// Expired: the lease in the call had run out on arrival.
	Expired
	// NoRoom: the run does not fit beside what runs.
	NoRoom
	// Unfit: the worker does not accept the run at all.
	Unfit
	// Unhealthy: the worker did nothing because it is unhealthy.
	Unhealthy
	// OtherWorker: another life of the worker answered and did nothing.
	OtherWorker
	// NotSent: no connection; nothing can have arrived.
	NotSent
	// NoAnswer: the call may have been carried out, or may be carried out later.
	NoAnswer
)

var callResultNames = [...]string{"none", "accepted", "fenced", "outdated", "expired", "no_room", "unfit", "unhealthy", "other_worker", "not_sent", "no_answer"}

// String returns the name used in logs and metrics.
func (r CallResult) String() string {
	if int(r) < len(callResultNames) {
		return callResultNames[r]
	}
	return "unknown"
}

// StartReturned reports the end of a Start.
type StartReturned struct {
	Worker Worker
	Run    run.ID
	Token  uint64
	Result CallResult
	Clock  time.Duration // the worker's clock in its answer; zero without one
}

// StopReturned reports the end of a Stop.
type StopReturned struct {
	Worker Worker
	Run    run.ID
	Token  uint64
	Result CallResult
}

// RunEnd is an end that the worker lists.
type RunEnd struct {
	Number  uint64 // rises with each end in one life of the worker
	Run     run.ID
	Outcome run.Outcome
}

// Report is what the worker runs and what has ended.
type Report struct {
	Born    int64 // zero if the worker does not say
	Clock   time.Duration
	Running []run.ID
	Ended   []RunEnd // in order of Number
}

// Renewed reports the end of a Renew.
type Renewed struct {
	Worker    Worker
	Sent      time.Duration // when the call was sent, on the agent's clock
	OutOfBand bool          // of the Renew
	Token     uint64
	Result    CallResult
	Report    Report // with Accepted
}

// Tick lets the machine act on the time alone. The shell sends it when NextWake is due.
type Tick struct{}

func (Connected) runnerEvent()       {}
func (Disconnected) runnerEvent()    {}
func (Received) runnerEvent()        {}
func (WorkerAnnounced) runnerEvent() {}
func (WorkerLeft) runnerEvent()      {}
func (ZoneChanged) runnerEvent()     {}
func (Draining) runnerEvent()        {}
func (StartReturned) runnerEvent()   {}
func (StopReturned) runnerEvent()    {}
func (Renewed) runnerEvent()         {}
func (Tick) runnerEvent()            {}

// Action is an output of the machine, which the shell carries out.
type Action interface{ runnerAction() }

// Send sends a message to an entry.
type Send struct {
	Entry   EntryID
	Message wire.Message
}

// Start starts a run; the shell reports StartReturned once.
type Start struct {
	Worker Worker
	Run    run.ID
	Spec   string
	Token  uint64        // fencing token
	Until  time.Duration // end of the lease on the worker's clock
}

// Stop ends a run, or keeps one that has not begun from beginning; the shell reports StopReturned
// once.
type Stop struct {
	Worker Worker
	Run    run.ID
	Token  uint64
}

// Renew renews the lease of everything that runs, acknowledges ends and asks for a report; the
// shell reports Renewed once.
type Renew struct {
	Worker       Worker
	Token        uint64
	Until        time.Duration // end of the lease on the worker's clock
	Acknowledged uint64        // number of the newest end that is known
	Wait         time.Duration // how long the worker may wait for an end before it answers
	OutOfBand    bool          // an extra call beside the one that waits
}

func (Send) runnerAction()  {}
func (Start) runnerAction() {}
func (Stop) runnerAction()  {}
func (Renew) runnerAction() {}
