// Package workerhost describes what the worker platform beside an agent offers: leases for tasks,
// usage reports that lag behind, and the means to checkpoint, throttle or stop a task.
package workerhost

import (
	"context"
	"time"

	"pollenpaddle/internal/model/job"
)

// Task describes one call to the platform.
type Task struct {
	ID   string // unique for each start
	Need job.Resources
}

// Usage is what one task used at a time in the past.
type Usage struct {
	TaskID string
	At     time.Duration // boot-time clock of the worker
	Used   job.Resources
}

// Platform is the worker platform. Its methods may be called from several threads.
type Platform interface {
	// Lease reserves the declared need of a task; a task runs only under a lease. An error means
	// that the task must not begin.
	Lease(ctx context.Context, task Task) error
	// Release ends the lease of a task. It is called once for each Lease without an error.
	Release(taskID string)
	// Usage returns the latest report of each task that runs under a lease.
	Usage(ctx context.Context) ([]Usage, error)
	// Checkpoint saves the state of a task, so that stopping it loses less.
	Checkpoint(ctx context.Context, taskID string) error
	// Throttle limits a task to the given resources.
	Throttle(ctx context.Context, taskID string, limit job.Resources) error
	// Stop ends a task; its call to the upstream then ends too.
	Stop(ctx context.Context, taskID string) error
}
