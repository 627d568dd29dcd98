package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/request/admission"
)

const (
	// usageInterval is the time between usage reports to other entries.
	usageInterval = time.Second
	// usageTTL is how long a usage report of another entry is valid.
	usageTTL = 3 * time.Second
)

// usage holds the usage reports of all entries, by which they divide the quotas of organisations.
type usage struct {
	next       time.Duration
	lastReport *wire.UsageReport // last report of this entry; nil before the first
	peers      []peer            // sorted by entry id
}

type peer struct {
	entry      string
	receivedAt time.Duration
	report     *wire.UsageReport
}

func (m *Machine) handlePeerUsage(now time.Duration, e PeerUsage) {
	i, found := slices.BinarySearchFunc(m.usage.peers, e.Entry, func(p peer, id string) int { return strings.Compare(p.entry, id) })
	if !found {
		m.usage.peers = slices.Insert(m.usage.peers, i, peer{entry: e.Entry})
	}
	m.usage.peers[i] = peer{entry: e.Entry, receivedAt: now, report: e.Report}
	for _, o := range m.queue.Organisations() {
		m.updateAllowance(now, o)
	}
}

// usageActive reports whether usage reports are sent: there are other entries, and an organisation
// has tasks now or had some in the last report.
func (m *Machine) usageActive() bool {
	if m.catalog == nil || len(m.catalog.Entries) < 2 {
		return false
	}
	return m.queue.Queued()+m.queue.Running() > 0 || m.usage.lastReport != nil && len(m.usage.lastReport.Organisations) > 0
}

func (m *Machine) usageDue(now time.Duration) bool { return now >= m.usage.next && m.usageActive() }

func (m *Machine) reportUsage(now time.Duration) {
	m.usage.next = now + usageInterval
	report := &wire.UsageReport{}
	for _, o := range m.queue.Organisations() {
		if o.Running()+o.Queued() > 0 {
			report.Organisations = append(report.Organisations, wire.OrganisationUsage{Name: o.Name, Running: o.Running(), Queued: o.Queued()})
		}
	}
	slices.SortFunc(report.Organisations, func(a, b wire.OrganisationUsage) int { return cmp.Compare(a.Name, b.Name) })
	m.usage.lastReport = report
	m.emit(ReportUsage{Report: report})
	m.usage.peers = slices.DeleteFunc(m.usage.peers, func(p peer) bool { return now-p.receivedAt > usageTTL })
	for _, o := range m.queue.Organisations() {
		m.updateAllowance(now, o)
	}
}

// organisation returns the organisation's state in the queue. It adds a new organisation and computes
// its allowance.
func (m *Machine) organisation(now time.Duration, name string) *admission.Organisation {
	before := len(m.queue.Organisations())
	o := m.queue.Organisation(name)
	if len(m.queue.Organisations()) != before {
		m.updateAllowance(now, o)
	}
	return o
}

// updateAllowance computes the number of tasks that the organisation's quota allows to run at this
// entry. All entries divide the quota by the latest reports, which are sent every usageInterval, including
// their own last report instead of current values, so that the allowances sum to the quota. The
// allowance is reduced while peers still run more than theirs.
func (m *Machine) updateAllowance(now time.Duration, o *admission.Organisation) {
	quota := 0
	if m.catalog != nil {
		configured, _ := m.catalog.Organisation(o.Name)
		quota = configured.Slots
	}
	if quota <= 0 {
		m.queue.SetAllowance(o, -1)
		return
	}
	if len(m.catalog.Entries) < 2 {
		m.queue.SetAllowance(o, quota)
		return
	}
	demands, self, peersRunning := m.entryDemands(now, o.Name)
	allowance := min(admission.Allowance(quota, demands, self), max(0, quota-peersRunning))
	m.queue.SetAllowance(o, allowance)
}

// entryDemands returns the reported demand of an organisation per configured entry, ordered by
// entry id, the index of this entry, and the number of tasks that run at peers.
func (m *Machine) entryDemands(now time.Duration, name string) (demands []int, self, peersRunning int) {
	found := false
	add := func(id string, report *wire.UsageReport) {
		used := findUsage(report, name)
		if id == m.config.Entry {
			self, found = len(demands), true
		} else {
			peersRunning += used.Running
		}
		demands = append(demands, used.Running+used.Queued)
	}
	for _, e := range m.catalog.Entries {
		var report *wire.UsageReport
		if e.ID == m.config.Entry {
			report = m.usage.lastReport
		} else if i, ok := slices.BinarySearchFunc(m.usage.peers, e.ID, func(p peer, id string) int { return strings.Compare(p.entry, id) }); ok && now-m.usage.peers[i].receivedAt <= usageTTL {
			report = m.usage.peers[i].report
		}
		add(e.ID, report)
	}
	if !found {
		add(m.config.Entry, m.usage.lastReport)
	}
	return demands, self, peersRunning
}

func findUsage(report *wire.UsageReport, name string) wire.OrganisationUsage {
	if report == nil {
		return wire.OrganisationUsage{}
	}
	i, ok := slices.BinarySearchFunc(report.Organisations, name, func(u wire.OrganisationUsage, name string) int { return strings.Compare(u.Name, name) })
	if !ok {
		return wire.OrganisationUsage{}
	}
	return report.Organisations[i]
}
