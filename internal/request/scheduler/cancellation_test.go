package scheduler_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/request/scheduler"
)

var _ = ginkgo.Describe("a job that is cancelled on request", func() {
	// Guards against an answer after which the caller submits the job again.
	ginkgo.It("gets a final verdict, as does a resubmission that waits for its last run", func() {
		c := newCluster(1, 4)
		var decided []scheduler.Decided
		c.onDecided = func(d scheduler.Decided) { decided = append(decided, d) }
		s := c.submission(jobClasses[1])
		c.submit(c.entries[0], s)
		c.advance(50 * time.Millisecond)
		c.stepEntry(c.entries[0], scheduler.Cancelled{Job: s.ID})
		c.stepEntry(c.entries[0], scheduler.Submitted{Submission: s})
		c.stepEntry(c.entries[0], scheduler.Cancelled{Job: s.ID, Requested: true})
		other := c.submission(jobClasses[1])
		c.submit(c.entries[0], other)
		c.advance(50 * time.Millisecond)
		c.stepEntry(c.entries[0], scheduler.Cancelled{Job: other.ID, Requested: true})
		c.advance(5 * time.Second)
		gomega.Expect(decided).To(gomega.HaveLen(3))
		gomega.Expect(decided[0].Verdict).To(gomega.Equal(scheduler.Expired))
		for k, id := range []string{s.ID, other.ID} {
			gomega.Expect(decided[k+1].Job).To(gomega.Equal(id))
			gomega.Expect(decided[k+1].Verdict).To(gomega.Equal(scheduler.Revoked))
			gomega.Expect(decided[k+1].Error.Kind).To(gomega.Equal(failure.Cancelled))
		}
		gomega.Expect(c.entries[0].machine.OpenJobs()).To(gomega.BeZero())
	})

	// Guards against runs of a job that was cancelled while its entry was out of touch, before the entry knows of it, and
	// against jobs that stay held or are rejected although a task has started.
	ginkgo.It("is held while the entry asks, and continued or given up then", func() {
		for _, drop := range []bool{false, true} {
			c := newCluster(1, 4)
			started, waiting := c.submission(jobClasses[1]), c.submission(jobClasses[1])
			started.Wait, waiting.Wait, waiting.Slack = 20*time.Second, 20*time.Second, 10*time.Second
			c.submit(c.entries[0], started)
			c.advance(50 * time.Millisecond)
			// The second job has waited for another reason, which ends while it is held.
			peer := wire.Claimant{EntryID: "other", Incarnation: 1}
			c.stepEntry(c.entries[0], scheduler.PeerUnresolved{Entry: peer, Report: &wire.UnresolvedJobs{Jobs: []string{waiting.ID}}})
			c.submit(c.entries[0], waiting)
			c.stepEntry(c.entries[0], scheduler.JobsHeld{})
			c.stepEntry(c.entries[0], scheduler.PeerUnresolved{Entry: peer, Report: &wire.UnresolvedJobs{}})
			c.advance(time.Second)
			gomega.Expect(c.orderedRuns[waiting.ID]).To(gomega.BeZero())
			c.stepEntry(c.entries[0], scheduler.JobsReleased{Drop: drop})
			if !drop {
				c.advance(10 * time.Second)
				gomega.Expect(c.records[started.ID].Verdict).To(gomega.Equal(scheduler.Completed))
				gomega.Expect(c.records[waiting.ID].Verdict).To(gomega.Equal(scheduler.Completed))
				continue
			}
			gomega.Expect(c.records[started.ID].Verdict).To(gomega.Equal(scheduler.Expired))
			gomega.Expect(c.records[waiting.ID].Verdict).To(gomega.Equal(scheduler.Rejected))
		}
	})
})
