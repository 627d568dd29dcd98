package main

import (
	"slices"
	"time"
)

// step is the resolution of the computation. It is small beside the shortest slack, about 100 ms.
const step = 10 * time.Millisecond

// order is the order in which waiting work is served.
type order struct {
	name string
	// serve divides the processor time of one step among the waiting work of all classes.
	serve func(l *load, waiting [][]batch, processorTime float64)
}

var orders = []order{
	{"value for processor time", serveByValue},
	{"first come first served", serveByArrival},
	{"random", serveAtRandom},
}

// batch is the work of one class that arrived in one step.
type batch struct {
	arrival      time.Duration
	arrived      float64 // jobs
	servedInTime float64 // jobs
	jobs         float64 // that wait
}

// result holds the value of the jobs that arrived and of those that met their objective.
type result struct {
	arrivedByClass, servedByClass   []float64
	arrivedByWindow, servedByWindow []float64
}

// play divides the processor time of each step by the order. Work that has waited for longer than its slack is dropped: it
// can no longer meet its objective, and a scheduler that knows everything does not start it.
func play(l *load, o order, window time.Duration) *result {
	r := &result{arrivedByClass: make([]float64, len(l.classes)), servedByClass: make([]float64, len(l.classes))}
	windows := int((l.length + window - 1) / window)
	r.arrivedByWindow, r.servedByWindow = make([]float64, windows), make([]float64, windows)
	waiting := make([][]batch, len(l.classes))
	for now := time.Duration(0); now < l.length+seconds(10); now += step {
		rates, capacity := l.at(now)
		for k := range l.classes {
			if now < l.length {
				jobs := rates[k] * step.Seconds()
				waiting[k] = append(waiting[k], batch{arrival: now, arrived: jobs, jobs: jobs})
			}
		}
		o.serve(l, waiting, capacity*step.Seconds())
		for k, c := range l.classes {
			waiting[k] = slices.DeleteFunc(waiting[k], func(b batch) bool {
				over := b.jobs < 1e-9 || now-b.arrival >= c.slack
				if over {
					r.record(k, int(b.arrival/window), c.value, b)
				}
				return over
			})
		}
	}
	return r
}

func (r *result) record(class, window int, value float64, b batch) {
	r.arrivedByClass[class] += b.arrived * value
	r.servedByClass[class] += b.servedInTime * value
	r.arrivedByWindow[window] += b.arrived * value
	r.servedByWindow[window] += b.servedInTime * value
}

func (r *result) share() float64 { return sum(r.servedByWindow) / sum(r.arrivedByWindow) }

func (r *result) classShare(k int) float64 { return r.servedByClass[k] / r.arrivedByClass[k] }

// worstWindows returns the mean share of the two worst windows.
func (r *result) worstWindows() float64 {
	shares := make([]float64, len(r.arrivedByWindow))
	for i := range shares {
		shares[i] = r.servedByWindow[i] / max(r.arrivedByWindow[i], 1e-9)
	}
	slices.Sort(shares)
	worst := shares[:min(2, len(shares))]
	return sum(worst) / float64(len(worst))
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}

// take serves at most the given number of jobs of a batch and returns the processor time used.
func (b *batch) take(jobs, work float64) float64 {
	jobs = min(jobs, b.jobs)
	b.jobs -= jobs
	b.servedInTime += jobs
	return jobs * work
}

// serveByValue serves the class with the greatest value for its processor time first, and within a class what arrived first.
func serveByValue(l *load, waiting [][]batch, processorTime float64) {
	ranked := make([]int, len(l.classes))
	for k := range ranked {
		ranked[k] = k
	}
	slices.SortFunc(ranked, func(a, b int) int {
		if l.classes[a].value/l.classes[a].work > l.classes[b].value/l.classes[b].work {
			return -1
		}
		return 1
	})
	for _, k := range ranked {
		for i := range waiting[k] {
			processorTime -= waiting[k][i].take(processorTime/l.classes[k].work, l.classes[k].work)
		}
	}
}

func serveByArrival(l *load, waiting [][]batch, processorTime float64) {
	next := make([]int, len(l.classes))
	for processorTime > 1e-9 {
		first := -1
		for k := range waiting {
			if next[k] < len(waiting[k]) && (first < 0 || waiting[k][next[k]].arrival < waiting[first][next[first]].arrival) {
				first = k
			}
		}
		if first < 0 {
			return
		}
		processorTime -= waiting[first][next[first]].take(processorTime/l.classes[first].work, l.classes[first].work)
		next[first]++
	}
}

// serveAtRandom serves every batch by the same share, which is the mean of a random order.
func serveAtRandom(l *load, waiting [][]batch, processorTime float64) {
	demand := 0.0
	for k := range waiting {
		for _, b := range waiting[k] {
			demand += b.jobs * l.classes[k].work
		}
	}
	share := min(1, processorTime/max(demand, 1e-9))
	for k := range waiting {
		for i := range waiting[k] {
			b := &waiting[k][i]
			b.take(b.jobs*share, l.classes[k].work)
		}
	}
}
