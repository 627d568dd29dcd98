package replication_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pollenpaddle/internal/version/replication"
	"pollenpaddle/internal/version/storage"
	"pollenpaddle/internal/version/storage/faultfs"
)

// timeStep is the resolution of the simulated time.
const timeStep = 5 * time.Millisecond

// packet is an encoded message in transit.
type packet struct {
	at       time.Duration
	from, to string
	data     []byte
}

// connectTime is the time from the start of a machine until the sessions with the other machines are open.
const connectTime = 2 * timeStep

// connection is the opening of the sessions between a machine that has started and the others.
type connection struct {
	at   time.Duration
	name string
}

// machine is a process with its disk. Its clock has a fixed offset until the machine reboots.
type machine struct {
	cluster        *cluster
	name           string
	files          *faultfs.FS
	store          *storage.Store
	core           *replication.Core // nil while the process is down
	offset         time.Duration
	incarnation    uint64
	pausedUntil    time.Duration // the process is paused until then
	nextTick       time.Duration
	noBootstrap    bool // the process may not form a group with automatic membership; takes effect at the next start
	queuedBatches  []replication.Batch
	writingBatches []replication.Batch
	writeDoneAt    time.Duration

	applied    uint64
	state      []string // applied commands
	sequence   uint64
	rejections []replication.Rejection
}

// cluster simulates machines and a network in one goroutine, and checks them with an oracle. The seed
// and the calls determine everything that happens.
type cluster struct {
	random        *rand.Rand
	now           time.Duration
	machines      []*machine
	peers         []replication.Member
	packets       []packet
	connections   []connection
	partitionOf   map[string]int // side of the network partition by machine; messages between sides are lost
	dropRate      float64
	duplicateRate float64
	delayRate     float64 // share of messages that are delayed by up to a second; the others by less than 8 ms
	oracle        *oracle
	snapshotEvery uint64 // applied entries between snapshots
	// automaticSize is the size of a group with automatic membership; zero stands for a group whose
	// membership changes by command.
	automaticSize int
}

func newCluster(seed uint64, size int, fail func(string, ...any)) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 7)), partitionOf: map[string]int{}, oracle: newOracle(fail), snapshotEvery: 20}
	for i := range size {
		c.peers = append(c.peers, replication.Member{Name: fmt.Sprintf("control-%d", i+1), Address: "loopback"})
	}
	for i := range size {
		c.addMachine(c.peers[i].Name, seed+uint64(i))
	}
	return c
}

func (c *cluster) addMachine(name string, seed uint64) *machine {
	m := &machine{cluster: c, name: name, files: faultfs.New(seed), offset: time.Duration(c.random.IntN(5000)) * time.Second}
	c.machines = append(c.machines, m)
	m.start()
	return m
}

func (c *cluster) byName(name string) *machine {
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// advance runs the cluster for a duration.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += timeStep
		c.deliver()
		c.connect()
		for _, m := range c.machines {
			m.runStep()
		}
		c.oracle.check(c)
	}
}

// runUntil runs the cluster until the condition holds, at most for the limit.
func (c *cluster) runUntil(limit time.Duration, condition func() bool) bool {
	for end := c.now + limit; c.now < end; {
		if condition() {
			return true
		}
		c.advance(timeStep)
	}
	return condition()
}

func (c *cluster) deliver() {
	var due, rest []packet
	for _, p := range c.packets {
		if p.at <= c.now {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	c.packets = rest
	c.random.Shuffle(len(due), func(i, j int) {
		if c.random.Float64() < 0.1 { // most messages stay in order, as on a connection
			due[i], due[j] = due[j], due[i]
		}
	})
	for _, p := range due {
		to := c.byName(p.to)
		if to == nil || to.core == nil || c.partitionOf[p.from] != c.partitionOf[p.to] {
			continue
		}
		if to.pausedUntil > c.now {
			p.at = to.pausedUntil
			c.packets = append(c.packets, p)
			continue
		}
		message, err := replication.DecodeMessage(p.data)
		if err != nil {
			c.oracle.fail("a member sent a malformed message: %v", err)
			continue
		}
		to.handle(replication.Received{Message: message})
	}
}

// connect reports the sessions that are open now to both ends.
func (c *cluster) connect() {
	due := 0
	for ; due < len(c.connections) && c.connections[due].at <= c.now; due++ {
		started := c.byName(c.connections[due].name)
		for _, m := range c.machines {
			if m == started || started == nil || c.partitionOf[m.name] != c.partitionOf[started.name] {
				continue
			}
			m.connected(started.name)
			started.connected(m.name)
		}
	}
	c.connections = c.connections[due:]
}

// connected reports a session to the named machine, unless the process is down or paused.
func (m *machine) connected(name string) {
	if m.core != nil && m.pausedUntil <= m.cluster.now {
		m.handle(replication.MemberConnected{Name: name})
	}
}

func (c *cluster) send(from *machine, e replication.Envelope) {
	if e.To.Address == "" {
		return // the transport has no address to connect to
	}
	data, err := replication.EncodeMessage(e.Message)
	if err != nil {
		c.oracle.fail("a message cannot be encoded: %v", err)
		return
	}
	copies := 1
	if c.random.Float64() < c.dropRate {
		copies = 0
	} else if c.random.Float64() < c.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := time.Duration(c.random.IntN(8)) * time.Millisecond
		if c.random.Float64() < c.delayRate {
			delay = time.Duration(c.random.IntN(1000)) * time.Millisecond
		}
		c.packets = append(c.packets, packet{at: c.now + delay, from: from.name, to: e.To.Name, data: data})
	}
}

// removeFaults ends the network faults, pauses and full disks, and starts the machines that are down.
func (c *cluster) removeFaults() {
	clear(c.partitionOf)
	c.dropRate, c.duplicateRate, c.delayRate = 0, 0, 0
	for _, m := range c.machines {
		m.pausedUntil = 0
		m.files.Space = -1
		if m.core == nil {
			m.start()
		}
	}
}

// leader returns the machine that leads in the highest term; nil if there is none.
func (c *cluster) leader() *machine {
	var best *machine
	for _, m := range c.machines {
		if m.core != nil && m.core.Status().Role == replication.Leader && (best == nil || m.core.Status().Term > best.core.Status().Term) {
			best = m
		}
	}
	return best
}

// settled reports whether all machines are voters of one group and have applied the same entries.
func (c *cluster) settled() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	status := leader.core.Status()
	for _, m := range c.machines {
		if m.core == nil || !status.Configuration.IsVoter(m.store.Identity()) || m.applied != status.Last {
			return false
		}
	}
	return status.Configuration.Voters() == len(c.machines)
}

func (m *machine) localTime() time.Duration { return m.cluster.now + m.offset }

// start starts the process with the current content of the disk.
func (m *machine) start() {
	store, recovered, err := storage.Open(m.files, func() replication.Identity {
		return replication.Identity(m.cluster.random.Uint64() | 1)
	})
	if err != nil {
		m.cluster.oracle.fail("%s cannot open its data folder: %v", m.name, err)
		return
	}
	m.incarnation++
	m.cluster.connections = append(m.cluster.connections, connection{at: m.cluster.now + connectTime, name: m.name})
	m.store, m.applied, m.state = store, 0, nil
	m.queuedBatches, m.writingBatches = nil, nil
	if s := recovered.Snapshot; s != nil {
		m.restore(s)
	}
	m.core = replication.New(m.localTime(), replication.Options{
		Identity: store.Identity(), Name: m.name, Peers: m.cluster.peers, Incarnation: m.incarnation, Seed: m.cluster.random.Uint64(),
		KeptEntries: 10, ChunkBytes: 200, Address: "loopback",
		AutomaticMembership: m.cluster.automaticSize > 0, Size: m.cluster.automaticSize, Bootstrap: !m.noBootstrap,
	}, recovered)
}

// crash ends the process. A write in progress reaches the disk only in part.
func (m *machine) crash(reboot bool) {
	if m.core == nil {
		return
	}
	if len(m.writingBatches) > 0 && m.files.Space != 0 {
		m.files.FailWrite = 1
		_, _ = m.store.Write(m.writingBatches)
		m.files.FailWrite = 0
	}
	m.files.Crash()
	m.core = nil
	if reboot {
		m.offset = -m.cluster.now // the boot clock restarts at zero
	}
}

// replaceDisk ends the process and starts it with an empty disk.
func (m *machine) replaceDisk() {
	m.crash(false)
	m.cluster.oracle.lostDisks[m.store.Identity()] = true
	m.files.Wipe()
	m.noBootstrap = true
	m.start()
}

func (m *machine) runStep() {
	if m.core == nil || m.pausedUntil > m.cluster.now {
		return
	}
	if len(m.writingBatches) > 0 && m.cluster.now >= m.writeDoneAt {
		m.finishWrite()
	}
	if len(m.writingBatches) == 0 && len(m.queuedBatches) > 0 {
		m.writingBatches, m.queuedBatches = m.queuedBatches, nil
		m.writeDoneAt = m.cluster.now + time.Duration(1+m.cluster.random.IntN(12))*time.Millisecond
	}
	if m.cluster.now >= m.nextTick {
		m.nextTick = m.cluster.now + replication.TickInterval
		m.handle(replication.Tick{})
	}
}

func (m *machine) finishWrite() {
	done, err := m.store.Write(m.writingBatches)
	if err != nil {
		if m.files.Space < 0 {
			m.cluster.oracle.fail("%s cannot write: %v", m.name, err)
		}
		m.writeDoneAt = m.cluster.now + 50*time.Millisecond
	}
	m.handle(replication.StorageChanged{Failing: err != nil})
	for len(m.writingBatches) > 0 && m.writingBatches[0].Sequence <= done {
		m.writingBatches = m.writingBatches[1:]
	}
	if done > 0 {
		m.handle(replication.Synced{Sequence: done})
	}
}

// handle passes an event to the core and carries out its output.
func (m *machine) handle(event replication.Event) {
	out := m.core.Step(m.localTime(), event)
	m.cluster.oracle.checkOutput(m, out)
	for _, e := range out.Messages {
		m.cluster.send(m, e)
	}
	if out.Persist != nil {
		m.queuedBatches = append(m.queuedBatches, *out.Persist)
	}
	m.rejections = append(m.rejections, out.Rejected...)
	if out.Restore != nil {
		m.restore(out.Restore)
	}
	for _, e := range out.Committed {
		m.cluster.oracle.checkCommitted(m, e)
		m.applied = e.Index
		if e.Kind == replication.EntryCommand {
			m.state = append(m.state, string(e.Data))
		}
	}
	if len(out.Committed) > 0 && m.applied-m.core.SnapshotIndex() >= m.cluster.snapshotEvery {
		data, _ := cbor.Marshal(m.state)
		m.handle(replication.Snapshotted{Index: m.applied, Data: data})
	}
}

func (m *machine) restore(s *replication.Snapshot) {
	m.state = nil
	if err := cbor.Unmarshal(s.Data, &m.state); err != nil {
		m.cluster.oracle.fail("%s received a damaged snapshot: %v", m.name, err)
	}
	m.applied = s.Index
}

func (m *machine) propose(commands ...string) {
	var proposals []replication.Proposal
	for _, command := range commands {
		m.sequence++
		proposals = append(proposals, replication.Proposal{Sequence: m.sequence, Data: []byte(command)})
		id := replication.ProposalID{Origin: m.store.Identity(), Run: m.incarnation, Sequence: m.sequence}
		m.cluster.oracle.proposedIn[id] = m.core.Term()
	}
	m.handle(replication.Propose{Proposals: proposals})
}
