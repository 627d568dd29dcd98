package placement

import (
	"math/rand/v2"
	"time"

	"pollenpaddle/internal/model/job"
)

// Task holds the properties of a task that policies use.
type Task struct {
	Need         job.Resources
	RunTime      time.Duration // typical run time at mean speed
	RunTimeP90   time.Duration // 90th percentile of the run time at mean speed
	Slack        time.Duration // time left until the target; a loose task has much of it
	Backlog      bool          // the entry has more queued than running tasks; queues at agents are kept short
	LeaveReserve bool          // leave a reserve of idle slots, and do not queue at agents
}

// OfferRequest asks an agent for offers on behalf of waiting tasks.
type OfferRequest struct {
	Agent  *Agent
	Probes int // probes to send in a Reserve message; zero for none
	Demand int // waiting tasks to report in a Demand message; zero for none
}

// Policy chooses the agents on which tasks are started.
type Policy interface {
	// Choose returns the agent on which to start the task now, or nil if the task has to wait. The
	// start uses an offer of that agent if one is held.
	Choose(now time.Duration, pool *Pool, task *Task) *Agent
	// RequestOffers appends the requests to send while tasks wait without an agent. Waiting is the
	// number of tasks.
	RequestOffers(now time.Duration, requests []OfferRequest, pool *Pool, waiting int) []OfferRequest
	// StartsWithoutOffer reports whether the policy makes direct starts.
	StartsWithoutOffer() bool
	// KeepsCredits reports whether the entry keeps offers of the pool's agents that it did not
	// request.
	KeepsCredits(pool *Pool) bool
}

const (
	// sampleAttempts bounds the random draws for one suitable agent.
	sampleAttempts = 8
	// probesPerTask is the number of probes that batch sampling sends per waiting task.
	probesPerTask = 2
	// demandAgents is the number of agents that get a Demand at the same time.
	demandAgents = 3
	// demandInterval is the time after which further Demands are sent while tasks wait.
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

// sampling draws random agents, as many as choices, and starts the task on the least loaded of them.
type sampling struct {
	random  *rand.Rand
	choices int
}

// KeepsCredits implements Policy.
func (*sampling) KeepsCredits(*Pool) bool { return false }

// StartsWithoutOffer implements Policy.
func (*sampling) StartsWithoutOffer() bool { return true }

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

// RequestOffers implements Policy.
func (*sampling) RequestOffers(_ time.Duration, requests []OfferRequest, _ *Pool, _ int) []OfferRequest {
	return requests
}

// load returns the known running and queued starts of an agent less its free slots, per slot.
func load(a *Agent) float64 {
	return (float64(a.Running+a.Queue) - float64(a.Free)) / float64(max(a.Slots, 1))
}

func randomOpen(random *rand.Rand, pool *Pool, need job.Resources) *Agent {
	if len(pool.agents) == 0 {
		return nil
	}
	for range sampleAttempts {
		if a := pool.agents[random.IntN(len(pool.agents))]; a.Open() && a.Capacity.Covers(need) {
			return a
		}
	}
	return nil
}

// batchSampling sends probes to random agents and starts the first waiting task on each offer that
// answers them.
type batchSampling struct{ random *rand.Rand }

// KeepsCredits implements Policy.
func (*batchSampling) KeepsCredits(*Pool) bool { return false }

// StartsWithoutOffer implements Policy.
func (*batchSampling) StartsWithoutOffer() bool { return false }

// Choose implements Policy.
func (b *batchSampling) Choose(_ time.Duration, pool *Pool, task *Task) *Agent {
	return pool.agentWithOffer(b.random, task.Need)
}

// RequestOffers implements Policy.
func (b *batchSampling) RequestOffers(_ time.Duration, requests []OfferRequest, pool *Pool, waiting int) []OfferRequest {
	missing := waiting*probesPerTask - pool.Probes
	for ; missing > 0; missing-- {
		a := randomAgent(b.random, pool, func(a *Agent) bool { return !a.Blocked && a.Running+a.Probes < a.Limit })
		if a == nil {
			break
		}
		a.Probes++
		pool.Probes++
		requests = append(requests, OfferRequest{Agent: a, Probes: 1})
	}
	return requests
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

// credits starts tasks only on offers and requests more of them from a few agents.
type credits struct{ random *rand.Rand }

// KeepsCredits implements Policy.
func (*credits) KeepsCredits(*Pool) bool { return true }

// StartsWithoutOffer implements Policy.
func (*credits) StartsWithoutOffer() bool { return false }

// Choose implements Policy.
func (c *credits) Choose(_ time.Duration, pool *Pool, task *Task) *Agent {
	return pool.agentWithOffer(c.random, task.Need)
}

// RequestOffers implements Policy.
func (c *credits) RequestOffers(now time.Duration, requests []OfferRequest, pool *Pool, waiting int) []OfferRequest {
	return requestByDemand(c.random, now, requests, pool, waiting)
}

// agentWithOffer picks, for each sufficient capacity and each speed band, one random agent without an
// expected wait, and returns the fastest of these that holds an offer, or nil.
func (p *Pool) agentWithOffer(random *rand.Rand, need job.Resources) *Agent {
	var best *Agent
	for _, index := range p.indexes {
		if !index.capacity.Covers(need) {
			continue
		}
		for band := range index.openBands() {
			list := index.lists[band][0]
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

// requestByDemand requests offers from a few random agents, at most once per demandInterval. Agents
// without an unmet Demand are preferred.
func requestByDemand(random *rand.Rand, now time.Duration, requests []OfferRequest, pool *Pool, waiting int) []OfferRequest {
	if waiting == 0 || now < pool.nextRequest {
		return requests
	}
	pool.nextRequest = now + demandInterval
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
		requests = append(requests, OfferRequest{Agent: a, Demand: waiting})
	}
	return requests
}
