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

// Challenge is the first message of a session; the process that accepted it sends it.
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

// Ping is the heartbeat of an idle session. The receiver does not reply to it.
type Ping struct {
	_    struct{}      `cbor:",toarray"`
	Sent time.Duration // reserved; always zero
}

// Pong names the optional messages that the sender understands; any other message of a type that the receiver
// does not know ends the session. Entries and agents send it first. Releases without optional messages ignore
// it.
type Pong struct {
	_        struct{} `cbor:",toarray"`
	Features Feature
}

// Feature is a set of optional messages.
type Feature uint64

// The optional messages.
const (
	// FeatureCapacities means that the sender understands Capacities.
	FeatureCapacities Feature = 1 << 0
	// FeatureSpeeds means that the sender, an agent, understands TimedOrder, or, an entry, WorkerSpeed.
	FeatureSpeeds Feature = 1 << 1
	// FeatureCrashes means that the sender, an entry, understands WorkerCrash and TaskCrashes.
	FeatureCrashes Feature = 1 << 2
	// FeatureUnresolved means that the sender, an entry, understands UnresolvedJobs.
	FeatureUnresolved Feature = 1 << 3
	// FeatureRanks means that the sender, an agent, understands RankedOrder.
	FeatureRanks Feature = 1 << 8
	// FeatureCancellations means that the sender, an entry, understands the messages of cancellation.go, or, an agent,
	// JobCancellation and CancellationRecords.
	FeatureCancellations Feature = 1 << 9
	// FeatureJobChecks means that the sender, an entry, understands the messages of jobcheck.go.
	FeatureJobChecks Feature = 1 << 10
)

// Closing reports that the sender is draining and accepts no new work. It does not close the
// session.
type Closing struct {
	_ struct{} `cbor:",toarray"`
}

// LeasePoll asks a control member for a LeaseGrant.
type LeasePoll struct {
	_        struct{}      `cbor:",toarray"`
	Sent     time.Duration // sender's boot clock, echoed in LeaseGrant
	Revision uint64        // newest revision that the sender has applied
}

// LeaseGrant is the reply to LeasePoll. Revision includes every change that was committed more
// than Age before this message was sent. It grants no fixed time: the receiver derives its
// configuration lease from Age and the send time of its LeasePoll.
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
	Slots       int // number of tasks that the upstream can run at the same time
	Connections int // number of connections that the upstream accepts from the agent; at most this many tasks run at the same time
	Capacity    job.Resources
	TTL         time.Duration
}

// Withdraw revokes the agent's Announce: the upstream is going out of service, and the agent
// accepts no new starts until it sends Announce again.
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
	RefusedBusy         RefusalReason = iota + 1 // the agent can neither run nor queue the start
	RefusedLeaseExpired                          // the agent has no valid configuration lease
	RefusedZoneOut                               // the operator has taken the agent's availability zone out of service
	RefusedLeaving                               // the agent announces no upstream, for example because it is draining
	RefusedIncarnation                           // the start is for another incarnation of the agent
	RefusedNeverFits                             // the task needs more than the capacity of the upstream
	RefusedUnreachable                           // the upstream accepted no connection
	RefusedCancelled
	// RefusedUnknown is the reply to a Query for a start of which the agent has no record. It is also the
	// recorded outcome of a start that was still waiting at the agent when its entry disconnected.
	RefusedUnknown
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

// Cancel asks an agent to stop the task of a start, or to refuse the start if it is not running yet.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID StartID
}

// Query asks an agent, after a reconnect, about starts whose outcome is unknown to the entry. The agent
// replies about each of them with Running, Finished or Refused.
type Query struct {
	_   struct{} `cbor:",toarray"`
	IDs []StartID
}

// Running is the reply to Query for a start that is running or queued at the agent.
type Running struct {
	_  struct{} `cbor:",toarray"`
	ID StartID
}
