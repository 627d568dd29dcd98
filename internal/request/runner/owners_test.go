package runner_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/testutil/simworker"
)

// fleet drives one agent with an immediate worker and many entries, and counts what each entry receives.
type fleet struct {
	now     time.Duration
	machine *runner.Machine
	worker  *simworker.Worker
	entries []runner.EntryID
	states  map[runner.EntryID][]wire.WorkerState
	ends    map[runner.EntryID]int
	speeds  map[runner.EntryID][]wire.WorkerSpeed
	orders  map[runner.EntryID]uint64
	poll    runner.Renew // the pending long poll
	polling bool
	silent  bool                    // entries do not reply to polls
	absent  map[runner.EntryID]bool // entries that do not reply to polls
	// fault, if set, returns the result of each call to the worker that does not reach it; zero if it does.
	fault     func() runner.CallResult
	onMessage func(runner.Send) // if set, is called for each message to an entry
}

func newFleet(entries int, runTime time.Duration) *fleet {
	f := &fleet{
		now: time.Hour, machine: runner.New(runner.Config{Token: 1}), worker: simworker.New("w", 1), states: map[runner.EntryID][]wire.WorkerState{},
		ends: map[runner.EntryID]int{}, speeds: map[runner.EntryID][]wire.WorkerSpeed{}, orders: map[runner.EntryID]uint64{},
		absent: map[runner.EntryID]bool{},
	}
	f.worker.OnStart = func(run.ID) {}
	f.worker.Plan = func(runner.Start) (time.Duration, run.Outcome) { return runTime, run.Done }
	f.step(runner.WorkerAnnounced{Worker: f.worker.ID, Sequence: 1, Service: "s", Capacity: job.Resources{MilliProcessors: 64000}})
	for k := range entries {
		id := runner.EntryID{ID: fmt.Sprintf("entry-%02d", k), Incarnation: 1}
		f.entries = append(f.entries, id)
		f.step(runner.Connected{Entry: id})
	}
	f.advance(time.Second)
	return f
}

// step passes an event to the machine. Responses follow after all actions of the step.
func (f *fleet) step(event runner.Event) {
	var responses []func()
	for _, action := range f.machine.Step(f.now, event) {
		if result := f.faultOf(action); result != 0 {
			failed := responseOf(action, result, f.now)
			responses = append(responses, func() { f.step(failed) })
			continue
		}
		switch a := action.(type) {
		case runner.Send:
			if poll, ok := a.Message.(*wire.OwnerPoll); ok && !f.silent && !f.absent[a.Entry] {
				responses = append(responses, func() { f.step(runner.Received{Entry: a.Entry, Message: &wire.OwnerGrant{Sent: poll.Sent}}) })
			}
			f.received(a)
		case runner.Start:
			responses = append(responses, func() {
				f.step(runner.StartReturned{Worker: a.Worker, Run: a.Run, Token: a.Token, Result: f.worker.Start(f.now, a)})
			})
		case runner.Stop:
			responses = append(responses, func() {
				f.step(runner.StopReturned{Worker: a.Worker, Run: a.Run, Token: a.Token, Result: f.worker.Stop(a)})
			})
		case runner.Renew:
			if a.Wait > 0 {
				f.poll, f.polling = a, true
			} else {
				responses = append(responses, func() { f.renew(a) })
			}
		}
	}
	for _, respond := range responses {
		respond()
	}
}

func (f *fleet) faultOf(action runner.Action) runner.CallResult {
	if _, isMessage := action.(runner.Send); isMessage || f.fault == nil {
		return 0
	}
	return f.fault()
}

func (f *fleet) received(send runner.Send) {
	if f.onMessage != nil {
		f.onMessage(send)
	}
	switch m := send.Message.(type) {
	case *wire.WorkerState:
		f.states[send.Entry] = append(f.states[send.Entry], *m)
	case *wire.WorkerSpeed:
		f.speeds[send.Entry] = append(f.speeds[send.Entry], *m)
	case *wire.RunEnds:
		f.ends[send.Entry] += len(m.Ends)
	}
}

func (f *fleet) renew(r runner.Renew) {
	result, report := f.worker.Renew(f.now, r)
	f.step(runner.Renewed{Worker: r.Worker, Sent: f.now, OutOfBand: r.OutOfBand, Token: r.Token, Result: result, Report: report})
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += time.Millisecond
		if ended := f.worker.Advance(f.now); f.polling && (ended || int(f.now/time.Millisecond)%300 == 0) {
			f.polling = false
			f.renew(f.poll)
		}
		f.step(runner.Tick{})
	}
}

// order sends one order of one task from an entry.
func (f *fleet) order(from runner.EntryID, jobID string) {
	f.orders[from]++
	f.step(runner.Received{Entry: from, Message: &wire.RunOrder{
		Sequence: f.orders[from], Job: jobID, Service: "s", MaxWait: time.Second,
		Need: job.Resources{MilliProcessors: 1000}, Tasks: []wire.OrderedTask{{Number: 1}},
	}})
}

// load lets the first active entries send one order each in turn, one every interval.
func (f *fleet) load(d, interval time.Duration, active int) {
	for n := 0; d > 0; n++ {
		f.order(f.entries[n%active], fmt.Sprintf("%016x", int(f.now)+n))
		f.advance(interval)
		d -= interval
	}
}

func (f *fleet) countStates() (n int) {
	for _, states := range f.states {
		n += len(states)
	}
	return n
}

var _ = ginkgo.Describe("the reports to entries", func() {
	// Guards against reports of the worker's state that grow with the number of entries: each change used to
	// be sent to every entry.
	ginkgo.It("does not send more states in all to many active entries than to a few", func() {
		count := func(entries int) int {
			f := newFleet(entries, 50*time.Millisecond)
			before := f.countStates()
			f.load(10*time.Second, 5*time.Millisecond, entries)
			return f.countStates() - before
		}
		few, many := count(5), count(50)
		fmt.Fprintf(ginkgo.GinkgoWriter, "states with 5 entries %d, with 50 %d\n", few, many)
		// Ends are sent with the state, 2,000 in both cases. Further reports must not grow with the entries.
		gomega.Expect(many).To(gomega.BeNumerically("<", 2*few))
	})

	// Guards against an entry that is charged for the load of others: entries without callers need the state
	// of workers only for their first job.
	ginkgo.It("sends few states to entries without orders, and more once they send orders", func() {
		f := newFleet(10, 50*time.Millisecond)
		idle := f.entries[9]
		f.load(5*time.Second, 5*time.Millisecond, 5)
		gomega.Expect(len(f.states[idle])).To(gomega.BeNumerically("<=", 5*4+3))
		gomega.Expect(len(f.states[f.entries[0]])).To(gomega.BeNumerically(">", 100))
		f.order(idle, "00000000000000ff")
		before := len(f.states[idle])
		f.advance(100 * time.Millisecond)
		gomega.Expect(len(f.states[idle])).To(gomega.BeNumerically(">", before))
	})
})

var _ = ginkgo.Describe("an order of a run that the agent has for another entry", func() {
	// Guards against an order without an outcome: both entries number their runs from 1, and the job of the second one
	// stays open for good, so that its process does not end at a shutdown.
	ginkgo.It("is refused, and the run goes on", func() {
		f := newFleet(2, 300*time.Millisecond)
		first, second := f.entries[0], f.entries[1]
		var refused []run.End
		f.onMessage = func(send runner.Send) {
			if ends, ok := send.Message.(*wire.RunEnds); ok && send.Entry == second {
				refused = append(refused, ends.Ends...)
			}
		}
		f.order(first, "0000000000000001")
		f.advance(50 * time.Millisecond)
		f.order(second, "0000000000000001")
		f.order(first, "0000000000000001") // its own order again
		f.advance(400 * time.Millisecond)
		id := run.ID{Task: run.TaskID{Job: "0000000000000001"}, Number: 1}
		gomega.Expect(refused).To(gomega.Equal([]run.End{{ID: id, Outcome: run.Refused, Reason: run.Conflict}}))
		gomega.Expect(f.ends[first]).To(gomega.Equal(1))
	})
})

var _ = ginkgo.Describe("the outcomes for an entry whose session was lost", func() {
	// Guards against outcomes that are lost with a session, and against outcomes that are sent again with every
	// session although the entry has received them.
	ginkgo.It("are sent again until the entry has replied to a later poll", func() {
		f := newFleet(1, 50*time.Millisecond)
		entry := f.entries[0]
		reconnect := func(absence time.Duration) {
			f.step(runner.Disconnected{Entry: entry})
			f.orders[entry] = 0
			f.advance(absence)
			f.step(runner.Connected{Entry: entry})
		}
		f.order(entry, "0000000000000001")
		f.advance(60 * time.Millisecond)
		gomega.Expect(f.ends[entry]).To(gomega.Equal(1))
		reconnect(10 * time.Millisecond)
		gomega.Expect(f.ends[entry]).To(gomega.Equal(2), "in transit when the session ended")
		f.order(entry, "0000000000000002")
		reconnect(time.Second)
		gomega.Expect(f.ends[entry]).To(gomega.Equal(4), "the run ended during the absence")
		f.advance(time.Second)
		reconnect(10 * time.Millisecond)
		gomega.Expect(f.ends[entry]).To(gomega.Equal(4), "confirmed by a reply to a poll")
	})

	// Guards against memory that an entry occupies for ever after it has left.
	ginkgo.It("are forgotten when the entry stays away", func() {
		f := newFleet(1, 50*time.Millisecond)
		entry := f.entries[0]
		f.order(entry, "0000000000000001")
		f.step(runner.Disconnected{Entry: entry})
		f.advance(4 * time.Second)
		f.step(runner.Connected{Entry: entry})
		gomega.Expect(f.ends[entry]).To(gomega.BeZero())
	})
})

var _ = ginkgo.Describe("a retired entry", func() {
	// Guards against a session that is closed while runs of its entry are active: the entry would count them as lost
	// and run them again only after the loss timeout.
	ginkgo.It("gets no further orders in, but its runs finish before the session may be closed", func() {
		f := newFleet(2, 3*time.Second)
		entry := f.entries[0]
		f.order(entry, "0000000000000001")
		f.advance(100 * time.Millisecond)
		f.step(runner.Retired{Entry: entry})
		f.advance(100 * time.Millisecond)
		states := f.states[entry]
		gomega.Expect(states[len(states)-1].Open).To(gomega.BeFalse())
		other := f.states[f.entries[1]]
		gomega.Expect(other[len(other)-1].Open).To(gomega.BeTrue())
		f.order(entry, "0000000000000002") // crossed the report
		f.advance(2 * time.Second)
		gomega.Expect(f.machine.Retirable(f.now, runner.EntryID(entry))).To(gomega.BeFalse())
		f.advance(2 * time.Second)
		gomega.Expect(f.ends[entry]).To(gomega.Equal(2))
		gomega.Expect(f.machine.Retirable(f.now, entry)).To(gomega.BeTrue())
		gomega.Expect(f.machine.Retirable(f.now, f.entries[1])).To(gomega.BeFalse())
	})

	// Guards against a session that is closed while an order of the entry is on its way.
	ginkgo.It("keeps its session for the time in which orders may arrive", func() {
		f := newFleet(1, time.Second)
		f.step(runner.Retired{Entry: f.entries[0]})
		gomega.Expect(f.machine.Retirable(f.now, f.entries[0])).To(gomega.BeFalse())
		f.advance(1100 * time.Millisecond)
		gomega.Expect(f.machine.Retirable(f.now, f.entries[0])).To(gomega.BeTrue())
	})

	// Guards against an entry that stays without the worker after it is chosen again.
	ginkgo.It("gets orders in again after a new session", func() {
		f := newFleet(1, time.Second)
		f.step(runner.Retired{Entry: f.entries[0]})
		f.advance(100 * time.Millisecond)
		f.step(runner.Disconnected{Entry: f.entries[0]})
		f.step(runner.Connected{Entry: f.entries[0]})
		f.advance(100 * time.Millisecond)
		states := f.states[f.entries[0]]
		gomega.Expect(states[len(states)-1].Open).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("runs that wait at an agent", func() {
	// Guards against callers of an entry with most of the jobs that are served worse than others in a burst, because
	// each entry may have one run waiting; and against an entry that fills the queue of an agent.
	ginkgo.It("are limited in proportion to the orders of their entry", func() {
		f := newFleet(3, time.Second)
		jobs := 0
		orderRuns := func(from runner.EntryID, n int) {
			for range n {
				jobs++
				f.order(from, fmt.Sprint("job-", jobs))
			}
		}
		maySendMore := func(entry runner.EntryID) bool {
			f.advance(50 * time.Millisecond)
			states := f.states[entry]
			waiting := states[len(states)-1].Waiting
			return len(waiting) == 0 || !waiting[0].LimitReached
		}
		for range 3 {
			orderRuns(f.entries[0], 12)
			orderRuns(f.entries[1], 5)
			orderRuns(f.entries[2], 3)
			f.advance(1100 * time.Millisecond)
		}
		for _, entry := range f.entries {
			orderRuns(entry, 22) // the worker has room for 64
		}
		gomega.Expect(maySendMore(f.entries[2])).To(gomega.BeFalse(), "two of its runs wait")
		gomega.Expect(maySendMore(f.entries[0])).To(gomega.BeTrue(), "none of its runs waits")
		orderRuns(f.entries[0], 1)
		gomega.Expect(maySendMore(f.entries[0])).To(gomega.BeTrue(), "one of its runs waits")
		orderRuns(f.entries[0], 1)
		gomega.Expect(maySendMore(f.entries[0])).To(gomega.BeFalse(), "two of its runs wait")
	})
})

var _ = ginkgo.Describe("an agent that was paused", func() {
	// Guards against a start by an order that waited in the connection while the agent's process was paused: its entry
	// has counted the run as lost meanwhile and may have ordered the next one from another agent. The worker's report is
	// read before the order, so the worker does not count as silent.
	ginkgo.It("refuses orders of an entry that has not replied since", func() {
		f := newFleet(1, time.Minute)
		f.silent = true
		f.now += 6 * time.Second
		f.renew(f.poll)
		f.order(f.entries[0], "ordered before the pause")
		gomega.Expect(f.machine.Stats().Starts).To(gomega.BeZero())
		gomega.Expect(f.ends[f.entries[0]]).To(gomega.Equal(1), "the refusal is reported")

		f.silent = false
		f.advance(runner.PollInterval)
		f.order(f.entries[0], "ordered after a reply")
		gomega.Expect(f.worker.Running).To(gomega.HaveLen(1))
	})
})

var _ = ginkgo.Describe("a worker that has left", func() {
	// Guards against an announcement that was delayed on its way and puts the worker in use again after it has left.
	ginkgo.It("is not in use again by an earlier announcement", func() {
		f := newFleet(1, time.Second)
		announcement := runner.WorkerAnnounced{Worker: f.worker.ID, Sequence: 7, Service: "s", Capacity: job.Resources{MilliProcessors: 64000}}
		f.step(announcement)
		f.advance(10 * time.Millisecond)
		gomega.Expect(f.machine.Open(f.now)).To(gomega.BeTrue())
		f.step(runner.WorkerLeft{ID: f.worker.ID.ID})
		announcement.Sequence = 6
		f.step(announcement)
		f.advance(10 * time.Millisecond)
		gomega.Expect(f.machine.Open(f.now)).To(gomega.BeFalse())

		announcement.Sequence = 8
		f.step(announcement)
		f.advance(10 * time.Millisecond)
		gomega.Expect(f.machine.Open(f.now)).To(gomega.BeTrue(), "it has not ended after all")
	})
})

var _ = ginkgo.Describe("the speed of a worker", func() {
	// Guards against entries that learn only from their own runs, and against a message for each run.
	ginkgo.It("is sent to all entries when it has changed, and again after a while", func() {
		f := newFleet(3, 200*time.Millisecond)
		for k := range 20 {
			f.orders[f.entries[0]]++
			f.step(runner.Received{Entry: f.entries[0], Message: &wire.TimedOrder{
				Order: wire.RunOrder{
					Sequence: f.orders[f.entries[0]], Job: fmt.Sprint("job-", k), Service: "s", MaxWait: time.Second,
					Need: job.Resources{MilliProcessors: 1000}, Tasks: []wire.OrderedTask{{Number: 1}},
				},
				Predicted: 100 * time.Millisecond,
			}})
			f.advance(50 * time.Millisecond)
		}
		f.advance(time.Second)
		for _, entry := range f.entries {
			sent := f.speeds[entry]
			gomega.Expect(len(sent)).To(gomega.And(gomega.BeNumerically(">=", 1), gomega.BeNumerically("<=", 6)))
			gomega.Expect(sent[len(sent)-1].Slowness).To(gomega.BeNumerically("~", 0.69, 0.15))
		}
		before := len(f.speeds[f.entries[2]])
		f.advance(6 * time.Second)
		gomega.Expect(f.speeds[f.entries[2]]).To(gomega.HaveLen(before + 1))
	})
})

var _ = ginkgo.Describe("an entry that was replaced by its next process", func() {
	// Guards against orders of both processes during the hand-over: the earlier one may still send while its successor
	// has its sessions already.
	ginkgo.It("gets no more starts, and its runs are stopped once", func() {
		f := newFleet(1, time.Minute)
		earlier := f.entries[0]
		f.order(earlier, "before")
		f.advance(20 * time.Millisecond)
		gomega.Expect(f.worker.Running).To(gomega.HaveLen(1))

		successor := runner.EntryID{ID: earlier.ID, Incarnation: earlier.Incarnation + 1}
		f.step(runner.Connected{Entry: successor})
		f.order(earlier, "during the hand-over")
		f.order(successor, "after")
		f.advance(100 * time.Millisecond)
		gomega.Expect(f.worker.Running).To(gomega.HaveLen(1), "the run of the successor")
		stats := f.machine.Stats()
		gomega.Expect(stats.Starts).To(gomega.BeEquivalentTo(2))
		gomega.Expect(stats.Stops).To(gomega.BeEquivalentTo(1))
	})
})
