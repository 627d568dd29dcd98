package placement_test

import (
	"fmt"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/placement"
)

// first starts every task on the first of its agents that takes a start and fits the task.
type first struct{ agents []*placement.Agent }

var _ placement.Policy = first{}

// Choose implements placement.Policy.
func (f first) Choose(_ time.Duration, _ *placement.Pool, task *placement.Task) *placement.Agent {
	for _, a := range f.agents {
		if a.Open() && a.Capacity.Fits(task.Need) {
			return a
		}
	}
	return nil
}

// Solicit implements placement.Policy.
func (first) Solicit(_ time.Duration, asks []placement.Ask, _ *placement.Pool, _ int) []placement.Ask {
	return asks
}

// Direct implements placement.Policy.
func (first) Direct() bool { return true }

// Credits implements placement.Policy.
func (first) Credits(*placement.Pool) bool { return false }

// Guards against a policy that chooses an agent that is blocked or too small.
func ExamplePolicy() {
	agent := func(memory int64, blocked bool) *placement.Agent {
		return &placement.Agent{
			Slots: 8, Free: 8, Window: 8, Limit: 8, Slowness: 1, Blocked: blocked,
			Capacity: job.Resources{MemoryBytes: memory},
		}
	}
	agents := []*placement.Agent{agent(4096, true), agent(16, false), agent(1024, false)}
	var pool placement.Pool
	for _, a := range agents {
		pool.Add(a)
	}
	policy := first{agents}
	task := placement.Task{Need: job.Resources{MemoryBytes: 512}}
	fmt.Println(policy.Choose(0, &pool, &task) == agents[2])
	task.Need.MemoryBytes = 2048
	fmt.Println(policy.Choose(0, &pool, &task) == nil)
	// Output:
	// true
	// true
}
