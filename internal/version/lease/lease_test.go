package lease_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/testutil"
	"pollenpaddle/internal/version/lease"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func TestLease(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "lease")
}

// node is a process with its own clock, which runs at rate/1000 of true time.
type node struct {
	offset  time.Duration
	rate    int64
	applied uint64
	holder  lease.Holder
	paused  bool
	inbox   []func(*node) // messages in flight; each may be delayed, also beyond the end of the run, reordered or duplicated
}

func (n *node) clock(now time.Duration) time.Duration {
	return n.offset + now*time.Duration(n.rate)/1000
}

// simulation is a chain of leader, follower and process, with the true time. Each is the source of the
// next.
type simulation struct {
	now                       time.Duration
	committed                 []time.Duration // true time at which each revision was committed; index 0 is revision 0
	leader, follower, process node
}

func (s *simulation) chain() []*node { return []*node{&s.leader, &s.follower, &s.process} }

// poll sends a lease poll from the receiver to its source. The source replies in a later step, with
// the state that it has then. Its configuration is sent by push, independently of polls.
func (s *simulation) poll(receiver, source *node) {
	sent := receiver.clock(s.now)
	source.inbox = append(source.inbox, func(source *node) {
		grant := lease.Grant{Sent: sent, Revision: source.applied}
		if source != &s.leader {
			age, held := source.holder.Age(source.clock(s.now))
			if !held {
				return
			}
			grant.Age = age
		}
		receiver.inbox = append(receiver.inbox, func(receiver *node) { receiver.holder.HandleGrant(receiver.clock(s.now), grant) })
	})
}

func (s *simulation) push(source, receiver *node) {
	revision := source.applied
	receiver.inbox = append(receiver.inbox, func(receiver *node) {
		receiver.applied = max(receiver.applied, revision)
		receiver.holder.HandleApplied(receiver.applied)
	})
}

// check is the test oracle: while a node permits starts, every revision that it lacks was
// committed no longer than the lease duration ago, in true time.
func (s *simulation) check(t *rapid.T) {
	for _, n := range s.chain()[1:] {
		if !n.holder.Valid(n.clock(s.now)) || n.applied+1 >= uint64(len(s.committed)) {
			continue
		}
		if lag := s.now - s.committed[n.applied+1]; lag > lease.Duration {
			t.Fatalf("a start is permitted %v after revision %d was committed", lag, n.applied+1)
		}
	}
}

func drawNode(t *rapid.T, name string) node {
	return node{
		offset: time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, name+" offset")),
		rate:   rapid.SampledFrom([]int64{990, 1000, 1010}).Draw(t, name+" rate"),
	}
}

var _ = ginkgo.Describe("Holder", func() {
	// Guards against a process or an intermediate follower that permits starts with a configuration
	// that was replaced longer ago than the lease duration, under any clock drift and message faults.
	ginkgo.It("does not exceed the lease duration over two hops with faults and clock drift", func() {
		validSteps, staleSteps := 0, 0
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			s := &simulation{committed: []time.Duration{0}}
			s.leader, s.follower, s.process = drawNode(t, "leader"), drawNode(t, "follower"), drawNode(t, "process")
			isolated := -1
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				s.now += time.Duration(rapid.Int64Range(0, int64(700*time.Millisecond)).Draw(t, "passed"))
				i := rapid.IntRange(1, 2).Draw(t, "hop")
				receiver, source := s.chain()[i], s.chain()[i-1]
				switch rapid.IntRange(0, 9).Draw(t, "event") {
				case 0:
					s.committed = append(s.committed, s.now)
					s.leader.applied++
				case 1, 2:
					s.push(source, receiver)
				case 3, 4, 5:
					s.poll(receiver, source)
				case 6:
					receiver.paused = !receiver.paused
				case 7:
					isolated = rapid.IntRange(-1, 2).Draw(t, "isolated")
				case 9:
					// A ClockRateTolerance that is too small can only be noticed just before the end of a lease.
					if deadline, held := receiver.holder.Deadline(); held {
						left := (deadline - receiver.clock(s.now)) * 1000 / time.Duration(receiver.rate)
						s.now += max(0, left-time.Millisecond)
					}
				case 8:
					s.now += time.Duration(rapid.Int64Range(0, int64(6*time.Second)).Draw(t, "suspended"))
				}
				for j, n := range s.chain() {
					for !n.paused && j != isolated && len(n.inbox) > 0 && rapid.IntRange(0, 3).Draw(t, "deliver") > 0 {
						k := rapid.IntRange(0, len(n.inbox)-1).Draw(t, "which")
						message := n.inbox[k]
						if rapid.IntRange(0, 4).Draw(t, "copy") > 0 {
							n.inbox = append(n.inbox[:k:k], n.inbox[k+1:]...)
						}
						message(n)
					}
				}
				s.check(t)
				if s.process.holder.Valid(s.process.clock(s.now)) {
					validSteps++
					if s.process.applied < s.leader.applied {
						staleSteps++
					}
				}
			}
		})
		// The property holds trivially if no lease was valid, or none on an outdated revision.
		gomega.Expect(validSteps).To(gomega.BeNumerically(">", 100))
		gomega.Expect(staleSteps).To(gomega.BeNumerically(">", 20))
	})

	ginkgo.It("defers a grant until its revision is applied", func() {
		var h lease.Holder
		gomega.Expect(h.HandleGrant(10*time.Second, lease.Grant{Sent: 9 * time.Second, Revision: 2})).To(gomega.BeFalse())
		gomega.Expect(h.Valid(10 * time.Second)).To(gomega.BeFalse())
		gomega.Expect(h.HandleApplied(2)).To(gomega.BeTrue())
		deadline, held := h.Deadline()
		gomega.Expect(held).To(gomega.BeTrue())
		gomega.Expect(deadline).To(gomega.Equal(9*time.Second + lease.UsableDuration))
	})

	// Guards against grants that cannot be replies to a poll of this process.
	ginkgo.DescribeTable("ignores an invalid grant", func(grant lease.Grant) {
		var h lease.Holder
		gomega.Expect(h.HandleGrant(10*time.Second, grant)).To(gomega.BeFalse())
		_, held := h.Deadline()
		gomega.Expect(held).To(gomega.BeFalse())
	},
		ginkgo.Entry("sent in the future", lease.Grant{Sent: 11 * time.Second}),
		ginkgo.Entry("negative age", lease.Grant{Sent: 9 * time.Second, Age: -1}),
		ginkgo.Entry("age that would overflow", lease.Grant{Sent: 9 * time.Second, Age: 1 << 62}))
})
