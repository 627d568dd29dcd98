package scheduler_test

import (
	"testing"
	"time"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/scheduler"
)

// Guards against a job that fails without an order after an idle period: agents send the worker's state only
// when it changes, so its age says nothing about a worker whose agent is connected.
func TestJobAfterIdlePeriod(t *testing.T) {
	for _, idle := range []time.Duration{50 * time.Second, 70 * time.Second} {
		c := newCluster(1, 2)
		c.advance(idle)
		s := c.submission(jobClasses[0])
		c.submit(c.entries[0], s)
		c.advance(8 * time.Second)
		if record := c.records[s.ID]; record.Verdict != scheduler.Completed {
			t.Errorf("job after %v of idle time: verdict %v with %d orders, want %v", idle, record.Verdict, record.Summary.Orders, scheduler.Completed)
		}
	}
}

// Guards against a refusal for lack of workers right after the only agent has left, where its last change of
// state is long past: the grace begins when the agent leaves. A job that comes after the grace is refused.
func TestJobAfterLastAgentLeaves(t *testing.T) {
	for _, idle := range []time.Duration{time.Second, 70 * time.Second} {
		c := newCluster(1, 1)
		c.advance(idle)
		c.disconnect(c.entries[0], c.nodes[0])
		c.advance(100 * time.Millisecond)
		s := c.submission(jobClasses[1])
		c.submit(c.entries[0], s)
		c.after(100*time.Millisecond, func() { c.connect(c.entries[0], c.nodes[0]) })
		c.advance(10 * time.Second)
		if record := c.records[s.ID]; record.Verdict != scheduler.Completed {
			t.Errorf("agent away for 200 ms after %v: verdict %v (%v), want %v", idle, record.Verdict, record.Error, scheduler.Completed)
		}
		c.disconnect(c.entries[0], c.nodes[0])
		c.advance(4 * time.Second)
		late := c.submission(jobClasses[1])
		c.submit(c.entries[0], late)
		if record := c.records[late.ID]; record.Verdict != scheduler.Rejected {
			t.Errorf("4 s after the last agent left: verdict %v, want %v at once", record.Verdict, scheduler.Rejected)
		}
	}
}

// Guards against "fits no worker" for a job that fits a worker whose agent left a moment ago, however long ago
// its state had changed, and against no verdict on a job that fits none.
func TestCapacityOfAgentThatLeft(t *testing.T) {
	c := newCluster(1, 1)
	c.advance(70 * time.Second)
	small := workerCapacity
	small.MilliProcessors /= 2
	c.announceCapacity(c.nodes[0], small)
	c.advance(time.Second)
	wide := c.submission(jobClasses[2])
	wide.Steps[0].Need = job.Resources{MilliProcessors: workerCapacity.MilliProcessors - 1}
	c.submit(c.entries[0], wide)
	if record := c.records[wide.ID]; record.Verdict == scheduler.Failed {
		t.Errorf("verdict %v on a job that fitted the worker 1 s ago", record.Verdict)
	}
	c.advance(62 * time.Second)
	tooWide := c.submission(jobClasses[2])
	tooWide.Steps[0].Need = job.Resources{MilliProcessors: small.MilliProcessors + 1}
	c.submit(c.entries[0], tooWide)
	if record := c.records[tooWide.ID]; record.Verdict != scheduler.Failed {
		t.Errorf("verdict %v on a job that has fitted no worker for a minute, want %v", record.Verdict, scheduler.Failed)
	}
}
