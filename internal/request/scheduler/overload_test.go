package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/scheduler"
)

// overload describes a load on workers of different sizes and speeds. In both installations every third worker is
// half as large again as the others.
type overload struct {
	entries, agents int
	classes         []jobClass
	processors      int64   // of a smaller worker
	need            int64   // mean need of a task in thousandths of a processor
	tailShare       float64 // share of the tasks, or of the runs if tailOfRuns is set, that take tailFactor times as long
	tailOfRuns      bool
	tailOfJobs      bool // the share of tailShare is drawn per job: all of its tasks are long
	speed           func(agent int) float64
}

const tailFactor = 7

// unevenLoad and competingCallers have the proportions of the installations of docs/design/0001-heavy-load.md.
var (
	unevenLoad = overload{
		entries: 9, agents: 24, processors: 32, need: 3100, tailShare: 0.03,
		classes: []jobClass{
			{"short", 0, 8, 51 * time.Millisecond, 181}, {"medium", 1, 2, 170 * time.Millisecond, 529}, {"long", 2, 4, 760 * time.Millisecond, 33},
		},
		speed: func(agent int) float64 {
			if agent/3%3 == 2 {
				return 1.3
			}
			return 1
		},
	}
	competingCallers = overload{
		entries: 8, agents: 24, processors: 64, need: 4900,
		classes: []jobClass{
			{"short", 0, 8, 60 * time.Millisecond, 206}, {"medium", 1, 2, 200 * time.Millisecond, 600}, {"long", 2, 4, 900 * time.Millisecond, 37.5},
		},
		speed: func(agent int) float64 {
			if agent%4 == 3 {
				return 0.55
			}
			return 1.2
		},
	}
)

func (o *overload) size(agent int) int64 {
	if agent%3 == 2 {
		return o.processors * 1500
	}
	return o.processors * 1000
}

// rate returns the factor of the rates of the classes at which their work is the given share of the capacity.
func (o *overload) rate(share float64) float64 {
	work, capacity := 0.0, 0.0
	for _, k := range o.classes {
		work += k.rate * k.tasks * k.runTime.Seconds() * float64(o.need) * (1 + o.tailShare*(tailFactor-1))
	}
	for k := range o.agents {
		capacity += float64(o.size(k)) * o.speed(k)
	}
	return share * capacity / work
}

// overloadResult holds the outcomes of the jobs of a load.
type overloadResult struct {
	classes         map[string]*classResult
	used, usedAt    float64 // mean share of the processors in use, and the same at the refusals of jobs
	refusals        int
	orders, refused uint64 // runs
}

type classResult struct{ jobs, inTime, late, onArrival, afterWait, other int }

// start returns the cluster of the load, without jobs.
func (o *overload) start(seed uint64) *cluster {
	c := newCluster(o.entries, o.agents)
	c.random = rand.New(rand.NewPCG(20261207, seed))
	c.meanNeed = o.need
	if o.tailOfRuns {
		c.slowRunShare = o.tailShare
	}
	for k, n := range c.nodes {
		n.slowness = 1 / o.speed(k)
		c.announceCapacity(n, job.Resources{MilliProcessors: o.size(k), MemoryBytes: workerCapacity.MemoryBytes})
	}
	c.advance(500 * time.Millisecond)
	return c
}

// submitAll submits jobs at the given share of the capacity for d.
func (o *overload) submitAll(c *cluster, d time.Duration, share float64, needs map[string]int64) {
	next := make([]time.Duration, len(o.classes))
	rate := o.rate(share)
	c.useLoadRandom()
	for k := range next {
		next[k] = c.now + c.interarrival(o.classes[k].rate*rate)
	}
	c.useLoadRandom()
	for end := c.now + d; c.now < end; c.advance(tickStep) {
		c.useLoadRandom()
		for k := range o.classes {
			for ; next[k] <= c.now; next[k] += c.interarrival(o.classes[k].rate * rate) {
				o.submitOne(c, c.entries[c.random.IntN(len(c.entries))], o.classes[k], needs)
			}
		}
		c.useLoadRandom()
	}
}

// useLoadRandom exchanges the sources of randomness of the cluster and of its load.
func (c *cluster) useLoadRandom() {
	if c.loadRandom != nil {
		c.random, c.loadRandom = c.loadRandom, c.random
	}
}

func (o *overload) submitOne(c *cluster, e *entryProcess, class jobClass, needs map[string]int64) {
	s := c.submission(class)
	record := c.records[s.ID]
	longJob := o.tailOfJobs && c.random.Float64() < o.tailShare
	for n := range s.Steps[0].Count {
		if id := (run.TaskID{Job: s.ID, Index: uint16(n)}); longJob || !o.tailOfRuns && !o.tailOfJobs && c.random.Float64() < o.tailShare {
			c.actual[id] *= tailFactor
			record.actual = max(record.actual, c.actual[id])
		}
	}
	record.objective = time.Duration(1.6*float64(record.actual)) + 60*time.Millisecond
	s.Wait = 3 * record.objective
	needs[s.ID] = s.Steps[0].Need.MilliProcessors
	c.submit(e, s)
}

// play submits jobs at the given share of the capacity for d, after two seconds at 0.6.
func (o *overload) play(seed uint64, share float64, d time.Duration) overloadResult {
	c := o.start(seed)
	needs := map[string]int64{}
	result := overloadResult{classes: map[string]*classResult{}}
	total := int64(0)
	for k := range c.nodes {
		total += o.size(k)
	}
	used := func() float64 {
		sum := int64(0)
		for _, n := range c.nodes {
			for _, r := range n.worker.Running {
				sum += needs[r.ID.Task.Job]
			}
		}
		return float64(sum) / float64(total)
	}
	o.submitAll(c, 2*time.Second, 0.6, needs)
	first := len(c.allRecords)
	before := c.runStats()
	c.onDecided = func(decided scheduler.Decided) {
		c.checkVerdict(decided)
		if decided.Verdict == scheduler.Rejected {
			result.refusals++
			result.usedAt += used()
		}
	}
	steps := 0
	for end := c.now + d; c.now < end; steps++ {
		o.submitAll(c, 20*time.Millisecond, share, needs)
		result.used += used()
	}
	after := c.runStats()
	result.orders, result.refused = after.Orders-before.Orders, after.Refusals-before.Refusals
	c.advance(8 * time.Second)
	result.used /= float64(steps)
	result.usedAt /= float64(max(1, result.refusals))
	for _, record := range c.allRecords[first:] {
		result.add(record)
	}
	return result
}

func (c *cluster) runStats() (sum scheduler.Stats) {
	for _, e := range c.entries {
		s := e.machine.Stats()
		sum.Orders += s.Orders
		sum.Refusals += s.Refusals
	}
	return sum
}

func (r *overloadResult) add(record *jobRecord) {
	k := r.classes[record.Summary.Queue]
	if k == nil {
		k = &classResult{}
		r.classes[record.Summary.Queue] = k
	}
	k.jobs++
	switch {
	case inTime(record):
		k.inTime++
	case completed(record):
		k.late++
	case record.Verdict == scheduler.Rejected && record.Summary.Age == 0:
		k.onArrival++
	case record.Verdict == scheduler.Rejected:
		k.afterWait++
	default:
		k.other++
	}
}

// served returns the shares of all jobs that were in time and that were rejected.
func (r *overloadResult) served() (inTime, rejected float64) {
	jobs := 0
	for _, k := range r.classes {
		jobs += k.jobs
		inTime += float64(k.inTime)
		rejected += float64(k.onArrival + k.afterWait)
	}
	return inTime / float64(jobs), rejected / float64(jobs)
}

// Guards against stops of stragglers that waste processor time: if tasks are long, their next runs are as long; if
// runs are slow for another reason, stops must still help.
func TestStragglersUnderLoad(t *testing.T) {
	for _, c := range []struct {
		name         string
		tailOfRuns   bool
		share        float64
		wantInTime   float64
		wantRejected float64
	}{
		{"long tasks at 0.8 of the capacity", false, 0.8, 0.98, 0},
		{"long tasks at the capacity", false, 1, 0.93, 0.05},
		{"slow runs at 0.5 of the capacity", true, 0.5, 0.87, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := unevenLoad
			o.tailOfRuns = c.tailOfRuns
			result := o.play(1, c.share, 3*time.Second)
			inTime, rejected := result.served()
			t.Logf("in time %.3f, rejected %.3f, processors in use %.3f", inTime, rejected, result.used)
			if inTime < c.wantInTime || rejected > c.wantRejected {
				t.Errorf("want at least %.3f in time and at most %.3f rejected", c.wantInTime, c.wantRejected)
			}
		})
	}
}

// Guards against jobs that are refused while processors are free, and against orders that agents refuse as busy.
func TestRefusalsAtFullCapacity(t *testing.T) {
	for name, load := range map[string]overload{"uneven load": unevenLoad, "competing callers": competingCallers} {
		result := load.play(1, 1.15, 2*time.Second)
		refusedRuns := float64(result.refused) / float64(result.orders)
		t.Logf("%s: in use %.3f, at the %d refusals of jobs %.3f; runs refused %.3f", name, result.used, result.refusals, result.usedAt, refusedRuns)
		if result.refusals == 0 || result.usedAt < 0.93 {
			t.Errorf("%s: %d refusals of jobs with %.3f of the processors in use, want at least 0.93", name, result.refusals, result.usedAt)
		}
		if refusedRuns > 0.35 {
			t.Errorf("%s: %.3f of the runs were refused, want at most 0.35", name, refusedRuns)
		}
	}
}

// Guards against long tasks on workers on which they are late, while faster workers run short tasks that would have been
// in time on the slow ones.
func TestLongTasksAvoidSlowWorkers(t *testing.T) {
	result := competingCallers.play(1, 1, 3*time.Second)
	long := result.classes["long"]
	share := float64(long.inTime) / float64(long.jobs)
	inTime, _ := result.served()
	t.Logf("in time %.3f, of the long class %.3f", inTime, share)
	if share < 0.8 || inTime < 0.9 {
		t.Errorf("in time %.3f, of the long class %.3f, want 0.9 and 0.8", inTime, share)
	}
}

// jobTails is the uneven load as observed: the tail is drawn per job.
func jobTails() overload {
	o := unevenLoad
	o.tailOfJobs = true
	return o
}

// resultFrom returns the results of the jobs from the given index on.
func (c *cluster) resultFrom(first int) *overloadResult {
	result := &overloadResult{classes: map[string]*classResult{}}
	for _, record := range c.allRecords[first:] {
		result.add(record)
	}
	return result
}

// loseWorkers ends every fourth worker, with its agent.
func (c *cluster) loseWorkers() {
	for k := 1; k < len(c.nodes); k += 4 {
		n := c.nodes[k]
		for _, e := range c.entries {
			c.disconnect(e, n)
		}
		n.unreachable, n.worker.Down = true, true
	}
}

// Guards against jobs that wait for faster workers, and are refused, while the remaining workers have free capacity.
func TestLossOfWorkersBelowCapacity(t *testing.T) {
	for name, load := range map[string]overload{"uneven load": jobTails(), "competing callers": competingCallers} {
		for seed := range uint64(3) {
			c := load.start(seed)
			load.submitAll(c, time.Second, 0.6, map[string]int64{})
			c.loseWorkers()
			first := len(c.allRecords)
			load.submitAll(c, 2*time.Second, 0.6, map[string]int64{})
			c.advance(8 * time.Second)
			inTime, rejected := c.resultFrom(first).served()
			t.Logf("%s, seed %d: in time %.3f, rejected %.3f", name, seed, inTime, rejected)
			if rejected > 0 {
				t.Errorf("%s, seed %d: %.3f of the jobs were rejected, want none", name, seed, rejected)
			}
		}
	}
}
