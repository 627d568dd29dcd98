package configfeed

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("redialPlan", func() {
	// Guards against a process that waits long for members whose hosts are off, and against one that never reaches
	// members beyond a slow link.
	ginkgo.It("tries all members with a short timeout first", func() {
		var p redialPlan
		for _, want := range []time.Duration{50, 50, 50, 100, 100, 100, 200, 200, 200, 300, 300, 300, 300} {
			gomega.Expect(p.timeout()).To(gomega.Equal(want * time.Millisecond))
			p.ended(false, 3, p.timeout())
		}
		p.ended(true, 3, time.Hour)
		gomega.Expect(p.timeout()).To(gomega.Equal(minConnectTimeout))
	})

	// Guards against a loop without a pause when members refuse connections or end sessions at once.
	ginkgo.It("starts at most one attempt in redialBackoff", func() {
		var p redialPlan
		gomega.Expect(p.ended(false, 1, time.Millisecond)).To(gomega.Equal(redialBackoff - time.Millisecond))
		gomega.Expect(p.ended(true, 1, 0)).To(gomega.Equal(redialBackoff))
		gomega.Expect(p.ended(false, 1, time.Second)).To(gomega.BeZero())
		gomega.Expect(p.ended(false, 0, 0)).To(gomega.Equal(redialBackoff), "no member is known")
	})
})
