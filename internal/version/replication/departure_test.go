package replication_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/version/replication"
)

// graceTime is the time that a departing process has before it is killed.
const graceTime = 6 * time.Second

// departure is the planned end of one machine.
type departure struct {
	machine *machine
	until   time.Duration // when its process is killed
}

// depart lets a machine depart as a process does: a leader transfers its leadership first.
func (c *cluster) depart(m *machine) *departure {
	if c.leader() == m {
		m.handle(replication.TransferLeadership{})
	}
	m.handle(replication.Depart{})
	return &departure{machine: m, until: c.now + graceTime}
}

// replaceAsPlanned starts a successor of a machine and lets the machine depart, under the present faults of the network.
func (s *schedule) replaceAsPlanned(t *rapid.T) {
	if !s.runUntil(20*time.Second, s.settled) {
		return
	}
	ending := s.anyMachine(t)
	s.startSuccessor(fmt.Sprint("successor-", s.now), s.random.Uint64())
	s.run(t)
	if ending.core == nil {
		ending.start()
	}
	d := s.depart(ending)
	s.run(t)
	s.awaitDepartures(d)
	s.peers = nil // as in the settings of a process that starts now
	for _, m := range s.machines {
		s.peers = append(s.peers, replication.Member{Name: m.name, Address: "loopback"})
	}
}

// startSuccessor starts a process that may not form a group and requests to join.
func (c *cluster) startSuccessor(name string, seed uint64) *machine {
	joiner := c.addMachine(name, seed)
	joiner.crash(false)
	joiner.noBootstrap = true
	joiner.start()
	return joiner
}

// awaitDepartures runs the cluster until all departing processes have ended.
func (c *cluster) awaitDepartures(departures ...*departure) {
	c.runUntil(graceTime+time.Second, func() bool {
		ended := true
		for _, d := range departures {
			if m := d.machine; m.core != nil && (m.core.Departed() || c.now >= d.until) {
				m.crash(false)
				c.machines = c.without(m)
			}
			ended = ended && d.machine.core == nil
		}
		return ended
	})
}

// newClusterWithSuccessors returns a settled group and the given number of processes that wait to join it.
func newClusterWithSuccessors(seed uint64, size, successors int) (c *cluster, joiners []*machine) {
	c = newSettledAutomaticCluster(seed, size)
	for k := range successors {
		joiners = append(joiners, c.startSuccessor(fmt.Sprintf("successor-%d", k+1), seed+100+uint64(k)))
	}
	c.advance(4 * time.Second)
	return c, joiners
}

// expectRecovery proposes a command and expects it to be committed, and all machines to become voters again.
func (c *cluster) expectRecovery(what string) {
	gomega.Expect(c.runUntil(10*time.Second, c.settled)).To(gomega.BeTrue(), what)
	c.leader().propose("after the losses")
	gomega.Expect(c.runUntil(2*time.Second, func() bool { return c.oracle.hasCommand("after the losses") })).To(gomega.BeTrue(), what)
}

// follower returns the n-th machine that does not lead.
func (c *cluster) follower(n int) *machine {
	for _, m := range c.machines {
		if m != c.leader() {
			if n == 0 {
				return m
			}
			n--
		}
	}
	return nil
}

var _ = ginkgo.Describe("the planned end of a member", func() {
	// Guards against a group that has one voter less than its size after a planned replacement, and loses its quorum
	// with the next disk.
	ginkgo.DescribeTable("leaves a group that bears the loss of another disk at once",
		func(size int, ending func(*cluster) *machine) {
			for delay := time.Duration(0); delay <= time.Second; delay += 50 * time.Millisecond {
				c, _ := newClusterWithSuccessors(uint64(size)+uint64(delay/time.Millisecond), size, 1)
				c.awaitDepartures(c.depart(ending(c)))
				c.advance(delay)
				for range size / 2 {
					c.leader().replaceDisk()
					c.runUntil(3*time.Second, func() bool { return c.leader() != nil })
				}
				c.expectRecovery(fmt.Sprint("next loss after ", delay))
			}
		},
		ginkgo.Entry("if a follower of three ends", 3, func(c *cluster) *machine { return c.follower(1) }),
		ginkgo.Entry("if the leader of three ends", 3, (*cluster).leader),
		ginkgo.Entry("if a follower of five ends", 5, func(c *cluster) *machine { return c.follower(2) }),
	)

	// Guards against a waiting process that replaces a lost member too late for the next loss, at the end of the time that a
	// replacement may take.
	ginkgo.It("is not needed for a waiting process to replace a lost member", func() {
		for k, losing := range []func(*cluster) *machine{(*cluster).leader, func(c *cluster) *machine { return c.follower(0) }} {
			c, _ := newClusterWithSuccessors(uint64(60+k), 3, 1)
			lost := losing(c)
			lost.crash(false)
			c.machines = c.without(lost)
			c.advance(5 * time.Second)
			c.leader().replaceDisk()
			c.expectRecovery("the next loss")
			gomega.Expect(c.leader().core.Status().Configuration.Members).To(gomega.HaveLen(3))
		}
	})

	// Guards against a hand-over in whose course the group bears fewer losses than before.
	ginkgo.It("leaves the group able to bear the loss of a disk at any moment before it", func() {
		for delay := time.Duration(0); delay <= 300*time.Millisecond; delay += timeStep {
			for lost := range 2 {
				c, _ := newClusterWithSuccessors(uint64(delay/timeStep), 3, 1)
				leader, ending := c.leader(), c.follower(0)
				other := c.follower(1)
				d := c.depart(ending)
				c.advance(delay)
				if lost == 0 {
					leader.replaceDisk()
				} else {
					other.replaceDisk()
				}
				c.awaitDepartures(d)
				c.expectRecovery(fmt.Sprint("loss after ", delay))
			}
		}
	})

	// Guards against a second departure that is forgotten during the first one.
	ginkgo.It("hands over two memberships in a row", func() {
		for delay := time.Duration(0); delay <= 1200*time.Millisecond; delay += 100 * time.Millisecond {
			for _, first := range []func(*cluster) *machine{(*cluster).leader, func(c *cluster) *machine { return c.follower(0) }} {
				c, successors := newClusterWithSuccessors(uint64(delay/time.Millisecond), 3, 2)
				one, two := first(c), c.byName("control-1")
				if one == two {
					two = c.byName("control-2")
				}
				d := c.depart(one)
				c.advance(delay)
				c.awaitDepartures(d, c.depart(two))
				configuration := c.leader().core.Status().Configuration
				gomega.Expect(configuration.Members).To(gomega.HaveLen(3), fmt.Sprint("delay ", delay))
				for _, m := range successors {
					gomega.Expect(configuration.IsVoter(m.store.Identity())).To(gomega.BeTrue(), fmt.Sprint("delay ", delay))
				}
				c.peers = configuration.Members // as in the settings of a process that starts now
				c.leader().replaceDisk()
				c.expectRecovery(fmt.Sprint("delay ", delay))
			}
		}
	})

	// Guards against a member that was cut off meanwhile and cannot reply to a leader of which it has never heard.
	ginkgo.It("lets a member that was cut off follow the successor as its leader", func() {
		c, successors := newClusterWithSuccessors(8, 3, 1)
		absent, remaining := c.follower(0), c.leader()
		c.partitionOf[absent.name] = 1
		c.awaitDepartures(c.depart(c.follower(1)))
		for c.leader() != successors[0] {
			remaining.handle(replication.TransferLeadership{})
			c.advance(time.Second)
		}
		clear(c.partitionOf)
		c.expectRecovery("reconnected")
	})

	// Guards against restarts that wait for a replacement that does not exist.
	ginkgo.It("does not wait if nobody can take its place", func() {
		for _, ending := range []func(*cluster) *machine{(*cluster).leader, func(c *cluster) *machine { return c.follower(0) }} {
			c := newSettledAutomaticCluster(5, 3)
			m := ending(c)
			d, began := c.depart(m), c.now
			c.awaitDepartures(d)
			gomega.Expect(c.now - began).To(gomega.BeNumerically("<", 300*time.Millisecond))
			c.machines = append(c.machines, m)
			m.start()
			c.expectRecovery("restart")
		}
	})

	// Guards against a process that never ends because all others have ended before it.
	ginkgo.It("does not wait for a group that ends with it", func() {
		c := newSettledAutomaticCluster(6, 3)
		var departures []*departure
		for _, m := range c.machines {
			departures = append(departures, c.depart(m))
		}
		began := c.now
		c.awaitDepartures(departures...)
		gomega.Expect(c.now - began).To(gomega.BeNumerically("<", 2*time.Second))
	})

	// Guards against a group that keeps a member beyond its size if the departing process is killed on the way.
	ginkgo.It("ends with a group of its size if the process is killed before its replacement is complete", func() {
		for delay := time.Duration(0); delay <= 200*time.Millisecond; delay += timeStep {
			c, _ := newClusterWithSuccessors(uint64(delay/timeStep)+7, 3, 1)
			ending := c.follower(0)
			c.depart(ending)
			c.advance(delay)
			ending.crash(false)
			c.machines = c.without(ending)
			c.expectRecovery(fmt.Sprint("killed after ", delay))
			gomega.Expect(c.leader().core.Status().Configuration.Members).To(gomega.HaveLen(3))
		}
	})
})
