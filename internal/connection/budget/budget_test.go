package budget_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// model is the reference: the connections in a plain map.
type model struct {
	t       *rapid.T
	b       *budget.Budget
	config  budget.Config
	limits  []budget.Listener
	now     time.Duration
	open    map[budget.ID]*modelConnection
	held    int // bytes of responses, which may exceed the budget
	maximum int // of the class Callers
	// garbage has the bytes of ended grants by class and by the number of collections since then.
	garbage     [2][2]int
	collections uint64
}

type modelConnection struct {
	listener int
	address  string
	state    string
	bytes    [2]int // by class
	held     int
	waiting  int // bytes; 0 if none
	class    budget.Class
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, open: map[budget.ID]*modelConnection{}}
	m.config.ReservedBytes = rapid.IntRange(1, 50).Draw(t, "reserved")
	m.config.Bytes = m.config.ReservedBytes + rapid.IntRange(1, 100).Draw(t, "others")
	m.maximum = m.config.Bytes - m.config.ReservedBytes
	var err error
	if m.b, err = budget.New(m.config); err != nil {
		t.Fatal(err)
	}
	for range rapid.IntRange(1, 3).Draw(t, "listeners") {
		limits := budget.Listener{Connections: rapid.IntRange(1, 9).Draw(t, "connections"), ConnectionsPerAddress: rapid.IntRange(0, 4).Draw(t, "per address")}
		if _, err := m.b.AddListener(limits); err != nil {
			t.Fatal(err)
		}
		m.limits = append(m.limits, limits)
	}
	return m
}

func (m *model) count(listener int, address string, states ...string) int {
	n := 0
	for _, c := range m.open {
		if c.listener == listener && (address == "" || c.address == address) && (len(states) == 0 && c.state != "evicted" || slices.Contains(states, c.state)) {
			n++
		}
	}
	return n
}

func (m *model) drawID() budget.ID {
	ids := []budget.ID{0}
	for id := range m.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(m.t, "connection")
}

func (m *model) openConnection() {
	k := rapid.IntRange(0, len(m.limits)-1).Draw(m.t, "listener")
	address := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "address")
	full := m.count(k, "") >= m.limits[k].Connections
	id, victim, refused := m.b.Open(m.now, k, address)
	switch {
	case m.limits[k].ConnectionsPerAddress > 0 && m.count(k, address) >= m.limits[k].ConnectionsPerAddress:
		m.expect(refused == budget.NoAddress, "an address exceeds its connections")
		return
	case refused != "":
		m.expect(refused == budget.NoConnection && full && m.count(k, "", "incomplete", "idle") == 0, "refused although a connection was free or could be closed")
		return
	}
	m.expect(full == (victim != 0), "a connection is closed exactly if the listener is full")
	if victim != 0 {
		c := m.open[victim]
		m.expect(c.listener == k && c.state != "serving" && c.state != "session" && c.state != "evicted", "closes a connection that it must keep: "+c.state)
		c.state, c.waiting = "evicted", 0
		m.granted(m.b.Grant())
	}
	m.expect(m.open[id] == nil && id != 0, "an id is used twice")
	m.open[id] = &modelConnection{listener: k, address: address, state: "incomplete"}
}

// end ends the grants of a connection, whose bytes are garbage then.
func (m *model) end(c *modelConnection) {
	for class, n := range c.bytes {
		m.garbage[class][0] += n
	}
	m.held -= c.held
	c.bytes, c.held, c.waiting = [2]int{}, 0, 0
}

// collect plays one or two garbage collections. A single one does not find what ended while it ran.
func (m *model) collect(n int) {
	for class := range m.garbage {
		m.garbage[class] = [2]int{0, m.garbage[class][0]}
		if n > 1 {
			m.garbage[class] = [2]int{}
		}
	}
	m.collections += uint64(n)
	action := m.b.Observe(m.now, budget.Observation{Collections: m.collections})
	m.granted(action.Granted)
	m.expect(len(action.Close) == 0, "closes connections without a bound of the memory in use")
	waiting := m.waiting(budget.Callers) + m.waiting(budget.Reserved)
	m.expect(waiting > 0 || !m.b.WaitsForGarbage(), "collects garbage for which nothing waits")
}

func (m *model) granted(ids []budget.ID) {
	for _, id := range ids {
		c := m.open[id]
		m.expect(c != nil && c.waiting > 0, "grants what was not requested")
		c.bytes[c.class] += c.waiting
		c.waiting = 0
	}
}

func (m *model) step() {
	m.now += time.Duration(rapid.IntRange(0, 6).Draw(m.t, "seconds")) * time.Second
	if rapid.IntRange(0, 3).Draw(m.t, "open") == 0 {
		m.openConnection()
		return
	}
	id := m.drawID()
	c := m.open[id]
	if c == nil {
		c = &modelConnection{state: "evicted"} // calls for unknown connections change nothing
	}
	set := func(state string) {
		if c.state != "evicted" {
			c.state = state
		}
	}
	class := budget.Class(rapid.IntRange(0, 1).Draw(m.t, "class"))
	n := rapid.IntRange(1, m.config.Bytes+1).Draw(m.t, "bytes")
	switch rapid.IntRange(0, 11).Draw(m.t, "operation") {
	case 0:
		m.b.Reading(m.now, id)
		set("incomplete")
	case 1:
		m.b.Writing(m.now, id)
		set("writing")
	case 2:
		m.b.Session(m.now, id)
		set("session")
	case 3:
		set("idle")
		m.end(c)
		m.granted(m.b.Idle(m.now, id))
	case 4, 5:
		m.end(c)
		delete(m.open, id)
		m.granted(m.b.Close(id))
	case 6:
		cause := m.b.Serve(m.now, id, class)
		m.expect((cause == budget.Closing) == (c.state == "evicted"), "serves a connection that is being closed")
		m.expect(cause == "" || class == budget.Callers || c.state == "evicted", "refuses a request of the reserved class")
		if cause == "" {
			set("serving")
		}
	case 7, 8:
		free := m.free(class)
		noQueue := m.waiting(class) == 0
		switch m.b.Acquire(id, class, n) {
		case budget.Granted:
			m.expect(n <= free && noQueue, "grants more than there is, or out of turn")
			c.bytes[class] += n
		case budget.Waiting:
			m.expect(n > free || !noQueue, "waits although the bytes are free")
			m.expect(class == budget.Callers || !noQueue || m.held > 0 || m.sum(m.garbage[budget.Callers]) > 0 || n+m.used(budget.Reserved)+m.sum(m.garbage[budget.Reserved]) > m.config.ReservedBytes, "callers use the reserve")
			c.waiting, c.class = n, class
		case budget.Refused:
			m.expect(c.state == "evicted" || c.waiting > 0 || n > m.config.Bytes-m.config.ReservedBytes, "refuses what can be granted later")
		}
	case 9:
		if m.b.Grow(id, class, n) {
			m.expect(n <= m.free(class), "grows beyond the budget")
			c.bytes[class] += n
		} else {
			m.expect(c.state == "evicted" || n > m.free(class), "refuses bytes that are free")
		}
	case 10:
		m.collect(rapid.IntRange(1, 2).Draw(m.t, "collections"))
	case 11:
		if m.open[id] != nil {
			m.b.Hold(id, n)
			c.bytes[budget.Callers] += n
			c.held += n
			m.held += n
		}
	}
}

func (m *model) used(class budget.Class) int {
	n := 0
	for _, c := range m.open {
		n += c.bytes[class]
	}
	return n
}

func (m *model) sum(garbage [2]int) int { return garbage[0] + garbage[1] }

// free returns the bytes that can be granted to a class.
func (m *model) free(class budget.Class) int {
	callers := m.used(budget.Callers) + m.sum(m.garbage[budget.Callers])
	free := m.config.Bytes - callers - m.used(budget.Reserved) - m.sum(m.garbage[budget.Reserved])
	if class == budget.Callers {
		free = min(free, m.maximum-callers)
	}
	return free
}

func (m *model) waiting(class budget.Class) int {
	n := 0
	for _, c := range m.open {
		if c.waiting > 0 && c.class == class {
			n++
		}
	}
	return n
}

func (m *model) expect(ok bool, text string) {
	m.t.Helper()
	if !ok {
		m.t.Fatal(text)
	}
}

func (m *model) check() {
	used, waiting := [2]int{m.used(budget.Callers), m.used(budget.Reserved)}, m.waiting(budget.Callers)+m.waiting(budget.Reserved)
	callers, reserved, queued := m.b.Bytes()
	m.expect(callers == used[0] && reserved == used[1] && queued == waiting, "bytes or requests are lost or leaked")
	m.expect(m.b.Garbage() == m.sum(m.garbage[0])+m.sum(m.garbage[1]), "garbage is lost or leaked")
	m.expect(used[0]+used[1] <= m.config.Bytes+m.held, "more bytes than the budget has")
	m.expect(used[0]-m.held <= m.maximum, "callers use the reserve")
	m.expect(waiting == 0 || used[0]+used[1] > 0 || m.b.WaitsForGarbage(), "a request waits although nothing is in use and garbage is not collected")
	for k, limits := range m.limits {
		usage := m.b.Usage(k)
		m.expect(m.count(k, "") <= limits.Connections, "a listener exceeds its connections")
		m.expect(usage.Incomplete == m.count(k, "", "incomplete") && usage.Idle == m.count(k, "", "idle") && usage.Serving == m.count(k, "", "serving") &&
			usage.Writing == m.count(k, "", "writing") && usage.Sessions == m.count(k, "", "session"), "counts a connection in another state")
	}
}

// Guards against a budget that exceeds its size, loses or leaks a grant, lets a request wait for ever, lets callers use
// the reserve, or closes a connection whose request is being carried out.
func TestBudgetAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
			m.check()
		}
		for len(m.open) > 0 { // whatever was granted and in whatever order connections end, nothing is left
			id := m.drawID()
			if c := m.open[id]; c != nil {
				m.end(c)
				delete(m.open, id)
				m.granted(m.b.Close(id))
				m.check()
			}
			m.collect(1)
			m.check()
		}
		m.collect(1)
		m.collect(1)
		m.check()
		m.expect(m.b.Garbage() == 0, "garbage is left after it was collected")
	})
}

// Guards against clients that stop within their headers and thereby end the idle connections of ordinary callers.
func TestIncompleteConnectionsAreClosedFirst(t *testing.T) {
	expect := gomega.NewWithT(t)
	b, err := budget.New(budget.Config{Bytes: 2, ReservedBytes: 1})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = b.AddListener(budget.Listener{Connections: 40})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	for range 20 {
		id, _, _ := b.Open(0, 0, "")
		b.Idle(0, id)
	}
	for range 1000 {
		_, _, refused := b.Open(0, 0, "")
		expect.Expect(refused).To(gomega.BeEmpty())
	}
	expect.Expect(b.Usage(0)).To(gomega.Equal(budget.Usage{Idle: 20, Incomplete: 20, Limit: 40}))
}

// Guards against a listener whose waiting jobs leave no connection for an operator or another process, and against a
// client that does not read its response and keeps its connection for ever.
func TestReservedShareOfConnections(t *testing.T) {
	expect := gomega.NewWithT(t)
	b, err := budget.New(budget.Config{Bytes: 2, ReservedBytes: 1})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = b.AddListener(budget.Listener{Connections: 16})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	var ids []budget.ID
	for range 16 {
		id, _, _ := b.Open(0, 0, "")
		if b.Serve(0, id, budget.Callers) == "" {
			ids = append(ids, id)
		}
	}
	expect.Expect(ids).To(gomega.HaveLen(14))
	id, victim, refused := b.Open(0, 0, "")
	expect.Expect(refused).To(gomega.BeEmpty())
	expect.Expect(ids).NotTo(gomega.ContainElement(victim))
	expect.Expect(b.Serve(0, id, budget.Reserved)).To(gomega.BeEmpty())
	id, _, _ = b.Open(0, 0, "")
	expect.Expect(b.Serve(0, id, budget.Reserved)).To(gomega.BeEmpty())
	_, _, refused = b.Open(0, 0, "")
	expect.Expect(refused).To(gomega.Equal(budget.NoConnection))
	b.Writing(0, ids[3])
	_, _, refused = b.Open(time.Second, 0, "")
	expect.Expect(refused).To(gomega.Equal(budget.NoConnection))
	_, victim, _ = b.Open(2*time.Second, 0, "")
	expect.Expect(victim).To(gomega.Equal(ids[3]))
}
