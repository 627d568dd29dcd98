package runner_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/cancellation"
	"pollenpaddle/internal/request/runner"
)

var _ = ginkgo.Describe("a cancellation that another entry reports", func() {
	// Guards against runs of a cancelled job that continue, or are ordered again, because their owner does not know of the
	// cancellation.
	ginkgo.It("stops the runs of the job and refuses later ones, and no others", func() {
		const cancelled, other = "00000000000000aa", "00000000000000bb"
		for _, message := range []wire.Message{
			&wire.JobCancellation{Job: cancelled},
			&wire.CancellationRecords{Digests: []uint64{cancellation.Digest(cancelled)}, Remaining: []time.Duration{time.Minute}},
		} {
			f := newFleet(2, 10*time.Second)
			owner, reporter := f.entries[0], f.entries[1]
			reasons := map[run.Reason]int{}
			f.onMessage = func(send runner.Send) {
				if ends, ok := send.Message.(*wire.RunEnds); ok {
					for _, end := range ends.Ends {
						reasons[end.Reason]++
					}
				}
			}
			f.order(owner, cancelled)
			f.order(owner, other)
			f.advance(200 * time.Millisecond)
			gomega.Expect(f.worker.Running).To(gomega.HaveLen(2))
			f.step(runner.Received{Entry: reporter, Message: message})
			f.advance(500 * time.Millisecond)
			gomega.Expect(f.worker.Running).To(gomega.HaveLen(1))
			gomega.Expect(f.worker.Running[0].ID.Task.Job).To(gomega.Equal(other))
			f.order(owner, cancelled)
			f.advance(500 * time.Millisecond)
			gomega.Expect(f.worker.Running).To(gomega.HaveLen(1))
			gomega.Expect(reasons[run.Cancelled]).To(gomega.Equal(1))
		}
	})
})
