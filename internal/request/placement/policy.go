package placement

import (
	"math/rand/v2"
	"time"

	"pollenpaddle/internal/model/job"
)

// Task is what a policy knows about a task.
type Task struct {
	Need    job.Resources
	Run     time.Duration // typical run time at mean speed
	Tail    time.Duration // 90th percentile of the run time at mean speed
	Slack   time.Duration // time left until the target
	Backlog bool          // tasks wait at the entry; queues at agents are kept short
	Yield   bool          // leave a reserve of idle slots, and do not queue at agents
}

// Ask is a request for offers that a policy makes for waiting tasks.
type Ask struct {
	Agent  *Agent
	Probes int // probes to queue with Reserve
	Demand int // waiting tasks to announce with Demand
}

// Policy chooses agents.
type Policy interface {
	// Choose returns the agent that the task starts on now, or nil if it has to wait. The start
	// uses an offer of that agent if one is held.
	Choose(now time.Duration, pool *Pool, task *Task) *Agent
	// Solicit appends the requests to make while tasks wait without an agent.
	Solicit(now time.Duration, asks []Ask, pool *Pool, waiting int) []Ask
	// Direct reports whether the policy starts tasks without offers.
	Direct() bool
	// Credits reports whether the entry keeps offers of the pool's agents that it did not ask for.
	Credits(pool *Pool) bool
}

const (
	// sampleAttempts bounds the random draws for one open agent that fits.
	sampleAttempts = 8
	// probesPerTask is the ratio of probes to tasks of batch sampling.
	probesPerTask = 2
	// demandAgents is the number of agents that get a Demand at the same time.
	demandAgents = 3
	// demandInterval is the time after which an unmet Demand is repeated at another agent.
	demandInterval = 50 * time.Millisecond
)

// New returns the policy with the given name and random seed, or nil for an unknown name. The
// names are random, two_choices, batch_sampling, credits and mix.
func New(name string, seed uint64) Policy {
	source := rand.New(rand.NewPCG(seed, 0x706f6c6c656e))
	switch name {
	case "random":
		return &sampling{random: source, choices: 1}
	case "two_choices":
		return &sampling{random: source, choices: 2}
	case "batch_sampling":
		return &batchSampling{random: source}
	case "credits":
		return &credits{random: source}
	case "mix":
		return &mix{random: source}
	}
	return nil
}

// sampling starts a task on the least loaded of a number of random agents.
type sampling struct {
	random  *rand.Rand
	choices int
}

// Credits implements Policy.
func (*sampling) Credits(*Pool) bool { return false }

// Direct implements Policy.
func (*sampling) Direct() bool { return true }

// Choose implements Policy.
func (s *sampling) Choose(_ time.Duration, pool *Pool, task *Task) *Agent {
	var best *Agent
	for range s.choices {
		a := randomOpen(s.random, pool, task.Need)
		if a != nil && (best == nil || load(a) < load(best)) {
			best = a
		}
	}
	return best
}

// Solicit implements Policy.
func (*sampling) Solicit(_ time.Duration, asks []Ask, _ *Pool, _ int) []Ask { return asks }

// load is the work known to be at an agent, per slot.
func load(a *Agent) float64 {
	return (float64(a.Running+a.Queue) - float64(a.Free)) / float64(max(a.Slots, 1))
}

func randomOpen(random *rand.Rand, pool *Pool, need job.Resources) *Agent {
	if len(pool.agents) == 0 {
		return nil
	}
	for range sampleAttempts {
		if a := pool.agents[random.IntN(len(pool.agents))]; a.Open() && a.Capacity.Fits(need) {
			return a
		}
	}
	return nil
}

// batchSampling queues probes at random agents and starts the first waiting task on each offer.
type batchSampling struct{ random *rand.Rand }

// Credits implements Policy.
func (*batchSampling) Credits(*Pool) bool { return false }

// Direct implements Policy.
func (*batchSampling) Direct() bool { return false }

// Choose implements Policy.
func (b *batchSampling) Choose(_ time.Duration, pool *Pool, task *Task) *Agent {
	return pool.offering(b.random, task.Need)
}

// Solicit implements Policy.
func (b *batchSampling) Solicit(_ time.Duration, asks []Ask, pool *Pool, waiting int) []Ask {
	missing := waiting*probesPerTask - pool.Probes
	for ; missing > 0; missing-- {
		a := randomAgent(b.random, pool, func(a *Agent) bool { return !a.Blocked && a.Running+a.Probes < a.Limit })
		if a == nil {
			break
		}
		a.Probes++
		pool.Probes++
		asks = append(asks, Ask{Agent: a, Probes: 1})
	}
	return asks
}

func randomAgent(random *rand.Rand, pool *Pool, accept func(*Agent) bool) *Agent {
	if len(pool.agents) == 0 {
		return nil
	}
	for range sampleAttempts {
		if a := pool.agents[random.IntN(len(pool.agents))]; accept(a) {
			return a
		}
	}
	return nil
}

// credits starts tasks only on offers of idle slots and asks a few agents for more.
type credits struct{ random *rand.Rand }

// Credits implements Policy.
func (*credits) Credits(*Pool) bool { return true }

// Direct implements Policy.
func (*credits) Direct() bool { return false }

// Choose implements Policy.
func (c *credits) Choose(_ time.Duration, pool *Pool, task *Task) *Agent {
	return pool.offering(c.random, task.Need)
}

// Solicit implements Policy.
func (c *credits) Solicit(now time.Duration, asks []Ask, pool *Pool, waiting int) []Ask {
	return demand(c.random, now, asks, pool, waiting)
}

// offering returns an agent of the fastest band whose offers are held.
func (p *Pool) offering(random *rand.Rand, need job.Resources) *Agent {
	var best *Agent
	for _, s := range p.shapes {
		if !s.capacity.Fits(need) {
			continue
		}
		for band := range s.openBands() {
			list := s.lists[band][0]
			if len(list) == 0 {
				continue
			}
			if a := list[random.IntN(len(list))]; a.Offers > 0 && (best == nil || a.Slowness < best.Slowness) {
				best = a
			}
		}
	}
	return best
}

// demand asks for offers at a few random agents, each at most once per demandInterval.
func demand(random *rand.Rand, now time.Duration, asks []Ask, pool *Pool, waiting int) []Ask {
	if waiting == 0 || now < pool.nextDemand {
		return asks
	}
	pool.nextDemand = now + demandInterval
	for range demandAgents {
		a := randomAgent(random, pool, func(a *Agent) bool { return !a.Blocked && a.Running < a.Limit && a.DemandedAt == 0 })
		if a == nil {
			a = randomAgent(random, pool, func(a *Agent) bool {
				return !a.Blocked && a.Running < a.Limit && now-a.DemandedAt >= demandInterval
			})
		}
		if a == nil {
			break
		}
		a.DemandedAt = now
		asks = append(asks, Ask{Agent: a, Demand: waiting})
	}
	return asks
}
