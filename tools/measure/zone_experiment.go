package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"pollenpaddle/tools/measure/profile"
	"pollenpaddle/tools/measure/report"
)

const (
	// zoneOutAt and zoneInAt are the times of the two changes, measured from the start of the run.
	zoneOutAt = 10 * time.Second
	zoneInAt  = 25 * time.Second
	// zoneWindow is the length of the window around the changes in which completed work is counted.
	zoneWindow = 30 * time.Second
	// zoneBound is the guaranteed limit: no task starts in a zone later than this after the change that
	// takes the zone out of service was acknowledged.
	zoneBound = 4 * time.Second
	// zoneRun is the length of one run.
	zoneRun = 45 * time.Second
)

func (s *suite) addZone(_ context.Context, app *kingpin.Application) {
	var level float64
	command := app.Command("zone", "Measure the work completed while an availability zone is taken out of service and brought back.")
	command.Flag("load", "Share of the capacity; above 1 there is always work to do.").Default("1.2").Float64Var(&level)
	command.Action(func(*kingpin.ParseContext) error {
		return s.forEachProfile(func(p *profile.Profile) error { return s.measureZone(p, level) })
	})
}

// measureZone takes the first zone out of service under load and brings it back.
func (s *suite) measureZone(p *profile.Profile, level float64) error {
	table := &report.Table{Title: fmt.Sprintf("Zone out and in at %.0f%% load, profile %s", level*100, p.Name)}
	for round := range s.rounds {
		i, err := s.install(p, "zone", s.binary, s.policy)
		if err != nil {
			return err
		}
		err = i.measureZoneChanges(table, p.Arrivals(s.seed+uint64(round), level, zoneRun))
		if closeErr := i.close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	return s.writeTable(table, "zone-"+p.Name)
}

// zoneChange is the outcome of one change of the zone and the time at which it was acknowledged.
type zoneChange struct {
	acknowledged time.Time
	err          error
}

// measureZoneChanges submits the arrivals, changes the zone during the run and adds the samples.
func (i *installation) measureZoneChanges(table *report.Table, arrivals []profile.Arrival) error {
	zone := i.profile.Zones[0]
	out, in := make(chan zoneChange, 1), make(chan zoneChange, 1)
	change := func(state string, outcome chan<- zoneChange) func() {
		return func() {
			err := i.SetZone(zone, state)
			outcome <- zoneChange{time.Now(), err}
		}
	}
	var began time.Time
	summary := i.runLoad(arrivals, func() {
		began = time.Now()
		time.AfterFunc(zoneOutAt, change("out", out))
		time.AfterFunc(zoneInAt, change("in", in))
	}, nil)
	outChange, inChange := <-out, <-in
	if outChange.err != nil || inChange.err != nil {
		return fmt.Errorf("zone changes failed: out: %w, in: %w", outChange.err, inChange.err)
	}
	window := i.instances.Window(began.Add(zoneOutAt-zoneWindow/6), began.Add(zoneOutAt-zoneWindow/6+zoneWindow), zone, outChange.acknowledged, inChange.acknowledged)
	table.AddSample("default", zone, "work/capacity", window.Done/window.Available)
	table.AddSample("default", zone, "late starts in zone", float64(i.instances.StartsIn(zone, outChange.acknowledged.Add(zoneBound), inChange.acknowledged)))
	last := i.instances.LastStartIn(zone, inChange.acknowledged)
	table.AddSample("default", zone, "last start s after out", last.Sub(outChange.acknowledged).Seconds())
	table.AddSample("default", zone, "may have run", float64(summary.Tasks["may_have_run"]))
	table.AddSample("default", zone, "tasks done", float64(summary.Tasks["done"]))
	table.AddSample("default", zone, "duplicate starts", float64(i.instances.Duplicates()))
	return nil
}
