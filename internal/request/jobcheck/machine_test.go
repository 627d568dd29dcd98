package jobcheck_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/jobcheck"
)

var (
	peerB = wire.Claimant{EntryID: "b", Incarnation: 1}
	peerC = wire.Claimant{EntryID: "c", Incarnation: 1}
)

// fixture is entry a with sessions to b and c, some time after its start.
type fixture struct {
	*jobcheck.Machine
	now time.Duration
}

func newFixture() *fixture {
	f := &fixture{Machine: jobcheck.New("a"), now: time.Hour}
	f.step(jobcheck.Configured{Revision: 7, Entries: []string{"a", "b", "c"}})
	f.step(jobcheck.PeerConnected{Entry: peerB})
	f.step(jobcheck.PeerConnected{Entry: peerC})
	f.now += time.Minute
	return f
}

func (f *fixture) step(event jobcheck.Event) []jobcheck.Action {
	return append([]jobcheck.Action(nil), f.Step(f.now, event)...)
}

func (f *fixture) answer(from wire.Claimant, round uint64, result wire.CheckResult) []jobcheck.Action {
	return f.step(jobcheck.Received{From: from, Message: &wire.JobCheckAnswer{Round: round, Result: result, Revision: 7}})
}

// check returns the answer to a check of another entry; nil if there is none yet.
func (f *fixture) check(from wire.Claimant, recall, owned bool) *wire.JobCheckAnswer {
	for _, action := range f.step(jobcheck.Received{From: from, Message: &wire.JobCheck{Round: 9, Job: "j", Recall: recall}, Owned: owned}) {
		if send, ok := action.(jobcheck.Send); ok && send.To == from {
			if answer, ok := send.Message.(*wire.JobCheckAnswer); ok {
				return answer
			}
		}
	}
	return nil
}

// startDelayed starts the job of a delayed submission.
func (f *fixture) startDelayed() {
	f.step(jobcheck.Submitted{Job: "j", Delayed: true})
	f.answer(peerB, 1, wire.CheckFree)
	gomega.Expect(f.answer(peerC, 1, wire.CheckFree)).To(gomega.Equal([]jobcheck.Action{jobcheck.Start{Job: "j"}}))
}

func refusalOf(actions []jobcheck.Action) *failure.Error {
	for _, action := range actions {
		if refuse, ok := action.(jobcheck.Refuse); ok {
			return refuse.Error
		}
	}
	return nil
}

var _ = ginkgo.Describe("A delayed submission", func() {
	// Guards against a start beside a run of an entry that has not answered yet, or has answered before it got the job.
	ginkgo.It("is started when every other listed entry has answered in the present session", func() {
		f := newFixture()
		gomega.Expect(f.Needed(f.now, "j", true)).To(gomega.BeTrue())
		gomega.Expect(f.Needed(f.now, "j", false)).To(gomega.BeFalse())
		gomega.Expect(f.step(jobcheck.Submitted{Job: "j", Delayed: true})).To(gomega.Equal([]jobcheck.Action{
			jobcheck.Send{To: peerB, Message: &wire.JobCheck{Round: 1, Job: "j"}}, jobcheck.Send{To: peerC, Message: &wire.JobCheck{Round: 1, Job: "j"}},
		}))
		gomega.Expect(f.answer(peerB, 1, wire.CheckFree)).To(gomega.BeEmpty())
		f.step(jobcheck.PeerDisconnected{Entry: peerB})
		gomega.Expect(f.answer(peerC, 1, wire.CheckFree)).To(gomega.BeEmpty())
		gomega.Expect(f.step(jobcheck.PeerConnected{Entry: peerB})).To(gomega.Equal([]jobcheck.Action{jobcheck.Send{To: peerB, Message: &wire.JobCheck{Round: 1, Job: "j"}}}))
		gomega.Expect(f.answer(peerB, 1, wire.CheckFree)).To(gomega.Equal([]jobcheck.Action{jobcheck.Start{Job: "j"}}))
	})

	// Guards against a start beside a run of an entry that was listed while this one was stalled.
	ginkgo.It("waits until the list of entries is as new as that of the others", func() {
		f := newFixture()
		f.step(jobcheck.Submitted{Job: "j", Delayed: true})
		f.answer(peerB, 1, wire.CheckFree)
		gomega.Expect(f.step(jobcheck.Received{From: peerC, Message: &wire.JobCheckAnswer{Round: 1, Result: wire.CheckFree, Revision: 8}})).To(gomega.BeEmpty())
		gomega.Expect(f.step(jobcheck.Configured{Revision: 8, Entries: []string{"a", "b", "c", "d"}})).To(gomega.BeEmpty())
		peerD := wire.Claimant{EntryID: "d", Incarnation: 1}
		f.step(jobcheck.PeerConnected{Entry: peerD})
		gomega.Expect(f.answer(peerD, 1, wire.CheckFree)).To(gomega.Equal([]jobcheck.Action{jobcheck.Start{Job: "j"}}))
	})

	// Guards against a start beside a run elsewhere, and against callers that wait for an entry that does not answer.
	ginkgo.It("is refused if another entry has the job, has just started, or does not answer", func() {
		for _, result := range []wire.CheckResult{wire.CheckOwned, wire.CheckUncertain, wire.CheckResult(99)} {
			f := newFixture()
			f.step(jobcheck.Submitted{Job: "j", Delayed: true})
			err := refusalOf(f.answer(peerC, 1, result))
			gomega.Expect(err.Kind).To(gomega.Equal(failure.MayHaveRun))
			gomega.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
		}
		f := newFixture()
		f.step(jobcheck.Submitted{Job: "j", Delayed: true})
		f.answer(peerB, 1, wire.CheckFree)
		due, ok := f.NextWake()
		gomega.Expect(ok && due <= f.now+500*time.Millisecond).To(gomega.BeTrue())
		f.now = due
		gomega.Expect(refusalOf(f.answer(peerC, 1, wire.CheckFree)).Kind).To(gomega.Equal(failure.MayHaveRun), "an answer that was read after a pause")
		_, ok = f.NextWake()
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	// Guards against a rolling restart in which every delayed submission is refused.
	ginkgo.It("needs no answer of an entry of an earlier release", func() {
		f := newFixture()
		f.step(jobcheck.PeerDisconnected{Entry: peerC})
		f.step(jobcheck.PeerConnected{Entry: peerC, EarlierRelease: true})
		f.step(jobcheck.Submitted{Job: "j", Delayed: true})
		gomega.Expect(f.answer(peerB, 1, wire.CheckFree)).To(gomega.Equal([]jobcheck.Action{jobcheck.Start{Job: "j"}}))
	})

	// Guards against a job that goes on here although the others no longer know, or do not know yet, that it does.
	ginkgo.It("is given up when a session ends or opens", func() {
		for _, event := range []jobcheck.Event{jobcheck.PeerDisconnected{Entry: peerC}, jobcheck.PeerConnected{Entry: wire.Claimant{EntryID: "c", Incarnation: 2}}} {
			f := newFixture()
			f.startDelayed()
			gomega.Expect(f.step(event)).To(gomega.Equal([]jobcheck.Action{jobcheck.GiveUp{Job: "j"}}))
		}
	})

	// Guards against entries that refuse a job for good because they have noted it.
	ginkgo.It("leaves no note when it is over, refused or dropped", func() {
		ended := []jobcheck.Action{jobcheck.Send{To: peerB, Message: &wire.JobCheckEnded{Job: "j"}}, jobcheck.Send{To: peerC, Message: &wire.JobCheckEnded{Job: "j"}}}
		f := newFixture()
		f.startDelayed()
		gomega.Expect(f.step(jobcheck.Over{Job: "j"})).To(gomega.Equal(ended))
		f.step(jobcheck.Submitted{Job: "j", Delayed: true})
		gomega.Expect(f.step(jobcheck.Dropped{Job: "j"})).To(gomega.Equal(ended))
		f.step(jobcheck.Submitted{Job: "j", Delayed: true})
		gomega.Expect(f.answer(peerC, 3, wire.CheckOwned)).To(gomega.ContainElements(ended))
	})
})

var _ = ginkgo.Describe("A check of another entry", func() {
	// Guards against two entries that both start a job because each has answered the other, or a third one, that it is free.
	ginkgo.It("is answered according to what this entry has or has noted", func() {
		gomega.Expect(newFixture().check(peerB, false, false).Result).To(gomega.Equal(wire.CheckFree))
		gomega.Expect(newFixture().check(peerB, false, true).Result).To(gomega.Equal(wire.CheckOwned))
		gomega.Expect(newFixture().check(peerB, true, true).Result).To(gomega.Equal(wire.CheckOwned))
		f := newFixture()
		f.check(peerC, false, false)
		gomega.Expect(f.check(peerB, false, false).Result).To(gomega.Equal(wire.CheckOwned), "noted for c")
		gomega.Expect(f.check(peerC, false, false).Result).To(gomega.Equal(wire.CheckFree), "the check of c again")
		f = newFixture()
		f.step(jobcheck.Submitted{Job: "j", Delayed: true})
		gomega.Expect(f.check(peerB, false, false).Result).To(gomega.Equal(wire.CheckOwned), "checked here")
		f = newFixture()
		f.startDelayed()
		gomega.Expect(f.check(peerB, false, false).Result).To(gomega.Equal(wire.CheckOwned), "started here after a check")
	})

	// Guards against runs of the former process of this entry, of which it does not know.
	ginkgo.It("is not answered with free soon after the start", func() {
		f := newFixture()
		f.now = time.Hour + time.Second
		gomega.Expect(f.check(peerB, false, false).Result).To(gomega.Equal(wire.CheckUncertain))
	})
})

var _ = ginkgo.Describe("A submission of a job that another entry has checked", func() {
	// Guards against a start beside the run of the other entry, and against callers that wait for its whole length.
	ginkgo.It("is started when the other entry has given the job up", func() {
		f := newFixture()
		f.check(peerB, false, false)
		gomega.Expect(f.Needed(f.now, "j", false)).To(gomega.BeTrue())
		gomega.Expect(f.step(jobcheck.Submitted{Job: "j"})).To(gomega.Equal([]jobcheck.Action{
			jobcheck.Send{To: peerB, Message: &wire.JobCheck{Round: 1, Job: "j", Recall: true}},
		}))
		gomega.Expect(f.step(jobcheck.Received{From: peerC, Message: &wire.JobCheckEnded{Job: "j"}})).To(gomega.BeEmpty(), "not the sender of the check")
		gomega.Expect(f.step(jobcheck.Received{From: peerB, Message: &wire.JobCheckEnded{Job: "j"}})).To(gomega.Equal([]jobcheck.Action{jobcheck.Start{Job: "j"}}))
		gomega.Expect(f.Running()).To(gomega.BeEmpty())

		holder := newFixture()
		holder.startDelayed()
		gomega.Expect(holder.step(jobcheck.Received{From: peerB, Message: &wire.JobCheck{Round: 1, Job: "j", Recall: true}})).To(gomega.Equal([]jobcheck.Action{jobcheck.GiveUp{Job: "j"}}))
		holder = newFixture()
		holder.step(jobcheck.Submitted{Job: "j", Delayed: true})
		gomega.Expect(holder.check(peerB, true, false).Result).To(gomega.Equal(wire.CheckFree), "its check is given up")
		gomega.Expect(holder.Checking("j")).To(gomega.BeFalse())
	})

	// Guards against a start beside runs of an entry that has ended or is cut off, and against callers that are refused
	// long after its runs are over.
	ginkgo.It("is not started until runs of an entry that is lost are over", func() {
		f := newFixture()
		f.check(peerB, false, false)
		f.step(jobcheck.PeerDisconnected{Entry: peerB})
		lost := f.now
		f.now = lost + 1900*time.Millisecond
		gomega.Expect(f.Needed(f.now, "j", false)).To(gomega.BeTrue())
		gomega.Expect(f.step(jobcheck.Submitted{Job: "j"})).To(gomega.BeEmpty())
		due, _ := f.NextWake()
		f.now = due
		gomega.Expect(f.step(jobcheck.Tick{})).To(gomega.Equal([]jobcheck.Action{jobcheck.Start{Job: "j"}}))
		gomega.Expect(due - lost).To(gomega.BeNumerically("~", 2100*time.Millisecond, 100*time.Millisecond))

		f = newFixture()
		f.check(peerB, false, false)
		f.step(jobcheck.PeerConnected{Entry: peerB}) // the end of the earlier session was not noticed
		f.now += time.Second
		gomega.Expect(f.Needed(f.now, "j", false)).To(gomega.BeTrue())
		f.now += 2 * time.Second
		gomega.Expect(f.Needed(f.now, "j", false)).To(gomega.BeFalse())

		f = newFixture()
		f.check(peerB, false, false)
		f.step(jobcheck.PeerDisconnected{Entry: peerB})
		f.step(jobcheck.Submitted{Job: "j"})
		f.now, _ = f.NextWake()
		gomega.Expect(refusalOf(f.step(jobcheck.Tick{})).Kind).To(gomega.Equal(failure.MayHaveRun))
	})
})
