package scheduler_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/scheduler"
)

// Guards against "fits no worker" for a job that fits a worker whose agent keeps sessions with other entries only.
func TestCapacityKnownToAnotherEntry(t *testing.T) {
	c := newCluster(2, 2)
	large := workerCapacity
	large.MilliProcessors *= 2
	c.announceCapacity(c.nodes[1], large)
	c.disconnect(c.entries[0], c.nodes[1])
	c.advance(70 * time.Second) // the capacity that was known before no longer counts
	verdict := func() scheduler.Verdict {
		s := c.submission(jobClasses[2])
		s.Steps[0].Need = job.Resources{MilliProcessors: large.MilliProcessors}
		c.submit(c.entries[0], s)
		return c.records[s.ID].Verdict
	}
	if v := verdict(); v != scheduler.Failed {
		t.Errorf("without a report of another entry: verdict %v, want %v", v, scheduler.Failed)
	}
	peer := wire.Claimant{EntryID: c.entries[1].id.ID, Incarnation: c.entries[1].id.Incarnation}
	c.stepEntry(c.entries[0], scheduler.PeerCapacities{Entry: peer, Report: c.entries[1].machine.Capacities()})
	c.advance(70 * time.Second) // a report is sent again only after a change
	if v := verdict(); v == scheduler.Failed {
		t.Errorf("another entry knows a worker that the job fits: verdict %v", v)
	}
	c.stepEntry(c.entries[0], scheduler.PeerDisconnected{Entry: peer})
	c.advance(30 * time.Second)
	if v := verdict(); v == scheduler.Failed {
		t.Errorf("30 s after the other entry left: verdict %v", v)
	}
	c.advance(40 * time.Second)
	if v := verdict(); v != scheduler.Failed {
		t.Errorf("70 s after the other entry left: verdict %v, want %v", v, scheduler.Failed)
	}
}

// Guards against a report that leaves out a capacity that some need fits, and against reports that are not equal
// for equal workers.
func TestCapacitiesAgainstAllWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := scheduler.New(scheduler.Config{})
		drawResources := func(label string) job.Resources {
			return job.Resources{
				MilliProcessors: rapid.Int64Range(0, 4).Draw(t, label), MemoryBytes: rapid.Int64Range(0, 4).Draw(t, label),
				Accelerators: rapid.Int64Range(0, 2).Draw(t, label),
			}
		}
		var all []job.Resources
		for k := range rapid.IntRange(1, 8).Draw(t, "agents") {
			id := scheduler.AgentID{ID: string(rune('a' + k)), Incarnation: 1}
			capacity := drawResources("capacity")
			all = append(all, capacity)
			m.Step(time.Second, scheduler.AgentConnected{Agent: id})
			m.Step(time.Second, scheduler.AgentMessage{Agent: id, Message: &wire.WorkerState{Service: "s", Capacity: capacity}})
		}
		report := m.Capacities()
		if len(report.Services) != 1 || report.Services[0].Service != "s" {
			t.Fatalf("report %+v, want the service s only", report)
		}
		need := drawResources("need")
		fitsOne := func(capacities []job.Resources) bool {
			for _, capacity := range capacities {
				if capacity.Covers(need) {
					return true
				}
			}
			return false
		}
		if reported, actual := fitsOne(report.Services[0].Capacities), fitsOne(all); reported != actual {
			t.Fatalf("need %+v fits by the report: %v, by the workers: %v", need, reported, actual)
		}
	})
}
