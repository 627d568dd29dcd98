// Package subset chooses the entries with which an agent keeps sessions. With sessions between every agent
// and every entry, the polls and reports that an entry receives at rest grow with the number of agents, and
// those of the installation with the product of both. A subset of fixed size bounds the sessions of an agent;
// those of an entry grow with agents/entries only.
//
// Each agent ranks the entries by rendezvous hashing, so all of them choose independently, an entry that
// joins or leaves changes few choices, and the agents of one entry are spread evenly over the installation.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollenpaddle/internal/version/catalog"
)

// DefaultSize is the default number of entries of an agent. Callers are spread unevenly: an entry may get four
// times the mean load. With ten entries an agent, such an entry raises the load of its agents by a third, with
// six by more than half, which leaves too little capacity for bursts.
const DefaultSize = 10

// ranked is an entry with its rank among the entries of its availability zone, from zero.
type ranked struct {
	entry catalog.Entry
	hash  uint64
	rank  int
}

// Choose returns the entries with which the agent keeps sessions: all if there are no more than size, otherwise
// size of them. They are spread over the availability zones, so that the loss of a zone removes no more than
// its share of the sessions of any agent. The result depends only on the ids and zones of the entries, not on their order.
func Choose(agent string, entries []catalog.Entry, size int) []catalog.Entry {
	if len(entries) <= size {
		return entries
	}
	candidates := rank(agent, entries)
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.hash, a.hash), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	chosen := make([]catalog.Entry, 0, size)
	for _, c := range candidates[:size] {
		chosen = append(chosen, c.entry)
	}
	return chosen
}

// rank hashes the entries for an agent and ranks them within their availability zones.
func rank(agent string, entries []catalog.Entry) []ranked {
	candidates := make([]ranked, len(entries))
	for i, entry := range entries {
		candidates[i] = ranked{entry: entry, hash: xxhash.Sum64String(agent + "\x00" + entry.ID)}
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	inZone := map[string]int{}
	for i := range candidates {
		zone := candidates[i].entry.AvailabilityZone
		candidates[i].rank = inZone[zone]
		inZone[zone]++
	}
	return candidates
}
