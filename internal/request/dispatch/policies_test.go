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

// workload draws jobs: short ones of 1 to 4 tasks of 50 ms to 1 s, and batch jobs of 10 to 40
// tasks of which 3% take 2 to 6 s. Declared times are wrong by up to ten times.
type workload struct {
	random *rand.Rand
	next   int
}

func (l *workload) job(organisation, class string) (*job.Submission, []time.Duration) {
	l.next++
	tasks := 1 + l.random.IntN(4)
	if class == "batch" {
		tasks = 10 + l.random.IntN(31)
	}
	s := &job.Submission{Key: job.Key{Organisation: organisation, ID: strconv.Itoa(l.next)}, Class: class, Tasks: make([]job.Task, tasks)}
	nominal := make([]time.Duration, tasks)
	for i := range nominal {
		nominal[i] = time.Duration(50e6 * math.Pow(20, l.random.Float64()))
		if class == "batch" && l.random.Float64() < 0.03 {
			nominal[i] = time.Duration(2e9 + 4e9*l.random.Float64())
		}
		s.Tasks[i].ExpectedRunTime = time.Duration(float64(nominal[i]) * math.Pow(10, 2*l.random.Float64()-1))
	}
	return s, nominal
}

// Mean nominal work per job: 0.317 s per task, 2.5 tasks; batch tasks have 3% of 4 s on top.
const (
	shortWork = 2.5 * 0.317
	batchWork = 25 * (0.97*0.317 + 0.03*4)
	shortPart = 0.7 // of the offered work
)

// drive offers Poisson arrivals at a load relative to the capacity for the given time.
func (w *world) drive(l *workload, load float64, end time.Duration, organisation func() string) {
	capacity := 0.0
	for _, a := range w.agents {
		capacity += a.speed * float64(a.slots)
	}
	w.arrivals(l, "short", load*capacity*shortPart/shortWork, end, organisation)
	w.arrivals(l, "batch", load*capacity*(1-shortPart)/batchWork, end, organisation)
}

func (w *world) arrivals(l *workload, class string, rate float64, end time.Duration, organisation func() string) {
	var arrive func()
	arrive = func() {
		if w.now >= end {
			return
		}
		s, nominal := l.job(organisation(), class)
		w.submit(l.random.IntN(len(w.entries)), s, nominal)
		w.after(time.Duration(l.random.ExpFloat64()/rate*1e9), arrive)
	}
	w.after(time.Duration(l.random.ExpFloat64()/rate*1e9), arrive)
}

// summary is the outcome of a run for one class, or for one organisation's jobs of it.
type summary struct {
	jobs, complete, inTarget int
	ratios                   []float64 // response over ideal of complete jobs
	responses                []float64 // seconds
}

func (w *world) summarise(class, organisation string, from time.Duration, target time.Duration) summary {
	var s summary
	for _, r := range w.order {
		if r.at < from || r.submission.Class != class || organisation != "" && r.submission.Key.Organisation != organisation {
			continue
		}
		s.jobs++
		if r.rejected || r.open > 0 || r.done < len(r.states) {
			continue
		}
		s.complete++
		if r.response <= target {
			s.inTarget++
		}
		s.ratios = append(s.ratios, float64(r.response)/float64(r.ideal))
		s.responses = append(s.responses, r.response.Seconds())
	}
	slices.Sort(s.ratios)
	slices.Sort(s.responses)
	return s
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (s summary) share() float64 { return float64(s.inTarget) / float64(max(1, s.jobs)) }

func (w *world) wastedPerTask() float64 {
	var wasted, starts uint64
	for _, e := range w.entries {
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

func comparison(policy string, load float64) *world {
	w := newWorld(setup{policy: policy, seed: policySeed, entries: 3, speeds: tenSpeeds(), slots: 8, catalog: standardCatalog(3)})
	l := &workload{random: rand.New(rand.NewPCG(policySeed, 2))}
	w.drive(l, load, loadTime, func() string { return "o" + strconv.Itoa(l.random.IntN(5)) })
	w.runUntil(loadTime + drainTime)
	return w
}

func row(policy string, load float64, w *world) string {
	short := w.summarise("short", "", warmUpTime, 2*time.Second)
	batch := w.summarise("batch", "", warmUpTime, 15*time.Second)
	return fmt.Sprintf("| %s | %.0f%% | %.2f | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %.3f |", policy, load*100,
		quantile(short.ratios, 0.5), quantile(short.ratios, 0.95), quantile(short.ratios, 0.99),
		quantile(batch.ratios, 0.5), quantile(batch.ratios, 0.99), w.wastedPerTask(), short.share(), batch.share())
}

var _ = ginkgo.Describe("The policies", ginkgo.Label("figures"), func() {
	ginkgo.It("prints the comparison of the note", func() {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.5} {
			for _, policy := range []string{dispatch.PolicyRandom, dispatch.PolicyTwoChoices, dispatch.PolicyBatchSampling, dispatch.PolicyCredits, dispatch.PolicyMix} {
				fmt.Println(row(policy, load, comparison(policy, load)))
			}
		}
	})
})

func newLoad(seed uint64) *workload { return &workload{random: rand.New(rand.NewPCG(seed, 2))} }

func zoneOut(name string) catalog.AvailabilityZone {
	return catalog.AvailabilityZone{Name: name, Out: true}
}
