package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// entryShares returns the share of the jobs of each entry that were in time, over several loads. The entries get the
// given parts of all jobs. workersLost workers stop accepting runs before the load.
func entryShares(parts []float64, rate float64, workersLost int) []float64 {
	const loads, agents = 24, 11
	inTimeJobs, jobs := make([]int, len(parts)), make([]int, len(parts))
	for seed := range uint64(loads) {
		c := newCluster(len(parts), agents)
		c.random = rand.New(rand.NewPCG(20261205, seed))
		for _, n := range c.nodes[:workersLost] {
			n.unreachable = true
		}
		c.advance(3 * time.Second)
		submitter := map[*jobRecord]int{}
		c.loadEntries(4*time.Second, rate, func() int { return pick(c.random, parts) }, func(entry int, record *jobRecord) { submitter[record] = entry })
		c.advance(8 * time.Second)
		for record, entry := range submitter {
			jobs[entry]++
			if inTime(record) {
				inTimeJobs[entry]++
			}
		}
	}
	shares := make([]float64, len(parts))
	for k := range parts {
		shares[k] = float64(inTimeJobs[k]) / float64(jobs[k])
	}
	return shares
}

// pick returns a random index with the given probabilities.
func pick(random *rand.Rand, probabilities []float64) int {
	x := random.Float64()
	for k, p := range probabilities {
		if x -= p; x < 0 {
			return k
		}
	}
	return len(probabilities) - 1
}

var _ = ginkgo.Describe("callers of entries with different loads", func() {
	// Guards against callers of one availability zone that are served worse because their entry gets more jobs than
	// others, or fewer: freed capacity goes to the runs that wait at an agent, and their number is limited by entry.
	ginkgo.DescribeTable("are served alike",
		func(rate float64, workersLost int, tolerance float64) {
			shares := entryShares([]float64{0.6, 0.25, 0.15}, rate, workersLost)
			ginkgo.GinkgoWriter.Printf("in time: %.3f\n", shares)
			for _, a := range shares {
				for _, b := range shares {
					gomega.Expect(a-b).To(gomega.BeNumerically("<", tolerance), fmt.Sprintf("shares in time: %.3f", shares))
				}
			}
		},
		ginkgo.Entry("at 0.9 times the usual rate", 0.9, 0, 0.05),
		ginkgo.Entry("in a burst of 1.6 times the usual rate", 1.6, 0, 0.05),
		ginkgo.Entry("with a third of the workers lost", 1.0, 4, 0.05),
	)
})
