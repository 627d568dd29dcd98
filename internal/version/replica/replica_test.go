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

// limit ends a test that waits for an event that never comes.
const limit = 20 * time.Second

// must returns v; a test with an error ends.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// list is a state machine that keeps all commands.
type list struct {
	mu       sync.Mutex
	constant bool // keeps no commands
	commands []string
	last     uint64
	signal   func()
}

func (l *list) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *list) Apply(index uint64, data []byte) {
	l.locked(func() {
		if l.last = index; !l.constant {
			l.commands = append(l.commands, string(data))
		}
	})
	l.signal()
}

func (l *list) Snapshot() ([]byte, error) { return json.Marshal(l.copy()) }

func (l *list) Restore(index uint64, snapshot []byte) (err error) {
	l.locked(func() { l.last, err = index, json.Unmarshal(snapshot, &l.commands) })
	l.signal()
	return err
}

func (l *list) copy() (commands []string) {
	l.locked(func() { commands = append(commands, l.commands...) })
	return commands
}

func (l *list) applied() (index uint64) {
	l.locked(func() { index = l.last })
	return index
}

// process is a running member.
type process struct {
	*replica.Replica
	name   string
	state  *list
	events chan struct{} // holds a signal after a change of the role or of the state
	cancel context.CancelFunc
	ended  chan error
}

// installation is a set of control processes, which exchange encoded messages.
type installation struct {
	mu       sync.Mutex
	members  map[string]*replica.Replica
	bytes    uint64
	folder   string
	peers    []replication.Member
	runs     uint64
	every    uint64
	constant bool // state machines keep no commands
}

func newInstallation(folder string, size int) *installation {
	i := &installation{members: map[string]*replica.Replica{}, folder: folder, every: 20}
	for n := range size {
		i.peers = append(i.peers, replication.Member{Name: fmt.Sprintf("control-%d", n+1)})
	}
	return i
}

func (i *installation) Send(to replication.Member, message replication.Message) {
	data := must(replication.EncodeMessage(message))
	i.mu.Lock()
	i.bytes += uint64(len(data))
	target := i.members[to.Name]
	i.mu.Unlock()
	if target != nil {
		target.Receive(must(replication.DecodeMessage(data)))
	}
}

// prepare returns a process that is not open yet, and its options.
func (i *installation) prepare(name string) (*process, replica.Options) {
	i.runs++
	p := &process{name: name, events: make(chan struct{}, 1), ended: make(chan error, 1)}
	signal := func() {
		select {
		case p.events <- struct{}{}:
		default:
		}
	}
	p.state = &list{constant: i.constant, signal: signal}
	return p, replica.Options{
		Folder: i.folder + "/" + name, Name: name, Peers: i.peers, Seed: i.runs, Incarnation: i.runs, Transport: i, StateMachine: p.state,
		SnapshotEvery: i.every, OnRoleChange: func(replica.Status) { signal() },
	}
}

func (i *installation) run(p *process, r *replica.Replica) *process {
	p.Replica = r
	i.mu.Lock()
	i.members[p.name] = r
	i.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.ended <- r.Run(ctx) }()
	return p
}

func (i *installation) start(name string) *process {
	p, options := i.prepare(name)
	return i.run(p, must(replica.Open(options)))
}

func (i *installation) startAll() (all []*process) {
	for _, peer := range i.peers {
		all = append(all, i.start(peer.Name))
	}
	return all
}

func (i *installation) stop(processes ...*process) {
	for _, p := range processes {
		i.mu.Lock()
		delete(i.members, p.name)
		i.mu.Unlock()
		p.cancel()
		must(0, <-p.ended)
	}
}

// await waits, from one event to the next, until the condition holds.
func (p *process) await(condition func() bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for !condition() {
		select {
		case <-p.events:
		case <-timer.C:
			panic(fmt.Sprintf("%s never reaches the state: %+v", p.name, p.Status()))
		}
	}
}

// awaitLeader waits until another process than the given one leads.
func (p *process) awaitLeader(except string) {
	p.await(func() bool { l, ok := p.Leader(); return ok && l.Name != except })
}

// awaitCommands waits until the member has applied that many commands.
func (p *process) awaitCommands(count int) []string {
	p.await(func() bool { return len(p.state.copy()) >= count })
	return p.state.copy()
}

func (p *process) propose(command string) uint64 {
	return must(p.Propose(bounded(), []byte(command)))
}

// split waits until all processes are voters and returns the leader and the others.
func split(all []*process) (*process, []*process) {
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

func bounded() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	ginkgo.DeferCleanup(cancel)
	return ctx
}

var _ = ginkgo.Describe("a replica", func() {
	// Guards against changes that are lost over a restart, with and without a snapshot.
	ginkgo.It("keeps accepted changes on its own", func() {
		i := newInstallation(ginkgo.GinkgoT().TempDir(), 1)
		var want []string
		for run := range 3 {
			p := i.start("control-1")
			p.awaitLeader("")
			for n := range 25 {
				want = append(want, fmt.Sprintf("%d-%d", run, n))
				p.propose(want[len(want)-1])
			}
			gomega.Expect(p.state.copy()).To(gomega.Equal(want))
			basis, ok := p.Basis()
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(basis.Age).To(gomega.BeNumerically("<", 3*time.Second))
			i.stop(p)
		}
	})

	// Guards against a follower that cannot forward, that serves no basis, or that misses changes
	// while it is down.
	ginkgo.It("replicates, forwards, fails over and catches up", func() {
		i := newInstallation(ginkgo.GinkgoT().TempDir(), 3)
		all := i.startAll()
		leader, others := split(all)
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
			for !ok { // each change takes a round trip, a heartbeat round a few more
				p.propose("basis")
				_, ok = p.Basis()
			}
		}
		gomega.Expect(leader.Transfer(bounded())).To(gomega.Succeed())
		others[0].awaitLeader(leader.name)
		i.stop(leader)
		others[0].awaitLeader(leader.name)
		for n := range 60 {
			others[0].propose(fmt.Sprintf("without %d", n))
		}
		back := i.start(leader.name)
		want := others[0].state.copy()
		gomega.Expect(back.awaitCommands(len(want))).To(gomega.Equal(want))
		i.stop(back, others[0], others[1])
	})

	// Guards against a replaced disk that cannot return to the group.
	ginkgo.It("replaces a member whose folder was lost", func() {
		i := newInstallation(ginkgo.GinkgoT().TempDir(), 3)
		leader, others := split(i.startAll())
		leader.propose("kept")
		i.stop(others[0])
		i.folder += "/replaced" // the new process finds an empty folder
		fresh := i.start(others[0].name)
		for failure.KindOf(leader.ReplaceMember(bounded(), fresh.name)) == failure.Unavailable {
			leader.propose("meanwhile") // refused until the leader has heard from the new process
		}
		gomega.Expect(fresh.awaitCommands(1)[0]).To(gomega.Equal("kept"))
		i.stop(fresh, leader, others[1])
	})

	// Guards against callers that wait for ever, or that are told "not made" for a change that
	// may still be accepted.
	ginkgo.It("tells apart changes that were not made and those with an unknown outcome", func() {
		i := newInstallation(ginkgo.GinkgoT().TempDir(), 3)
		lonely := i.start("control-1")
		_, err := lonely.Propose(bounded(), []byte("x"))
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
		leader, others := split([]*process{lonely, i.start("control-2"), i.start("control-3")})
		i.stop(others...)
		ended := make(chan error)
		go func() {
			_, err := leader.Propose(context.Background(), []byte("y"))
			ended <- err
		}()
		i.stop(leader)
		gomega.Expect(failure.KindOf(<-ended)).To(gomega.BeElementOf(failure.MayHaveRun, failure.Unavailable))
		_, err = leader.Propose(bounded(), []byte("z"))
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
	})
})

var _ = ginkgo.Describe("a replica on a faulty disk", func() {
	prepare := func(files *faultfs.FS) (*installation, *process, chan error) {
		i := newInstallation("", 1)
		p, options := i.prepare("control-1")
		faults := make(chan error, 100)
		options.OnError = func(err error) { faults <- err }
		p.Replica = must(replica.OpenOn(files, options))
		return i, p, faults
	}

	// Guards against a full disk that ends the process or loses changes.
	ginkgo.It("reports a full disk and goes on when there is space", func() {
		files := faultfs.New(1)
		i, p, faults := prepare(files)
		files.Full.Store(true)
		i.run(p, p.Replica)
		gomega.Expect(failure.KindOf(<-faults)).To(gomega.Equal(failure.Unavailable))
		files.Full.Store(false)
		p.awaitLeader("")
		p.propose("x")
		i.stop(p)
	})

	// Guards against a member that goes on after its disk failed.
	ginkgo.It("ends when a sync fails", func() {
		files := faultfs.New(1)
		i, p, _ := prepare(files)
		files.FailSync = 1
		i.run(p, p.Replica)
		gomega.Expect(failure.KindOf(<-p.ended)).To(gomega.Equal(failure.Internal))
		_, err := p.Propose(bounded(), []byte("x"))
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
	})
})
