package runner_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
)

// drawNumber draws a number that a faulty peer may send, extremes included.
func drawNumber(t *rapid.T, label string) int64 {
	return rapid.OneOf(rapid.Int64Range(-2, 70000), rapid.SampledFrom([]int64{math.MinInt64, math.MinInt64 + 1, math.MaxInt64})).Draw(t, label)
}

func drawNeed(t *rapid.T) job.Resources {
	return job.Resources{MilliProcessors: drawNumber(t, "processors"), MemoryBytes: drawNumber(t, "memory"), Accelerators: drawNumber(t, "accelerators")}
}

func drawRun(t *rapid.T) run.ID {
	return run.ID{
		Task:   run.TaskID{Job: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "job"), Step: rapid.Uint16().Draw(t, "step"), Index: rapid.Uint16Range(0, 2).Draw(t, "index")},
		Number: rapid.OneOf(rapid.Uint64Range(0, 3), rapid.Just(uint64(math.MaxUint64))).Draw(t, "number"),
	}
}

// drawEntryMessage draws a message that decodes, with any content.
func drawEntryMessage(t *rapid.T) wire.Message {
	switch rapid.IntRange(0, 3).Draw(t, "type") {
	case 0:
		return &wire.OwnerGrant{Sent: time.Duration(drawNumber(t, "sent"))}
	case 1:
		return &wire.RunCancel{Runs: []run.ID{drawRun(t), drawRun(t)}}
	case 2:
		return &wire.WorkerState{Free: drawNeed(t)} // of another role
	}
	order := &wire.RunOrder{
		Sequence: rapid.Uint64().Draw(t, "sequence"), Job: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "job"), Service: rapid.SampledFrom([]string{"", "s"}).Draw(t, "service"),
		Priority: int(drawNumber(t, "priority")), MaxWait: time.Duration(drawNumber(t, "wait")), Need: drawNeed(t),
	}
	for range rapid.IntRange(0, 3).Draw(t, "tasks") {
		id := drawRun(t)
		order.Tasks = append(order.Tasks, wire.OrderedTask{Step: id.Task.Step, Index: id.Task.Index, Number: id.Number})
	}
	if rapid.Bool().Draw(t, "timed") {
		return &wire.TimedOrder{Order: *order, Predicted: time.Duration(drawNumber(t, "predicted"))}
	}
	return order
}

// TestAnyEntryMessage guards against a message of a faulty entry that ends the agent's process, keeps it busy, or lets
// it accept no work of other entries any more.
func TestAnyEntryMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(2, 20*time.Millisecond)
		faulty, sound := f.entries[0], f.entries[1]
		t.Repeat(map[string]func(*rapid.T){
			"message": func(t *rapid.T) { f.step(runner.Received{Entry: faulty, Message: drawEntryMessage(t)}) },
			"advance": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"reconnect": func(*rapid.T) {
				f.step(runner.Disconnected{Entry: faulty})
				f.step(runner.Connected{Entry: faulty})
			},
		})
		f.step(runner.Disconnected{Entry: faulty})
		f.advance(3 * time.Second) // its runs end at the owner timeout
		before := f.ends[sound]
		f.order(sound, "00000000000000aa")
		f.advance(time.Second)
		if f.ends[sound] != before+1 {
			t.Fatalf("a run of another entry had %d outcomes, want 1", f.ends[sound]-before)
		}
	})
}
