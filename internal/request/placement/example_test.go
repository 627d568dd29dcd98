package placement_test

import (
	"fmt"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/placement"
)

// firstFit starts every task on the first of its agents that is open and large enough.
type firstFit struct{ agents []*placement.Agent }

var _ placement.Policy = firstFit{}

// Choose implements placement.Policy.
func (f firstFit) Choose(_ time.Duration, _ *placement.Pool, task *placement.Task) *placement.Agent {
	for _, a := range f.agents {
		if a.Open() && a.Capacity.Covers(task.Need) {
			return a
		}
	}
	return nil
}

// RequestOffers implements placement.Policy.
func (firstFit) RequestOffers(_ time.Duration, requests []placement.OfferRequest, _ *placement.Pool, _ int) []placement.OfferRequest {
	return requests
}

// StartsWithoutOffer implements placement.Policy.
func (firstFit) StartsWithoutOffer() bool { return true }

// KeepsCredits implements placement.Policy.
func (firstFit) KeepsCredits(*placement.Pool) bool { return false }

// Shows a policy that skips agents that are blocked or too small.
func ExamplePolicy() {
	agent := func(memory int64, blocked bool) *placement.Agent {
		return &placement.Agent{
			Slots: 8, Free: 8, MaxDirectStarts: 8, Limit: 8, Slowness: 1, Blocked: blocked,
			Capacity: job.Resources{MemoryBytes: memory},
		}
	}
	agents := []*placement.Agent{agent(4096, true), agent(16, false), agent(1024, false)}
	var pool placement.Pool
	for _, a := range agents {
		pool.Add(a)
	}
	policy := firstFit{agents}
	task := placement.Task{Need: job.Resources{MemoryBytes: 512}}
	fmt.Println(policy.Choose(0, &pool, &task) == agents[2])
	task.Need.MemoryBytes = 2048
	fmt.Println(policy.Choose(0, &pool, &task) == nil)
	// Output:
	// true
	// true
}
