package entry

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/request/cancellation"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/request/jobcheck"
	"pollenpaddle/internal/request/scheduler"
	"pollenpaddle/internal/request/tracker"
)

// Snapshot is a copy of the entry's state for dumps and metrics.
type Snapshot struct {
	QueuedEvents  int
	Draining      bool
	Revision      uint64
	Jobs          tracker.Stats
	Waiters       int
	PendingClaims int
	RemoteQueries int
	LookUps       int
	Registrar     claim.RegistrarStats
	Entries       []string // entries with an open session
	Dispatch      dispatch.Dump
	Restartable   scheduler.Dump
	Cancellations cancellation.Stats
	// CancelledSubmissions counts the submissions that were answered as cancelled.
	CancelledSubmissions uint64
	JobChecks            jobcheck.Stats
}

func (e *Entry) snapshot() *Snapshot {
	s := &Snapshot{
		QueuedEvents: e.loop.Len(), Draining: e.status.draining.Load(), Jobs: e.tracker.Stats(), Waiters: len(e.waiters),
		PendingClaims: e.claimant.Pending(), RemoteQueries: len(e.remote.byID), LookUps: len(e.ownerLookups),
		Registrar: e.registrar.Stats(), Dispatch: e.dispatcher.Dump(),
		Restartable:   e.restartable.scheduler.Dump(clock.SinceBoot()),
		Cancellations: e.restartable.cancellations.machine.Stats(), CancelledSubmissions: e.restartable.cancellations.answered,
		JobChecks: e.restartable.checks.machine.Stats(),
	}
	if e.catalog != nil {
		s.Revision = e.catalog.Revision
	}
	for peer := range e.peers {
		s.Entries = append(s.Entries, peer.EntryID)
	}
	slices.Sort(s.Entries)
	return s
}

// requestSnapshot returns a copy of the loop's state, or nil if the loop does not respond within
// snapshotTimeout.
func (e *Entry) requestSnapshot() *Snapshot {
	snapshots := make(chan *Snapshot, 1)
	if !e.loop.TryPost(snapshotRequested{snapshots}) {
		return nil
	}
	timer := time.NewTimer(snapshotTimeout)
	defer timer.Stop()
	select {
	case s := <-snapshots:
		return s
	case <-timer.C:
	case <-e.stopped:
	}
	return nil
}

// Dump implements daemon.Role.
func (e *Entry) Dump() any {
	if s := e.requestSnapshot(); s != nil {
		return s
	}
	return map[string]any{"QueuedEvents": e.loop.Len(), "Problem": "the event loop did not respond in time"}
}

// metrics holds the entry's counters and histograms. Current values and the counters of the state
// machines are read from a snapshot at each scrape.
type metrics struct {
	entry              *Entry
	submissions        *prometheus.CounterVec // by outcome
	tasks              *prometheus.CounterVec // by final state
	claimTime          prometheus.Histogram
	responseTime       *prometheus.HistogramVec // by class
	restartableJobs    *prometheus.CounterVec   // by verdict
	restartableJobTime prometheus.Histogram     // of completed jobs
	refusals           *prometheus.CounterVec   // of restartable jobs, by rule
	descriptions       map[string]*prometheus.Desc
}

const namespace = "pollenpaddle_entry_"

func newMetrics(e *Entry) *metrics {
	m := &metrics{
		entry: e,
		submissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: namespace + "submissions_total", Help: "Submissions by outcome: accepted, resubmitted or the kind of the refusal.",
		}, []string{"outcome"}),
		tasks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: namespace + "tasks_total", Help: "Tasks by final state.",
		}, []string{"state"}),
		claimTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: namespace + "claim_seconds", Help: "Time from a submission to the grant of its id.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 15),
		}),
		responseTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: namespace + "response_seconds", Help: "Time from a submission to the end of its job, by class.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.5, 20),
		}, []string{"class"}),
		restartableJobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: namespace + "restartable_jobs_total", Help: "Restartable jobs by verdict.",
		}, []string{"verdict"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: namespace + "restartable_jobs_refused_total", Help: "Restartable jobs with the verdict rejected, by the rule that chose them.",
		}, []string{"rule"}),
		restartableJobTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: namespace + "restartable_job_seconds", Help: "Time from the arrival of a restartable job to its completion.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.5, 18),
		}),
		descriptions: map[string]*prometheus.Desc{},
	}
	for _, v := range snapshotMetrics {
		m.descriptions[v.name] = prometheus.NewDesc(namespace+v.name, v.help, nil, nil)
	}
	if e.config.Registerer != nil {
		e.config.Registerer.MustRegister(m, m.submissions, m.tasks, m.claimTime, m.responseTime, m.restartableJobs, m.restartableJobTime, m.refusals)
	}
	return m
}

// snapshotMetrics are the metrics that are read from a snapshot.
var snapshotMetrics = []struct {
	name, help string
	kind       prometheus.ValueType
	read       func(s *Snapshot) float64
}{
	{"queued_events", "Events that wait for the event loop.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.QueuedEvents) }},
	{"jobs_claiming", "Jobs whose id is being claimed.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Jobs.Claiming) }},
	{"jobs_running", "Jobs with open tasks.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Jobs.Running) }},
	{"jobs_kept", "Finished jobs whose results are kept.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Jobs.Complete + s.Jobs.Failed) }},
	{"result_bytes", "Size of the results that are kept.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Jobs.FinishedBytes) }},
	{"waiters", "Callers and entries that wait for a job.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Waiters) }},
	{"claims_held", "Ids granted by this registrar.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Registrar.Records) }},
	{"claims_granted_total", "Claims granted by this registrar.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Registrar.Granted) }},
	{"claims_refused_total", "Claims refused by this registrar.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Registrar.Refused) }},
	{"tasks_queued", "Tasks that wait for a slot.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Dispatch.Stats.Queued) }},
	{"tasks_running", "Starts without a known outcome.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Dispatch.Stats.Running) }},
	{"agents", "Agents that take starts.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Dispatch.Stats.Agents) }},
	{"starts_total", "Start messages sent.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Dispatch.Stats.Starts) }},
	{"retries_total", "Start messages that repeat a request.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Dispatch.Stats.Retries) }},
	{"wasted_messages_total", "Messages that led to no start.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Dispatch.Stats.Wasted) }},
	{"probations_total", "Times that an agent was put on probation.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Dispatch.Stats.Probations) }},
	{"restartable_jobs", "Restartable jobs without a verdict.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Restartable.Jobs) }},
	{"restartable_jobs_waiting", "Restartable jobs with tasks that wait for room.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Restartable.Waiting) }},
	{"runs_ordered_total", "Runs of restartable jobs that were ordered.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Restartable.Stats.Orders) }},
	{"runs_failed_total", "Runs that ended with a failure.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Restartable.Stats.RunsFailed) }},
	{"runs_lost_total", "Runs that were lost or stopped.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Restartable.Stats.Lost) }},
	{"runs_refused_total", "Runs that agents refused.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Restartable.Stats.Refusals) }},
	{"stragglers_total", "Runs stopped because they took far too long.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Restartable.Stats.Stragglers) }},
	{"task_crashes_total", "Worker crashes under tasks of restartable jobs of all entries, once for each task.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Restartable.Stats.TaskCrashes) }},
	{"jobs_given_up_total", "Restartable jobs that were given up because workers crashed under one of their tasks.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Restartable.Stats.GivenUp) }},
	{"confinements_total", "Times that a queue was confined to some agents because its tasks crash workers.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Restartable.Stats.Confinements) }},
	{"queues_confined", "Queues that are confined to some agents.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(len(s.Restartable.ConfinedQueues)) }},
	{"cancellations", "Cancellations of restartable jobs that are kept.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(s.Cancellations.Kept) }},
	{"cancellations_acknowledged_total", "Requests to cancel a restartable job that were acknowledged.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Cancellations.Acknowledged) }},
	{"cancellations_unconfirmed_total", "Acknowledged cancellations that some listed entry had not confirmed, so agents were told.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Cancellations.Unconfirmed) }},
	{"cancellations_refused_total", "Requests to cancel a restartable job that were not acknowledged.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Cancellations.Refused) }},
	{"cancelled_submissions_total", "Submissions of restartable jobs that were answered as cancelled.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.CancelledSubmissions) }},
	{"cancellation_questions_total", "Times that the entry asked the others for cancellations, after a start or a gap.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.Cancellations.Questions) }},
	{"job_checks_total", "Submissions that may have been delayed, for which the entry asked the others whether they have the job.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.JobChecks.Checks) }},
	{"job_recalls_total", "Submissions for which the entry asked another one to give the job up.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.JobChecks.Recalls) }},
	{"job_checks_refused_total", "Submissions that were not started after a check or recall.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.JobChecks.Refused) }},
	{"jobs_left_to_others_total", "Jobs that were started after a check and given up for another entry.", prometheus.CounterValue, func(s *Snapshot) float64 { return float64(s.JobChecks.GivenUp) }},
	{"entries", "Entries with an open session.", prometheus.GaugeValue, func(s *Snapshot) float64 { return float64(len(s.Entries)) }},
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(out chan<- *prometheus.Desc) {
	for _, v := range snapshotMetrics {
		out <- m.descriptions[v.name]
	}
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	s := m.entry.requestSnapshot()
	if s == nil {
		return
	}
	for _, v := range snapshotMetrics {
		out <- prometheus.MustNewConstMetric(m.descriptions[v.name], v.kind, v.read(s))
	}
}
