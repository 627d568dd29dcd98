package runner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/testutil/simworker"
)

// choices enumerates all sequences of choices: a run takes the choices of the prefix and then the first option of
// each further choice.
type choices struct {
	prefix  []int
	options []int // number of options of each choice of this run
	names   []string
}

// choose returns the index of the option that this run takes.
func (c *choices) choose(options []string) int {
	taken := 0
	if n := len(c.options); n < len(c.prefix) {
		taken = c.prefix[n]
	} else {
		c.prefix = append(c.prefix, 0)
	}
	c.options = append(c.options, len(options))
	c.names = append(c.names, options[taken])
	return taken
}

// next prepares the next run. It returns false after the last one.
func (c *choices) next() bool {
	c.prefix = c.prefix[:len(c.options)]
	for n := len(c.options) - 1; n >= 0; n-- {
		if c.prefix[n]+1 < c.options[n] {
			c.prefix = c.prefix[:n+1]
			c.prefix[n]++
			c.options, c.names = nil, nil
			return true
		}
	}
	return false
}

// agentProcess is one process of the agent.
type agentProcess struct {
	machine *runner.Machine
	paused  bool
	ended   bool
}

// transit is a call to the worker that has not been executed yet.
type transit struct {
	from       *agentProcess
	action     runner.Action
	sent       time.Duration
	unanswered bool // the caller has given up waiting
}

// handOver is one task, ordered by one entry, while a process of the agent is replaced by the next one.
type handOver struct {
	*choices
	now      time.Duration
	worker   *simworker.Worker
	agents   []*agentProcess // the last one has the session with the entry
	transits []transit
	entry    runner.EntryID
	number   uint64 // of the last run that the entry has ordered
	open     bool   // the entry knows no outcome of that run
	over     map[uint64]bool
	orders   uint64
	fault    string
}

const (
	handOverTask = "0000000000000001"
	firstToken   = 1000
)

func newHandOver(c *choices) *handOver {
	h := &handOver{choices: c, now: time.Hour, entry: runner.EntryID{ID: "e", Incarnation: 1}, over: map[uint64]bool{}}
	h.worker = simworker.New("w", 1)
	h.worker.Plan = func(runner.Start) (time.Duration, run.Outcome) { return time.Hour, run.Done }
	h.worker.OnStart = h.checkStart
	h.startAgent(firstToken)
	h.execute(0) // the first report, before the first order
	h.order()
	return h
}

// startAgent starts a process of the agent, which opens a session with the entry. The token gets a tag of its own.
func (h *handOver) startAgent(token uint64) {
	a := &agentProcess{machine: runner.New(runner.Config{Token: token<<runner.TokenTagBits + uint64(len(h.agents))})}
	h.agents = append(h.agents, a)
	h.step(a, runner.Connected{Entry: h.entry})
	h.step(a, runner.WorkerAnnounced{
		Worker: h.worker.ID, Sequence: uint64(len(h.agents)), Service: "s", Capacity: job.Resources{MilliProcessors: 4000}, Clock: h.worker.Clock(h.now),
	})
}

func (h *handOver) current() *agentProcess { return h.agents[len(h.agents)-1] }

func (h *handOver) checkStart(id run.ID) {
	for _, r := range h.worker.Running {
		if r.ID != id {
			h.fault = fmt.Sprintf("%v starts while %v is in progress", id, r.ID)
		}
	}
	if h.over[id.Number] {
		h.fault = fmt.Sprintf("%v starts after the entry has learned that it is over", id)
	}
}

func (h *handOver) step(a *agentProcess, event runner.Event) {
	if a.ended || a.paused {
		return
	}
	for _, action := range slices.Clone(a.machine.Step(h.now, event)) {
		switch m := action.(type) {
		case runner.Send:
			if a == h.current() {
				h.receive(m.Message)
			}
		default:
			h.transits = append(h.transits, transit{from: a, action: action, sent: h.now})
		}
	}
}

// receive handles a message at the entry, which orders the next run when the last one is over.
func (h *handOver) receive(message wire.Message) {
	switch m := message.(type) {
	case *wire.OwnerPoll:
		h.step(h.current(), runner.Received{Entry: h.entry, Message: &wire.OwnerGrant{Sent: m.Sent}})
	case *wire.RunInventory:
		if h.open && !slices.ContainsFunc(m.Runs, func(id run.ID) bool { return id.Number == h.number }) {
			h.runOver(h.number)
		}
	case *wire.RunEnds:
		for _, end := range m.Ends {
			h.runOver(end.ID.Number)
		}
	}
}

func (h *handOver) runOver(number uint64) {
	h.over[number] = true
	for _, r := range h.worker.Running {
		if r.ID.Number == number {
			h.fault = fmt.Sprintf("run %d is reported as over and in progress", number)
		}
	}
	if number == h.number {
		h.open = false
	}
}

func (h *handOver) order() {
	h.number++
	h.orders++
	h.open = true
	h.step(h.current(), runner.Received{Entry: h.entry, Message: &wire.RunOrder{
		Sequence: h.orders, Job: handOverTask, Service: "s", MaxWait: 30 * time.Millisecond,
		Need: job.Resources{MilliProcessors: 1500}, Tasks: []wire.OrderedTask{{Number: h.number}},
	}})
}

// execute executes a call at the worker and delivers the response, unless its caller has given up.
func (h *handOver) execute(i int) {
	t := h.transits[i]
	h.transits = slices.Delete(h.transits, i, i+1)
	var response runner.Event
	switch a := t.action.(type) {
	case runner.Start:
		response = responseOf(a, h.worker.Start(h.now, a), t.sent)
	case runner.Stop:
		response = responseOf(a, h.worker.Stop(a), t.sent)
	case runner.Renew:
		result, report := h.worker.Renew(h.now, a)
		renewed := responseOf(a, result, t.sent).(runner.Renewed)
		renewed.Report = report
		response = renewed
	}
	if !t.unanswered {
		h.step(t.from, response)
	}
}

// advance lets time pass at the worker and at the processes that run.
func (h *handOver) advance(d time.Duration) {
	h.now += d
	h.worker.Advance(h.now)
	for _, a := range h.agents {
		h.step(a, runner.Tick{})
	}
}

// event lets one thing happen.
func (h *handOver) event() {
	type option struct {
		name string
		do   func()
	}
	options := []option{{"40 ms pass", func() { h.advance(40 * time.Millisecond) }}}
	for i, t := range h.transits {
		name := fmt.Sprintf("%T of process %d", t.action, slices.Index(h.agents, t.from)+1)
		options = append(options, option{name + " is executed", func() { h.execute(i) }})
		if !t.unanswered && !t.from.paused && !t.from.ended {
			options = append(options, option{name + " is not answered", func() {
				h.transits[i].unanswered = true
				h.step(t.from, responseOf(t.action, runner.NoResponse, t.sent))
			}})
		}
	}
	first := h.agents[0]
	switch {
	case len(h.agents) == 1:
		options = append(options,
			option{"process 1 ends and process 2 starts", func() { first.ended = true; h.startAgent(2 * firstToken) }},
			option{"process 1 ends and process 2 starts with a lower token", func() { first.ended = true; h.startAgent(firstToken / 2) }},
			option{"process 1 is paused and process 2 starts", func() { first.paused = true; h.startAgent(2 * firstToken) }},
			option{"process 1 is paused and process 2 starts with a lower token", func() { first.paused = true; h.startAgent(firstToken / 2) }})
	case first.paused:
		options = append(options, option{"process 1 resumes", func() { first.paused = false; h.step(first, runner.Tick{}) }})
	}
	if !h.open {
		options = append(options, option{"the entry orders the next run", h.order})
	}
	names := make([]string, len(options))
	for i, o := range options {
		names[i] = o.name
	}
	options[h.choose(names)].do()
}

// TestHandOverBetweenAgentProcesses guards against a task that runs twice at the same time, or after its entry has been
// told that it is over, while a process of the agent is replaced by the next one. It tries all orders of events up to a
// depth. The former process may still run, paused at any step; its calls may be executed after those of its successor.
func TestHandOverBetweenAgentProcesses(t *testing.T) {
	const depth = 6
	c := &choices{}
	runs := 0
	for {
		h := newHandOver(c)
		for range depth {
			h.event()
			if h.fault != "" {
				t.Fatalf("%s, after: %s", h.fault, strings.Join(c.names, "; "))
			}
		}
		runs++
		if !c.next() {
			break
		}
	}
	t.Logf("%d orders of %d events", runs, depth)
}

// TestStartOvertakenByRaisedToken guards against a run that is refused although its agent is the only process: another
// start was not answered, so the agent raised its token, and a call with the new one overtook this start.
func TestStartOvertakenByRaisedToken(t *testing.T) {
	const next = "0000000000000002"
	h := newHandOver(&choices{})
	h.step(h.current(), runner.Received{Entry: h.entry, Message: &wire.RunOrder{
		Sequence: 2, Job: next, Service: "s", MaxWait: 30 * time.Millisecond,
		Need: job.Resources{MilliProcessors: 1500}, Tasks: []wire.OrderedTask{{Number: 1}},
	}})
	callOf := func(matches func(runner.Action) bool) int {
		return slices.IndexFunc(h.transits, func(c transit) bool { return !c.unanswered && matches(c.action) })
	}
	startOf := func(jobID string) int {
		return callOf(func(a runner.Action) bool { s, ok := a.(runner.Start); return ok && s.Run.Task.Job == jobID })
	}
	unanswered := h.transits[startOf(handOverTask)]
	h.transits[startOf(handOverTask)].unanswered = true
	h.step(unanswered.from, responseOf(unanswered.action, runner.NoResponse, unanswered.sent))
	h.execute(callOf(func(a runner.Action) bool { r, ok := a.(runner.Renew); return ok && r.OutOfBand }))
	h.execute(startOf(next)) // refused
	again := startOf(next)
	if again < 0 {
		t.Fatal("the start is not repeated with the new token")
	}
	h.execute(again)
	if !h.worker.IsRunning(run.ID{Task: run.TaskID{Job: next}, Number: 1}) {
		t.Error("the run does not run")
	}
}
