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

const settledMillis = int64(60_000) // milliseconds after the start; well after the initial minimum

// list returns entries with the given one-letter ids. The incarnation is the position of the letter
// in the alphabet: 1 for a, 2 for b.
func list(ids ...string) []catalog.Entry {
	var entries []catalog.Entry
	for _, id := range ids {
		entries = append(entries, catalog.Entry{ID: id, Incarnation: uint64(id[0]-'a') + 1, AvailabilityZone: "z" + id})
	}
	return entries
}

// harness drives one registrar with simulated clocks.
type harness struct {
	*claim.Registrar
	entries []catalog.Entry
	at      claim.Instant
}

func newHarness(entries []catalog.Entry) *harness {
	h := &harness{entries: entries, at: claim.Instant{Boot: time.Hour, Wall: epochMillis}}
	h.Registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: self, Retention: time.Minute, MaxRecords: 3})
	h.configure(1, entries)
	return h
}

func (h *harness) configure(revision uint64, entries []catalog.Entry) {
	h.entries = entries
	h.Configured(h.at, claim.Configuration{Revision: revision, Changes: revision, Entries: entries})
	h.LeaseChanged(h.at, h.at.Boot+claim.LeaseDuration)
}

// advance advances both clocks and renews the lease.
func (h *harness) advance(millis int64) {
	h.at.Wall += millis
	h.at.Boot += time.Duration(millis) * time.Millisecond
	h.LeaseChanged(h.at, h.at.Boot+claim.LeaseDuration)
}

// claimOutcome claims an id for the sender. The submission time is in milliseconds after the start.
func (h *harness) claimOutcome(from wire.Claimant, id string, submitted int64, attempt uint64) wire.ClaimOutcome {
	return h.Claim(h.at, from, &wire.Claim{
		Key: job.Key{Organisation: "org", ID: id}, SubmittedAt: epochMillis + submitted, Attempt: attempt, EntriesDigest: claim.EntriesDigest(h.entries),
	}).Outcome
}

var _ = ginkgo.Describe("Registrar", func() {
	var h *harness
	ginkgo.BeforeEach(func() { h = newHarness(list("a")) })

	ginkgo.It("refuses submission times up to the lease duration and twice the maximum clock skew after its first lease", func() {
		h.advance(20_000)
		gomega.Expect(h.claimOutcome(first, "x", 13_000, 1)).To(gomega.Equal(wire.ClaimBeforeMinimum))
		gomega.Expect(h.claimOutcome(first, "x", 13_001, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("refuses a submission time that is ahead by more than the maximum clock skew", func() {
		h.advance(settledMillis)
		gomega.Expect(h.claimOutcome(first, "x", settledMillis+5001, 1)).To(gomega.Equal(wire.ClaimClockAhead))
		gomega.Expect(h.claimOutcome(first, "x", settledMillis+5000, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("still refuses old submission times after its clock was set back", func() {
		h.advance(2 * settledMillis)
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimTooOld))
		h.at.Wall -= 10_000
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimTooOld))
	})
	ginkgo.It("grants nothing without a lease or for another list of entries", func() {
		h.advance(settledMillis)
		h.at.Boot += claim.LeaseDuration
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimNoLease))
		h.advance(0)
		h.entries = list("a", "b")
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimOtherConfiguration))
	})
	ginkgo.It("grants nothing for ids of other registrars or if another incarnation is listed", func() {
		h.advance(settledMillis)
		h.configure(2, list("b", "c", "d"))
		h.advance(settledMillis)
		gomega.Expect(h.claimOutcome(first, "x", 2*settledMillis, 1)).To(gomega.Equal(wire.ClaimOtherConfiguration))
		replaced := list("a")
		replaced[0].Incarnation = 9
		h.configure(3, replaced)
		h.advance(settledMillis)
		gomega.Expect(h.claimOutcome(first, "x", 3*settledMillis, 1)).To(gomega.Equal(wire.ClaimOtherConfiguration))
	})
	ginkgo.It("repeats a grant only to the same claimant with the same submission time", func() {
		h.advance(settledMillis)
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(h.claimOutcome(other, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimTaken))
		gomega.Expect(h.claimOutcome(first, "x", settledMillis+1, 1)).To(gomega.Equal(wire.ClaimOtherTime))
		gomega.Expect(h.claimOutcome(other, "x", settledMillis+1, 1)).To(gomega.Equal(wire.ClaimOtherTime))
	})
	ginkgo.It("checks a repeated grant against the current list of entries", func() {
		h.configure(2, list("a", "b", "c"))
		h.advance(settledMillis)
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimGranted))
		h.configure(3, list("a"))
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 2)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
	ginkgo.It("deletes a grant only on a release by its owner with the same submission time and an attempt that is not older", func() {
		h.advance(settledMillis)
		h.claimOutcome(first, "x", settledMillis, 5)
		at := epochMillis + settledMillis
		release := func(from wire.Claimant, at int64, upTo uint64) {
			h.Release(from, &wire.ClaimRelease{Key: job.Key{Organisation: "org", ID: "x"}, SubmittedAt: at, UpTo: upTo})
		}
		release(first, at, 4)
		release(other, at, 9)
		release(first, at+1, 9)
		gomega.Expect(h.claimOutcome(other, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimTaken))
		release(first, at, 5)
		gomega.Expect(h.claimOutcome(other, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("does not grant a delayed duplicate of an abandoned attempt", func() {
		h.advance(settledMillis)
		h.claimOutcome(first, "x", settledMillis, 5)
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 4)).NotTo(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("evicts the oldest records when it is full and then refuses their ids", func() {
		h.advance(settledMillis)
		for _, id := range []string{"x", "y", "z"} {
			gomega.Expect(h.claimOutcome(first, id, settledMillis, 1)).To(gomega.Equal(wire.ClaimGranted))
		}
		gomega.Expect(h.claimOutcome(first, "w", settledMillis, 1)).To(gomega.Equal(wire.ClaimFull))
		h.advance(40_000)
		gomega.Expect(h.claimOutcome(first, "w", settledMillis+40_000, 1)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(h.claimOutcome(other, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimTooOld))
	})
	ginkgo.It("replies to a query for the owner without granting the id", func() {
		h.advance(settledMillis)
		gomega.Expect(h.claimOutcome(other, "x", settledMillis, 0)).To(gomega.Equal(wire.ClaimFree))
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(h.claimOutcome(other, "x", 0, 0)).To(gomega.Equal(wire.ClaimTaken))
	})
})

var _ = ginkgo.Describe("Registrar after a change of the list of entries", func() {
	// served returns an id of which a is a registrar after the change. It was one before the change
	// if and only if wasServed is true.
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
		h := newHarness(before)
		h.advance(settledMillis)
		h.configure(1+changes, after)
		return h.claimOutcome(first, id, settledMillis, 1)
	}

	ginkgo.It("refuses earlier submission times only of ids for which the registrar is new", func() {
		before, after := list("a", "b", "c", "d"), list("a", "b", "c")
		gomega.Expect(change(before, after, 1, true)).To(gomega.Equal(wire.ClaimGranted))
		gomega.Expect(change(before, after, 1, false)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
	ginkgo.It("refuses earlier submission times of all ids if a list of entries in between is unknown", func() {
		gomega.Expect(change(list("a", "b", "c", "d"), list("a", "b", "c"), 2, true)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
	ginkgo.It("refuses earlier submission times of all ids at a registrar whose incarnation was not listed before", func() {
		before := list("a", "b", "c")
		before[0].Incarnation = 7
		gomega.Expect(change(before, list("a", "b", "c"), 1, true)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
	ginkgo.It("refuses earlier submission times of all ids at a sole registrar that was one of three, not at one that was one of two", func() {
		gomega.Expect(change(list("a", "b", "c"), list("a"), 1, true)).To(gomega.Equal(wire.ClaimBeforeMinimum))
		gomega.Expect(change(list("a", "b"), list("a"), 1, true)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("refuses earlier submission times at a sole registrar that was one of three two changes ago", func() {
		h := newHarness(list("a", "b", "c"))
		h.advance(settledMillis)
		h.configure(2, list("a", "b"))
		h.configure(3, list("a"))
		gomega.Expect(h.claimOutcome(first, "x", settledMillis, 1)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
})

var _ = ginkgo.Describe("Registrar with HasMinimum", func() {
	ginkgo.It("grants after a clean stop only submission times above the highest one that it granted before", func() {
		h := newHarness(list("a"))
		h.advance(settledMillis)
		h.claimOutcome(first, "x", settledMillis+3000, 1)
		stored := h.Minimum()
		next := newHarness(list("a"))
		next.Registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: self, HasMinimum: true, Minimum: stored})
		next.configure(1, list("a"))
		next.advance(settledMillis)
		gomega.Expect(next.claimOutcome(other, "x", settledMillis+3000, 1)).To(gomega.Equal(wire.ClaimBeforeMinimum))
		gomega.Expect(next.claimOutcome(other, "y", settledMillis+3001, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("uses the given minimum if no list so far contains another entry", func() {
		h := newHarness(nil)
		h.Registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: self, HasMinimum: true})
		h.configure(1, nil)
		h.configure(4, list("a"))
		gomega.Expect(h.claimOutcome(first, "x", 1000, 1)).To(gomega.Equal(wire.ClaimGranted))
	})
	ginkgo.It("sets the usual minimum at its first lease if the list contains another entry", func() {
		h := newHarness(list("a", "b"))
		h.Registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: self, HasMinimum: true})
		h.configure(1, list("a", "b"))
		gomega.Expect(h.claimOutcome(first, "x", 1000, 1)).To(gomega.Equal(wire.ClaimBeforeMinimum))
	})
})
