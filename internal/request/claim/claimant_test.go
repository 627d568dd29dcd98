package claim_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/version/catalog"
)

var _ = ginkgo.Describe("Claimant", func() {
	const start = time.Hour
	var c *claim.Claimant
	configure := func(revision uint64, entries []catalog.Entry) {
		c.Step(start, claim.Configured{Configuration: claim.Configuration{Revision: revision, Changes: revision, Entries: entries}})
	}
	// sent returns the claims among actions.
	sent := func(actions []claim.Action) (claims []*wire.Claim) {
		for _, a := range actions {
			s, _ := a.(claim.Send)
			if m, ok := s.Message.(*wire.Claim); ok {
				claims = append(claims, m)
			}
		}
		return claims
	}
	reply := func(now time.Duration, from string, attempt uint64, outcome wire.ClaimOutcome) []claim.Action {
		return c.Step(now, claim.Received{
			From:  wire.Claimant{EntryID: from, Incarnation: uint64(from[0]-'a') + 1},
			Reply: &wire.ClaimReply{Key: key, SubmittedAt: 1, Attempt: attempt, Outcome: outcome, Owner: other},
		})
	}
	request := func() []claim.Action { return c.Step(start, claim.Requested{Key: key, SubmittedAt: 1}) }
	ginkgo.BeforeEach(func() {
		c = claim.NewClaimant(claim.ClaimantConfig{})
		configure(1, list("a", "b", "c"))
		c.Step(start, claim.LeaseChanged{Deadline: start + claim.LeaseDuration})
	})

	ginkgo.It("owns the id after grants from two of three registrars", func() {
		gomega.Expect(sent(request())).To(gomega.HaveLen(3))
		gomega.Expect(reply(start, "a", 1, wire.ClaimGranted)).To(gomega.BeEmpty())
		gomega.Expect(reply(start, "a", 1, wire.ClaimGranted)).To(gomega.BeEmpty(), "a duplicate grant is not counted")
		gomega.Expect(reply(start, "b", 1, wire.ClaimGranted)).To(gomega.ConsistOf(gomega.BeAssignableToTypeOf(claim.Owned{})))
	})
	ginkgo.It("does not count a grant that arrives after the deadline", func() {
		request()
		reply(start, "a", 1, wire.ClaimGranted)
		actions := reply(start+claim.DefaultTimeout, "b", 1, wire.ClaimGranted)
		gomega.Expect(actions).NotTo(gomega.ContainElement(gomega.BeAssignableToTypeOf(claim.Owned{})))
		gomega.Expect(actions).To(gomega.ContainElement(gomega.BeAssignableToTypeOf(claim.Failed{})))
	})
	ginkgo.It("does not count grants of an abandoned attempt", func() {
		request()
		reply(start, "a", 1, wire.ClaimNoLease)
		reply(start, "b", 1, wire.ClaimNoLease)
		claims := sent(c.Step(start+100*time.Millisecond, claim.Tick{}))
		gomega.Expect(claims).To(gomega.HaveLen(3))
		gomega.Expect(claims[0].Attempt).To(gomega.BeEquivalentTo(2))
		reply(start+100*time.Millisecond, "a", 1, wire.ClaimGranted)
		gomega.Expect(reply(start+100*time.Millisecond, "b", 1, wire.ClaimGranted)).To(gomega.BeEmpty())
	})
	ginkgo.It("sends no claim without a lease on the configuration that it uses", func() {
		c = claim.NewClaimant(claim.ClaimantConfig{Timeout: time.Minute})
		configure(1, list("a", "b", "c"))
		gomega.Expect(sent(request())).To(gomega.BeEmpty())
		c.Step(start, claim.LeaseChanged{Deadline: start + claim.LeaseDuration})
		gomega.Expect(sent(c.Step(start+100*time.Millisecond, claim.Tick{}))).To(gomega.HaveLen(3))
		gomega.Expect(sent(c.Step(start+claim.LeaseDuration, claim.Tick{}))).To(gomega.BeEmpty(), "the lease has expired")
	})
	ginkgo.It("starts a new attempt with the registrars of a new configuration", func() {
		request()
		configure(2, list("b", "c", "d"))
		claims := sent(c.Step(start+300*time.Millisecond, claim.Tick{}))
		gomega.Expect(claims).To(gomega.HaveLen(3))
		gomega.Expect(claims[0].EntriesDigest).To(gomega.Equal(claim.EntriesDigest(list("b", "c", "d"))))
		gomega.Expect(claims[0].Attempt).To(gomega.BeEquivalentTo(2))
	})
	ginkgo.It("reports the owner that a registrar reports", func() {
		request()
		reply(start, "a", 1, wire.ClaimTaken)
		gomega.Expect(reply(start, "b", 1, wire.ClaimTaken)).To(gomega.ContainElement(claim.Taken{Key: key, Owner: other}))
	})
	ginkgo.It("reports a job as not run only if its id was generated", func() {
		for _, generated := range []bool{true, false} {
			c = claim.NewClaimant(claim.ClaimantConfig{})
			c.Step(start, claim.Requested{Key: key, SubmittedAt: 1, Generated: generated})
			actions := c.Step(start+claim.DefaultTimeout, claim.Tick{})
			gomega.Expect(actions).To(gomega.HaveLen(1))
			want := failure.MayHaveRun
			if generated {
				want = failure.Unavailable
			}
			gomega.Expect(actions[0].(claim.Failed).Error.Kind).To(gomega.Equal(want))
		}
	})
})

var _ = ginkgo.Describe("Registrars", func() {
	ginkgo.It("prefers distinct zones and changes the registrars of few ids when an entry leaves", func() {
		entries := list("a", "b", "c", "d", "e", "f", "g", "h")
		for i := range entries {
			entries[i].AvailabilityZone = fmt.Sprint(i % 4)
		}
		moved := 0
		const ids = 2000
		for i := range ids {
			k := job.Key{Organisation: "org", ID: fmt.Sprint(i)}
			chosen := claim.Registrars(entries, k)
			zones := map[string]bool{}
			for _, e := range chosen {
				zones[e.AvailabilityZone] = true
			}
			gomega.Expect(zones).To(gomega.HaveLen(3))
			if fmt.Sprint(claim.Registrars(entries[:7], k)) != fmt.Sprint(chosen) {
				moved++
			}
		}
		// The expected share is 3/8; the limit allows for chance and for the preference of zones.
		gomega.Expect(moved).To(gomega.BeNumerically("<", ids/2))
	})
	ginkgo.It("returns all entries if there are fewer than three", func() {
		gomega.Expect(claim.Registrars(list("a", "b"), key)).To(gomega.HaveLen(2))
		gomega.Expect(claim.Registrars(nil, key)).To(gomega.BeEmpty())
		gomega.Expect([]int{claim.Majority(1), claim.Majority(2), claim.Majority(3)}).To(gomega.Equal([]int{1, 2, 2}))
	})
})
