package replication_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/version/replication"
)

func ginkgoFail(format string, args ...any) {
	ginkgo.GinkgoHelper()
	ginkgo.Fail(fmt.Sprintf(format, args...))
}

func formed(seed uint64, size int) *cluster {
	ginkgo.GinkgoHelper()
	c := newCluster(seed, size, ginkgoFail)
	gomega.Expect(c.until(10*time.Second, c.settled)).To(gomega.BeTrue(), "the group does not form")
	return c
}

// follower and other return the two members of three that do not lead.
func (c *cluster) follower() *machine { return c.followers()[0] }
func (c *cluster) other() *machine    { return c.followers()[1] }

func (c *cluster) followers() []*machine {
	var followers []*machine
	for _, m := range c.machines {
		if m != c.leader() {
			followers = append(followers, m)
		}
	}
	return followers
}

var _ = ginkgo.Describe("a group", func() {
	// Guards against a first start that needs a command or never ends.
	ginkgo.It("forms by itself and applies proposals of every member", func() {
		for _, size := range []int{1, 3, 5} {
			c := formed(1, size)
			for i, m := range c.machines {
				m.propose(fmt.Sprintf("x%d", i))
			}
			gomega.Expect(c.until(time.Second, func() bool { return len(c.oracle.commands()) == size && c.settled() })).To(gomega.BeTrue())
			gomega.Expect(c.oracle.bases).To(gomega.BeNumerically(">", 0))
		}
	})

	// Guards against a group without a leader after the leader appended its own removal, crashed
	// and came back as the only member that holds all entries.
	ginkgo.It("elects a member whose removal is not committed if only it can lead", func() {
		c := formed(2, 4)
		old := c.leader()
		c.side[old.name] = 1
		old.propose("lost with the leader")
		old.handle(replication.MembershipChange{Kind: replication.RemoveMember, Member: replication.Member{Name: old.name}})
		c.advance(50 * time.Millisecond)
		old.crash(false)
		old.start()
		clear(c.side)
		for _, m := range c.machines {
			if m != old {
				c.side[m.name] = 1 // one of four is missing; the others need the removed one
				break
			}
		}
		gomega.Expect(c.until(5*time.Second, func() bool { return c.oracle.has("lost with the leader") })).To(gomega.BeTrue())
	})

	// Guards against a restart that never catches up, and against unbounded messages: the member
	// lacks more entries than the others keep and gets the snapshot in many chunks.
	ginkgo.It("brings a member up to date that is hundreds of changes behind", func() {
		c := formed(3, 3)
		late := c.follower()
		late.crash(true)
		for i := range 400 {
			c.leader().propose(fmt.Sprintf("change %d", i))
			c.advance(step)
		}
		c.drop = 0.05
		late.start()
		chunked := false
		gomega.Expect(c.until(5*time.Second, func() bool {
			chunked = chunked || late.core.Incoming()
			return len(late.state) == 400
		})).To(gomega.BeTrue())
		gomega.Expect(chunked).To(gomega.BeTrue())
		gomega.Expect(late.state).To(gomega.Equal(c.oracle.commands()))
	})

	// Guards against a replaced disk that lets a minority elect a leader: the wiped member and the
	// one that lags must not form a quorum. Only the command makes the new folder a voter.
	ginkgo.It("refuses a wiped member as a voter until it is replaced by command", func() {
		c := formed(4, 3)
		leader, wiped, lagging := c.leader(), c.follower(), c.other()
		lagging.crash(false)
		leader.propose("accepted by leader and wiped")
		gomega.Expect(c.until(time.Second, func() bool { return c.oracle.has("accepted by leader and wiped") })).To(gomega.BeTrue())
		leader.crash(false)
		wiped.wipe()
		lagging.start()
		c.advance(5 * time.Second)
		gomega.Expect(c.leader()).To(gomega.BeNil())
		gomega.Expect(wiped.core.Status().OtherGroup).NotTo(gomega.BeZero())
		leader.start()
		gomega.Expect(c.until(3*time.Second, func() bool { return c.leader() == leader && len(leader.core.Status().Joining) == 1 })).To(gomega.BeTrue())
		c.advance(time.Second)
		gomega.Expect(c.settled()).To(gomega.BeFalse())
		leader.handle(replication.MembershipChange{Kind: replication.ReplaceMember, Member: replication.Member{Name: wiped.name}})
		gomega.Expect(c.until(3*time.Second, c.settled)).To(gomega.BeTrue())
	})

	// Guards against a folder restored from a backup that votes as if it held what it acknowledged.
	ginkgo.It("bars a member whose folder is older than what it acknowledged", func() {
		c := formed(5, 3)
		leader, restored, lagging := c.leader(), c.follower(), c.other()
		backup := restored.files.Save()
		lagging.crash(false)
		leader.propose("accepted by leader and restored")
		gomega.Expect(c.until(time.Second, func() bool { return c.oracle.has("accepted by leader and restored") })).To(gomega.BeTrue())
		c.advance(100 * time.Millisecond)
		restored.crash(false)
		restored.files.Load(backup)
		restored.start()
		gomega.Expect(c.until(time.Second, func() bool { return restored.core.Status().Barred })).To(gomega.BeTrue())
		leader.propose("needs a vote that does not count")
		c.advance(300 * time.Millisecond)
		gomega.Expect(c.oracle.has("needs a vote that does not count")).To(gomega.BeFalse())
		restored.crash(false)
		restored.start()
		gomega.Expect(restored.core.Status().Barred).To(gomega.BeTrue(), "not durable")
		leader.crash(false)
		lagging.start()
		c.advance(5 * time.Second)
		gomega.Expect(c.leader()).To(gomega.BeNil())
		leader.start()
		gomega.Expect(c.until(3*time.Second, func() bool { return c.oracle.has("needs a vote that does not count") })).To(gomega.BeTrue())
	})

	// Guards against a returning or a removed member that ends a working leader's term.
	ginkgo.It("is not disturbed by isolated and by removed members", func() {
		c := formed(6, 3)
		leader, member := c.leader(), c.follower()
		term := leader.core.Status().Term
		c.side[member.name] = 1
		c.advance(10 * time.Second)
		clear(c.side)
		c.advance(2 * time.Second)
		gomega.Expect(leader.core.Status().Term).To(gomega.Equal(term))
		leader.handle(replication.MembershipChange{Kind: replication.RemoveMember, Member: replication.Member{Name: member.name}})
		c.advance(5 * time.Second)
		gomega.Expect(leader.core.Status().Configuration.Voters()).To(gomega.Equal(2))
		gomega.Expect(leader.core.Status().Term).To(gomega.Equal(term))
		gomega.Expect(leader.core.Status().Role).To(gomega.Equal(replication.Leader))
	})

	// Guards against a leader that stays in office, or whose basis stays young, while it is cut off
	// or after it was suspended.
	ginkgo.It("lets the basis of an isolated or suspended leader age", func() {
		c := formed(7, 3)
		old := c.leader()
		c.side[old.name] = 1
		start := c.now
		gomega.Expect(c.until(time.Second, func() bool { return old.core.Status().Role != replication.Leader })).To(gomega.BeTrue())
		c.advance(2 * time.Second)
		_, age, ok := old.core.Basis(old.local())
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(age).To(gomega.BeNumerically(">=", c.now-start))
		clear(c.side)
		gomega.Expect(c.until(3*time.Second, c.settled)).To(gomega.BeTrue())
		suspended := c.leader()
		suspended.paused = c.now + 10*time.Second
		c.advance(10*time.Second - step)
		_, age, _ = suspended.core.Basis(suspended.local())
		gomega.Expect(age).To(gomega.BeNumerically(">=", 9*time.Second))
		gomega.Expect(c.until(3*time.Second, c.settled)).To(gomega.BeTrue())
	})

	// Guards against a planned restart of the leader that costs a whole election timeout.
	ginkgo.It("hands leadership over on request", func() {
		c := formed(8, 3)
		old := c.leader()
		old.propose("before")
		old.handle(replication.TransferLeadership{})
		old.propose("refused")
		gomega.Expect(old.replies).To(gomega.HaveLen(1))
		gomega.Expect(old.replies[0].MayBeCommitted).To(gomega.BeFalse())
		gomega.Expect(c.until(150*time.Millisecond, func() bool { return c.leader() != old && c.leader() != nil })).To(gomega.BeTrue())
		gomega.Expect(c.until(time.Second, c.settled)).To(gomega.BeTrue())
		gomega.Expect(c.oracle.commands()).To(gomega.Equal([]string{"before"}))
	})

	// Guards against a proposal that vanishes: it is refused, or it may still be committed.
	ginkgo.It("answers proposals that it cannot take", func() {
		c := newCluster(9, 3, ginkgoFail)
		m := c.machines[0]
		m.propose("no leader")
		gomega.Expect(m.replies).To(gomega.HaveLen(1))
		gomega.Expect(c.until(10*time.Second, c.settled)).To(gomega.BeTrue())
		for _, m := range c.machines {
			m.replies = nil
			m.propose(string(make([]byte, replication.MaxProposalBytes+1)))
			gomega.Expect(m.replies).To(gomega.HaveLen(1))
			gomega.Expect(m.replies[0].MayBeCommitted).To(gomega.BeFalse())
		}
		follower, leader := c.follower(), c.leader()
		follower.replies = nil
		follower.propose("forwarded during a handover")
		leader.handle(replication.TransferLeadership{})
		c.advance(20 * time.Millisecond)
		gomega.Expect(follower.replies).To(gomega.HaveLen(1))
		gomega.Expect(follower.replies[0].MayBeCommitted).To(gomega.BeTrue())
	})

	// Guards against members that time out together, split the votes and wait for a second timeout.
	ginkgo.It("elects one of several candidates without a second timeout", func() {
		for seed := range uint64(40) {
			c := formed(2000+seed, 3+2*int(seed%2))
			c.leader().crash(false)
			for _, m := range c.followers() {
				m.paused = c.now + time.Second
			}
			c.advance(time.Second - step)
			c.packets = nil // the old leader's last heartbeats
			gomega.Expect(c.until(replication.ElectionTimeoutMin, func() bool { return c.leader() != nil })).To(gomega.BeTrue())
		}
	})

	// Guards against elections that outlast the bound of 1.5 s, within which leases stay valid.
	ginkgo.It("elects a new leader within the bound", func() {
		var times []time.Duration
		for seed := range uint64(200) {
			c := formed(1000+seed, 3)
			old := c.leader()
			c.advance(time.Duration(seed) * step)
			old.crash(false)
			start := c.now
			gomega.Expect(c.until(10*time.Second, func() bool {
				l := c.leader()
				return l != nil && l.core.Status().Commit == l.core.Status().Last
			})).To(gomega.BeTrue())
			times = append(times, c.now-start)
		}
		slices.Sort(times)
		ginkgo.AddReportEntry("leader lost to change accepted", fmt.Sprintf("p50 %v, p90 %v, p99 %v, max %v of %d", times[100], times[180], times[198], times[199], len(times)))
		gomega.Expect(times[199]).To(gomega.BeNumerically("<=", 1500*time.Millisecond))
	})
})
