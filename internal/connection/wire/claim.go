package wire

import (
	"time"

	"pollenpaddle/internal/model/job"
)

// Types of the messages between entries: 50 to 59.
const (
	TypeClaim        Type = 50
	TypeClaimReply   Type = 51
	TypeClaimRelease Type = 52
	TypeJobQuery     Type = 53
	TypeJobReply     Type = 54
)

// Claimant names one run of an entry. Two runs never share an incarnation.
type Claimant struct {
	_           struct{} `cbor:",toarray"`
	EntryID     string
	Incarnation uint64
}

// Claim asks a registrar to grant a job id to the sender. Attempt zero only looks the id up.
type Claim struct {
	_           struct{} `cbor:",toarray"`
	Key         job.Key
	SubmittedAt int64  // milliseconds since the Unix epoch
	Attempt     uint64 // increases with every attempt of the sender's incarnation
	Version     uint64 // digest of the entries that the registrars were chosen from
}

// ClaimOutcome is a registrar's decision about a claim.
type ClaimOutcome uint8

// The outcomes of a claim.
const (
	ClaimGranted            ClaimOutcome = iota + 1
	ClaimTaken                           // Owner holds the id with the same submission time
	ClaimOtherTime                       // the id is held with another submission time
	ClaimTooOld                          // the submission time is beyond the retention of claims
	ClaimBeforeMinimum                   // an earlier run or set of registrars may have granted the id
	ClaimClockAhead                      // the submission time is in the registrar's future
	ClaimOtherConfiguration              // the registrar uses another list of entries
	ClaimNoLease                         // the registrar may not decide at present
	ClaimFull                            // the registrar has no room for another record
	ClaimFree                            // look-up only: the registrar holds no record
)

// ClaimReply answers Claim and echoes what it answers.
type ClaimReply struct {
	_           struct{} `cbor:",toarray"`
	Key         job.Key
	SubmittedAt int64
	Attempt     uint64
	Outcome     ClaimOutcome
	Owner       Claimant // with ClaimTaken
	Bound       int64    // ClaimTaken and ClaimOtherTime: time of the record; ClaimBeforeMinimum: the minimum
}

// ClaimRelease gives up every attempt of the sender for the id up to the given one.
type ClaimRelease struct {
	_           struct{} `cbor:",toarray"`
	Key         job.Key
	SubmittedAt int64
	UpTo        uint64
}

// JobQuery asks the owner of a job for its state. The owner answers each query with one JobReply.
// A result too large for one reply is fetched with further queries from the returned position.
type JobQuery struct {
	_           struct{} `cbor:",toarray"`
	Query       uint64   // correlation id, unique for the sender's incarnation
	Key         job.Key
	SubmittedAt int64
	Wait        time.Duration // how long to wait for the end of a running job
	From        JobPosition
	Cancel      bool // cancel the job first
	Withdraw    bool // ends an earlier query that is still waiting: answer it at once
}

// JobPosition is a position in the results of a finished job.
type JobPosition struct {
	_    struct{} `cbor:",toarray"`
	Task int
	Byte int // within the body of that task's result
}

// JobOutcome tells what a JobReply contains.
type JobOutcome uint8

// The outcomes of a JobQuery.
const (
	JobRunning  JobOutcome = iota + 1 // Parts hold the states so far
	JobFinished                       // Parts hold results from the position asked for
	JobNotOwned                       // the sender never started the job and holds no claim on it
	JobDropped                        // the job ran here, but its results are no longer kept
)

// JobReply answers JobQuery.
type JobReply struct {
	_           struct{} `cbor:",toarray"`
	Query       uint64
	Outcome     JobOutcome
	Class       string
	SubmittedAt int64
	Count       int // tasks of the job
	Parts       []JobPart
	Next        JobPosition // where the next query continues; Task equals Count at the end
}

// JobPart is the result of one task, or a part of its body.
type JobPart struct {
	_         struct{} `cbor:",toarray"`
	Task      int
	Result    job.Result // Body holds the bytes from the position asked for
	BodyBytes int        // length of the whole body
}

// MaxReplyBytes bounds the bodies in one JobReply, so that it does not delay claims behind it on
// the same session for more than some milliseconds.
const MaxReplyBytes = 1 << 20

// MessageType implements Message.
func (*Claim) MessageType() Type { return TypeClaim }

// MessageType implements Message.
func (*ClaimReply) MessageType() Type { return TypeClaimReply }

// MessageType implements Message.
func (*ClaimRelease) MessageType() Type { return TypeClaimRelease }

// MessageType implements Message.
func (*JobQuery) MessageType() Type { return TypeJobQuery }

// MessageType implements Message.
func (*JobReply) MessageType() Type { return TypeJobReply }

func init() {
	constructors[TypeClaim] = func() Message { return new(Claim) }
	constructors[TypeClaimReply] = func() Message { return new(ClaimReply) }
	constructors[TypeClaimRelease] = func() Message { return new(ClaimRelease) }
	constructors[TypeJobQuery] = func() Message { return new(JobQuery) }
	constructors[TypeJobReply] = func() Message { return new(JobReply) }
}
