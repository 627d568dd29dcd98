package shedding_test

import (
	"cmp"
	"time"

	"pollenpaddle/internal/request/shedding"
)

// minClassShare is the part of its demand below which strict priority prefers a class.
const minClassShare = 0.2

// feasible admits a job unless its predicted wait, behind the jobs that the order places before it, exceeds 60% of the
// time until its latest start.
func feasible(s *simulation, j *simJob) bool {
	rate := s.rate.PerTime()
	if rate <= 0 {
		return true
	}
	ahead := j.Work
	for _, w := range s.waiting {
		if s.order.compare(s, w, j) <= 0 {
			ahead += w.Work
		}
	}
	return float64(ahead)/rate <= 0.6*float64(j.LatestStart-s.now)
}

// presentAdmission is that of the order "priority": by the throughput of the job's own queue, with a latest start at a quarter of
// the spare time under overload.
func presentAdmission(s *simulation, j *simJob) bool {
	spare := max(j.Objective-overhead-j.declared*7/10, 30*time.Millisecond)
	j.latest = j.Arrived + spare/4
	rate := s.queueRate[j.class].PerTime()
	if rate <= 0 {
		return true
	}
	ahead := j.Work
	for _, w := range s.waiting {
		if w.class == j.class {
			ahead += w.Work
		}
	}
	return float64(ahead)/rate <= 0.6*float64(spare/2)
}

func startedFirst(a, b *simJob) int {
	switch {
	case a.Started == b.Started:
		return 0
	case a.Started:
		return -1
	}
	return 1
}

// orders returns the orders that are compared. The last one is that of this package.
func orders() []order {
	served := func(s *simulation, j *simJob) int {
		var demand, started time.Duration
		for _, other := range s.jobs {
			if other.class == j.class && other.Arrived > s.now-time.Second {
				demand += other.declared
				if other.Started {
					started += other.declared
				}
			}
		}
		if float64(started) < minClassShare*float64(demand) {
			return 0
		}
		return 1
	}
	return []order{
		{"first come first served", func(_ *simulation, a, b *simJob) int {
			return startedFirst(a, b)
		}, feasible, false},
		{"earliest latest start", func(_ *simulation, a, b *simJob) int {
			return cmp.Or(startedFirst(a, b), cmp.Compare(a.LatestStart, b.LatestStart))
		}, feasible, false},
		{"least work", func(_ *simulation, a, b *simJob) int {
			return cmp.Or(startedFirst(a, b), cmp.Compare(a.Work, b.Work))
		}, feasible, false},
		{"cost rate", func(s *simulation, a, b *simJob) int {
			return cmp.Or(startedFirst(a, b), cmp.Compare(b.CostRate(s.now), a.CostRate(s.now)))
		}, feasible, false},
		{"priority with floor", func(s *simulation, a, b *simJob) int {
			return cmp.Or(startedFirst(a, b), cmp.Compare(s.floor(a, served), s.floor(b, served)), cmp.Compare(a.Priority, b.Priority))
		}, feasible, false},
		{"present", func(_ *simulation, a, b *simJob) int {
			return cmp.Or(startedFirst(a, b), cmp.Compare(a.Priority, b.Priority))
		}, presentAdmission, false},
		{"present, none overtakes", func(_ *simulation, a, b *simJob) int {
			return cmp.Or(startedFirst(a, b), cmp.Compare(a.Priority, b.Priority))
		}, presentAdmission, true},
		{"cost, overtaking", compareByCost, admitByCost, false},
		{"cost", compareByCost, admitByCost, true},
	}
}

// floor returns 0 for a class below its floor and else 1, computed once in each step.
func (s *simulation) floor(j *simJob, served func(*simulation, *simJob) int) int {
	if s.floorAt != s.now || s.floors == nil {
		s.floorAt, s.floors = s.now, map[string]int{}
	}
	if _, known := s.floors[j.class]; !known {
		s.floors[j.class] = served(s, j)
	}
	return s.floors[j.class]
}

func compareByCost(s *simulation, a, b *simJob) int { return shedding.Compare(s.now, &a.Job, &b.Job) }

func admitByCost(s *simulation, j *simJob) bool {
	waiting := make([]shedding.Job, len(s.waiting))
	for i, w := range s.waiting {
		waiting[i] = w.Job
	}
	d := shedding.Decide(s.now, j.Job, waiting, s.rate.PerTime())
	s.refusals[d.Rule]++
	j.Priority = d.Priority
	return d.Rule == shedding.Admitted
}
