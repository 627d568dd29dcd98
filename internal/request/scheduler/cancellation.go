package scheduler

import (
	"time"

	"pollenpaddle/internal/failure"
)

func errRevoked() *failure.Error {
	return failure.New(failure.Cancelled, "do not submit the job again; submit it under another id if its result is needed after all", "the job was cancelled; some of its tasks may have run")
}

// RevokedOnSubmission returns the verdict on a submission of a job that was cancelled before.
func RevokedOnSubmission(s *Submission) Decided {
	return Decided{Job: s.ID, Verdict: Revoked, Error: errRevoked(), Summary: JobSummary{Queue: s.Queue, FirstRun: -1}}
}

// RejectedOnSubmission returns the verdict on a submission that an entry has received while it was out of touch: the job
// may have been cancelled meanwhile, and no answer of enough other entries shows that it was not.
func RejectedOnSubmission(s *Submission) Decided {
	err := failure.New(failure.Unavailable, "submit the job again if its result is still wanted",
		"the entry was out of touch when it got the job, and cannot ask the other entries whether it was cancelled; the job was not run")
	return Decided{Job: s.ID, Verdict: Rejected, Error: err.WithRetryAfter(time.Second), Summary: JobSummary{Queue: s.Queue, FirstRun: -1}}
}

// ExpiredOnSubmission returns the verdict on a submission of a job that another entry may have.
func ExpiredOnSubmission(s *Submission, err *failure.Error) Decided {
	return Decided{Job: s.ID, Verdict: Expired, Error: err, Summary: JobSummary{Queue: s.Queue, FirstRun: -1}}
}

// UncheckedOnSubmission returns the verdict on a submission that is not checked because too many others wait for a check.
func UncheckedOnSubmission(s *Submission) Decided {
	return ExpiredOnSubmission(s, failure.New(failure.MayHaveRun, "resubmit the job",
		"the request may have been delayed, and too many others wait for the answers of other entries").WithRetryAfter(time.Second))
}

// OpenJobIDs returns the ids of the jobs without a verdict or with an active run, in order of arrival.
func (m *Machine) OpenJobIDs() []string {
	ids := make([]string, 0, len(m.jobs))
	for _, j := range m.sortedJobs() {
		ids = append(ids, j.submission.ID)
	}
	return ids
}

// release ends the hold, or gives the held jobs a verdict.
func (m *Machine) release(now time.Duration, drop bool) {
	m.holding = false
	if !drop {
		return
	}
	for _, j := range m.sortedJobs() {
		switch {
		case j.hasVerdict || j.arrival > m.holdArrival:
		case m.allRefused(j) && !m.unresolvedElsewhere(now, j.submission.ID):
			m.setVerdict(now, j, Rejected, RejectedOnSubmission(j.submission).Error)
		default:
			m.setVerdict(now, j, Expired, failure.New(failure.MayHaveRun, "resubmit the job",
				"the entry was out of touch and cannot ask the other entries whether the job was cancelled"))
		}
	}
}
