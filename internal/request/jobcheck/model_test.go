package jobcheck_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/request/jobcheck"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.Main(m, testutil.RapidFlag{Name: "steps", Value: "60"}, testutil.RapidFlag{Name: "checks", Value: "400"})
}

const (
	tick           = 5 * time.Millisecond
	sessionTimeout = 3 * time.Second
	redialDelay    = 300 * time.Millisecond
	resubmitDelay  = 1300 * time.Millisecond
	stopTime       = 50 * time.Millisecond
)

// simulatedRun is the execution of a job that an entry has started.
type simulatedRun struct {
	delayed bool
	endsAt  time.Duration
	until   time.Duration // end of the wait of its caller, as far as the entry knows
}

// simulatedEntry is an entry. While it is stalled, it processes nothing.
type simulatedEntry struct {
	id                         wire.Claimant
	machine                    *jobcheck.Machine
	stalledSince, stalledUntil time.Duration
	inbox                      []jobcheck.Event
	runs                       map[string]*simulatedRun
	waiting                    map[string]bool // jobs that wait for a check; true if delayed
}

// simulatedLink is the connection between two entries.
type simulatedLink struct {
	cutSince, cutUntil time.Duration
	open               bool
	openAt             time.Duration
	queued             []delivery
}

type delivery struct {
	to    int
	at    time.Duration
	event jobcheck.Received
}

// arrival is a submission that reaches an entry at a time; delayed if that may be long after it was sent.
type arrival struct {
	at      time.Duration
	entry   int
	job     string
	delayed bool
}

// simulation has entries, the sessions between them, and callers that submit a job again while they get no response.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	wait     time.Duration // of each caller
	entries  []*simulatedEntry
	links    map[[2]int]*simulatedLink
	pairs    [][2]int // keys of links, in a fixed order
	arrivals []arrival
	jobs     int
	started  int
	recalled int
}

func newSimulation(t *rapid.T, n int) *simulation {
	s := &simulation{t: t, now: time.Hour, links: map[[2]int]*simulatedLink{}}
	s.wait = rapid.SampledFrom([]time.Duration{1500 * time.Millisecond, 6 * time.Second}).Draw(t, "wait of callers")
	for i := range n {
		s.entries = append(s.entries, &simulatedEntry{id: wire.Claimant{EntryID: fmt.Sprint("entry-", i)}})
		for k := range i {
			s.links[[2]int{k, i}] = &simulatedLink{}
			s.pairs = append(s.pairs, [2]int{k, i})
		}
	}
	for i := range n {
		s.start(i)
	}
	return s
}

func (s *simulation) start(i int) {
	e := s.entries[i]
	e.id.Incarnation++
	e.machine, e.inbox = jobcheck.New(e.id.EntryID), nil
	e.runs, e.waiting = map[string]*simulatedRun{}, map[string]bool{}
	configured := jobcheck.Configured{Revision: 1}
	for _, other := range s.entries {
		configured.Entries = append(configured.Entries, other.id.EntryID)
	}
	s.step(i, configured)
}

func (s *simulation) stalled(i int) bool { return s.now < s.entries[i].stalledUntil }

func (s *simulation) step(i int, event jobcheck.Event) {
	e := s.entries[i]
	if received, ok := event.(jobcheck.Received); ok {
		if check, ok := received.Message.(*wire.JobCheck); ok {
			received.Owned = e.runs[check.Job] != nil
			event = received
		}
	}
	actions := append([]jobcheck.Action(nil), e.machine.Step(s.now, event)...)
	for _, action := range actions {
		switch a := action.(type) {
		case jobcheck.Send:
			for k, other := range s.entries {
				if l := s.links[[2]int{min(i, k), max(i, k)}]; other.id == a.To && l.open {
					l.queued = append(l.queued, delivery{k, s.now + 2*tick, jobcheck.Received{From: e.id, Message: a.Message}})
				}
			}
		case jobcheck.Start:
			delayed, waits := e.waiting[a.Job]
			if !waits {
				s.t.Fatalf("%s starts %s, which does not wait", e.id.EntryID, a.Job)
			}
			delete(e.waiting, a.Job)
			if !delayed {
				s.recalled++
			}
			s.run(i, a.Job, delayed)
		case jobcheck.Refuse:
			if a.Error.RetryAfter <= 0 {
				s.t.Fatalf("refused without a retry delay: %v", a.Error)
			}
			delete(e.waiting, a.Job)
		case jobcheck.GiveUp:
			if r := e.runs[a.Job]; r != nil {
				r.endsAt = min(r.endsAt, s.now+stopTime)
			}
		}
	}
}

// submit hands a submission to an entry.
func (s *simulation) submit(a arrival) {
	e := s.entries[a.entry]
	if e.runs[a.job] != nil || s.now >= a.at+s.wait {
		return
	}
	s.step(a.entry, jobcheck.Tick{})
	if e.machine.Checking(a.job) || e.machine.Needed(s.now, a.job, a.delayed) {
		if _, waits := e.waiting[a.job]; !waits {
			e.waiting[a.job] = a.delayed
		}
		s.step(a.entry, jobcheck.Submitted{Job: a.job, Delayed: a.delayed})
		return
	}
	s.run(a.entry, a.job, a.delayed)
}

// run starts a job unless an earlier run of it here continues.
func (s *simulation) run(i int, job string, delayed bool) {
	if s.entries[i].runs[job] != nil {
		return
	}
	s.started++
	length := time.Duration(rapid.IntRange(10, int(s.wait.Milliseconds())).Draw(s.t, "run time")) * time.Millisecond
	s.entries[i].runs[job] = &simulatedRun{delayed: delayed, endsAt: s.now + length, until: s.now + s.wait}
}

// active reports whether workers execute the job for an entry. Agents stop the runs of an entry that is silent.
func (s *simulation) active(i int, job string) bool {
	e := s.entries[i]
	return e.runs[job] != nil && (!s.stalled(i) || s.now < e.stalledSince+runner.OwnerTimeout)
}

func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		s.updateLinks()
		for i := range s.entries {
			s.advanceEntry(i)
		}
		s.check()
	}
}

func (s *simulation) advanceEntry(i int) {
	e := s.entries[i]
	if s.stalled(i) {
		return
	}
	if e.stalledUntil != 0 {
		if s.now-e.stalledSince >= runner.OwnerTimeout { // the scheduler gives the jobs up first
			for job, r := range e.runs {
				if r.delayed || s.now >= r.until {
					delete(e.runs, job)
				}
			}
		}
		for k := range s.arrivals {
			s.arrivals[k].delayed = s.arrivals[k].delayed || s.arrivals[k].entry == i && s.now >= s.arrivals[k].at
		}
		e.stalledUntil = 0
	}
	for job, r := range e.runs {
		if s.now >= r.endsAt {
			delete(e.runs, job)
		}
	}
	inbox := e.inbox
	e.inbox = nil
	for _, event := range inbox {
		s.step(i, event)
	}
	var left []arrival
	for _, a := range s.arrivals {
		if a.entry == i && s.now >= a.at {
			s.submit(a)
			continue
		}
		left = append(left, a)
	}
	s.arrivals = left
	if due, ok := e.machine.NextWake(); ok && due <= s.now {
		s.step(i, jobcheck.Tick{})
	}
	for _, job := range e.machine.Running() {
		if e.runs[job] == nil {
			s.step(i, jobcheck.Over{Job: job})
		}
	}
}

func (s *simulation) updateLinks() {
	for _, pair := range s.pairs {
		l := s.links[pair]
		if s.now < l.cutUntil {
			if l.open && s.now-l.cutSince >= sessionTimeout {
				s.closeLink(pair, l)
			}
			continue
		}
		silent := false
		for _, i := range pair {
			e := s.entries[i]
			silent = silent || s.stalled(i) && s.now-e.stalledSince >= sessionTimeout
		}
		switch {
		case silent && l.open:
			s.closeLink(pair, l)
		case !silent && !l.open && s.now >= l.openAt && !s.stalled(pair[0]) && !s.stalled(pair[1]):
			l.open = true
			for k, i := range pair {
				s.entries[i].inbox = append(s.entries[i].inbox, jobcheck.PeerConnected{Entry: s.entries[pair[1-k]].id})
			}
		}
		var later []delivery
		for _, d := range l.queued {
			if s.now >= d.at {
				s.entries[d.to].inbox = append(s.entries[d.to].inbox, d.event)
				continue
			}
			later = append(later, d)
		}
		l.queued = later
	}
}

func (s *simulation) closeLink(pair [2]int, l *simulatedLink) {
	l.open, l.queued, l.openAt = false, nil, s.now+redialDelay
	for k, i := range pair {
		s.entries[i].inbox = append(s.entries[i].inbox, jobcheck.PeerDisconnected{Entry: s.entries[pair[1-k]].id})
	}
}

func (s *simulation) check() {
	for i, e := range s.entries {
		for job := range e.runs {
			for k := range i {
				if s.active(i, job) && s.active(k, job) {
					s.t.Fatalf("%s runs at %s and %s", job, e.id.EntryID, s.entries[k].id.EntryID)
				}
			}
		}
	}
}

// submitLate adds a caller whose first submission arrives late and whose connection stays open. It submits the job again
// to the next entry.
func (s *simulation) submitLate() {
	s.jobs++
	job := fmt.Sprint("job-", s.jobs)
	first := rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "entry")
	late := time.Duration(rapid.IntRange(0, 8000).Draw(s.t, "late")) * time.Millisecond
	s.arrivals = append(s.arrivals, arrival{s.now + late, first, job, true})
	for attempt := range rapid.IntRange(0, 2).Draw(s.t, "repetitions") {
		at := s.now + time.Duration(attempt+1)*(s.wait+resubmitDelay)
		again := arrival{at, (first + attempt + 1) % len(s.entries), job, false}
		if rapid.IntRange(0, 4).Draw(s.t, "second delayed") == 0 {
			again.at += time.Duration(rapid.IntRange(0, 3000).Draw(s.t, "late again")) * time.Millisecond
			again.delayed = true
		}
		s.arrivals = append(s.arrivals, again)
	}
}

// Guards against a job that two entries run at the same time because one of them got its submission late: whenever it
// arrives, and whatever stalls and cuts the entries see meanwhile.
func TestDelayedSubmissions(t *testing.T) {
	started, recalled := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(2, 4).Draw(t, "entries"))
		s.advance(5 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { s.submitLate() },
			"stall": func(t *rapid.T) {
				i := rapid.IntRange(0, len(s.entries)-1).Draw(t, "entry")
				if e := s.entries[i]; !s.stalled(i) && e.stalledUntil == 0 {
					e.stalledSince = s.now
					e.stalledUntil = s.now + time.Duration(rapid.IntRange(100, 7000).Draw(t, "stalled"))*time.Millisecond
				}
			},
			"cut": func(t *rapid.T) {
				k := rapid.IntRange(1, len(s.entries)-1).Draw(t, "entry")
				if l := s.links[[2]int{rapid.IntRange(0, k-1).Draw(t, "other"), k}]; s.now >= l.cutUntil {
					l.cutSince, l.cutUntil = s.now, s.now+time.Duration(rapid.IntRange(100, 6000).Draw(t, "cut"))*time.Millisecond
				}
			},
			"wait": func(t *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(5, 2000).Draw(t, "wait")) * time.Millisecond)
			},
		})
		s.advance(45 * time.Second)
		for _, e := range s.entries {
			if stats := e.machine.Stats(); stats.Running > 0 || len(e.waiting) > 0 {
				t.Fatalf("%s: %+v, waiting %v", e.id.EntryID, stats, e.waiting)
			}
		}
		started, recalled = started+s.started, recalled+s.recalled
	})
	t.Logf("%d jobs started, %d after another entry had given them up", started, recalled)
	if recalled == 0 {
		t.Error("no job was recalled")
	}
}
