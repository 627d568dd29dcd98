package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"

	"pollenpaddle/tools/measure/cluster"
	"pollenpaddle/tools/measure/load"
	"pollenpaddle/tools/measure/profile"
	"pollenpaddle/tools/measure/report"
)

// instantProfile returns a profile whose upstreams respond at once, so that only the cost of the
// dispatcher is measured.
func instantProfile(agents int) *profile.Profile {
	return &profile.Profile{
		Name: "instant", Zones: []string{"z1", "z2", "z3"}, Instances: agents, Slots: 64, Connections: 64,
		Upstream: "instant", Entries: 1, ControlMembers: 1, Speeds: []float64{1},
		Classes: []profile.Class{{Name: "instant", Organisations: []string{"o"}, AnswerWithin: time.Second, Share: 0.99}},
	}
}

func (s *suite) addOverhead(_ context.Context, app *kingpin.Application) {
	var clients int
	command := app.Command("overhead", "Measure added latency, starts per second and processor time per start with instant upstreams.")
	command.Flag("clients", "Concurrent clients of the throughput run.").Default("64").IntVar(&clients)
	command.Action(func(*kingpin.ParseContext) error {
		table := &report.Table{Title: "Dispatch overhead with instant upstreams"}
		for range s.rounds {
			i, err := s.install(instantProfile(6), "overhead", s.binary, s.policy)
			if err != nil {
				return err
			}
			for _, tasks := range []int{1, 10, 100} {
				s.measureOverhead(table, i, 1, tasks)
				s.measureOverhead(table, i, clients, tasks)
			}
			if err := i.close(); err != nil {
				return err
			}
		}
		return s.writeTable(table, "overhead")
	})
}

// measureOverhead runs closed-loop clients for a quarter of the run length. One client measures the
// latency of an idle system, many clients measure the maximum throughput.
func (s *suite) measureOverhead(table *report.Table, i *installation, clients, tasks int) {
	arrival := &profile.Arrival{Class: &i.profile.Classes[0], Organisation: "o", Tasks: make([]profile.Task, tasks)}
	driver := &load.Driver{Entries: i.EntryAddresses(), Ideal: i.instances}
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var done atomic.Int64 // tasks
	entryBefore, agentBefore, began := processorTime(i.Entries), processorTime(i.Agents), time.Now()
	end := began.Add(s.runLength() / 4)
	var group sync.WaitGroup
	for range clients {
		group.Go(func() {
			for time.Now().Before(end) {
				start := time.Now()
				if driver.SubmitNow(arrival).State != "complete" {
					continue
				}
				done.Add(int64(tasks))
				mu.Lock()
				_ = latency.RecordValue(time.Since(start).Microseconds()) // in range: an entry responds within a minute
				mu.Unlock()
			}
		})
	}
	group.Wait()
	starts, elapsed := float64(max(1, done.Load())), time.Since(began)
	subject := fmt.Sprintf("%d clients, %d tasks a job", clients, tasks)
	table.AddSample("default", subject, "starts/s", starts/elapsed.Seconds())
	table.AddSample("default", subject, "p50 ms", float64(latency.ValueAtQuantile(50))/1000)
	table.AddSample("default", subject, "p99 ms", float64(latency.ValueAtQuantile(99))/1000)
	table.AddSample("default", subject, "entry µs/start", float64((processorTime(i.Entries)-entryBefore).Microseconds())/starts)
	table.AddSample("default", subject, "agent µs/start", float64((processorTime(i.Agents)-agentBefore).Microseconds())/starts)
	table.AddSample("default", subject, "entry MB", float64(maxMemory(i.Entries))/1e6)
	table.AddSample("default", subject, "agent MB", float64(maxMemory(i.Agents))/1e6)
}

func (s *suite) addIdle(_ context.Context, app *kingpin.Application) {
	command := app.Command("idle", "Measure processor share, memory and bytes a second of daemons without work.")
	command.Action(func(*kingpin.ParseContext) error {
		table := &report.Table{Title: "Cost of idle processes"}
		return s.forEachProfile(func(p *profile.Profile) error {
			i, err := s.install(p, "idle", s.binary, s.policy)
			if err != nil {
				return err
			}
			err = s.measureIdle(table, i)
			if closeErr := i.close(); err == nil {
				err = closeErr
			}
			if err != nil {
				return err
			}
			return s.writeTable(table, "idle")
		})
	})
}

// measureIdle measures the processes of each role for the length of a run without work.
func (s *suite) measureIdle(table *report.Table, i *installation) error {
	roles := []struct {
		name      string
		processes []*cluster.Process
	}{{"control", i.Control}, {"entry", i.Entries}, {"agent", i.Agents}}
	for _, role := range roles {
		before, err := cluster.Counters(role.processes, "pollenpaddle_session_bytes_total")
		if err != nil {
			return err
		}
		processorBefore, began := processorTime(role.processes), time.Now()
		time.Sleep(s.runLength())
		elapsed := time.Since(began).Seconds() * float64(len(role.processes))
		after, err := cluster.Counters(role.processes, "pollenpaddle_session_bytes_total")
		if err != nil {
			return err
		}
		bytes := 0.0
		for name, value := range after {
			bytes += value - before[name]
		}
		share := (processorTime(role.processes) - processorBefore).Seconds() / elapsed
		table.AddSample(i.profile.Name, role.name, "core %", 100*share)
		table.AddSample(i.profile.Name, role.name, "MB", float64(maxMemory(role.processes))/1e6)
		table.AddSample(i.profile.Name, role.name, "KB/s", bytes/elapsed/1000)
	}
	return nil
}

func (s *suite) addShutdown(_ context.Context, app *kingpin.Application) {
	command := app.Command("shutdown", "Count the jobs that get no response when an entry stops. Variants: it is killed at once, killed after 5 s unless it has exited, or drained.")
	command.Action(func(*kingpin.ParseContext) error {
		return s.forEachProfile(func(p *profile.Profile) error {
			table := &report.Table{Title: "Stopping one entry under load, profile " + p.Name}
			for round := range s.rounds {
				for _, timeout := range []time.Duration{0, 5 * time.Second, drainTimeout} {
					if err := s.measureShutdown(table, p, timeout, s.seed+uint64(round)); err != nil {
						return err
					}
				}
			}
			return s.writeTable(table, "shutdown-"+p.Name)
		})
	})
}

// drainTimeout is far longer than the longest task, so that the entry exits by itself.
const drainTimeout = 80 * time.Second

// measureShutdown stops one entry half-way through a run and counts the jobs without a usable response.
func (s *suite) measureShutdown(table *report.Table, p *profile.Profile, timeout time.Duration, seed uint64) error {
	// Variants: the entry is killed at once, killed after 5 s unless it has exited, or drained.
	name := map[time.Duration]string{0: "immediate close", 5 * time.Second: "five-second budget", drainTimeout: "drain"}[timeout]
	i, err := s.install(p, "shutdown", s.binary, s.policy)
	if err != nil {
		return err
	}
	entry := i.Entries[0]
	stopTime := make(chan time.Duration, 1)
	stopAt := s.runLength() / 2
	cutOff, foundNoEntry := 0, 0
	summary := i.runLoad(p.Arrivals(seed, 0.8, s.runLength()), func() {
		time.AfterFunc(stopAt, func() { stopTime <- stop(entry, timeout) })
	}, func(o load.Outcome) {
		switch o.State {
		case "no_answer", "unreadable":
			if o.Arrival.At < stopAt { // submitted before the stop
				cutOff++
			} else {
				foundNoEntry++
			}
		}
	})
	table.AddSample(name, "one of three entries", "jobs cut off", float64(cutOff))
	table.AddSample(name, "one of three entries", "jobs that found no entry", float64(foundNoEntry))
	table.AddSample(name, "one of three entries", "s until exit", (<-stopTime).Seconds())
	table.AddSample(name, "one of three entries", "jobs", float64(summary.Total))
	return i.close()
}

// stop shuts a process down, kills it if it has not exited within the timeout, and returns how long
// that took. A timeout of zero kills it at once.
func stop(p *cluster.Process, timeout time.Duration) time.Duration {
	began := time.Now()
	if timeout > 0 {
		_ = p.Signal(syscall.SIGTERM) // cannot fail while the process runs
		if _, err := p.Wait(timeout); err == nil {
			return time.Since(began)
		}
	}
	p.Kill()
	return time.Since(began)
}
