package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollenpaddle/internal/request/scheduler"
)

// powerLoss ends all processes and starts them again. The sessions of the entries with the agents open within 200 ms.
func (c *cluster) powerLoss() {
	for _, e := range c.entries {
		c.killEntry(e)
	}
	for _, n := range c.nodes {
		c.startAgent(n, n.id.ID)
		n.unreachable = true
	}
	for _, n := range c.nodes {
		c.startWorker(n)
	}
	for _, e := range c.entries {
		c.startEntry(e, e.id.ID)
	}
	for _, n := range c.nodes {
		n.unreachable = false
		for _, e := range c.entries {
			c.after(time.Duration(c.random.Int64N(int64(200*time.Millisecond))), func() { c.connect(e, n) })
		}
	}
}

// burstResult holds the results of a load after a restart: the shares of the jobs, and counters.
type burstResult struct {
	inTime, rejected float64
	used             float64 // share of the processors, in the first 400 ms
	refused, orders  uint64  // runs, in the first 400 ms
}

// playBurst plays a restart with a backlog that arrives within 200 ms beside the load itself.
func (o *overload) playBurst(seed uint64, share float64, backlog time.Duration) burstResult {
	c := o.start(seed)
	c.loadRandom = rand.New(rand.NewPCG(20261208, seed))
	needs := map[string]int64{}
	o.submitAll(c, time.Second, 0.6, needs)
	c.powerLoss()
	c.onDecided = func(decided scheduler.Decided) {
		if record := c.records[decided.Job]; record.submitted >= c.restartedAt {
			c.checkVerdict(decided)
		}
	}
	c.restartedAt = c.now
	result := burstResult{}
	first := len(c.allRecords)
	const arrival = 200 * time.Millisecond
	o.submitAll(c, arrival, share*(1+float64(backlog)/float64(arrival)), needs)
	used := func() float64 {
		sum, total := int64(0), int64(0)
		for _, n := range c.nodes {
			total += n.capacity.MilliProcessors
			for _, r := range n.worker.Running {
				sum += needs[r.ID.Task.Job]
			}
		}
		return float64(sum) / float64(total)
	}
	for range 20 {
		o.submitAll(c, 10*time.Millisecond, share, needs)
		result.used += used() / 20
	}
	stats := c.runStats()
	o.submitAll(c, 1100*time.Millisecond, share, needs)
	c.advance(8 * time.Second)
	result.refused, result.orders = stats.Refusals, stats.Orders
	result.inTime, result.rejected = c.resultFrom(first).served()
	return result
}

// Guards against refusals of jobs in the first second after a restart of all entries, when the throughput is measured
// over windows in which no run has ended yet, and against capacity that is not used then.
func TestBurstAfterRestart(t *testing.T) {
	for _, c := range []struct {
		name                     string
		load                     overload
		share                    float64
		backlog                  time.Duration
		wantInTime, wantRejected float64
	}{
		{"uneven load", jobTails(), 0.5, 800 * time.Millisecond, 0.94, 0.012},
		{"uneven load", jobTails(), 0.5, 1700 * time.Millisecond, 0.64, 0.25},
		{"competing callers", competingCallers, 0.5, 800 * time.Millisecond, 0.84, 0.045},
		{"competing callers", competingCallers, 0.75, 800 * time.Millisecond, 0.69, 0.16},
	} {
		c.load.entries = 12
		var sum burstResult
		const seeds = 2
		for seed := range uint64(seeds) {
			r := c.load.playBurst(seed, c.share, c.backlog)
			sum.inTime += r.inTime / seeds
			sum.rejected += r.rejected / seeds
			sum.used += r.used / seeds
			sum.orders += r.orders
			sum.refused += r.refused
		}
		t.Logf("%s, load %.2f, backlog %v: in time %.3f, rejected %.3f, processors in use %.2f, runs refused %d of %d",
			c.name, c.share, c.backlog, sum.inTime, sum.rejected, sum.used, sum.refused, sum.orders)
		if sum.inTime < c.wantInTime || sum.rejected > c.wantRejected || sum.used < 0.85 {
			t.Errorf("%s, load %.2f, backlog %v: want at least %.3f in time, at most %.3f rejected, and 0.85 of the processors in use",
				c.name, c.share, c.backlog, c.wantInTime, c.wantRejected)
		}
	}
}
