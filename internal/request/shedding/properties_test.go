package shedding_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/request/shedding"
)

const now = time.Hour

func drawJob(t *rapid.T, sequence uint64) shedding.Job {
	milliseconds := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	arrived := now - milliseconds(0, 500, "age")
	return shedding.Job{
		Priority: rapid.IntRange(-1, 12).Draw(t, "priority"), Standing: rapid.Float64Range(0.1, 32).Draw(t, "standing"),
		Arrived: arrived, Objective: milliseconds(60, 2000, "objective"), LatestStart: arrived + milliseconds(10, 1000, "spare"),
		Work: milliseconds(1, 20000, "work"), Started: rapid.Bool().Draw(t, "started"), Sequence: sequence,
	}
}

func drawWaiting(t *rapid.T) []shedding.Job {
	waiting := make([]shedding.Job, rapid.IntRange(0, 30).Draw(t, "waiting"))
	for i := range waiting {
		waiting[i] = drawJob(t, uint64(i+1))
	}
	slices.SortFunc(waiting, func(a, b shedding.Job) int { return shedding.Compare(now, &a, &b) })
	return waiting
}

// TestUrgencyIsNoDisadvantage guards against a job that is refused, or starts later, because its operator or caller has
// stated a more urgent priority.
func TestUrgencyIsNoDisadvantage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waiting, rate := drawWaiting(t), rapid.Float64Range(1, 500).Draw(t, "rate")
		less := drawJob(t, 99)
		less.Started = false
		more := less
		more.Priority -= rapid.IntRange(1, 5).Draw(t, "steps")
		d, e := shedding.Decide(now, less, waiting, rate), shedding.Decide(now, more, waiting, rate)
		if d.Rule == shedding.Admitted && e.Rule != shedding.Admitted {
			t.Fatalf("admitted with priority %d, refused with %d: %v", less.Priority, more.Priority, e.Rule)
		}
		less.Priority, more.Priority = d.Priority, e.Priority
		if d.Rule == shedding.Admitted && shedding.Compare(now, &more, &less) > 0 {
			t.Fatalf("starts later with the more urgent priority")
		}
		if d.Rule == e.Rule && e.Rule == shedding.Admitted && e.Wait > d.Wait {
			t.Fatalf("waits %s instead of %s", e.Wait, d.Wait)
		}
	})
}

// TestOrderIsTotal guards against an order that depends on the order of arrival at the sort, on names or on the entry:
// a cycle or a tie between different jobs would make it do so.
func TestOrderIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawJob(t, 1), drawJob(t, 2), drawJob(t, 3)
		at := now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "later"))*time.Millisecond
		compare := func(x, y *shedding.Job) int { return shedding.Compare(at, x, y) }
		if compare(&a, &b) != -compare(&b, &a) || compare(&a, &b) == 0 {
			t.Fatalf("compare %d and %d", compare(&a, &b), compare(&b, &a))
		}
		if compare(&a, &b) < 0 && compare(&b, &c) < 0 && compare(&a, &c) >= 0 {
			t.Fatal("not transitive")
		}
		// An entry whose clock shows another time gives the jobs the same order.
		shift := time.Duration(rapid.IntRange(0, 10_000_000).Draw(t, "shift")) * time.Millisecond
		x, y := a, b
		for _, j := range []*shedding.Job{&x, &y} {
			j.Arrived, j.LatestStart = j.Arrived+shift, j.LatestStart+shift
		}
		if shedding.Compare(at+shift, &x, &y) != compare(&a, &b) {
			t.Fatal("the order depends on the clock of the entry")
		}
	})
}

// TestGroupsChangeWhenAnnounced guards against a stale order of a caller that sorts again only at NextChange.
func TestGroupsChangeWhenAnnounced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t, 1)
		at := now + time.Duration(rapid.IntRange(0, 7000).Draw(t, "from"))*time.Millisecond
		change, changes := j.NextChange(at)
		if changes && (change <= at || j.Rank(change).Group <= j.Rank(at).Group) {
			t.Fatalf("%v at %s, %v at the announced %s", j.Rank(at).Group, at, j.Rank(change).Group, change)
		}
		later := at + time.Duration(rapid.IntRange(0, 7000).Draw(t, "later"))*time.Millisecond
		if changes && later >= change {
			later = change - 1
		}
		if j.Rank(later) != j.Rank(at) {
			t.Fatalf("%v at %s, %v at %s", j.Rank(at), at, j.Rank(later), later)
		}
	})
}

// TestIdleCapacityRefusesNobody guards against a refusal while capacity is not known to be too small, also of a job that
// can no longer meet its objective.
func TestIdleCapacityRefusesNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t, 99)
		if d := shedding.Decide(now, j, drawWaiting(t), 0); d.Rule != shedding.Admitted {
			t.Fatalf("refused without overload: %v", d.Rule)
		}
		if d := shedding.Decide(now, j, nil, 1); d.Rule != shedding.Admitted {
			t.Fatalf("refused without a waiting job: %v", d.Rule)
		}
	})
}

// TestDecisionExplainsItself guards against a refusal without a delay for the return and against one that spares no job.
func TestDecisionExplainsItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waiting, rate := drawWaiting(t), rapid.Float64Range(1, 500).Draw(t, "rate")
		j := drawJob(t, 99)
		d := shedding.Decide(now, j, waiting, rate)
		if d.Rule == shedding.Admitted {
			return
		}
		if d.RetryAfter < shedding.MinRetryAfter {
			t.Fatalf("refused with the delay %s", d.RetryAfter)
		}
		costlier := func(w shedding.Job) bool { return w.CostRate(now) >= j.CostRate(now) }
		if d.Rule == shedding.Displaces && !slices.ContainsFunc(waiting, costlier) {
			t.Fatal("refused for jobs that cost less")
		}
	})
}
