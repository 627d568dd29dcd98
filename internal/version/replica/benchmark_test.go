package replica_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// BenchmarkPropose measures changes of 200 bytes with real disk syncs and all members in one process.
// It reports the bytes exchanged between members and the CPU time of the whole process per change.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("members=%d/callers=%d", size, callers), func(b *testing.B) { benchmark(b, size, callers) })
		}
	}
}

func benchmark(b *testing.B, size, callers int) {
	c := newCluster(b.TempDir(), size)
	c.snapshotEvery, c.discardCommands = 1000, true
	leader, others := awaitVoters(c.startAll())
	bytes, processor := c.resourceUsage()
	b.ResetTimer()
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			for n := caller; n < b.N; n += callers {
				must(leader.Propose(context.Background(), make([]byte, 200)))
			}
			return nil
		})
	}
	_ = group.Wait()
	b.StopTimer()
	bytesAfter, processorAfter := c.resourceUsage()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	b.ReportMetric(float64(bytesAfter-bytes)/float64(b.N), "wire-B/change")
	b.ReportMetric(float64((processorAfter-processor).Microseconds())/float64(b.N), "cpu-µs/change")
	c.stop(append(others, leader)...)
}

// resourceUsage returns the bytes exchanged and the CPU time used so far.
func (c *cluster) resourceUsage() (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return c.bytes, time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
