package replication_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/version/replication"
)

// coreFixture is one core in a group of three voters (1, 2, 3) and a learner (4); 9 is no member.
type coreFixture struct {
	*replication.Core
	now  time.Duration
	sent []replication.Message
	last uint64 // sequence number of the newest batch
}

func newCoreFixture(entries ...replication.Entry) *coreFixture {
	configuration := replication.Configuration{Group: 1, Members: []replication.Member{
		{Identity: 1, Voter: true}, {Identity: 2, Voter: true}, {Identity: 3, Voter: true}, {Identity: 4},
	}}
	entries = append([]replication.Entry{{Term: 1, Index: 1, Kind: replication.EntryConfiguration, Data: replication.EncodeConfiguration(configuration)}}, entries...)
	return &coreFixture{now: time.Hour, Core: replication.New(time.Hour, replication.Options{Identity: 1, Run: 7, Seed: 1},
		replication.Recovered{State: replication.HardState{Term: 2}, Entries: entries})}
}

func (b *coreFixture) step(event replication.Event) []replication.Message {
	out := b.Step(b.now, event)
	if out.Persist != nil {
		b.last = out.Persist.Sequence
	}
	b.sent = nil
	for _, e := range out.Messages {
		b.sent = append(b.sent, e.Message)
	}
	return b.sent
}

func (b *coreFixture) receive(m replication.Message) []replication.Message {
	m.Group, m.To = 1, 1
	return b.step(replication.Received{Message: m})
}

func (b *coreFixture) sync() []replication.Message {
	return b.step(replication.Synced{Sequence: b.last})
}

func types(messages []replication.Message) []replication.MessageType {
	var kinds []replication.MessageType
	for _, m := range messages {
		kinds = append(kinds, m.Type)
	}
	return kinds
}

// becomeCandidate makes the core a candidate of term 3 whose own vote is synced.
func (b *coreFixture) becomeCandidate() {
	ginkgo.GinkgoHelper()
	b.now += replication.ElectionTimeoutMax
	gomega.Expect(types(b.step(replication.Tick{}))).To(gomega.ConsistOf(replication.MessagePreVote, replication.MessagePreVote))
	b.receive(replication.Message{Type: replication.MessagePreVoteReply, From: 2, Term: 3})
	gomega.Expect(b.sent).To(gomega.BeEmpty(), "vote requests must wait for the sync of the own vote")
	gomega.Expect(types(b.sync())).To(gomega.ConsistOf(replication.MessageVote, replication.MessageVote))
	gomega.Expect(b.Status().Role).To(gomega.Equal(replication.Candidate))
}

// becomeLeader makes the core the leader of term 3.
func (b *coreFixture) becomeLeader() {
	ginkgo.GinkgoHelper()
	b.becomeCandidate()
	b.receive(replication.Message{Type: replication.MessageVoteReply, From: 3, Term: 3})
	gomega.Expect(b.Status().Role).To(gomega.Equal(replication.Leader))
}

var _ = ginkgo.Describe("a core", func() {
	// Guards against a vote or an acknowledgement that is lost in a crash after it was sent.
	ginkgo.It("answers only after the sync", func() {
		b := newCoreFixture()
		gomega.Expect(b.receive(replication.Message{Type: replication.MessageVote, From: 2, Term: 3, Index: 1, LogTerm: 1})).To(gomega.BeEmpty())
		gomega.Expect(types(b.sync())).To(gomega.Equal([]replication.MessageType{replication.MessageVoteReply}))
		entries := []replication.Entry{{Term: 3, Index: 2, Kind: replication.EntryNoop}}
		gomega.Expect(b.receive(replication.Message{Type: replication.MessageAppend, From: 2, Term: 3, Index: 1, LogTerm: 1, Entries: entries})).To(gomega.BeEmpty())
		gomega.Expect(b.step(replication.Synced{Sequence: b.last - 1})).To(gomega.BeEmpty())
		gomega.Expect(types(b.sync())).To(gomega.Equal([]replication.MessageType{replication.MessageAppendReply}))
	})

	// Guards against two leaders in one term after a restart.
	ginkgo.It("votes once in a term", func() {
		b := newCoreFixture()
		b.receive(replication.Message{Type: replication.MessageVote, From: 2, Term: 3, Index: 1, LogTerm: 1})
		b.receive(replication.Message{Type: replication.MessageVote, From: 3, Term: 3, Index: 1, LogTerm: 1})
		granted := b.sync()
		gomega.Expect(granted).To(gomega.HaveLen(2))
		gomega.Expect(granted[0].Reject).To(gomega.BeFalse())
		gomega.Expect(granted[1].Reject).To(gomega.BeTrue())
	})

	// Guards against a quorum made up of removed members and learners.
	ginkgo.It("counts only the votes of voters", func() {
		for _, nonVoter := range []replication.Identity{4, 9} {
			b := newCoreFixture()
			b.becomeCandidate()
			b.receive(replication.Message{Type: replication.MessageVoteReply, From: nonVoter, Term: 3})
			gomega.Expect(b.Status().Role).To(gomega.Equal(replication.Candidate))
			b.receive(replication.Message{Type: replication.MessageVoteReply, From: 2, Term: 3, Barred: true})
			gomega.Expect(b.Status().Role).To(gomega.Equal(replication.Candidate))
			b.receive(replication.Message{Type: replication.MessageVoteReply, From: 2, Term: 3})
			gomega.Expect(b.Status().Role).To(gomega.Equal(replication.Leader))
		}
	})

	// Guards against commits and bases that count learners and removed members.
	ginkgo.It("counts only the acknowledgements of voters", func() {
		b := newCoreFixture()
		b.becomeLeader()
		b.sync()
		for _, nonVoter := range []replication.Identity{4, 9} {
			b.receive(replication.Message{Type: replication.MessageAppendReply, From: nonVoter, Term: 3, Index: 2})
			b.receive(replication.Message{Type: replication.MessageHeartbeatReply, From: nonVoter, Term: 3, Round: 1})
		}
		gomega.Expect(b.Status().Commit).To(gomega.BeZero())
		b.receive(replication.Message{Type: replication.MessageAppendReply, From: 2, Term: 3, Index: 2})
		gomega.Expect(b.Status().Commit).To(gomega.Equal(uint64(2)))
		_, _, ok := b.Basis(b.now)
		gomega.Expect(ok).To(gomega.BeFalse())
		b.receive(replication.Message{Type: replication.MessageHeartbeatReply, From: 3, Term: 3, Round: 1})
		_, _, ok = b.Basis(b.now)
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against a vote of a member with an empty folder under an old identity, and against an
	// answer to a message for the previous identity.
	ginkgo.It("does not vote with an empty folder or in another identity's place", func() {
		empty := &coreFixture{now: time.Hour, Core: replication.New(time.Hour, replication.Options{Identity: 1, Seed: 1}, replication.Recovered{})}
		for _, kind := range []replication.MessageType{replication.MessagePreVote, replication.MessageVote} {
			empty.receive(replication.Message{Type: kind, From: 2, Term: 3, Index: 1, LogTerm: 1})
			for _, m := range append(empty.sent, empty.sync()...) {
				gomega.Expect(m.Reject).To(gomega.BeTrue())
			}
			b := newCoreFixture()
			b.step(replication.Received{Message: replication.Message{Type: kind, Group: 1, From: 2, To: 5, Term: 3, Index: 1, LogTerm: 1}})
			gomega.Expect(append(b.sent, b.sync()...)).To(gomega.BeEmpty())
		}
	})

	// Guards against an entry of an older term that is committed and overwritten later.
	ginkgo.It("commits entries of older terms only together with its own", func() {
		b := newCoreFixture(replication.Entry{Term: 2, Index: 2, Kind: replication.EntryCommand})
		b.becomeLeader()
		b.receive(replication.Message{Type: replication.MessageAppendReply, From: 2, Term: 3, Index: 2})
		gomega.Expect(b.Status().Commit).To(gomega.BeZero())
		b.receive(replication.Message{Type: replication.MessageAppendReply, From: 2, Term: 3, Index: 3})
		gomega.Expect(b.Status().Commit).To(gomega.BeZero(), "the own entry is not synced")
		b.sync()
		gomega.Expect(b.Status().Commit).To(gomega.Equal(uint64(3)))
	})

	// Guards against two quorums that do not overlap.
	ginkgo.It("makes one membership change at a time, and none before its first commit", func() {
		b := newCoreFixture()
		b.becomeLeader()
		add := func(id replication.Identity) int {
			out := b.Step(b.now, replication.MembershipChange{Kind: replication.AddLearner, Member: replication.Member{Identity: id, Name: id.String()}})
			return len(out.AppendedChanges)
		}
		gomega.Expect(add(5)).To(gomega.BeZero())
		b.sync()
		b.receive(replication.Message{Type: replication.MessageAppendReply, From: 2, Term: 3, Index: 2})
		gomega.Expect(add(5)).To(gomega.Equal(1))
		gomega.Expect(add(6)).To(gomega.BeZero())
	})

	// Guards against a basis that appears younger than it is because the leader's answer was slow, or
	// because the clock restarted with the machine.
	ginkgo.It("counts the age of a leader's basis from the request, within one run", func() {
		b := newCoreFixture()
		b.receive(replication.Message{Type: replication.MessageHeartbeat, From: 2, Term: 2, Round: 1, Commit: 1})
		gomega.Expect(types(b.sent)).To(gomega.Equal([]replication.MessageType{replication.MessageHeartbeatReply}))
		request := b.sent[0]
		b.now += time.Second
		answer := replication.Message{Type: replication.MessageBasis, From: 2, Term: 2, Index: 1, Sent: request.Sent, Run: request.Run + 1, Age: 50 * time.Millisecond}
		b.receive(answer)
		_, _, ok := b.Basis(b.now)
		gomega.Expect(ok).To(gomega.BeFalse())
		answer.Run = request.Run
		b.receive(answer)
		_, age, ok := b.Basis(b.now)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(age).To(gomega.Equal(1050 * time.Millisecond))
	})

	// Guards against a vote that ends the term of a leader that this member hears.
	ginkgo.It("ignores candidates while it hears a leader, unless the leader asked for it", func() {
		b := newCoreFixture()
		b.receive(replication.Message{Type: replication.MessageHeartbeat, From: 2, Term: 2, Round: 1})
		vote := replication.Message{Type: replication.MessageVote, From: 3, Term: 3, Index: 1, LogTerm: 1}
		gomega.Expect(b.receive(vote)).To(gomega.BeEmpty())
		gomega.Expect(b.Status().Term).To(gomega.Equal(uint64(2)))
		vote.Transfer = true
		b.receive(vote)
		gomega.Expect(b.Status().Term).To(gomega.Equal(uint64(3)))
	})
})
