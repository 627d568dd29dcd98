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
	// seenCapacityTTL is how long the capacity of an agent that is gone counts when tasks are
	// checked for a fit.
	seenCapacityTTL = 10 * time.Minute
	// unavailableGrace is how long tasks are still queued for a service without agents, so that
	// none are refused while an agent reconnects or restarts.
	unavailableGrace = 5 * time.Second
	// maxSeenCapacities bounds the capacities recorded per service.
	maxSeenCapacities = 256
)

// class is the state of one class of the catalog.
type class struct {
	name        string
	service     *service
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

// lane is a queue lane and the service whose agents run its tasks.
type lane struct {
	queue   *admission.Lane
	service *service
	full    bool   // the policy found no agent for the last task tried
	version uint64 // version of the pool when full was set
}

func (l *lane) blocked() bool { return l.full && l.version == l.service.pool.Version }

// service is an upstream service with the agents that run it.
type service struct {
	name           string
	pool           placement.Pool
	runTimes       estimate.Distribution // over all classes; its mean is the pool's MeanRunTime
	seenCapacities []seenCapacity
	lastAgentAt    time.Duration // when the pool last had an agent; valid if hadAgent
	hadAgent       bool
	waiting        int // queued tasks, counted for Policy.RequestOffers
}

type seenCapacity struct {
	capacity job.Resources
	lastSeen time.Duration
}

// recordCapacity records the capacity of an announced agent. If the list is full, it replaces the
// capacity that was seen least recently.
func (s *service) recordCapacity(now time.Duration, capacity job.Resources) {
	s.hadAgent, s.lastAgentAt = true, now
	oldest := 0
	for i := range s.seenCapacities {
		if s.seenCapacities[i].capacity == capacity {
			s.seenCapacities[i].lastSeen = now
			return
		}
		if s.seenCapacities[i].lastSeen < s.seenCapacities[oldest].lastSeen {
			oldest = i
		}
	}
	if len(s.seenCapacities) >= maxSeenCapacities {
		s.seenCapacities[oldest] = seenCapacity{capacity: capacity, lastSeen: now}
		return
	}
	s.seenCapacities = append(s.seenCapacities, seenCapacity{capacity: capacity, lastSeen: now})
}

// fits reports whether the capacity of a present or recently seen agent covers the need.
func (s *service) fits(now time.Duration, need job.Resources) bool {
	if s.pool.Fits(need) {
		return true
	}
	for _, seen := range s.seenCapacities {
		if now-seen.lastSeen < seenCapacityTTL && seen.capacity.Fits(need) {
			return true
		}
	}
	return false
}

// available reports whether the service has or recently had an agent.
func (s *service) available(now time.Duration) bool {
	return s.pool.Len() > 0 || s.hadAgent && now-s.lastAgentAt < unavailableGrace
}

func (m *Machine) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{name: name}
		s.pool.MeanRunTime = s.runTimes.Mean()
		m.services[name] = s
		m.serviceOrder = append(m.serviceOrder, s)
	}
	return s
}

func (m *Machine) configureClass(c *catalog.Class) {
	existing := m.classes[c.Name]
	if existing == nil {
		existing = &class{name: c.Name, lanes: map[sizeBucket]*lane{}}
		m.classes[c.Name] = existing
		m.classOrder = append(m.classOrder, existing)
	}
	if s := m.service(c.Upstream); existing.service != s {
		// Queued tasks stay with the previous service.
		existing.service, existing.lanes = s, map[sizeBucket]*lane{}
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
	if l == nil || l.queue.Removed {
		l = &lane{service: c.service}
		l.queue = m.queue.NewLane(&c.state, l)
		c.lanes[key] = l
	}
	return l
}

// latestStart returns the latest start with which a task of the class probably meets the deadline.
// It is never earlier than half the target before the deadline, so that a class whose run times
// often exceed half its target is not shed too early.
func (c *class) latestStart(deadline time.Duration, declared time.Duration) time.Duration {
	p90 := time.Duration(float64(c.runTimes.Quantile(estimate.P90, declared)) * c.service.pool.Fastest())
	return deadline - min(p90, c.state.Target/2)
}
