package dispatch

import (
	"math/bits"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/admission"
	"pollenpaddle/internal/request/estimate"
	"pollenpaddle/internal/request/health"
	"pollenpaddle/internal/request/placement"
	"pollenpaddle/internal/request/retry"
	"pollenpaddle/internal/version/catalog"
)

const (
	// defaultTarget applies to a class without a configured target.
	defaultTarget = time.Minute
	// capacityRetention is how long a capacity counts after its last announcement when tasks are
	// checked for a fit.
	capacityRetention = 10 * time.Minute
	// upstreamAbsenceGrace is how long tasks are still queued for an upstream without agents, so that
	// none are rejected while an agent reconnects or restarts.
	upstreamAbsenceGrace = 5 * time.Second
	// maxRecordedCapacities bounds the capacities recorded per upstream.
	maxRecordedCapacities = 256
)

// class is the state of one class of the catalog.
type class struct {
	name        string
	upstream    *upstream
	retired     bool
	state       admission.ClassState
	runTimes    estimate.Distribution
	retryBudget retry.Budget
	failureRate health.FailureRate
	lanes       map[sizeBucket]*lane
}

// sizeBucket holds the resource needs of a task in powers of two. Tasks of the same class and
// bucket share a lane: if one of them finds no agent, the others are not tried until an agent may
// take more starts.
type sizeBucket struct{ processors, memory, accelerators uint8 }

func sizeBucketOf(need job.Resources) sizeBucket {
	return sizeBucket{
		processors:   uint8(bits.Len64(uint64(max(0, need.MilliProcessors)) / 1000)),
		memory:       uint8(bits.Len64(uint64(max(0, need.MemoryBytes)) >> 28)),
		accelerators: uint8(bits.Len64(uint64(max(0, need.Accelerators)))),
	}
}

// lane is a lane of the queue (admission.Lane) and the upstream whose agents run its tasks.
type lane struct {
	admissionLane *admission.Lane
	upstream      *upstream
	noAgent       bool   // the policy found no agent for the last task tried
	version       uint64 // version of the pool when noAgent was set
}

// blocked reports whether the lane found no agent and since then no agent can have become able to take
// another start.
func (l *lane) blocked() bool { return l.noAgent && l.version == l.upstream.pool.Version }

// upstream holds the pool of the agents that announce an upstream, its run times and its recorded
// capacities.
type upstream struct {
	name               string
	pool               placement.Pool
	runTimes           estimate.Distribution // over all classes; its mean is the pool's MeanRunTime
	recordedCapacities []recordedCapacity
	lastAgentAt        time.Duration // when the pool last had an agent; valid if hadAgent
	hadAgent           bool
	queued             int // queued tasks, counted for Policy.RequestOffers
}

type recordedCapacity struct {
	capacity job.Resources
	lastSeen time.Duration
}

// recordCapacity records the capacity of an announced agent. If the list is full, it replaces the
// capacity that was seen least recently.
func (u *upstream) recordCapacity(now time.Duration, capacity job.Resources) {
	u.hadAgent, u.lastAgentAt = true, now
	oldest := 0
	for i := range u.recordedCapacities {
		if u.recordedCapacities[i].capacity == capacity {
			u.recordedCapacities[i].lastSeen = now
			return
		}
		if u.recordedCapacities[i].lastSeen < u.recordedCapacities[oldest].lastSeen {
			oldest = i
		}
	}
	if len(u.recordedCapacities) >= maxRecordedCapacities {
		u.recordedCapacities[oldest] = recordedCapacity{capacity: capacity, lastSeen: now}
		return
	}
	u.recordedCapacities = append(u.recordedCapacities, recordedCapacity{capacity: capacity, lastSeen: now})
}

// fits reports whether the capacity of a present agent or of one seen recently covers the need.
func (u *upstream) fits(now time.Duration, need job.Resources) bool {
	if u.pool.Fits(need) {
		return true
	}
	for _, recorded := range u.recordedCapacities {
		if now-recorded.lastSeen < capacityRetention && recorded.capacity.Covers(need) {
			return true
		}
	}
	return false
}

// available reports whether the upstream has or recently had an agent.
func (u *upstream) available(now time.Duration) bool {
	return u.pool.Len() > 0 || u.hadAgent && now-u.lastAgentAt < upstreamAbsenceGrace
}

func (m *Machine) upstream(name string) *upstream {
	u := m.upstreams[name]
	if u == nil {
		u = &upstream{name: name}
		u.pool.MeanRunTime = u.runTimes.Mean()
		m.upstreams[name] = u
		m.upstreamOrder = append(m.upstreamOrder, u)
	}
	return u
}

func (m *Machine) configureClass(c *catalog.Class) {
	existing := m.classes[c.Name]
	if existing == nil {
		existing = &class{name: c.Name, lanes: map[sizeBucket]*lane{}}
		m.classes[c.Name] = existing
		m.classOrder = append(m.classOrder, existing)
	}
	if u := m.upstream(c.Upstream); existing.upstream != u {
		// Queued tasks stay with the previous upstream.
		existing.upstream, existing.lanes = u, map[sizeBucket]*lane{}
	}
	existing.retired = c.Retired
	existing.state.Target, existing.state.Share = c.AnswerWithin, c.Share
	if c.AnswerWithin <= 0 {
		existing.state.Target = defaultTarget
	}
}

func (m *Machine) lane(c *class, need job.Resources) *lane {
	key := sizeBucketOf(need)
	l := c.lanes[key]
	if l == nil || l.admissionLane.Removed {
		l = &lane{upstream: c.upstream}
		l.admissionLane = m.queue.NewLane(&c.state, l)
		c.lanes[key] = l
	}
	return l
}

// latestStart returns the latest start with which a task of the class probably meets the deadline.
// It is never earlier than half the target before the deadline, so that a class whose run times
// often exceed half its target is not shed too early.
func (c *class) latestStart(deadline time.Duration, declared time.Duration) time.Duration {
	p90 := time.Duration(float64(c.runTimes.Quantile(estimate.P90, declared)) * c.upstream.pool.Fastest())
	return deadline - min(p90, c.state.Target/2)
}
