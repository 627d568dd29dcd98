// Package claim decides which entry owns a job id. A Registrar grants each id at most once; a
// Claimant asks a majority of the id's registrars before its entry starts any task.
//
// Times of day are milliseconds since the Unix epoch on the clock of the process; the clocks of
// two processes of an installation differ by at most ClockAllowance. All other times are on the
// boot-time clock.
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
	// ClockAllowance bounds the difference between the clocks of two processes, and how far a
	// caller's clock may be ahead of a registrar's.
	ClockAllowance = 5 * time.Second
	// LeaseDuration is the time for which a replaced list of entries may still be in use.
	LeaseDuration = lease.Duration
	// GrantDelay is the time after which a registrar grants ids that are new enough to be
	// unknown to its predecessors. A predecessor granted submission times up to one allowance
	// ahead of its own clock, which may be another allowance ahead of this one's, until its lease
	// ended.
	GrantDelay = LeaseDuration + 2*ClockAllowance
	// maxRegistrars is the number of registrars of an id if there are that many entries.
	maxRegistrars = 3
)

// Instant is a reading of both clocks.
type Instant struct {
	Boot time.Duration
	Wall int64 // milliseconds since the Unix epoch
}

// Configuration is the part of the replicated configuration that claims depend on.
type Configuration struct {
	Revision uint64
	// Changes counts the changes of the list of entries. A process that cannot know the number
	// passes the revision, which is a safe upper bound.
	Changes uint64
	Entries []catalog.Entry // sorted by id
}

// members are the entries of one configuration with what choosing registrars needs.
type members struct {
	entries []catalog.Entry
	hashes  []uint64
	weights []uint64 // of the id whose registrars are being chosen
	version uint64
}

func newMembers(entries []catalog.Entry) *members {
	m := &members{entries: entries, hashes: make([]uint64, len(entries)), weights: make([]uint64, len(entries))}
	digest := xxhash.New()
	for i, entry := range entries {
		m.hashes[i] = xxhash.Sum64String(entry.ID)
		var number [8]byte
		for _, text := range []string{entry.ID, entry.AvailabilityZone} {
			binary.BigEndian.PutUint64(number[:], uint64(len(text)))
			_, _ = digest.Write(number[:])
			_, _ = digest.WriteString(text)
		}
		binary.BigEndian.PutUint64(number[:], entry.Incarnation)
		_, _ = digest.Write(number[:])
	}
	m.version = digest.Sum64()
	return m
}

// Registrars returns the registrars of a job id, in the order of their rank. The result depends
// on the entries and the id only. Entries of distinct availability zones come first.
func Registrars(entries []catalog.Entry, key job.Key) []catalog.Entry {
	m := newMembers(entries)
	var chosen []catalog.Entry
	for _, i := range m.registrars(key) {
		chosen = append(chosen, entries[i])
	}
	return chosen
}

// Majority returns the number of grants that make an owner of a claimant.
func Majority(registrars int) int { return registrars/2 + 1 }

// registrars returns the indices of the id's registrars.
func (m *members) registrars(key job.Key) []int {
	n := min(maxRegistrars, len(m.entries))
	chosen := make([]int, 0, maxRegistrars)
	hash := keyHash(key)
	for i := range m.hashes {
		m.weights[i] = weigh(hash, m.hashes[i])
	}
	for len(chosen) < n {
		best := m.best(chosen, true)
		if best < 0 {
			best = m.best(chosen, false)
		}
		chosen = append(chosen, best)
	}
	return chosen
}

// best returns the entry of the highest weight that is not yet chosen, or -1 if all entries in
// other zones are taken.
func (m *members) best(chosen []int, otherZone bool) int {
	best := -1
	for i := range m.entries {
		if (best < 0 || m.weights[i] > m.weights[best]) && !m.excluded(i, chosen, otherZone) {
			best = i
		}
	}
	return best
}

func (m *members) excluded(i int, chosen []int, otherZone bool) bool {
	for _, c := range chosen {
		if c == i || otherZone && m.entries[c].AvailabilityZone == m.entries[i].AvailabilityZone {
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

func weigh(key, entry uint64) uint64 {
	var buffer [16]byte
	binary.BigEndian.PutUint64(buffer[:8], key)
	binary.BigEndian.PutUint64(buffer[8:], entry)
	return xxhash.Sum64(buffer[:])
}

// is reports whether the entry at index i is the given claimant. An entry whose incarnation is
// not recorded stands for any.
func (m *members) is(i int, who wire.Claimant) bool {
	entry := m.entries[i]
	return entry.ID == who.EntryID && (entry.Incarnation == 0 || entry.Incarnation == who.Incarnation)
}

// Version returns the digest of a list of entries that claims carry.
func Version(entries []catalog.Entry) uint64 { return newMembers(entries).version }
