// Package placement chooses agents for tasks. A Pool indexes the agents of one upstream by speed and
// expected wait, so that a choice does not scan all agents. Policies are interchangeable and hold
// no state except their random source.
//
// A start sends a task to an agent; it is open until its outcome is known. An offer is an idle slot
// that an agent holds for one entry until the entry uses or returns it. A direct start uses no offer:
// the agent runs it, queues it or refuses it. A probe is a request of an entry that waits in the
// agent's queue and is answered by an offer when a slot is free. A demand tells an agent how many
// tasks of the entry wait without an offer. A credit is an offer that the entry did not request.
package placement

import (
	"iter"
	"math"
	"math/bits"
	"time"

	"pollenpaddle/internal/model/job"
)

const (
	// bandsPerDoubling is the resolution of the speed index: adjacent bands differ by 19%.
	bandsPerDoubling = 4
	// bands is the number of speed bands, which cover slowness factors from 1/16 to 16.
	bands = 8 * bandsPerDoubling
	// levelsPerRun is the resolution of the wait index: one level is an eighth of a mean run time.
	levelsPerRun = 8
	// closed is the wait level of an agent that takes no start now. Only lower levels are indexed.
	// Agents of level 0 have an idle slot.
	closed = 15
)

// Agent holds the properties of an agent that placement uses. The owner calls Pool.Update after a
// change of the exported fields.
type Agent struct {
	Slots    int
	Capacity job.Resources
	Zone     int           // any number that identifies the zone
	Rack     *Rack         // shared by the agents of a rack; nil if unknown
	RTT      time.Duration // network round trip
	Slowness float64       // run time relative to mean speed

	Offers          int // unused offers held by this entry
	Free            int // idle slots, offered or not, less waiting starts, as last reported, adjusted by starts and results since
	Queue           int // direct starts that wait at the agent, as far as known
	DirectStarts    int // open starts of this entry that used no offer
	MaxDirectStarts int // bound on DirectStarts
	Running         int // open starts of this entry
	Limit           int // bound on Running by the health of the agent, for example after a failure
	Probes          int // probes of this entry that wait at the agent
	// DemandedAt is the time of the last Demand to which no offer has followed; zero if none.
	DemandedAt time.Duration
	// OffersCredits is set if this entry keeps credits, so that the agent goes on offering its idle
	// slots without a request. Idle slots for which this entry holds no offer are then assumed to
	// be offered to other entries.
	OffersCredits bool
	Blocked       bool // takes no start: out of service, leaving, on probation or after a refusal

	// OldestStart is when the oldest open start was sent, and OverdueAfter the time since then
	// after which that start is overdue. Both are zero without an open start.
	OldestStart, OverdueAfter time.Duration

	Owner any // set and used only by the owner of the pool

	index               *capacityIndex
	band, level         uint8
	listPosition        int // within its list of the index
	poolPosition        int // within Pool.agents
	lastRemainingStarts int // remainingStarts at the last Update
	countedIdle         int // included in Pool.idle
	countedRunning      int // included in Pool.running
}

// Rack counts the open starts of this entry and the slots in one rack, to spread starts over racks.
type Rack struct{ Running, Slots int }

// Open reports whether the agent takes a start now.
func (a *Agent) Open() bool {
	return !a.Blocked && a.Running < a.Limit && (a.Offers > 0 || a.DirectStarts < a.MaxDirectStarts)
}

// Overdue reports whether the agent's oldest open start is overdue, which marks a straggler.
func (a *Agent) Overdue(now time.Duration) bool {
	return a.OverdueAfter > 0 && now-a.OldestStart > a.OverdueAfter
}

// expectedWait returns the expected wait for a slot, in mean run times at the agent. It is maxWait if all
// idle slots are assumed to be offered to other entries.
func (a *Agent) expectedWait() float64 {
	if a.Offers > 0 || a.Free > 0 && !a.OffersCredits {
		return 0
	}
	if a.Free > 0 {
		return maxWait // a direct start would make the agent recall an offer of another entry
	}
	return float64(a.Queue+1) / float64(max(a.Slots, 1))
}

func (a *Agent) waitLevel() uint8 {
	if !a.Open() {
		return closed
	}
	wait := a.expectedWait()
	if wait == 0 {
		return 0
	}
	return uint8(min(closed-1, math.Ceil(wait*levelsPerRun)))
}

// remainingStarts returns the number of further starts that the agent takes now.
func (a *Agent) remainingStarts() int {
	if !a.Open() {
		return 0
	}
	return min(a.Limit-a.Running, a.Offers+max(0, a.MaxDirectStarts-a.DirectStarts))
}

// levelWait returns the upper bound of the waits of a level, in mean run times.
func levelWait(level int) float64 { return float64(level) / levelsPerRun }

func bandOf(slowness float64) uint8 {
	band := int(math.Round(math.Log2(slowness)*bandsPerDoubling)) + bands/2
	return uint8(max(0, min(bands-1, band)))
}

// bandSlowness holds the slowness at the centre of each band.
var bandSlowness = func() (table [bands]float64) {
	for i := range table {
		table[i] = math.Exp2(float64(i-bands/2) / bandsPerDoubling)
	}
	return table
}()

// maxWait is a wait, in mean run times, that falls into the last indexed level, closed-1. Any wait
// above (closed-2)/levelsPerRun falls into it.
const maxWait = closed

// capacityIndex indexes the agents of equal capacity.
type capacityIndex struct {
	capacity job.Resources
	agents   int
	lists    [bands]*[closed][]*Agent
	levels   [bands]uint16 // bit sets of the non-empty levels of each band
	open     uint32        // bit set of the bands with an open agent
}

// Pool is the set of agents of one upstream.
type Pool struct {
	// MeanRunTime is the mean time for which a task holds a slot of an agent of mean speed.
	MeanRunTime time.Duration
	// Version increases whenever an agent may have become able to take another start.
	Version uint64
	// Probes is the sum of the agents' Probes.
	Probes int

	agents  []*Agent
	indexes []*capacityIndex

	idle        int // sum of the agents' idle slots that this entry may use
	running     int // sum of the agents' Running
	nextRequest time.Duration
}

// Len returns the number of agents.
func (p *Pool) Len() int { return len(p.agents) }

// Add adds an agent.
func (p *Pool) Add(a *Agent) {
	a.poolPosition = len(p.agents)
	p.agents = append(p.agents, a)
	p.assignIndex(a)
}

// Remove removes an agent. It does nothing if the agent is not in the pool.
func (p *Pool) Remove(a *Agent) {
	if a.poolPosition >= len(p.agents) || p.agents[a.poolPosition] != a {
		return
	}
	last := p.agents[len(p.agents)-1]
	p.agents[a.poolPosition], last.poolPosition = last, a.poolPosition
	p.agents = p.agents[:len(p.agents)-1]
	p.removeFromIndex(a)
	p.idle -= a.countedIdle
	p.running -= a.countedRunning
	a.countedIdle, a.countedRunning = 0, 0
	a.index.agents--
	if a.index.agents == 0 {
		for i, index := range p.indexes {
			if index == a.index {
				p.indexes = append(p.indexes[:i], p.indexes[i+1:]...)
				break
			}
		}
	}
	a.index = nil
}

// Fits reports whether the capacity of any agent of the pool, open or not, covers the need.
func (p *Pool) Fits(need job.Resources) bool {
	for _, index := range p.indexes {
		if index.capacity.Covers(need) {
			return true
		}
	}
	return false
}

// HasOpen reports whether any agent of the pool takes a start now.
func (p *Pool) HasOpen() bool {
	for _, index := range p.indexes {
		if index.open != 0 {
			return true
		}
	}
	return false
}

// Fastest returns the slowness of the fastest of up to speedSample agents, or 1 without agents.
func (p *Pool) Fastest() float64 {
	return p.speedExtreme(func(a, b float64) float64 { return min(a, b) })
}

// Slowest returns the slowness of the slowest of up to speedSample agents, or 1 without agents.
func (p *Pool) Slowest() float64 {
	return p.speedExtreme(func(a, b float64) float64 { return max(a, b) })
}

// speedSample bounds the agents that Fastest and Slowest compare.
const speedSample = 32

func (p *Pool) speedExtreme(combine func(a, b float64) float64) float64 {
	if len(p.agents) == 0 {
		return 1
	}
	result := p.agents[0].Slowness
	for _, a := range p.agents[:min(len(p.agents), speedSample)] {
		result = combine(result, a.Slowness)
	}
	return result
}

func (p *Pool) assignIndex(a *Agent) {
	for _, index := range p.indexes {
		if index.capacity == a.Capacity {
			a.index = index
		}
	}
	if a.index == nil {
		a.index = &capacityIndex{capacity: a.Capacity}
		p.indexes = append(p.indexes, a.index)
	}
	a.index.agents++
	a.band, a.level = bandOf(a.Slowness), a.waitLevel()
	p.Version++
	p.updateTotals(a)
	p.addToIndex(a)
}

// Update updates the index after a change of the agent's fields. A change of Capacity needs Remove
// and Add instead.
func (p *Pool) Update(a *Agent) {
	if a.index == nil {
		return
	}
	band, level := bandOf(a.Slowness), a.waitLevel()
	remaining := a.remainingStarts()
	if remaining > a.lastRemainingStarts || level < a.level {
		p.Version++
	}
	a.lastRemainingStarts = remaining
	p.updateTotals(a)
	if band == a.band && level == a.level {
		return
	}
	p.removeFromIndex(a)
	a.band, a.level = band, level
	p.addToIndex(a)
}

// updateTotals updates the sums of the pool.
func (p *Pool) updateTotals(a *Agent) {
	idle := 0
	if a.Open() {
		idle = a.Offers
		if !a.OffersCredits {
			idle += max(0, a.Free)
		}
	}
	p.idle += idle - a.countedIdle
	p.running += a.Running - a.countedRunning
	a.countedIdle, a.countedRunning = idle, a.Running
}

func (p *Pool) addToIndex(a *Agent) {
	if a.level == closed {
		return
	}
	index := a.index
	if index.lists[a.band] == nil {
		index.lists[a.band] = new([closed][]*Agent)
	}
	list := &index.lists[a.band][a.level]
	a.listPosition = len(*list)
	*list = append(*list, a)
	index.levels[a.band] |= 1 << a.level
	index.open |= 1 << a.band
}

func (p *Pool) removeFromIndex(a *Agent) {
	if a.level == closed {
		return
	}
	index := a.index
	list := &index.lists[a.band][a.level]
	last := (*list)[len(*list)-1]
	(*list)[a.listPosition], last.listPosition = last, a.listPosition
	*list = (*list)[:len(*list)-1]
	if len(*list) > 0 {
		return
	}
	index.levels[a.band] &^= 1 << a.level
	if index.levels[a.band] == 0 {
		index.open &^= 1 << a.band
	}
}

// openBands yields the bands with an open agent, fastest first.
func (c *capacityIndex) openBands() iter.Seq[int] {
	return func(yield func(int) bool) {
		for open := c.open; open != 0; open &= open - 1 {
			if !yield(bits.TrailingZeros32(open)) {
				return
			}
		}
	}
}

func (c *capacityIndex) lowestLevel(band int) int { return bits.TrailingZeros16(c.levels[band]) }
