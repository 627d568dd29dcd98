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

// simulation runs dispatch machines and fake agents on one virtual clock.
type simulation struct {
	now        time.Duration
	events     eventHeap
	eventCount int
	random     *rand.Rand
	entries    []*entry
	agents     []*fakeAgent
	jobs       map[job.Key]*jobRecord
	submitted  []*jobRecord
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
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

func (sim *simulation) after(d time.Duration, run func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.eventCount, run: run})
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// jobRecord is the state of one submission in the simulation.
type jobRecord struct {
	submission    *job.Submission
	submittedAt   time.Duration
	longestTask   time.Duration // nominal run time of the longest task
	idealResponse time.Duration
	response      time.Duration // zero while open
	openTasks     int
	doneTasks     int
	rejected      bool
	results       []job.Result
}

type entry struct {
	sim     *simulation
	name    string
	machine *dispatch.Machine
	zone    int
	wake    time.Duration
}

func (e *entry) step(ev dispatch.Event) {
	sim := e.sim
	for _, action := range e.machine.Step(sim.now, ev) {
		switch a := action.(type) {
		case dispatch.Send:
			target := sim.agent(a.Agent.ID)
			sim.after(latency(e.zone, target.zone), func() { target.receive(e, a.Message) })
		case dispatch.TaskFinished:
			sim.finish(a.Key, a.Task, a.Result)
		case dispatch.Rejected:
			sim.jobs[a.Key].rejected = true
			sim.jobs[a.Key].openTasks = 0
		case dispatch.ReportUsage:
			for _, peer := range sim.entries {
				if peer != e {
					sim.after(latency(e.zone, peer.zone), func() {
						peer.step(dispatch.PeerUsage{Entry: e.name, Report: a.Report})
					})
				}
			}
		}
	}
	if wake, ok := e.machine.NextWake(); ok && (e.wake <= sim.now || wake < e.wake) {
		e.wake = max(wake, sim.now+time.Microsecond)
		at := e.wake
		sim.after(at-sim.now, func() {
			if e.wake == at {
				e.step(dispatch.Tick{})
			}
		})
	}
}

func (sim *simulation) finish(key job.Key, index int, result job.Result) {
	r := sim.jobs[key]
	r.results[index] = result
	r.openTasks--
	if result.State == job.Done {
		r.doneTasks++
	}
	if r.openTasks == 0 {
		r.response = sim.now - r.submittedAt
	}
}

func (sim *simulation) agent(id string) *fakeAgent {
	i, _ := strconv.Atoi(id[1:])
	return sim.agents[i]
}

func (sim *simulation) entry(name string) *entry {
	i, _ := strconv.Atoi(name[1:])
	return sim.entries[i]
}

func entryName(i int) string { return "e" + strconv.Itoa(i) }

// latency returns the one-way network latency between zones.
func latency(a, b int) time.Duration {
	if a == b {
		return 250 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

// simulationConfig describes a simulation.
type simulationConfig struct {
	policy  string
	seed    uint64
	entries int
	speeds  []float64
	slots   int
	config  func(*dispatch.Config)
	catalog *catalog.State
	broken  func(agent int) bool
}

// agentSpeeds returns ten speeds in a ratio of 4 to 1 with a geometric mean of one.
func agentSpeeds() []float64 {
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

func newSimulation(s simulationConfig) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(s.seed, 1)), jobs: map[job.Key]*jobRecord{}}
	for i := range s.entries {
		config := dispatch.Config{Policy: s.policy, Seed: s.seed + uint64(i), Entry: entryName(i), AvailabilityZone: "z" + strconv.Itoa(i%3)}
		if s.config != nil {
			s.config(&config)
		}
		sim.entries = append(sim.entries, &entry{sim: sim, name: entryName(i), machine: dispatch.New(config), zone: i % 3})
	}
	for i, speed := range s.speeds {
		a := newFakeAgent(sim, i, speed, s.slots)
		a.broken = s.broken != nil && s.broken(i)
		sim.agents = append(sim.agents, a)
	}
	for _, e := range sim.entries {
		e.step(dispatch.Configured{State: s.catalog})
		e.step(dispatch.LeaseChanged{Deadline: math.MaxInt64})
		for _, a := range sim.agents {
			e.step(dispatch.AgentConnected{Agent: a.id(), AvailabilityZone: "z" + strconv.Itoa(a.zone)})
		}
	}
	for _, a := range sim.agents {
		a.connect()
	}
	return sim
}

// submit sends a job to an entry and records its ideal response time: the nominal run time of its
// longest task on the fastest free slot.
func (sim *simulation) submit(at int, s *job.Submission, nominal []time.Duration) *jobRecord {
	r := &jobRecord{submission: s, submittedAt: sim.now, longestTask: slices.Max(nominal), openTasks: len(s.Tasks), results: make([]job.Result, len(s.Tasks))}
	r.idealResponse = time.Duration(float64(r.longestTask) / sim.fastestFree())
	sim.jobs[s.Key] = r
	sim.submitted = append(sim.submitted, r)
	for i := range s.Tasks {
		s.Tasks[i].Path = strconv.FormatInt(int64(nominal[i]), 10)
	}
	sim.entries[at].step(dispatch.Submitted{Submission: s})
	return r
}

// fastestFree returns the speed of the fastest free slot, or of the fastest slot if none is free.
func (sim *simulation) fastestFree() float64 {
	free, all := 0.0, 0.0
	for _, a := range sim.agents {
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
