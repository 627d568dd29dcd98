package catalog_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/version/catalog"
)

func routing(version uint64, prefixes ...string) catalog.Routing {
	r := catalog.Routing{Version: version, Services: []catalog.Service{{Name: "logs"}}}
	for i, prefix := range prefixes {
		r.Routes = append(r.Routes, catalog.Route{Name: fmt.Sprint("r", i), Host: "a.example", PathPrefix: prefix, Service: "logs", Timeout: time.Second})
	}
	return r
}

var _ = ginkgo.Describe("Routing", func() {
	// Guards against a request that is matched to a route with a shorter prefix or another host.
	ginkgo.It("finds the route with the longest prefix", func() {
		r := routing(1, "/a/", "/a/b/", "/a/b/c")
		for path, want := range map[string]string{"/a/x": "/a/", "/a/b/x": "/a/b/", "/a/b/cx": "/a/b/c", "/b": ""} {
			route, found := r.Find("A.example", path)
			gomega.Expect(found).To(gomega.Equal(want != ""), path)
			if found {
				gomega.Expect(route.PathPrefix).To(gomega.Equal(want))
			}
		}
		_, found := r.Find("b.example", "/a/x")
		gomega.Expect(found).To(gomega.BeFalse())
	})

	// Guards against an accepted configuration that cannot be applied in full.
	ginkgo.DescribeTable("rejects", func(invalidate func(*catalog.Routing)) {
		r := routing(1, "/a/", "/b/")
		gomega.Expect(r.Validate()).To(gomega.Succeed())
		invalidate(&r)
		gomega.Expect(r.Validate()).NotTo(gomega.Succeed())
	},
		ginkgo.Entry("no version", func(r *catalog.Routing) { r.Version = 0 }),
		ginkgo.Entry("an unknown service", func(r *catalog.Routing) { r.Routes[0].Service = "x" }),
		ginkgo.Entry("a duplicate service", func(r *catalog.Routing) { r.Services = append(r.Services, r.Services[0]) }),
		ginkgo.Entry("two routes with the same host and prefix", func(r *catalog.Routing) { r.Routes[1].PathPrefix, r.Routes[1].Host = "/a/", "A.EXAMPLE" }),
		ginkgo.Entry("a timeout of zero", func(r *catalog.Routing) { r.Routes[0].Timeout = 0 }),
		ginkgo.Entry("a prefix without a slash", func(r *catalog.Routing) { r.Routes[0].PathPrefix = "a" }),
		ginkgo.Entry("a negative objective", func(r *catalog.Routing) { r.Routes[0].Slack = -1 }),
		ginkgo.Entry("a long name", func(r *catalog.Routing) { r.Routes[0].Name = strings.Repeat("x", 600) }),
		ginkgo.Entry("limits out of range", func(r *catalog.Routing) { r.Limits.BodyBytes = -1 }),
		ginkgo.Entry("a document above the size limit", func(r *catalog.Routing) { r.Document = make([]byte, catalog.MaxDocumentBytes+1) }),
	)

	// Guards against a history of large configurations that exhausts the memory of the control
	// members, and against steps with a gap.
	ginkgo.It("keeps a bounded history of large versions", func() {
		machine := catalog.New()
		first := machine.State().Revision
		for version := uint64(1); version <= 60; version++ {
			r := routing(version, "/a/")
			r.Document = make([]byte, 100<<10)
			data, err := catalog.Command{Operation: catalog.PutRouting{Routing: r}}.Encode()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(machine.Apply(data).Failure).To(gomega.BeNil())
		}
		_, kept := machine.StepsSince(first)
		gomega.Expect(kept).To(gomega.BeFalse())
		steps, kept := machine.StepsSince(machine.State().Revision - 10)
		gomega.Expect(kept).To(gomega.BeTrue())
		gomega.Expect(steps).To(gomega.HaveLen(10))
	})
})
