// Package estimate learns run times. A class has the distribution of its run times on an agent of
// mean speed, and an agent has one slowness factor over all classes. Everything is kept in
// logarithms of seconds, so that a tail of long tasks and declared values that are wrong by a
// factor of ten move an estimate little.
package estimate

import (
	"math"
	"time"
)

const (
	// defaultRun stands in for a class without a sample and without a declared run time.
	defaultRun = 300 * time.Millisecond
	// declaredWeight is the number of samples that a declared run time counts for.
	declaredWeight = 4
	// minClassStep and minAgentStep bound the step from below, so that estimates follow changes
	// after about 100 and 50 samples.
	minClassStep = 0.03
	minAgentStep = 0.01
	// clip bounds one sample's influence, in mean absolute deviations.
	clip = 3
	// maxSlowness bounds the factor of one agent, as a natural logarithm (a factor of 16).
	maxSlowness = 2.7726
	// slownessDecay pulls factors towards one, which fixes the common level that the class
	// centres and the agent factors could otherwise exchange.
	slownessDecay = 0.0005
	// minRun keeps logarithms finite.
	minRun = 100 * time.Microsecond
)

// Distribution is the learned run time of one class. The zero value has seen no sample.
type Distribution struct {
	samples   float64
	centre    float64 // mean of the logarithms
	deviation float64 // mean absolute deviation of the logarithms
	quantiles [len(Levels)]float64
}

// Levels are the quantiles that a Class tracks.
var Levels = [...]float64{0.1, 0.5, 0.9, 0.99}

// Quantile is an index into Levels.
type Quantile int

// The tracked quantiles.
const (
	P10 Quantile = iota
	P50
	P90
	P99
)

// Speed is the learned speed of one agent. The zero value has mean speed.
type Speed struct {
	samples  float64
	slowness float64 // natural logarithm
}

// Slowness is the agent's run time relative to an agent of mean speed: 2 is half as fast.
func (a *Speed) Slowness() float64 { return math.Exp(a.slowness) }

// Samples is the number of run times seen.
func (a *Speed) Samples() int { return int(a.samples) }

// Samples is the number of run times seen.
func (c *Distribution) Samples() int { return int(c.samples) }

// Typical returns the typical run time (the geometric mean) at mean speed. A declared run time
// counts like a few samples; zero means that none was declared.
func (c *Distribution) Typical(declared time.Duration) time.Duration {
	return c.blend(c.centre, declared, 0)
}

// Mean returns the arithmetic mean at mean speed under a log-normal distribution, which is what a
// slot is held for on average.
func (c *Distribution) Mean() time.Duration {
	if c.samples == 0 {
		return defaultRun
	}
	// The mean absolute deviation of a normal distribution is 0.798 standard deviations.
	sigma := min(c.deviation/0.798, 1.5)
	return fromLog(c.centre + sigma*sigma/2)
}

// At returns a quantile at mean speed. A declared run time shifts it as in Typical.
func (c *Distribution) At(q Quantile, declared time.Duration) time.Duration {
	return c.blend(c.quantiles[q], declared, c.quantiles[q]-c.centre)
}

// blend weighs a learned value with a declared one that is shifted by offset.
func (c *Distribution) blend(learned float64, declared time.Duration, offset float64) time.Duration {
	if declared <= 0 {
		if c.samples == 0 {
			return defaultRun
		}
		return fromLog(learned)
	}
	weight := declaredWeight / (declaredWeight + c.samples)
	return fromLog(weight*(toLog(declared)+offset) + (1-weight)*learned)
}

// Observe learns from one completed run of class c on agent a.
func Observe(c *Distribution, a *Speed, run time.Duration) {
	x := toLog(run) - a.slowness
	if c.samples == 0 {
		c.centre, c.deviation = x, 0.5
		for i := range c.quantiles {
			c.quantiles[i] = x
		}
	}
	c.samples++
	a.samples++
	surprise := x - c.centre
	bound := clip * max(c.deviation, 0.1)
	clipped := max(-bound, min(bound, surprise))
	step := max(1/(c.samples+1), minClassStep)
	c.deviation += step * (math.Abs(clipped) - c.deviation)
	c.centre += step * clipped
	for i, level := range Levels {
		// The step is proportional to the deviation; a sample below moves the quantile down by
		// (1-level), one above moves it up by level, so that it rests at its level.
		move := 2 * step * max(c.deviation, 0.05)
		if x < c.quantiles[i] {
			c.quantiles[i] -= move * (1 - level)
		} else {
			c.quantiles[i] += move * level
		}
	}
	a.slowness += max(1/(a.samples+8), minAgentStep) * clipped
	a.slowness = max(-maxSlowness, min(maxSlowness, a.slowness*(1-slownessDecay)))
}

func toLog(d time.Duration) float64 { return math.Log(max(d, minRun).Seconds()) }

func fromLog(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }
