package tracker

import (
	"time"

	"pollenpaddle/internal/model/job"
)

// resultOverhead is the size in bytes that is counted for one result in addition to its body, message
// and headers.
const resultOverhead = 160

// Stats holds the current numbers of jobs by phase, and of tombstones.
type Stats struct {
	Claiming      int
	Running       int
	Complete      int
	Failed        int
	Tombstones    int
	FinishedBytes int64 // size of the results of finished jobs
}

// Stats returns the current numbers.
func (t *Tracker) Stats() Stats {
	return Stats{
		Claiming: t.counts[Claiming], Running: t.counts[Running], Complete: t.counts[Complete],
		Failed: t.counts[Failed], Tombstones: t.tombstones.Len(), FinishedBytes: t.bytes,
	}
}

// OpenJobs returns the number of jobs that are being claimed or running.
func (t *Tracker) OpenJobs() int { return t.counts[Claiming] + t.counts[Running] }

// Advance drops the results and tombstones whose retention has ended. The floor rises with the wall
// clock, and stays if the clock is set back.
func (t *Tracker) Advance(now time.Duration, wallMillis int64) {
	t.floor = max(t.floor, wallMillis-t.config.ClaimRetention.Milliseconds())
	t.tombstones.DropUpTo(t.floor)
	for t.first < len(t.finished) && now-t.finished[t.first].ended >= t.config.ResultRetention {
		t.dropFirst()
	}
}

// NextWake returns the time at which Advance has results to drop. It returns false if no results
// are kept.
func (t *Tracker) NextWake() (time.Duration, bool) {
	if t.first == len(t.finished) {
		return 0, false
	}
	return t.finished[t.first].ended + t.config.ResultRetention, true
}

// keepResults keeps the results of a job that has just ended, and drops older results beyond the
// limits of count and size. The newest job is kept regardless of its size.
func (t *Tracker) keepResults(now time.Duration, j *trackedJob) {
	j.ended = now
	j.submission = &job.Submission{
		Key: j.submission.Key, Kind: j.submission.Kind, Class: j.submission.Class, SubmittedAt: j.submission.SubmittedAt,
	}
	for i := range j.results {
		j.bytes += resultBytes(&j.results[i])
	}
	t.bytes += j.bytes
	t.finished = append(t.finished, j)
	for len(t.finished)-t.first > 1 &&
		(len(t.finished)-t.first > t.config.MaxFinishedJobs || t.bytes > t.config.MaxFinishedBytes) {
		t.dropFirst()
	}
}

// dropFirst drops the results of the job that ended first. A resubmission is still rejected: by a
// tombstone or, if that is dropped for lack of capacity, by the floor.
func (t *Tracker) dropFirst() {
	j := t.finished[t.first]
	t.finished[t.first] = nil
	t.first++
	if t.first > len(t.finished)/2 {
		t.finished = append(t.finished[:0], t.finished[t.first:]...)
		clear(t.finished[len(t.finished):cap(t.finished)])
		t.first = 0
	}
	t.bytes -= j.bytes
	t.counts[j.phase]--
	delete(t.jobs, j.submission.Key)
	if j.submission.SubmittedAt <= t.floor {
		return
	}
	t.tombstones.Put(j.submission.Key, j.submission.SubmittedAt, struct{}{})
	for t.tombstones.Len() > t.config.MaxTombstones {
		bound, _ := t.tombstones.DropOldestBucket()
		t.floor = max(t.floor, bound)
	}
}

func resultBytes(r *job.Result) int64 {
	size := resultOverhead + len(r.Body) + len(r.Message)
	for _, h := range r.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return int64(size)
}
