package replication_test

import (
	"testing"
	"time"

	"pollenpaddle/internal/version/replication"
)

// Guards against a proposal that gets no outcome: a new member that had heard from its leader, but had not
// received the group's configuration yet, forwarded it without a group, and the leader ignored it.
func TestProposalAtMemberWithoutGroup(t *testing.T) {
	const member, leader = replication.Identity(7), replication.Identity(9)
	c := replication.New(time.Hour, replication.Options{
		Identity: member, Name: "b", Peers: []replication.Member{{Name: "a"}, {Name: "b"}}, Incarnation: 1, Seed: 1,
	}, replication.Recovered{})
	c.Step(time.Hour, replication.Received{Message: replication.Message{
		Type: replication.MessageHeartbeat, From: leader, FromName: "a", To: member, Group: 5, Term: 1,
	}})
	if got := c.Status().Leader; got != leader {
		t.Fatalf("the member follows %v, want %v", got, leader)
	}
	out := c.Step(time.Hour+time.Millisecond, replication.Propose{Proposals: []replication.Proposal{{Sequence: 1, Data: []byte("x")}}})
	if len(out.Rejected) != 1 || out.Rejected[0].Sequence != 1 {
		t.Errorf("rejected %+v, want the proposal at once", out.Rejected)
	}
	for _, envelope := range out.Messages {
		if envelope.Message.Type == replication.MessagePropose {
			t.Errorf("the proposal is forwarded without a group: %+v", envelope.Message)
		}
	}
}
