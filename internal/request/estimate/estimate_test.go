package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/request/estimate"
)

func TestEstimate(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "estimate")
}

// expectWithin expects the ratio of got and want to be between 1/factor and factor.
func expectWithin(got, want time.Duration, factor float64) {
	ginkgo.GinkgoHelper()
	ratio := float64(got) / float64(want)
	gomega.Expect(ratio).To(gomega.BeNumerically("<", factor), "%v instead of %v", got, want)
	gomega.Expect(ratio).To(gomega.BeNumerically(">", 1/factor), "%v instead of %v", got, want)
}

// samples draws n log-normal run times with the given geometric mean.
func samples(n int, typical time.Duration, sigma float64) []time.Duration {
	random := rand.New(rand.NewPCG(20261204, 7))
	drawn := make([]time.Duration, n)
	for i := range drawn {
		drawn[i] = time.Duration(float64(typical) * math.Exp(sigma*random.NormFloat64()))
	}
	return drawn
}

var _ = ginkgo.Describe("the estimate of a class", func() {
	// Guards against placement by declared run times that are wrong by a factor of ten.
	ginkgo.It("outweighs a declared run time after 60 runs", func() {
		var distribution estimate.Distribution
		var slowness estimate.Slowness
		declared := 2 * time.Second
		gomega.Expect(distribution.Typical(declared)).To(gomega.BeNumerically("~", declared, time.Millisecond))
		for _, run := range samples(60, 200*time.Millisecond, 0.3) {
			estimate.Observe(&distribution, &slowness, run)
		}
		expectWithin(distribution.Typical(declared), 200*time.Millisecond, 1.4)
	})

	// Guards against a few very long runs that distort the estimate for all others.
	ginkgo.It("changes little with a tail of long runs", func() {
		var distribution estimate.Distribution
		var slowness estimate.Slowness
		for i, run := range samples(400, 100*time.Millisecond, 0.3) {
			if i%50 == 49 {
				run *= 40
			}
			estimate.Observe(&distribution, &slowness, run)
		}
		expectWithin(distribution.Typical(0), 100*time.Millisecond, 1.35)
	})

	// Guards against quantiles that do not separate typical runs from the tail.
	ginkgo.It("tracks quantiles", func() {
		var distribution estimate.Distribution
		var slowness estimate.Slowness
		for _, run := range samples(3000, 100*time.Millisecond, 0.5) {
			estimate.Observe(&distribution, &slowness, run)
		}
		expectWithin(distribution.Quantile(estimate.P50, 0), 100*time.Millisecond, 1.25)
		expectWithin(distribution.Quantile(estimate.P90, 0), time.Duration(100*math.Exp(0.5*1.2816))*time.Millisecond, 1.35)
		gomega.Expect(distribution.Quantile(estimate.P99, 0)).To(gomega.BeNumerically(">", distribution.Quantile(estimate.P90, 0)))
	})

	// Guards against an estimate that stays at the old run time after a release that made the class
	// slower.
	ginkgo.It("follows a change of the run time", func() {
		var distribution estimate.Distribution
		var slowness estimate.Slowness
		for _, run := range samples(500, 100*time.Millisecond, 0.2) {
			estimate.Observe(&distribution, &slowness, run)
		}
		for _, run := range samples(500, 300*time.Millisecond, 0.2) {
			estimate.Observe(&distribution, &slowness, run)
		}
		expectWithin(time.Duration(float64(distribution.Typical(0))*slowness.Factor()), 300*time.Millisecond, 1.3)
	})
})

var _ = ginkgo.Describe("the estimate of an agent", func() {
	// Guards against a slow worker that is taken for one of mean speed, and against an estimate of
	// the class that depends on the speed of one worker.
	ginkgo.It("separates the speed of an agent from the run time of a class", func() {
		var distribution estimate.Distribution
		slownesses := make([]estimate.Slowness, 4)
		for i, run := range samples(4000, 100*time.Millisecond, 0.3) {
			at := i % len(slownesses)
			if at == 0 {
				run *= 3
			}
			estimate.Observe(&distribution, &slownesses[at], run)
		}
		gomega.Expect(slownesses[0].Factor() / slownesses[1].Factor()).To(gomega.BeNumerically("~", 3, 0.6))
		expectWithin(time.Duration(float64(distribution.Typical(0))*slownesses[1].Factor()), 100*time.Millisecond, 1.25)
	})

	// Guards against an unbounded slowness factor of a worker that hardly makes progress.
	ginkgo.It("is bounded", func() {
		var distribution estimate.Distribution
		var usual, stuck estimate.Slowness
		for range 2000 {
			estimate.Observe(&distribution, &usual, 10*time.Millisecond)
			estimate.Observe(&distribution, &stuck, time.Hour)
		}
		gomega.Expect(stuck.Factor()).To(gomega.BeNumerically("<=", 16.1))
	})
})

var _ = ginkgo.Describe("the speed of an agent from ratios", func() {
	// Guards against a slow worker that is noticed only after many runs, and against one run that decides alone.
	ginkgo.It("is known roughly after ten runs and bounded", func() {
		var slow, outlier estimate.Slowness
		for _, run := range samples(10, 180*time.Millisecond, 0.3) {
			slow.ObserveRatio(run, 100*time.Millisecond)
		}
		gomega.Expect(slow.Factor()).To(gomega.BeNumerically("~", 1.8, 0.4))
		outlier.ObserveRatio(time.Hour, time.Millisecond)
		gomega.Expect(outlier.Factor()).To(gomega.BeNumerically("<", 2))
		for range 1000 {
			outlier.ObserveRatio(time.Hour, time.Millisecond)
		}
		gomega.Expect(outlier.Factor()).To(gomega.BeNumerically("<=", 16.1))
	})

	// Guards against a good estimate that is replaced by one from fewer runs, and against values that are no numbers.
	ginkgo.It("is adopted only with more samples", func() {
		var s estimate.Slowness
		gomega.Expect(s.Adopt(0.5, 20)).To(gomega.BeNumerically("~", 0.5))
		gomega.Expect(s.Adopt(-1, 19)).To(gomega.BeZero())
		gomega.Expect(s.Adopt(math.NaN(), 1000)).To(gomega.BeZero())
		gomega.Expect(s.Log()).To(gomega.BeNumerically("~", 0.5))
		gomega.Expect(s.Adopt(math.Inf(1), 21)).To(gomega.BeNumerically(">", 0))
		gomega.Expect(s.Factor()).To(gomega.BeNumerically("<=", 16.1))
	})
})
