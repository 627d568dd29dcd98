package dispatch_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/dispatch"
)

// BenchmarkStart measures a submission of one task, its start and its result.
func BenchmarkStart(b *testing.B) {
	for _, agents := range []int{10, 400, 6400} {
		b.Run(strconv.Itoa(agents), func(b *testing.B) {
			m := newMachine()
			now := time.Duration(0)
			for i := range agents {
				id := dispatch.AgentID{ID: "a" + strconv.Itoa(i), Incarnation: 1}
				connectAgent(m, now, id, time.Hour)
				deliver(m, now, id, &wire.Load{Free: 1 << 20})
				if agents >= 64 { // PolicyMix keeps credits in pools of this size
					ids := make([]uint64, b.N/agents*2+64)
					for k := range ids {
						ids[k] = uint64(k + 1)
					}
					deliver(m, now, id, &wire.Offer{IDs: ids})
				}
			}
			finish := func(actions []dispatch.Action) {
				starts, to := sentStarts(actions)
				if len(starts) == 0 {
					b.Fatal("no start was sent")
				}
				deliver(m, now, to[0], &wire.Finished{ID: starts[0].ID, Result: job.Result{State: job.Done, Status: 200, RunTime: 100 * time.Millisecond}})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 10 * time.Microsecond
				finish(m.Step(now, dispatch.Submitted{Submission: submission(strconv.Itoa(i), 1)}))
			}
		})
	}
}

// BenchmarkNaive measures the choice of an agent without an index: per task, all agents are sorted
// and scanned.
func BenchmarkNaive(b *testing.B) {
	type view struct{ free, cost int }
	for _, agents := range []int{10, 400, 6400} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			views := make([]view, agents)
			for i := range views {
				views[i] = view{free: i % 8, cost: i * 7919 % 1009}
			}
			for range b.N {
				sorted := slices.Clone(views)
				slices.SortFunc(sorted, func(x, y view) int { return x.cost - y.cost })
				for i := range sorted {
					if sorted[i].free > 0 {
						sorted[i].free--
						break
					}
				}
			}
		})
	}
}
