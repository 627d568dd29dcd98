package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/startgate"
)

// inspectTimeout bounds how long a state dump or a metrics request waits for the event loop.
const inspectTimeout = time.Second

// DumpState is the role's part of the state dump.
type DumpState struct {
	Machine      startgate.Dump // state of the start gate
	Runner       runner.Dump
	Upstream     *UpstreamBody // latest announcement, also if it has expired; nil if there is none or it was withdrawn
	Sessions     []SessionDump // in the order of Machine.Entries
	QueuedEvents int
	Ready        string // empty if the role is ready
}

// SessionDump describes one session with an entry.
type SessionDump struct {
	Entry         startgate.EntryID
	Address       string
	BytesReceived uint64
	BytesSent     uint64
	Queued        int // outgoing messages
}

// Dump implements daemon.Role.
func (a *Agent) Dump() any {
	d := &DumpState{QueuedEvents: a.loop.Len()}
	if err := a.Ready(); err != nil {
		d.Ready = err.Error()
	}
	a.announcement.mu.Lock()
	d.Upstream = a.announcement.body
	a.announcement.mu.Unlock()
	filled := make(chan *DumpState, 1)
	a.inspect(func() {
		full := *d
		full.Machine = a.startGate.Dump()
		full.Runner = a.runner.Dump(clock.SinceBoot())
		for _, e := range full.Machine.Entries {
			if s := a.sessions[e.Entry]; s != nil {
				received, sent := s.Bytes()
				full.Sessions = append(full.Sessions, SessionDump{
					Entry: e.Entry, Address: s.DialedAddress(), BytesReceived: received, BytesSent: sent, Queued: s.Queued(),
				})
			}
		}
		filled <- &full
	})
	select {
	case full := <-filled:
		return full
	default:
		return d // the event loop did not respond in time
	}
}

// collector exports the counters and gauges of the start gate and the runner.
type collector struct{ agent *Agent }

type metric struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
	value       func(g *startgate.Gauges, s *startgate.Stats) float64
}

func describe(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("pollenpaddle_agent_"+name, help, nil, nil)
}

func gauge(name, help string, value func(g *startgate.Gauges) int) metric {
	return metric{describe(name, help), prometheus.GaugeValue, func(g *startgate.Gauges, _ *startgate.Stats) float64 { return float64(value(g)) }}
}

func counter(name, help string, value func(s *startgate.Stats) uint64) metric {
	return metric{describe(name, help), prometheus.CounterValue, func(_ *startgate.Gauges, s *startgate.Stats) float64 { return float64(value(s)) }}
}

var metrics = []metric{
	gauge("slots", "Slots of the announced upstream.", func(g *startgate.Gauges) int { return g.Slots }),
	gauge("running", "Calls to the upstream in flight.", func(g *startgate.Gauges) int { return g.Running }),
	gauge("waiting", "Starts that wait for a slot or for resources.", func(g *startgate.Gauges) int { return g.Waiting }),
	gauge("probes", "Probes of entries that wait for a slot.", func(g *startgate.Gauges) int { return g.Probes }),
	gauge("offers", "Offers that their entries have not used.", func(g *startgate.Gauges) int { return g.Offers }),
	gauge("entries", "Entries with a session.", func(g *startgate.Gauges) int { return g.Entries }),
	gauge("records", "Starts whose outcome is remembered.", func(g *startgate.Gauges) int { return g.Records }),
	gauge("unacknowledged_results", "Results that no entry has acknowledged.", func(g *startgate.Gauges) int { return g.Unacked }),
	gauge("unacknowledged_bytes", "Size of these results.", func(g *startgate.Gauges) int { return g.ResultBytes }),
	counter("calls_total", "Starts handed to the upstream.", func(s *startgate.Stats) uint64 { return s.Calls }),
	counter("finished_total", "Calls with a result.", func(s *startgate.Stats) uint64 { return s.Finished }),
	counter("refused_total", "Starts refused.", func(s *startgate.Stats) uint64 { return s.Refused }),
	counter("refused_busy_total", "Starts refused for lack of a slot.", func(s *startgate.Stats) uint64 { return s.RefusedBusy }),
	counter("repeated_total", "Copies of a known start.", func(s *startgate.Stats) uint64 { return s.Repeated }),
	counter("unanswerable_total", "Starts not run for lack of room to record a refusal.", func(s *startgate.Stats) uint64 { return s.Unanswerable }),
	counter("results_dropped_total", "Results that no entry acknowledged in time.", func(s *startgate.Stats) uint64 { return s.ResultsDropped }),
	counter("offers_total", "Offers made.", func(s *startgate.Stats) uint64 { return s.Offers }),
	counter("declined_total", "Offers returned unused.", func(s *startgate.Stats) uint64 { return s.Declined }),
	counter("recalls_total", "Recall messages sent.", func(s *startgate.Stats) uint64 { return s.Recalls }),
	counter("recalls_overdue_total", "Recalls that the entry did not answer.", func(s *startgate.Stats) uint64 { return s.RecallsOverdue }),
}

var (
	runsWaiting       = describe("runs_waiting", "Runs of restartable jobs that wait for room.")
	workerConnections = describe("worker_connections_opened_total", "Connections opened to the worker.")
	runsStarted       = describe("runs_under_way", "Runs that are starting, running or stopping.")
)

// runMetrics are the counters of the runs of restartable jobs.
var runMetrics = []struct {
	description *prometheus.Desc
	value       func(s *runner.Stats) uint64
}{
	{describe("run_starts_total", "Start calls to the worker."), func(s *runner.Stats) uint64 { return s.Starts }},
	{describe("run_starts_unanswered_total", "Start calls without an answer."), func(s *runner.Stats) uint64 { return s.Unanswered }},
	{describe("run_starts_repeated_total", "Start calls sent again because an earlier one was not answered."), func(s *runner.Stats) uint64 { return s.StartsRepeated }},
	{describe("run_stops_total", "Stop calls to the worker."), func(s *runner.Stats) uint64 { return s.Stops }},
	{describe("run_renewals_total", "Renewals of the worker's lease."), func(s *runner.Stats) uint64 { return s.Renewals }},
	// RenewalsFailed also counts renewals that were refused or not sent.
	{describe("run_renewals_failed_total", "Renewals without an answer."), func(s *runner.Stats) uint64 { return s.RenewalsFailed }},
	{describe("run_tokens_raised_total", "Fencing tokens raised after a refusal."), func(s *runner.Stats) uint64 { return s.TokensRaised }},
	// Strangers counts runs without a record, which this process may have ordered; see runner.Stats.
	{describe("run_strangers_total", "Sightings of runs that were not ordered from this process."), func(s *runner.Stats) uint64 { return s.Strangers }},
	{describe("runs_done_total", "Runs that ended well."), func(s *runner.Stats) uint64 { return s.Done }},
	{describe("runs_failed_total", "Runs that failed."), func(s *runner.Stats) uint64 { return s.Failed }},
	{describe("runs_stopped_total", "Runs stopped on request."), func(s *runner.Stats) uint64 { return s.Stopped }},
	{describe("runs_lost_total", "Runs that ended without a result."), func(s *runner.Stats) uint64 { return s.Lost }},
	{describe("worker_crashes_total", "Suspected crashes of the worker while it executed runs."), func(s *runner.Stats) uint64 { return s.Crashes }},
	{describe("runs_refused_total", "Runs refused."), func(s *runner.Stats) uint64 { return s.Refused }},
}

// connectionCounter is implemented by a Worker that counts its connections.
type connectionCounter interface{ ConnectionsOpened() uint64 }

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- workerConnections
	descriptions <- runsWaiting
	descriptions <- runsStarted
	for _, m := range runMetrics {
		descriptions <- m.description
	}
	for _, m := range metrics {
		descriptions <- m.description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(values chan<- prometheus.Metric) {
	type sample struct {
		gauges           startgate.Gauges
		stats            startgate.Stats
		runs             runner.Stats
		waiting, started int
	}
	read := make(chan sample, 1)
	if !c.agent.inspect(func() {
		r := sample{gauges: c.agent.startGate.Gauges(), stats: c.agent.startGate.Stats(), runs: c.agent.runner.Stats()}
		r.waiting, r.started = c.agent.runner.Gauges()
		read <- r
	}) {
		return
	}
	r := <-read
	if counter, ok := c.agent.config.Worker.(connectionCounter); ok {
		values <- prometheus.MustNewConstMetric(workerConnections, prometheus.CounterValue, float64(counter.ConnectionsOpened()))
	}
	values <- prometheus.MustNewConstMetric(runsWaiting, prometheus.GaugeValue, float64(r.waiting))
	values <- prometheus.MustNewConstMetric(runsStarted, prometheus.GaugeValue, float64(r.started))
	for _, m := range runMetrics {
		values <- prometheus.MustNewConstMetric(m.description, prometheus.CounterValue, float64(m.value(&r.runs)))
	}
	for _, m := range metrics {
		values <- prometheus.MustNewConstMetric(m.description, m.kind, m.value(&r.gauges, &r.stats))
	}
}
