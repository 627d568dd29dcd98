package replication_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/version/replication"
)

// coreFixture is one core in a group of three voters (1, 2, 3) and a learner (4); 9 is not a member.
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
	return &coreFixture{now: time.Hour, Core: replication.New(time.Hour, replication.Options{Identity: 1, Incarnation: 7, Seed: 1},
		replication.Recovered{State: replication.HardState{Term: 2}, Entries: entries})}
}

func (f *coreFixture) step(event replication.Event) []replication.Message {
	out := f.Step(f.now, event)
	if out.Persist != nil {
		f.last = out.Persist.Sequence
	}
	f.sent = nil
	for _, e := range out.Messages {
		f.sent = append(f.sent, e.Message)
	}
	return f.sent
}

func (f *coreFixture) receive(m replication.Message) []replication.Message {
	m.Group, m.To = 1, 1
	return f.step(replication.Received{Message: m})
}

func (f *coreFixture) sync() []replication.Message {
	return f.step(replication.Synced{Sequence: f.last})
}

func typesOf(messages []replication.Message) []replication.MessageType {
	var types []replication.MessageType
	for _, m := range messages {
		types = append(types, m.Type)
	}
	return types
}

// becomeCandidate makes the core a candidate of term 3 whose vote for itself is synced.
func (f *coreFixture) becomeCandidate() {
	ginkgo.GinkgoHelper()
	f.now += replication.ElectionTimeoutMax
	gomega.Expect(typesOf(f.step(replication.Tick{}))).To(gomega.ConsistOf(replication.MessagePreVote, replication.MessagePreVote))
	f.receive(replication.Message{Type: replication.MessagePreVoteReply, From: 2, Term: 3})
	gomega.Expect(f.sent).To(gomega.BeEmpty(), "vote requests must wait for the sync of the candidate's vote for itself")
	gomega.Expect(typesOf(f.sync())).To(gomega.ConsistOf(replication.MessageVote, replication.MessageVote))
	gomega.Expect(f.Status().Role).To(gomega.Equal(replication.Candidate))
}

// becomeLeader makes the core the leader of term 3.
func (f *coreFixture) becomeLeader() {
	ginkgo.GinkgoHelper()
	f.becomeCandidate()
	f.receive(replication.Message{Type: replication.MessageVoteReply, From: 3, Term: 3})
	gomega.Expect(f.Status().Role).To(gomega.Equal(replication.Leader))
}

var _ = ginkgo.Describe("a core", func() {
	// Guards against a vote or an acknowledgement that is lost in a crash after it was sent.
	ginkgo.It("replies only after the sync", func() {
		f := newCoreFixture()
		gomega.Expect(f.receive(replication.Message{Type: replication.MessageVote, From: 2, Term: 3, Index: 1, LogTerm: 1})).To(gomega.BeEmpty())
		gomega.Expect(typesOf(f.sync())).To(gomega.Equal([]replication.MessageType{replication.MessageVoteReply}))
		entries := []replication.Entry{{Term: 3, Index: 2, Kind: replication.EntryNoop}}
		gomega.Expect(f.receive(replication.Message{Type: replication.MessageAppend, From: 2, Term: 3, Index: 1, LogTerm: 1, Entries: entries})).To(gomega.BeEmpty())
		gomega.Expect(f.step(replication.Synced{Sequence: f.last - 1})).To(gomega.BeEmpty())
		gomega.Expect(typesOf(f.sync())).To(gomega.Equal([]replication.MessageType{replication.MessageAppendReply}))
	})

	// Guards against a caller that waits for its timeout: the rejection of its forwarded proposal waited for the sync of a
	// newer term, which a full disk does not complete.
	ginkgo.It("rejects forwarded proposals of an older term without waiting for the disk", func() {
		f := newCoreFixture()
		f.receive(replication.Message{Type: replication.MessageVote, From: 2, Term: 3, Index: 1, LogTerm: 1})
		entries := []replication.Entry{{Kind: replication.EntryCommand, Proposal: replication.ProposalID{Origin: 3, Run: 5, Sequence: 8}}}
		f.receive(replication.Message{Type: replication.MessagePropose, From: 3, Term: 2, Entries: entries})
		gomega.Expect(typesOf(f.sent)).To(gomega.Equal([]replication.MessageType{replication.MessageProposeReply}))
		gomega.Expect(f.sent[0].Reject).To(gomega.BeTrue())
		gomega.Expect(f.sent[0].Hint).To(gomega.Equal(uint64(8)))
	})

	// Guards against two leaders in one term, elected with a member's votes for both.
	ginkgo.It("votes once in a term", func() {
		f := newCoreFixture()
		f.receive(replication.Message{Type: replication.MessageVote, From: 2, Term: 3, Index: 1, LogTerm: 1})
		f.receive(replication.Message{Type: replication.MessageVote, From: 3, Term: 3, Index: 1, LogTerm: 1})
		granted := f.sync()
		gomega.Expect(granted).To(gomega.HaveLen(2))
		gomega.Expect(granted[0].Reject).To(gomega.BeFalse())
		gomega.Expect(granted[1].Reject).To(gomega.BeTrue())
	})

	// Guards against a quorum made up of removed members and learners.
	ginkgo.It("counts only the votes of voters", func() {
		for _, nonVoter := range []replication.Identity{4, 9} {
			f := newCoreFixture()
			f.becomeCandidate()
			f.receive(replication.Message{Type: replication.MessageVoteReply, From: nonVoter, Term: 3})
			gomega.Expect(f.Status().Role).To(gomega.Equal(replication.Candidate))
			f.receive(replication.Message{Type: replication.MessageVoteReply, From: 2, Term: 3, Barred: true})
			gomega.Expect(f.Status().Role).To(gomega.Equal(replication.Candidate))
			f.receive(replication.Message{Type: replication.MessageVoteReply, From: 2, Term: 3})
			gomega.Expect(f.Status().Role).To(gomega.Equal(replication.Leader))
		}
	})

	// Guards against commits and bases that count learners and removed members.
	ginkgo.It("counts only the acknowledgements of voters", func() {
		f := newCoreFixture()
		f.becomeLeader()
		f.sync()
		for _, nonVoter := range []replication.Identity{4, 9} {
			f.receive(replication.Message{Type: replication.MessageAppendReply, From: nonVoter, Term: 3, Index: 2})
			f.receive(replication.Message{Type: replication.MessageHeartbeatReply, From: nonVoter, Term: 3, Round: 1})
		}
		gomega.Expect(f.Status().Commit).To(gomega.BeZero())
		f.receive(replication.Message{Type: replication.MessageAppendReply, From: 2, Term: 3, Index: 2})
		gomega.Expect(f.Status().Commit).To(gomega.Equal(uint64(2)))
		_, _, ok := f.Basis(f.now)
		gomega.Expect(ok).To(gomega.BeFalse())
		f.receive(replication.Message{Type: replication.MessageHeartbeatReply, From: 3, Term: 3, Round: 1})
		_, _, ok = f.Basis(f.now)
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against votes of a member whose data folder was replaced, also on a message for its previous
	// identity.
	ginkgo.It("does not vote with an empty data folder or on a message for another identity", func() {
		empty := &coreFixture{now: time.Hour, Core: replication.New(time.Hour, replication.Options{Identity: 1, Seed: 1}, replication.Recovered{})}
		for _, messageType := range []replication.MessageType{replication.MessagePreVote, replication.MessageVote} {
			empty.receive(replication.Message{Type: messageType, From: 2, Term: 3, Index: 1, LogTerm: 1})
			for _, m := range append(empty.sent, empty.sync()...) {
				gomega.Expect(m.Reject).To(gomega.BeTrue())
			}
			f := newCoreFixture()
			f.step(replication.Received{Message: replication.Message{Type: messageType, Group: 1, From: 2, To: 5, Term: 3, Index: 1, LogTerm: 1}})
			gomega.Expect(append(f.sent, f.sync()...)).To(gomega.BeEmpty())
		}
	})

	// Guards against an entry of an older term that is committed and overwritten later.
	ginkgo.It("commits entries of older terms only together with one of its own term", func() {
		f := newCoreFixture(replication.Entry{Term: 2, Index: 2, Kind: replication.EntryCommand})
		f.becomeLeader()
		f.receive(replication.Message{Type: replication.MessageAppendReply, From: 2, Term: 3, Index: 2})
		gomega.Expect(f.Status().Commit).To(gomega.BeZero())
		f.receive(replication.Message{Type: replication.MessageAppendReply, From: 2, Term: 3, Index: 3})
		gomega.Expect(f.Status().Commit).To(gomega.BeZero(), "the leader's own entry is not synced")
		f.sync()
		gomega.Expect(f.Status().Commit).To(gomega.Equal(uint64(3)))
	})

	// Guards against two quorums that do not overlap.
	ginkgo.It("makes one membership change at a time, and none before its first commit", func() {
		f := newCoreFixture()
		f.becomeLeader()
		add := func(id replication.Identity) int {
			out := f.Step(f.now, replication.MembershipChange{Kind: replication.AddLearner, Member: replication.Member{Identity: id, Name: id.String()}})
			return len(out.AppendedChanges)
		}
		gomega.Expect(add(5)).To(gomega.BeZero())
		f.sync()
		f.receive(replication.Message{Type: replication.MessageAppendReply, From: 2, Term: 3, Index: 2})
		gomega.Expect(add(5)).To(gomega.Equal(1))
		gomega.Expect(add(6)).To(gomega.BeZero())
	})

	// Guards against a basis that appears younger than it is because it arrives late, or because the
	// clock restarted with the machine.
	ginkgo.It("measures the age of a basis from the send time of the heartbeat reply, and ignores one sent to an earlier incarnation", func() {
		f := newCoreFixture()
		f.receive(replication.Message{Type: replication.MessageHeartbeat, From: 2, Term: 2, Round: 1, Commit: 1})
		gomega.Expect(typesOf(f.sent)).To(gomega.Equal([]replication.MessageType{replication.MessageHeartbeatReply}))
		heartbeatReply := f.sent[0]
		f.now += time.Second
		basis := replication.Message{Type: replication.MessageBasis, From: 2, Term: 2, Index: 1, Sent: heartbeatReply.Sent, Run: heartbeatReply.Run + 1, Age: 50 * time.Millisecond}
		f.receive(basis)
		_, _, ok := f.Basis(f.now)
		gomega.Expect(ok).To(gomega.BeFalse())
		basis.Run = heartbeatReply.Run
		f.receive(basis)
		_, age, ok := f.Basis(f.now)
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(age).To(gomega.Equal(1050 * time.Millisecond))
	})

	// Guards against a vote request that ends the term of a leader from which this member receives
	// messages.
	ginkgo.It("ignores vote requests while it has a leader, except during a leadership transfer", func() {
		f := newCoreFixture()
		f.receive(replication.Message{Type: replication.MessageHeartbeat, From: 2, Term: 2, Round: 1})
		vote := replication.Message{Type: replication.MessageVote, From: 3, Term: 3, Index: 1, LogTerm: 1}
		gomega.Expect(f.receive(vote)).To(gomega.BeEmpty())
		gomega.Expect(f.Status().Term).To(gomega.Equal(uint64(2)))
		vote.Transfer = true
		f.receive(vote)
		gomega.Expect(f.Status().Term).To(gomega.Equal(uint64(3)))
	})
})
