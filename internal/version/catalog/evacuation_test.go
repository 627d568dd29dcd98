package catalog_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/catalog"
)

// zoneCommand is a command of an operator that may be applied any number of times, early or late.
type zoneCommand struct {
	data   []byte
	sentAt int // number of acknowledged commands at the time at which it was sent
	out    bool

	acknowledged bool
}

// Guards against a command for a zone that is applied after a newer one was acknowledged, whether it is late, applied
// twice, or was overtaken by a command that found the zone in the state that it asks for.
func TestLateZoneCommandChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := catalog.New()
		var sent []*zoneCommand
		var newest *zoneCommand // of the acknowledged commands
		acknowledged := 0
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				operation := catalog.AnnounceZone{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "announced")}
				m.Apply(mustEncode(t, catalog.Command{Operation: operation}))
			case 1, 2:
				out := rapid.Bool().Draw(t, "out")
				// The member that was asked may lag behind.
				expected := rapid.Uint64Range(max(2, m.State().Revision)-1, m.State().Revision).Draw(t, "expected")
				sent = append(sent, &zoneCommand{sentAt: acknowledged, out: out, data: mustEncode(t, catalog.Command{
					ChangeID: fmt.Sprint("c", i), ExpectedRevision: expected, Operation: catalog.SetZoneIfUnchanged{Name: "a", Out: out},
				})})
			default:
				if len(sent) == 0 {
					continue
				}
				c := rapid.SampledFrom(sent).Draw(t, "applied")
				outcome := m.Apply(c.data)
				switch {
				case outcome.Failure != nil && outcome.Failure.Kind != failure.RevisionConflict:
					t.Fatal(outcome.Failure)
				case outcome.Failure != nil || c.acknowledged:
				case c.sentAt != acknowledged:
					t.Fatalf("a command is acknowledged for the first time after a newer one")
				case m.State().ZoneOut("a") != c.out:
					t.Fatalf("an acknowledged command has no effect")
				default:
					c.acknowledged = true
					acknowledged++
					newest = c
				}
			}
			if newest != nil && m.State().ZoneOut("a") != newest.out {
				t.Fatalf("the newest acknowledged command is undone")
			}
		}
	})
}

func mustEncode(t *rapid.T, c catalog.Command) []byte {
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
