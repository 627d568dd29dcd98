package runner

import "time"

const (
	// demandWindow is the interval over which the orders of the entries are counted. At half of the usual load an entry
	// orders some ten runs a second from each of its agents.
	demandWindow = 500 * time.Millisecond
	// maxWaitingRuns bounds the runs of one priority that one entry may have waiting.
	maxWaitingRuns = 4
)

// demand determines how many runs of one priority each entry may have waiting for capacity: one on average, in
// proportion to the runs that it has ordered. With one for each entry, callers of an entry with most of the jobs are
// served worse in a burst than those of the others, because all entries get the same part of the freed capacity.
type demand struct {
	windowEnd time.Duration
}

// record counts the runs that an entry orders. At the end of a window, it sets the limits of all entries.
func (d *demand) record(now time.Duration, owners []*owner, from *owner, runs int) {
	if now >= d.windowEnd {
		setWaitingLimits(owners)
		d.windowEnd = now + demandWindow
	}
	from.ordered += runs
}

// setWaitingLimits sets the limits by the runs ordered since the last call.
func setWaitingLimits(owners []*owner) {
	total, active := 0, 0
	for _, o := range owners {
		if o.ordered > 0 {
			total += o.ordered
			active++
		}
	}
	for _, o := range owners {
		o.waitingLimit = 1
		if total > 0 {
			o.waitingLimit = max(1, min(maxWaitingRuns, (2*o.ordered*active+total)/(2*total))) // rounded
		}
		o.ordered = 0
	}
}
