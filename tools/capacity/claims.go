package main

import (
	"fmt"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/version/catalog"
)

// wallStart is the simulated wall-clock time at the start of a measurement, in milliseconds since the
// Unix epoch.
const wallStart = int64(1_800_000_000_000)

// claimDriver drives one registrar with claims of ids that it serves.
type claimDriver struct {
	entries       []catalog.Entry
	registrar     *claim.Registrar
	at            claim.Instant
	entriesDigest uint64
	next          int // number of the next id
}

func newClaimDriver(entries int) *claimDriver {
	d := &claimDriver{at: claim.Instant{Boot: hour, Wall: wallStart}}
	for i := range entries {
		d.entries = append(d.entries, catalog.Entry{ID: fmt.Sprintf("entry-%03d", i), Incarnation: 1, AvailabilityZone: fmt.Sprint("z", i%8)})
	}
	d.entriesDigest = claim.EntriesDigest(d.entries)
	d.registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: wire.Claimant{EntryID: d.entries[0].ID, Incarnation: 1}})
	d.registrar.Configured(d.at, claim.Configuration{Revision: 1, Changes: 1, Entries: d.entries})
	d.registrar.LeaseChanged(d.at, d.at.Boot+claim.LeaseDuration)
	// The submission times in the claims are up to 6 s in the past, and must be more than
	// claim.GrantDelay (13 s) after the registrar's first lease.
	d.at.Wall += 20_000
	return d
}

// claims returns count claims of new ids that the registrar serves, which are about 3 of every
// len(entries) ids. It returns fewer if it does not find them among a bounded number of ids.
func (d *claimDriver) claims(count int) []*wire.Claim {
	var claims []*wire.Claim
	for limit := d.next + 40*len(d.entries)*(count+10); len(claims) < count && d.next < limit; d.next++ {
		key := job.Key{Organisation: "org", ID: fmt.Sprintf("01a2406b-6bfd-7a42-9df3-%012d", d.next)}
		for _, entry := range claim.Registrars(d.entries, key) {
			if entry.ID == d.entries[0].ID {
				claims = append(claims, &wire.Claim{Key: key, SubmittedAt: d.at.Wall - int64(d.next%6000), Attempt: 1, EntriesDigest: d.entriesDigest})
			}
		}
	}
	return claims
}

func (d *claimDriver) grant(claims []*wire.Claim) error {
	from := wire.Claimant{EntryID: d.entries[1].ID, Incarnation: 1}
	for _, c := range claims {
		if reply := d.registrar.Claim(d.at, from, c); reply.Outcome != wire.ClaimGranted {
			return fmt.Errorf("claim of %s has outcome %d", c.Key.ID, reply.Outcome)
		}
	}
	return nil
}

func measureClaims(s *suite) error {
	err := s.measureHeap("registrar heap per claim", "bytes/claim", "claim.Registrar, text of a 36-byte id included", []int{5_000, 10_000, 20_000, 40_000, 80_000, 160_000},
		func(size int) (any, error) {
			d := newClaimDriver(3)
			err := d.grant(d.claims(size))
			return d, err
		})
	if err != nil {
		return err
	}
	for _, entries := range []int{3, 20, 64} {
		d := newClaimDriver(entries)
		var points []point
		for _, count := range []int{1000, 2000, 3000, 4000, 6000, 8000} {
			claims := d.claims(count * s.scale)
			if len(claims) < count*s.scale {
				return fmt.Errorf("found only %d ids that the registrar serves", len(claims))
			}
			before := processorTime()
			if err := d.grant(claims); err != nil {
				return err
			}
			points = append(points, point{float64(len(claims)), float64((processorTime() - before).Nanoseconds()) / 1e3})
		}
		if err := s.addSlope(fmt.Sprintf("registrar claim, %d entries", entries), "µs/claim", "claim.Registrar grants", points); err != nil {
			return err
		}
	}
	return nil
}
