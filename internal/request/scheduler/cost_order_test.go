package scheduler_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/request/scheduler"
)

// useOrder restarts the entries with an order of the waiting jobs.
func (c *cluster) useOrder(order string) {
	for _, e := range c.entries {
		c.killEntry(e)
		c.lastIncarnation++
		e.id.Incarnation, e.dead = c.lastIncarnation, false
		e.machine = scheduler.New(scheduler.Config{Seed: c.lastIncarnation, OverloadOrder: order})
		clear(e.connected)
		for _, n := range c.nodes {
			c.connect(e, n)
		}
	}
	c.advance(time.Second)
}

// classOutcome is the outcome of the jobs of a class. value is the work that was completed in objective, or late, which counts
// a quarter.
type classOutcome struct {
	jobs, inTime, late, refused int
	largest, largestServed      int // the largest tenth
	work, value                 float64
}

// outcomes returns the outcome by class of the jobs from the given index on.
func (c *cluster) outcomes(from int) map[string]*classOutcome {
	byClass := map[string][]*jobRecord{}
	for _, r := range c.allRecords[from:] {
		byClass[r.Summary.Queue] = append(byClass[r.Summary.Queue], r)
	}
	outcomes := map[string]*classOutcome{}
	for class, records := range byClass {
		work := func(r *jobRecord) float64 { return float64(r.Summary.Tasks) * r.actual.Seconds() }
		slices.SortFunc(records, func(a, b *jobRecord) int { return cmp.Compare(work(b), work(a)) })
		o := &classOutcome{jobs: len(records), largest: len(records) / 10}
		outcomes[class] = o
		for i, r := range records {
			o.work += work(r)
			served := completed(r) && r.decidedAt-r.submitted <= 3*r.objective
			switch {
			case served && inTime(r):
				o.inTime++
				o.value += work(r)
			case served:
				o.late++
				o.value += 0.25 * work(r)
			case r.Verdict == scheduler.Rejected:
				o.refused++
			}
			if served && i < o.largest {
				o.largestServed++
			}
		}
	}
	return outcomes
}

func meanValue(outcomes map[string]*classOutcome) float64 {
	sum := 0.0
	for _, o := range outcomes {
		sum += o.value / o.work / float64(len(outcomes))
	}
	return sum
}

func (o *classOutcome) String() string {
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
	return fmt.Sprintf("%3.0f/%2.0f/%2.0f/%3.0f", percent(o.inTime, o.jobs), percent(o.late, o.jobs), percent(o.refused, o.jobs), percent(o.largestServed, o.largest))
}

func (o *classOutcome) add(other *classOutcome) {
	o.jobs, o.inTime, o.late, o.refused = o.jobs+other.jobs, o.inTime+other.inTime, o.late+other.late, o.refused+other.refused
	o.largest, o.largestServed = o.largest+other.largest, o.largestServed+other.largestServed
	o.work, o.value = o.work+other.work, o.value+other.value
}

// playOrder returns the outcomes of a load, relative to the capacity, on many entries with an order.
func playOrder(order string, demand float64, seeds uint64) map[string]*classOutcome {
	const entries, agents = 8, 24
	sum := map[string]*classOutcome{}
	for seed := range seeds {
		c := newCluster(entries, agents)
		c.random = rand.New(rand.NewPCG(20261207, seed))
		c.useOrder(order)
		x := demand * agents * 64 / 490
		c.load(2*time.Second, x)
		from := len(c.allRecords)
		c.load(4*time.Second, x)
		c.advance(6 * time.Second)
		for class, o := range c.outcomes(from) {
			if sum[class] == nil {
				sum[class] = &classOutcome{}
			}
			sum[class].add(o)
		}
	}
	return sum
}

var _ = ginkgo.Describe("the order by cost", func() {
	// Guards against an order that costs callers more than the one by priority, and against a class, or the largest jobs of
	// one, that get little service: by priority two fifths of the long class are served, a quarter of its largest tenth.
	ginkgo.It("serves each class at twice the capacity", func() {
		byPriority, byCost := playOrder(scheduler.OrderPriority, 2, 2), playOrder(scheduler.OrderCost, 2, 2)
		fmt.Fprintf(ginkgo.GinkgoWriter, "by priority %.3f %v, by cost %.3f %v\n", meanValue(byPriority), byPriority, meanValue(byCost), byCost)
		gomega.Expect(meanValue(byCost)).To(gomega.BeNumerically(">", meanValue(byPriority)-0.01))
		for class, o := range byCost {
			served := float64(o.inTime+o.late) / float64(o.jobs)
			gomega.Expect(served).To(gomega.BeNumerically(">", 0.3), class)
			gomega.Expect(float64(o.largestServed)/float64(o.largest)).To(gomega.BeNumerically(">=", served/2), class)
		}
	})

	// Guards against delays and refusals without need: at 0.8 of the capacity nearly every job meets its objective.
	ginkgo.It("delays no job at 0.8 of the capacity", func() {
		for class, o := range playOrder(scheduler.OrderCost, 0.8, 1) {
			gomega.Expect(float64(o.inTime)/float64(o.jobs)).To(gomega.BeNumerically(">", 0.96), class)
		}
	})

	// Guards against a refusal of a job that can no longer meet its objective while capacity is idle.
	ginkgo.It("runs a late job while capacity is idle", func() {
		c := newCluster(1, 2)
		c.useOrder(scheduler.OrderCost)
		s := c.submission(jobClasses[2])
		s.WaitingSince = c.now - 2*c.records[s.ID].objective
		c.submit(c.entries[0], s)
		c.advance(8 * time.Second)
		gomega.Expect(c.records[s.ID].Verdict).To(gomega.Equal(scheduler.Completed))
	})

	// Guards against a refusal without a reason or delay for operators and callers, against callers who all return at once,
	// and against a dump that grows with the queue.
	ginkgo.It("explains each refusal and shows the order in bounds", func() {
		c := newCluster(1, 4)
		c.useOrder(scheduler.OrderCost)
		c.load(2*time.Second, 2.0*4*64/490)
		dump := c.entries[0].machine.Dump(c.now)
		gomega.Expect(dump.Order).To(gomega.Equal(scheduler.OrderCost))
		last := -1
		for _, q := range dump.Queues {
			gomega.Expect(len(q.Jobs)).To(gomega.BeNumerically("<=", 10))
			gomega.Expect(q.Jobs[0].Position).To(gomega.BeNumerically(">", last))
			last = q.Jobs[0].Position
			for _, j := range q.Jobs {
				gomega.Expect(j.Place).To(gomega.BeElementOf("started", "on_time", "late", "useless"))
			}
		}
		c.advance(8 * time.Second)
		rules, delays := map[string]bool{}, map[time.Duration]bool{}
		for _, r := range c.allRecords {
			gomega.Expect(r.Summary.Refusal.Rule != "").To(gomega.Equal(r.Verdict == scheduler.Rejected))
			if r.Verdict == scheduler.Rejected {
				rules[r.Summary.Refusal.Rule], delays[r.Error.RetryAfter] = true, true
				gomega.Expect(r.Error.RetryAfter).To(gomega.BeNumerically(">=", 200*time.Millisecond))
			}
		}
		gomega.Expect(rules).To(gomega.HaveKey("displaces"))
		gomega.Expect(len(delays)).To(gomega.BeNumerically(">", 10))
	})
})
