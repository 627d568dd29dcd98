// Package admission implements the bounded task queue of an entry. Tasks are ordered by the latest
// start with which they can meet the target of their class. Capacity is divided between
// organisations by max-min fairness within their quotas. Under overload it sheds tasks that can no
// longer meet their target, and tasks of the organisation with the most queued tasks.
package admission

import "slices"

// FairLevel returns the max-min fair level for the demands under the capacity: each demand gets the
// smaller of itself and the level, which uses the whole capacity. The level is rounded up. It is
// negative if the capacity covers all demands.
func FairLevel(capacity int, demands []int) int {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	return sortedFairLevel(capacity, sorted)
}

// sortedFairLevel is FairLevel for sorted demands.
func sortedFairLevel(capacity int, sorted []int) int {
	remaining := capacity
	for i, demand := range sorted {
		unmet := len(sorted) - i
		if demand*unmet > remaining {
			return (remaining + unmet - 1) / unmet
		}
		remaining -= demand
	}
	return -1
}

// Allowance divides an organisation's quota between entries and returns the number of tasks that
// the entry at index self may run at once. Demands holds running plus queued tasks per entry,
// sorted by entry id. If all entries use the same demands, their allowances sum to the quota.
// Demands are met max-min fairly; the remainder is divided evenly as headroom for new arrivals.
func Allowance(quota int, demands []int, self int) int {
	sum := 0
	for _, demand := range demands {
		sum += demand
	}
	if sum <= quota {
		remaining := quota - sum
		return demands[self] + evenShare(remaining, len(demands), self)
	}
	fairLevel := FairLevel(quota, demands)
	// The level is rounded up. The last entries at the level get one less, so that the sum is the
	// quota.
	allocated, atLevel := 0, 0
	for _, demand := range demands {
		allocated += min(demand, fairLevel)
		if demand >= fairLevel {
			atLevel++
		}
	}
	surplus := allocated - quota
	allowance := min(demands[self], fairLevel)
	if demands[self] < fairLevel {
		return allowance
	}
	rank := 0
	for _, demand := range demands[:self] {
		if demand >= fairLevel {
			rank++
		}
	}
	if rank >= atLevel-surplus {
		allowance--
	}
	return allowance
}

// evenShare returns the part of total for index self of n.
func evenShare(total, n, self int) int {
	share := total / n
	if self < total%n {
		share++
	}
	return share
}
