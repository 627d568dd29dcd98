package scheduler_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// startupShare returns the share in time of the jobs of the first two seconds after a start, over several loads, with 30
// workers of which one in four is half as fast as the others.
func startupShare(entries int) float64 {
	const loads, agents, rate = 6, 30, 0.8
	inTimeJobs, jobs := 0, 0
	for seed := range uint64(loads) {
		c := newCluster(entries, agents)
		c.random = rand.New(rand.NewPCG(20261205, seed))
		c.meanNeed = 15000
		for i, n := range c.nodes {
			n.slowness = 1 / 1.2
			if i%4 == 0 {
				n.slowness = 1 / 0.55
			}
		}
		c.advance(time.Second)
		c.load(2*time.Second, rate)
		c.advance(8 * time.Second)
		for _, record := range c.allRecords {
			jobs++
			if inTime(record) {
				inTimeJobs++
			}
		}
	}
	return float64(inTimeJobs) / float64(jobs)
}

var _ = ginkgo.Describe("entries that have just started", func() {
	// Guards against jobs that are late because their entry does not know yet which workers are slow: with many entries,
	// each sees few runs of a worker.
	ginkgo.It("learn the speeds of workers from the runs of all entries", func() {
		one, ten := startupShare(1), startupShare(10)
		ginkgo.GinkgoWriter.Printf("in time: %.3f with one entry, %.3f with ten\n", one, ten)
		gomega.Expect(ten).To(gomega.BeNumerically(">", 0.95*one))
	})
})
