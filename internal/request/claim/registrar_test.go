package claim_test

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/version/catalog"
)

var (
	self  = wire.Claimant{EntryID: "a", Incarnation: 1}
	first = wire.Claimant{EntryID: "b", Incarnation: 2}
	other = wire.Claimant{EntryID: "c", Incarnation: 3}
	key   = job.Key{Organisation: "org", ID: "id"}
)

const settled = int64(60_000) // ms after the start at which the minimum has long passed

// list returns entries with the given ids; their incarnations are 1, 2 and so on unless changed.
func list(ids ...string) []catalog.Entry {
	var entries []catalog.Entry
	for _, id := range ids {
		entries = append(entries, catalog.Entry{ID: id, Incarnation: uint64(id[0]-'a') + 1, AvailabilityZone: "z" + id})
	}
	return entries
}

// bench is one registrar with its clocks.
type bench struct {
	*claim.Registrar
	entries []catalog.Entry
	at      claim.Instant
}

func newBench(entries []catalog.Entry) *bench {
	b := &bench{entries: entries, at: claim.Instant{Boot: time.Hour, Wall: epochMillis}}
	b.Registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: self, Retention: time.Minute, MaxRecords: 3})
	b.configure(1, entries)
	return b
}

func (b *bench) configure(revision uint64, entries []catalog.Entry) {
	b.entries = entries
	b.Configured(b.at, claim.Configuration{Revision: revision, Changes: revision, Entries: entries})
	b.LeaseChanged(b.at, b.at.Boot+claim.LeaseDuration)
}

// advance lets time pass and renews the lease.
func (b *bench) advance(millis int64) {
	b.at.Wall += millis
	b.at.Boot += time.Duration(millis) * time.Millisecond
	b.LeaseChanged(b.at, b.at.Boot+claim.LeaseDuration)
}

// ask claims the id for its sender with a submission time relative to the start.
func (b *bench) ask(from wire.Claimant, id string, submitted int64, attempt uint64) wire.ClaimOutcome {
	return b.Claim(b.at, from, &wire.Claim{
		Key: job.Key{Organisation: "org", ID: id}, SubmittedAt: epochMillis + submitted, Attempt: attempt, Version: claim.Version(b.entries),
	}).Outcome
}

var _ = ginkgo.Describe("Registrar", func() {
	var b *bench
	ginkgo.BeforeEach(func() { b = newBench(list("a")) })

	ginkgo.It("grants no submission time up to lease and two allowances after its first lease", func() {
		b.advance(20_000)
		gomega.Expect(b.ask(first, "x", 13_000, 1)).To(gomega.Equal(wire.ClaimBeforeMinimum))
		gomega.Expect(b.ask(first, "x", 13_001, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("refuses a submission time more than one allowance ahead", func() {
		b.advance(settled)
		gomega.Expect(b.ask(first, "x", settled+5001, 1)).To(gomega.Equal(wire.ClaimClockAhead))
		gomega.Expect(b.ask(first, "x", settled+5000, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("keeps refusing old times after its clock was set back", func() {
		b.advance(2 * settled)
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimTooOld))
		b.at.Wall -= 10_000
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimTooOld))
	})
	ginkgo.It("decides nothing without a lease or for another list of entries", func() {
		b.advance(settled)
		b.at.Boot += claim.LeaseDuration
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimNoLease))
		b.advance(0)
		b.entries = list("a", "b")
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimOtherConfiguration))
	})
	ginkgo.It("grants nothing for ids of other registrars or in the name of another incarnation", func() {
		b.advance(settled)
		b.configure(2, list("b", "c", "d"))
		b.advance(settled)
		gomega.Expect(b.ask(first, "x", 2*settled, 1)).To(gomega.Equal(wire.ClaimOtherConfiguration))
		replaced := list("a")
		replaced[0].Incarnation = 9
		b.configure(3, replaced)
		b.advance(settled)
		gomega.Expect(b.ask(first, "x", 3*settled, 1)).To(gomega.Equal(wire.ClaimOtherConfiguration))
	})
	ginkgo.It("repeats a grant to the same claimant only, and keeps the submission time", func() {
		b.advance(settled)
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(b.ask(other, "x", settled, 1)).To(gomega.Equal(wire.ClaimTaken))
		gomega.Expect(b.ask(first, "x", settled+1, 1)).To(gomega.Equal(wire.ClaimOtherTime))
		gomega.Expect(b.ask(other, "x", settled+1, 1)).To(gomega.Equal(wire.ClaimOtherTime))
	})
	ginkgo.It("checks a repeated grant against the present list of entries", func() {
		b.configure(2, list("a", "b", "c"))
		b.advance(settled)
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimGranted))
		b.configure(3, list("a"))
		gomega.Expect(b.ask(first, "x", settled, 2)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
	ginkgo.It("releases only the attempts that the claimant has given up", func() {
		b.advance(settled)
		b.ask(first, "x", settled, 5)
		at := epochMillis + settled
		release := func(from wire.Claimant, at int64, upTo uint64) {
			b.Release(from, &wire.ClaimRelease{Key: job.Key{Organisation: "org", ID: "x"}, SubmittedAt: at, UpTo: upTo})
		}
		release(first, at, 4)
		release(other, at, 9)
		release(first, at+1, 9)
		gomega.Expect(b.ask(other, "x", settled, 1)).To(gomega.Equal(wire.ClaimTaken))
		release(first, at, 5)
		gomega.Expect(b.ask(other, "x", settled, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("does not grant a late copy of an attempt that was given up", func() {
		b.advance(settled)
		b.ask(first, "x", settled, 5)
		gomega.Expect(b.ask(first, "x", settled, 4)).NotTo(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("drops the oldest records when it is full and then refuses their ids", func() {
		b.advance(settled)
		for _, id := range []string{"x", "y", "z"} {
			gomega.Expect(b.ask(first, id, settled, 1)).To(gomega.Equal(wire.ClaimGranted))
		}
		gomega.Expect(b.ask(first, "w", settled, 1)).To(gomega.Equal(wire.ClaimFull))
		b.advance(40_000)
		gomega.Expect(b.ask(first, "w", settled+40_000, 1)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(b.ask(other, "x", settled, 1)).To(gomega.Equal(wire.ClaimTooOld))
	})
	ginkgo.It("looks an id up without claiming it", func() {
		b.advance(settled)
		gomega.Expect(b.ask(other, "x", settled, 0)).To(gomega.Equal(wire.ClaimFree))
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(b.ask(other, "x", 0, 0)).To(gomega.Equal(wire.ClaimTaken))
	})
})

var _ = ginkgo.Describe("A change of the list of entries", func() {
	// served returns an id that registrar a serves after the change, and that it served before it
	// or not.
	served := func(before, after []catalog.Entry, wasServed bool) string {
		serves := func(entries []catalog.Entry, id string) bool {
			chosen := claim.Registrars(entries, job.Key{Organisation: "org", ID: id})
			return slices.ContainsFunc(chosen, func(e catalog.Entry) bool { return e.ID == "a" })
		}
		id := "x"
		for !serves(after, id) || serves(before, id) != wasServed {
			id += "x"
		}
		return id
	}
	change := func(before, after []catalog.Entry, changes uint64, wasServed bool) wire.ClaimOutcome {
		id := served(before, after, wasServed)
		b := newBench(before)
		b.advance(settled)
		b.configure(1+changes, after)
		return b.ask(first, id, settled, 1)
	}

	ginkgo.It("delays ids at registrars that are new to them and no others", func() {
		before, after := list("a", "b", "c", "d"), list("a", "b", "c")
		gomega.Expect(change(before, after, 1, true)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(change(before, after, 1, false)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
	ginkgo.It("delays all ids if a list of entries in between is not known", func() {
		gomega.Expect(change(list("a", "b", "c", "d"), list("a", "b", "c"), 2, true)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
	ginkgo.It("delays all ids at a registrar whose incarnation was not named before", func() {
		before := list("a", "b", "c")
		before[0].Incarnation = 7
		gomega.Expect(change(before, list("a", "b", "c"), 1, true)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
	ginkgo.It("delays all ids at a sole registrar that was one of three, not at one that was one of two", func() {
		gomega.Expect(change(list("a", "b", "c"), list("a"), 1, true)).To(gomega.Equal(wire.ClaimBeforeMinimum))
		gomega.Expect(change(list("a", "b"), list("a"), 1, true)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("delays ids at a sole registrar that was one of three two changes ago", func() {
		b := newBench(list("a", "b", "c"))
		b.advance(settled)
		b.configure(2, list("a", "b"))
		b.configure(3, list("a"))
		gomega.Expect(b.ask(first, "x", settled, 1)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
})

var _ = ginkgo.Describe("The sole process of an installation", func() {
	ginkgo.It("continues after a clean stop at the highest time that it granted", func() {
		b := newBench(list("a"))
		b.advance(settled)
		b.ask(first, "x", settled+3000, 1)
		stored := b.Minimum()
		next := newBench(list("a"))
		next.Registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: self, HasMinimum: true, Minimum: stored})
		next.configure(1, list("a"))
		next.advance(settled)
		gomega.Expect(next.ask(other, "x", settled+3000, 1)).To(gomega.Equal(wire.ClaimBeforeMinimum))
		gomega.Expect(next.ask(other, "y", settled+3001, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("does not wait while lists without other entries precede its own", func() {
		b := newBench(nil)
		b.Registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: self, HasMinimum: true})
		b.configure(1, nil)
		b.configure(4, list("a"))
		gomega.Expect(b.ask(first, "x", 1000, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("waits as usual if it is not the only entry", func() {
		b := newBench(list("a", "b"))
		b.Registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: self, HasMinimum: true})
		b.configure(1, list("a", "b"))
		gomega.Expect(b.ask(first, "x", 1000, 1)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
})
