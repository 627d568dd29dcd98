package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/process/workerhost"
	"pollenpaddle/internal/request/startgate"
)

// usageInterval is the polling interval of the usage reports, which lag by about the same time.
const usageInterval = time.Second

// enforceLimits throttles tasks that use more than they declared, so that they do not slow down other
// running tasks. Tasks without a declaration are not throttled.
func (a *Agent) enforceLimits(ctx context.Context) error {
	if a.config.Platform == nil {
		return nil
	}
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	throttled := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		throttled = a.checkUsage(ctx, throttled)
	}
}

// checkUsage processes the latest usage reports. It takes the ids of the tasks that are throttled and
// returns the updated set.
func (a *Agent) checkUsage(ctx context.Context, previous map[string]bool) map[string]bool {
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	reports, err := a.config.Platform.Usage(callCtx)
	if err != nil {
		a.platformFailed("usage", err)
		return previous
	}
	calls := a.pool.callsByPlatformTaskID()
	throttled := map[string]bool{}
	for _, report := range reports {
		call, running := calls[report.TaskID]
		if !running {
			continue // the report lags behind the end of the task
		}
		throttled[report.TaskID] = previous[report.TaskID] || a.throttle(callCtx, call, report)
	}
	return throttled
}

// throttle limits a task that exceeds its declaration, and reports whether the task was limited.
func (a *Agent) throttle(ctx context.Context, call startgate.Call, report workerhost.Usage) bool {
	need := call.Task.Need
	if !exceeds(report.Used, need) {
		return false
	}
	if err := a.config.Platform.Throttle(ctx, report.TaskID, need); err != nil {
		a.platformFailed("throttle", err)
		return false
	}
	logging.Log(a.config.Logger, logging.TaskThrottled, zap.String("task", report.TaskID),
		zap.Int64("used_milli_processors", report.Used.MilliProcessors), zap.Int64("declared_milli_processors", need.MilliProcessors),
		zap.Int64("used_memory_bytes", report.Used.MemoryBytes), zap.Int64("declared_memory_bytes", need.MemoryBytes))
	return true
}

// exceeds reports whether a task uses over 10% more than it declared. Usage reports are averages, so a
// task at its limit may be reported slightly above it.
func exceeds(used, declared job.Resources) bool {
	over := func(used, declared int64) bool { return declared > 0 && used > declared+declared/10 }
	return over(used.MilliProcessors, declared.MilliProcessors) || over(used.MemoryBytes, declared.MemoryBytes)
}

func (a *Agent) platformFailed(operation string, err error) {
	logging.Log(a.config.Logger, logging.WorkerPlatformFailed, zap.String("operation", operation), zap.Error(err))
}
