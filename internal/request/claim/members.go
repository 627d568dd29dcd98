// Package claim decides which entry owns a job id. A Registrar grants each id to at most one entry.
// A Claimant needs grants from a majority of the id's registrars before its entry may start a task.
//
// Wall-clock times are milliseconds since the Unix epoch; the wall clocks of two processes of an
// installation differ by at most MaxClockSkew. All other times are readings of the boot-time
// clock.
package claim

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/lease"
)

const (
	// MaxClockSkew is the maximum difference between the wall clocks of two processes, and the
	// maximum by which a caller's clock may be ahead of a registrar's.
	MaxClockSkew = 5 * time.Second
	// LeaseDuration is the maximum time for which a replaced list of entries may still be in use.
	LeaseDuration = lease.Duration
	// GrantDelay is added to the wall-clock time at which a registrar gets its first configuration
	// lease for a list of entries. Submission times up to the sum are refused, because an earlier
	// incarnation of this registrar, or another registrar of the id under an earlier list, may have
	// granted them: until its lease ended it granted submission times up to one MaxClockSkew ahead
	// of its clock, which may be another MaxClockSkew ahead of this registrar's clock.
	GrantDelay = LeaseDuration + 2*MaxClockSkew
	// maxRegistrars is the number of registrars of an id. If there are fewer entries, each of them is
	// a registrar.
	maxRegistrars = 3
)

// Instant is a reading of the boot-time clock and the wall clock.
type Instant struct {
	Boot time.Duration
	Wall int64 // milliseconds since the Unix epoch
}

// Configuration is the part of the replicated configuration on which claims depend.
type Configuration struct {
	Revision uint64
	// Changes is the number of changes of the list of entries so far. A process that does not know
	// it passes the revision, which is a safe upper bound.
	Changes uint64
	Entries []catalog.Entry // sorted by id
}

// entryList holds the entries of one configuration, prepared for the choice of registrars by
// rendezvous hashing.
type entryList struct {
	entries []catalog.Entry
	hashes  []uint64
	weights []uint64 // scratch space of the method registrars
	digest  uint64   // identifies entries; can only be compared for equality
}

func newEntryList(entries []catalog.Entry) *entryList {
	l := &entryList{entries: entries, hashes: make([]uint64, len(entries)), weights: make([]uint64, len(entries))}
	hash := xxhash.New()
	for i, entry := range entries {
		l.hashes[i] = xxhash.Sum64String(entry.ID)
		var number [8]byte
		for _, text := range []string{entry.ID, entry.AvailabilityZone} {
			binary.BigEndian.PutUint64(number[:], uint64(len(text)))
			_, _ = hash.Write(number[:])
			_, _ = hash.WriteString(text)
		}
		binary.BigEndian.PutUint64(number[:], entry.Incarnation)
		_, _ = hash.Write(number[:])
	}
	l.digest = hash.Sum64()
	return l
}

// Registrars returns the registrars of a job id, in the order in which they are chosen. The result
// depends only on the entries and the id. Entries in availability zones that have no registrar yet are
// preferred.
func Registrars(entries []catalog.Entry, key job.Key) []catalog.Entry {
	l := newEntryList(entries)
	var chosen []catalog.Entry
	for _, i := range l.registrars(key) {
		chosen = append(chosen, entries[i])
	}
	return chosen
}

// Majority returns the number of grants that make a claimant the owner.
func Majority(registrars int) int { return registrars/2 + 1 }

// registrars returns the indices of the id's registrars.
func (l *entryList) registrars(key job.Key) []int {
	n := min(maxRegistrars, len(l.entries))
	chosen := make([]int, 0, maxRegistrars)
	hash := keyHash(key)
	for i := range l.hashes {
		l.weights[i] = rendezvousWeight(hash, l.hashes[i])
	}
	for len(chosen) < n {
		best := l.best(chosen, true)
		if best < 0 {
			best = l.best(chosen, false)
		}
		chosen = append(chosen, best)
	}
	return chosen
}

// best returns the index of the entry with the highest weight that is not chosen yet. With
// otherZone it considers only zones without a chosen entry. It returns -1 if no entry is left.
func (l *entryList) best(chosen []int, otherZone bool) int {
	best := -1
	for i := range l.entries {
		if (best < 0 || l.weights[i] > l.weights[best]) && !l.excluded(i, chosen, otherZone) {
			best = i
		}
	}
	return best
}

func (l *entryList) excluded(i int, chosen []int, otherZone bool) bool {
	for _, c := range chosen {
		if c == i || otherZone && l.entries[c].AvailabilityZone == l.entries[i].AvailabilityZone {
			return true
		}
	}
	return false
}

func keyHash(key job.Key) uint64 {
	buffer := make([]byte, 0, 160)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(key.Organisation)))
	buffer = append(buffer, key.Organisation...)
	return xxhash.Sum64(append(buffer, key.ID...))
}

func rendezvousWeight(key, entry uint64) uint64 {
	var buffer [16]byte
	binary.BigEndian.PutUint64(buffer[:8], key)
	binary.BigEndian.PutUint64(buffer[8:], entry)
	return xxhash.Sum64(buffer[:])
}

// matches reports whether the entry at index i matches the given claimant. Incarnation zero of an
// entry matches any.
func (l *entryList) matches(i int, who wire.Claimant) bool {
	entry := l.entries[i]
	return entry.ID == who.EntryID && (entry.Incarnation == 0 || entry.Incarnation == who.Incarnation)
}

// EntriesDigest returns the entries digest, a hash over a list of entries. Claims carry it. Digests
// can only be compared for equality.
func EntriesDigest(entries []catalog.Entry) uint64 { return newEntryList(entries).digest }
