package jobcheck

import (
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
)

// Event is an input of the machine.
type Event interface{ jobCheckEvent() }

// Configured reports the newest configuration: its revision and the ids of the listed entries.
type Configured struct {
	Revision uint64
	Entries  []string
}

// PeerConnected reports a session with another entry, which understands the messages or belongs to an earlier release.
type PeerConnected struct {
	Entry          wire.Claimant
	EarlierRelease bool
}

// PeerDisconnected reports the end of a session.
type PeerDisconnected struct{ Entry wire.Claimant }

// Received reports a message of another entry. Owned is set with a JobCheck for a job that this entry has, or on which it
// has lately given a verdict other than that its callers no longer wait.
type Received struct {
	From    wire.Claimant
	Message wire.Message
	Owned   bool
}

// Submitted reports a submission for which Machine.Needed is true. Start or Refuse follows unless it is dropped.
type Submitted struct {
	Job     string
	Delayed bool
}

// Dropped reports that no submission of the job waits for its check any longer.
type Dropped struct{ Job string }

// Over reports that a job of Machine.Running has a verdict and no active run.
type Over struct{ Job string }

// Tick triggers time-based actions. It is due at the time returned by Machine.NextWake.
type Tick struct{}

func (Configured) jobCheckEvent()       {}
func (PeerConnected) jobCheckEvent()    {}
func (PeerDisconnected) jobCheckEvent() {}
func (Received) jobCheckEvent()         {}
func (Submitted) jobCheckEvent()        {}
func (Dropped) jobCheckEvent()          {}
func (Over) jobCheckEvent()             {}
func (Tick) jobCheckEvent()             {}

// Action is an output of the machine, to be executed by the caller of Machine.Step.
type Action interface{ jobCheckAction() }

// Send sends a message to another entry.
type Send struct {
	To      wire.Claimant
	Message wire.Message
}

// Start asks to start a job whose check has succeeded.
type Start struct{ Job string }

// Refuse answers the submissions of a job that must not be started.
type Refuse struct {
	Job   string
	Error *failure.Error
}

// GiveUp asks to stop a job of Machine.Running.
type GiveUp struct{ Job string }

func (Send) jobCheckAction()   {}
func (Start) jobCheckAction()  {}
func (Refuse) jobCheckAction() {}
func (GiveUp) jobCheckAction() {}
