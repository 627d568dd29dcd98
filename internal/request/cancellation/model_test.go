package cancellation_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/request/cancellation"
	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) {
	testutil.Main(m, testutil.RapidFlag{Name: "steps", Value: "60"}, testutil.RapidFlag{Name: "checks", Value: "1000"})
}

const (
	tick        = 50 * time.Millisecond
	readTimeout = 3 * time.Second // of a session
	bound       = 3 * time.Second // within which an acknowledged cancellation must hold
)

// node is an entry. While it is stalled, it processes nothing.
type node struct {
	id           wire.Claimant
	machine      *cancellation.Machine
	stalledSince time.Duration
	stalledUntil time.Duration
	down         time.Duration // until when it is down
	askedAt      time.Duration // of the last start or gap; zero if it has got no complete answer
	inbox        []cancellation.Event
}

// link is the connection between two entries.
type link struct {
	cutSince, cutUntil time.Duration
	open               bool
	openAt             time.Duration // earliest time at which it is opened again
	queued             []delivery
}

type request struct {
	at   time.Duration
	node int
}

type delivery struct {
	to    int
	event cancellation.Received
}

// cluster simulates entries, the sessions between them, and agents, all of which every entry reaches.
type cluster struct {
	t            *rapid.T
	now          time.Duration
	nodes        []*node
	links        map[[2]int]*link
	told         map[string]bool // jobs of which agents were told
	requested    map[uint64]request
	jobs         map[uint64]string
	acknowledged map[string]time.Duration
	killedAt     time.Duration
	troubled     int // index of the entry that was last stalled or cut off
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{
		t: t, now: time.Hour, links: map[[2]int]*link{}, told: map[string]bool{}, requested: map[uint64]request{},
		jobs: map[uint64]string{}, acknowledged: map[string]time.Duration{},
	}
	for i := range n {
		c.nodes = append(c.nodes, &node{id: wire.Claimant{EntryID: fmt.Sprintf("entry-%d", i)}})
		for k := range i {
			c.links[[2]int{k, i}] = &link{}
		}
	}
	for i := range n {
		c.start(i)
	}
	return c
}

func (c *cluster) start(i int) {
	n := c.nodes[i]
	n.id.Incarnation++
	n.askedAt = c.now
	n.machine, n.inbox = cancellation.New(cancellation.Config{Entry: n.id.EntryID, Limit: 1000}), nil
	configured := cancellation.Configured{LongestWait: 20 * time.Second}
	for _, other := range c.nodes {
		configured.Entries = append(configured.Entries, other.id.EntryID)
	}
	c.step(i, configured)
}

func (c *cluster) running(i int) bool {
	return c.now >= c.nodes[i].down && c.now >= c.nodes[i].stalledUntil
}

func (c *cluster) linkOf(i, k int) *link { return c.links[[2]int{min(i, k), max(i, k)}] }

func (c *cluster) indexOf(id wire.Claimant) int {
	for i, n := range c.nodes {
		if n.id == id {
			return i
		}
	}
	return -1
}

func (c *cluster) step(i int, event cancellation.Event) {
	n := c.nodes[i]
	for _, action := range n.machine.Step(c.now, event) {
		switch a := action.(type) {
		case cancellation.Send:
			if k := c.indexOf(a.To); k >= 0 && c.linkOf(i, k).open {
				l := c.linkOf(i, k)
				l.queued = append(l.queued, delivery{to: k, event: cancellation.Received{From: n.id, Message: a.Message}})
			}
		case cancellation.TellAgents:
			c.told[a.Message.(*wire.JobCancellation).Job] = true
		case cancellation.Opened:
			if !a.Complete {
				n.askedAt = 0
			}
		case cancellation.Acknowledged:
			c.answered(a.Number)
			c.acknowledged[c.jobs[a.Number]] = c.now
		case cancellation.Refused:
			c.answered(a.Number)
			if a.Error.RetryAfter <= 0 {
				c.t.Fatalf("refused without a retry delay: %v", a.Error)
			}
		}
	}
}

func (c *cluster) answered(number uint64) {
	r, waiting := c.requested[number]
	if stalled := r.node == c.troubled; !waiting || c.now-r.at > time.Second && !stalled {
		c.t.Fatalf("request %d, %+v, is answered at %v, waiting: %v", number, r, c.now, waiting)
	}
	delete(c.requested, number)
}

// advance lets a tick pass.
func (c *cluster) advance() {
	c.now += tick
	for i, n := range c.nodes {
		if n.down != 0 && c.now >= n.down {
			n.down = 0
			c.start(i)
		}
		if n.stalledUntil != 0 && c.now >= n.stalledUntil {
			gap := c.now - n.stalledSince
			n.stalledSince, n.stalledUntil = 0, 0
			if gap >= time.Second {
				n.askedAt = c.now
				c.step(i, cancellation.OutOfTouch{Gap: gap})
			}
		}
	}
	for i := range c.nodes {
		for k := range i {
			c.advanceLink(k, i)
		}
	}
	for i, n := range c.nodes {
		if !c.running(i) {
			continue
		}
		inbox := n.inbox
		n.inbox = nil
		for _, event := range inbox {
			c.step(i, event)
		}
		if due, ok := n.machine.NextWake(); ok && due <= c.now {
			c.step(i, cancellation.Tick{})
		}
		n.machine.Expire(c.now)
	}
	c.check()
}

// advanceLink delivers messages, and opens and closes the session.
func (c *cluster) advanceLink(i, k int) {
	l := c.linkOf(i, k)
	silent := func(j int) bool {
		n := c.nodes[j]
		return n.down != 0 || n.stalledUntil != 0 && c.now-n.stalledSince >= readTimeout
	}
	cut := c.now < l.cutUntil
	lost := silent(i) || silent(k) || cut && c.now-l.cutSince >= readTimeout
	switch {
	case l.open && lost:
		l.open, l.queued, l.openAt = false, nil, c.now+200*time.Millisecond
		for _, j := range []int{i, k} {
			c.nodes[j].inbox = append(c.nodes[j].inbox, cancellation.PeerDisconnected{Entry: c.nodes[i+k-j].id})
		}
	case !l.open && !cut && c.now >= l.openAt && c.running(i) && c.running(k):
		l.open = true
		for _, j := range []int{i, k} {
			c.nodes[j].inbox = append(c.nodes[j].inbox, cancellation.PeerConnected{Entry: c.nodes[i+k-j].id})
		}
	case l.open && !cut:
		for _, d := range l.queued {
			c.nodes[d.to].inbox = append(c.nodes[d.to].inbox, d.event)
		}
		l.queued = nil
	}
}

// check verifies that no entry could start a job whose cancellation was acknowledged.
func (c *cluster) check() {
	for job, at := range c.acknowledged {
		if c.now > at+cancellation.Retention-time.Second { // it is kept from the request on
			delete(c.acknowledged, job)
			continue
		}
		for i, n := range c.nodes {
			afterGap := at < n.askedAt // it has asked before it continued, whatever the agents were told
			if !afterGap && (c.told[job] || c.now < at+bound) {
				continue
			}
			if c.running(i) && n.machine.IsOpen() && !n.machine.Cancelled(c.now, job) {
				c.t.Fatalf("at %v, %v would start %s, whose cancellation was acknowledged at %v", c.now, n.id, job, at)
			}
		}
	}
}

// trouble reports whether an entry is stalled or cut off, or was within the last seconds.
func (c *cluster) trouble() bool {
	for _, n := range c.nodes {
		if n.stalledUntil != 0 {
			return true
		}
	}
	for _, l := range c.links {
		if c.now < l.cutUntil+2*time.Second {
			return true
		}
	}
	return false
}

// TestAcknowledgedCancellations guards against an entry that starts or continues a job whose cancellation another one has
// acknowledged: with one entry at a time that stalls or is cut off from the others, and the end of another one at any time.
func TestAcknowledgedCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(2, 6).Draw(t, "entries"))
		for range 30 {
			c.advance()
		}
		drawNode := func(t *rapid.T) int { return rapid.IntRange(0, len(c.nodes)-1).Draw(t, "entry") }
		number := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"cancel": func(t *rapid.T) {
				i := drawNode(t)
				if !c.running(i) {
					return
				}
				number++
				c.requested[number], c.jobs[number] = request{c.now, i}, fmt.Sprintf("job-%d", number)
				c.step(i, cancellation.Requested{Job: c.jobs[number], Number: number})
			},
			"stall": func(t *rapid.T) {
				i := drawNode(t)
				if c.trouble() || !c.running(i) || c.now < c.killedAt+4*time.Second {
					return
				}
				duration := time.Duration(rapid.IntRange(4, 120).Draw(t, "stall")) * tick
				c.nodes[i].stalledSince, c.nodes[i].stalledUntil, c.troubled = c.now, c.now+duration, i
			},
			"cut": func(t *rapid.T) {
				i := drawNode(t)
				if c.trouble() || c.now < c.killedAt+4*time.Second {
					return
				}
				until := c.now + time.Duration(rapid.IntRange(4, 200).Draw(t, "cut"))*tick
				for k := range c.nodes {
					if k != i {
						c.linkOf(i, k).cutSince, c.linkOf(i, k).cutUntil = c.now, until
					}
				}
				c.troubled = i
			},
			"kill": func(t *rapid.T) {
				i := drawNode(t)
				if !c.running(i) || c.now < c.killedAt+time.Minute || c.trouble() && i == c.troubled || len(c.nodes) < 3 {
					return
				}
				c.killedAt = c.now
				for k, r := range c.requested {
					if r.node == i { // its callers get no response
						delete(c.requested, k)
					}
				}
				c.nodes[i].down = c.now + time.Duration(rapid.IntRange(2, 60).Draw(t, "down"))*tick
			},
			"": func(t *rapid.T) {
				for range rapid.IntRange(1, 80).Draw(t, "ticks") {
					c.advance()
				}
			},
		})
		for range 400 {
			c.advance()
		}
		for _, n := range c.nodes {
			if !n.machine.IsOpen() || n.machine.Stats().Kept > 1000 {
				t.Fatalf("%v: open %v, %+v after all faults have ended", n.id, n.machine.IsOpen(), n.machine.Stats())
			}
		}
		if len(c.requested) > 0 {
			t.Fatalf("requests without an answer: %v", c.requested)
		}
	})
}
