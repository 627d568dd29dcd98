package wire

// The message types with which an entry asks the others before it starts a restartable job. They are sent only to entries
// with FeatureJobChecks.
const (
	TypeJobCheck       Type = 95
	TypeJobCheckAnswer Type = 96
	TypeJobCheckEnded  Type = 97
)

// JobCheck asks an entry whether it has a restartable job, which the sender would start. Until JobCheckEnded, the receiver
// starts the job only after the sender has given it up.
type JobCheck struct {
	_     struct{} `cbor:",toarray"`
	Round uint64   // chosen by the sender
	Job   string
	// Recall asks the receiver to give the job up if it has started it after a check. It then sends JobCheckEnded when no run
	// is left, in place of an answer.
	Recall bool
}

// JobCheckAnswer is the reply to JobCheck.
type JobCheckAnswer struct {
	_        struct{} `cbor:",toarray"`
	Round    uint64   // of the check
	Result   CheckResult
	Revision uint64 // of the newest configuration of the sender, which lists the entries
}

// CheckResult is the result of a JobCheck.
type CheckResult uint8

// The results of a check. Others count as CheckUncertain.
const (
	CheckFree      CheckResult = iota + 1 // the sender does not have the job
	CheckOwned                            // the sender has the job, or has given a verdict on it lately
	CheckUncertain                        // the sender has started lately; runs of its predecessor may be in progress
)

// JobCheckEnded ends an earlier JobCheck for the job: the sender has no run of it.
type JobCheckEnded struct {
	_   struct{} `cbor:",toarray"`
	Job string
}

// MessageType implements Message.
func (*JobCheck) MessageType() Type       { return TypeJobCheck }
func (*JobCheckAnswer) MessageType() Type { return TypeJobCheckAnswer }
func (*JobCheckEnded) MessageType() Type  { return TypeJobCheckEnded }

var _ = register(map[Type]func() Message{
	TypeJobCheck:       func() Message { return new(JobCheck) },
	TypeJobCheckAnswer: func() Message { return new(JobCheckAnswer) },
	TypeJobCheckEnded:  func() Message { return new(JobCheckEnded) },
})
