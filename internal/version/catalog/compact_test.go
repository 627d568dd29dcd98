package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/version/catalog"
)

func routingVersion(version uint64, routes int) catalog.PutRouting {
	r := catalog.Routing{Version: version, Services: []catalog.Service{{Name: "logs"}}}
	for i := range routes {
		r.Routes = append(r.Routes, catalog.Route{
			Name: fmt.Sprint("r", i), Host: "h.example", PathPrefix: fmt.Sprint("/", i, "/"), Service: "logs", Timeout: time.Second,
		})
	}
	return catalog.PutRouting{Routing: r}
}

// Guards against a process that lags by many versions of the routing and gets each of them in full: at 300 routes,
// 64 versions took 1.5 MB, which an entry with a link of 19 Mbit/s needs 0.6 s to receive.
func TestCompactStepsKeepLastRouting(t *testing.T) {
	m := catalog.New()
	for version := range uint64(64) {
		data, err := catalog.Command{Operation: routingVersion(version+1, 20)}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Apply(data).Err(); err != nil {
			t.Fatal(err)
		}
	}
	steps, kept := m.StepsSince(catalog.FirstRevision)
	if compact := catalog.CompactSteps(steps); !kept || len(steps) != 64 || len(compact) != 1 || compact[0].Revision != m.State().Revision {
		t.Errorf("%d steps kept: %v, %d of them sent, want the last of 64", len(steps), kept, len(compact))
	}
}

// Guards against steps that are left out although the state depends on them, from each revision at which a
// process may be.
func TestCompactStepsLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := catalog.New()
		states := []*catalog.State{m.State()}
		for i := range rapid.IntRange(1, 20).Draw(t, "commands") {
			var operation catalog.Operation = routingVersion(uint64(rapid.IntRange(1, 12).Draw(t, "version")), i%3)
			if rapid.Bool().Draw(t, "zone") {
				operation = catalog.SetZoneIfUnchanged{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), Out: rapid.Bool().Draw(t, "out")}
			}
			command := catalog.Command{Operation: operation}
			if command.FromOperator() {
				command.ChangeID, command.ExpectedRevision = fmt.Sprint("c", i), m.State().Revision
			}
			data, err := command.Encode()
			if err != nil {
				t.Fatal(err)
			}
			m.Apply(data)
			if last := states[len(states)-1]; m.State().Revision != last.Revision {
				states = append(states, m.State())
			}
		}
		from := rapid.IntRange(0, len(states)-1).Draw(t, "from")
		sentFrom := rapid.IntRange(0, from).Draw(t, "sent from")
		steps, kept := m.StepsSince(states[sentFrom].Revision)
		if !kept {
			t.Fatal("the steps are not kept")
		}
		state := states[from]
		for _, step := range catalog.CompactSteps(steps) {
			if step.Revision <= state.Revision {
				continue // as in a process that has it already
			}
			next, err := state.ApplyStep(step)
			if err != nil {
				t.Fatal(err)
			}
			state = next
		}
		state = state.AtRevision(m.State().Revision)
		if got, want := fmt.Sprintf("%+v", dump(state)), fmt.Sprintf("%+v", dump(m.State())); got != want {
			t.Fatalf("from revision %d: %s, want %s", states[from].Revision, got, want)
		}
	})
}

func dump(s *catalog.State) any {
	if s.Routing == nil {
		return []any{s.Revision, s.AvailabilityZones, nil}
	}
	return []any{s.Revision, s.AvailabilityZones, *s.Routing}
}
