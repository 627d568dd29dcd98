package scheduler

import (
	"math"
	"time"

	"pollenpaddle/internal/request/estimate"
)

const (
	// defaultRun stands in for a task without a declared run time.
	defaultRun = 300 * time.Millisecond
	// recentWeight makes the recent deviation of an agent cover about its last five runs, so that a
	// worker that turns slow is noticed before its learned speed follows.
	recentWeight = 0.2
	// stragglerWeight is the weight of a run that was stopped because it took far too long.
	stragglerWeight = 0.4
	// recentMemory is the time in which a recent deviation fades to a third, so that an agent that was
	// slow is tried again.
	recentMemory = 3 * time.Second
	// recentTolerance is the recent deviation, as a natural logarithm, that counts as chance.
	recentTolerance = 0.35
	// maxRatio bounds the recorded deviation of one run.
	maxRatio = 3
)

// unit is the declared run time to which learned run times are normalised.
const unit = time.Second

// runTimes learns how the run times of a queue relate to the declared ones.
type runTimes struct{ ratio estimate.Distribution }

// speed is the learned speed of one agent.
type speed struct {
	learned estimate.Speed
	recent  float64       // mean logarithm of actual to predicted run time over the last runs
	at      time.Duration // when recent was last updated
}

func declaredOr(expected time.Duration) time.Duration {
	if expected <= 0 {
		return defaultRun
	}
	return expected
}

// predict returns the probable run time of a task with the declared one, at mean speed.
func (r *runTimes) predict(expected time.Duration) time.Duration {
	ratio := r.ratio.Typical(unit)
	return time.Duration(float64(declaredOr(expected)) * float64(ratio) / float64(unit))
}

// observe learns from one run.
func (r *runTimes) observe(now time.Duration, s *speed, runTime, expected time.Duration) {
	r.notice(now, s, runTime, expected, recentWeight)
	normal := time.Duration(float64(runTime) / float64(declaredOr(expected)) * float64(unit))
	estimate.Observe(&r.ratio, &s.learned, normal)
}

// notice updates the recent deviation of an agent from a run that took a time, or longer.
func (r *runTimes) notice(now time.Duration, s *speed, runTime, expected time.Duration, weight float64) {
	predicted := float64(r.predict(expected)) * s.learned.Slowness()
	surprise := math.Log(max(float64(runTime), 1) / predicted)
	recent := s.recently(now)
	s.recent, s.at = recent+weight*(max(-maxRatio, min(maxRatio, surprise))-recent), now
}

// recently is the recent deviation, which fades while the agent runs nothing.
func (s *speed) recently(now time.Duration) float64 {
	return s.recent * math.Exp(-float64(now-s.at)/float64(recentMemory))
}

// slowness is the run time on the agent relative to mean speed.
func (s *speed) slowness(now time.Duration) float64 {
	factor := s.learned.Slowness()
	if recent := s.recently(now); math.Abs(recent) > recentTolerance {
		factor *= math.Exp(recent)
	}
	return factor
}

// normalise converts a run time on the agent to mean speed.
func (a *agent) normalise(now, runTime time.Duration) time.Duration {
	return time.Duration(float64(runTime) / a.speed.slowness(now))
}

// optimistic is the run time that a task takes if it is shorter than predicted. Declared run times
// are off by some 40%, so a job is not given up as late on the prediction alone.
func optimistic(predicted time.Duration) time.Duration { return predicted * 7 / 10 }
