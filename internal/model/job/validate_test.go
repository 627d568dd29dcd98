package job_test

import (
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
)

// version7 is a UUID that contains the time 0x0188_0000_0000 ms.
const (
	version7     = "01880000-0000-7abc-8def-0123456789ab"
	version7Time = int64(0x018800000000)
)

var _ = ginkgo.Describe("submission time", func() {
	ginkgo.DescribeTable("ResolveTime accepts", func(id string, submittedAt, want int64) {
		at, err := job.ResolveTime(id, submittedAt)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(at).To(gomega.Equal(want))
	},
		ginkgo.Entry("the time of a UUID of version 7", version7, int64(0), version7Time),
		ginkgo.Entry("submitted_at that equals the time in the id", version7, version7Time, version7Time),
		ginkgo.Entry("submitted_at with an id without a time", "job", int64(5), int64(5)),
		ginkgo.Entry("a UUID in upper case as plain text", strings.ToUpper(version7), int64(5), int64(5)),
	)
	ginkgo.DescribeTable("ResolveTime rejects", func(id string, submittedAt int64) {
		_, err := job.ResolveTime(id, submittedAt)
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.InvalidArgument))
	},
		ginkgo.Entry("submitted_at that differs from the time in the id", version7, version7Time+1),
		ginkgo.Entry("an id without a time and no submitted_at", "job", int64(0)),
		ginkgo.Entry("a negative submitted_at", "job", int64(-1)),
		ginkgo.Entry("a UUID of another version and no submitted_at", "01880000-0000-4abc-8def-0123456789ab", int64(0)),
	)
	ginkgo.It("CheckTime allows a time up to 5 s ahead of the clock", func() {
		gomega.Expect(job.CheckTime(15_000, 10_000)).To(gomega.Succeed())
		gomega.Expect(job.CheckTime(15_001, 10_000)).NotTo(gomega.Succeed())
	})
})

var _ = ginkgo.Describe("Validate", func() {
	limits := job.Limits{Tasks: 2, Headers: 2, HeaderBytes: 20, BodyBytes: 10, PathBytes: 12}.WithDefaults()
	valid := func() *job.Submission {
		return &job.Submission{
			Key: job.Key{Organisation: "org", ID: "id ö"}, Class: "class",
			Tasks: []job.Task{{Method: "POST", Path: "/a?b=c", Body: make([]byte, 10), Headers: []job.Header{{Name: "X-A", Value: "b"}}}},
		}
	}
	ginkgo.It("accepts a submission at the limits", func() {
		gomega.Expect(job.Validate(valid(), limits)).To(gomega.Succeed())
	})
	ginkgo.DescribeTable("rejects", func(kind failure.Kind, change func(s *job.Submission, t *job.Task)) {
		s := valid()
		change(s, &s.Tasks[0])
		err := job.Validate(s, limits)
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(kind))
		gomega.Expect(err.(*failure.Error).Remedy).NotTo(gomega.BeEmpty())
	},
		ginkgo.Entry("no id", failure.InvalidArgument, func(s *job.Submission, _ *job.Task) { s.Key.ID = "" }),
		ginkgo.Entry("a long id", failure.InvalidArgument, func(s *job.Submission, _ *job.Task) { s.Key.ID = strings.Repeat("x", 65) }),
		ginkgo.Entry("an id that is not UTF-8", failure.InvalidArgument, func(s *job.Submission, _ *job.Task) { s.Key.ID = "\xff" }),
		ginkgo.Entry("no class", failure.InvalidArgument, func(s *job.Submission, _ *job.Task) { s.Class = "" }),
		ginkgo.Entry("no tasks", failure.InvalidArgument, func(s *job.Submission, _ *job.Task) { s.Tasks = nil }),
		ginkgo.Entry("too many tasks", failure.InvalidArgument, func(s *job.Submission, t *job.Task) { s.Tasks = []job.Task{*t, *t, *t} }),
		ginkgo.Entry("an invalid method", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.Method = "GE T" }),
		ginkgo.Entry("CONNECT", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.Method = "CONNECT" }),
		ginkgo.Entry("an absolute URL", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.Path = "http://x/" }),
		ginkgo.Entry("an authority", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.Path = "//x/" }),
		ginkgo.Entry("a line break in the path", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.Path = "/\r\nX: y" }),
		ginkgo.Entry("a long path", failure.TooLarge, func(_ *job.Submission, t *job.Task) { t.Path = "/" + strings.Repeat("x", 12) }),
		ginkgo.Entry("a large body", failure.TooLarge, func(_ *job.Submission, t *job.Task) { t.Body = make([]byte, 11) }),
		ginkgo.Entry("too many headers", failure.TooLarge, func(_ *job.Submission, t *job.Task) {
			t.Headers = []job.Header{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		}),
		ginkgo.Entry("large headers", failure.TooLarge, func(_ *job.Submission, t *job.Task) { t.Headers[0].Value = strings.Repeat("x", 18) }),
		ginkgo.Entry("a line break in a header", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.Headers[0].Value = "a\r\nb" }),
		ginkgo.Entry("a reserved header", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.Headers[0].Name = "Transfer-Encoding" }),
		ginkgo.Entry("negative memory", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.Need.MemoryBytes = -1 }),
		ginkgo.Entry("a negative run time", failure.InvalidArgument, func(_ *job.Submission, t *job.Task) { t.DeclaredRunTime = -1 }),
	)
})
