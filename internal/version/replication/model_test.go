package replication_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/version/replication"
)

// schedule draws faults and operations for a cluster.
type schedule struct {
	*cluster
	commands int
}

func (s *schedule) anyMachine(t *rapid.T) *machine {
	return s.machines[rapid.IntRange(0, len(s.machines)-1).Draw(t, "machine")]
}

func (s *schedule) run(t *rapid.T) {
	s.advance(time.Duration(rapid.IntRange(1, 150).Draw(t, "time")) * 10 * time.Millisecond)
}

func (s *schedule) propose(t *rapid.T) {
	m := s.anyMachine(t)
	if m.core == nil || m.paused > s.now {
		t.Skip("down")
	}
	for range rapid.IntRange(1, 8).Draw(t, "count") {
		s.commands++
		m.propose(fmt.Sprintf("c%d", s.commands))
		s.advance(step)
	}
}

func (s *schedule) crash(t *rapid.T)   { s.anyMachine(t).crash(rapid.Bool().Draw(t, "reboot")) }
func (s *schedule) restart(t *rapid.T) { s.startDown(s.anyMachine(t)) }

func (s *schedule) startDown(m *machine) {
	if m.core == nil {
		m.start()
	}
}

func (s *schedule) pause(t *rapid.T) {
	s.anyMachine(t).paused = s.now + time.Duration(rapid.IntRange(1, 40).Draw(t, "pause"))*100*time.Millisecond
}

func (s *schedule) partition(t *rapid.T) {
	for _, m := range s.machines {
		s.side[m.name] = rapid.IntRange(0, 1).Draw(t, "side")
	}
}

func (s *schedule) isolateLeader(t *rapid.T) {
	clear(s.side)
	if leader := s.leader(); leader != nil {
		s.side[leader.name] = 1
	}
}

func (s *schedule) noise(t *rapid.T) {
	s.drop = rapid.Float64Range(0, 0.3).Draw(t, "drop")
	s.repeat = rapid.Float64Range(0, 0.2).Draw(t, "repeat")
	s.slow = rapid.Float64Range(0, 0.2).Draw(t, "slow")
}

func (s *schedule) fullDisk(t *rapid.T) {
	m := s.anyMachine(t)
	if m.files.Space < 0 {
		m.files.Space = rapid.IntRange(0, 300).Draw(t, "space")
	} else {
		m.files.Space = -1
	}
}

func (s *schedule) transfer(*rapid.T) {
	if leader := s.leader(); leader != nil && leader.paused <= s.now {
		leader.handle(replication.TransferLeadership{})
	}
}

// wipe loses a disk, if a majority of every configuration that may be in effect keeps its disks.
func (s *schedule) wipe(t *rapid.T) {
	m := s.anyMachine(t)
	if m.core == nil || !s.oracle.survivesLoss(m.store.Identity()) {
		t.Skip("a majority of disks would be lost")
	}
	m.files.Space = -1
	m.wipe()
}

// remove takes a member out of the group. An operator does not do that while a lost disk would
// leave the smaller group without a majority: the trace wipe(2), remove(1) of three members loses
// the group whatever the members do.
func (s *schedule) remove(t *rapid.T) {
	m := s.anyMachine(t)
	if m.core == nil || !s.oracle.survivesLoss(m.store.Identity()) {
		t.Skip("the smaller group would lack a majority of disks")
	}
	if leader := s.leader(); leader != nil && leader.paused <= s.now {
		leader.handle(replication.MembershipChange{Kind: replication.RemoveMember, Member: replication.Member{Name: m.name}})
	}
}

// repair makes processes with an empty folder members again, as an operator would.
func (s *schedule) repair(*rapid.T) {
	leader := s.leader()
	if leader == nil || leader.paused > s.now {
		return
	}
	status := leader.core.Status()
	for _, joiner := range status.Joining {
		kind := replication.AddLearner
		if _, member := status.Configuration.FindName(joiner.Name); member {
			kind = replication.ReplaceMember
		}
		leader.handle(replication.MembershipChange{Kind: kind, Member: joiner})
	}
}

// end removes all faults and checks that the group recovers and that all members have applied
// exactly the accepted commands, in order.
func (s *schedule) end(t *rapid.T) {
	s.heal()
	recovered := s.until(60*time.Second, func() bool {
		s.repair(t)
		for _, m := range s.machines {
			// A removed member keeps its folder until an operator clears it.
			leader := s.leader()
			if leader != nil && m.core.Status().Configuration.Group != 0 {
				configuration := leader.core.Status().Configuration
				if _, member := configuration.Find(m.store.Identity()); !member && s.oracle.survivesLoss(m.store.Identity()) && s.now%time.Second == 0 {
					m.wipe()
				}
			}
		}
		return s.settled()
	})
	if !recovered {
		for _, m := range s.machines {
			t.Logf("%s %v applied %d: %+v", m.name, m.store.Identity(), m.applied, m.core.Status())
		}
		t.Fatalf("the group does not recover")
	}
	want := s.oracle.commands()
	for _, m := range s.machines {
		if !slices.Equal(m.state, want) {
			t.Fatalf("%s applied %d commands, the single log has %d, or their order differs", m.name, len(m.state), len(want))
		}
	}
}

// Guards against every loss of safety under arbitrary faults: two leaders in a term, accepted
// changes that are lost, changed or reordered, votes of wiped members, and bases that claim to be
// newer than a change that they lack. Each group is compared with a naive single log.
func TestFaultSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 3, 5}).Draw(t, "size")
		s := &schedule{cluster: newCluster(rapid.Uint64().Draw(t, "seed"), size, t.Fatalf)}
		s.advance(3 * time.Second)
		actions := map[string]func(*rapid.T){
			"run": s.run, "run again": s.run, "propose": s.propose, "propose again": s.propose, "propose more": s.propose,
			"crash": s.crash, "restart": s.restart, "restart again": s.restart, "pause": s.pause,
			"partition": s.partition, "isolate leader": s.isolateLeader, "heal network": func(*rapid.T) { clear(s.side) },
			"noise": s.noise, "full disk": s.fullDisk, "transfer": s.transfer,
		}
		if size > 1 {
			actions["wipe"], actions["remove"], actions["repair"], actions["repair again"] = s.wipe, s.remove, s.repair, s.repair
		}
		t.Repeat(actions)
		s.end(t)
	})
}
