// Package placement chooses agents for tasks. A Pool indexes the agents of one service by speed
// and by expected wait, so that a choice does not look at every agent. Policies are
// interchangeable; they hold no state but their random source.
package placement

import (
	"iter"
	"math"
	"math/bits"
	"time"

	"pollenpaddle/internal/model/job"
)

const (
	// bandsPerDoubling is the resolution of speeds: neighbouring bands differ by 19%.
	bandsPerDoubling = 4
	// bands cover slowness factors from 1/16 to 16.
	bands = 8 * bandsPerDoubling
	// levelsPerRound is the resolution of waits: one level is an eighth of a mean run.
	levelsPerRound = 8
	// closed is the level of an agent that takes no start now. Lower levels are indexed; level 0
	// has an idle slot.
	closed = 15
)

// Agent is the part of an agent's state that placement uses. The owner changes the exported
// fields and then calls Pool.Update.
type Agent struct {
	Slots    int
	Capacity job.Resources
	Zone     int           // any number that identifies the zone
	Rack     *Rack         // shared by the agents of a rack; nil if unknown
	RTT      time.Duration // network round trip
	Slowness float64       // run time relative to mean speed

	Offers  int // idle-slot offers held
	Free    int // idle slots that are not offered to any entry, less starts sent since
	Queue   int // starts and probes that wait at the agent, as far as known
	Direct  int // open starts of this entry that used no offer
	Window  int // bound on Direct
	Running int // open starts of this entry
	Limit   int // bound on Running while the agent is new or suspect
	Probes  int // probes of this entry that wait at the agent
	// DemandedAt is when the entry last sent a Demand that the agent has not met; zero if none.
	DemandedAt time.Duration
	// Credits is set if idle slots are offered unasked, so that those without an offer are others'.
	Credits bool
	Blocked bool // takes no start: out of service, leaving, on probation or just refused

	// OldestStart is when the oldest open start was sent; it exceeds OldestBound if that start
	// takes far longer than expected. Both are zero without an open start.
	OldestStart, OldestBound time.Duration

	Owner any // for the owner of the pool

	shape       *shape
	band, level uint8
	position    int // within its index list
	listed      int // within Pool.agents
	lastRoom    int
	idle        int // counted in the pool
	running     int // counted in the pool
}

// Rack counts the open starts of this entry in one rack, to spread starts.
type Rack struct{ Running, Slots int }

// Open reports whether the agent takes a start now.
func (a *Agent) Open() bool {
	return !a.Blocked && a.Running < a.Limit && (a.Offers > 0 || a.Direct < a.Window)
}

// Late reports whether the agent's oldest open start is overdue, which marks a straggler.
func (a *Agent) Late(now time.Duration) bool {
	return a.OldestBound > 0 && now-a.OldestStart > a.OldestBound
}

// rounds is the expected wait for a slot, in mean runs of the agent.
func (a *Agent) rounds() float64 {
	if a.Offers > 0 || a.Free > 0 && !a.Credits {
		return 0
	}
	if a.Free > 0 {
		return maxRounds // a start would make the agent recall another entry's offer
	}
	return float64(a.Queue+1) / float64(max(a.Slots, 1))
}

func (a *Agent) currentLevel() uint8 {
	if !a.Open() {
		return closed
	}
	rounds := a.rounds()
	if rounds == 0 {
		return 0
	}
	return uint8(min(closed-1, math.Ceil(rounds*levelsPerRound)))
}

// room is the number of starts that the agent takes now.
func (a *Agent) room() int {
	if !a.Open() {
		return 0
	}
	return min(a.Limit-a.Running, a.Offers+max(0, a.Window-a.Direct))
}

// levelRounds is the wait that a level stands for, in mean runs.
func levelRounds(level int) float64 { return float64(level) / levelsPerRound }

func bandOf(slowness float64) uint8 {
	band := int(math.Round(math.Log2(slowness)*bandsPerDoubling)) + bands/2
	return uint8(max(0, min(bands-1, band)))
}

// bandSlowness is the slowness at the centre of each band.
var bandSlowness = func() (table [bands]float64) {
	for i := range table {
		table[i] = math.Exp2(float64(i-bands/2) / bandsPerDoubling)
	}
	return table
}()

// maxRounds is a wait beyond every level.
const maxRounds = closed

// shape indexes the agents of equal capacity.
type shape struct {
	capacity job.Resources
	agents   int
	lists    [bands]*[closed][]*Agent
	levels   [bands]uint16 // bit set of the non-empty levels of a band
	open     uint32        // bit set of the bands with an open agent
}

// Pool is the set of agents that run one service.
type Pool struct {
	// MeanRun is the mean time that a task holds a slot of an agent of mean speed.
	MeanRun time.Duration
	// Version grows whenever an agent may have become able to take a start.
	Version uint64
	// Probes is the sum of the agents' Probes.
	Probes int

	agents []*Agent
	shapes []*shape

	idle       int // sum of the agents' idle slots that this entry may use
	running    int // sum of the agents' Running
	nextDemand time.Duration
}

// Len returns the number of agents.
func (p *Pool) Len() int { return len(p.agents) }

// Add adds an agent.
func (p *Pool) Add(a *Agent) {
	a.listed = len(p.agents)
	p.agents = append(p.agents, a)
	p.insert(a)
}

// Remove removes an agent. It does nothing if the agent is not in the pool.
func (p *Pool) Remove(a *Agent) {
	if a.listed >= len(p.agents) || p.agents[a.listed] != a {
		return
	}
	last := p.agents[len(p.agents)-1]
	p.agents[a.listed], last.listed = last, a.listed
	p.agents = p.agents[:len(p.agents)-1]
	p.unlink(a)
	p.idle -= a.idle
	p.running -= a.running
	a.idle, a.running = 0, 0
	a.shape.agents--
	if a.shape.agents == 0 {
		for i, s := range p.shapes {
			if s == a.shape {
				p.shapes = append(p.shapes[:i], p.shapes[i+1:]...)
				break
			}
		}
	}
	a.shape = nil
}

// Fits reports whether any agent of the pool, in use or not, could hold the task.
func (p *Pool) Fits(need job.Resources) bool {
	for _, s := range p.shapes {
		if s.capacity.Fits(need) {
			return true
		}
	}
	return false
}

// HasOpen reports whether any agent takes a start now.
func (p *Pool) HasOpen() bool {
	for _, s := range p.shapes {
		if s.open != 0 {
			return true
		}
	}
	return false
}

// Fastest returns the slowness of the fastest of some agents in the pool, or 1 if it is empty.
func (p *Pool) Fastest() float64 { return p.extreme(func(a, b float64) float64 { return min(a, b) }) }

// Slowest returns the slowness of the slowest of some agents in the pool, or 1 if it is empty.
func (p *Pool) Slowest() float64 { return p.extreme(func(a, b float64) float64 { return max(a, b) }) }

// speedSample bounds the agents that Fastest and Slowest look at.
const speedSample = 32

func (p *Pool) extreme(combine func(a, b float64) float64) float64 {
	if len(p.agents) == 0 {
		return 1
	}
	result := p.agents[0].Slowness
	for _, a := range p.agents[:min(len(p.agents), speedSample)] {
		result = combine(result, a.Slowness)
	}
	return result
}

func (p *Pool) insert(a *Agent) {
	for _, s := range p.shapes {
		if s.capacity == a.Capacity {
			a.shape = s
		}
	}
	if a.shape == nil {
		a.shape = &shape{capacity: a.Capacity}
		p.shapes = append(p.shapes, a.shape)
	}
	a.shape.agents++
	a.band, a.level = bandOf(a.Slowness), a.currentLevel()
	p.Version++
	p.count(a)
	p.link(a)
}

// Update moves an agent to its place in the index after a change of its fields. A change of
// Capacity needs Remove and Add instead.
func (p *Pool) Update(a *Agent) {
	if a.shape == nil {
		return
	}
	band, level := bandOf(a.Slowness), a.currentLevel()
	room := a.room()
	if room > a.lastRoom || level < a.level {
		p.Version++
	}
	a.lastRoom = room
	p.count(a)
	if band == a.band && level == a.level {
		return
	}
	p.unlink(a)
	a.band, a.level = band, level
	p.link(a)
}

// count updates the sums of the pool.
func (p *Pool) count(a *Agent) {
	idle := 0
	if a.Open() {
		idle = a.Offers
		if !a.Credits {
			idle += max(0, a.Free)
		}
	}
	p.idle += idle - a.idle
	p.running += a.Running - a.running
	a.idle, a.running = idle, a.Running
}

func (p *Pool) link(a *Agent) {
	if a.level == closed {
		return
	}
	s := a.shape
	if s.lists[a.band] == nil {
		s.lists[a.band] = new([closed][]*Agent)
	}
	list := &s.lists[a.band][a.level]
	a.position = len(*list)
	*list = append(*list, a)
	s.levels[a.band] |= 1 << a.level
	s.open |= 1 << a.band
}

func (p *Pool) unlink(a *Agent) {
	if a.level == closed {
		return
	}
	s := a.shape
	list := &s.lists[a.band][a.level]
	last := (*list)[len(*list)-1]
	(*list)[a.position], last.position = last, a.position
	*list = (*list)[:len(*list)-1]
	if len(*list) > 0 {
		return
	}
	s.levels[a.band] &^= 1 << a.level
	if s.levels[a.band] == 0 {
		s.open &^= 1 << a.band
	}
}

// openBands yields the bands with an open agent, fastest first.
func (s *shape) openBands() iter.Seq[int] {
	return func(yield func(int) bool) {
		for open := s.open; open != 0; open &= open - 1 {
			if !yield(bits.TrailingZeros32(open)) {
				return
			}
		}
	}
}

func (s *shape) lowestLevel(band int) int { return bits.TrailingZeros16(s.levels[band]) }
