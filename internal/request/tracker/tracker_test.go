package tracker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/tracker"
)

const (
	baseMillis       = int64(1_800_000_000_000)
	resultRetention  = 10 * time.Second
	claimRetention   = 20 * time.Second
	maxFinishedJobs  = 3
	maxFinishedBytes = 3000
)

// referenceJob is a job of the reference model, which keeps all jobs and scans them for
// every decision.
type referenceJob struct {
	submittedAt int64
	states      []job.State
	bodies      []string
	phase       tracker.Phase
	ended       time.Duration
	order       int
	dropped     bool
	waiting     map[tracker.WaiterID]bool // true if the waiting time is over
}

// submissionID identifies a submission.
type submissionID struct {
	key         job.Key
	submittedAt int64
}

// harness applies the same operations to a tracker and to the reference model.
type harness struct {
	t         *rapid.T
	tracker   *tracker.Tracker
	reference map[job.Key]*referenceJob
	now       time.Duration
	wall      int64
	newest    int64 // highest reading of the wall clock
	// replacedBound is highestDropped for the dropped jobs that are no longer in reference, because
	// their id was submitted again.
	replacedBound int64
	accepted      map[submissionID]bool
	ended         int
	lastWaiterID  tracker.WaiterID
	returned      map[tracker.WaiterID]bool // waiters that the tracker has returned
}

func (h *harness) key() job.Key {
	return job.Key{Organisation: "org", ID: fmt.Sprint(rapid.IntRange(0, 7).Draw(h.t, "id"))}
}

// enforceRetention drops the results of the reference beyond the limits of count and size, oldest
// first.
func (h *harness) enforceRetention() {
	var kept []*referenceJob
	for _, j := range h.reference {
		if j.phase > tracker.Running && !j.dropped {
			kept = append(kept, j)
		}
	}
	slices.SortFunc(kept, func(a, b *referenceJob) int { return a.order - b.order })
	size := 0
	for i := len(kept) - 1; i >= 0; i-- {
		for _, body := range kept[i].bodies {
			size += 160 + len(body)
		}
		newest := i == len(kept)-1
		if !newest && (len(kept)-i > maxFinishedJobs || size > maxFinishedBytes) {
			for _, old := range kept[:i+1] {
				old.dropped = true
			}
			return
		}
	}
}

func (h *harness) recordReturned(ids []tracker.WaiterID) {
	for _, id := range ids {
		if h.returned[id] {
			h.t.Fatalf("waiter %d is returned twice", id)
		}
		h.returned[id] = true
	}
}

// check compares the states of all jobs in the tracker and in the reference.
func (h *harness) check(*rapid.T) {
	for key, j := range h.reference {
		view, lookup := h.tracker.View(key), h.tracker.Lookup(key, j.submittedAt)
		if j.dropped {
			if view != nil || lookup != tracker.Dropped && lookup != tracker.TooOld {
				h.t.Fatalf("%v was dropped, but the tracker returns %v", key, lookup)
			}
			continue
		}
		if lookup != tracker.Tracked || view == nil || view.Phase != j.phase || h.tracker.Lookup(key, j.submittedAt+1) != tracker.OtherTime {
			h.t.Fatalf("%v is in phase %v, but the tracker returns %v, %+v", key, j.phase, lookup, view)
		}
		for i := range j.states {
			if view.Results[i].State != j.states[i] || string(view.Results[i].Body) != j.bodies[i] {
				h.t.Fatalf("%v: task %d is %v, but the tracker returns %+v", key, i, j.states[i], view.Results[i])
			}
		}
		for id := range j.waiting {
			if h.returned[id] {
				h.t.Fatalf("waiter %d of %v was returned too early", id, key)
			}
		}
	}
}

func (h *harness) begin(t *rapid.T) {
	key, at := h.key(), h.wall-rapid.Int64Range(-5000, 25_000).Draw(t, "age")
	known := h.tracker.Lookup(key, at)
	j := h.reference[key]
	switch {
	case h.accepted[submissionID{key, at}] && known == tracker.Unknown:
		t.Fatalf("%v with submission time %d was accepted before, but could run again", key, at)
	case j == nil && known != tracker.Unknown && at > h.newest-claimRetention.Milliseconds() && at > h.highestDropped():
		t.Fatalf("%v is new, but the tracker returns %v", key, known)
	case known != tracker.Unknown:
		return
	}
	if j != nil {
		h.replacedBound = max(h.replacedBound, j.submittedAt+1000)
	}
	tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
	h.tracker.Begin(h.now, &job.Submission{Key: key, SubmittedAt: at, Tasks: make([]job.Task, tasks)})
	h.reference[key] = &referenceJob{submittedAt: at, states: make([]job.State, tasks), bodies: make([]string, tasks), waiting: map[tracker.WaiterID]bool{}}
}

// highestDropped returns an upper bound of the floor, which the tracker raises when it drops a
// tombstone for lack of capacity. Package expiry drops tombstones in buckets of 1 s, so the floor can
// be up to 1000 ms above the submission time of a dropped job.
func (h *harness) highestDropped() int64 {
	highest := h.replacedBound
	for _, j := range h.reference {
		if j.dropped {
			highest = max(highest, j.submittedAt+1000)
		}
	}
	return highest
}

func (h *harness) finish(t *rapid.T) {
	key := h.key()
	j := h.reference[key]
	if j == nil || j.dropped {
		return
	}
	task := rapid.IntRange(0, len(j.states)-1).Draw(t, "task")
	result := job.Result{State: job.State(rapid.IntRange(int(job.Done), int(job.MayHaveRun)).Draw(t, "state"))}
	result.Body = make([]byte, rapid.IntRange(0, 1000).Draw(t, "size"))
	ended, ids := h.tracker.Finish(h.now, key, task, result)
	h.recordReturned(ids)
	if j.phase != tracker.Running || j.states[task].Final() {
		return
	}
	j.states[task], j.bodies[task] = result.State, string(result.Body)
	for _, state := range j.states {
		if !state.Final() {
			return
		}
	}
	if !ended {
		t.Fatalf("%v has ended, but the tracker did not report it", key)
	}
	j.phase = tracker.Complete
	for _, state := range j.states {
		if state != job.Done {
			j.phase = tracker.Failed
		}
	}
	h.ended++
	j.ended, j.order = h.now, h.ended
	for id := range j.waiting {
		if !h.returned[id] {
			t.Fatalf("waiter %d was not returned at the end of the job", id)
		}
	}
	j.waiting = nil
	h.enforceRetention()
}

// TestTrackerAgainstReference guards against lost waiters, wrong states, results that are dropped
// too early or too late, and ids that could run a second time.
func TestTrackerAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, reference: map[job.Key]*referenceJob{}, wall: baseMillis, newest: baseMillis, now: time.Hour, returned: map[tracker.WaiterID]bool{}, accepted: map[submissionID]bool{}}
		h.tracker = tracker.New(tracker.Config{
			ResultRetention: resultRetention, ClaimRetention: claimRetention, MaxFinishedJobs: maxFinishedJobs, MaxFinishedBytes: maxFinishedBytes, MaxTombstones: 2,
		})
		h.tracker.Advance(h.now, h.wall)
		t.Repeat(map[string]func(*rapid.T){
			// An operation listed under several keys is drawn more often. rapid draws from the sorted list
			// of keys: if the position of a key changes, a fixed seed yields a different sequence of steps.
			"": h.check, "begin 1": h.begin, "begin 2": h.begin, "finish 1": h.finish, "finish 2": h.finish, "finish 3": h.finish,
			"accept 1": h.accept, "accept 2": h.accept,
			"remove": func(t *rapid.T) {
				key := h.key()
				if j := h.reference[key]; j != nil && j.phase == tracker.Claiming {
					h.recordReturned(h.tracker.Remove(key))
					for id := range j.waiting {
						if !h.returned[id] {
							t.Fatalf("waiter %d was not returned when the job was removed", id)
						}
					}
					delete(h.reference, key)
				}
			},
			"started": func(*rapid.T) {
				key := h.key()
				h.tracker.Started(key, 0)
				if j := h.reference[key]; j != nil && !j.dropped && j.states[0] == job.Queued {
					j.states[0] = job.Started
				}
			},
			"wait": h.wait, "end wait": h.endWait,
			"advance": func(t *rapid.T) {
				step := rapid.Int64Range(0, 6000).Draw(t, "ms")
				h.now += time.Duration(step) * time.Millisecond
				h.wall += step - rapid.Int64Range(0, 3000).Draw(t, "set back")
				h.newest = max(h.newest, h.wall)
				h.tracker.Advance(h.now, h.wall)
				for _, j := range h.reference {
					if j.phase > tracker.Running && h.now-j.ended >= resultRetention {
						j.dropped = true
					}
				}
			},
		})
	})
}

func (h *harness) accept(t *rapid.T) {
	key := h.key()
	submission, ids := h.tracker.Accept(key)
	h.recordReturned(ids)
	j := h.reference[key]
	if (submission != nil) != (j != nil && j.phase == tracker.Claiming) {
		t.Fatalf("Accept of %v returned %v", key, submission)
	}
	if submission == nil {
		return
	}
	j.phase = tracker.Running
	h.accepted[submissionID{key, j.submittedAt}] = true
	for id, waitEnded := range j.waiting {
		if waitEnded != h.returned[id] {
			t.Fatalf("waiter %d: waiting time over: %v, returned: %v", id, waitEnded, h.returned[id])
		}
		if waitEnded {
			delete(j.waiting, id)
		}
	}
}

func (h *harness) wait(t *rapid.T) {
	key := h.key()
	h.lastWaiterID++
	j := h.reference[key]
	open := j != nil && j.phase <= tracker.Running
	if h.tracker.AddWaiter(key, h.lastWaiterID) != open {
		t.Fatalf("AddWaiter for %v did not return %v", key, open)
	}
	if open {
		j.waiting[h.lastWaiterID] = false
	}
}

func (h *harness) endWait(t *rapid.T) {
	key := h.key()
	j := h.reference[key]
	if j == nil || len(j.waiting) == 0 {
		return
	}
	var ids []tracker.WaiterID
	for id := range j.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "waiter")
	if rapid.IntRange(0, 3).Draw(t, "remove waiter") == 0 {
		h.tracker.RemoveWaiter(key, id)
		delete(j.waiting, id)
		return
	}
	removed := h.tracker.EndWait(key, id)
	if removed != (j.phase == tracker.Running) {
		t.Fatalf("EndWait for %v in phase %v returned %v", key, j.phase, removed)
	}
	if removed {
		delete(j.waiting, id)
		return
	}
	j.waiting[id] = true
}
