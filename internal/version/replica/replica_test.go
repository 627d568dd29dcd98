package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/replica"
	"pollenpaddle/internal/version/replication"
	"pollenpaddle/internal/version/storage/faultfs"
)

func TestReplica(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "replica")
}

// testTimeout bounds each wait for an event.
const testTimeout = 20 * time.Second

// must returns v and panics on an error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// listMachine is a state machine that stores the commands unless discardCommands is set.
type listMachine struct {
	mu              sync.Mutex
	discardCommands bool
	commands        []string
	last            uint64
	signal          func()
}

func (l *listMachine) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *listMachine) Apply(index uint64, data []byte) {
	l.withLock(func() {
		if l.last = index; !l.discardCommands {
			l.commands = append(l.commands, string(data))
		}
	})
	l.signal()
}

func (l *listMachine) Snapshot() ([]byte, error) { return json.Marshal(l.copy()) }

func (l *listMachine) Restore(index uint64, snapshot []byte) (err error) {
	l.withLock(func() { l.last, err = index, json.Unmarshal(snapshot, &l.commands) })
	l.signal()
	return err
}

func (l *listMachine) copy() (commands []string) {
	l.withLock(func() { commands = append(commands, l.commands...) })
	return commands
}

func (l *listMachine) applied() (index uint64) {
	l.withLock(func() { index = l.last })
	return index
}

// process is one incarnation of a control process, with its state machine.
type process struct {
	*replica.Replica
	name   string
	state  *listMachine
	events chan struct{} // signalled after a change of the role or of the state machine
	cancel context.CancelFunc
	done   chan error
}

// cluster is a set of control processes that exchange encoded messages.
type cluster struct {
	mu              sync.Mutex
	members         map[string]*replica.Replica
	bytes           uint64
	folder          string
	peers           []replication.Member
	lastIncarnation uint64
	snapshotEvery   uint64
	discardCommands bool // state machines store no commands
	dropProposals   bool // forwarded proposals are lost
}

func newCluster(folder string, size int) *cluster {
	c := &cluster{members: map[string]*replica.Replica{}, folder: folder, snapshotEvery: 20}
	for n := range size {
		c.peers = append(c.peers, replication.Member{Name: fmt.Sprintf("control-%d", n+1)})
	}
	return c
}

func (c *cluster) Send(to replication.Member, message replication.Message) {
	data := must(replication.EncodeMessage(message))
	c.mu.Lock()
	c.bytes += uint64(len(data))
	target := c.members[to.Name]
	lost := c.dropProposals && message.Type == replication.MessagePropose
	c.mu.Unlock()
	if target != nil && !lost {
		target.Receive(must(replication.DecodeMessage(data)))
	}
}

// prepare returns a process that is not opened yet, and its options.
func (c *cluster) prepare(name string) (*process, replica.Options) {
	c.lastIncarnation++
	p := &process{name: name, events: make(chan struct{}, 1), done: make(chan error, 1)}
	signal := func() {
		select {
		case p.events <- struct{}{}:
		default:
		}
	}
	p.state = &listMachine{discardCommands: c.discardCommands, signal: signal}
	return p, replica.Options{
		Folder: c.folder + "/" + name, Name: name, Peers: c.peers, Seed: c.lastIncarnation, Incarnation: c.lastIncarnation, Transport: c, StateMachine: p.state,
		SnapshotEvery: c.snapshotEvery, OnRoleChange: func(replica.Status) { signal() },
	}
}

func (c *cluster) run(p *process, r *replica.Replica) *process {
	p.Replica = r
	c.mu.Lock()
	c.members[p.name] = r
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.done <- r.Run(ctx) }()
	return p
}

func (c *cluster) start(name string) *process {
	p, options := c.prepare(name)
	return c.run(p, must(replica.Open(options)))
}

func (c *cluster) startAll() (all []*process) {
	for _, peer := range c.peers {
		all = append(all, c.start(peer.Name))
	}
	return all
}

func (c *cluster) stop(processes ...*process) {
	for _, p := range processes {
		c.mu.Lock()
		delete(c.members, p.name)
		c.mu.Unlock()
		p.cancel()
		must(0, <-p.done)
	}
}

// await waits until the condition holds. It checks the condition after each event.
func (p *process) await(condition func() bool) {
	timer := time.NewTimer(testTimeout)
	defer timer.Stop()
	for !condition() {
		select {
		case <-p.events:
		case <-timer.C:
			panic(fmt.Sprintf("%s did not reach the expected state: %+v", p.name, p.Status()))
		}
	}
}

// awaitLeader waits until p knows a leader other than the given process.
func (p *process) awaitLeader(except string) {
	p.await(func() bool { l, ok := p.Leader(); return ok && l.Name != except })
}

// awaitCommands waits until the member has applied at least count commands, and returns them.
func (p *process) awaitCommands(count int) []string {
	p.await(func() bool { return len(p.state.copy()) >= count })
	return p.state.copy()
}

func (p *process) propose(command string) uint64 {
	return must(p.Propose(testContext(), []byte(command)))
}

// awaitVoters waits until all processes are voters and returns the leader and the others.
func awaitVoters(all []*process) (*process, []*process) {
	for n, p := range all {
		p.awaitLeader("")
		leader, _ := p.Leader()
		if leader.Name != p.name {
			continue
		}
		p.await(func() bool {
			voters := 0
			for _, m := range p.Status().Members {
				if m.Voter {
					voters++
				}
			}
			return voters == len(all)
		})
		return p, append(append([]*process(nil), all[:n]...), all[n+1:]...)
	}
	panic("no leader")
}

func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	ginkgo.DeferCleanup(cancel)
	return ctx
}

var _ = ginkgo.Describe("a replica", func() {
	// Guards against commands that are lost at a restart, with and without a snapshot.
	ginkgo.It("keeps committed commands over restarts when it is the only member", func() {
		c := newCluster(ginkgo.GinkgoT().TempDir(), 1)
		var want []string
		for incarnation := range 3 {
			p := c.start("control-1")
			p.awaitLeader("")
			for n := range 25 {
				want = append(want, fmt.Sprintf("%d-%d", incarnation, n))
				p.propose(want[len(want)-1])
			}
			gomega.Expect(p.state.copy()).To(gomega.Equal(want))
			basis, ok := p.Basis()
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(basis.Age).To(gomega.BeNumerically("<", 3*time.Second))
			c.stop(p)
		}
	})

	// Guards against a follower that does not forward proposals, provides no basis, or misses commands
	// that were committed while it was down.
	ginkgo.It("replicates, forwards, fails over and catches up", func() {
		c := newCluster(ginkgo.GinkgoT().TempDir(), 3)
		all := c.startAll()
		leader, others := awaitVoters(all)
		for _, p := range others {
			p.awaitLeader("")
		}
		for n := range 30 {
			index := all[n%3].propose(fmt.Sprint(n))
			gomega.Expect(all[n%3].state.applied()).To(gomega.BeNumerically(">=", index))
		}
		for _, p := range all {
			p.awaitCommands(30)
			_, ok := p.Basis()
			for !ok { // propose commands until a heartbeat round has given the member a basis
				p.propose("basis")
				_, ok = p.Basis()
			}
		}
		gomega.Expect(leader.Transfer(testContext())).To(gomega.Succeed())
		others[0].awaitLeader(leader.name)
		c.stop(leader)
		others[0].awaitLeader(leader.name)
		for n := range 60 {
			others[0].propose(fmt.Sprintf("without %d", n))
		}
		restarted := c.start(leader.name)
		want := others[0].state.copy()
		gomega.Expect(restarted.awaitCommands(len(want))).To(gomega.Equal(want))
		c.stop(restarted, others[0], others[1])
	})

	// Guards against a process that cannot rejoin the group after its disk was replaced.
	ginkgo.It("replaces a member whose data folder was lost", func() {
		c := newCluster(ginkgo.GinkgoT().TempDir(), 3)
		leader, others := awaitVoters(c.startAll())
		leader.propose("kept")
		c.stop(others[0])
		c.folder += "/replaced" // the new process finds an empty data folder
		replacement := c.start(others[0].name)
		for failure.KindOf(leader.ReplaceMember(testContext(), 0, replacement.name)) == failure.Unavailable {
			leader.propose("meanwhile") // ReplaceMember is rejected until the leader has heard from the new process
		}
		gomega.Expect(replacement.awaitCommands(1)[0]).To(gomega.Equal("kept"))
		c.stop(replacement, leader, others[1])
	})

	// Guards against callers that wait forever, or that get an error of kind Unavailable for a command that
	// may still be committed.
	ginkgo.It("distinguishes commands that were not appended from those with an unknown outcome", func() {
		c := newCluster(ginkgo.GinkgoT().TempDir(), 3)
		single := c.start("control-1")
		_, err := single.Propose(testContext(), []byte("x"))
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
		leader, others := awaitVoters([]*process{single, c.start("control-2"), c.start("control-3")})
		c.stop(others...)
		done := make(chan error)
		go func() {
			_, err := leader.Propose(context.Background(), []byte("y"))
			done <- err
		}()
		c.stop(leader)
		gomega.Expect(failure.KindOf(<-done)).To(gomega.BeElementOf(failure.MayHaveRun, failure.Unavailable))
		_, err = leader.Propose(testContext(), []byte("z"))
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
	})
})

var _ = ginkgo.Describe("a replica whose leader is replaced", func() {
	// Guards against a caller that waits for its timeout although its change, which was forwarded to the former leader
	// and lost, can no longer be committed.
	ginkgo.It("rejects forwarded proposals that were not committed", func() {
		c := newCluster(ginkgo.GinkgoT().TempDir(), 3)
		leader, others := awaitVoters(c.startAll())
		others[0].awaitLeader("")
		c.mu.Lock()
		c.dropProposals = true
		c.mu.Unlock()
		ctx, outcome := testContext(), make(chan error, 1)
		go func() {
			_, err := others[0].Propose(ctx, []byte("lost"))
			outcome <- err
		}()
		gomega.Consistently(outcome, "200ms").ShouldNot(gomega.Receive())
		c.stop(leader)
		var err error
		gomega.Eventually(outcome, acknowledgementBound).Should(gomega.Receive(&err))
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
		gomega.Expect(others[0].state.copy()).To(gomega.BeEmpty())
		c.stop(others...)
	})
})

var _ = ginkgo.Describe("a replica on a faulty disk", func() {
	prepare := func(files *faultfs.FS) (*cluster, *process, chan error) {
		c := newCluster("", 1)
		p, options := c.prepare("control-1")
		faults := make(chan error, 100)
		options.OnError = func(err error) { faults <- err }
		p.Replica = must(replica.OpenFileSystem(files, options))
		return c, p, faults
	}

	// Guards against a full disk that terminates the member or loses changes.
	ginkgo.It("reports a full disk and continues when space is available", func() {
		files := faultfs.New(1)
		c, p, faults := prepare(files)
		files.Full.Store(true)
		c.run(p, p.Replica)
		gomega.Expect(failure.KindOf(<-faults)).To(gomega.Equal(failure.Unavailable))
		files.Full.Store(false)
		p.awaitLeader("")
		p.propose("x")
		c.stop(p)
	})

	// Guards against a member that continues after its disk has failed.
	ginkgo.It("stops when a sync fails", func() {
		files := faultfs.New(1)
		c, p, _ := prepare(files)
		files.FailSyncs = 1
		c.run(p, p.Replica)
		gomega.Expect(failure.KindOf(<-p.done)).To(gomega.Equal(failure.Internal))
		_, err := p.Propose(testContext(), []byte("x"))
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
	})
})
