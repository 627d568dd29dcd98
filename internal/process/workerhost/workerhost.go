// Package workerhost defines the interface of an agent to its worker platform: resource leases
// for tasks, delayed usage reports, and operations to checkpoint, throttle or stop a task.
package workerhost

import (
	"context"
	"time"

	"pollenpaddle/internal/model/job"
)

// Task describes one start of a task, for which resources are leased.
type Task struct {
	ID   string // unique for each start
	Need job.Resources
}

// Usage is the resource usage of one task at the time At, which is some time ago.
type Usage struct {
	TaskID string
	At     time.Duration // boot-time clock of the worker
	Used   job.Resources
}

// Platform is the worker platform. Its methods may be called concurrently.
type Platform interface {
	// Lease reserves the resources that a task declares; a task runs only under such a resource lease. If
	// Lease returns an error, the task must not be started.
	Lease(ctx context.Context, task Task) error
	// Release ends the resource lease of a task. It is called once for each Lease without an error.
	Release(taskID string)
	// Usage returns the latest usage report of each task that runs under a resource lease.
	Usage(ctx context.Context) ([]Usage, error)
	// Checkpoint saves the state of a task, so that less work is lost when it is stopped. The agent does
	// not call it.
	Checkpoint(ctx context.Context, taskID string) error
	// Throttle limits a task to the given resources.
	Throttle(ctx context.Context, taskID string, limit job.Resources) error
	// Stop ends a task, which also ends its call to the upstream.
	Stop(ctx context.Context, taskID string) error
}
