package placement

import (
	"math/rand/v2"
	"time"
)

const (
	// maxQueueWait is the longest expected wait, in mean run times, for which a task is queued at
	// an agent. A longer queue would commit tasks to agents before it is known which one is free
	// first.
	maxQueueWait = 0.75
	// maxBacklogWait replaces maxQueueWait while the entry has more queued than running tasks
	// (Task.Backlog): two queued starts per eight slots cover the round trip, and the entry still
	// orders all other tasks by slack and share.
	maxBacklogWait = 0.25
	// waitWeight scales expected waits, which are less certain than run times.
	waitWeight = 1.25
	// queuedStartCost is the expected round trip and dispatch time of a start that waits at an
	// agent.
	queuedStartCost = time.Millisecond
	// looseSlackRatio is the ratio of a task's slack to the 90th percentile of its run time at the
	// slowest agent above which the task is loose. A loose task takes the slowest idle agent and
	// leaves the others to tasks with less slack.
	looseSlackRatio = 4
	// The reserve is the number of idle slots that loose tasks leave free: minReservedSlots plus
	// reservedShare of the slots that the entry uses or may use.
	minReservedSlots = 1
	reservedShare    = 0.1
	// runTimeWeight scales the run time in comparisons of costs. It is below one because a wait
	// matters most for short tasks.
	runTimeWeight = 0.6
	// pickSamples is the number of agents of similar speed and wait that pick compares.
	pickSamples = 3
	// overdueCost is added to the cost of an agent with an overdue start.
	overdueCost = 100 * time.Millisecond
	// minCreditAgents is the pool size from which credits are kept. In smaller pools
	// direct starts had a lower p99 and fewer wasted messages; in larger pools load reports would
	// outnumber starts.
	minCreditAgents = 64
	// noIdleSlotRequestInterval and noIdleSlotDemand bound the offers that an entry without an idle
	// slot requests. Few are needed: loose tasks can wait, and the others queue at agents.
	noIdleSlotRequestInterval = 500 * time.Millisecond
	noIdleSlotDemand          = 4
	// rackCost is added for an agent in a rack whose slots are all used by this entry, and in
	// proportion for one that is partly used.
	rackCost = 2 * time.Millisecond
)

// infiniteCost excludes an agent.
const infiniteCost = time.Duration(1<<63 - 1)

// mix minimises the expected completion time over idle slots and short queues at faster agents.
// Loose tasks take the slowest idle slots and leave a reserve.
type mix struct{ random *rand.Rand }

// Choose implements Policy.
func (m *mix) Choose(now time.Duration, pool *Pool, task *Task) *Agent {
	if task.LeaveReserve || isLoose(pool, task) {
		return m.chooseSlowest(now, pool, task)
	}
	var bestList, secondList []*Agent
	bestCost := infiniteCost
	secondCost := infiniteCost
	feasible := float64(task.Slack) >= float64(task.RunTimeP90)*pool.Fastest()
	for _, index := range pool.indexes {
		if !index.capacity.Covers(task.Need) {
			continue
		}
		for band := range index.openBands() {
			level := index.lowestLevel(band)
			if feasible && float64(task.RunTimeP90)*bandSlowness[band] > float64(task.Slack) {
				continue // would probably miss the deadline, which a faster agent may still meet
			}
			cost := cost(pool, task, band, level)
			switch {
			case cost < bestCost:
				secondCost, secondList = bestCost, bestList
				bestCost, bestList = cost, index.lists[band][level]
			case cost < secondCost:
				secondCost, secondList = cost, index.lists[band][level]
			}
		}
	}
	if bestList == nil {
		return nil
	}
	a := m.pick(now, bestList)
	if a.Overdue(now) && secondList != nil {
		if other := m.pick(now, secondList); !other.Overdue(now) {
			return other
		}
	}
	return a
}

// cost returns the weighted expected completion time at an agent of the band and level, or
// infiniteCost if the queue there is too long.
func cost(pool *Pool, task *Task, band, level int) time.Duration {
	slowness := bandSlowness[band]
	runTime := time.Duration(runTimeWeight * float64(task.RunTime) * slowness)
	if level == 0 {
		return runTime
	}
	wait := levelWait(level)
	if wait > maxQueueWait || task.Backlog && wait > maxBacklogWait {
		return infiniteCost
	}
	return runTime + queuedStartCost + time.Duration(waitWeight*wait*float64(pool.MeanRunTime)*slowness)
}

// isLoose reports whether a task has so much slack that it leaves fast agents to tasks with less.
func isLoose(pool *Pool, task *Task) bool {
	return float64(task.RunTimeP90)*looseSlackRatio*pool.Slowest() < float64(task.Slack)
}

// chooseSlowest returns an agent of the slowest band with an idle slot, or nil if no slot beyond
// the reserve is idle.
func (m *mix) chooseSlowest(now time.Duration, pool *Pool, task *Task) *Agent {
	if pool.idle <= reservedSlots(pool) {
		return nil
	}
	var list []*Agent
	slowest := -1
	for _, index := range pool.indexes {
		if !index.capacity.Covers(task.Need) {
			continue
		}
		for band := range index.openBands() {
			if band > slowest && index.lowestLevel(band) == 0 {
				slowest, list = band, index.lists[band][0]
			}
		}
	}
	if list == nil {
		return nil
	}
	return m.pick(now, list)
}

// reservedSlots returns the number of idle slots in the reserve.
func reservedSlots(pool *Pool) int {
	return minReservedSlots + int(reservedShare*float64(pool.running+pool.idle))
}

// pick compares a few agents of similar speed and wait by round trip, overdue starts and load of
// the rack.
func (m *mix) pick(now time.Duration, list []*Agent) *Agent {
	var best *Agent
	var bestCost time.Duration
	first := m.random.IntN(len(list))
	for i := range min(pickSamples, len(list)) {
		a := list[(first+i)%len(list)]
		cost := a.RTT
		if a.Overdue(now) {
			cost += overdueCost
		}
		if a.Rack != nil && a.Rack.Slots > 0 {
			cost += rackCost * time.Duration(a.Rack.Running) / time.Duration(a.Rack.Slots)
		}
		if best == nil || cost < bestCost {
			best, bestCost = a, cost
		}
	}
	return best
}

// KeepsCredits implements Policy. In a small pool the few idle slots of fast agents would
// mostly be held by other entries as credits; direct starts by reported load find them more often.
func (*mix) KeepsCredits(pool *Pool) bool { return len(pool.agents) >= minCreditAgents }

// StartsWithoutOffer implements Policy.
func (*mix) StartsWithoutOffer() bool { return true }

// RequestOffers implements Policy.
func (m *mix) RequestOffers(now time.Duration, requests []OfferRequest, pool *Pool, waiting int) []OfferRequest {
	if pool.idle > 0 || now < pool.nextRequest {
		return requests // tasks wait because they leave the reserve, or because queues at agents are full
	}
	pool.nextRequest = now + noIdleSlotRequestInterval
	a := randomAgent(m.random, pool, func(a *Agent) bool { return !a.Blocked && a.Running < a.Limit })
	if a == nil {
		return requests
	}
	return append(requests, OfferRequest{Agent: a, Demand: min(waiting, noIdleSlotDemand)})
}
