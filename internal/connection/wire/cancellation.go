package wire

import "time"

// The message types for cancellations that the entries keep. They are sent only to processes with FeatureCancellations.
const (
	TypeJobCancellation     Type = 90
	TypeCancellationKept    Type = 91
	TypeCancellationQuery   Type = 92
	TypeCancellationRecords Type = 93
	TypeCancellationAnswer  Type = 94
)

// JobCancellation asks an entry to keep the cancellation of a restartable job and to stop the job, or an agent to stop
// and to refuse its runs. An entry replies with CancellationKept if Round is not zero.
type JobCancellation struct {
	_          struct{} `cbor:",toarray"`
	Round      uint64   // chosen by the sender
	Job        string
	TellAgents bool // the receiver, an entry, sends it to its agents
}

// CancellationKept is the reply of an entry to JobCancellation. Kept is false if it keeps too many cancellations.
type CancellationKept struct {
	_     struct{} `cbor:",toarray"`
	Round uint64
	Kept  bool
}

// CancellationQuery asks an entry for all cancellations that it keeps: CancellationRecords, if any, and then
// CancellationAnswer.
type CancellationQuery struct {
	_     struct{} `cbor:",toarray"`
	Round uint64   // chosen by the sender
}

// CancellationRecords lists kept cancellations. An entry sends it to another entry as part of the answer to
// CancellationQuery, and to an agent that connects.
type CancellationRecords struct {
	_         struct{}        `cbor:",toarray"`
	Digests   []uint64        // of the ids of the jobs
	Remaining []time.Duration // for how long each of them is still kept
}

// CancellationAnswer ends the answer to CancellationQuery.
type CancellationAnswer struct {
	_        struct{} `cbor:",toarray"`
	Round    uint64   // of the query
	Asking   bool     // the sender waits for answers itself, so cancellations may be missing
	Starting bool     // the sender has just started and waits for its first answers
}

// MessageType implements Message.
func (*JobCancellation) MessageType() Type     { return TypeJobCancellation }
func (*CancellationKept) MessageType() Type    { return TypeCancellationKept }
func (*CancellationQuery) MessageType() Type   { return TypeCancellationQuery }
func (*CancellationRecords) MessageType() Type { return TypeCancellationRecords }
func (*CancellationAnswer) MessageType() Type  { return TypeCancellationAnswer }

var _ = register(map[Type]func() Message{
	TypeJobCancellation:     func() Message { return new(JobCancellation) },
	TypeCancellationKept:    func() Message { return new(CancellationKept) },
	TypeCancellationQuery:   func() Message { return new(CancellationQuery) },
	TypeCancellationRecords: func() Message { return new(CancellationRecords) },
	TypeCancellationAnswer:  func() Message { return new(CancellationAnswer) },
})
