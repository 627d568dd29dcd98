package startgate_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/startgate"
)

// gate drives one machine by hand.
type gate struct {
	machine *startgate.Machine
	now     time.Duration
	next    uint16
	offers  map[string][]uint64
	got     []wire.Message // of the last step, offers apart
	calls   []startgate.Call
}

func newGate(config startgate.Config, announce wire.Announce, entries ...string) *gate {
	config.Incarnation = 1
	g := &gate{machine: startgate.New(config), now: time.Hour, offers: map[string][]uint64{}}
	g.step(startgate.LeaseChanged{Deadline: g.now + time.Hour})
	g.step(startgate.Announced{Announce: announce, Deadline: g.now + time.Hour})
	for _, id := range entries {
		g.step(startgate.Connected{Entry: startgate.EntryID{ID: id}})
	}
	return g
}

func (g *gate) step(event startgate.Event) {
	g.got, g.calls = nil, nil
	for _, action := range g.machine.Step(g.now, event) {
		switch a := action.(type) {
		case startgate.Call:
			g.calls = append(g.calls, a)
		case startgate.Send:
			if offer, ok := a.Message.(*wire.Offer); ok {
				g.offers[a.Entry.ID] = append(g.offers[a.Entry.ID], offer.IDs...)
			} else {
				g.got = append(g.got, a.Message)
			}
		}
	}
}

func (g *gate) from(id string, message wire.Message) {
	g.step(startgate.Received{Entry: startgate.EntryID{ID: id}, Message: message})
}

// start sends a start, with the entry's oldest offer if it has one and withOffer is set.
func (g *gate) start(id string, withOffer bool, need job.Resources) wire.StartID {
	g.next++
	m := &wire.Start{ID: wire.StartID{Task: g.next}, AgentIncarnation: 1, Task: job.Task{Need: need}}
	if withOffer {
		m.Offer, g.offers[id] = g.offers[id][0], g.offers[id][1:]
	}
	g.from(id, m)
	return m.ID
}

func (g *gate) held() []int { return []int{len(g.offers["a"]), len(g.offers["b"])} }

func (g *gate) recalls() []wire.Message {
	var recalls []wire.Message
	for _, message := range g.got {
		if _, ok := message.(*wire.Recall); ok {
			recalls = append(recalls, message)
		}
	}
	return recalls
}

var (
	slots4 = wire.Announce{Slots: 4, Connections: 4, Capacity: job.Resources{MilliProcessors: 4000}}
	none   = job.Resources{}
)

var _ = ginkgo.Describe("offers", func() {
	ginkgo.It("spread the idle slots over the entries", func() {
		g := newGate(startgate.Config{}, slots4, "a")
		gomega.Expect(g.held()).To(gomega.Equal([]int{4, 0}))
		// All slots are with the first entry; the second gets some once it has tasks.
		g.step(startgate.Connected{Entry: startgate.EntryID{ID: "b"}})
		g.from("b", &wire.Demand{Queued: 2})
		gomega.Expect(g.recalls()).To(gomega.Equal([]wire.Message{&wire.Recall{Count: 2}}))
		g.from("a", &wire.Decline{IDs: g.offers["a"][:2], Recalled: true})
		gomega.Expect(g.offers["b"]).To(gomega.HaveLen(2))
	})

	// Guards against one entry's demand that keeps all slots from the others.
	ginkgo.It("go to the entries with demand in equal parts", func() {
		g := newGate(startgate.Config{}, slots4, "a", "b")
		for _, id := range []string{"a", "b"} {
			g.from(id, &wire.Decline{IDs: g.offers[id]})
			g.offers[id] = nil
		}
		g.step(startgate.Withdrawn{})
		g.from("a", &wire.Demand{Queued: 100})
		g.from("b", &wire.Demand{Queued: 100})
		g.offers = map[string][]uint64{}
		g.step(startgate.Announced{Announce: slots4, Deadline: g.now + time.Second})
		gomega.Expect(g.held()).To(gomega.Equal([]int{2, 2}))
	})

	// Guards against recalls that meet the starts which use the offers.
	ginkgo.It("that answer a demand are recalled only after they had time to be used", func() {
		g := newGate(startgate.Config{}, slots4, "a")
		g.from("a", &wire.Decline{IDs: g.offers["a"]})
		g.from("a", &wire.Demand{Queued: 4})
		g.step(startgate.Connected{Entry: startgate.EntryID{ID: "b"}})
		g.from("b", &wire.Demand{Queued: 1})
		gomega.Expect(g.recalls()).To(gomega.BeEmpty())
		wake, due := g.machine.NextWake()
		gomega.Expect(due).To(gomega.BeTrue())
		gomega.Expect(wake - g.now).To(gomega.Equal(20 * time.Millisecond))
		g.now = wake
		g.step(startgate.Tick{})
		gomega.Expect(g.recalls()).To(gomega.HaveLen(1))
	})

	// Guards against a slot that an unresponsive entry keeps for good.
	ginkgo.It("return when an entry does not answer a recall", func() {
		g := newGate(startgate.Config{}, slots4, "a", "b")
		id := g.start("b", false, none)
		gomega.Expect(g.calls).To(gomega.BeEmpty())
		g.now += time.Second
		g.step(startgate.Tick{})
		gomega.Expect(g.calls).To(gomega.HaveLen(1))
		gomega.Expect(g.calls[0].ID).To(gomega.Equal(id))
	})

	ginkgo.It("answer probes in the order of their arrival", func() {
		g := newGate(startgate.Config{}, slots4, "a", "b")
		for _, id := range []string{"a", "b"} {
			for len(g.offers[id]) > 0 {
				g.start(id, true, none)
			}
		}
		g.from("b", &wire.Reserve{Count: 1})
		g.from("a", &wire.Reserve{Count: 2})
		g.from("a", &wire.Unreserve{Count: 1})
		g.step(startgate.CallEnded{ID: wire.StartID{Task: 1}})
		gomega.Expect(g.held()).To(gomega.Equal([]int{0, 1}))
		g.step(startgate.CallEnded{ID: wire.StartID{Task: 2}})
		gomega.Expect(g.held()).To(gomega.Equal([]int{1, 1}))
	})
})

var _ = ginkgo.Describe("waiting starts", func() {
	// Guards against a large task that small ones keep from running.
	ginkgo.It("are overtaken a bounded number of times", func() {
		g := newGate(startgate.Config{QueueLimit: 100}, slots4, "a")
		g.from("a", &wire.Decline{IDs: g.offers["a"]})
		small, whole := job.Resources{MilliProcessors: 1000}, job.Resources{MilliProcessors: 4000}
		running := []wire.StartID{g.start("a", false, small), g.start("a", false, small)}
		large := g.start("a", false, whole)
		for range 50 {
			running = append(running, g.start("a", false, small))
		}
		for i := range running {
			g.step(startgate.CallEnded{ID: running[i]})
			if len(g.calls) > 0 && g.calls[0].ID == large {
				gomega.Expect(i).To(gomega.BeNumerically("<", 40))
				return
			}
		}
		ginkgo.Fail("the large start did not run")
	})

	// Guards against a start that waits on although its entry could place it elsewhere.
	ginkgo.It("are refused at the time at which the lease ends", func() {
		g := newGate(startgate.Config{}, slots4, "a")
		for range 4 {
			g.start("a", true, none)
		}
		g.start("a", false, none)
		end := g.now + time.Second
		g.step(startgate.LeaseChanged{Deadline: end})
		for g.machine.Gauges().Waiting > 0 {
			wake, due := g.machine.NextWake()
			gomega.Expect(due).To(gomega.BeTrue())
			g.now = wake
			g.step(startgate.Tick{})
		}
		gomega.Expect(g.now).To(gomega.Equal(end))
		gomega.Expect(g.got).To(gomega.ContainElement(gomega.HaveField("Reason", wire.RefusedLeaseExpired)))
	})

	// Guards against a start that was meant for an earlier run of the agent, which may have run it.
	ginkgo.It("for another incarnation are refused", func() {
		g := newGate(startgate.Config{}, slots4, "a")
		g.from("a", &wire.Start{AgentIncarnation: 2, Offer: g.offers["a"][0]})
		gomega.Expect(g.calls).To(gomega.BeEmpty())
		gomega.Expect(g.got[0]).To(gomega.HaveField("Reason", wire.RefusedIncarnation))
	})

	// Guards against evidence that is dropped for new work.
	ginkgo.It("are refused when the evidence is at its bound, until it expires", func() {
		g := newGate(startgate.Config{MaxRecords: 3}, slots4, "a")
		g.from("a", &wire.Decline{IDs: g.offers["a"]})
		for range 3 {
			g.step(startgate.CallEnded{ID: g.start("a", false, none), Result: job.Result{State: job.Done}})
		}
		g.start("a", false, none)
		gomega.Expect(g.got[0]).To(gomega.HaveField("Reason", wire.RefusedBusy))
		g.now += startgate.DefaultEvidenceRetention
		g.step(startgate.Announced{Announce: slots4, Deadline: g.now + time.Second})
		g.start("a", false, none)
		gomega.Expect(g.calls).To(gomega.HaveLen(1))
	})

	// Guards against "not run" for a start whose result was dropped (G5).
	ginkgo.It("are not called refused after a result of their entry was dropped", func() {
		g := newGate(startgate.Config{}, slots4, "a")
		id := g.start("a", true, none)
		g.step(startgate.CallEnded{ID: id, Result: job.Result{State: job.Done}})
		g.now += startgate.DefaultEvidenceRetention
		g.from("a", &wire.Query{IDs: []wire.StartID{id}})
		gomega.Expect(g.got).To(gomega.ContainElement(gomega.HaveField("Result.State", job.MayHaveRun)))
	})
})
