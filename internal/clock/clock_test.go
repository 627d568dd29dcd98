package clock_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/clock"
)

func TestClock(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "clock")
}

var _ = ginkgo.Describe("SinceBoot", func() {
	// Guards against a clock that goes backwards, which would extend leases.
	ginkgo.It("never decreases", func() {
		last := clock.SinceBoot()
		for range 1000 {
			now := clock.SinceBoot()
			gomega.Expect(now).To(gomega.BeNumerically(">=", last))
			last = now
		}
	})
})
