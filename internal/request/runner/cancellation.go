package runner

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/cancellation"
)

// cancelJob stops the runs of a job and refuses later ones. The entry that ordered them may be stalled or cut off from
// the entry that reports the cancellation.
func (m *Machine) cancelJob(now time.Duration, job string) {
	m.cancellations.Keep(now, cancellation.Digest(job), cancellation.Retention)
	m.cancelRuns(now, func(id run.ID) bool { return id.Task.Job == job })
}

func (m *Machine) cancelJobs(now time.Duration, message *wire.CancellationRecords) {
	if m.cancellations.KeepAll(now, message) {
		m.cancelRuns(now, func(id run.ID) bool { return m.isCancelled(now, id.Task.Job) })
	}
}

func (m *Machine) isCancelled(now time.Duration, job string) bool {
	return m.cancellations.Len() > 0 && m.cancellations.Contains(now, cancellation.Digest(job))
}

func (m *Machine) cancelRuns(now time.Duration, selected func(run.ID) bool) {
	for i := 0; i < len(m.queue); {
		if r := m.queue[i]; selected(r.id) {
			m.endRun(now, r, run.Stopped, run.Cancelled) // removes it from the queue
			continue
		}
		i++
	}
	for _, r := range m.startedByArrival() {
		if selected(r.id) {
			m.cancel(now, r)
		}
	}
}
