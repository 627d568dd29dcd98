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
	// defaultTarget applies to a class whose target has no time.
	defaultTarget = time.Minute
	// shapeMemory is how long a lost agent's capacity still shows that a task fits somewhere.
	shapeMemory = 10 * time.Minute
	// absenceGrace is how long a service without agents still queues work, so that a reconnect
	// or a restart refuses nothing.
	absenceGrace = 5 * time.Second
	// maxShapes bounds the capacities remembered per service.
	maxShapes = 256
)

// class is one class of work.
type class struct {
	name     string
	service  *service
	retired  bool
	count    admission.ClassState
	run      estimate.Distribution
	budget   retry.Budget
	failures health.FailureRate
	lanes    map[size]*lane
}

// size is a coarse size of a task. Tasks of a class and size share a lane: if one finds no agent,
// the others are not tried before an agent has more room.
type size struct{ processors, memory, accelerators uint8 }

func sizeOf(need job.Resources) size {
	return size{
		processors:   uint8(bits.Len64(uint64(max(0, need.MilliProcessors)) / 1000)),
		memory:       uint8(bits.Len64(uint64(max(0, need.MemoryBytes)) >> 28)),
		accelerators: uint8(bits.Len64(uint64(max(0, need.Accelerators)))),
	}
}

// lane is a queue lane with the pool that serves it.
type lane struct {
	queue   *admission.Lane
	service *service
	full    bool   // no agent took the last task tried
	version uint64 // of the pool when full was set
}

func (l *lane) blocked() bool { return l.full && l.version == l.service.pool.Version }

// service is an upstream service with the agents that run it.
type service struct {
	name      string
	pool      placement.Pool
	run       estimate.Distribution // run times over all classes, for the time that slots are held
	shapes    []seenShape
	lastAgent time.Duration // when the pool last had an agent
	known     bool          // the pool has had an agent
	waiting   int           // queued tasks, counted for Solicit
}

type seenShape struct {
	capacity job.Resources
	last     time.Duration
}

// remember notes the capacity of an announced agent.
func (s *service) remember(now time.Duration, capacity job.Resources) {
	s.known, s.lastAgent = true, now
	oldest := 0
	for i := range s.shapes {
		if s.shapes[i].capacity == capacity {
			s.shapes[i].last = now
			return
		}
		if s.shapes[i].last < s.shapes[oldest].last {
			oldest = i
		}
	}
	if len(s.shapes) >= maxShapes {
		s.shapes[oldest] = seenShape{capacity: capacity, last: now}
		return
	}
	s.shapes = append(s.shapes, seenShape{capacity: capacity, last: now})
}

// fits reports whether a present or recently seen agent could hold the task.
func (s *service) fits(now time.Duration, need job.Resources) bool {
	if s.pool.Fits(need) {
		return true
	}
	for _, shape := range s.shapes {
		if now-shape.last < shapeMemory && shape.capacity.Fits(need) {
			return true
		}
	}
	return false
}

// available reports whether the service has or recently had an agent.
func (s *service) available(now time.Duration) bool {
	return s.pool.Len() > 0 || s.known && now-s.lastAgent < absenceGrace
}

func (m *Machine) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{name: name}
		s.pool.MeanRunTime = s.run.Mean()
		m.services[name] = s
		m.serviceOrder = append(m.serviceOrder, s)
	}
	return s
}

func (m *Machine) configureClass(c *catalog.Class) {
	known := m.classes[c.Name]
	if known == nil {
		known = &class{name: c.Name, lanes: map[size]*lane{}}
		m.classes[c.Name] = known
		m.classOrder = append(m.classOrder, known)
	}
	if s := m.service(c.Upstream); known.service != s {
		// Tasks that are queued already stay with the earlier service.
		known.service, known.lanes = s, map[size]*lane{}
	}
	known.retired = c.Retired
	known.count.Target, known.count.Share = c.AnswerWithin, c.Share
	if c.AnswerWithin <= 0 {
		known.count.Target = defaultTarget
	}
}

func (m *Machine) lane(c *class, need job.Resources) *lane {
	key := sizeOf(need)
	l := c.lanes[key]
	if l == nil || l.queue.Removed {
		l = &lane{service: c.service}
		l.queue = m.queue.NewLane(&c.count, l)
		c.lanes[key] = l
	}
	return l
}

// latestStart is the latest start with which a task of the class probably meets the deadline. A
// class whose runs often exceed half its target is not given up before half its target has passed.
func (c *class) latestStart(deadline time.Duration, declared time.Duration) time.Duration {
	tail := time.Duration(float64(c.run.Quantile(estimate.P90, declared)) * c.service.pool.Fastest())
	return deadline - min(tail, c.count.Target/2)
}
