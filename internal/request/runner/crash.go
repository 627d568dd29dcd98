package runner

import (
	"time"

	"pollenpaddle/internal/connection/wire"
)

// SuspectStartWindow is the time before a crash of the worker in which a run that may have caused it was started. Most
// tasks that crash their worker do so about 10 ms after their start.
const SuspectStartWindow = 100 * time.Millisecond

// noteResult records what the result of a call shows about the connections to the worker.
func (m *Machine) noteResult(now time.Duration, worker Worker, result CallResult) {
	w := &m.worker
	if !w.present || !sameIncarnation(w.id, worker) {
		return
	}
	switch result {
	case ConnectionRefused, NoResponse:
		if w.failingSince == 0 {
			w.failingSince = now
		}
		w.refusing = w.refusing || result == ConnectionRefused
	case NotSent, OtherWorker:
	default: // the worker has responded
		w.refusing, w.failingSince, w.crashChecked = false, 0, false
	}
}

// reportCrash reports a suspected crash of the worker to the owners of the runs that may have caused it, when
// connections are refused for the first time since the last response.
func (m *Machine) reportCrash() {
	w := &m.worker
	if !w.refusing || w.crashChecked {
		return
	}
	w.crashChecked = true
	suspects := m.crashSuspects()
	if len(suspects) == 0 {
		return
	}
	m.stats.Crashes++
	reports := map[EntryID]*wire.WorkerCrash{}
	for _, r := range suspects {
		report := reports[r.owner]
		if report == nil {
			report = &wire.WorkerCrash{}
			reports[r.owner] = report
		}
		report.Runs = append(report.Runs, r.id)
		report.Ages = append(report.Ages, w.failingSince-r.startedAt)
	}
	for _, o := range m.ownerList {
		if report := reports[o.id]; report != nil && o.connected && o.inventorySent {
			m.send(o.id, report)
		}
	}
}

// crashSuspects returns the runs that may have caused a crash at the time of the first failed call: those started
// within SuspectStartWindow before it, or else the one that was started last.
func (m *Machine) crashSuspects() []*record {
	crashedAt := m.worker.failingSince
	var recent []*record
	var last *record
	for _, r := range m.startedByArrival() {
		if r.startedAt > crashedAt {
			continue
		}
		if crashedAt-r.startedAt <= SuspectStartWindow {
			recent = append(recent, r)
		}
		if last == nil || r.startedAt >= last.startedAt {
			last = r
		}
	}
	if len(recent) == 0 && last != nil {
		return []*record{last}
	}
	return recent
}
