package control

import (
	"github.com/prometheus/client_golang/prometheus"
)

// register adds the metrics of the control role to the registry of the process.
func (s *Server) register(registry prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "pollenpaddle", Subsystem: "control", Name: name, Help: help}, value)
	}
	sessions := func(role string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "pollenpaddle", Subsystem: "control", Name: "sessions", Help: "Sessions that other processes opened.",
			ConstLabels: prometheus.Labels{"role": role},
		}, value)
	}
	registry.MustRegister(
		gauge("revision", "Newest revision of the configuration that this member has applied.", func() float64 {
			return float64(s.store.State().Revision)
		}),
		gauge("basis_age_seconds", "Age of the lease basis; -1 while there is none.", func() float64 {
			basis, held := s.replica.Basis()
			if !held {
				return -1
			}
			return basis.Age.Seconds()
		}),
		gauge("leader", "1 if this member leads the group.", func() float64 {
			if s.replica.Status().Role == "leader" {
				return 1
			}
			return 0
		}),
		gauge("storage_failing", "1 if the last write to the data folder failed and is being retried, as on a full disk.", func() float64 {
			if s.replica.Status().Storage != "" {
				return 1
			}
			return 0
		}),
		sessions("entry", func() float64 { return float64(s.counts.entries.Load()) }),
		sessions("agent", func() float64 { return float64(s.counts.agents.Load()) }),
		sessions("control", func() float64 { return float64(s.counts.members.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "pollenpaddle", Subsystem: "control", Name: "changes_total",
			Help: "Revisions of the configuration that this member has applied since its start.",
		}, func() float64 { return float64(s.store.changes.Load()) }),
	)
}
