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

// failureRateOf returns a rate after many outcomes. Each group of groupSize outcomes begins with the given
// number of failures.
func failureRateOf(failures, groupSize int) *health.FailureRate {
	r := &health.FailureRate{}
	for i := range 50 * groupSize {
		r.Observe(i%groupSize < failures)
	}
	return r
}

var _ = ginkgo.Describe("the failure threshold", func() {
	// Guards against probations for a class that fails at every agent, and against a threshold that
	// lets a broken worker of a reliable class fail often.
	ginkgo.It("grows with the share of failures over all agents", func() {
		rare, half, all := failureRateOf(0, 10), failureRateOf(5, 10), failureRateOf(10, 10)
		gomega.Expect(rare.FailureThreshold()).To(gomega.Equal(3))
		gomega.Expect(half.FailureThreshold()).To(gomega.BeNumerically(">", 8))
		gomega.Expect(half.FailureThreshold()).To(gomega.BeNumerically("<", 30))
		gomega.Expect(all.FailureThreshold()).To(gomega.BeNumerically(">=", 1000))
	})

	// Guards against a probation of every agent when no start of a class has ever succeeded.
	ginkgo.It("puts no agent on probation before the first success", func() {
		var r health.FailureRate
		r.Observe(true)
		gomega.Expect(r.FailureThreshold()).To(gomega.BeNumerically(">=", 1000))
	})
})

var _ = ginkgo.Describe("the state of an agent", func() {
	const threshold = 3

	// Guards against many tasks lost to an agent that has begun to fail.
	ginkgo.It("allows one start after a failure and none after three", func() {
		s := health.NewHealthy()
		gomega.Expect(s.RecordFailure(0, threshold)).To(gomega.BeFalse())
		gomega.Expect(s.Limit).To(gomega.Equal(1))
		gomega.Expect(s.RecordFailure(0, threshold)).To(gomega.BeFalse())
		gomega.Expect(s.RecordFailure(0, threshold)).To(gomega.BeTrue())
		gomega.Expect(s.ProbationEnd).To(gomega.Equal(2 * time.Second))
		gomega.Expect(s.Describe(time.Second)).To(gomega.Equal("probation"))
	})

	// Guards against a failing agent that is tried every two seconds without end, and against a
	// probation of unbounded length.
	ginkgo.It("makes each further probation four times longer, up to five minutes", func() {
		s := health.NewHealthy()
		now := time.Duration(0)
		var durations []time.Duration
		for len(durations) < 6 {
			if s.RecordFailure(now, threshold) {
				durations = append(durations, s.ProbationEnd-now)
				now = s.ProbationEnd
			}
		}
		gomega.Expect(durations).To(gomega.Equal([]time.Duration{
			2 * time.Second, 8 * time.Second, 32 * time.Second, 128 * time.Second, 5 * time.Minute, 5 * time.Minute,
		}))
	})

	// Guards against a second probation because of starts that were sent before the first one.
	ginkgo.It("ignores failures of starts that were sent before the probation", func() {
		s := health.NewHealthy()
		for !s.RecordFailure(0, threshold) {
		}
		until := s.ProbationEnd
		gomega.Expect(s.RecordFailure(until-1, threshold)).To(gomega.BeFalse())
		gomega.Expect(s.ProbationEnd).To(gomega.Equal(until))
		gomega.Expect(s.Probations).To(gomega.Equal(1))
	})

	// Guards against an agent that stays limited after it has recovered, and against a limit that
	// is lifted by the first success.
	ginkgo.It("doubles the limit with each success, and resets the count of probations", func() {
		s := health.NewHealthy()
		for !s.RecordFailure(0, threshold) {
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

	// Guards against the end of a warm-up, or of any other limit, by a failure: where many starts of a class fail at all
	// agents, the first failure lifted the limit.
	ginkgo.It("keeps its limit after a failure that is usual for its class", func() {
		const usual = 20 // threshold of a class of which many starts fail everywhere
		s := health.NewHealthy()
		s.WarmUp()
		gomega.Expect(s.RecordFailure(0, usual)).To(gomega.BeFalse())
		gomega.Expect(s.Limit).To(gomega.Equal(2))
		gomega.Expect(s.RecordFailure(0, threshold)).To(gomega.BeFalse())
		gomega.Expect(s.Limit).To(gomega.Equal(1))
		gomega.Expect(s.RecordFailure(0, usual)).To(gomega.BeFalse(), "the threshold has grown")
		gomega.Expect(s.Limit).To(gomega.Equal(2))
	})

	// Guards against full load on workers whose zone has just returned to service.
	ginkgo.It("is limited to two starts after the return of its zone", func() {
		s := health.NewHealthy()
		s.WarmUp()
		gomega.Expect(s.Limit).To(gomega.Equal(2))
	})
})
