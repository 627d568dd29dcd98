package scheduler_test

import (
	"fmt"
	"math"
	"time"

	"github.com/onsi/ginkgo/v2"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/scheduler"
)

// kind is a kind of job as the users' load has it.
type kind struct {
	name     string
	priority int
	width    float64
	work     time.Duration
	perS     float64
}

var kinds = []kind{
	{"short", 0, 8, 60 * time.Millisecond, 34.4},
	{"long", 2, 4, 900 * time.Millisecond, 6.25},
	{"medium", 1, 2, 200 * time.Millisecond, 100},
}

// submission draws a job of a kind. Declared run times are off by 40%.
func (i *installation) submission(k kind) *scheduler.Submission {
	i.lastJob++
	s := &scheduler.Submission{
		ID: fmt.Sprintf("%016x", i.lastJob), Queue: k.name, Service: service, Priority: k.priority, MaxAttempts: 3,
		Stretch: 1.6, Slack: 60 * time.Millisecond,
	}
	spread := func(sigma float64) float64 { return math.Exp(sigma*i.random.NormFloat64() - sigma*sigma/2) }
	work := min(float64(k.work)*spread(0.4), 4*float64(k.work))
	width := max(1, min(4*int(k.width), int(k.width*spread(0.4)+0.5)))
	step := scheduler.Step{Count: width, Need: job.Resources{MilliProcessors: int64(6200 * spread(0.2)), MemoryBytes: 64 << 20}}
	step.Expected = time.Duration(work * spread(0.4))
	s.Steps = []scheduler.Step{step}
	o := &outcome{submitted: i.now}
	for n := range width {
		length := time.Duration(work * (0.85 + 0.3*i.random.Float64()))
		i.actual[run.Task{Job: s.ID, Index: uint16(n)}] = length
		o.actual = max(o.actual, length)
	}
	o.objective = time.Duration(1.6*float64(o.actual)) + 60*time.Millisecond
	s.Wait = 3*o.objective + time.Second
	i.outcomes[s.ID] = o
	i.ordered = append(i.ordered, o)
	return s
}

func (i *installation) submit(f *front, s *scheduler.Submission) string {
	i.stepEntry(f, scheduler.Submitted{Submission: s})
	return s.ID
}

// load submits jobs of all kinds for a while, at a multiple of the usual rate.
func (i *installation) load(d time.Duration, x float64) {
	next := make([]time.Duration, len(kinds))
	for k := range kinds {
		next[k] = i.now + i.pause(kinds[k].perS*x)
	}
	for end := i.now + d; i.now < end; {
		i.advance(tickStep)
		for k := range kinds {
			for next[k] <= i.now {
				next[k] += i.pause(kinds[k].perS * x)
				if f := i.fronts[i.random.IntN(len(i.fronts))]; !f.dead {
					i.submit(f, i.submission(kinds[k]))
				}
			}
		}
	}
}

func (i *installation) pause(perS float64) time.Duration {
	return time.Duration(i.random.ExpFloat64() / perS * float64(time.Second))
}

// share returns the share of the jobs from the given one on for which a condition holds.
func (i *installation) share(from int, holds func(*outcome) bool) float64 {
	n := 0
	for _, o := range i.ordered[from:] {
		if holds(o) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(i.ordered)-from))
}

func inTime(o *outcome) bool {
	return o.Verdict == scheduler.Completed && o.answered-o.submitted <= o.objective-2*3*time.Millisecond
}

func completed(o *outcome) bool { return o.Verdict == scheduler.Completed }

// table prints what callers of each kind got; the figures help to read a failure.
func (i *installation) table() {
	type row struct{ jobs, inTime, late, refused, other int }
	rows := map[string]*row{}
	for _, o := range i.ordered {
		r := rows[o.Summary.Queue]
		if r == nil {
			r = &row{}
			rows[o.Summary.Queue] = r
		}
		r.jobs++
		switch {
		case inTime(o):
			r.inTime++
		case completed(o):
			r.late++
		case o.Verdict == scheduler.Rejected:
			r.refused++
		default:
			r.other++
		}
	}
	for name, r := range rows {
		ginkgo.GinkgoWriter.Printf("%s: %+v\n", name, *r)
	}
	stats := scheduler.Stats{}
	for _, f := range i.fronts {
		stats = f.machine.Stats()
		ginkgo.GinkgoWriter.Printf("%+v\n", stats)
	}
}
