package agent

import (
	"context"

	"go.uber.org/zap"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/startgate"
)

// Worker makes the agent's calls to its worker. Its methods may be called concurrently. They return when
// the call has ended or ctx is done. Each return value identifies its call.
type Worker interface {
	Start(ctx context.Context, call runner.Start) runner.StartReturned
	Stop(ctx context.Context, call runner.Stop) runner.StopReturned
	// Renew renews the worker lease. callWorker sets the fields Sent and OutOfBand of the return value;
	// OutOfBand marks an additional call beside the pending long poll.
	Renew(ctx context.Context, call runner.Renew) runner.Renewed
}

// AnnounceWorker passes an announcement of the worker to the runner. It returns false if the event
// queue is full or closed.
func (a *Agent) AnnounceWorker(announcement runner.WorkerAnnounced) bool {
	return a.loop.TryPost(announcement)
}

// WithdrawWorker informs the runner that the worker is shutting down. It returns
// false if the event queue is full or closed.
func (a *Agent) WithdrawWorker(id string) bool { return a.loop.TryPost(runner.WorkerLeft{ID: id}) }

// SetSeeds replaces the seeds, the addresses in the settings at which the group is looked for.
func (a *Agent) SetSeeds(addresses []string) { a.feed.SetSeeds(addresses) }

// stepRunner passes an event to the runner and carries out the resulting actions.
func (a *Agent) stepRunner(event runner.Event) {
	a.logWorker(event)
	now := clock.SinceBoot()
	if suspended := a.suspensions.Observe(now, clock.Steady()); suspended > 0 {
		logging.Log(a.config.Logger, logging.HostSuspended, zap.Duration("duration", suspended))
		a.executeRunnerActions(a.runner.Step(now, runner.HostSuspended{Duration: suspended}))
	}
	a.executeRunnerActions(a.runner.Step(now, event))
}

func (a *Agent) executeRunnerActions(actions []runner.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case runner.Send:
			a.logCrash(action)
			if s := a.sessions[startgate.EntryID(action.Entry)]; s != nil && understands(s, action.Message) {
				s.Send(action.Message)
			}
		default:
			if a.config.Worker != nil {
				go a.callWorker(action)
			}
		}
	}
}

// understands reports whether the entry at the other end of the session understands the message.
func understands(s *session.Session, message wire.Message) bool {
	switch message.(type) {
	case *wire.WorkerSpeed:
		return s.Supports(wire.FeatureSpeeds)
	case *wire.WorkerCrash:
		return s.Supports(wire.FeatureCrashes)
	}
	return true
}

// callWorker makes one call to the worker. For one incarnation of the worker, the runner bounds the concurrent
// start calls by the runs that fit on it; stops and at most two renewals come on top.
func (a *Agent) callWorker(action runner.Action) {
	worker := a.config.Worker
	ctx, cancel := context.WithTimeout(context.Background(), runner.CallTimeout(action))
	defer cancel()
	returned, err := makeCall(ctx, worker, action)
	if err != nil {
		logging.Log(a.config.Logger, logging.UnexpectedFault, zap.Error(err))
		returned = unansweredCall(action)
	}
	a.loop.Post(returned)
}

// makeCall makes one call to the worker. The error stands for a fault.
func makeCall(ctx context.Context, worker Worker, action runner.Action) (returned runner.Event, err error) {
	defer failure.RecoverFault(&err)
	switch call := action.(type) {
	case runner.Start:
		return worker.Start(ctx, call), nil
	case runner.Stop:
		return worker.Stop(ctx, call), nil
	case runner.Renew:
		sent := clock.SinceBoot()
		renewed := worker.Renew(ctx, call)
		renewed.Sent, renewed.OutOfBand = sent, call.OutOfBand
		return renewed, nil
	}
	return runner.Tick{}, nil
}

// unansweredCall returns the outcome of a call that the worker may carry out, now or later.
func unansweredCall(action runner.Action) runner.Event {
	switch call := action.(type) {
	case runner.Start:
		return runner.StartReturned{Worker: call.Worker, Run: call.Run, Token: call.Token, Result: runner.NoResponse}
	case runner.Stop:
		return runner.StopReturned{Worker: call.Worker, Run: call.Run, Token: call.Token, Result: runner.NoResponse}
	case runner.Renew:
		return runner.Renewed{Worker: call.Worker, Sent: clock.SinceBoot(), OutOfBand: call.OutOfBand, Token: call.Token, Result: runner.NoResponse}
	}
	return runner.Tick{}
}

// logCrash logs the message to an entry that reports a suspected crash of the worker.
func (a *Agent) logCrash(send runner.Send) {
	if crash, ok := send.Message.(*wire.WorkerCrash); ok {
		logging.Log(a.config.Logger, logging.WorkerCrashSuspected, zap.String("worker", a.workerAnnounced.Worker.ID),
			zap.String("entry", send.Entry.ID), zap.Stringers("runs", crash.Runs))
	}
}

// logWorker logs returned stop calls, failed start and renew calls, the withdrawal of the worker, and
// announcements whose Worker or Leaving differs from the previous one.
func (a *Agent) logWorker(event runner.Event) {
	switch e := event.(type) {
	case runner.StartReturned:
		if e.Result != runner.Accepted {
			logging.Log(a.config.Logger, logging.RunCallFailed, zap.String("call", "start"), zap.String("job", e.Run.Task.Job),
				zap.Stringer("run", e.Run), zap.String("result", e.Result.String()), zap.String("worker", e.Worker.ID), zap.Uint64("token", e.Token))
		}
	case runner.StopReturned:
		logging.Log(a.config.Logger, logging.RunStopRequested, zap.String("job", e.Run.Task.Job), zap.Stringer("run", e.Run),
			zap.String("result", e.Result.String()), zap.String("worker", e.Worker.ID), zap.Uint64("token", e.Token))
	case runner.Renewed:
		if e.Result != runner.Accepted {
			logging.Log(a.config.Logger, logging.RunCallFailed, zap.String("call", "renew"), zap.String("result", e.Result.String()),
				zap.String("worker", e.Worker.ID), zap.Uint64("token", e.Token))
		}
	case runner.WorkerLeft:
		logging.Log(a.config.Logger, logging.WorkerLeft, zap.String("worker", e.ID))
	case runner.WorkerAnnounced:
		if known := a.workerAnnounced; known.Worker != e.Worker || known.Leaving != e.Leaving {
			logging.Log(a.config.Logger, logging.WorkerAnnounced, zap.String("worker", e.Worker.ID), zap.Int64("born", e.Worker.Born),
				zap.String("service", e.Service), zap.Bool("leaving", e.Leaving), zap.Int64("milli_processors", e.Capacity.MilliProcessors))
		}
		a.workerAnnounced = e
	}
}

// logUnanswered logs the beginning and the end of a time in which calls to the worker go unanswered.
func (a *Agent) logUnanswered(unanswered bool) {
	if unanswered == (a.callsUnanswered != nil) {
		return
	}
	worker, stats := zap.String("worker", a.workerAnnounced.Worker.ID), a.runner.Stats()
	if unanswered {
		a.callsUnanswered = &stats
		logging.Log(a.config.Logger, logging.WorkerCallsUnanswered, worker)
		return
	}
	before := a.callsUnanswered
	a.callsUnanswered = nil
	logging.Log(a.config.Logger, logging.WorkerCallsAnswered, worker, zap.Uint64("starts_unanswered", stats.Unanswered-before.Unanswered),
		zap.Uint64("starts_repeated", stats.StartsRepeated-before.StartsRepeated), zap.Uint64("renewals_failed", stats.RenewalsFailed-before.RenewalsFailed))
}
