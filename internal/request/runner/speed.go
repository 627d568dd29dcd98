package runner

import (
	"math"
	"time"

	"pollenpaddle/internal/connection/wire"
)

const (
	// minSpeedChange is the change of the worker's speed, as a natural logarithm, from which it is sent to the entries.
	// It exceeds the error of an estimate from many runs whose predictions are off by 40%.
	minSpeedChange = 0.1
	// minSpeedSamples is the number of runs from which the speed is sent.
	minSpeedSamples = 3
	// speedInterval is the minimum time between two such messages to one entry. The first one waits as long, until the
	// entry has announced that it understands the message.
	speedInterval = PollInterval
	// speedRefreshInterval is the time after which a speed is sent again: an entry that was slow to announce that it
	// understands the message has not got it.
	speedRefreshInterval = 5 * time.Second
)

// sendSpeed sends the speed of the worker if it has changed. Entries share what they learn in this way: each of many
// entries sees only a few runs of a worker, and an entry that starts has seen none. Until they knew which workers are
// slow, ten entries that had just started served 0.84 of their jobs in time, and one that saw all runs 0.95.
func (m *Machine) sendSpeed(now time.Duration, o *owner) {
	speed := &m.worker.speed
	if now < o.nextSpeedAt || speed.Samples() < minSpeedSamples {
		return
	}
	refresh := o.sentSlowness != 0 && now >= o.speedSentAt+speedRefreshInterval
	if !refresh && math.Abs(speed.Log()-o.sentSlowness) < minSpeedChange {
		return
	}
	o.sentSlowness, o.nextSpeedAt, o.speedSentAt = speed.Log(), now+speedInterval, now
	m.send(o.id, &wire.WorkerSpeed{Slowness: speed.Log(), Samples: speed.Samples()})
}
