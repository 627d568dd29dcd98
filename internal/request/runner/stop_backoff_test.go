package runner_test

import (
	"testing"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
)

// TestStopsThatFailAtOnce guards against a worker that resets its connections and gets a stop on a new connection every
// 10 ms for each cancelled run.
func TestStopsThatFailAtOnce(t *testing.T) {
	m := runner.New(runner.Config{Token: 1 << runner.TokenTagBits})
	entry, worker := runner.EntryID{ID: "entry", Incarnation: 1}, runner.Worker{ID: "worker", Born: 1}
	now, stops, resets := time.Hour, 0, false
	var step func(runner.Event)
	step = func(event runner.Event) {
		for _, action := range append([]runner.Action(nil), m.Step(now, event)...) {
			switch a := action.(type) {
			case runner.Renew:
				if a.Wait == 0 && !resets {
					step(runner.Renewed{Worker: worker, Token: a.Token, Sent: now, OutOfBand: a.OutOfBand, Result: runner.Accepted})
				}
			case runner.Start:
				step(runner.StartReturned{Worker: worker, Run: a.Run, Token: a.Token, Result: runner.Accepted})
			case runner.Stop:
				stops++
				step(runner.StopReturned{Worker: worker, Run: a.Run, Token: a.Token, Result: runner.NoResponse})
			}
		}
	}
	step(runner.Connected{Entry: entry})
	step(runner.WorkerAnnounced{Worker: worker, Sequence: 1, Service: "logs", Capacity: job.Resources{MilliProcessors: 1000}, Clock: time.Second})
	step(runner.Received{Entry: entry, Message: &wire.RunOrder{
		Sequence: 1, Job: "job", Service: "logs", Need: job.Resources{MilliProcessors: 1000}, Tasks: []wire.OrderedTask{{Number: 1}},
	}})
	resets = true
	step(runner.Received{Entry: entry, Message: &wire.RunCancel{Runs: []run.ID{{Task: run.TaskID{Job: "job"}, Number: 1}}}})
	for end := now + 700*time.Millisecond; now < end; now += time.Millisecond {
		step(runner.Tick{})
	}
	if stops < 3 || stops > 12 {
		t.Errorf("%d stops in 700 ms, want some, and fewer than one every 58 ms", stops)
	}
}
