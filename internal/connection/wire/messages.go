// Package wire defines the messages between the processes of pollenpaddle and their CBOR codec.
package wire

import (
	"time"

	"pollenpaddle/internal/model/job"
)

// ProtocolVersion is sent in the handshake; processes of different versions refuse each other.
const ProtocolVersion = 1

// Role names what a process does on a session.
type Role string

// The roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)

// Message is a typed message. Its Type is the number that stands for it on the wire.
type Message interface{ MessageType() Type }

// Challenge is the first message of the accepting side.
type Challenge struct {
	_     struct{} `cbor:",toarray"`
	Nonce []byte
}

// Hello introduces the process that sends it and proves that it holds the shared key.
type Hello struct {
	_                struct{} `cbor:",toarray"`
	Version          uint16
	Role             Role
	ID               string // stable name of the process, from its settings
	Incarnation      uint64 // differs after every restart
	AvailabilityZone string
	Address          string // where the process accepts sessions; empty for agents
	Nonce            []byte
	MAC              []byte
}

// Ping keeps a session alive; the peer answers with Pong.
type Ping struct {
	_    struct{} `cbor:",toarray"`
	Sent time.Duration
}

// Pong answers Ping and returns its Sent field.
type Pong struct {
	_    struct{} `cbor:",toarray"`
	Sent time.Duration
}

// Closing tells the peer that the sender drains and accepts no new work.
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

// Announce tells an entry what the agent's upstream offers. It is repeated before TTL runs out.
type Announce struct {
	_           struct{} `cbor:",toarray"`
	Upstream    string
	Rack        string
	Slots       int
	Connections int
	Capacity    job.Resources
	TTL         time.Duration
}

// Withdraw tells an entry that the upstream is leaving and takes no new starts.
type Withdraw struct {
	_ struct{} `cbor:",toarray"`
}

// Load reports the agent's free slots and queue after a change.
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
	Offer            uint64 // the offer that this start uses; zero if none
}

// Refused reports that a start was not run and never will be.
type Refused struct {
	_      struct{} `cbor:",toarray"`
	ID     StartID
	Reason RefusalReason
}

// RefusalReason tells why an agent refused a start.
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
	RefusedUnknown // asked about after a reconnect; the start had not arrived
)

// Finished reports the result of a start. The agent keeps it until FinishedAck.
type Finished struct {
	_      struct{} `cbor:",toarray"`
	ID     StartID
	Result job.Result
}

// FinishedAck lets the agent forget a result.
type FinishedAck struct {
	_  struct{} `cbor:",toarray"`
	ID StartID
}

// Cancel asks an agent to refuse or stop a start.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID StartID
}

// Query asks an agent, after a reconnect, about starts without a known outcome. The agent answers
// each with Running, Finished or Refused.
type Query struct {
	_   struct{} `cbor:",toarray"`
	IDs []StartID
}

// Running answers Query for a start that is running or queued at the agent.
type Running struct {
	_  struct{} `cbor:",toarray"`
	ID StartID
}
