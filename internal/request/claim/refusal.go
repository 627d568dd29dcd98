package claim

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
)

// rankFinal is the lowest rank of an outcome that another attempt is not expected to change.
const rankFinal = 2

// rank orders refusals: of several, the one with the highest rank is reported to the caller. Reasons
// that concern the id or its submission time rank above conditions of a registrar, such as
// the limit of records or a missing configuration lease. Only the order of the numbers matters.
func rank(outcome wire.ClaimOutcome) int {
	switch outcome {
	case wire.ClaimTaken:
		return 6
	case wire.ClaimOtherTime:
		return 5
	case wire.ClaimTooOld:
		return 4
	case wire.ClaimBeforeMinimum:
		return 3
	case wire.ClaimClockAhead:
		return rankFinal
	default:
		return 0
	}
}

const resubmitRemedy = "resubmit the job with the same id and submission time; it will not run twice"

// refusal converts the refusal with the highest rank into an error. This entry has started nothing.
// The error may say that the job was not run only if no earlier submission of the id can have run it.
func refusal(p *request) *failure.Error {
	outcome := wire.ClaimOutcome(0)
	if p.topRefusal != nil {
		outcome = p.topRefusal.Outcome
	}
	switch outcome {
	case wire.ClaimOtherTime:
		return failure.New(failure.InvalidArgument, "send the submission time of the first submission, or choose another id",
			"the id %q is in use with the submission time %d; this submission was not run", p.Key.ID, p.topRefusal.Bound)
	case wire.ClaimClockAhead:
		return failure.New(failure.InvalidArgument, "correct the caller's clock",
			"submitted_at is more than %s ahead of the clock of the entries; this submission was not run", MaxClockSkew)
	case wire.ClaimTooOld:
		return TooOld(p.Key.ID)
	case wire.ClaimBeforeMinimum:
		return beforeMinimum(p)
	}
	if p.Generated {
		return failure.New(failure.Unavailable, "retry later",
			"no majority of the entries that keep the record of the job confirmed the submission within %s; the job was not run", p.deadline-p.begun).WithRetryAfter(time.Second)
	}
	return failure.New(failure.MayHaveRun, resubmitRemedy,
		"no majority of the entries that keep the record of the id %q confirmed the submission in time; this submission was not run, but an earlier one of the same id may have been", p.Key.ID).WithRetryAfter(time.Second)
}

// beforeMinimum returns the error for an id that may have been granted before its registrars were
// restarted or replaced. That is impossible for an id that the entry generated.
func beforeMinimum(p *request) *failure.Error {
	wait := time.Duration(p.topRefusal.Bound-p.SubmittedAt+1) * time.Millisecond
	if p.Generated {
		return failure.New(failure.Unavailable, "retry after the time in Retry-After",
			"the entries that keep the record of this id were recently started or replaced; the job was not run").WithRetryAfter(wait)
	}
	return failure.New(failure.MayHaveRun,
		"if the job was never submitted before, submit it with a new id after the time in Retry-After",
		"the entries that keep the record of the id %q were started or replaced since its submission time; this submission was not run, but an earlier one may have been", p.Key.ID).WithRetryAfter(wait)
}

// TooOld returns the error for an id whose record may have been dropped.
func TooOld(id string) *failure.Error {
	return failure.New(failure.MayHaveRun, "choose a new id if the job is known not to have run",
		"the id %q was submitted longer ago than claims are kept; this submission was not run, but an earlier one may have been", id)
}
