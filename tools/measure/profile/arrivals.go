package profile

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Arrival is one job that a client submits.
type Arrival struct {
	At           time.Duration // since the start of the run
	Class        *Class
	Organisation string
	Tasks        []Task
	Resubmit     bool          // the client resubmits it through another entry
	CancelAfter  time.Duration // zero for a job that is not cancelled
	NeverFits    bool          // needs more memory than any worker has
}

// Task is one task of an Arrival.
type Task struct {
	Key      string        // unique within a run
	RunTime  time.Duration // at speed 1; that of a straggler is stretched
	Declared time.Duration // run time that the client declares
}

// cancelInterval is the time between two waves of cancellations. A job is cancelled in the first
// wave after its arrival.
const cancelInterval = 5 * time.Second

// MeanWork returns the mean work of one job, in seconds at speed 1.
func (p *Profile) MeanWork() float64 {
	work, weights := 0.0, 0.0
	for i := range p.Classes {
		c := &p.Classes[i]
		run := midpoint(c.RunTime)*(1-c.TailShare) + midpoint(c.Tail)*c.TailShare
		run *= 1 + p.StragglerShare*(p.StragglerFactor-1)
		work += c.Weight * run * float64(c.Tasks.Low+c.Tasks.High) / 2
		weights += c.Weight
	}
	return work / weights
}

// midpoint returns the midpoint of a range, in seconds.
func midpoint(r Range[time.Duration]) float64 { return (r.Low + r.High).Seconds() / 2 }

// Capacity returns the work that all instances can do per second, in seconds at speed 1.
func (p *Profile) Capacity() float64 {
	total := 0.0
	for i := range p.Instances {
		total += p.Speed(i) * float64(p.Slots)
	}
	return total
}

// Speed returns the speed of an instance. The listed speeds repeat over the instances.
func (p *Profile) Speed(instance int) float64 { return p.Speeds[instance%len(p.Speeds)] }

// Zone returns the availability zone of an instance, an entry or a control member. The listed zones
// repeat over each of them.
func (p *Profile) Zone(index int) string { return p.Zones[index%len(p.Zones)] }

// Arrivals draws Poisson arrivals over the given time, at a rate that needs the given share of the
// capacity (0.8 for 80%).
func (p *Profile) Arrivals(seed uint64, load float64, length time.Duration) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	rate := load * p.Capacity() / p.MeanWork()
	var arrivals []Arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		when := time.Duration(at * float64(time.Second))
		if when >= length {
			return arrivals
		}
		arrivals = append(arrivals, p.drawArrival(random, len(arrivals), when))
	}
}

func (p *Profile) drawArrival(random *rand.Rand, number int, at time.Duration) Arrival {
	c := p.drawClass(random)
	a := Arrival{At: at, Class: c, Organisation: c.Organisations[random.IntN(len(c.Organisations))]}
	for i := range c.Tasks.Low + random.IntN(c.Tasks.High-c.Tasks.Low+1) {
		a.Tasks = append(a.Tasks, p.drawTask(random, c, fmt.Sprintf("%d-%d", number, i)))
	}
	a.Resubmit = random.Float64() < p.ResubmitShare
	a.NeverFits = random.Float64() < p.NeverFitsShare
	if random.Float64() < p.CancelShare {
		a.CancelAfter = cancelInterval - at%cancelInterval
	}
	return a
}

// drawClass draws a class in proportion to the weights.
func (p *Profile) drawClass(random *rand.Rand) *Class {
	total := 0.0
	for i := range p.Classes {
		total += p.Classes[i].Weight
	}
	remaining := random.Float64() * total
	for i := range p.Classes {
		if remaining -= p.Classes[i].Weight; remaining < 0 {
			return &p.Classes[i]
		}
	}
	return &p.Classes[len(p.Classes)-1]
}

func (p *Profile) drawTask(random *rand.Rand, c *Class, key string) Task {
	runTimes := c.RunTime
	if random.Float64() < c.TailShare {
		runTimes = c.Tail
	}
	run := runTimes.Low + time.Duration(random.Float64()*float64(runTimes.High-runTimes.Low))
	// The error is a factor between 1/DeclaredError and DeclaredError, uniform on a log scale.
	declared := float64(run) * math.Pow(c.DeclaredError, 2*random.Float64()-1)
	if random.Float64() < p.StragglerShare {
		run = time.Duration(float64(run) * p.StragglerFactor)
	}
	return Task{Key: key, RunTime: run, Declared: time.Duration(declared)}
}
