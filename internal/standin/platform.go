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

// Platform is a stand-in worker platform. Tasks use what they declared, unless SetUsage says
// otherwise; reports lag by Lag.
type Platform struct {
	Capacity job.Resources // zero means that every lease is granted
	Lag      time.Duration

	mu         sync.Mutex
	leases     map[string]workerhost.Task
	usage      map[string]job.Resources
	reports    []workerhost.Usage // as of the last change that is older than Lag
	reportedAt time.Duration
	throttled  map[string]job.Resources
	stopped    []string
	saved      []string
}

// Lease implements workerhost.Host.
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
	if p.Capacity != (job.Resources{}) && !free.Fits(task.Need) {
		return failure.New(failure.Overloaded, "retry later", "the worker has no room for task %s", task.ID)
	}
	p.leases[task.ID] = task
	return nil
}

// Release implements workerhost.Host.
func (p *Platform) Release(taskID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.leases, taskID)
}

// SetUsage makes a task use other resources than it declared.
func (p *Platform) SetUsage(taskID string, used job.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage[taskID] = used
}

// Usage implements workerhost.Host.
func (p *Platform) Usage(context.Context) ([]workerhost.Usage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.SinceBoot()
	if now < p.reportedAt+p.Lag {
		return p.reports, nil
	}
	p.reports, p.reportedAt = nil, now
	for id, task := range p.leases {
		used, set := p.usage[id]
		if !set {
			used = task.Need
		}
		if limit, limited := p.throttled[id]; limited {
			used = limit
		}
		p.reports = append(p.reports, workerhost.Usage{TaskID: id, At: now - p.Lag, Used: used})
	}
	sort.Slice(p.reports, func(i, j int) bool { return p.reports[i].TaskID < p.reports[j].TaskID })
	return p.reports, nil
}

// Checkpoint implements workerhost.Host.
func (p *Platform) Checkpoint(_ context.Context, taskID string) error {
	return p.act(taskID, func() { p.saved = append(p.saved, taskID) })
}

// Throttle implements workerhost.Host.
func (p *Platform) Throttle(_ context.Context, taskID string, limit job.Resources) error {
	return p.act(taskID, func() { p.throttled[taskID] = limit })
}

// Stop implements workerhost.Host.
func (p *Platform) Stop(_ context.Context, taskID string) error {
	return p.act(taskID, func() { p.stopped = append(p.stopped, taskID) })
}

func (p *Platform) act(taskID string, change func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, running := p.leases[taskID]; !running {
		return failure.New(failure.NotFound, "ignore it; the task has ended", "task %s has no lease", taskID)
	}
	change()
	return nil
}

// Throttled returns the limits of the throttled tasks by id.
func (p *Platform) Throttled() map[string]job.Resources {
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := map[string]job.Resources{}
	for id, limit := range p.throttled {
		limits[id] = limit
	}
	return limits
}

// Stopped returns the tasks that were stopped, in order.
func (p *Platform) Stopped() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.stopped...)
}

// Leases returns the number of tasks under a lease.
func (p *Platform) Leases() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.leases)
}
