package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
)

// capacityRetention is how long the capacity of a worker counts after its agent has disconnected or has
// reported another one, when deciding whether a task fits any worker.
const capacityRetention = time.Minute

// serviceWorkers holds what is remembered of the workers of one service, beside the states of the
// connected agents.
type serviceWorkers struct {
	capacities  []recordedCapacity
	lastOpenAt  time.Duration // when an agent, since disconnected or closed, was last known to accept starts
	everOpen    bool
	firstOpenAt time.Duration // when the first state arrived in which a worker accepts starts
}

type recordedCapacity struct {
	capacity job.Resources
	at       time.Duration
}

func (m *Machine) workersOf(service string) *serviceWorkers {
	s := m.workersByService[service]
	if s == nil {
		s = &serviceWorkers{}
		m.workersByService[service] = s
	}
	return s
}

func (s *serviceWorkers) recordCapacity(now time.Duration, capacity job.Resources, open bool) {
	if open && !s.everOpen {
		s.firstOpenAt = now
	}
	if open {
		s.lastOpenAt, s.everOpen = max(s.lastOpenAt, now), true
	}
	for i := range s.capacities {
		if s.capacities[i].capacity == capacity {
			s.capacities[i].at = max(s.capacities[i].at, now)
			return
		}
	}
	s.capacities = slices.DeleteFunc(s.capacities, func(k recordedCapacity) bool { return now-k.at > capacityRetention })
	s.capacities = append(s.capacities, recordedCapacity{capacity: capacity, at: now})
}

// rememberState records what the agent's last state said before it is replaced or no longer holds. Agents
// send the state of their workers only on change, so until then it counts as current while messages arrive.
func (m *Machine) rememberState(a *agent) {
	if a.state.Service == "" {
		return
	}
	m.workersOf(a.state.Service).recordCapacity(a.heardAt, a.state.Capacity, a.state.Open)
}

// recordPeer keeps what another entry last reported for capacityRetention.
func (m *Machine) recordPeer(now time.Duration, entry wire.Claimant) {
	report := m.peerCapacities[entry]
	if report == nil {
		return
	}
	delete(m.peerCapacities, entry)
	for _, s := range report.Services {
		for _, capacity := range s.Capacities {
			m.workersOf(s.Service).recordCapacity(now, capacity, false)
		}
	}
}

// Capacities returns the greatest capacities of the workers with whose agents this entry has a session.
func (m *Machine) Capacities() *wire.Capacities {
	report := &wire.Capacities{}
	for _, a := range m.sortedAgents {
		if !a.connected || a.state.Service == "" {
			continue
		}
		i, found := slices.BinarySearchFunc(report.Services, a.state.Service, func(s wire.ServiceCapacities, service string) int {
			return strings.Compare(s.Service, service)
		})
		if !found {
			report.Services = slices.Insert(report.Services, i, wire.ServiceCapacities{Service: a.state.Service})
		}
		report.Services[i].Capacities = addMaximal(report.Services[i].Capacities, a.state.Capacity)
	}
	return report
}

// addMaximal adds a capacity to a list of which no element covers another one. The list stays sorted, so that
// equal sets are equal lists.
func addMaximal(list []job.Resources, capacity job.Resources) []job.Resources {
	if slices.ContainsFunc(list, func(known job.Resources) bool { return known.Covers(capacity) }) {
		return list
	}
	list = slices.DeleteFunc(list, func(known job.Resources) bool { return capacity.Covers(known) })
	at, _ := slices.BinarySearchFunc(list, capacity, compareResources)
	return slices.Insert(list, at, capacity)
}

func compareResources(a, b job.Resources) int {
	return cmp.Or(cmp.Compare(a.MilliProcessors, b.MilliProcessors), cmp.Compare(a.MemoryBytes, b.MemoryBytes), cmp.Compare(a.Accelerators, b.Accelerators))
}

// knownCapacities returns the known capacities of workers of a service: those of the workers of connected
// agents, those that other entries report, and those that were known within capacityRetention.
func (m *Machine) knownCapacities(now time.Duration, service string) []job.Resources {
	var known []job.Resources
	for _, k := range m.workersOf(service).capacities {
		if now-k.at <= capacityRetention {
			known = addMaximal(known, k.capacity)
		}
	}
	for _, a := range m.sortedAgents {
		if a.connected && a.state.Service == service {
			known = addMaximal(known, a.state.Capacity)
		}
	}
	for _, report := range m.peerCapacities {
		for _, s := range report.Services {
			if s.Service != service {
				continue
			}
			for _, capacity := range s.Capacities {
				known = addMaximal(known, capacity)
			}
		}
	}
	return known
}

// neverFits reports whether a task of the job exceeds every known capacity of its service. It is false while
// no capacity is known.
func (m *Machine) neverFits(now time.Duration, j *jobState) bool {
	known := m.knownCapacities(now, j.submission.Service)
	for _, step := range j.submission.Steps {
		fits := func(capacity job.Resources) bool { return capacity.Covers(step.Need) }
		if len(known) > 0 && !slices.ContainsFunc(known, fits) {
			return true
		}
	}
	return false
}
