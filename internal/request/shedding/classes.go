package shedding

import (
	"math"
	"time"
)

const (
	// demandPeriod is the time constant with which earlier demand is forgotten. A class of 5 jobs/s at an entry has
	// 20 jobs in it; a flood counts within seconds.
	demandPeriod = 4 * time.Second
	// minServed bounds the part of its demand that a class counts as served, so that its standing rises by a factor
	// of at most 1/sqrt(0.05) = 4.5.
	minServed = 0.05
	// maxStanding bounds the standing of a class with little demand.
	maxStanding = 32
	// maxClasses is the number of classes from which those without recent demand are forgotten.
	maxClasses = 256
	// negligibleDemand is the processor time below which a class has no recent demand.
	negligibleDemand = time.Millisecond
)

// decayingSum is a sum of processor times in seconds, in which earlier ones count less with the time constant demandPeriod.
type decayingSum struct {
	value float64
	at    time.Duration
}

func (s *decayingSum) add(now, work time.Duration) {
	s.value = s.valueAt(now) + work.Seconds()
	s.at = max(s.at, now)
}

func (s *decayingSum) valueAt(now time.Duration) float64 {
	return s.value * math.Exp(-float64(max(0, now-s.at))/float64(demandPeriod))
}

type class struct{ demand, served decayingSum }

// Classes measures the demand of classes of jobs. The zero value is empty.
type Classes struct {
	byName map[string]*class
	total  decayingSum
}

// Arrived records the processor time of an arriving job.
func (c *Classes) Arrived(now time.Duration, name string, work time.Duration) {
	known := c.byName[name]
	if known == nil {
		c.forget(now)
		known = &class{}
		if c.byName == nil {
			c.byName = map[string]*class{}
		}
		c.byName[name] = known
	}
	known.demand.add(now, work)
	c.total.add(now, work)
}

// Served records the processor time of a job that has started.
func (c *Classes) Served(now time.Duration, name string, work time.Duration) {
	if known := c.byName[name]; known != nil {
		known.served.add(now, work)
	}
}

// forget removes the classes without recent demand if there are many.
func (c *Classes) forget(now time.Duration) {
	if len(c.byName) < maxClasses {
		return
	}
	for name, known := range c.byName {
		if known.demand.valueAt(now) < negligibleDemand.Seconds() {
			delete(c.byName, name)
		}
	}
}

// Standing returns the weight of the processor time of a class: all classes count the same as a whole, so it is inverse
// to the share of the class in the demand. It rises while little of the demand is served, with the square root of the
// part that is not, so that no class goes unserved. A class that is not known has the standing 1.
func (c *Classes) Standing(now time.Duration, name string) float64 {
	known := c.byName[name]
	if known == nil {
		return 1
	}
	demand, total := known.demand.valueAt(now), c.total.valueAt(now)
	if demand <= 0 || total <= 0 {
		return 1
	}
	served := max(minServed, min(1, known.served.valueAt(now)/demand))
	return min(maxStanding, total/demand/math.Sqrt(served))
}
