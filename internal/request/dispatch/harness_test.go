package dispatch_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/version/catalog"
)

// world joins dispatch machines and fake agents under one virtual clock.
type world struct {
	now     time.Duration
	events  eventHeap
	counter int
	random  *rand.Rand
	entries []*entry
	agents  []*fakeAgent
	jobs    map[job.Key]*record
	order   []*record
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last].run = nil
	*h = (*h)[:last]
	return e
}

func (w *world) after(d time.Duration, run func()) {
	w.counter++
	heap.Push(&w.events, event{at: w.now + d, order: w.counter, run: run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// record is what the world knows of one submission.
type record struct {
	submission *job.Submission
	at         time.Duration
	longest    time.Duration // nominal run time of the longest task
	ideal      time.Duration
	response   time.Duration // zero while open
	open       int
	done       int
	rejected   bool
	states     []job.Result
}

type entry struct {
	w       *world
	name    string
	machine *dispatch.Machine
	zone    int
	wake    time.Duration
}

func (e *entry) step(ev dispatch.Event) {
	w := e.w
	for _, action := range e.machine.Step(w.now, ev) {
		switch a := action.(type) {
		case dispatch.Send:
			target := w.agent(a.Agent.ID)
			w.after(latency(e.zone, target.zone), func() { target.receive(e, a.Message) })
		case dispatch.TaskFinished:
			w.finish(a.Key, a.Task, a.Result)
		case dispatch.Rejected:
			w.jobs[a.Key].rejected = true
			w.jobs[a.Key].open = 0
		case dispatch.ReportUsage:
			for _, peer := range w.entries {
				if peer != e {
					w.after(latency(e.zone, peer.zone), func() {
						peer.step(dispatch.PeerUsage{Entry: e.name, Report: a.Report})
					})
				}
			}
		}
	}
	if wake, ok := e.machine.NextWake(); ok && (e.wake <= w.now || wake < e.wake) {
		e.wake = max(wake, w.now+time.Microsecond)
		at := e.wake
		w.after(at-w.now, func() {
			if e.wake == at {
				e.step(dispatch.Tick{})
			}
		})
	}
}

func (w *world) finish(key job.Key, index int, result job.Result) {
	r := w.jobs[key]
	r.states[index] = result
	r.open--
	if result.State == job.Done {
		r.done++
	}
	if r.open == 0 {
		r.response = w.now - r.at
	}
}

func (w *world) agent(id string) *fakeAgent {
	i, _ := strconv.Atoi(id[1:])
	return w.agents[i]
}

func (w *world) entry(name string) *entry {
	i, _ := strconv.Atoi(name[1:])
	return w.entries[i]
}

func entryName(i int) string { return "e" + strconv.Itoa(i) }

// latency is the one-way time between zones.
func latency(a, b int) time.Duration {
	if a == b {
		return 250 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

// setup describes a world.
type setup struct {
	policy  string
	seed    uint64
	entries int
	speeds  []float64
	slots   int
	config  func(*dispatch.Config)
	catalog *catalog.State
	broken  func(agent int) bool
}

// tenSpeeds are ten speeds from 4 to 1 around a geometric mean of one.
func tenSpeeds() []float64 {
	speeds := make([]float64, 10)
	for i := range speeds {
		speeds[i] = math.Exp2(1 - float64(i)*2/9)
	}
	return speeds
}

func standardCatalog(entries int) *catalog.State {
	s := &catalog.State{Classes: []catalog.Class{
		{Name: "batch", Upstream: "u", AnswerWithin: 15 * time.Second, Share: 0.9},
		{Name: "short", Upstream: "u", AnswerWithin: 2 * time.Second, Share: 0.99},
	}}
	for i := range entries {
		s.Entries = append(s.Entries, catalog.Entry{ID: entryName(i)})
	}
	return s
}

func newWorld(s setup) *world {
	w := &world{random: rand.New(rand.NewPCG(s.seed, 1)), jobs: map[job.Key]*record{}}
	for i := range s.entries {
		config := dispatch.Config{Policy: s.policy, Seed: s.seed + uint64(i), Entry: entryName(i), AvailabilityZone: "z" + strconv.Itoa(i%3)}
		if s.config != nil {
			s.config(&config)
		}
		w.entries = append(w.entries, &entry{w: w, name: entryName(i), machine: dispatch.New(config), zone: i % 3})
	}
	for i, speed := range s.speeds {
		a := newFakeAgent(w, i, speed, s.slots)
		a.broken = s.broken != nil && s.broken(i)
		w.agents = append(w.agents, a)
	}
	for _, e := range w.entries {
		e.step(dispatch.Configured{State: s.catalog})
		e.step(dispatch.LeaseChanged{Deadline: math.MaxInt64})
		for _, a := range w.agents {
			e.step(dispatch.AgentConnected{Agent: a.id(), AvailabilityZone: "z" + strconv.Itoa(a.zone)})
		}
	}
	for _, a := range w.agents {
		a.connect()
	}
	return w
}

// submit hands a job to an entry and notes its ideal.
func (w *world) submit(at int, s *job.Submission, nominal []time.Duration) *record {
	r := &record{submission: s, at: w.now, longest: slices.Max(nominal), open: len(s.Tasks), states: make([]job.Result, len(s.Tasks))}
	r.ideal = time.Duration(float64(r.longest) / w.fastestFree())
	w.jobs[s.Key] = r
	w.order = append(w.order, r)
	for i := range s.Tasks {
		s.Tasks[i].Path = strconv.FormatInt(int64(nominal[i]), 10)
	}
	w.entries[at].step(dispatch.Submitted{Submission: s})
	return r
}

// fastestFree is the speed of the fastest free slot, or of the fastest slot if none is free.
func (w *world) fastestFree() float64 {
	free, all := 0.0, 0.0
	for _, a := range w.agents {
		all = max(all, a.speed)
		if a.running < a.slots {
			free = max(free, a.speed)
		}
	}
	if free == 0 {
		return all
	}
	return free
}
