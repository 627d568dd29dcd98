package cluster

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollenpaddle/internal/standin"
	"pollenpaddle/tools/measure/profile"
)

// Instances are the stand-in upstreams of an installation. They run in the measuring process, so
// that their starts and free slots can be read directly.
type Instances struct {
	profile   *profile.Profile
	upstreams []*standin.Upstream
	addresses []string

	mu    sync.Mutex
	links []*standin.Link
}

// StartInstances starts one upstream per instance of the profile.
func StartInstances(p *profile.Profile) (*Instances, error) {
	s := &Instances{profile: p}
	for i := range p.Instances {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, errors.Wrap(err, "start an upstream")
		}
		u := standin.NewUpstream(p.Speed(i))
		go func() { _ = u.Serve(listener) }()
		s.upstreams = append(s.upstreams, u)
		s.addresses = append(s.addresses, listener.Addr().String())
	}
	return s, nil
}

// Addresses returns the addresses of the upstreams.
func (s *Instances) Addresses() []string { return s.addresses }

// Upstream returns one of the upstreams.
func (s *Instances) Upstream(index int) *standin.Upstream { return s.upstreams[index] }

// Link starts a link with the profile's delay to an entry and returns the address of the link.
func (s *Instances) Link(entry string) (string, error) {
	link, err := standin.NewLink(entry, s.profile.ZoneDelay)
	if err != nil {
		return "", errors.Wrap(err, "start a link")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links = append(s.links, link)
	return link.Address(), nil
}

// Close stops the links and the upstreams.
func (s *Instances) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, link := range s.links {
		link.Close()
	}
	for _, u := range s.upstreams {
		_ = u.Close() // the upstream is no longer in use
	}
}

// Ideal implements load.Ideal. It returns the run time of the job's longest task on the fastest
// instance with a free slot, or on the fastest of all if no slot is free.
func (s *Instances) Ideal(a *profile.Arrival) time.Duration {
	fastest, free := 0.0, 0.0
	for i, u := range s.upstreams {
		speed := s.profile.Speed(i)
		fastest = max(fastest, speed)
		if speed > free && u.Running() < s.profile.Slots {
			free = speed
		}
	}
	if free == 0 {
		free = fastest
	}
	longest := time.Duration(0)
	for _, t := range a.Tasks {
		longest = max(longest, t.RunTime)
	}
	return time.Duration(float64(longest) / free)
}

// Duplicates returns the number of starts of a task key beyond its first.
func (s *Instances) Duplicates() int {
	seen, duplicates := map[string]bool{}, 0
	for _, u := range s.upstreams {
		for _, start := range u.Starts() {
			if seen[start.Key] {
				duplicates++
			}
			seen[start.Key] = true
		}
	}
	return duplicates
}

// StartCounts returns the number of starts of each task key.
func (s *Instances) StartCounts() map[string]int {
	counts := map[string]int{}
	for _, u := range s.upstreams {
		for _, start := range u.Starts() {
			counts[start.Key]++
		}
	}
	return counts
}

// StartsIn returns the number of starts in a zone between two times.
func (s *Instances) StartsIn(zone string, from, to time.Time) int {
	count := 0
	s.forEachStart(zone, func(start standin.Start) {
		if start.At.After(from) && start.At.Before(to) {
			count++
		}
	})
	return count
}

// LastStartIn returns the time of the last start in a zone before a time.
func (s *Instances) LastStartIn(zone string, before time.Time) time.Time {
	var last time.Time
	s.forEachStart(zone, func(start standin.Start) {
		if start.At.Before(before) && start.At.After(last) {
			last = start.At
		}
	})
	return last
}

func (s *Instances) forEachStart(zone string, visit func(standin.Start)) {
	for i, u := range s.upstreams {
		if s.profile.Zone(i) != zone {
			continue
		}
		for _, start := range u.Starts() {
			visit(start)
		}
	}
}

// WorkWindow is the work in a time window, in seconds at speed 1.
type WorkWindow struct {
	Done      float64 // work that was carried out
	Available float64 // capacity of all slots in service
}

// Window returns the work between two times. The zone was out of service from out to in. A task
// counts with the part of its run time that lies in the window.
func (s *Instances) Window(from, to time.Time, zone string, out, in time.Time) WorkWindow {
	var w WorkWindow
	for i, u := range s.upstreams {
		available := to.Sub(from)
		if s.profile.Zone(i) == zone {
			available -= overlap(from, to, out, in)
		}
		w.Available += available.Seconds() * s.profile.Speed(i) * float64(s.profile.Slots)
		for _, start := range u.Starts() {
			ran := overlap(from, to, start.At, start.At.Add(start.Run))
			w.Done += ran.Seconds() * s.profile.Speed(i)
		}
	}
	return w
}

// overlap returns the length of the intersection of two intervals.
func overlap(from, to, begin, end time.Time) time.Duration {
	if begin.Before(from) {
		begin = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, end.Sub(begin))
}
