// Package catalog defines the configuration of an installation: classes with their targets,
// organisations with their quotas, availability zones, entries and the routing of restartable jobs.
// It is a deterministic state machine driven by the replicated log: at the same revision, every
// process that follows the log has the same state.
//
// Commands of operators contain a change id and the expected revision. Commands of processes
// contain neither and are idempotent: they announce availability zones, add entries to the list of
// entries or remove them, and put a routing configuration in force.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// FirstRevision is the revision of an empty configuration. Revision 0 means that there is no
// configuration yet.
const FirstRevision = 1

// Class is a class of work with its response-time target.
type Class struct {
	_            struct{} `cbor:",toarray"`
	Name         string
	Upstream     string        // name of the upstream that runs its tasks
	AnswerWithin time.Duration // target: maximum response time
	Share        float64       // target: fraction of responses that must arrive within AnswerWithin, above 0 and up to 1
	Retired      bool
	Revision     uint64 // revision of the last accepted change, also if that had no effect
}

// Organisation is a customer that shares the installation.
type Organisation struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Slots    int // quota: tasks running concurrently, over all entries; zero means no quota
	Retired  bool
	Revision uint64 // revision of the last accepted change, also if that had no effect
}

// AvailabilityZone is a zone that operators may take out of service.
type AvailabilityZone struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Out      bool
	Revision uint64 // revision of the last accepted change, also if that had no effect
}

// Entry is an entry process, which serves callers and grants claims.
type Entry struct {
	_                struct{} `cbor:",toarray"`
	ID               string
	Incarnation      uint64
	Address          string // host:port
	AvailabilityZone string
}

// State is the configuration at one revision. Slices are sorted by name or id. A State is immutable
// once it has been returned.
type State struct {
	_                 struct{} `cbor:",toarray"`
	Revision          uint64
	Classes           []Class
	Organisations     []Organisation
	AvailabilityZones []AvailabilityZone
	Entries           []Entry
	Routing           *Routing // nil until the first PutRouting; not part of the AgentView
}

func (c Class) key() string            { return c.Name }
func (o Organisation) key() string     { return o.Name }
func (z AvailabilityZone) key() string { return z.Name }
func (e Entry) key() string            { return e.ID }

// keyed is an element of a list sorted by key.
type keyed interface{ key() string }

func search[T keyed](list []T, key string) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(item T, key string) int { return strings.Compare(item.key(), key) })
}

func find[T keyed](list []T, key string) (T, bool) {
	i, found := search(list, key)
	if !found {
		var zero T
		return zero, false
	}
	return list[i], true
}

// upsert returns a copy of list in which item is inserted or replaces the item with the same key.
func upsert[T keyed](list []T, item T) []T {
	i, found := search(list, item.key())
	if found {
		list = slices.Clone(list)
		list[i] = item
		return list
	}
	return slices.Insert(slices.Clip(list), i, item)
}

// without returns a copy of list without the item with the given key.
func without[T keyed](list []T, key string) []T {
	i, found := search(list, key)
	if !found {
		return list
	}
	return slices.Delete(slices.Clone(list), i, i+1)
}

// Class returns the class with the given name.
func (s *State) Class(name string) (Class, bool) { return find(s.Classes, name) }

// Organisation returns the organisation with the given name.
func (s *State) Organisation(name string) (Organisation, bool) { return find(s.Organisations, name) }

// Entry returns the entry with the given id.
func (s *State) Entry(id string) (Entry, bool) { return find(s.Entries, id) }

// AvailabilityZone returns the zone with the given name.
func (s *State) AvailabilityZone(name string) (AvailabilityZone, bool) {
	return find(s.AvailabilityZones, name)
}

// ZoneOut reports whether the zone is out of service. An unknown zone is in service.
func (s *State) ZoneOut(name string) bool {
	zone, _ := s.AvailabilityZone(name)
	return zone.Out
}

// ZonesOut returns the names of the zones that are out of service.
func (s *State) ZonesOut() []string {
	var out []string
	for _, zone := range s.AvailabilityZones {
		if zone.Out {
			out = append(out, zone.Name)
		}
	}
	return out
}

// AgentView returns the part of the state that agents need: the zones that are out of service and
// the list of entries.
func (s *State) AgentView() *State {
	view := &State{Revision: s.Revision, Entries: s.Entries}
	for _, zone := range s.AvailabilityZones {
		if zone.Out {
			view.AvailabilityZones = append(view.AvailabilityZones, zone)
		}
	}
	return view
}
