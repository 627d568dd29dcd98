package runner_test

import (
	"fmt"
	"testing"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
)

// pauseTimes are the lengths of the tested suspensions and pauses. A lease that was just renewed lasts 1.07 s.
var pauseTimes = []time.Duration{
	50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2500 * time.Millisecond, 6 * time.Second, time.Minute,
}

// suspend suspends the host: neither the agent nor the worker runs, and the worker's clock stands still. If measured is
// false, the agent does not learn of it, as in a VM whose steady clock goes on.
func (f *fleet) suspend(d time.Duration, measured bool) {
	f.now += d
	f.worker.Suspend(d)
	if measured {
		f.step(runner.HostSuspended{Duration: d})
	}
	f.step(runner.Tick{})
}

// TestRunIsReportedOverOnlyWhenItIs guards against a run that is reported as lost while it continues after a suspension
// of the host, because the agent counted the lease on a clock that went on.
func TestRunIsReportedOverOnlyWhenItIs(t *testing.T) {
	faults := map[string]func() runner.CallResult{
		"the worker responds": nil,
		"calls go unanswered": func() runner.CallResult { return runner.NoResponse },
		"calls are not sent":  func() runner.CallResult { return runner.NotSent },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for _, d := range pauseTimes {
				for phase := time.Duration(0); phase < 300*time.Millisecond; phase += 50 * time.Millisecond {
					checkSuspension(t, d, phase, fault)
				}
			}
		})
	}
}

// checkSuspension suspends the host while a run is in progress. From then on, calls to the worker have the given fault.
func checkSuspension(t *testing.T, d, phase time.Duration, fault func() runner.CallResult) {
	f := newFleet(1, time.Hour)
	reported := false
	f.onMessage = func(send runner.Send) {
		ends, ok := send.Message.(*wire.RunEnds)
		if !ok {
			return
		}
		for _, end := range ends.Ends {
			reported = true
			if f.worker.IsRunning(end.ID) {
				t.Errorf("suspended for %v, phase %v: %v is reported as %v and continues", d, phase, end.ID, end.Outcome)
			}
		}
	}
	f.order(f.entries[0], "0000000000000001")
	f.advance(time.Second + phase)
	if len(f.worker.Running) != 1 {
		t.Fatal("the run does not run")
	}
	f.fault, f.silent = fault, true
	f.suspend(d, true)
	f.advance(3 * time.Second)
	if !reported {
		t.Errorf("suspended for %v, phase %v: the run has no outcome", d, phase)
	}
}

// TestPauseIsNotLeaseTime guards against the same fault where the steady clock goes on although the worker stood still,
// and against a lease that is requested too far ahead on the worker's clock.
func TestPauseIsNotLeaseTime(t *testing.T) {
	for _, d := range pauseTimes {
		f := newFleet(1, time.Hour)
		f.onMessage = func(send runner.Send) {
			if ends, ok := send.Message.(*wire.RunEnds); ok && f.worker.IsRunning(ends.Ends[0].ID) {
				t.Errorf("suspended for %v: %v is reported as over and continues", d, ends.Ends[0].ID)
			}
		}
		f.order(f.entries[0], "0000000000000001")
		f.advance(time.Second)
		f.suspend(d, false)
		f.advance(3 * time.Second)
	}
}

// TestLateStartAfterSuspension guards against a start whose call went unanswered before a suspension and that counts as
// expired while it still waits at the worker.
func TestLateStartAfterSuspension(t *testing.T) {
	h := newHandOver(&choices{})
	h.leaveStartUnanswered(t)
	late := h.start(t)
	h.advance(200 * time.Millisecond)
	h.restartWorker()
	h.announceWorker()
	const suspension = time.Minute
	h.now += suspension
	h.worker.Suspend(suspension)
	h.step(h.current(), runner.HostSuspended{Duration: suspension})
	if !h.open {
		t.Fatal("the run has an outcome although its start may still be carried out")
	}
	h.execute(late)
	if h.fault != "" {
		t.Fatal(h.fault)
	}
	if id := (run.ID{Task: run.TaskID{Job: handOverTask}, Number: 1}); !h.worker.IsRunning(id) {
		t.Fatal(fmt.Sprint(id, " is not carried out late, so the test shows nothing"))
	}
}
