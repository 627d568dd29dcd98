package dispatch_test

import (
	"math"
	"strconv"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/request/startgate"
)

// fakeAgent is a simulated agent: a real startgate.Machine and a simulated upstream that runs each task
// for its nominal time divided by the agent's speed.
type fakeAgent struct {
	sim     *simulation
	index   int
	zone    int
	speed   float64
	slots   int
	gate    *startgate.Machine
	broken  bool // fails every task after a millisecond
	silent  bool // sends no further announcements
	wake    time.Duration
	running int
	starts  int
	failed  int
	called  map[wire.StartID]bool
}

func newFakeAgent(sim *simulation, index int, speed float64, slots int) *fakeAgent {
	return &fakeAgent{
		sim: sim, index: index, zone: index % 3, speed: speed, slots: slots, called: map[wire.StartID]bool{},
		gate: startgate.New(startgate.Config{Incarnation: 1}),
	}
}

func (a *fakeAgent) id() dispatch.AgentID {
	return dispatch.AgentID{ID: "a" + strconv.Itoa(a.index), Incarnation: 1}
}

// connect opens sessions with all entries and starts the periodic announcements.
func (a *fakeAgent) connect() {
	a.step(startgate.LeaseChanged{Deadline: math.MaxInt64})
	for i := range a.sim.entries {
		a.step(startgate.Connected{Entry: startgate.EntryID{ID: entryName(i)}})
	}
	a.announce()
}

func (a *fakeAgent) announce() {
	if a.silent {
		return
	}
	a.step(startgate.Announced{Deadline: a.sim.now + 3*time.Second, Announce: wire.Announce{
		Upstream: "u", Rack: "r" + strconv.Itoa(a.index/3), Slots: a.slots, Connections: 64,
		Capacity: job.Resources{MilliProcessors: 64000}, TTL: 3 * time.Second,
	}})
	a.sim.after(time.Second, a.announce)
}

func (a *fakeAgent) receive(from *entry, message wire.Message) {
	a.step(startgate.Received{Entry: startgate.EntryID{ID: from.name}, Message: message})
}

func (a *fakeAgent) step(event startgate.Event) {
	sim := a.sim
	for _, action := range a.gate.Step(sim.now, event) {
		switch action := action.(type) {
		case startgate.Send:
			e := sim.entry(action.Entry.ID)
			sim.after(latency(a.zone, e.zone), func() { e.step(dispatch.AgentMessage{Agent: a.id(), Message: action.Message}) })
		case startgate.Call:
			a.call(action.ID, action.Task)
		}
	}
	if wake, ok := a.gate.NextWake(); ok && (a.wake <= sim.now || wake < a.wake) {
		// The gate may report a wake time in the past for a load report that is no longer needed.
		a.wake = max(wake, sim.now+time.Millisecond)
		at := a.wake
		sim.after(at-sim.now, func() {
			if a.wake == at {
				a.step(startgate.Tick{})
			}
		})
	}
}

func (a *fakeAgent) call(id wire.StartID, task job.Task) {
	if a.called[id] {
		panic("a start ran twice")
	}
	a.called[id] = true
	a.running++
	a.starts++
	nominal, _ := strconv.ParseInt(task.Path, 10, 64)
	run := time.Duration(float64(nominal) / a.speed)
	result := job.Result{State: job.Done, Status: 200, RunTime: run}
	if a.broken {
		run = time.Millisecond
		result = job.Result{State: job.Failed, Status: 500, RunTime: run, FailureKind: failure.UpstreamFailed}
		a.failed++
	}
	a.sim.after(run, func() {
		a.running--
		a.step(startgate.CallEnded{ID: id, Result: result})
	})
}
