package scheduler

import (
	"maps"
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
)

// maxHostSuspension is the longest suspension of a host that is expected. While the host of an agent may be suspended, its
// runs may continue afterwards, however much time passes here.
const maxHostSuspension = 15 * time.Second

// unresolvedRuns knows the jobs with runs on hosts that may be suspended. The caller of such a job resubmits it to any
// entry, so the entries tell each other about them: none starts the job before the outcome of the run is known.
type unresolvedRuns struct {
	tasks map[*task]struct{} // with an active run at an agent that was silent since the order
	peers map[wire.Claimant]peerUnresolved
	sent  []string // jobs of tasks in the last report
}

// peerUnresolved is the last report of another entry.
type peerUnresolved struct {
	jobs   []string // sorted
	expiry time.Duration
}

func newUnresolvedRuns() unresolvedRuns {
	return unresolvedRuns{tasks: map[*task]struct{}{}, peers: map[wire.Claimant]peerUnresolved{}}
}

// errUnresolved is the error of a job that waited for the outcome of an earlier run until its caller's wait was over.
func errUnresolved() *failure.Error {
	return failure.New(failure.MayHaveRun, "resubmit the job", "an earlier run of the job may be in progress on a host that does not respond")
}

// silent reports whether nothing was received from the agent for silentAfter.
func (a *agent) silent(now time.Duration) bool { return now >= a.heardAt+silentAfter }

// shareUnresolved notes the runs at silent agents, and reports the jobs of these runs to the other entries when they have
// changed.
func (m *Machine) shareUnresolved(now time.Duration) {
	u := &m.unresolved
	for _, a := range m.sortedAgents {
		if len(a.tasks) > 0 && a.silent(now) {
			maps.Copy(u.tasks, a.tasks)
		}
	}
	if len(u.tasks) == 0 && len(u.sent) == 0 {
		return
	}
	jobs := make([]string, 0, len(u.tasks))
	for t := range u.tasks {
		jobs = append(jobs, t.job.submission.ID)
	}
	slices.Sort(jobs)
	jobs = slices.Compact(jobs)
	if !slices.Equal(jobs, u.sent) {
		u.sent = jobs
		m.emit(ShareUnresolved{Report: &wire.UnresolvedJobs{Jobs: jobs}})
	}
}

// recordUnresolved keeps the report of another entry. It expires unless it is replaced: the entry may end.
func (m *Machine) recordUnresolved(now time.Duration, e PeerUnresolved) {
	peers := m.unresolved.peers
	maps.DeleteFunc(peers, func(entry wire.Claimant, p peerUnresolved) bool { return entry == e.Entry || now >= p.expiry })
	if len(e.Report.Jobs) > 0 {
		jobs := slices.Sorted(slices.Values(e.Report.Jobs))
		peers[e.Entry] = peerUnresolved{jobs: jobs, expiry: now + maxHostSuspension + lossTimeout}
	}
}

// unresolvedElsewhere reports whether a run of the job that another entry has ordered may be in progress.
func (m *Machine) unresolvedElsewhere(now time.Duration, job string) bool {
	for _, p := range m.unresolved.peers {
		if _, found := slices.BinarySearch(p.jobs, job); found && now < p.expiry {
			return true
		}
	}
	return false
}
