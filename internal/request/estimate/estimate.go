// Package estimate learns run times online. It keeps a distribution of run times per class,
// normalised to an agent of mean speed, and one slowness factor per agent over all classes. Run times
// are kept as natural logarithms of seconds and slowness as the natural logarithm of a factor, so that a tail of long
// tasks and declared run times that are wrong by a factor of ten have little effect on an estimate.
package estimate

import (
	"math"
	"time"
)

const (
	// defaultRunTime is assumed without a sample and without a declared run time.
	defaultRunTime = 300 * time.Millisecond
	// declaredWeight is the number of samples that a declared run time counts for.
	declaredWeight = 4
	// minDistributionStep is the lower bound of the learning rate of a distribution. At this
	// rate and without clipping, an estimate follows 95% of a change within about 100 samples of the
	// class.
	minDistributionStep = 0.03
	// slownessPriorSamples and ratioPriorSamples are the numbers of samples for which the assumption counts that an agent
	// has mean speed: in Observe, which learns the distribution from the same samples, and in ObserveRatio. The logarithms
	// of the speeds of workers (2 to 1, 4 to 1) vary about as much as those of a single run time whose declared value is
	// off by 40%.
	slownessPriorSamples = 8
	ratioPriorSamples    = 1
	// minSlownessStep is the lower bound of the learning rate of an agent's slowness. At this
	// rate and without clipping, an estimate follows 40% of a change within about 50 samples of the
	// agent.
	minSlownessStep = 0.01
	// clipDeviations bounds the residual of one sample, in mean absolute deviations.
	clipDeviations = 3
	// maxSlowness bounds the natural logarithm of an agent's slowness factor (a factor of 16).
	maxSlowness = 2.7726
	// slownessDecay shrinks the slowness factors towards one. Only the product of run time and slowness
	// is observed, so a common factor could otherwise drift between the distributions and the agents.
	slownessDecay = 0.0005
	// maxRatioResidual bounds the residual of one ratio: clipDeviations times the usual error of declared run times.
	maxRatioResidual = 1.2
	// minRunTime keeps logarithms finite.
	minRunTime = 100 * time.Microsecond
)

// Distribution is the learned distribution of the run times of one class, normalised to an agent of
// mean speed. The zero value has seen no sample.
type Distribution struct {
	samples   float64
	mean      float64 // mean of the logarithms
	deviation float64 // mean absolute deviation from mean
	quantiles [len(QuantileLevels)]float64
}

// QuantileLevels holds the level of each quantile that a Distribution tracks.
var QuantileLevels = [...]float64{0.1, 0.5, 0.9, 0.99}

// Quantile is an index into QuantileLevels.
type Quantile int

// The tracked quantiles.
const (
	P10 Quantile = iota
	P50
	P90
	P99
)

// Slowness is the learned slowness of one agent. The zero value has mean speed.
type Slowness struct {
	samples  float64
	slowness float64 // natural logarithm of the factor
}

// Factor returns the agent's run time relative to an agent of mean speed: 2 is half as fast.
func (s *Slowness) Factor() float64 { return math.Exp(s.slowness) }

// Samples returns the number of observed run times.
func (s *Slowness) Samples() int { return int(s.samples) }

// Log returns the natural logarithm of Factor.
func (s *Slowness) Log() float64 { return s.slowness }

// ObserveRatio updates s with the ratio of a run time to the one that was predicted for mean speed.
func (s *Slowness) ObserveRatio(runTime, predicted time.Duration) {
	s.samples++
	residual := toLog(runTime) - toLog(predicted) - s.slowness
	s.adjust(max(-maxRatioResidual, min(maxRatioResidual, residual)), ratioPriorSamples)
}

// Adopt replaces s by an estimate that is based on more samples. It returns the change of Log, which is zero if the
// estimate is not adopted.
func (s *Slowness) Adopt(log float64, samples int) (change float64) {
	if math.IsNaN(log) || float64(samples) <= s.samples {
		return 0
	}
	before := s.slowness
	s.slowness, s.samples = max(-maxSlowness, min(maxSlowness, log)), float64(samples)
	return s.slowness - before
}

// adjust moves the estimate towards a clipped residual.
func (s *Slowness) adjust(residual, priorSamples float64) {
	s.slowness += max(1/(s.samples+priorSamples), minSlownessStep) * residual
	s.slowness = max(-maxSlowness, min(maxSlowness, s.slowness*(1-slownessDecay)))
}

// Samples returns the number of observed run times.
func (d *Distribution) Samples() int { return int(d.samples) }

// Typical returns the typical run time (the geometric mean) at mean speed. A declared run time
// counts for declaredWeight samples; zero means that none was declared.
func (d *Distribution) Typical(declared time.Duration) time.Duration {
	return d.blend(d.mean, declared, 0)
}

// Mean returns the arithmetic mean at mean speed, assuming a log-normal distribution. It is the
// mean time for which a task holds a slot.
func (d *Distribution) Mean() time.Duration {
	if d.samples == 0 {
		return defaultRunTime
	}
	// The mean absolute deviation of a normal distribution is 0.798 standard deviations.
	sigma := min(d.deviation/0.798, 1.5)
	return fromLog(d.mean + sigma*sigma/2)
}

// Quantile returns a quantile at mean speed. A declared run time shifts it as in Typical.
func (d *Distribution) Quantile(q Quantile, declared time.Duration) time.Duration {
	return d.blend(d.quantiles[q], declared, d.quantiles[q]-d.mean)
}

// blend returns the weighted mean of a learned logarithm and a declared run time shifted by offset.
func (d *Distribution) blend(learned float64, declared time.Duration, offset float64) time.Duration {
	if declared <= 0 {
		if d.samples == 0 {
			return defaultRunTime
		}
		return fromLog(learned)
	}
	weight := declaredWeight / (declaredWeight + d.samples)
	return fromLog(weight*(toLog(declared)+offset) + (1-weight)*learned)
}

// Observe updates d and s with the run time of one completed task of d's class on the agent of s.
func Observe(d *Distribution, s *Slowness, runTime time.Duration) {
	x := toLog(runTime) - s.slowness
	if d.samples == 0 {
		d.mean, d.deviation = x, 0.5
		for i := range d.quantiles {
			d.quantiles[i] = x
		}
	}
	d.samples++
	s.samples++
	residual := x - d.mean
	bound := clipDeviations * max(d.deviation, 0.1)
	clipped := max(-bound, min(bound, residual))
	step := max(1/(d.samples+1), minDistributionStep)
	d.deviation += step * (math.Abs(clipped) - d.deviation)
	d.mean += step * clipped
	for i, level := range QuantileLevels {
		// Stochastic approximation: a sample below the quantile lowers it by step*(1-level), one
		// above raises it by step*level, so that it is stationary at its level. The step is
		// proportional to the deviation.
		quantileStep := 2 * step * max(d.deviation, 0.05)
		if x < d.quantiles[i] {
			d.quantiles[i] -= quantileStep * (1 - level)
		} else {
			d.quantiles[i] += quantileStep * level
		}
	}
	s.adjust(clipped, slownessPriorSamples)
}

func toLog(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

func fromLog(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }
