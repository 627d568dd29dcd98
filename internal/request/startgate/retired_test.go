package startgate_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/startgate"
)

var _ = ginkgo.Describe("a retired entry", func() {
	entry := startgate.EntryID{ID: "a"}

	// Guards against an entry that gets further slots while its session is about to be closed, and against slots
	// that stay reserved for it.
	ginkgo.It("gets no offers or announcements, and its slots go to others", func() {
		h := newHarness(startgate.Config{}, slots4, "a", "b")
		h.step(startgate.Retired{Entry: entry})
		gomega.Expect(h.messages).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(&wire.Withdraw{})))
		before := len(h.offers["a"])
		h.receive("a", &wire.Demand{Queued: 3})
		h.receive("a", &wire.Reserve{Count: 2})
		h.receive("b", &wire.Demand{Queued: 4})
		h.step(startgate.Announced{Announce: slots4, Deadline: h.now + time.Hour})
		gomega.Expect(h.offers["a"]).To(gomega.HaveLen(before))
		gomega.Expect(h.offers["b"]).To(gomega.HaveLen(4))
	})

	// Guards against a session that is closed while a start of its entry has no outcome, or while its result is not
	// acknowledged: the entry would report the task as one that may have run.
	ginkgo.It("is retirable only when the results of its starts are acknowledged", func() {
		h := newHarness(startgate.Config{}, slots4, "a")
		id := h.start("a", true, noNeed)
		h.step(startgate.Retired{Entry: entry})
		gomega.Expect(h.machine.Retirable(entry)).To(gomega.BeFalse())
		h.step(startgate.CallEnded{ID: id, Result: job.Result{State: job.Done}})
		gomega.Expect(h.machine.Retirable(entry)).To(gomega.BeFalse())
		h.receive("a", &wire.FinishedAck{ID: id})
		gomega.Expect(h.machine.Retirable(entry)).To(gomega.BeTrue())
	})

	// Guards against an entry that stays without the agent after it is chosen again.
	ginkgo.It("gets the announcement and offers again on a new session", func() {
		h := newHarness(startgate.Config{}, slots4, "a")
		h.step(startgate.Retired{Entry: entry})
		h.offers["a"] = nil
		h.step(startgate.Connected{Entry: entry})
		gomega.Expect(h.messages).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(&wire.Announce{})))
		gomega.Expect(h.offers["a"]).To(gomega.HaveLen(4))
		gomega.Expect(h.machine.Retirable(entry)).To(gomega.BeFalse())
	})
})
