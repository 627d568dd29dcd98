package control_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/control"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/lease"
	"pollenpaddle/internal/version/replication"
)

var _ = ginkgo.Describe("three control members", func() {
	// Guards against a change that is lost or applied twice when the leader fails before it replies.
	ginkgo.It("return the first outcome for a resent change after the leader has failed", func() {
		g := startGroup(3)
		leader := g.leader()
		first := change("c1", catalog.FirstRevision, quota(1))
		outcome, err := leader.server.Propose(timeoutContext(10), first)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = leader.server.Propose(timeoutContext(10), change("c2", outcome.Revision, quota(2)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		leader.stop()
		for _, m := range g.members {
			if m == leader {
				continue
			}
			again, err := m.server.Propose(timeoutContext(10), first)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(again).To(gomega.Equal(outcome))
			_, err = m.server.Propose(timeoutContext(10), change("c1", catalog.FirstRevision, quota(7)))
			gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.InvalidArgument))
			// A member that returns its recorded outcome of c1 may not have applied c2 yet.
			gomega.Eventually(func() int {
				organisation, _ := m.server.State().Organisation("swan")
				return organisation.Slots
			}).Should(gomega.Equal(2))
		}
	})

	// Guards against two changes with the same expected revision that both take effect.
	ginkgo.It("accept exactly one of several changes with the same expected revision", func() {
		g := startGroup(3)
		g.leader()
		entry := startProcess(wire.RoleEntry, "entry-1", 1, g.addresses()...)
		gomega.Eventually(entry.leased).Should(gomega.BeTrue())
		expected := entry.revision()
		var mu sync.Mutex
		outcomes := map[failure.Kind]int{}
		var operators sync.WaitGroup
		for i := range 12 {
			operators.Go(func() {
				command := change(fmt.Sprint("concurrent-", i), expected, quota(i+1))
				var err error
				if i%4 == 3 {
					_, err = entry.Propose(timeoutContext(10), command)
				} else {
					_, err = g.members[i%4].server.Propose(timeoutContext(10), command)
				}
				kind := failure.Kind("")
				if err != nil {
					kind = failure.KindOf(err)
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[kind]++
			})
		}
		operators.Wait()
		gomega.Expect(outcomes).To(gomega.Equal(map[failure.Kind]int{"": 1, failure.RevisionConflict: 11}))
	})

	// Guards against starts in a zone that was taken out of service while the process has a session with a
	// member that is isolated from the others, and against processes that keep such a session.
	ginkgo.It("grant no lease through a member that is isolated from the majority", func() {
		g := startGroup(3)
		leader := g.leader()
		isolated := g.members[0]
		if isolated == leader {
			isolated = g.members[1]
		}
		staying := startProcess(wire.RoleAgent, "agent-1", 1, isolated.address)
		switching := startProcess(wire.RoleAgent, "agent-2", 1, append([]string{isolated.address}, g.addresses()...)...)
		gomega.Eventually(func() bool { return staying.leased() && switching.leased() }).Should(gomega.BeTrue())
		gomega.Eventually(func() bool { _, known := leader.server.State().AvailabilityZone("subiaco"); return known }).Should(gomega.BeTrue())
		g.isolate(isolated, true)
		outcome, err := leader.server.Propose(timeoutContext(10), change("out", leader.server.State().Revision, catalog.SetZone{Name: "subiaco", Out: true}))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		committed := clock.SinceBoot()
		gomega.Eventually(switching.revision).Should(gomega.Equal(outcome.Revision))
		gomega.Expect(switching.State().ZoneOut("subiaco")).To(gomega.BeTrue())
		gomega.Eventually(staying.leased).Should(gomega.BeFalse())
		gomega.Expect(staying.revision()).To(gomega.BeNumerically("<", outcome.Revision))
		gomega.Expect(staying.leaseEnd()).To(gomega.BeNumerically("<", committed+lease.Duration))
		gomega.Eventually(switching.leased).Should(gomega.BeTrue())
		g.isolate(isolated, false)
		gomega.Eventually(staying.leased).Should(gomega.BeTrue())
		gomega.Expect(staying.State().ZoneOut("subiaco")).To(gomega.BeTrue())
		gomega.Expect(staying.leasedTooEarly() || switching.leasedTooEarly()).To(gomega.BeFalse())
	})

	// Guards against a restart that loses changes or their outcomes after snapshots have replaced the log,
	// and against a lagging member that keeps an old configuration.
	ginkgo.It("keep all changes across a restart of all members", func() {
		snapshots := func(c *control.Config) { c.SnapshotEvery = 50 }
		g := startGroup(3, snapshots)
		leader := g.leader()
		lagging := g.members[0]
		if lagging == leader {
			lagging = g.members[1]
		}
		lagging.stop()
		outcome, err := leader.server.Propose(timeoutContext(10), change("first", catalog.FirstRevision, quota(1)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		last := outcome
		for i := range 300 {
			last, err = leader.server.Propose(timeoutContext(10), change(fmt.Sprint("c", i), last.Revision, quota(2+i)))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		for _, m := range g.members {
			m.stop()
		}
		for _, m := range g.members {
			m.start(snapshots)
		}
		for _, m := range g.members {
			gomega.Eventually(func() uint64 { return m.server.State().Revision }).Should(gomega.Equal(last.Revision))
			again, err := m.server.Propose(timeoutContext(10), change("first", catalog.FirstRevision, quota(1)))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(again).To(gomega.Equal(outcome))
		}
	})

	// Guards against a drain that leaves agents without a configuration lease.
	ginkgo.It("transfer leadership and agents when the leader drains", func() {
		g := startGroup(3)
		leader := g.leader()
		agent := startProcess(wire.RoleAgent, "agent-1", 1, append([]string{leader.address}, g.addresses()...)...)
		gomega.Eventually(agent.leased).Should(gomega.BeTrue())
		gomega.Expect(leader.server.Drain(timeoutContext(10))).To(gomega.Succeed())
		leader.stop()
		gomega.Consistently(agent.leased, "4s", "20ms").Should(gomega.BeTrue())
		gomega.Expect(g.leader()).NotTo(gomega.Equal(leader))
	})
})

var _ = ginkgo.Describe("the directory of entries", func() {
	present := func(m *member, id string, incarnation uint64) func() bool {
		return func() bool {
			known, found := m.server.State().Entry(id)
			return found && known.Incarnation == incarnation
		}
	}

	// Guards against a planned replacement that leaves the group with one voter less than its size.
	ginkgo.It("give the place of a member that drains to a process that waits to join", func() {
		automatic := func(c *control.Config) { c.AutomaticMembership, c.Size, c.Bootstrap = true, 3, true }
		g := startGroup(3, automatic)
		successor := newMember(3, ginkgo.GinkgoT().TempDir())
		for _, m := range g.members {
			successor.peers = append(successor.peers, replication.Member{Name: m.name, Address: m.address})
		}
		successor.start(automatic, func(c *control.Config) { c.Bootstrap = false })
		ginkgo.DeferCleanup(func() { successor.stop() })
		ending := g.leader()
		gomega.Eventually(func() string { return fmt.Sprintf("%+v", ending.server.Dump()) }).Should(gomega.MatchRegexp(`Joining:\[[^\]]*Name:control-3`))
		gomega.Expect(ending.server.Drain(timeoutContext(10))).To(gomega.Succeed())
		ending.stop()
		g.members = append(slices.DeleteFunc(g.members, func(m *member) bool { return m == ending }), successor)
		gomega.Expect(g.formed()).To(gomega.BeTrue(), "the members are not the remaining ones and the successor, all voters")
	})

	// Guards against an entry that is removed because it switched to another member. Entries are also the
	// registrars, which grant claims: their set would change, and claims would stall for claim.GrantDelay
	// (13 s).
	ginkgo.It("keeps an entry that switches members, removes one without sessions and adds it when it returns", func() {
		g := startGroup(3, func(c *control.Config) { c.EntryTimeout = 2500 * time.Millisecond })
		leader := g.leader()
		entry := startProcess(wire.RoleEntry, "entry-1", 5, g.members[0].address)
		gomega.Eventually(present(leader, "entry-1", 5)).Should(gomega.BeTrue())
		// The entry and its availability zone are added by two changes, in either order.
		gomega.Eventually(func() int { return len(leader.server.State().AvailabilityZones) }).Should(gomega.Equal(1))
		joined := leader.server.State().Revision
		entry.stop()
		entry = startProcess(wire.RoleEntry, "entry-1", 5, g.members[1].address)
		gomega.Consistently(present(leader, "entry-1", 5), "4s", "50ms").Should(gomega.BeTrue())
		gomega.Expect(leader.server.State().Revision).To(gomega.Equal(joined))
		entry.stop()
		gomega.Eventually(present(leader, "entry-1", 5)).Should(gomega.BeFalse())
		entry = startProcess(wire.RoleEntry, "entry-1", 5, g.members[2].address)
		gomega.Eventually(present(leader, "entry-1", 5)).Should(gomega.BeTrue())
		entry.AnnounceDrain()
		gomega.Eventually(present(leader, "entry-1", 5), "1s").Should(gomega.BeFalse())
	})

	// Guards against a removal that is dropped because the addition of the same entry is still in progress;
	// the entry would then stay in the directory until the next tick, a second later.
	ginkgo.It("removes an entry that leaves while its addition is in progress", func() {
		g := startGroup(3)
		leader := g.leader()
		through := g.members[0]
		if through == leader {
			through = g.members[1]
		}
		for incarnation := uint64(1); incarnation <= 5; incarnation++ {
			entry := startProcess(wire.RoleEntry, "entry-1", incarnation, through.address)
			gomega.Eventually(present(leader, "entry-1", incarnation), "5s", "100us").Should(gomega.BeTrue())
			entry.AnnounceDrain()
			gomega.Eventually(present(leader, "entry-1", incarnation), "500ms", "5ms").Should(gomega.BeFalse())
			entry.stop()
		}
	})

	// Guards against a second process that replaces a live entry with the same id, and against a restarted
	// entry that must wait for the timeout of its earlier incarnation.
	ginkgo.It("admits a restarted entry but not a second process with the same id", func() {
		g := startGroup(1)
		m := g.leader()
		first := startProcess(wire.RoleEntry, "entry-1", 1, m.address)
		gomega.Eventually(present(m, "entry-1", 1)).Should(gomega.BeTrue())
		startProcess(wire.RoleEntry, "entry-1", 2, m.address)
		gomega.Consistently(present(m, "entry-1", 1), "2500ms", "50ms").Should(gomega.BeTrue())
		first.stop()
		gomega.Eventually(present(m, "entry-1", 2), "3s").Should(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("membership commands", func() {
	// Guards against the rejection of an addition because the identity of the new data folder is missing,
	// and against the addition of a process that has not asked to join.
	ginkgo.It("add a member and remove it again", func() {
		g := startGroup(3)
		added := newMember(3, filepath.Join(ginkgo.GinkgoT().TempDir(), "added"))
		err := changeMember(g.leader(), wire.AdminAdd, added.name, added.address)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("has asked to join")))
		for _, m := range g.members {
			added.peers = append(added.peers, replication.Member{Name: m.name, Address: m.address})
		}
		added.peers = append(added.peers, replication.Member{Name: added.name, Address: added.address})
		added.start()
		ginkgo.DeferCleanup(func() { added.stop() })
		gomega.Eventually(func() error {
			return changeMember(g.leader(), wire.AdminAdd, added.name, added.address)
		}).Should(gomega.Succeed())
		voters := func() int {
			n := 0
			status, err := g.leader().server.Status(timeoutContext(5))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for _, m := range status.Members {
				if m.Voter {
					n++
				}
			}
			return n
		}
		gomega.Eventually(voters).Should(gomega.Equal(4))
		gomega.Eventually(added.server.Ready).Should(gomega.Succeed())
		// The list shows a change before it is committed; until then other changes are rejected.
		gomega.Eventually(func() error { return changeMember(g.leader(), wire.AdminRemove, added.name, "") }).Should(gomega.Succeed())
		gomega.Eventually(voters).Should(gomega.Equal(3))
	})

	// Guards against a removal or replacement that was requested before the latest change of the members and takes
	// effect after it, because it waited at a paused process.
	ginkgo.It("reject a change that is based on an earlier revision, at the leader and at a follower", func() {
		g := startGroup(3)
		leader := g.leader()
		removed, follower := g.members[0], g.members[1]
		if removed == leader {
			removed = g.members[2]
		}
		if follower == leader {
			follower = g.members[2]
		}
		if follower == removed {
			follower = g.members[0]
		}
		read, err := leader.server.MembersRevision(timeoutContext(5))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() error { return changeMember(leader, wire.AdminRemove, removed.name, "") }).Should(gomega.Succeed())
		late := wire.MemberChange{Kind: wire.AdminRemove, Name: follower.name, Expected: read}
		for _, asked := range []*member{leader, follower} {
			gomega.Eventually(func() failure.Kind {
				return failure.KindOf(asked.server.ChangeMember(timeoutContext(5), late))
			}).Should(gomega.Equal(failure.RevisionConflict))
		}
		status, err := g.leader().server.Status(timeoutContext(5))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(status.Members).To(gomega.HaveLen(2))
	})

	// Guards against a member that lost its data folder and is still not in the group after it was replaced.
	ginkgo.It("replace a member whose data folder was lost, by a command to any member", func() {
		g := startGroup(3)
		leader := g.leader()
		lost := g.members[0]
		if lost == leader {
			lost = g.members[1]
		}
		lost.stop()
		lost.folder = ginkgo.GinkgoT().TempDir()
		lost.start()
		asked := g.members[2]
		if asked == leader {
			asked = g.members[1]
		}
		replaced := func() bool {
			status, err := asked.server.Status(timeoutContext(5))
			if err != nil {
				return false
			}
			for _, m := range status.Members {
				if m.Name == lost.name {
					return m.ReplacedBy != ""
				}
			}
			return false
		}
		gomega.Eventually(replaced).Should(gomega.BeTrue())
		gomega.Expect(changeMember(asked, wire.AdminReplace, lost.name, "")).To(gomega.Succeed())
		gomega.Eventually(lost.server.Ready).Should(gomega.Succeed())
		outcome, err := lost.server.Propose(timeoutContext(10), change("c", lost.server.State().Revision, quota(1)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() uint64 { return lost.server.State().Revision }).Should(gomega.Equal(outcome.Revision))
	})
})
