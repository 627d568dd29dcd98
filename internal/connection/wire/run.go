package wire

import (
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// The message types for runs of restartable tasks.
const (
	TypeRunOrder     Type = 70
	TypeRunCancel    Type = 71
	TypeRunEnds      Type = 72
	TypeRunInventory Type = 73
	TypeWorkerState  Type = 74
	TypeOwnerPoll    Type = 75
	TypeOwnerGrant   Type = 76
	TypeJobCancel    Type = 77
	TypeCapacities   Type = 78
	TypeTimedOrder   Type = 79
	TypeWorkerSpeed  Type = 80
	TypeWorkerCrash  Type = 81
	TypeTaskCrashes  Type = 82
	TypeUnresolved   Type = 83
	TypeRankedOrder  Type = 88
)

// RunOrder asks an agent to run tasks of one restartable job; to order a run is to request it in
// this way. The agent reports the outcome of each run with one run.End on the same session.
type RunOrder struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64   // number of the RunOrder on this session, from 1
	Job      string
	Service  string
	Priority int           // lower values start first
	MaxWait  time.Duration // maximum time for which a run waits at the agent for free capacity
	Spec     string        // opaque; passed to the worker unchanged
	Need     job.Resources // of each task
	Tasks    []OrderedTask
}

// TimedOrder is a RunOrder with the run time that the entry predicts for its tasks. It is sent only to agents with
// FeatureSpeeds.
type TimedOrder struct {
	_         struct{} `cbor:",toarray"`
	Order     RunOrder
	Predicted time.Duration // of each task, on a worker of mean speed
}

// RankedOrder is a TimedOrder with the place of its job in the order of waiting jobs (package shedding), by which the agent
// orders the runs that wait for capacity. It is sent only to agents with FeatureRanks.
type RankedOrder struct {
	_     struct{} `cbor:",toarray"`
	Order TimedOrder
	Group uint8         // shedding.Group
	In    time.Duration // time from now to shedding.Rank.At; negative if that has passed
}

// WorkerSpeed tells an entry how fast the worker of the sender is, from the runs of all entries. It is sent only to
// entries with FeatureSpeeds.
type WorkerSpeed struct {
	_        struct{} `cbor:",toarray"`
	Slowness float64  // natural logarithm of the run time relative to the prediction
	Samples  int      // runs on which it is based
}

// OrderedTask requests one run of a task.
type OrderedTask struct {
	_      struct{} `cbor:",toarray"`
	Step   uint16
	Index  uint16
	Number uint64
}

// ID returns the id of an ordered run.
func (o *RunOrder) ID(t OrderedTask) run.ID {
	return run.ID{Task: run.TaskID{Job: o.Job, Step: t.Step, Index: t.Index}, Number: t.Number}
}

// RunCancel asks an agent to stop runs, or not to start them.
type RunCancel struct {
	_    struct{} `cbor:",toarray"`
	Runs []run.ID
}

// RunEnds reports outcomes of ordered runs.
type RunEnds struct {
	_    struct{} `cbor:",toarray"`
	Ends []run.End
}

// RunInventory is the first message about runs in a session. It lists the receiver's runs that are
// active at the agent. All other runs that the receiver ordered from this agent earlier have ended.
type RunInventory struct {
	_    struct{} `cbor:",toarray"`
	Runs []run.ID
}

// WorkerState describes the worker of an agent and its free capacity.
type WorkerState struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Rack     string
	Labels   []string
	Capacity job.Resources
	Free     job.Resources // Capacity minus the needs of runs that are running or starting
	Waiting  []WaitingRuns // runs that wait at the agent for free capacity, lowest Priority first
	Open     bool          // the worker accepts starts of runs
	Failures int           // number of consecutive jobs, of any entry, with a failed run on the worker
	Orders   uint64        // sequence number of the receiver's newest RunOrder that Free takes into account
}

// WaitingRuns aggregates the runs of one priority that wait at an agent for free capacity.
type WaitingRuns struct {
	_        struct{} `cbor:",toarray"`
	Priority int
	Need     job.Resources
	// LimitReached forbids the receiver to send more of them to wait: it has as many as its part of the orders
	// allows, at least one.
	LimitReached bool
}

// OwnerPoll asks an entry to confirm that it still owns its runs at the sender.
type OwnerPoll struct {
	_    struct{}      `cbor:",toarray"`
	Sent time.Duration // sender's clock, echoed in OwnerGrant
}

// OwnerGrant is the reply to OwnerPoll: at the time Sent, the replying entry still owned its runs at
// the agent. Sent is the send time of the OwnerPoll on the agent's clock.
type OwnerGrant struct {
	_    struct{} `cbor:",toarray"`
	Sent time.Duration
}

// JobCancel asks another entry to cancel a restartable job if it owns it.
type JobCancel struct {
	_   struct{} `cbor:",toarray"`
	Job string
}

// Capacities tells another entry the greatest capacities of the workers with whose agents the sender has a
// session: each agent keeps sessions with some entries only. It replaces the sender's earlier message and is
// sent only to entries with FeatureCapacities.
type Capacities struct {
	_        struct{}            `cbor:",toarray"`
	Services []ServiceCapacities // sorted by service
}

// ServiceCapacities lists the capacities of workers of one service. A capacity that another one covers is left out.
type ServiceCapacities struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Capacities []job.Resources
}

// WorkerCrash tells an entry that the worker of the sender has stopped accepting connections while it executed runs,
// and lists the receiver's runs that may have caused that. The outcome of these runs follows in RunEnds. It is sent only
// to entries with FeatureCrashes.
type WorkerCrash struct {
	_    struct{} `cbor:",toarray"`
	Runs []run.ID
	Ages []time.Duration // from the start of each run to the crash; empty if unknown
}

// TaskCrashes tells another entry of a crash of one worker: it lists the tasks of one queue that may have caused it. It
// is sent only to entries with FeatureCrashes.
type TaskCrashes struct {
	_     struct{} `cbor:",toarray"`
	Agent string   // id of the agent whose worker has crashed
	Queue string
	Tasks []run.TaskID
	Ages  []time.Duration // from the start of each task's run to the crash; empty if unknown
}

// UnresolvedJobs tells another entry the jobs of the sender with a run on a host that may be suspended: the receiver must not
// start them. It replaces the sender's earlier message and is sent only to entries with FeatureUnresolved.
type UnresolvedJobs struct {
	_    struct{} `cbor:",toarray"`
	Jobs []string
}

// MessageType implements Message.
func (*RunOrder) MessageType() Type     { return TypeRunOrder }
func (*RunCancel) MessageType() Type    { return TypeRunCancel }
func (*RunEnds) MessageType() Type      { return TypeRunEnds }
func (*RunInventory) MessageType() Type { return TypeRunInventory }
func (*WorkerState) MessageType() Type  { return TypeWorkerState }
func (*OwnerPoll) MessageType() Type    { return TypeOwnerPoll }
func (*OwnerGrant) MessageType() Type   { return TypeOwnerGrant }
func (*JobCancel) MessageType() Type    { return TypeJobCancel }
func (*Capacities) MessageType() Type   { return TypeCapacities }
func (*TimedOrder) MessageType() Type   { return TypeTimedOrder }
func (*RankedOrder) MessageType() Type  { return TypeRankedOrder }
func (*WorkerSpeed) MessageType() Type  { return TypeWorkerSpeed }
func (*WorkerCrash) MessageType() Type  { return TypeWorkerCrash }
func (*TaskCrashes) MessageType() Type  { return TypeTaskCrashes }

// MessageType implements Message.
func (*UnresolvedJobs) MessageType() Type { return TypeUnresolved }

var _ = register(map[Type]func() Message{
	TypeRunOrder:     func() Message { return new(RunOrder) },
	TypeRunCancel:    func() Message { return new(RunCancel) },
	TypeRunEnds:      func() Message { return new(RunEnds) },
	TypeRunInventory: func() Message { return new(RunInventory) },
	TypeWorkerState:  func() Message { return new(WorkerState) },
	TypeOwnerPoll:    func() Message { return new(OwnerPoll) },
	TypeOwnerGrant:   func() Message { return new(OwnerGrant) },
	TypeJobCancel:    func() Message { return new(JobCancel) },
	TypeCapacities:   func() Message { return new(Capacities) },
	TypeTimedOrder:   func() Message { return new(TimedOrder) },
	TypeRankedOrder:  func() Message { return new(RankedOrder) },
	TypeWorkerSpeed:  func() Message { return new(WorkerSpeed) },
	TypeWorkerCrash:  func() Message { return new(WorkerCrash) },
	TypeTaskCrashes:  func() Message { return new(TaskCrashes) },
	TypeUnresolved:   func() Message { return new(UnresolvedJobs) },
})
