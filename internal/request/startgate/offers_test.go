package startgate_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/startgate"
)

// harness drives one machine with single events.
type harness struct {
	machine  *startgate.Machine
	now      time.Duration
	lastTask uint16
	offers   map[string][]uint64
	messages []wire.Message // messages of the last step, without offers
	calls    []startgate.Call
}

func newHarness(config startgate.Config, announce wire.Announce, entries ...string) *harness {
	config.Incarnation = 1
	h := &harness{machine: startgate.New(config), now: time.Hour, offers: map[string][]uint64{}}
	h.step(startgate.LeaseChanged{Deadline: h.now + time.Hour})
	h.step(startgate.Announced{Announce: announce, Deadline: h.now + time.Hour})
	for _, id := range entries {
		h.step(startgate.Connected{Entry: startgate.EntryID{ID: id}})
	}
	return h
}

func (h *harness) step(event startgate.Event) {
	h.messages, h.calls = nil, nil
	for _, action := range h.machine.Step(h.now, event) {
		switch a := action.(type) {
		case startgate.Call:
			h.calls = append(h.calls, a)
		case startgate.Send:
			if offer, ok := a.Message.(*wire.Offer); ok {
				h.offers[a.Entry.ID] = append(h.offers[a.Entry.ID], offer.IDs...)
			} else {
				h.messages = append(h.messages, a.Message)
			}
		}
	}
}

func (h *harness) receive(id string, message wire.Message) {
	h.step(startgate.Received{Entry: startgate.EntryID{ID: id}, Message: message})
}

// start sends a start, with the entry's oldest offer if withOffer is set.
func (h *harness) start(id string, withOffer bool, need job.Resources) wire.StartID {
	h.lastTask++
	m := &wire.Start{ID: wire.StartID{Task: h.lastTask}, AgentIncarnation: 1, Task: job.Task{Need: need}}
	if withOffer {
		m.Offer, h.offers[id] = h.offers[id][0], h.offers[id][1:]
	}
	h.receive(id, m)
	return m.ID
}

func (h *harness) offerCounts() []int { return []int{len(h.offers["a"]), len(h.offers["b"])} }

func (h *harness) recalls() []wire.Message {
	var recalls []wire.Message
	for _, message := range h.messages {
		if _, ok := message.(*wire.Recall); ok {
			recalls = append(recalls, message)
		}
	}
	return recalls
}

var (
	slots4 = wire.Announce{Slots: 4, Connections: 4, Capacity: job.Resources{MilliProcessors: 4000}}
	noNeed = job.Resources{}
)

var _ = ginkgo.Describe("offers", func() {
	ginkgo.It("are moved to an entry with demand by a recall", func() {
		h := newHarness(startgate.Config{}, slots4, "a")
		gomega.Expect(h.offerCounts()).To(gomega.Equal([]int{4, 0}))
		// The first entry holds all slots; the second gets two when it reports demand.
		h.step(startgate.Connected{Entry: startgate.EntryID{ID: "b"}})
		h.receive("b", &wire.Demand{Queued: 2})
		gomega.Expect(h.recalls()).To(gomega.Equal([]wire.Message{&wire.Recall{Count: 2}}))
		h.receive("a", &wire.Decline{IDs: h.offers["a"][:2], Recalled: true})
		gomega.Expect(h.offers["b"]).To(gomega.HaveLen(2))
	})

	// Guards against an entry whose demand takes all slots from the other entries.
	ginkgo.It("are divided equally between the entries with demand", func() {
		h := newHarness(startgate.Config{}, slots4, "a", "b")
		for _, id := range []string{"a", "b"} {
			h.receive(id, &wire.Decline{IDs: h.offers[id]})
			h.offers[id] = nil
		}
		h.step(startgate.Withdrawn{})
		h.receive("a", &wire.Demand{Queued: 100})
		h.receive("b", &wire.Demand{Queued: 100})
		h.offers = map[string][]uint64{}
		h.step(startgate.Announced{Announce: slots4, Deadline: h.now + time.Second})
		gomega.Expect(h.offerCounts()).To(gomega.Equal([]int{2, 2}))
	})

	// Guards against recalls that arrive when the entry has already sent the starts that use the
	// offers.
	ginkgo.It("are not recalled within 20 ms if they were made for a demand", func() {
		h := newHarness(startgate.Config{}, slots4, "a")
		h.receive("a", &wire.Decline{IDs: h.offers["a"]})
		h.receive("a", &wire.Demand{Queued: 4})
		h.step(startgate.Connected{Entry: startgate.EntryID{ID: "b"}})
		h.receive("b", &wire.Demand{Queued: 1})
		gomega.Expect(h.recalls()).To(gomega.BeEmpty())
		wake, due := h.machine.NextWake()
		gomega.Expect(due).To(gomega.BeTrue())
		gomega.Expect(wake - h.now).To(gomega.Equal(20 * time.Millisecond))
		h.now = wake
		h.step(startgate.Tick{})
		gomega.Expect(h.recalls()).To(gomega.HaveLen(1))
	})

	// Guards against a slot that an unresponsive entry holds forever.
	ginkgo.It("are dropped when an entry does not reply to a recall", func() {
		h := newHarness(startgate.Config{}, slots4, "a", "b")
		id := h.start("b", false, noNeed)
		gomega.Expect(h.calls).To(gomega.BeEmpty())
		h.now += time.Second
		h.step(startgate.Tick{})
		gomega.Expect(h.calls).To(gomega.HaveLen(1))
		gomega.Expect(h.calls[0].ID).To(gomega.Equal(id))
	})

	ginkgo.It("are made for probes in order of arrival", func() {
		h := newHarness(startgate.Config{}, slots4, "a", "b")
		for _, id := range []string{"a", "b"} {
			for len(h.offers[id]) > 0 {
				h.start(id, true, noNeed)
			}
		}
		h.receive("b", &wire.Reserve{Count: 1})
		h.receive("a", &wire.Reserve{Count: 2})
		h.receive("a", &wire.Unreserve{Count: 1})
		h.step(startgate.CallEnded{ID: wire.StartID{Task: 1}})
		gomega.Expect(h.offerCounts()).To(gomega.Equal([]int{0, 1}))
		h.step(startgate.CallEnded{ID: wire.StartID{Task: 2}})
		gomega.Expect(h.offerCounts()).To(gomega.Equal([]int{1, 1}))
	})
})

var _ = ginkgo.Describe("a start", func() {
	// Guards against the starvation of a large task by small ones.
	ginkgo.It("is bypassed a bounded number of times while it waits", func() {
		h := newHarness(startgate.Config{QueueLimit: 100}, slots4, "a")
		h.receive("a", &wire.Decline{IDs: h.offers["a"]})
		small, whole := job.Resources{MilliProcessors: 1000}, job.Resources{MilliProcessors: 4000}
		running := []wire.StartID{h.start("a", false, small), h.start("a", false, small)}
		large := h.start("a", false, whole)
		for range 50 {
			running = append(running, h.start("a", false, small))
		}
		for i := range running {
			h.step(startgate.CallEnded{ID: running[i]})
			if len(h.calls) > 0 && h.calls[0].ID == large {
				gomega.Expect(i).To(gomega.BeNumerically("<", 40))
				return
			}
		}
		ginkgo.Fail("the large start did not run")
	})

	// Guards against a start that keeps waiting although its entry could place it elsewhere.
	ginkgo.It("is refused when the configuration lease ends while it waits", func() {
		h := newHarness(startgate.Config{}, slots4, "a")
		for range 4 {
			h.start("a", true, noNeed)
		}
		h.start("a", false, noNeed)
		end := h.now + time.Second
		h.step(startgate.LeaseChanged{Deadline: end})
		for h.machine.Gauges().Waiting > 0 {
			wake, due := h.machine.NextWake()
			gomega.Expect(due).To(gomega.BeTrue())
			h.now = wake
			h.step(startgate.Tick{})
		}
		gomega.Expect(h.now).To(gomega.Equal(end))
		gomega.Expect(h.messages).To(gomega.ContainElement(gomega.HaveField("Reason", wire.RefusedLeaseExpired)))
	})

	// Guards against running a start that an earlier incarnation of the agent may have run.
	ginkgo.It("is refused if it names another incarnation of the agent", func() {
		h := newHarness(startgate.Config{}, slots4, "a")
		h.receive("a", &wire.Start{AgentIncarnation: 2, Offer: h.offers["a"][0]})
		gomega.Expect(h.calls).To(gomega.BeEmpty())
		gomega.Expect(h.messages[0]).To(gomega.HaveField("Reason", wire.RefusedIncarnation))
	})

	// Guards against records that are dropped before the end of their retention to record new starts.
	ginkgo.It("is refused while the number of records is at its limit, until records expire", func() {
		h := newHarness(startgate.Config{MaxRecords: 3}, slots4, "a")
		h.receive("a", &wire.Decline{IDs: h.offers["a"]})
		for range 3 {
			h.step(startgate.CallEnded{ID: h.start("a", false, noNeed), Result: job.Result{State: job.Done}})
		}
		h.start("a", false, noNeed)
		gomega.Expect(h.messages[0]).To(gomega.HaveField("Reason", wire.RefusedBusy))
		h.now += startgate.DefaultRecordRetention
		h.step(startgate.Announced{Announce: slots4, Deadline: h.now + time.Second})
		h.start("a", false, noNeed)
		gomega.Expect(h.calls).To(gomega.HaveLen(1))
	})

	// Guards against the refusal of a start that ran and whose result was dropped: a start may be
	// reported as not run only if it has not run and will not run.
	ginkgo.It("is reported as MayHaveRun when it is queried after its result was dropped", func() {
		h := newHarness(startgate.Config{}, slots4, "a")
		id := h.start("a", true, noNeed)
		h.step(startgate.CallEnded{ID: id, Result: job.Result{State: job.Done}})
		h.now += startgate.DefaultRecordRetention
		h.receive("a", &wire.Query{IDs: []wire.StartID{id}})
		gomega.Expect(h.messages).To(gomega.ContainElement(gomega.HaveField("Result.State", job.MayHaveRun)))
	})
})
