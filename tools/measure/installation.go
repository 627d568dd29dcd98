package main

import (
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"pollenpaddle/tools/measure/cluster"
	"pollenpaddle/tools/measure/load"
	"pollenpaddle/tools/measure/profile"
	"pollenpaddle/tools/measure/report"
)

// installation is a running cluster with its stand-in upstreams, for one variant of an experiment.
type installation struct {
	*cluster.Cluster
	name      string
	profile   *profile.Profile
	instances *cluster.Instances
}

// install starts the upstreams and daemons of one variant. An empty policy selects the default.
func (s *suite) install(p *profile.Profile, name, binary, policy string) (*installation, error) {
	instances, err := cluster.StartInstances(p)
	if err != nil {
		return nil, err
	}
	running, err := cluster.Start(cluster.Options{
		Binary: binary, Folder: filepath.Join(s.output, "run", p.Name+"-"+name), Profile: p, Policy: policy,
		Upstreams: instances.Addresses(), Link: instances.Link,
	})
	if err != nil {
		instances.Close()
		return nil, errors.Wrapf(err, "variant %s", name)
	}
	return &installation{Cluster: running, name: name, profile: p, instances: instances}, nil
}

// close stops the daemons and then the upstreams.
func (i *installation) close() error {
	err := i.Cluster.Stop()
	i.instances.Close()
	return err
}

// runLoad submits the arrivals and returns a summary of their outcomes. It calls onStart before the
// first arrival and, after the run, onOutcome for each outcome; both may be nil.
func (i *installation) runLoad(arrivals []profile.Arrival, onStart func(), onOutcome func(load.Outcome)) *report.Summary {
	summary := report.NewSummary()
	outcomes := make(chan load.Outcome, len(arrivals))
	driver := &load.Driver{Entries: i.EntryAddresses(), Ideal: i.instances, Record: func(o load.Outcome) { outcomes <- o }}
	if onStart != nil {
		onStart()
	}
	driver.Run(contextWithLimit(arrivals), arrivals)
	close(outcomes)
	for o := range outcomes {
		summary.Add(o)
		if onOutcome != nil {
			onOutcome(o)
		}
	}
	return summary
}

// wastedMessages returns the number of messages so far that led to no start.
func (i *installation) wastedMessages() (float64, error) {
	counters, err := cluster.Counters(i.Entries, "pollenpaddle_entry_wasted_messages_total")
	total := 0.0
	for _, value := range counters {
		total += value
	}
	return total, err
}

// processorTime returns the processor time that the processes have used so far.
func processorTime(processes []*cluster.Process) time.Duration {
	total := time.Duration(0)
	for _, p := range processes {
		total += p.ProcessorTime()
	}
	return total
}

// maxMemory returns the largest resident memory of any of the processes now, in bytes.
func maxMemory(processes []*cluster.Process) int64 {
	largest := int64(0)
	for _, p := range processes {
		largest = max(largest, p.ResidentBytes())
	}
	return largest
}
