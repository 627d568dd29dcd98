package runner_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/shedding"
)

// startsOf sends orders that each need the whole worker, which is busy, and returns the order in which they start.
func startsOf(orders ...wire.Message) (started []string) {
	f := newFleet(2, 20*time.Millisecond)
	need := job.Resources{MilliProcessors: 64000}
	f.step(runner.Received{Entry: f.entries[0], Message: orderOf("first", 0, need)})
	f.worker.OnStart = func(id run.ID) { started = append(started, id.Task.Job) }
	for n, order := range orders {
		f.step(runner.Received{Entry: f.entries[n%2], Message: order})
	}
	f.advance(500 * time.Millisecond)
	return started
}

func orderOf(id string, priority int, need job.Resources) *wire.RunOrder {
	return &wire.RunOrder{Sequence: 1, Job: id, Service: "s", Priority: priority, MaxWait: 400 * time.Millisecond, Need: need, Tasks: []wire.OrderedTask{{Number: 1}}}
}

func rankedOrder(id string, priority int, group shedding.Group, in time.Duration) *wire.RankedOrder {
	order := orderOf(id, priority, job.Resources{MilliProcessors: 64000})
	return &wire.RankedOrder{Order: wire.TimedOrder{Order: *order}, Group: uint8(group), In: in}
}

// TestRanksOfWaitingRuns guards against an agent that reverses the choice of an entry, and against a rank of one entry that
// puts the runs of entries without ranks, those of an earlier release, last or first.
func TestRanksOfWaitingRuns(t *testing.T) {
	expect := gomega.NewWithT(t)
	long, short := rankedOrder("long", 2, shedding.OnTime, 10*time.Millisecond), rankedOrder("short", 0, shedding.OnTime, 40*time.Millisecond)
	late, begun := rankedOrder("late", 0, shedding.Late, -time.Second), rankedOrder("begun", 2, shedding.Started, time.Second)
	expect.Expect(startsOf(late, short, long, begun)).To(gomega.Equal([]string{"begun", "long", "short", "late"}))

	plain := orderOf("plain", 1, job.Resources{MilliProcessors: 64000})
	expect.Expect(startsOf(long, plain, short)).To(gomega.Equal([]string{"short", "plain", "long"}), "by priority beside a run without a rank")
	expect.Expect(startsOf(plain, long, short)).To(gomega.Equal([]string{"short", "plain", "long"}))
}

// TestUnusableRank guards against a rank outside its bounds that puts a run ahead of all others.
func TestUnusableRank(t *testing.T) {
	expect := gomega.NewWithT(t)
	long, far := rankedOrder("long", 2, shedding.OnTime, time.Millisecond), rankedOrder("far", 1, shedding.OnTime, -1<<63)
	expect.Expect(startsOf(long, far)).To(gomega.Equal([]string{"far", "long"}), "by priority")
	unknown := rankedOrder("unknown", 3, 200, 0)
	expect.Expect(startsOf(unknown, long)).To(gomega.Equal([]string{"long", "unknown"}), "by priority")
}

// TestWaitingRunsByPriority guards against a report of waiting runs that is not sorted by priority, or lists a priority twice,
// because the runs wait in another order: entries of all releases read it by priority.
func TestWaitingRunsByPriority(t *testing.T) {
	expect := gomega.NewWithT(t)
	f := newFleet(1, time.Second)
	f.step(runner.Received{Entry: f.entries[0], Message: orderOf("first", 0, job.Resources{MilliProcessors: 64000})})
	for n, priority := range []int{2, 0, 2, 1} {
		f.step(runner.Received{Entry: f.entries[0], Message: rankedOrder(string(rune('a'+n)), priority, shedding.OnTime, time.Duration(n)*time.Millisecond)})
	}
	f.advance(300 * time.Millisecond)
	states := f.states[f.entries[0]]
	var priorities []int
	for _, w := range states[len(states)-1].Waiting {
		priorities = append(priorities, w.Priority)
	}
	expect.Expect(priorities).To(gomega.Equal([]int{0, 1, 2}))
	expect.Expect(states[len(states)-1].Waiting[2].Need).To(gomega.Equal(job.Resources{MilliProcessors: 128000}))
}
