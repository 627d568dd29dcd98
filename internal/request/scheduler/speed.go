package scheduler

import (
	"math"
	"time"

	"pollenpaddle/internal/connection/wire"
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

// referenceRunTime is the declared run time to which observed run times are scaled.
const referenceRunTime = time.Second

// runTimeRatio estimates the ratio of actual to declared run times of a queue. The ratio is stored as the
// run time of a task with a declared run time of referenceRunTime.
type runTimeRatio struct{ distribution estimate.Distribution }

// speed estimates the speed of one agent.
type speed struct {
	learned         estimate.Slowness
	recentDeviation float64       // moving average of ln(actual/predicted run time) over the last runs
	updatedAt       time.Duration // when recentDeviation was last updated
}

func declaredOrDefault(declared time.Duration) time.Duration {
	if declared <= 0 {
		return defaultRunTime
	}
	return declared
}

// predict returns the predicted run time, at mean speed, of a task with the given declared run time.
func (r *runTimeRatio) predict(declared time.Duration) time.Duration {
	ratio := r.distribution.Typical(referenceRunTime)
	return time.Duration(float64(declaredOrDefault(declared)) * float64(ratio) / float64(referenceRunTime))
}

// observe updates the estimates of the queue and the agent with one completed run.
func (r *runTimeRatio) observe(now time.Duration, s *speed, runTime, declared time.Duration) {
	r.updateDeviation(now, s, runTime, declared, deviationWeight)
	atReference := time.Duration(float64(runTime) / float64(declaredOrDefault(declared)) * float64(referenceRunTime))
	estimate.Observe(&r.distribution, &s.learned, atReference)
}

// updateDeviation updates the recent deviation of an agent with a run that took at least runTime.
func (r *runTimeRatio) updateDeviation(now time.Duration, s *speed, runTime, declared time.Duration, weight float64) {
	predicted := float64(r.predict(declared)) * s.learned.Factor()
	deviation := math.Log(max(float64(runTime), 1) / predicted)
	recent := s.currentDeviation(now)
	s.recentDeviation, s.updatedAt = recent+weight*(max(-maxDeviation, min(maxDeviation, deviation))-recent), now
}

// adopt replaces the learned speed by that of the agent if it is based on more runs: those of all entries. The recent
// deviation is relative to the learned speed.
func (s *speed) adopt(reported *wire.WorkerSpeed) {
	s.recentDeviation -= s.learned.Adopt(reported.Slowness, reported.Samples)
}

// currentDeviation returns the recent deviation, which decays while no run ends on the agent.
func (s *speed) currentDeviation(now time.Duration) float64 {
	return s.recentDeviation * math.Exp(-float64(now-s.updatedAt)/float64(deviationDecayTime))
}

// slowness returns the run time on the agent relative to mean speed.
func (s *speed) slowness(now time.Duration) float64 {
	factor := s.learned.Factor()
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
