package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"pollenpaddle/tools/measure/cluster"
	"pollenpaddle/tools/measure/load"
	"pollenpaddle/tools/measure/profile"
	"pollenpaddle/tools/measure/report"
)

// settleTime is the pause after each run, in which remaining work of the run ends.
const settleTime = 3 * time.Second

// contextWithLimit returns a context that ends 3 minutes after the last arrival, so that no run
// hangs.
func contextWithLimit(arrivals []profile.Arrival) context.Context {
	limit := 3 * time.Minute
	if n := len(arrivals); n > 0 {
		limit += arrivals[n-1].At
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	time.AfterFunc(limit, cancel)
	return ctx
}

// variant is one build of the daemon with one placement policy; an empty policy selects the default.
type variant struct{ name, binary, policy string }

func (s *suite) addLoad(_ context.Context, app *kingpin.Application) {
	var policies, builds, loads string
	command := app.Command("load", "Compare policies or builds under open-loop load.")
	command.Flag("policies", "Placement policies, separated by commas; an empty list uses the default.").Default("random,two_choices,batch_sampling,credits,mix").StringVar(&policies)
	command.Flag("builds", "NAME=DAEMON pairs, separated by commas, instead of policies.").StringVar(&builds)
	command.Flag("loads", "Shares of the capacity, separated by commas.").Default("0.5,0.8,0.95").StringVar(&loads)
	command.Action(func(*kingpin.ParseContext) error {
		var levels []float64
		for _, text := range strings.Split(loads, ",") {
			level, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return err
			}
			levels = append(levels, level)
		}
		variants := s.variants(policies, builds)
		return s.forEachProfile(func(p *profile.Profile) error { return s.compare(p, variants, levels) })
	})
}

// variants returns one variant per build if there are any builds, and one per policy otherwise.
func (s *suite) variants(policies, builds string) []variant {
	var variants []variant
	if builds != "" {
		for _, pair := range strings.Split(builds, ",") {
			name, binary, _ := strings.Cut(pair, "=")
			variants = append(variants, variant{name, binary, ""})
		}
		return variants
	}
	for _, policy := range strings.Split(policies, ",") {
		variants = append(variants, variant{policy, s.binary, policy})
	}
	return variants
}

// compare runs an installation of each variant at the same time and alternates the runs between
// them, so that a change of the machine's speed affects all variants.
func (s *suite) compare(p *profile.Profile, variants []variant, levels []float64) error {
	table := &report.Table{Title: "Load, profile " + p.Name}
	costs := &report.Table{Title: "Cost, profile " + p.Name}
	var installations []*installation
	defer func() {
		for _, i := range installations {
			if err := i.close(); err != nil {
				fmt.Println("stop:", err)
			}
		}
	}()
	for _, v := range variants {
		i, err := s.install(p, v.name, v.binary, v.policy)
		if err != nil {
			return err
		}
		installations = append(installations, i)
	}
	for round := range s.rounds {
		for _, level := range levels {
			arrivals := p.Arrivals(s.seed+uint64(round), level, s.runLength())
			for _, i := range installations {
				if err := i.measureLoad(table, costs, level, arrivals); err != nil {
					return err
				}
				time.Sleep(settleTime)
			}
		}
	}
	if err := s.writeTable(table, "load-"+p.Name); err != nil {
		return err
	}
	return s.writeTable(costs, "cost-"+p.Name)
}

// measureLoad submits the arrivals once and adds the samples to the tables.
func (i *installation) measureLoad(table, costs *report.Table, level float64, arrivals []profile.Arrival) error {
	wastedBefore, err := i.wastedMessages()
	if err != nil {
		return err
	}
	entryBefore, agentBefore, began := processorTime(i.Entries), processorTime(i.Agents), time.Now()
	conflicts := 0
	summary := i.runLoad(arrivals, nil, func(o load.Outcome) {
		if o.Conflict {
			conflicts++
		}
	})
	elapsed := time.Since(began)
	wastedAfter, err := i.wastedMessages()
	if err != nil {
		return err
	}
	for _, name := range summary.Names() {
		class := summary.Classes[name]
		subject := fmt.Sprintf("%s at %.0f%%", name, level*100)
		table.AddSample(i.name, subject, "p99/ideal", class.IdealRatio(99))
		table.AddSample(i.name, subject, "p95/ideal", class.IdealRatio(95))
		table.AddSample(i.name, subject, "p50/ideal", class.IdealRatio(50))
		table.AddSample(i.name, subject, "p99 ms", float64(class.Response(99).Microseconds())/1000)
		table.AddSample(i.name, subject, "in time", class.InTimeShare())
		table.AddSample(i.name, subject, "jobs", float64(class.Jobs))
	}
	subject := fmt.Sprintf("%.0f%%", level*100)
	tasks := float64(max(1, summary.Tasks["done"]))
	costs.AddSample(i.name, subject, "wasted messages/task", (wastedAfter-wastedBefore)/tasks)
	costs.AddSample(i.name, subject, "starts/s", tasks/elapsed.Seconds())
	costs.AddSample(i.name, subject, "entry µs/start", float64((processorTime(i.Entries)-entryBefore).Microseconds())/tasks)
	costs.AddSample(i.name, subject, "agent µs/start", float64((processorTime(i.Agents)-agentBefore).Microseconds())/tasks)
	costs.AddSample(i.name, subject, "entry MB", float64(maxMemory(i.Entries))/1e6)
	costs.AddSample(i.name, subject, "agent MB", float64(maxMemory(i.Agents))/1e6)
	costs.AddSample(i.name, subject, "control MB", float64(maxMemory(i.Control))/1e6)
	costs.AddSample(i.name, subject, "failed tasks", float64(summary.Tasks["failed"]+summary.Tasks["may_have_run"]))
	costs.AddSample(i.name, subject, "duplicate starts", float64(i.instances.Duplicates()))
	costs.AddSample(i.name, subject, "conflicting answers", float64(conflicts))
	return nil
}

var _ load.Ideal = (*cluster.Instances)(nil)
