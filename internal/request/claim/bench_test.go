package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
)

const uuidFormat = "01a2406b-6bfd-7a42-9df3-%012d"

// BenchmarkRegistrar measures one grant by a registrar in an installation with 20 entries, and the
// memory of one record.
func BenchmarkRegistrar(b *testing.B) {
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = string(rune('a' + i))
	}
	entries := list(ids...)
	digest := claim.EntriesDigest(entries)
	at := claim.Instant{Boot: time.Hour, Wall: epochMillis}
	r := claim.NewRegistrar(claim.RegistrarConfig{Self: self, MaxRecords: b.N + 1})
	r.Configured(at, claim.Configuration{Revision: 1, Changes: 1, Entries: entries})
	r.LeaseChanged(at, at.Boot+claim.LeaseDuration)
	at.Wall += 20_000
	claims := make([]*wire.Claim, 0, b.N)
	for i := 0; len(claims) < b.N; i++ {
		k := job.Key{Organisation: "org", ID: fmt.Sprintf(uuidFormat, i)}
		for _, e := range claim.Registrars(entries, k) {
			if e.ID == self.EntryID {
				claims = append(claims, &wire.Claim{Key: k, SubmittedAt: at.Wall - int64(i%6000), Attempt: 1, EntriesDigest: digest})
			}
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	granted := 0
	for _, c := range claims {
		if r.Claim(at, first, c).Outcome == wire.ClaimGranted {
			granted++
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if granted != b.N {
		b.Fatalf("granted %d of %d", granted, b.N)
	}
	// The text of the id is not counted, because it is allocated before the measurement. In a
	// daemon, decoding allocates it for the record.
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "bytes/claim")
	runtime.KeepAlive(claims)
	runtime.KeepAlive(r)
}

// BenchmarkClaim measures a complete claim with one claimant and three registrars.
func BenchmarkClaim(b *testing.B) {
	entries := list("a", "b", "c")
	at := claim.Instant{Boot: time.Hour, Wall: epochMillis}
	configuration := claim.Configuration{Revision: 1, Changes: 1, Entries: entries}
	registrars := map[string]*claim.Registrar{}
	names := map[string]wire.Claimant{}
	for _, e := range entries {
		names[e.ID] = wire.Claimant{EntryID: e.ID, Incarnation: e.Incarnation}
		registrars[e.ID] = claim.NewRegistrar(claim.RegistrarConfig{Self: names[e.ID], MaxRecords: b.N + 1})
		registrars[e.ID].Configured(at, configuration)
		registrars[e.ID].LeaseChanged(at, at.Boot+claim.LeaseDuration)
	}
	c := claim.NewClaimant(claim.ClaimantConfig{})
	c.Step(at.Boot, claim.Configured{Configuration: configuration})
	c.Step(at.Boot, claim.LeaseChanged{Deadline: at.Boot + claim.LeaseDuration})
	at.Wall += 20_000
	ids := make([]string, b.N)
	for i := range ids {
		ids[i] = fmt.Sprintf(uuidFormat, i)
	}
	var sends [3]claim.Send
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		n := 0
		for _, action := range c.Step(at.Boot, claim.Requested{Key: job.Key{Organisation: "org", ID: ids[i]}, SubmittedAt: at.Wall}) {
			sends[n] = action.(claim.Send)
			n++
		}
		owned := false
		for _, s := range sends[:n] {
			reply := registrars[s.To.ID].Claim(at, self, s.Message.(*wire.Claim))
			for _, action := range c.Step(at.Boot, claim.Received{From: names[s.To.ID], Reply: reply}) {
				_, granted := action.(claim.Owned)
				owned = owned || granted
			}
		}
		if !owned {
			b.Fatal("no owner")
		}
	}
}
