package health_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/request/health"
)

func TestHealth(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "health")
}

// rateOf returns a rate that has seen many answers of which a share failed, evenly spread.
func rateOf(failed, of int) *health.FailureRate {
	r := &health.FailureRate{}
	for i := range 50 * of {
		r.Observe(i%of < failed)
	}
	return r
}

var _ = ginkgo.Describe("the tolerance", func() {
	// Guards against probations for a class that fails at every agent, and against a worker that
	// may fail often before it is noticed.
	ginkgo.It("grows with the share of failures over all agents", func() {
		rare, half, all := rateOf(0, 10), rateOf(5, 10), rateOf(10, 10)
		gomega.Expect(rare.FailureThreshold()).To(gomega.Equal(3))
		gomega.Expect(half.FailureThreshold()).To(gomega.BeNumerically(">", 8))
		gomega.Expect(half.FailureThreshold()).To(gomega.BeNumerically("<", 30))
		gomega.Expect(all.FailureThreshold()).To(gomega.BeNumerically(">=", 1000))
	})

	// Guards against a probation of every agent when a class has never had a good answer.
	ginkgo.It("puts no agent on probation before the first good answer", func() {
		var r health.FailureRate
		r.Observe(true)
		gomega.Expect(r.FailureThreshold()).To(gomega.BeNumerically(">=", 1000))
	})
})

var _ = ginkgo.Describe("the standing of an agent", func() {
	const tolerated = 3

	// Guards against many tasks that are lost to an agent that has begun to fail.
	ginkgo.It("falls to one start after a failure and to none after three", func() {
		s := health.NewHealthy()
		gomega.Expect(s.RecordFailure(0, tolerated)).To(gomega.BeFalse())
		gomega.Expect(s.Limit).To(gomega.Equal(1))
		gomega.Expect(s.RecordFailure(0, tolerated)).To(gomega.BeFalse())
		gomega.Expect(s.RecordFailure(0, tolerated)).To(gomega.BeTrue())
		gomega.Expect(s.ProbationEnd).To(gomega.Equal(2 * time.Second))
		gomega.Expect(s.Describe(time.Second)).To(gomega.Equal("probation"))
	})

	// Guards against an agent that keeps failing and is tried every two seconds for ever, and against a
	// pause without end.
	ginkgo.It("pauses four times longer after each further probation, up to five minutes", func() {
		s := health.NewHealthy()
		now := time.Duration(0)
		var pauses []time.Duration
		for len(pauses) < 6 {
			if s.RecordFailure(now, tolerated) {
				pauses = append(pauses, s.ProbationEnd-now)
				now = s.ProbationEnd
			}
		}
		gomega.Expect(pauses).To(gomega.Equal([]time.Duration{
			2 * time.Second, 8 * time.Second, 32 * time.Second, 128 * time.Second, 5 * time.Minute, 5 * time.Minute,
		}))
	})

	// Guards against a second probation for runs that were sent before the first one.
	ginkgo.It("ignores failures of starts from before the probation", func() {
		s := health.NewHealthy()
		for !s.RecordFailure(0, tolerated) {
		}
		until := s.ProbationEnd
		gomega.Expect(s.RecordFailure(until-1, tolerated)).To(gomega.BeFalse())
		gomega.Expect(s.ProbationEnd).To(gomega.Equal(until))
		gomega.Expect(s.Probations).To(gomega.Equal(1))
	})

	// Guards against an agent that stays limited after it has recovered, and against one that gets its
	// whole room back with the first good answer.
	ginkgo.It("doubles the starts with each good answer, and resets the count of probations", func() {
		s := health.NewHealthy()
		for !s.RecordFailure(0, tolerated) {
		}
		s.RecordSuccess(8)
		gomega.Expect(s.Limit).To(gomega.Equal(2))
		for range 3 {
			s.RecordSuccess(8)
		}
		gomega.Expect(s.Limit).To(gomega.BeNumerically(">", 1000))
		gomega.Expect(s.Probations).To(gomega.BeZero())
		gomega.Expect(s.Describe(time.Hour)).To(gomega.Equal("healthy"))
	})

	// Guards against the load of a whole zone on workers that have just returned with it.
	ginkgo.It("warms up after the return of its zone", func() {
		s := health.NewHealthy()
		s.WarmUp()
		gomega.Expect(s.Limit).To(gomega.Equal(2))
	})
})
