package shedding_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// meanDemand is the processor time that the simulated load demands per second. 3% of the tasks take seven times as long.
func meanDemand() float64 {
	sum := 0.0
	for _, class := range loadClasses {
		sum += class.rate * class.tasks * class.runTime.Seconds() * meanNeed
	}
	return sum * (1 + 0.03*6)
}

// scenario is a load in relation to capacity.
type scenario struct {
	name     string
	demand   float64 // relative to capacity
	capacity func(now time.Duration) float64
	boost    func(class string, now time.Duration) float64
}

func constant(time.Duration) float64 { return 1 }

func usual(string, time.Duration) float64 { return 1 }

// flood triples the demand of one queue for 7 s.
func flood(class string, now time.Duration) float64 {
	if class == "medium" && now > 5*time.Second && now < 12*time.Second {
		return 3
	}
	return 1
}

// halving takes half of the capacity away within a second and returns it within a second.
func halving(now time.Duration) float64 {
	at := now.Seconds()
	return 1 - 0.5*max(0, min(1, at-5)) + 0.5*max(0, min(1, at-10))
}

var scenarios = []scenario{
	{"0.8", 0.8, constant, usual},
	{"1.0", 1.0, constant, usual},
	{"1.3", 1.3, constant, usual},
	{"2.0", 2.0, constant, usual},
	{"0.8, medium floods", 0.8, constant, flood},
	{"0.9, capacity halves", 0.9, halving, usual},
}

// seeds is the number of runs over which the comparison sums up.
const seeds = 6

func (c scenario) run(o order, seed uint64) *simulation {
	capacity := meanDemand() / c.demand
	s := &simulation{
		order: o, random: rand.New(rand.NewPCG(seed, 7)), boost: c.boost,
		capacity: func(now time.Duration) float64 { return capacity * c.capacity(now) },
	}
	s.run()
	return s
}

// runs sums up the results of an order over all seeds.
func (c scenario) runs(o order) map[string]*result {
	sum := map[string]*result{}
	for seed := range uint64(seeds) {
		for class, r := range c.run(o, seed).results() {
			if sum[class] == nil {
				sum[class] = &result{}
			}
			sum[class].add(r)
		}
	}
	return sum
}

var _ = ginkgo.Describe("orders", func() {
	// Guards against a change of the cost order or of its constants after which another order costs callers less, a class
	// goes unserved, or large jobs do.
	for _, c := range scenarios {
		ginkgo.It("compares them at "+c.name, func() {
			means, last := map[string]float64{}, map[string]*result{}
			for _, o := range orders() {
				last = c.runs(o)
				means[o.name] = mean(last)
				ginkgo.GinkgoWriter.Printf("| %s | %.3f | %s | %s | %s |\n", o.name, means[o.name], describe(last["short"]), describe(last["medium"]), describe(last["long"]))
			}
			for name, value := range means {
				gomega.Expect(means["cost"]).To(gomega.BeNumerically(">=", value-0.01), name)
			}
			if c.demand > 1 || c.name != scenarios[0].name && c.name != scenarios[1].name {
				gomega.Expect(means["cost"]).To(gomega.BeNumerically(">", means["present"]+0.02))
			}
			for class, r := range last {
				gomega.Expect(r.served()).To(gomega.BeNumerically(">", 0.2), class)
				gomega.Expect(float64(r.largestServed)/float64(r.largest)).To(gomega.BeNumerically(">=", r.served()/2), "the largest tenth of class "+class)
			}
		})
	}
})

// TestOneAnswerForEachJob guards against a job that gets two answers or none, and against a refusal of a job that has started.
func TestOneAnswerForEachJob(t *testing.T) {
	all := orders()
	rapid.Check(t, func(t *rapid.T) {
		c := scenario{demand: rapid.Float64Range(0.5, 6).Draw(t, "demand"), capacity: halving, boost: flood}
		s := c.run(all[len(all)-1], rapid.Uint64().Draw(t, "seed"))
		for _, j := range s.jobs {
			if j.verdicts != 1 || j.refused && j.placed > 0 {
				t.Fatalf("job %d: %d answers, refused %v, %d tasks started", j.Sequence, j.verdicts, j.refused, j.placed)
			}
		}
	})
}
