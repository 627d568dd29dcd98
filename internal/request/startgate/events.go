package startgate

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

// EntryID identifies one incarnation of an entry.
type EntryID struct {
	ID          string
	Incarnation uint64
}

// Event is an input of the machine.
type Event interface{ startgateEvent() }

// Connected reports a new session with an entry. It replaces an earlier session of the same entry.
type Connected struct{ Entry EntryID }

// Disconnected reports the end of the session with an entry.
type Disconnected struct{ Entry EntryID }

// Retired reports that the session with an entry is to be closed. The upstream is withdrawn from the entry;
// its starts continue until Machine.Retirable returns true.
type Retired struct{ Entry EntryID }

// Received is a message from an entry.
type Received struct {
	Entry   EntryID
	Message wire.Message
}

// Announced reports the slots and resources of the local upstream. It is valid until Deadline, and
// for at most MaxAnnounceTTL.
type Announced struct {
	Announce wire.Announce
	Deadline time.Duration
}

// Withdrawn reports that the local upstream is leaving. A later Announced makes it available
// again.
type Withdrawn struct{}

// Draining reports that the agent is shutting down. The machine then refuses all waiting and
// new starts and ignores further announcements.
type Draining struct{}

// CallEnded reports the end of a call to the upstream. NotSent is true only if no byte of the
// request can have reached the upstream.
type CallEnded struct {
	ID      wire.StartID
	Result  job.Result
	NotSent bool
}

// LeaseChanged reports the current configuration lease and the state of the availability zone.
// Calls may begin only before Deadline and while ZoneOut is false.
type LeaseChanged struct {
	Deadline time.Duration
	ZoneOut  bool
}

// Tick makes the machine apply the deadlines that have passed. It is due at the time that NextWake
// returns.
type Tick struct{}

func (Connected) startgateEvent()    {}
func (Disconnected) startgateEvent() {}
func (Retired) startgateEvent()      {}
func (Received) startgateEvent()     {}
func (Announced) startgateEvent()    {}
func (Withdrawn) startgateEvent()    {}
func (Draining) startgateEvent()     {}
func (CallEnded) startgateEvent()    {}
func (LeaseChanged) startgateEvent() {}
func (Tick) startgateEvent()         {}

// Action is an output of the machine. The caller of Step carries out the actions in order.
type Action interface{ startgateAction() }

// Send sends a message to an entry.
type Send struct {
	Entry   EntryID
	Message wire.Message
}

// Call calls the upstream. CallEnded must be reported exactly once. A call that has not begun by
// NotAfter must not begin and is reported with NotSent.
type Call struct {
	ID       wire.StartID
	Task     job.Task
	NotAfter time.Duration
}

// StopCall stops a running call. CallEnded follows as for any call.
type StopCall struct{ ID wire.StartID }

func (Send) startgateAction()     {}
func (Call) startgateAction()     {}
func (StopCall) startgateAction() {}
