package runner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pollenpaddle/internal/request/runner"
)

// repeatEvent lets one thing happen while start calls go unanswered: time passes, a call to the worker is executed, a
// start call is given up, or the run ends.
func (h *handOver) repeatEvent() {
	type option struct {
		name string
		do   func()
	}
	options := []option{{"8 ms pass", func() { h.advance(8 * time.Millisecond) }}}
	for i, t := range h.transits {
		name := fmt.Sprintf("%T sent after %v", t.action, t.sent-time.Hour)
		options = append(options, option{name + " is executed", func() { h.execute(i) }})
		if _, isStart := t.action.(runner.Start); isStart && !t.unanswered {
			options = append(options, option{name + " is not answered", func() {
				h.transits[i].unanswered = true
				h.step(t.from, responseOf(t.action, runner.NoResponse, t.sent))
			}})
		}
	}
	if len(h.worker.Running) > 0 {
		options = append(options, option{"the run ends", func() {
			h.worker.Running[0].EndsAt = h.now
			h.worker.Advance(h.now)
		}})
	}
	if !h.open {
		options = append(options, option{"the entry orders the next run", h.order})
	}
	names := make([]string, len(options))
	for i, o := range options {
		names[i] = o.name
	}
	options[h.choose(names)].do()
}

// letStartTimeOut lets the first start call time out; it may still be carried out.
func (h *handOver) letStartTimeOut(t *testing.T) {
	h.now += runner.CallTimeout(h.transits[h.start(t)].action)
	h.leaveStartUnanswered(t)
}

// TestRepeatedStart guards against a task that runs twice at the same time, or after its entry has been told that it is
// over, when a start call is sent again because earlier calls were not answered and are carried out later. It tries all
// orders of events up to a depth after the first unanswered start call.
func TestRepeatedStart(t *testing.T) {
	const depth = 6
	c := &choices{}
	runs, most := 0, uint64(0)
	for {
		h := newHandOver(c)
		h.letStartTimeOut(t)
		for range depth {
			h.repeatEvent()
			if h.fault != "" {
				t.Fatalf("%s, after: %s", h.fault, strings.Join(c.names, "; "))
			}
		}
		most = max(most, h.current().machine.Stats().StartsRepeated)
		runs++
		if !c.next() {
			break
		}
	}
	t.Logf("%d orders of %d events, up to %d repeated start calls", runs, depth, most)
	if most < 3 {
		t.Errorf("at most %d start calls were repeated", most)
	}
}

// TestStartAnsweredAtSecondCall guards against a run that is given up, or started twice, although the worker answers the
// second start call.
func TestStartAnsweredAtSecondCall(t *testing.T) {
	h := newHandOver(&choices{})
	h.letStartTimeOut(t)
	h.execute(len(h.transits) - 2) // the repeated start; a renewal follows it
	if len(h.worker.Running) != 1 || !h.open {
		t.Fatalf("runs in progress: %v; the run has an outcome: %t", h.worker.Running, !h.open)
	}
	h.execute(h.start(t)) // the first call, late
	h.executeRenewals()
	if len(h.worker.Running) != 1 || !h.open || h.fault != "" {
		t.Fatalf("runs in progress: %v; the run has an outcome: %t; %s", h.worker.Running, !h.open, h.fault)
	}
}

// TestRepeatedStartOnRestartedWorker guards against a run that starts again after its end, because a worker that has
// restarted with the same ID carries out the last copy of its start call.
func TestRepeatedStartOnRestartedWorker(t *testing.T) {
	h := newHandOver(&choices{})
	h.letStartTimeOut(t)
	h.execute(h.start(t)) // the first call
	h.executeRenewals()
	h.worker.Running[0].EndsAt = h.now
	h.advance(time.Millisecond)
	h.executeRenewals()
	if h.open {
		t.Fatal("the end of the run is not reported")
	}
	h.restartWorker()
	h.announceWorker()
	h.executeRenewals()
	h.execute(h.start(t)) // the second call
	if h.fault != "" {
		t.Fatal(h.fault)
	}
}

// TestStartThatFailsAtOnce guards against start calls that are repeated without a pause, each on a new connection, while
// the worker resets all connections.
func TestStartThatFailsAtOnce(t *testing.T) {
	h := newHandOver(&choices{})
	h.leaveStartUnanswered(t) // without waiting
	if stats := h.current().machine.Stats(); stats.Starts != 1 {
		t.Errorf("%d start calls", stats.Starts)
	}
	h.executeRenewals()
	if h.open || h.fault != "" {
		t.Errorf("the run has an outcome: %t; %s", !h.open, h.fault)
	}
}

// TestRenewalsThatFailAtOnce guards against reports that are requested at the rate for lost reports, each on a new
// connection, while the worker resets all connections.
func TestRenewalsThatFailAtOnce(t *testing.T) {
	h := newHandOver(&choices{})
	h.execute(h.start(t))
	const steps = 30
	before := h.current().machine.Stats().Renewals
	for range steps {
		pending := h.transits
		h.transits = nil
		for _, c := range pending {
			h.step(c.from, responseOf(c.action, runner.NoResponse, h.now))
		}
		h.advance(10 * time.Millisecond)
	}
	if renewals := h.current().machine.Stats().Renewals - before; renewals > steps+2 {
		t.Errorf("%d renewals in %d steps of 10 ms", renewals, steps)
	}
}
