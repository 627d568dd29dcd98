package dispatch_test

import (
	"testing"
	"time"

	"pollenpaddle/internal/request/dispatch"
)

// Each performance target is a test function of its own, so that KNOWN-RED.txt can list it.

// Guards against a p99 response time of short jobs beyond 1.5 times the ideal at 80% load.
func TestShortJobTail(t *testing.T) {
	s := runPolicy(dispatch.DefaultPolicy, 0.8).summarise("short", "", warmUpTime, 2*time.Second)
	if p99 := quantile(s.slowdowns, 0.99); p99 > 1.5 {
		t.Errorf("p99 of short jobs is %.2f times the ideal, want at most 1.5", p99)
	}
}

// Guards against an organisation that floods the entries with jobs and thereby delays the short
// jobs of another by 10% or causes them to be shed.
func TestFloodIsolation(t *testing.T) {
	run := func(flood bool) summary {
		sim := newSimulation(simulationConfig{policy: dispatch.DefaultPolicy, seed: policySeed, entries: 3, speeds: agentSpeeds(), slots: 8, catalog: standardCatalog(3)})
		sim.generateLoad(newWorkload(policySeed), 0.4, loadTime, func() string { return "quiet" })
		if flood {
			sim.generateLoad(newWorkload(policySeed+1), 2, loadTime, func() string { return "flood" })
		}
		sim.runUntil(loadTime + drainTime)
		return sim.summarise("short", "quiet", warmUpTime, 2*time.Second)
	}
	alone, flooded := run(false), run(true)
	if flooded.complete < flooded.jobs*95/100 {
		t.Errorf("%d of %d jobs complete, want 95%%", flooded.complete, flooded.jobs)
	}
	if a, f := quantile(alone.responses, 0.99), quantile(flooded.responses, 0.99); f >= 1.1*a {
		t.Errorf("p99 is %.3f s under a flood and %.3f s without, want under 10%% more (%d of %d complete)", f, a, flooded.complete, flooded.jobs)
	}
}

// Guards against many messages that lead to no start: probes, returned offers and refused starts.
func TestWastedMessages(t *testing.T) {
	if wasted := runPolicy(dispatch.DefaultPolicy, 0.8).wastedPerTask(); wasted >= 0.1 {
		t.Errorf("%.3f wasted messages per task at 80%% load, want under 0.1", wasted)
	}
}
