package main

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/version/catalog"
)

// routeCounts are the sizes of the measured routing configurations.
var routeCounts = []int{10, 100, 300, 1000, 3000}

// makeRouting returns a configuration with the given number of routes. Its document is the text of the routes,
// compressed as the operators' interface does.
func makeRouting(version uint64, routes int) (catalog.Routing, error) {
	r := catalog.Routing{Version: version, Services: []catalog.Service{{Name: "huvo11a", Connections: 64, GuardsCapacity: true}}}
	for i := range routes {
		r.Routes = append(r.Routes, catalog.Route{
			Name: fmt.Sprintf("r-%x", uint32(i)*2654435761), Host: fmt.Sprintf("h%d.example", i%7), PathPrefix: fmt.Sprintf("/p%x/", uint32(i)*2246822519),
			Service: "huvo11a", MaxAttempts: 4, Stretch: 1.6, Slack: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		})
	}
	text, err := json.Marshal(r.Routes)
	if err != nil {
		return r, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return r, err
	}
	if _, err := w.Write(text); err != nil {
		return r, err
	}
	if err := w.Close(); err != nil {
		return r, err
	}
	r.Document = compressed.Bytes()
	return r, nil
}

// laggingChanges is the number of changes by which a process lags when its catching up is measured.
const laggingChanges = 64

// measureRouting measures how the cost of a routing configuration grows with its routes: the encoded change, the
// time to apply it, the whole state for a new process, and what a process gets that lags by laggingChanges.
func measureRouting(s *suite) error {
	var commands, times, snapshots, catchingUp []point
	for _, routes := range routeCounts {
		data, err := encodeChanges(routes, 1+laggingChanges)
		if err != nil {
			return err
		}
		m := catalog.New()
		before := processorTime()
		for _, command := range data {
			if err := m.Apply(command).Err(); err != nil {
				return err
			}
		}
		elapsed := processorTime() - before
		snapshot, err := frameBytes(&wire.ConfigSnapshot{State: *m.State()})
		if err != nil {
			return err
		}
		missed := snapshot
		to := m.State().Revision
		if steps, kept := m.StepsSince(to - laggingChanges); kept {
			steps = catalog.CompactSteps(steps)
			if missed, err = frameBytes(&wire.ConfigDelta{Group: 1, From: to - laggingChanges, To: to, Steps: steps}); err != nil {
				return err
			}
		}
		x := float64(routes)
		commands = append(commands, point{x, float64(len(data[0]))})
		times = append(times, point{x, float64(elapsed.Microseconds()) / float64(len(data))})
		snapshots = append(snapshots, point{x, snapshot})
		catchingUp = append(catchingUp, point{x, missed})
	}
	for _, l := range []slope{
		{Name: "routing change bytes per route", Unit: "bytes/route", Note: "encoded PutRouting with its document", Points: commands},
		{Name: "routing change time per route", Unit: "µs/route", Note: "Machine.Apply", Points: times},
		{Name: "routing snapshot bytes per route", Unit: "bytes/route", Note: "ConfigSnapshot on the wire", Points: snapshots},
		{Name: "routing bytes of 64 missed changes per route", Unit: "bytes/route", Note: "ConfigDelta, or ConfigSnapshot where the steps are no longer kept", Points: catchingUp},
	} {
		if err := s.addSlope(l.Name, l.Unit, l.Note, l.Points); err != nil {
			return err
		}
	}
	return nil
}

// encodeChanges returns encoded changes of the whole routing configuration.
func encodeChanges(routes, changes int) (data [][]byte, err error) {
	for version := range uint64(changes) {
		r, err := makeRouting(version+1, routes)
		if err != nil {
			return nil, err
		}
		command, err := catalog.Command{Operation: catalog.PutRouting{Routing: r}}.Encode()
		if err != nil {
			return nil, fmt.Errorf("%d routes: %w", routes, err)
		}
		data = append(data, command)
	}
	return data, nil
}

func frameBytes(message wire.Message) (float64, error) {
	frame, err := wire.EncodeFrame([]wire.Message{message})
	return float64(len(frame)), err
}
