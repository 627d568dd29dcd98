// Package wire defines the messages between the processes of pollenpaddle and their CBOR codec.
package wire

import (
	"time"

	"pollenpaddle/internal/model/job"
)

// ProtocolVersion is sent in the handshake. Processes with different versions reject each other.
const ProtocolVersion = 1

// Role is the role of a process in a session.
type Role string

// The roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// Message is a typed message. MessageType returns the number of the type on the wire.
type Message interface{ MessageType() Type }

// Challenge is the first message of the accepting side.
type Challenge struct {
	_     struct{} `cbor:",toarray"`
	Nonce []byte
}

// Hello identifies its sender. MAC proves that the sender has the shared key.
type Hello struct {
	_                struct{} `cbor:",toarray"`
	Version          uint16
	Role             Role
	ID               string // name of the process from its settings; stable across restarts
	Incarnation      uint64 // differs after every restart
	AvailabilityZone string
	Address          string // host:port on which the process accepts sessions; empty for agents
	Nonce            []byte
	MAC              []byte
}

// Ping is the heartbeat of an idle session. The receiver does not answer it.
type Ping struct {
	_    struct{} `cbor:",toarray"`
	Sent time.Duration
}

// Pong is reserved for an answer to Ping with the same Sent. It is ignored and never sent.
type Pong struct {
	_    struct{} `cbor:",toarray"`
	Sent time.Duration
}

// Closing reports that the sender is draining and accepts no new work.
type Closing struct {
	_ struct{} `cbor:",toarray"`
}

// LeasePoll asks a control member for a grant.
type LeasePoll struct {
	_        struct{}      `cbor:",toarray"`
	Sent     time.Duration // sender's boot-time clock, echoed in the grant
	Revision uint64        // newest revision that the sender has applied
}

// LeaseGrant answers LeasePoll: Revision was the newest accepted revision Age ago.
type LeaseGrant struct {
	_        struct{} `cbor:",toarray"`
	Sent     time.Duration
	Revision uint64
	Age      time.Duration
	Group    uint64 // identifies the group of control members
}

// Announce describes the agent's upstream and its capacity to an entry. It is repeated before TTL
// expires.
type Announce struct {
	_           struct{} `cbor:",toarray"`
	Upstream    string
	Rack        string
	Slots       int
	Connections int
	Capacity    job.Resources
	TTL         time.Duration
}

// Withdraw reports that the upstream is going out of service and accepts no new starts.
type Withdraw struct {
	_ struct{} `cbor:",toarray"`
}

// Load reports the agent's free slots and queue length after a change.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Free  int
	Queue int
}

// StartID identifies one attempt to run one task.
type StartID struct {
	_       struct{} `cbor:",toarray"`
	Job     job.Key
	Task    uint16
	Attempt uint16
}

// Start asks an agent to run a task.
type Start struct {
	_                struct{} `cbor:",toarray"`
	ID               StartID
	AgentIncarnation uint64
	Class            string
	Task             job.Task
	Offer            uint64 // offer that this start consumes; zero if none
}

// Refused reports that a start was not run and will not be run.
type Refused struct {
	_      struct{} `cbor:",toarray"`
	ID     StartID
	Reason RefusalReason
}

// RefusalReason is the reason why an agent refused a start.
type RefusalReason uint8

// The reasons for a refusal.
const (
	RefusedBusy RefusalReason = iota + 1
	RefusedLeaseExpired
	RefusedZoneOut
	RefusedLeaving
	RefusedIncarnation
	RefusedNeverFits
	RefusedUnreachable // the upstream accepted no connection
	RefusedCancelled
	RefusedUnknown // answer to Query: the agent has not received the start
)

// Finished reports the result of a start. The agent retains it until FinishedAck.
type Finished struct {
	_      struct{} `cbor:",toarray"`
	ID     StartID
	Result job.Result
}

// FinishedAck acknowledges Finished; the agent then discards the result.
type FinishedAck struct {
	_  struct{} `cbor:",toarray"`
	ID StartID
}

// Cancel asks an agent to refuse or stop a start.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID StartID
}

// Query asks an agent, after a reconnect, for starts whose outcome is unknown. The agent answers
// each of them with Running, Finished or Refused.
type Query struct {
	_   struct{} `cbor:",toarray"`
	IDs []StartID
}

// Running answers Query for a start that is running or queued at the agent.
type Running struct {
	_  struct{} `cbor:",toarray"`
	ID StartID
}
