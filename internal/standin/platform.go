package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/workerhost"
)

// Platform is a stand-in for the worker platform, which reserves resources for tasks. A task uses its
// declared resources, unless SetUsage overrides them; a throttled task uses exactly its limit. A usage report
// is dated Lag in the past and is repeated for Lag before a new one is made.
type Platform struct {
	Capacity job.Resources // resources for all resource leases; if zero, every resource lease is granted
	Lag      time.Duration

	mu           sync.Mutex
	leases       map[string]workerhost.Task // by task ID
	usage        map[string]job.Resources   // overrides by task ID
	reports      []workerhost.Usage         // cached for Lag from reportsAt
	reportsAt    time.Duration
	throttled    map[string]job.Resources // limits by task ID
	stopped      []string
	checkpointed []string // IDs of the tasks that were checkpointed; no accessor returns them
}

// Lease implements workerhost.Platform.
func (p *Platform) Lease(_ context.Context, task workerhost.Task) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leases == nil {
		p.leases, p.usage, p.throttled = map[string]workerhost.Task{}, map[string]job.Resources{}, map[string]job.Resources{}
	}
	var used job.Resources
	for _, other := range p.leases {
		used.MilliProcessors += other.Need.MilliProcessors
		used.MemoryBytes += other.Need.MemoryBytes
		used.Accelerators += other.Need.Accelerators
	}
	free := job.Resources{
		MilliProcessors: p.Capacity.MilliProcessors - used.MilliProcessors,
		MemoryBytes:     p.Capacity.MemoryBytes - used.MemoryBytes, Accelerators: p.Capacity.Accelerators - used.Accelerators,
	}
	if p.Capacity != (job.Resources{}) && !free.Covers(task.Need) {
		return failure.New(failure.Overloaded, "retry later", "the worker has too little free capacity for task %s", task.ID)
	}
	p.leases[task.ID] = task
	return nil
}

// Release implements workerhost.Platform.
func (p *Platform) Release(taskID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.leases, taskID)
}

// SetUsage overrides the resources that a task uses. It must not be called before the first Lease.
func (p *Platform) SetUsage(taskID string, used job.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage[taskID] = used
}

// Usage implements workerhost.Platform.
func (p *Platform) Usage(context.Context) ([]workerhost.Usage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.SinceBoot()
	if now < p.reportsAt+p.Lag {
		return p.reports, nil
	}
	p.reports, p.reportsAt = nil, now
	for id, task := range p.leases {
		used, set := p.usage[id]
		if !set {
			used = task.Need
		}
		if limit, isThrottled := p.throttled[id]; isThrottled {
			used = limit
		}
		p.reports = append(p.reports, workerhost.Usage{TaskID: id, At: now - p.Lag, Used: used})
	}
	sort.Slice(p.reports, func(i, j int) bool { return p.reports[i].TaskID < p.reports[j].TaskID })
	return p.reports, nil
}

// Checkpoint implements workerhost.Platform.
func (p *Platform) Checkpoint(_ context.Context, taskID string) error {
	return p.updateTask(taskID, func() { p.checkpointed = append(p.checkpointed, taskID) })
}

// Throttle implements workerhost.Platform.
func (p *Platform) Throttle(_ context.Context, taskID string, limit job.Resources) error {
	return p.updateTask(taskID, func() { p.throttled[taskID] = limit })
}

// Stop implements workerhost.Platform.
func (p *Platform) Stop(_ context.Context, taskID string) error {
	return p.updateTask(taskID, func() { p.stopped = append(p.stopped, taskID) })
}

func (p *Platform) updateTask(taskID string, change func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, hasLease := p.leases[taskID]; !hasLease {
		return failure.New(failure.NotFound, "ignore it; the task has ended", "task %s has no resource lease", taskID)
	}
	change()
	return nil
}

// Throttled returns the limits of the throttled tasks by task ID.
func (p *Platform) Throttled() map[string]job.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := map[string]job.Resources{}
	for id, limit := range p.throttled {
		limits[id] = limit
	}
	return limits
}

// Stopped returns the IDs of the stopped tasks in the order in which they were stopped.
func (p *Platform) Stopped() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.stopped...)
}

// Leases returns the number of tasks that hold a resource lease.
func (p *Platform) Leases() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.leases)
}
