package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

// EntryID names an entry and its incarnation.
type EntryID struct {
	ID          string
	Incarnation uint64
}

// Event is an input of the machine.
type Event interface{ startgateEvent() }

// Connected reports a session with an entry. A second session of the same entry replaces the first.
type Connected struct{ Entry EntryID }

// Disconnected reports the end of the session with an entry.
type Disconnected struct{ Entry EntryID }

// Received is a message from an entry.
type Received struct {
	Entry   EntryID
	Message wire.Message
}

// Announced reports what the local upstream offers; it holds until Deadline, and for at most
// MaxAnnounceTTL.
type Announced struct {
	Announce wire.Announce
	Deadline time.Duration
}

// Withdrawn reports that the local upstream is leaving. A later Announced brings it back.
type Withdrawn struct{}

// Draining reports that the agent shuts down: it refuses all further starts and ignores further
// announcements.
type Draining struct{}

// CallEnded reports the end of a call to the upstream. NotSent is true only if no byte of the
// request can have reached the upstream.
type CallEnded struct {
	ID      wire.StartID
	Result  job.Result
	NotSent bool
}

// LeaseChanged reports a newer basis for starts: the agent may start work before Deadline.
type LeaseChanged struct {
	Deadline time.Duration
	ZoneOut  bool
}

// Tick lets the machine act on the time alone. The shell sends it when NextWake is due.
type Tick struct{}

func (Connected) startgateEvent()    {}
func (Disconnected) startgateEvent() {}
func (Received) startgateEvent()     {}
func (Announced) startgateEvent()    {}
func (Withdrawn) startgateEvent()    {}
func (Draining) startgateEvent()     {}
func (CallEnded) startgateEvent()    {}
func (LeaseChanged) startgateEvent() {}
func (Tick) startgateEvent()         {}

// Action is an output of the machine, which the shell carries out in order.
type Action interface{ startgateAction() }

// Send sends a message to an entry.
type Send struct {
	Entry   EntryID
	Message wire.Message
}

// Call calls the upstream; the shell reports CallEnded once. A call that has not begun by NotAfter
// must not begin: the shell reports it as not sent.
type Call struct {
	ID       wire.StartID
	Task     job.Task
	NotAfter time.Duration
}

// StopCall asks the shell to stop a running call. CallEnded follows as for any call.
type StopCall struct{ ID wire.StartID }

func (Send) startgateAction()     {}
func (Call) startgateAction()     {}
func (StopCall) startgateAction() {}
