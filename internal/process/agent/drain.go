package agent

import (
	"context"
	"sync"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/startgate"
)

// Drain implements daemon.Role. It withdraws the upstream from all entries, waits for the calls in
// progress and the acknowledgement of their results and for the runs of restartable jobs, and closes
// the sessions with code 1001.
//
// The drain sets no deadline for the calls in progress; callTimeout bounds them. The wait for
// acknowledgements is bounded: the start gate drops an unacknowledged result after
// startgate.Config.RecordRetention (10 s), long after the entry has reported the task as one that may
// have run.
func (a *Agent) Drain(ctx context.Context) error {
	if a.draining.Swap(true) {
		return nil
	}
	logging.Log(a.config.Logger, logging.AgentDraining)
	drained := make(chan struct{})
	a.loop.Post(loopCall(func() {
		a.drained = drained
		a.stepStartGate(startgate.Draining{})
		a.stepRunner(runner.Draining{})
	}))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-drained:
	}
	a.dialers.close()
	var sessions []*session.Session
	a.inspect(func() {
		for _, s := range a.sessions {
			sessions = append(sessions, s)
		}
	})
	var closing sync.WaitGroup
	for _, s := range sessions {
		closing.Go(s.Close)
	}
	closing.Wait()
	logging.Log(a.config.Logger, logging.AgentDrained)
	return nil
}
