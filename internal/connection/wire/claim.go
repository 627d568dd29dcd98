package wire

import (
	"time"

	"pollenpaddle/internal/model/job"
)

// Types of the messages between entries about claims and the claimed jobs: 50 to 59. A registrar is
// an entry that records which entry owns a job id; each id has several registrars.
const (
	TypeClaim        Type = 50
	TypeClaimReply   Type = 51
	TypeClaimRelease Type = 52
	TypeJobQuery     Type = 53
	TypeJobReply     Type = 54
)

// Claimant identifies an incarnation of an entry process. Incarnation numbers are never reused.
type Claimant struct {
	_           struct{} `cbor:",toarray"`
	EntryID     string
	Incarnation uint64
}

// Claim asks a registrar to grant a job id to the sender. An attempt of zero only asks who the
// current owner is.
type Claim struct {
	_             struct{} `cbor:",toarray"`
	Key           job.Key
	SubmittedAt   int64  // milliseconds since the Unix epoch
	Attempt       uint64 // increases with every attempt of the sender's incarnation; zero for a query that asks who the owner is
	EntriesDigest uint64 // entries digest: hash of the list of entries from which the registrars were selected
}

// ClaimOutcome is a registrar's decision on a claim.
type ClaimOutcome uint8

// The outcomes of a claim.
const (
	ClaimGranted            ClaimOutcome = iota + 1
	ClaimTaken                           // Owner has the id, with the same submission time unless the claim was a query
	ClaimOtherTime                       // the id is claimed with another submission time
	ClaimTooOld                          // the submission time is older than the retention of claims
	ClaimBeforeMinimum                   // the submission time is at most the minimum (Bound), up to which the registrar has no complete record of granted ids: an earlier incarnation or set of registrars may have granted the id
	ClaimClockAhead                      // the submission time is too far ahead of the registrar's clock
	ClaimOtherConfiguration              // the registrar uses another list of entries or is not one of the id's registrars, or the attempt is older than the recorded one
	ClaimNoLease                         // the registrar has no valid configuration lease
	ClaimFull                            // the registrar has reached its limit on records
	ClaimFree                            // query only: the registrar has no record
)

// ClaimReply is the reply to Claim and echoes its key, submission time and attempt.
type ClaimReply struct {
	_           struct{} `cbor:",toarray"`
	Key         job.Key
	SubmittedAt int64
	Attempt     uint64
	Outcome     ClaimOutcome
	Owner       Claimant // set for ClaimTaken and ClaimOtherTime
	Bound       int64    // ClaimTaken and ClaimOtherTime: submission time of the record; ClaimTooOld and ClaimBeforeMinimum: time that the submission time must exceed
}

// ClaimRelease gives up the sender's grant of the id with this submission time if its attempt is at
// most UpTo.
type ClaimRelease struct {
	_           struct{} `cbor:",toarray"`
	Key         job.Key
	SubmittedAt int64
	UpTo        uint64
}

// JobQuery asks the owner of a job for its state. The owner replies to each query with one JobReply. A
// result that is too large for one reply is fetched with further queries from the returned
// position.
type JobQuery struct {
	_           struct{} `cbor:",toarray"`
	Query       uint64   // correlation id, unique for the sender's incarnation
	Key         job.Key
	SubmittedAt int64
	Wait        time.Duration // maximum wait for the end of a running job
	From        JobPosition
	Cancel      bool // cancel the job first
	EndWait     bool // end the wait of the earlier query with this Query number, whose reply is then sent immediately
}

// JobPosition is a position in the results of a finished job.
type JobPosition struct {
	_    struct{} `cbor:",toarray"`
	Task int
	Byte int // within the body of that task's result
}

// JobOutcome determines the content of a JobReply.
type JobOutcome uint8

// The outcomes of a JobQuery.
const (
	JobRunning  JobOutcome = iota + 1 // Parts contain the current states
	JobFinished                       // Parts contain results from the requested position
	JobNotOwned                       // the replying entry never started the job and has no claim on it
	JobDropped                        // the replying entry dropped the job, or cannot tell whether it had it, because the job is too old
)

// JobReply is the reply to JobQuery.
type JobReply struct {
	_           struct{} `cbor:",toarray"`
	Query       uint64
	Outcome     JobOutcome
	Class       string
	SubmittedAt int64
	Count       int // number of tasks of the job
	Parts       []JobPart
	Next        JobPosition // where the next query continues; Task equals Count at the end
}

// JobPart is the result of one task, or a part of its body.
type JobPart struct {
	_         struct{} `cbor:",toarray"`
	Task      int
	Result    job.Result // Body contains the bytes from the requested position
	BodyBytes int        // length of the whole body
}

// MaxReplyBytes bounds the total size of the bodies in one JobReply, so that it delays subsequent
// claims on the same session by a few milliseconds at most.
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
