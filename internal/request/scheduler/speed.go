package scheduler

import (
	"math"
	"time"

	"pollenpaddle/internal/request/estimate"
)

const (
	// defaultRunTime is assumed for tasks without a declared run time.
	defaultRunTime = 300 * time.Millisecond
	// deviationWeight makes the recent deviation of an agent cover about its last five runs, so that a
	// worker that becomes slow is detected before its learned speed adapts.
	deviationWeight = 0.2
	// stragglerWeight is the weight of a run that was stopped as a straggler.
	stragglerWeight = 0.4
	// deviationDecayTime is the time constant with which the recent deviation decays (to about a third),
	// so that an agent that was slow is tried again.
	deviationDecayTime = 3 * time.Second
	// deviationTolerance is the recent deviation, as a natural logarithm, that is ignored as noise.
	deviationTolerance = 0.35
	// maxDeviation bounds the recorded deviation of one run, as a natural logarithm.
	maxDeviation = 3
)

// referenceRunTime is the declared run time to which observed run times are normalised.
const referenceRunTime = time.Second

// runTimes estimates the ratio of actual to declared run times of a queue.
type runTimes struct{ ratio estimate.Distribution }

// speed estimates the speed of one agent.
type speed struct {
	learned         estimate.Speed
	recentDeviation float64       // moving average of ln(actual/predicted run time) over the last runs
	updatedAt       time.Duration // when recentDeviation was last updated
}

func declaredOrDefault(expected time.Duration) time.Duration {
	if expected <= 0 {
		return defaultRunTime
	}
	return expected
}

// predict returns the expected run time, at mean speed, of a task with the given declared run time.
func (r *runTimes) predict(expected time.Duration) time.Duration {
	ratio := r.ratio.Typical(referenceRunTime)
	return time.Duration(float64(declaredOrDefault(expected)) * float64(ratio) / float64(referenceRunTime))
}

// observe updates the estimates of the queue and the agent with one completed run.
func (r *runTimes) observe(now time.Duration, s *speed, runTime, expected time.Duration) {
	r.updateDeviation(now, s, runTime, expected, deviationWeight)
	normal := time.Duration(float64(runTime) / float64(declaredOrDefault(expected)) * float64(referenceRunTime))
	estimate.Observe(&r.ratio, &s.learned, normal)
}

// updateDeviation updates the recent deviation of an agent with a run that took at least runTime.
func (r *runTimes) updateDeviation(now time.Duration, s *speed, runTime, expected time.Duration, weight float64) {
	predicted := float64(r.predict(expected)) * s.learned.Slowness()
	deviation := math.Log(max(float64(runTime), 1) / predicted)
	recent := s.currentDeviation(now)
	s.recentDeviation, s.updatedAt = recent+weight*(max(-maxDeviation, min(maxDeviation, deviation))-recent), now
}

// currentDeviation returns the recent deviation, which decays while no run ends on the agent.
func (s *speed) currentDeviation(now time.Duration) float64 {
	return s.recentDeviation * math.Exp(-float64(now-s.updatedAt)/float64(deviationDecayTime))
}

// slowness returns the run time on the agent relative to mean speed.
func (s *speed) slowness(now time.Duration) float64 {
	factor := s.learned.Slowness()
	if recent := s.currentDeviation(now); math.Abs(recent) > deviationTolerance {
		factor *= math.Exp(recent)
	}
	return factor
}

// normalise converts a run time on the agent to the run time at mean speed.
func (a *agent) normalise(now, runTime time.Duration) time.Duration {
	return time.Duration(float64(runTime) / a.speed.slowness(now))
}

// optimisticRunTime returns a lower estimate of a predicted run time. Declared run times are off by
// about 40%, so a job is not rejected as late on the prediction alone.
func optimisticRunTime(predicted time.Duration) time.Duration { return predicted * 7 / 10 }
