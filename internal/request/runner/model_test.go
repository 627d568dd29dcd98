package runner_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/testutil/simworker"
)

// call is a call to the worker that is under way, or its answer on the way back.
type call struct {
	at     time.Duration
	action runner.Action
	sent   time.Duration
	silent bool         // no answer comes back, or it has come back already
	answer runner.Event // set once it is on the way back
	agent  int          // incarnation of the agent that sent it
}

// world joins an agent with a worker through calls that are lost, repeated late and reordered.
type world struct {
	t       *rapid.T
	now     time.Duration
	machine *runner.Machine
	agent   int
	worker  *simworker.Worker
	lives   int64
	calls   []call
	entries []runner.EntryID
	granted []bool // whether the entry answers polls
	numbers map[run.Task]uint64
	owed    map[run.ID]runner.EntryID // ordered at this incarnation of the agent, no outcome yet
	over    map[run.ID]bool
	lossy   bool
	orders  uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Hour, numbers: map[run.Task]uint64{}, owed: map[run.ID]runner.EntryID{}, over: map[run.ID]bool{}, lossy: true,
		entries: []runner.EntryID{{ID: "e1", Incarnation: 1}, {ID: "e2", Incarnation: 2}}, granted: []bool{true, true},
	}
	w.bear()
	w.restartAgent()
	return w
}

// bear starts a new life of the worker.
func (w *world) bear() {
	w.lives++
	w.worker = simworker.New("w", w.lives)
	w.worker.Started = w.started
	w.worker.Plan = func(runner.Start) (time.Duration, run.Outcome) {
		return time.Duration(rapid.IntRange(20, 1500).Draw(w.t, "length")) * time.Millisecond, run.Done
	}
}

func (w *world) restartAgent() {
	w.agent++
	// The token of a process is not above that of the one before if the wall clock stepped back.
	token := uint64(rapid.IntRange(1, 5).Draw(w.t, "token"))<<runner.TokenTagBits + uint64(w.agent)
	w.machine = runner.New(runner.Config{Token: token})
	clear(w.owed)
	for _, id := range w.entries {
		w.step(runner.Connected{Entry: id})
	}
	w.announce()
}

func (w *world) announce() {
	w.step(runner.WorkerAnnounced{
		Worker: w.worker.ID, Sequence: uint64(w.now / time.Millisecond), Service: "s",
		Capacity: job.Resources{MilliProcessors: 4000}, Clock: w.worker.Clock(w.now),
	})
}

// started is the oracle of starts: one run of a task at a time, and none whose end was reported.
func (w *world) started(id run.ID) {
	for _, r := range w.worker.Running {
		if r.ID.Task == id.Task && r.ID != id {
			w.t.Fatalf("%v starts beside %v", id, r.ID)
		}
	}
	if w.over[id] {
		w.t.Fatalf("%v starts after its outcome was reported", id)
	}
}

func (w *world) step(event runner.Event) {
	for _, action := range w.machine.Step(w.now, event) {
		switch a := action.(type) {
		case runner.Send:
			w.receive(a)
		default:
			w.launch(a)
		}
	}
}

// launch sends a call to the worker. It may be lost, and then may still be carried out later.
func (w *world) launch(action runner.Action) {
	c := call{at: w.now + time.Millisecond, action: action, sent: w.now, agent: w.agent}
	if w.lossy {
		switch rapid.IntRange(0, 9).Draw(w.t, "fate") {
		case 0: // lost
			w.calls = append(w.calls, call{at: w.now + 100*time.Millisecond, action: action, answer: w.noAnswer(action), agent: w.agent})
			return
		case 1: // carried out late
			w.calls = append(w.calls, call{at: w.now + 100*time.Millisecond, action: action, answer: w.noAnswer(action), agent: w.agent})
			c.silent = true
			c.at = w.now + time.Duration(rapid.IntRange(50, 4000).Draw(w.t, "delay"))*time.Millisecond
		case 2: // slow
			c.at = w.now + time.Duration(rapid.IntRange(1, 90).Draw(w.t, "delay"))*time.Millisecond
		}
	}
	w.calls = append(w.calls, c)
}

func (w *world) noAnswer(action runner.Action) runner.Event {
	return answerOf(action, runner.NoAnswer, w.now)
}

func answerOf(action runner.Action, result runner.CallResult, sent time.Duration) runner.Event {
	switch a := action.(type) {
	case runner.Start:
		return runner.StartReturned{Worker: a.Worker, Run: a.Run, Token: a.Token, Result: result}
	case runner.Stop:
		return runner.StopReturned{Worker: a.Worker, Run: a.Run, Token: a.Token, Result: result}
	case runner.Renew:
		return runner.Renewed{Worker: a.Worker, Sent: sent, OutOfBand: a.OutOfBand, Token: a.Token, Result: result}
	}
	panic(fmt.Sprintf("unexpected action %T", action))
}

// carryOut lets the worker execute a call.
func (w *world) carryOut(c call) {
	result, report := runner.NoAnswer, runner.Report{}
	if !w.worker.Down {
		switch a := c.action.(type) {
		case runner.Start:
			result = w.worker.Start(w.now, a)
		case runner.Stop:
			result = w.worker.Stop(a)
		case runner.Renew:
			result, report = w.worker.Renew(w.now, a)
		}
	}
	if c.silent {
		return
	}
	answer := answerOf(c.action, result, c.sent)
	if renewed, ok := answer.(runner.Renewed); ok {
		renewed.Report = report
		answer = renewed
	}
	c.answer, c.at = answer, w.now+time.Millisecond
	if result == runner.NoAnswer {
		c.at = w.now + 100*time.Millisecond
	}
	if a, ok := c.action.(runner.Renew); ok && result == runner.Accepted && len(report.Ended) == 0 {
		// The worker waits for an end before it answers; its report then shows that moment.
		c.at += a.Wait / 10
	}
	w.calls = append(w.calls, c)
}

// advance lets time pass in steps of a millisecond.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += time.Millisecond
		w.worker.Advance(w.now)
		due := []call{}
		rest := w.calls[:0:0]
		for _, c := range w.calls {
			if c.at <= w.now {
				due = append(due, c)
			} else {
				rest = append(rest, c)
			}
		}
		w.calls = rest
		for _, c := range due {
			switch {
			case c.answer == nil:
				w.carryOut(c)
			case c.agent == w.agent:
				w.step(c.answer)
			}
		}
		for i := 0; ; i++ {
			wake, ok := w.machine.NextWake()
			if !ok || wake > w.now {
				break
			}
			if i > 20 {
				w.t.Fatalf("the machine asks for a tick without end")
			}
			w.step(runner.Tick{})
		}
	}
}

// receive is the entries' side: it checks the outcomes and answers polls.
func (w *world) receive(a runner.Send) {
	switch message := a.Message.(type) {
	case *wire.RunEnds:
		for _, end := range message.Ends {
			w.settled(a.Entry, end.ID)
		}
	case *wire.RunInventory:
		listed := map[run.ID]bool{}
		for _, id := range message.Runs {
			listed[id] = true
		}
		for id, owner := range w.owed {
			if owner == a.Entry && !listed[id] {
				w.settled(a.Entry, id)
			}
		}
	case *wire.OwnerPoll:
		for i, id := range w.entries {
			if id == a.Entry && w.granted[i] {
				w.calls = append(w.calls, call{
					at: w.now + 3*time.Millisecond, agent: w.agent,
					answer: runner.Received{Entry: id, Message: &wire.OwnerGrant{Sent: message.Sent}},
				})
			}
		}
	}
}

func (w *world) settled(owner runner.EntryID, id run.ID) {
	if w.worker.Runs(id) {
		w.t.Fatalf("%v is reported as over and still runs", id)
	}
	w.over[id] = true
	if w.owed[id] == owner {
		delete(w.owed, id)
	}
}

func (w *world) order() {
	entry := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	task := run.Task{Job: fmt.Sprint("j", rapid.IntRange(0, 3).Draw(w.t, "job"))}
	for id, owner := range w.owed {
		if id.Task == task && owner == w.entries[entry] {
			return // an entry orders a task again only when its earlier run is over
		}
	}
	w.numbers[task]++
	w.orders++
	id := run.ID{Task: task, Number: w.numbers[task]}
	w.owed[id] = w.entries[entry]
	w.step(runner.Received{Entry: w.entries[entry], Message: &wire.RunOrder{
		Sequence: w.orders, Job: task.Job, Service: "s", MaxWait: 30 * time.Millisecond,
		Need: job.Resources{MilliProcessors: 1500}, Tasks: []wire.OrderedTask{{Number: id.Number}},
	}})
}

func (w *world) cancel() {
	for id, owner := range w.owed {
		w.step(runner.Received{Entry: owner, Message: &wire.RunCancel{Runs: []run.ID{id}}})
		return
	}
}

func (w *world) reconnect() {
	i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
	w.step(runner.Disconnected{Entry: w.entries[i]})
	w.advance(time.Duration(rapid.IntRange(0, 1200).Draw(w.t, "away")) * time.Millisecond)
	w.step(runner.Connected{Entry: w.entries[i]})
}

var _ = ginkgo.Describe("the runner against a worker with faults", func() {
	// Guards against two runs of one task at a time, against outcomes that are reported while the run
	// may still begin or go on, and against runs without an outcome, under lost and late calls, worker
	// and agent restarts, silent owners and cancellations.
	ginkgo.It("keeps one run of a task at a time and settles every order", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			w := newWorld(t)
			for range rapid.IntRange(5, 40).Draw(t, "events") {
				switch rapid.IntRange(0, 11).Draw(t, "event") {
				case 0, 1, 2, 3:
					w.order()
				case 4:
					w.cancel()
				case 5:
					w.reconnect()
				case 6:
					w.restartAgent()
				case 7: // the worker crashes and another life begins
					w.worker.Running = nil
					w.bear()
					w.announce()
				case 8:
					w.worker.Running, w.worker.Down = nil, !w.worker.Down
					if !w.worker.Down {
						w.bear()
						w.announce()
					}
				case 9:
					i := rapid.IntRange(0, 1).Draw(t, "entry")
					w.granted[i] = !w.granted[i]
				default:
					w.announce()
				}
				w.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			}
			w.lossy, w.granted = false, []bool{true, true}
			if w.worker.Down {
				w.bear()
			}
			w.announce()
			w.advance(6 * time.Second)
			if len(w.owed) > 0 {
				t.Fatalf("runs without an outcome: %v", w.owed)
			}
			gomega.Expect(w.machine.Idle()).To(gomega.BeTrue())
		})
	})
})
