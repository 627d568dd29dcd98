package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/version/catalog"
)

// workload generates random jobs: short ones of 1 to 4 tasks of 50 ms to 1 s, and batch jobs of 10
// to 40 tasks of which 3% take 2 to 6 s. Declared run times are wrong by a factor of up to ten.
type workload struct {
	random   *rand.Rand
	jobCount int
}

func (w *workload) nextJob(organisation, class string) (*job.Submission, []time.Duration) {
	w.jobCount++
	tasks := 1 + w.random.IntN(4)
	if class == "batch" {
		tasks = 10 + w.random.IntN(31)
	}
	s := &job.Submission{Key: job.Key{Organisation: organisation, ID: strconv.Itoa(w.jobCount)}, Class: class, Tasks: make([]job.Task, tasks)}
	nominal := make([]time.Duration, tasks)
	for i := range nominal {
		nominal[i] = time.Duration(50e6 * math.Pow(20, w.random.Float64()))
		if class == "batch" && w.random.Float64() < 0.03 {
			nominal[i] = time.Duration(2e9 + 4e9*w.random.Float64())
		}
		s.Tasks[i].DeclaredRunTime = time.Duration(float64(nominal[i]) * math.Pow(10, 2*w.random.Float64()-1))
	}
	return s, nominal
}

// Mean work of a job in seconds: the sum of the nominal run times of its tasks. A short job has 2.5
// tasks of 0.317 s on average; of the 25 tasks of a batch job, 3% take 4 s on average.
const (
	meanShortWork  = 2.5 * 0.317
	meanBatchWork  = 25 * (0.97*0.317 + 0.03*4)
	shortWorkShare = 0.7 // share of short jobs in the offered load
)

// generateLoad submits jobs with Poisson arrivals until end, at a load relative to the capacity.
func (sim *simulation) generateLoad(w *workload, load float64, end time.Duration, organisation func() string) {
	capacity := 0.0
	for _, a := range sim.agents {
		capacity += a.speed * float64(a.slots)
	}
	sim.arrivals(w, "short", load*capacity*shortWorkShare/meanShortWork, end, organisation)
	sim.arrivals(w, "batch", load*capacity*(1-shortWorkShare)/meanBatchWork, end, organisation)
}

func (sim *simulation) arrivals(w *workload, class string, rate float64, end time.Duration, organisation func() string) {
	var arrive func()
	arrive = func() {
		if sim.now >= end {
			return
		}
		s, nominal := w.nextJob(organisation(), class)
		sim.submit(w.random.IntN(len(sim.entries)), s, nominal)
		sim.after(time.Duration(w.random.ExpFloat64()/rate*1e9), arrive)
	}
	sim.after(time.Duration(w.random.ExpFloat64()/rate*1e9), arrive)
}

// summary holds the results of a simulation for one class, or for one organisation's jobs of it.
type summary struct {
	jobs, complete, inTarget int
	slowdowns                []float64 // response time over ideal response time of complete jobs
	responses                []float64 // seconds
}

func (sim *simulation) summarise(class, organisation string, from time.Duration, target time.Duration) summary {
	var s summary
	for _, r := range sim.submitted {
		if r.submittedAt < from || r.submission.Class != class || organisation != "" && r.submission.Key.Organisation != organisation {
			continue
		}
		s.jobs++
		if r.rejected || r.openTasks > 0 || r.doneTasks < len(r.results) {
			continue
		}
		s.complete++
		if r.response <= target {
			s.inTarget++
		}
		s.slowdowns = append(s.slowdowns, float64(r.response)/float64(r.idealResponse))
		s.responses = append(s.responses, r.response.Seconds())
	}
	slices.Sort(s.slowdowns)
	slices.Sort(s.responses)
	return s
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (s summary) inTargetShare() float64 { return float64(s.inTarget) / float64(max(1, s.jobs)) }

func (sim *simulation) wastedPerTask() float64 {
	var wasted, starts uint64
	for _, e := range sim.entries {
		stats := e.machine.Stats()
		wasted += stats.Wasted
		starts += stats.Starts - stats.RefusedBusy - stats.RefusedOther
	}
	return float64(wasted) / float64(starts)
}

const (
	policySeed = 20261204
	warmUpTime = 5 * time.Second
	loadTime   = 35 * time.Second
	drainTime  = 20 * time.Second
)

func runPolicy(policy string, load float64) *simulation {
	sim := newSimulation(simulationConfig{policy: policy, seed: policySeed, entries: 3, speeds: agentSpeeds(), slots: 8, catalog: standardCatalog(3)})
	w := &workload{random: rand.New(rand.NewPCG(policySeed, 2))}
	sim.generateLoad(w, load, loadTime, func() string { return "o" + strconv.Itoa(w.random.IntN(5)) })
	sim.runUntil(loadTime + drainTime)
	return sim
}

func tableRow(policy string, load float64, sim *simulation) string {
	short := sim.summarise("short", "", warmUpTime, 2*time.Second)
	batch := sim.summarise("batch", "", warmUpTime, 15*time.Second)
	return fmt.Sprintf("| %s | %.0f%% | %.2f | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %.3f |", policy, load*100,
		quantile(short.slowdowns, 0.5), quantile(short.slowdowns, 0.95), quantile(short.slowdowns, 0.99),
		quantile(batch.slowdowns, 0.5), quantile(batch.slowdowns, 0.99), sim.wastedPerTask(), short.inTargetShare(), batch.inTargetShare())
}

// The spec prints figures and checks nothing. No label filter excludes it from the usual runs.
var _ = ginkgo.Describe("The policies", ginkgo.Label("figures"), func() {
	ginkgo.It("prints a comparison of the policies", func() {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.5} {
			for _, policy := range []string{dispatch.PolicyRandom, dispatch.PolicyTwoChoices, dispatch.PolicyBatchSampling, dispatch.PolicyCredits, dispatch.PolicyMix} {
				fmt.Println(tableRow(policy, load, runPolicy(policy, load)))
			}
		}
	})
})

func newWorkload(seed uint64) *workload { return &workload{random: rand.New(rand.NewPCG(seed, 2))} }

func zoneOut(name string) catalog.AvailabilityZone {
	return catalog.AvailabilityZone{Name: name, Out: true}
}
