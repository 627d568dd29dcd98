package failure_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/failure"
)

func TestFailure(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "failure")
}

var _ = ginkgo.Describe("RecoverFault", func() {
	// Guards against a panic in one request, session or call that ends the process.
	ginkgo.It("turns a panic into an error that names its place", func() {
		dereference := func(p *int) (err error) {
			defer failure.RecoverFault(&err)
			*p++
			return nil
		}
		err := dereference(nil)
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Internal))
		gomega.Expect(failure.IsFault(err)).To(gomega.BeTrue())
		gomega.Expect(err.Error()).To(gomega.MatchRegexp(`failure_test\.go:\d+: .*nil pointer`))
		gomega.Expect(dereference(new(int))).To(gomega.Succeed())
		gomega.Expect(failure.IsFault(failure.New(failure.Internal, "", "disk"))).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("KindOf", func() {
	// Guards against a wrapped error that loses its kind and is reported as an internal error.
	ginkgo.It("returns the kind of a wrapped error", func() {
		err := errors.Wrap(failure.New(failure.Overloaded, "retry later", "queue is full").WithRetryAfter(time.Second), "submit")
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Overloaded))
	})
	ginkgo.It("reports an error without a kind as internal", func() {
		gomega.Expect(failure.KindOf(errors.New("x"))).To(gomega.Equal(failure.Internal))
	})
})
