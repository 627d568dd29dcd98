package scheduler_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/scheduler"
	"pollenpaddle/internal/testutil/simworker"
)

const (
	// oneWay is the time of a message between an entry and an agent.
	oneWay = 1500 * time.Microsecond
	// workerCall is the time of a call to the worker, one way.
	workerCall = 300 * time.Microsecond
	tickStep   = 500 * time.Microsecond
	service    = "logs"
)

// node is an agent with its worker.
type node struct {
	id          scheduler.AgentID
	machine     *runner.Machine
	worker      *simworker.Worker
	lives       int64
	slowness    float64
	fails       float64 // share of runs that fail at once
	hangs       float64 // share of runs that never end by themselves
	unreachable bool    // nothing passes between it and the entries
	mute        float64 // share of calls to the worker that get no answer and are carried out seconds later
	polls       []delivery
}

// front is an entry.
type front struct {
	id        runner.EntryID
	machine   *scheduler.Machine
	connected map[string]bool
	session   map[string]int // number of the newest session with each agent
	dead      bool
}

// delivery is something that happens at a time.
type delivery struct {
	at time.Duration
	do func()
}

// outcome is what a caller saw of a job.
type outcome struct {
	scheduler.Decided
	submitted, answered time.Duration
	actual              time.Duration // run time of its longest task at mean speed
	objective           time.Duration // from the actual run time
}

// installation joins entries and agents in simulated time. Its oracle watches the workers.
type installation struct {
	now       time.Duration
	random    *rand.Rand
	nodes     []*node
	fronts    []*front
	agenda    []delivery
	actual    map[run.Task]time.Duration // run time at mean speed
	poisoned  map[string]bool
	began     map[string]int // runs that have begun, by job
	outcomes  map[string]*outcome
	placed    map[string]int                     // runs that entries reported as ordered, by job
	views     map[string][]scheduler.Eligibility // what entries reported of each agent
	ordered   []*outcome
	lastJob   int
	incarnate uint64
}

var workerCapacity = job.Resources{MilliProcessors: 64000, MemoryBytes: 256 << 30}

func newInstallation(entries, agents int) *installation {
	i := &installation{
		now: time.Hour, random: rand.New(rand.NewPCG(20261204, 3)), actual: map[run.Task]time.Duration{}, poisoned: map[string]bool{},
		began: map[string]int{}, outcomes: map[string]*outcome{},
		placed: map[string]int{}, views: map[string][]scheduler.Eligibility{},
	}
	for k := range agents {
		n := &node{slowness: 1}
		i.nodes = append(i.nodes, n)
		i.startAgent(n, fmt.Sprintf("agent-%02d", k))
		i.bear(n)
	}
	for k := range entries {
		f := &front{connected: map[string]bool{}, session: map[string]int{}}
		i.fronts = append(i.fronts, f)
		i.startEntry(f, fmt.Sprintf("entry-%d", k))
	}
	i.advance(time.Second)
	return i
}

func (i *installation) startAgent(n *node, id string) {
	i.incarnate++
	n.id = scheduler.AgentID{ID: id, Incarnation: i.incarnate}
	n.machine = runner.New(runner.Config{Token: i.incarnate})
}

// bear starts a new life of a node's worker.
func (i *installation) bear(n *node) {
	n.lives++
	w := simworker.New("worker-"+n.id.ID, n.lives)
	n.worker = w
	w.Started = func(id run.ID) { i.started(n, id) }
	w.Plan = func(a runner.Start) (time.Duration, run.Outcome) { return i.plan(n, a.Run.Task) }
	i.announce(n)
}

func (i *installation) announce(n *node) {
	i.stepAgent(n, runner.WorkerAnnounced{
		Worker: n.worker.ID, Sequence: uint64(i.now), Service: service, Capacity: workerCapacity, Clock: n.worker.Clock(i.now),
	})
}

func (i *installation) plan(n *node, task run.Task) (time.Duration, run.Outcome) {
	length := time.Duration(float64(i.actual[task]) * n.slowness)
	switch {
	case i.poisoned[task.Job]:
		return length / 2, run.Failed
	case i.random.Float64() < n.fails:
		return 2 * time.Millisecond, run.Failed
	case i.random.Float64() < n.hangs:
		return time.Hour, run.Done
	}
	return length, run.Done
}

// started is the oracle of starts.
func (i *installation) started(at *node, id run.ID) {
	for _, n := range i.nodes {
		for _, r := range n.worker.Running {
			if r.ID.Task == id.Task && (n != at || r.ID != id) && !n.worker.Down {
				ginkgo.Fail(fmt.Sprintf("%v starts on %s while %v runs on %s", id, at.id.ID, r.ID, n.id.ID))
			}
		}
	}
	i.began[id.Task.Job]++
	if o := i.outcomes[id.Task.Job]; o != nil && o.Verdict == scheduler.Rejected {
		ginkgo.Fail(fmt.Sprintf("%v starts although its job was rejected", id))
	}
}

func (i *installation) startEntry(f *front, id string) {
	i.incarnate++
	f.id, f.dead = runner.EntryID{ID: id, Incarnation: i.incarnate}, false
	f.machine = scheduler.New(scheduler.Config{Seed: i.incarnate})
	clear(f.connected)
	for _, n := range i.nodes {
		i.connect(f, n)
	}
}

func (i *installation) connect(f *front, n *node) {
	if f.dead || n.unreachable || f.connected[n.id.ID] {
		return
	}
	f.connected[n.id.ID] = true
	f.session[n.id.ID]++
	i.stepEntry(f, scheduler.AgentConnected{Agent: n.id, AvailabilityZone: "a"})
	i.stepAgent(n, runner.Connected{Entry: f.id})
}

func (i *installation) disconnect(f *front, n *node) {
	if !f.connected[n.id.ID] {
		return
	}
	f.connected[n.id.ID] = false
	if !f.dead {
		i.stepEntry(f, scheduler.AgentDisconnected{Agent: n.id})
	}
	i.stepAgent(n, runner.Disconnected{Entry: f.id})
}

// killEntry ends an entry; its sessions are reset.
func (i *installation) killEntry(f *front) {
	f.dead = true
	for _, n := range i.nodes {
		i.disconnect(f, n)
	}
}

// killAgent ends an agent's process and starts another one. The worker goes on.
func (i *installation) killAgent(n *node) {
	for _, f := range i.fronts {
		i.disconnect(f, n)
	}
	i.startAgent(n, n.id.ID)
	i.announce(n)
	for _, f := range i.fronts {
		i.connect(f, n)
	}
}

func (i *installation) at(delay time.Duration, do func()) {
	i.agenda = append(i.agenda, delivery{at: i.now + delay, do: do})
}

func (i *installation) stepAgent(n *node, event runner.Event) {
	agent := n.id
	for _, action := range n.machine.Step(i.now, event) {
		if send, ok := action.(runner.Send); ok {
			i.toEntry(n, agent, send)
			continue
		}
		i.at(workerCall, func() { i.callWorker(n, agent, action) })
	}
}

func (i *installation) toEntry(n *node, agent scheduler.AgentID, send runner.Send) {
	for _, f := range i.fronts {
		session := f.session[agent.ID]
		i.at(oneWay, func() {
			if f.id == send.Entry && !f.dead && f.connected[agent.ID] && f.session[agent.ID] == session && n.id == agent && !n.unreachable {
				i.stepEntry(f, scheduler.AgentMessage{Agent: agent, Message: send.Message})
			}
		})
	}
}

func (i *installation) callWorker(n *node, agent scheduler.AgentID, action runner.Action) {
	if n.worker.Down || n.id != agent {
		return // no answer: the worker is down, or the agent that made the call has been replaced
	}
	if i.random.Float64() < n.mute {
		i.leaveUnanswered(n, agent, action)
		return
	}
	var answer runner.Event
	delay := workerCall
	switch a := action.(type) {
	case runner.Start:
		answer = runner.StartReturned{Worker: a.Worker, Run: a.Run, Token: a.Token, Result: n.worker.Start(i.now, a), Clock: n.worker.Clock(i.now)}
	case runner.Stop:
		answer = runner.StopReturned{Worker: a.Worker, Run: a.Run, Token: a.Token, Result: n.worker.Stop(a)}
	case runner.Renew:
		if !a.OutOfBand && a.Wait > 0 {
			n.polls = append(n.polls, delivery{at: i.now + a.Wait, do: func() { i.report(n, agent, a, i.now) }})
			return
		}
		i.report(n, agent, a, i.now)
		return
	}
	i.at(delay, func() {
		if n.id == agent {
			i.stepAgent(n, answer)
		}
	})
}

// leaveUnanswered lets a call get no answer in time and carries it out later.
func (i *installation) leaveUnanswered(n *node, agent scheduler.AgentID, action runner.Action) {
	worker := n.worker
	late := 2*time.Second + time.Duration(i.random.Int64N(int64(10*time.Second)))
	var answer runner.Event
	timeout := runner.CallTimeout(action)
	switch a := action.(type) {
	case runner.Start:
		answer = runner.StartReturned{Worker: a.Worker, Run: a.Run, Token: a.Token, Result: runner.NoAnswer}
		i.at(late, func() { worker.Start(i.now, a) })
	case runner.Stop:
		answer = runner.StopReturned{Worker: a.Worker, Run: a.Run, Token: a.Token, Result: runner.NoAnswer}
		i.at(late, func() { worker.Stop(a) })
	case runner.Renew:
		answer = runner.Renewed{Worker: a.Worker, Sent: i.now, OutOfBand: a.OutOfBand, Token: a.Token, Result: runner.NoAnswer}
		i.at(late, func() { worker.Renew(i.now, a) })
	}
	i.at(timeout, func() {
		if n.id == agent {
			i.stepAgent(n, answer)
		}
	})
}

// report answers a renewal.
func (i *installation) report(n *node, agent scheduler.AgentID, a runner.Renew, sent time.Duration) {
	result, report := n.worker.Renew(i.now, a)
	i.at(workerCall, func() {
		if n.id == agent {
			i.stepAgent(n, runner.Renewed{Worker: a.Worker, Sent: sent, OutOfBand: a.OutOfBand, Token: a.Token, Result: result, Report: report})
		}
	})
}

func (i *installation) stepEntry(f *front, event scheduler.Event) {
	entry := f.id
	for _, action := range f.machine.Step(i.now, event) {
		switch a := action.(type) {
		case scheduler.Send:
			i.toAgent(f, entry, a)
		case scheduler.Decided:
			i.decided(a)
		case scheduler.Ordered:
			for _, p := range a.Placements {
				i.placed[a.Job] += p.Runs
			}
		case scheduler.EligibilityChanged:
			i.views[a.Agent.ID] = append(i.views[a.Agent.ID], a.Eligibility)
		}
	}
}

func (i *installation) toAgent(f *front, entry runner.EntryID, send scheduler.Send) {
	session := f.session[send.Agent.ID]
	i.at(oneWay, func() {
		for _, n := range i.nodes {
			if n.id == send.Agent && f.id == entry && f.connected[n.id.ID] && f.session[n.id.ID] == session && !n.unreachable {
				i.stepAgent(n, runner.Received{Entry: entry, Message: send.Message})
			}
		}
	})
}

func (i *installation) decided(d scheduler.Decided) {
	o := i.outcomes[d.Job]
	if o == nil || o.answered != 0 {
		ginkgo.Fail("a verdict on an unknown or decided job " + d.Job)
	}
	if d.Verdict == scheduler.Rejected && i.began[d.Job] > 0 {
		ginkgo.Fail("a job was rejected after a run of it had begun")
	}
	o.Decided, o.answered = d, i.now
}

// advance lets time pass.
func (i *installation) advance(d time.Duration) {
	for end := i.now + d; i.now < end; {
		i.now += tickStep
		var due []delivery
		i.agenda = slices.DeleteFunc(i.agenda, func(d delivery) bool {
			if d.at <= i.now {
				due = append(due, d)
				return true
			}
			return false
		})
		slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
		for _, d := range due {
			d.do()
		}
		for _, n := range i.nodes {
			i.tickNode(n)
		}
		for _, f := range i.fronts {
			if wake, ok := f.machine.NextWake(); ok && wake <= i.now && !f.dead {
				i.stepEntry(f, scheduler.Tick{})
			}
		}
	}
}

func (i *installation) tickNode(n *node) {
	ended := n.worker.Advance(i.now)
	polls := n.polls
	n.polls = nil
	for _, p := range polls {
		if ended || p.at <= i.now {
			p.do()
		} else {
			n.polls = append(n.polls, p)
		}
	}
	if wake, ok := n.machine.NextWake(); ok && wake <= i.now {
		i.stepAgent(n, runner.Tick{})
	}
}
