// Package tracker keeps the jobs of an entry: the states of their tasks, their results, and the
// waiters for their end. It drops the results of finished jobs after a retention time.
package tracker

import (
	"slices"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/expiry"
)

// WaiterID identifies one waiter. The code that calls AddWaiter chooses it; the tracker returns it at most
// once.
type WaiterID uint64

// Phase is the phase of a tracked job.
type Phase uint8

// The phases of a job. A job is Complete if all its tasks are done, otherwise Failed.
const (
	Claiming Phase = iota // the id is being claimed; no task was started
	Running
	Complete
	Failed
)

var phaseNames = [...]string{"claiming", "running", "complete", "failed"}

// String returns the name of the phase in the HTTP API.
func (p Phase) String() string { return phaseNames[p] }

// View is a snapshot of a job's state.
type View struct {
	Key         job.Key
	Kind        job.Kind
	Class       string
	SubmittedAt int64
	Phase       Phase
	Cancelled   bool
	Results     []job.Result // one per task
}

// LookupResult is what a tracker knows about a job id.
type LookupResult uint8

// The values that Tracker.Lookup returns.
const (
	Unknown   LookupResult = iota // no record of the id here, and not too old to be claimed
	Tracked                       // tracked: being claimed, running, or finished with its results kept
	Dropped                       // finished here; its results were dropped
	OtherTime                     // known with another submission time
	TooOld                        // its record may have been dropped
)

// Config holds the settings of a tracker. A zero field takes its default.
type Config struct {
	ResultRetention  time.Duration // how long results are kept after the end of a job
	ClaimRetention   time.Duration // how long an id can be claimed after its submission time
	MaxFinishedJobs  int
	MaxFinishedBytes int64
	MaxTombstones    int
}

// Defaults of Config.
const (
	DefaultResultRetention  = 10 * time.Minute
	DefaultClaimRetention   = 10 * time.Minute
	DefaultMaxFinishedJobs  = 200_000
	DefaultMaxFinishedBytes = 1 << 30
	DefaultMaxTombstones    = 1_000_000
)

func (c Config) withDefaults() Config {
	if c.ResultRetention <= 0 {
		c.ResultRetention = DefaultResultRetention
	}
	if c.ClaimRetention <= 0 {
		c.ClaimRetention = DefaultClaimRetention
	}
	if c.MaxFinishedJobs <= 0 {
		c.MaxFinishedJobs = DefaultMaxFinishedJobs
	}
	if c.MaxFinishedBytes <= 0 {
		c.MaxFinishedBytes = DefaultMaxFinishedBytes
	}
	if c.MaxTombstones <= 0 {
		c.MaxTombstones = DefaultMaxTombstones
	}
	return c
}

// Tracker holds the jobs of one entry: their task states, results and waiters. Results of finished
// jobs are dropped, oldest first, by age, count and size. The id of a job whose results were
// dropped keeps a tombstone for as long as a registrar might grant it again, but at most
// MaxTombstones are kept. A Tracker is not safe for concurrent use.
type Tracker struct {
	config     Config
	jobs       map[job.Key]*trackedJob
	finished   []*trackedJob // in the order of their end; the items before index first were dropped
	first      int
	bytes      int64 // size of the results of finished jobs
	tombstones *expiry.Map[job.Key, struct{}]
	// floor is the low-water mark of the tombstones: ids with submission times up to it may have lost
	// their tombstone, so Lookup returns TooOld for them if they are unknown. It never decreases.
	floor  int64
	counts [len(phaseNames)]int
}

type trackedJob struct {
	submission *job.Submission // its tasks are dropped at the end of the job
	phase      Phase
	cancelled  bool
	results    []job.Result
	unfinished int // number of tasks without a final result
	waiters    []waiter
	begun      time.Duration // time of Begin
	ended      time.Duration
	bytes      int64 // size of the results, set at the end
}

type waiter struct {
	id        WaiterID
	waitEnded bool // its waiting time is over; it is returned when the claim is decided
}

// New returns an empty tracker.
func New(config Config) *Tracker {
	return &Tracker{config: config.withDefaults(), jobs: map[job.Key]*trackedJob{}, tombstones: expiry.New[job.Key, struct{}]()}
}

// Lookup returns what is known about an id. Submission time zero matches any.
func (t *Tracker) Lookup(key job.Key, submittedAt int64) LookupResult {
	if j := t.jobs[key]; j != nil {
		if submittedAt != 0 && submittedAt != j.submission.SubmittedAt {
			return OtherTime
		}
		return Tracked
	}
	if at, _, found := t.tombstones.Get(key); found {
		if submittedAt != 0 && submittedAt != at {
			return OtherTime
		}
		return Dropped
	}
	if submittedAt != 0 && submittedAt <= t.floor {
		return TooOld
	}
	return Unknown
}

// Begin adds a job whose id is being claimed. Lookup must have returned Unknown.
func (t *Tracker) Begin(now time.Duration, s *job.Submission) {
	t.jobs[s.Key] = &trackedJob{submission: s, results: make([]job.Result, len(s.Tasks)), unfinished: len(s.Tasks), begun: now}
	t.counts[Claiming]++
}

// Accept moves a job from Claiming to Running and returns its submission, together with the waiters
// whose waiting time is over. It returns nil if the job is not being claimed.
func (t *Tracker) Accept(key job.Key) (*job.Submission, []WaiterID) {
	j := t.jobs[key]
	if j == nil || j.phase != Claiming {
		return nil, nil
	}
	t.setPhase(j, Running)
	return j.submission, j.takeWaiters(true)
}

// Remove deletes a job that has not ended and returns its waiters. No task of it may have been
// started.
func (t *Tracker) Remove(key job.Key) []WaiterID {
	j := t.jobs[key]
	if j == nil || j.phase > Running {
		return nil
	}
	delete(t.jobs, key)
	t.counts[j.phase]--
	return j.takeWaiters(false)
}

// Started records that a task was sent to an agent.
func (t *Tracker) Started(key job.Key, task int) {
	if j := t.jobs[key]; j != nil && task < len(j.results) && j.results[task].State == job.Queued {
		j.results[task].State = job.Started
	}
}

// Finish records the final result of a task. A second result of the same task is ignored. With the
// result of the last task the job ends: ended is true, and the waiters are returned.
func (t *Tracker) Finish(now time.Duration, key job.Key, task int, result job.Result) (ended bool, waiters []WaiterID) {
	j := t.jobs[key]
	if j == nil || j.phase != Running || task >= len(j.results) || j.results[task].State.Final() || !result.State.Final() {
		return false, nil
	}
	j.results[task] = result
	j.unfinished--
	if j.unfinished > 0 {
		return false, nil
	}
	phase := Complete
	for i := range j.results {
		if j.results[i].State != job.Done {
			phase = Failed
		}
	}
	t.setPhase(j, phase)
	t.keepResults(now, j)
	return true, j.takeWaiters(false)
}

// Cancel marks a running job as cancelled. It returns false if the job is not running.
func (t *Tracker) Cancel(key job.Key) bool {
	j := t.jobs[key]
	if j == nil || j.phase != Running {
		return false
	}
	j.cancelled = true
	return true
}

// AddWaiter registers a waiter for the end of the job and returns true. It returns false if the job
// has ended or is unknown.
func (t *Tracker) AddWaiter(key job.Key, id WaiterID) bool {
	j := t.jobs[key]
	if j == nil || j.phase > Running {
		return false
	}
	j.waiters = append(j.waiters, waiter{id: id})
	return true
}

// EndWait ends the waiting time of a waiter. It returns true if it has removed the waiter, which
// can then be sent the state of the running job. A waiter of a job that is being claimed
// stays until the claim is decided.
func (t *Tracker) EndWait(key job.Key, id WaiterID) bool {
	j := t.jobs[key]
	if j == nil {
		return false
	}
	i := slices.IndexFunc(j.waiters, func(w waiter) bool { return w.id == id })
	if i < 0 {
		return false
	}
	if j.phase == Claiming {
		j.waiters[i].waitEnded = true
		return false
	}
	j.waiters = slices.Delete(j.waiters, i, i+1)
	return true
}

// View returns a snapshot of the job's state, or nil if the job is unknown.
func (t *Tracker) View(key job.Key) *View {
	j := t.jobs[key]
	if j == nil {
		return nil
	}
	v := &View{
		Key: j.submission.Key, Kind: j.submission.Kind, Class: j.submission.Class,
		SubmittedAt: j.submission.SubmittedAt, Phase: j.phase, Cancelled: j.cancelled, Results: j.results,
	}
	if j.phase <= Running {
		v.Results = slices.Clone(j.results)
	}
	return v
}

// Age returns the time since Begin, or for a finished job the time from Begin to its end.
func (t *Tracker) Age(now time.Duration, key job.Key) time.Duration {
	j := t.jobs[key]
	switch {
	case j == nil:
		return 0
	case j.phase > Running:
		return j.ended - j.begun
	}
	return now - j.begun
}

func (t *Tracker) setPhase(j *trackedJob, phase Phase) {
	t.counts[j.phase]--
	j.phase = phase
	t.counts[phase]++
}

// takeWaiters removes and returns the waiters, or only those whose waiting time is over.
func (j *trackedJob) takeWaiters(endedOnly bool) []WaiterID {
	var ids []WaiterID
	kept := j.waiters[:0]
	for _, w := range j.waiters {
		if endedOnly && !w.waitEnded {
			kept = append(kept, w)
			continue
		}
		ids = append(ids, w.id)
	}
	j.waiters = kept
	return ids
}

// RemoveWaiter removes a waiter that no longer needs a response.
func (t *Tracker) RemoveWaiter(key job.Key, id WaiterID) {
	if j := t.jobs[key]; j != nil {
		j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool { return w.id == id })
	}
}
