package shedding_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pollenpaddle/internal/request/shedding"
)

// loadClass is a class of jobs of the simulated load, at a quarter of the rates of the competing callers.
type loadClass struct {
	name     string
	priority int
	tasks    float64 // mean number of tasks
	runTime  time.Duration
	rate     float64 // jobs per second
}

var loadClasses = []loadClass{
	{"short", 0, 8, 60 * time.Millisecond, 51.5},
	{"medium", 1, 2, 200 * time.Millisecond, 150},
	{"long", 2, 4, 900 * time.Millisecond, 9.4},
}

const (
	meanNeed = 4.9 // processors of a task
	agents   = 13
	overhead = 14 * time.Millisecond
	step     = 2 * time.Millisecond
	loadTime = 16 * time.Second
	warmUp   = 2 * time.Second
)

// simJob is a job of the simulation.
type simJob struct {
	shedding.Job
	class     string
	need      float64
	runTimes  []time.Duration // of its tasks, of which the first placed have started
	declared  time.Duration
	objective time.Duration // with the actual run time
	work      float64       // actual processor time in seconds, without stragglers
	latest    time.Duration // when the order refuses it unless it has started
	placed    int
	ended     int
	verdicts  int
	endedAt   time.Duration
	refused   bool
}

// order is an order of waiting jobs with its admission.
type order struct {
	name    string
	compare func(s *simulation, a, b *simJob) int
	decide  func(s *simulation, j *simJob) bool // whether an arriving job is admitted
	// blocks is set if no job starts before one that does not fit yet; otherwise jobs with smaller tasks do.
	blocks bool
}

// simulation serves jobs with one pool of processors, in steps of simulated time.
type simulation struct {
	order     order
	random    *rand.Rand
	now       time.Duration
	capacity  func(now time.Duration) float64
	boost     func(class string, now time.Duration) float64 // factor on the rate of a class
	used      float64
	waiting   []*simJob
	jobs      []*simJob
	ends      []runEnd
	classes   shedding.Classes
	rate      shedding.Rate
	queueRate map[string]*shedding.Rate
	refusals  map[shedding.Rule]int
	floors    map[string]int
	floorAt   time.Duration
}

type runEnd struct {
	at  time.Duration
	job *simJob
}

func (s *simulation) run() {
	s.queueRate, s.refusals = map[string]*shedding.Rate{}, map[shedding.Rule]int{}
	next := make([]time.Duration, len(loadClasses))
	for s.now = 0; s.now < loadTime || len(s.waiting)+len(s.ends) > 0; s.now += step {
		s.endRuns()
		for k, class := range loadClasses {
			for next[k] <= s.now && s.now < loadTime {
				rate := class.rate * s.boost(class.name, s.now)
				next[k] += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
				s.submit(s.newJob(class))
			}
		}
		s.refuseOverdue()
		s.place()
	}
}

func (s *simulation) spread(sigma float64) float64 {
	return math.Exp(sigma*s.random.NormFloat64() - sigma*sigma/2)
}

func (s *simulation) newJob(class loadClass) *simJob {
	runTime := min(float64(class.runTime)*s.spread(0.4), 4*float64(class.runTime))
	tasks := max(1, min(4*int(class.tasks), int(class.tasks*s.spread(0.4)+0.5)))
	j := &simJob{class: class.name, need: meanNeed * s.spread(0.2), declared: time.Duration(runTime * s.spread(0.4))}
	longest := 0.0
	for range tasks {
		length := runTime * (0.85 + 0.3*s.random.Float64())
		longest = max(longest, length)
		j.work += length / 1e9 * j.need
		if s.random.Float64() < 0.03 {
			length *= 7
		}
		j.runTimes = append(j.runTimes, time.Duration(length))
	}
	j.objective = time.Duration(1.6*longest) + 60*time.Millisecond
	predicted := time.Duration(1.6*float64(j.declared)) + 60*time.Millisecond
	spare := max(predicted-overhead-j.declared, 30*time.Millisecond)
	j.Job = shedding.Job{
		Priority: class.priority, Arrived: s.now, Objective: predicted, LatestStart: s.now + spare,
		Work: time.Duration(float64(tasks) * j.need * float64(j.declared)), Sequence: uint64(len(s.jobs)),
	}
	j.latest = j.LatestStart
	s.jobs = append(s.jobs, j)
	return j
}

func (s *simulation) submit(j *simJob) {
	s.classes.Arrived(s.now, j.class, j.Work)
	j.Standing = s.classes.Standing(s.now, j.class)
	if s.queueRate[j.class] == nil {
		s.queueRate[j.class] = &shedding.Rate{}
	}
	s.sort()
	if !s.order.decide(s, j) {
		s.refuse(j)
		return
	}
	s.waiting = append(s.waiting, j)
}

func (s *simulation) refuse(j *simJob) {
	j.refused, j.endedAt = true, s.now
	j.verdicts++
}

func (s *simulation) sort() {
	slices.SortFunc(s.waiting, func(a, b *simJob) int {
		return cmp.Or(s.order.compare(s, a, b), cmp.Compare(a.Sequence, b.Sequence))
	})
}

func (s *simulation) refuseOverdue() {
	s.waiting = slices.DeleteFunc(s.waiting, func(j *simJob) bool {
		if j.Started || s.now <= j.latest || !s.rate.Overloaded() {
			return false
		}
		s.refuse(j)
		s.refusals[shedding.Overdue]++
		return true
	})
}

// place starts jobs in their order. A job starts with all its tasks, or as many as there are agents; until they fit, jobs
// whose tasks need as much wait behind it, as in package scheduler.
func (s *simulation) place() {
	s.sort()
	blocked := math.Inf(1)
	for _, j := range s.waiting {
		if j.need >= blocked {
			continue
		}
		free := int((s.capacity(s.now) - s.used) / j.need)
		if left := len(j.runTimes) - j.placed; free < left {
			blocked = j.need
			if s.order.blocks {
				blocked = 0
			}
			if !j.Started && free < agents {
				continue
			}
		}
		s.start(j, free)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(j *simJob) bool { return j.placed == len(j.runTimes) })
	s.rate.Record(s.now, 0, len(s.waiting) > 0)
	for class, rate := range s.queueRate {
		rate.Record(s.now, 0, slices.ContainsFunc(s.waiting, func(j *simJob) bool { return j.class == class }))
	}
}

func (s *simulation) start(j *simJob, limit int) {
	perTask := j.Work / time.Duration(len(j.runTimes)-j.placed)
	for ; limit > 0 && j.placed < len(j.runTimes); limit-- {
		s.ends = append(s.ends, runEnd{s.now + j.runTimes[j.placed], j})
		s.used += j.need
		j.placed++
		j.Started = true
		j.Work -= perTask
		s.rate.Record(s.now, perTask, true)
		s.queueRate[j.class].Record(s.now, perTask, true)
		s.classes.Served(s.now, j.class, perTask)
	}
}

func (s *simulation) endRuns() {
	s.ends = slices.DeleteFunc(s.ends, func(e runEnd) bool {
		if e.at > s.now {
			return false
		}
		s.used -= e.job.need
		if e.job.ended++; e.job.ended == len(e.job.runTimes) {
			e.job.endedAt = s.now + overhead
			e.job.verdicts++
		}
		return true
	})
}

// result holds what became of the jobs of a class. The shares are of its jobs, value is of its work.
type result struct {
	jobs, inObjective, late, refused int
	largest, largestServed           int // the largest tenth by work
	work, value                      float64
}

func (r *result) share(n int) float64 { return float64(n) / float64(max(1, r.jobs)) }

// served returns the share of jobs that were completed in time to be of use.
func (r *result) served() float64 { return r.share(r.inObjective + r.late) }

func (j *simJob) useful() bool {
	return !j.refused && j.endedAt > 0 && j.endedAt-j.Arrived <= 3*j.objective
}

func (s *simulation) results() map[string]*result {
	byClass := map[string]*result{}
	for _, class := range loadClasses {
		r := &result{}
		byClass[class.name] = r
		var jobs []*simJob
		for _, j := range s.jobs {
			if j.class == class.name && j.Arrived >= warmUp {
				jobs = append(jobs, j)
			}
		}
		slices.SortFunc(jobs, func(a, b *simJob) int { return cmp.Compare(b.work, a.work) })
		r.jobs, r.largest = len(jobs), len(jobs)/10
		for i, j := range jobs {
			r.work += j.work
			switch {
			case j.refused:
				r.refused++
			case j.useful() && j.endedAt-j.Arrived <= j.objective:
				r.inObjective++
				r.value += j.work
			case j.useful():
				r.late++
				r.value += 0.25 * j.work
			}
			if i < r.largest && j.useful() {
				r.largestServed++
			}
		}
	}
	return byClass
}

// mean returns the mean over the classes of the share of work in objective, with a late one counting a quarter.
func mean(results map[string]*result) float64 {
	sum := 0.0
	for _, r := range results {
		sum += r.value / r.work / float64(len(results))
	}
	return sum
}

func describe(r *result) string {
	return fmt.Sprintf("%3.0f/%2.0f/%2.0f/%3.0f", 100*r.share(r.inObjective), 100*r.share(r.late), 100*r.share(r.refused),
		100*float64(r.largestServed)/float64(max(1, r.largest)))
}

func (r *result) add(other *result) {
	r.jobs, r.inObjective, r.late, r.refused = r.jobs+other.jobs, r.inObjective+other.inObjective, r.late+other.late, r.refused+other.refused
	r.largest, r.largestServed = r.largest+other.largest, r.largestServed+other.largestServed
	r.work, r.value = r.work+other.work, r.value+other.value
}
