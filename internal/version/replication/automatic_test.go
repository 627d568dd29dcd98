package replication_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/version/replication"
)

// newSettledAutomaticCluster returns a cluster whose machines formed a group with automatic membership
// of the given size. The first three machines are the peers that every machine knows. The seed
// determines everything that happens.
func newSettledAutomaticCluster(seed uint64, size int) *cluster {
	c := newAutomaticCluster(seed, size, ginkgoFail)
	gomega.Expect(c.runUntil(10*time.Second, c.settled)).To(gomega.BeTrue(), "the group does not form")
	return c
}

func newAutomaticCluster(seed uint64, size int, fail func(string, ...any)) *cluster {
	c := newCluster(seed, 0, fail)
	c.automaticSize = size
	for i := range 3 {
		c.peers = append(c.peers, replication.Member{Name: fmt.Sprintf("control-%d", i+1), Address: "loopback"})
	}
	for i := range size {
		c.addMachine(fmt.Sprintf("control-%d", i+1), seed+uint64(i))
	}
	return c
}

// proposeMany proposes n commands, so that the log becomes longer than what members keep after a
// snapshot.
func (c *cluster) proposeMany(n int) {
	for k := range n {
		if leader := c.leader(); leader != nil {
			leader.propose(fmt.Sprint("command", k))
		}
		c.advance(20 * time.Millisecond)
	}
}

var _ = ginkgo.Describe("a group with automatic membership", func() {
	// Guards against members that are left out because they are not among the peers.
	ginkgo.It("grows to its size from three peers", func() {
		for _, size := range []int{3, 5} {
			c := newSettledAutomaticCluster(uint64(size), size)
			c.leader().propose("x")
			gomega.Expect(c.runUntil(2*time.Second, func() bool { return c.oracle.hasCommand("x") && c.settled() })).To(gomega.BeTrue())
		}
	})

	// Guards against members with a replaced disk that remain outside the group. One or two disks are
	// lost, including that of the leader.
	ginkgo.It("readmits members that have lost their disks", func() {
		for _, size := range []int{3, 5} {
			for lost := 1; lost <= size/2; lost++ {
				c := newSettledAutomaticCluster(uint64(10*size+lost), size)
				c.proposeMany(60)
				leader := c.leader()
				leader.replaceDisk()
				for _, m := range c.machines {
					if m != leader && lost > 1 {
						m.replaceDisk()
						break
					}
				}
				gomega.Expect(c.runUntil(15*time.Second, c.settled)).To(gomega.BeTrue(), "size %d, lost %d", size, lost)
			}
		}
	})

	// Guards against a group without a leader after all members have restarted and a minority has lost
	// its disks. With five members, two of them restart with empty disks.
	ginkgo.It("recovers when all members restart and a minority has lost its disk", func() {
		for _, size := range []int{3, 5} {
			c := newSettledAutomaticCluster(uint64(20*size), size)
			c.proposeMany(60)
			for _, m := range c.machines {
				m.crash(true)
			}
			for i, m := range c.machines {
				if i < size/2 {
					m.replaceDisk()
				} else {
					m.start()
				}
			}
			gomega.Expect(c.runUntil(15*time.Second, c.settled)).To(gomega.BeTrue(), "size %d", size)
			gomega.Expect(c.oracle.hasCommand("command59")).To(gomega.BeTrue())
		}
	})

	// Guards against a lost member that is never replaced, and against a new process that forms a second
	// group.
	ginkgo.It("replaces a lost member with a new process", func() {
		c := newSettledAutomaticCluster(31, 3)
		lostMember := c.firstFollower()
		lostMember.crash(false)
		c.machines = c.without(lostMember)
		c.addMachine("control-new", 99).noBootstrap = true
		gomega.Expect(c.runUntil(15*time.Second, c.settled)).To(gomega.BeTrue())
	})

	// Guards against a member with a replaced disk that cannot reply to a leader that is not one of its
	// peers. Such a member remains without the log, and the group does not survive the next loss of two
	// disks.
	ginkgo.It("readmits a member that does not know the leader from its settings", func() {
		c := newSettledAutomaticCluster(41, 5)
		isPeer := func(m *machine) bool {
			return slices.ContainsFunc(c.peers, func(peer replication.Member) bool { return peer.Name == m.name })
		}
		for c.leader() == nil || isPeer(c.leader()) {
			if leader := c.leader(); leader != nil {
				leader.crash(false)
				c.advance(1500 * time.Millisecond)
				leader.start()
			}
			c.advance(500 * time.Millisecond)
		}
		gomega.Expect(c.runUntil(5*time.Second, c.settled)).To(gomega.BeTrue())
		gomega.Expect(isPeer(c.leader())).To(gomega.BeFalse())
		c.byName("control-1").replaceDisk()
		gomega.Expect(c.runUntil(6*time.Second, c.settled)).To(gomega.BeTrue())
	})

	// Guards against a process that was replaced during a partition and never becomes a member again.
	ginkgo.It("readmits a replaced member after another one is lost", func() {
		c := newSettledAutomaticCluster(32, 3)
		partitioned := c.firstFollower()
		c.partitionOf[partitioned.name] = 1
		added := c.addMachine("control-new", 99)
		gomega.Expect(c.runUntil(15*time.Second, func() bool {
			leader := c.leader()
			return leader != nil && leader.core.Status().Configuration.IsVoter(added.store.Identity())
		})).To(gomega.BeTrue())
		clear(c.partitionOf)
		c.advance(4 * time.Second)
		added.crash(false)
		c.machines = c.without(added)
		gomega.Expect(c.runUntil(20*time.Second, c.settled)).To(gomega.BeTrue())
	})
})

// without returns all machines except one.
func (c *cluster) without(excluded *machine) []*machine {
	var rest []*machine
	for _, m := range c.machines {
		if m != excluded {
			rest = append(rest, m)
		}
	}
	return rest
}

// TestAutomaticGroup guards against lost entries, two groups and votes of members with an empty disk,
// while members crash, are partitioned, are replaced as planned and lose their disks one at a time.
func TestAutomaticGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newAutomaticCluster(rapid.Uint64().Draw(t, "seed"), 3, t.Fatalf)
		if !c.runUntil(10*time.Second, c.settled) {
			t.Fatalf("the group does not form")
		}
		s := &schedule{cluster: c}
		for range rapid.IntRange(2, 10).Draw(t, "faults") {
			switch rapid.IntRange(0, 6).Draw(t, "fault") {
			case 0:
				s.anyMachine(t).crash(rapid.Bool().Draw(t, "reboot"))
			case 1:
				s.startIfDown(s.anyMachine(t))
			case 2:
				s.partition(t)
			case 3:
				s.networkFaults(t)
			case 4:
				c.removeFaults()
				if c.runUntil(20*time.Second, c.settled) {
					s.anyMachine(t).replaceDisk()
				}
			case 5:
				if m := s.anyMachine(t); m.core != nil {
					s.commands++
					m.propose(fmt.Sprint("c", s.commands))
				}
			case 6:
				s.replaceAsPlanned(t)
			}
			s.run(t)
		}
		c.removeFaults()
		if !c.runUntil(30*time.Second, c.settled) {
			t.Fatalf("the group does not recover")
		}
	})
}
