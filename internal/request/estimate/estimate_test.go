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

// within reports that a duration is near a wanted one, as a factor.
func within(got, want time.Duration, factor float64) {
	ginkgo.GinkgoHelper()
	ratio := float64(got) / float64(want)
	gomega.Expect(ratio).To(gomega.BeNumerically("<", factor), "%v instead of %v", got, want)
	gomega.Expect(ratio).To(gomega.BeNumerically(">", 1/factor), "%v instead of %v", got, want)
}

// samples draws log-normal run times around a typical one.
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
	ginkgo.It("overrules a declared run time after some ten runs", func() {
		var class estimate.Distribution
		var agent estimate.Speed
		declared := 2 * time.Second
		gomega.Expect(class.Typical(declared)).To(gomega.BeNumerically("~", declared, time.Millisecond))
		for _, run := range samples(60, 200*time.Millisecond, 0.3) {
			estimate.Observe(&class, &agent, run)
		}
		within(class.Typical(declared), 200*time.Millisecond, 1.4)
	})

	// Guards against a few very long runs that move the estimate for all others.
	ginkgo.It("moves little by a tail of long runs", func() {
		var class estimate.Distribution
		var agent estimate.Speed
		for i, run := range samples(400, 100*time.Millisecond, 0.3) {
			if i%50 == 49 {
				run *= 40
			}
			estimate.Observe(&class, &agent, run)
		}
		within(class.Typical(0), 100*time.Millisecond, 1.35)
	})

	// Guards against quantiles that do not separate the usual runs from the tail.
	ginkgo.It("tracks quantiles", func() {
		var class estimate.Distribution
		var agent estimate.Speed
		for _, run := range samples(3000, 100*time.Millisecond, 0.5) {
			estimate.Observe(&class, &agent, run)
		}
		within(class.At(estimate.P50, 0), 100*time.Millisecond, 1.25)
		within(class.At(estimate.P90, 0), time.Duration(100*math.Exp(0.5*1.2816))*time.Millisecond, 1.35)
		gomega.Expect(class.At(estimate.P99, 0)).To(gomega.BeNumerically(">", class.At(estimate.P90, 0)))
	})

	// Guards against a class that stays at its old run time after a release that made it slower.
	ginkgo.It("follows a change", func() {
		var class estimate.Distribution
		var agent estimate.Speed
		for _, run := range samples(500, 100*time.Millisecond, 0.2) {
			estimate.Observe(&class, &agent, run)
		}
		for _, run := range samples(500, 300*time.Millisecond, 0.2) {
			estimate.Observe(&class, &agent, run)
		}
		within(time.Duration(float64(class.Typical(0))*agent.Slowness()), 300*time.Millisecond, 1.3)
	})
})

var _ = ginkgo.Describe("the estimate of an agent", func() {
	// Guards against a slow worker that counts as usual, and against a class whose estimate takes the
	// speed of one worker over.
	ginkgo.It("separates the speed of an agent from the run time of a class", func() {
		var class estimate.Distribution
		agents := make([]estimate.Speed, 4)
		for i, run := range samples(4000, 100*time.Millisecond, 0.3) {
			at := i % len(agents)
			if at == 0 {
				run *= 3
			}
			estimate.Observe(&class, &agents[at], run)
		}
		gomega.Expect(agents[0].Slowness() / agents[1].Slowness()).To(gomega.BeNumerically("~", 3, 0.6))
		within(time.Duration(float64(class.Typical(0))*agents[1].Slowness()), 100*time.Millisecond, 1.25)
	})

	// Guards against a factor without bound from a worker that stands still.
	ginkgo.It("is bounded", func() {
		var class estimate.Distribution
		var usual, stuck estimate.Speed
		for range 2000 {
			estimate.Observe(&class, &usual, 10*time.Millisecond)
			estimate.Observe(&class, &stuck, time.Hour)
		}
		gomega.Expect(stuck.Slowness()).To(gomega.BeNumerically("<=", 16.1))
	})
})
