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
	baseMillis  = int64(1_800_000_000_000)
	keepResults = 10 * time.Second
	keepClaims  = 20 * time.Second
	keepJobs    = 3
	keepBytes   = 3000
)

// naiveJob is a job of the reference implementation, which keeps everything and decides by
// looking at all of it.
type naiveJob struct {
	at      int64
	states  []job.State
	bodies  []string
	phase   tracker.Phase
	ended   time.Duration
	order   int
	dropped bool
	waiting map[tracker.Token]bool // value: the wait is over
}

// naiveRun identifies a job that was accepted.
type naiveRun struct {
	key job.Key
	at  int64
}

type pair struct {
	t      *rapid.T
	real   *tracker.Tracker
	naive  map[job.Key]*naiveJob
	now    time.Duration
	wall   int64
	newest int64 // highest reading of the clock
	lost   int64 // highest time of a dropped job whose id is in use again
	ran    map[naiveRun]bool
	ended  int
	tokens tracker.Token
	given  map[tracker.Token]bool // waiters that have an answer
}

func (p *pair) key() job.Key {
	return job.Key{Organisation: "org", ID: fmt.Sprint(rapid.IntRange(0, 7).Draw(p.t, "id"))}
}

// retain drops what the reference would drop: too old, too many or too large, oldest first.
func (p *pair) retain() {
	var kept []*naiveJob
	for _, n := range p.naive {
		if n.phase > tracker.Running && !n.dropped {
			kept = append(kept, n)
		}
	}
	slices.SortFunc(kept, func(a, b *naiveJob) int { return a.order - b.order })
	size := 0
	for i := len(kept) - 1; i >= 0; i-- {
		for _, body := range kept[i].bodies {
			size += 160 + len(body)
		}
		newest := i == len(kept)-1
		if !newest && (len(kept)-i > keepJobs || size > keepBytes) {
			for _, old := range kept[:i+1] {
				old.dropped = true
			}
			return
		}
	}
}

func (p *pair) take(tokens []tracker.Token) {
	for _, token := range tokens {
		if p.given[token] {
			p.t.Fatalf("waiter %d is answered twice", token)
		}
		p.given[token] = true
	}
}

// check compares what both know about every id.
func (p *pair) check(*rapid.T) {
	for key, n := range p.naive {
		view, look := p.real.View(key), p.real.Lookup(key, n.at)
		if n.dropped {
			if view != nil || look != tracker.Dropped && look != tracker.TooOld {
				p.t.Fatalf("%v was dropped, but the tracker says %v", key, look)
			}
			continue
		}
		if look != tracker.Active || view == nil || view.Phase != n.phase || p.real.Lookup(key, n.at+1) != tracker.OtherTime {
			p.t.Fatalf("%v is in phase %v, but the tracker says %v, %+v", key, n.phase, look, view)
		}
		for i := range n.states {
			if view.Results[i].State != n.states[i] || string(view.Results[i].Body) != n.bodies[i] {
				p.t.Fatalf("%v: task %d is %v, but the tracker says %+v", key, i, n.states[i], view.Results[i])
			}
		}
		for token := range n.waiting {
			if p.given[token] {
				p.t.Fatalf("waiter %d of %v was answered too early", token, key)
			}
		}
	}
}

func (p *pair) begin(t *rapid.T) {
	key, at := p.key(), p.wall-rapid.Int64Range(-5000, 25_000).Draw(t, "age")
	known := p.real.Lookup(key, at)
	n := p.naive[key]
	switch {
	case p.ran[naiveRun{key, at}] && known == tracker.Unknown:
		t.Fatalf("%v was accepted at %d before, but may run again", key, at)
	case n == nil && known != tracker.Unknown && at > p.newest-keepClaims.Milliseconds() && at > p.highestDropped():
		t.Fatalf("%v is new, but the tracker says %v", key, known)
	case known != tracker.Unknown:
		return
	}
	if n != nil {
		p.lost = max(p.lost, n.at+1000)
	}
	tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
	p.real.Begin(p.now, &job.Submission{Key: key, SubmittedAt: at, Tasks: make([]job.Task, tasks)})
	p.naive[key] = &naiveJob{at: at, states: make([]job.State, tasks), bodies: make([]string, tasks), waiting: map[tracker.Token]bool{}}
}

// highestDropped bounds the floor that the tracker may have raised for lack of tombstones.
func (p *pair) highestDropped() int64 {
	highest := p.lost
	for _, n := range p.naive {
		if n.dropped {
			highest = max(highest, n.at+1000)
		}
	}
	return highest
}

func (p *pair) finish(t *rapid.T) {
	key := p.key()
	n := p.naive[key]
	if n == nil || n.dropped {
		return
	}
	task := rapid.IntRange(0, len(n.states)-1).Draw(t, "task")
	result := job.Result{State: job.State(rapid.IntRange(int(job.Done), int(job.MayHaveRun)).Draw(t, "state"))}
	result.Body = make([]byte, rapid.IntRange(0, 1000).Draw(t, "size"))
	ended, tokens := p.real.Finish(p.now, key, task, result)
	p.take(tokens)
	if n.phase != tracker.Running || n.states[task].Final() {
		return
	}
	n.states[task], n.bodies[task] = result.State, string(result.Body)
	for _, state := range n.states {
		if !state.Final() {
			return
		}
	}
	if !ended {
		t.Fatalf("%v has ended, but the tracker does not say so", key)
	}
	n.phase = tracker.Complete
	for _, state := range n.states {
		if state != job.Done {
			n.phase = tracker.Failed
		}
	}
	p.ended++
	n.ended, n.order = p.now, p.ended
	for token := range n.waiting {
		if !p.given[token] {
			t.Fatalf("waiter %d got no answer", token)
		}
	}
	n.waiting = nil
	p.retain()
}

// TestTrackerAgainstReference guards against lost waiters, wrong states, results that are dropped
// too early or too late, and ids that may run a second time.
func TestTrackerAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &pair{t: t, naive: map[job.Key]*naiveJob{}, wall: baseMillis, newest: baseMillis, now: time.Hour, given: map[tracker.Token]bool{}, ran: map[naiveRun]bool{}}
		p.real = tracker.New(tracker.Config{
			ResultRetention: keepResults, ClaimRetention: keepClaims, MaxFinishedJobs: keepJobs, MaxFinishedBytes: keepBytes, MaxTombstones: 2,
		})
		p.real.Advance(p.now, p.wall)
		t.Repeat(map[string]func(*rapid.T){
			"": p.check, "begin": p.begin, "begin again": p.begin, "finish": p.finish, "finish more": p.finish, "finish again": p.finish,
			"accept": p.accept, "accept more": p.accept,
			"remove": func(t *rapid.T) {
				key := p.key()
				if n := p.naive[key]; n != nil && n.phase == tracker.Claiming {
					p.take(p.real.Remove(key))
					for token := range n.waiting {
						if !p.given[token] {
							t.Fatalf("waiter %d got no answer", token)
						}
					}
					delete(p.naive, key)
				}
			},
			"started": func(*rapid.T) {
				key := p.key()
				p.real.Started(key, 0)
				if n := p.naive[key]; n != nil && !n.dropped && n.states[0] == job.Queued {
					n.states[0] = job.Started
				}
			},
			"wait": p.wait, "cut": p.cut,
			"advance": func(t *rapid.T) {
				step := rapid.Int64Range(0, 6000).Draw(t, "ms")
				p.now += time.Duration(step) * time.Millisecond
				p.wall += step - rapid.Int64Range(0, 3000).Draw(t, "set back")
				p.newest = max(p.newest, p.wall)
				p.real.Advance(p.now, p.wall)
				for _, n := range p.naive {
					if n.phase > tracker.Running && p.now-n.ended >= keepResults {
						n.dropped = true
					}
				}
			},
		})
	})
}

func (p *pair) accept(t *rapid.T) {
	key := p.key()
	submission, tokens := p.real.Accept(key)
	p.take(tokens)
	n := p.naive[key]
	if (submission != nil) != (n != nil && n.phase == tracker.Claiming) {
		t.Fatalf("accept of %v: %v", key, submission)
	}
	if submission == nil {
		return
	}
	n.phase = tracker.Running
	p.ran[naiveRun{key, n.at}] = true
	for token, cut := range n.waiting {
		if cut != p.given[token] {
			t.Fatalf("waiter %d: cut %v, answered %v", token, cut, p.given[token])
		}
		if cut {
			delete(n.waiting, token)
		}
	}
}

func (p *pair) wait(t *rapid.T) {
	key := p.key()
	p.tokens++
	n := p.naive[key]
	open := n != nil && n.phase <= tracker.Running
	if p.real.AddWaiter(key, p.tokens) != open {
		t.Fatalf("wait for %v is not %v", key, open)
	}
	if open {
		n.waiting[p.tokens] = false
	}
}

func (p *pair) cut(t *rapid.T) {
	key := p.key()
	n := p.naive[key]
	if n == nil || len(n.waiting) == 0 {
		return
	}
	var tokens []tracker.Token
	for token := range n.waiting {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	token := rapid.SampledFrom(tokens).Draw(t, "token")
	if rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
		p.real.RemoveWaiter(key, token)
		delete(n.waiting, token)
		return
	}
	answered := p.real.EndWait(key, token)
	if answered != (n.phase == tracker.Running) {
		t.Fatalf("cut of %v in phase %v: %v", key, n.phase, answered)
	}
	if answered {
		delete(n.waiting, token)
		return
	}
	n.waiting[token] = true
}
