package subset_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/subset"
	"pollenpaddle/internal/version/catalog"
)

var zones = []string{"uppsala", "orebro", "vasteras", "gavle", "eskilstuna"}

func makeEntries(n int) []catalog.Entry {
	entries := make([]catalog.Entry, n)
	for i := range entries {
		entries[i] = catalog.Entry{ID: fmt.Sprintf("entry-%02d", i), Address: fmt.Sprintf("10.0.0.%d:7400", i), AvailabilityZone: zones[i%len(zones)]}
	}
	return entries
}

func contains(entries []catalog.Entry, id string) bool {
	return slices.ContainsFunc(entries, func(e catalog.Entry) bool { return e.ID == id })
}

// Guards against an installation of the size of today in which an agent has no session with some entry.
func TestAllEntriesOfSmallInstallation(t *testing.T) {
	entries := makeEntries(subset.DefaultSize)
	if chosen := subset.Choose("agent", entries, subset.DefaultSize); len(chosen) != len(entries) {
		t.Errorf("chose %d of %d entries, want all", len(chosen), len(entries))
	}
}

// Guards against entries with so few agents that a wide job of theirs cannot be placed, and against sessions
// that grow with the product of agents and entries.
func TestAgentsOfEachEntry(t *testing.T) {
	const agents, width = 240, 32
	entries := makeEntries(55)
	of := map[string]int{}
	for a := range agents {
		for _, e := range subset.Choose(fmt.Sprintf("side-%s-%d", zones[a%len(zones)], a), entries, subset.DefaultSize) {
			of[e.ID]++
		}
	}
	mean := agents * subset.DefaultSize / len(entries)
	for _, e := range entries {
		// Three jobs of the greatest width fit if each worker runs four tasks.
		if of[e.ID]*4 < 3*width || of[e.ID] > 2*mean {
			t.Errorf("%s has %d agents, mean %d", e.ID, of[e.ID], mean)
		}
	}
}

// Guards against an agent that loses most of its entries with one availability zone.
func TestLossOfAvailabilityZone(t *testing.T) {
	entries := makeEntries(55)
	for a := range 240 {
		inZone := map[string]int{}
		for _, e := range subset.Choose(fmt.Sprintf("agent-%d", a), entries, subset.DefaultSize) {
			inZone[e.AvailabilityZone]++
		}
		for zone, n := range inZone {
			if n > subset.DefaultSize/len(zones) {
				t.Errorf("agent-%d has %d of %d entries in %s", a, n, subset.DefaultSize, zone)
			}
		}
	}
}

// Guards against a change of the list of entries that makes agents reconnect to entries that it does not concern,
// and against choices that depend on the order of the list.
func TestChangeOfOneEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "entries")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		agent := rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "agent")
		entries := makeEntries(n)
		before := subset.Choose(agent, entries, size)
		if want := min(n, size); len(before) != want {
			t.Fatalf("chose %d entries, want %d", len(before), want)
		}
		shuffled := rapid.Permutation(entries).Draw(t, "order")
		for _, e := range subset.Choose(agent, shuffled, size) {
			if !contains(before, e.ID) {
				t.Fatalf("%s is chosen only in another order", e.ID)
			}
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		after := subset.Choose(agent, slices.Delete(slices.Clone(entries), removed, removed+1), size)
		kept := 0
		for _, e := range before {
			if contains(after, e.ID) {
				kept++
			}
		}
		// Within a zone only the removed entry is replaced. The next ranks of that zone may lose their places to
		// entries of other zones.
		if lost := len(before) - kept; lost > 2 {
			t.Fatalf("removing %s replaced %d of %d entries", entries[removed].ID, lost, len(before))
		}
	})
}
