// Package budget decides which connections a process keeps and how many bytes of requests and responses it holds. It
// performs no I/O: its caller accepts and closes the connections, reads the bodies and keeps the time.
//
// Each listener has a number of connections of its own, so that the clients of one cannot use up those of another. The
// bytes are shared by all listeners, with a reserve that requests of the class Callers cannot use.
package budget

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ID identifies a connection. IDs are not reused.
type ID uint64

// Class is the class of a request.
type Class int

// The classes. Operators, workers, readiness, metrics and sessions are Reserved.
const (
	Callers Class = iota
	Reserved
	classes
)

const (
	// incompleteShare divides the connections of a listener: when it is full and at least this part of them has sent no
	// complete request, such a connection is closed rather than one that is idle between two requests. Clients that stop
	// within their headers can then close at most this part of the idle connections of ordinary callers.
	incompleteShare = 4
	// servingShare divides the connections of a listener: this part of them serves no requests of the class Callers, so
	// that a new connection is accepted however many jobs wait for their response.
	servingShare = 8
	// heldShare divides the bytes: a listener that holds more than this part in responses that are not read yet carries out
	// no further requests of the class Callers.
	heldShare = 2
	// maxWriteTime is how long the response to a client may be unread before its connection is closed for a new one, if there
	// is no other to close. A response that fits into the buffers of the kernel is written at once, so only clients that leave
	// some hundred kilobytes unread are concerned. With 10 s, such clients kept readiness checks from being answered for as long.
	maxWriteTime = time.Second
)

// Listener holds the limits of one listener.
type Listener struct {
	Connections           int // at most; sessions included
	ConnectionsPerAddress int // at most; 0: no limit of its own
}

// Config holds the limits of the bytes of a process.
type Config struct {
	Bytes         int // of the bodies of requests, their decoded values and large responses
	ReservedBytes int // of Bytes, for the class Reserved only
	ReceiveBytes  int // size of the receive buffer of each connection; 0: the default of the system
	// LiveBytes is the memory of the Go runtime that may be in use after a garbage collection; 0: no bound.
	LiveBytes int64
}

// state is the state of a connection.
type state int

const (
	incomplete state = iota // has sent no request yet, or a part of one
	idle                    // between two requests
	serving                 // its request is being carried out
	writing                 // its response is being written
	session                 // is used by a session between processes
	evicted                 // is being closed to make room; no longer counts as a connection
	states
)

// connection is one connection. It is linked into the list of its listener and state, in the order of arrival there.
type connection struct {
	id             ID
	listener       int
	address        string
	state          state
	since          time.Duration // time of arrival in state
	previous, next *connection
	bytes          [classes]int
	held           int // bytes of its response, which are part of those of the class Callers
	waiting        *request
}

// request is a request for bytes that waits.
type request struct {
	id    ID
	bytes int
}

// list is a list of connections, the oldest first.
type list struct {
	first, last *connection
	count       int
}

// listener is the state of one listener.
type listener struct {
	limits    Listener
	lists     [states]list
	addresses map[string]int
	held      int // bytes of responses
}

// connections returns the number of connections that count.
func (l *listener) connections() int {
	n := 0
	for s := range evicted {
		n += l.lists[s].count
	}
	return n
}

// Budget is the state of the limits of one process. It is not safe for concurrent use.
type Budget struct {
	config      Config
	listeners   []*listener
	connections map[ID]*connection
	lastID      ID
	used        [classes]int
	garbage     [classes]garbage    // what has ended and may not be collected yet
	queues      [classes][]*request // requests for bytes that wait, the oldest first
	seen        Observation
	pressed     bool          // too much memory is in use
	requested   time.Duration // time of the latest garbage collection that was observed or requested
}

// New returns an empty budget. It returns an error if a limit is not positive or the reserve is not smaller than the whole.
func New(config Config) (*Budget, error) {
	if config.ReservedBytes <= 0 || config.Bytes <= config.ReservedBytes {
		return nil, errors.Newf("the reserve of %d bytes must be positive and smaller than the budget of %d bytes", config.ReservedBytes, config.Bytes)
	}
	return &Budget{config: config, connections: map[ID]*connection{}}, nil
}

// AddListener adds a listener and returns its index. It returns an error if a limit is not positive.
func (b *Budget) AddListener(limits Listener) (int, error) {
	if limits.Connections <= 0 || limits.ConnectionsPerAddress < 0 {
		return 0, errors.Newf("a listener with %d connections, %d for one address", limits.Connections, limits.ConnectionsPerAddress)
	}
	b.listeners = append(b.listeners, &listener{limits: limits, addresses: map[string]int{}})
	return len(b.listeners) - 1, nil
}

// Cause is the reason for which a connection or request is refused.
type Cause string

// The causes. An empty cause means that nothing was refused.
const (
	NoConnection Cause = "connections" // the listener has its maximum of connections and may close none of them
	NoAddress    Cause = "address"     // the address has its maximum of connections
	NoServing    Cause = "requests"    // the listener carries out its maximum of requests
	NoBytes      Cause = "bytes"       // too many bytes of bodies or of responses that are not read
	NoMemory     Cause = "memory"      // too much memory is in use
	Closing      Cause = "closing"     // the connection is being closed
)

// Open adds a connection. If the listener is full, it also returns a connection that the caller closes now, which no longer
// counts. A cause states that the connection is refused and was not added.
func (b *Budget) Open(now time.Duration, listenerIndex int, address string) (opened, victim ID, refused Cause) {
	l := b.listeners[listenerIndex]
	if limit := l.limits.ConnectionsPerAddress; limit > 0 && l.addresses[address] >= limit {
		return 0, 0, NoAddress
	}
	if l.connections() >= l.limits.Connections {
		if victim = b.Evict(now, listenerIndex); victim == 0 {
			return 0, 0, NoConnection
		}
	}
	b.lastID++
	c := &connection{id: b.lastID, listener: listenerIndex, address: address}
	b.connections[c.id] = c
	l.addresses[address]++
	b.enter(c, now, incomplete)
	return c.id, victim, ""
}

// Evict selects a connection of a listener that the caller closes now, because the process needs its descriptor. It
// returns 0 if there is none. It never selects a session or a connection whose request is being carried out.
func (b *Budget) Evict(now time.Duration, listenerIndex int) ID {
	l := b.listeners[listenerIndex]
	victim := l.lists[idle].first
	if oldest := l.lists[incomplete].first; oldest != nil && (victim == nil || l.lists[incomplete].count*incompleteShare >= l.limits.Connections) {
		victim = oldest
	}
	if slowest := l.lists[writing].first; victim == nil && slowest != nil && now-slowest.since > maxWriteTime {
		victim = slowest
	}
	if victim == nil {
		return 0
	}
	b.forgetAddress(victim)
	b.dropWaiting(victim)
	b.enter(victim, now, evicted)
	return victim.id
}

func (b *Budget) forgetAddress(c *connection) {
	l := b.listeners[c.listener]
	if l.addresses[c.address]--; l.addresses[c.address] == 0 {
		delete(l.addresses, c.address)
	}
}

// enter moves a connection to the end of the list of a state.
func (b *Budget) enter(c *connection, now time.Duration, s state) {
	b.unlink(c)
	c.state, c.since = s, now
	list := &b.listeners[c.listener].lists[s]
	c.previous = list.last
	if list.last == nil {
		list.first = c
	} else {
		list.last.next = c
	}
	list.last = c
	list.count++
}

func (b *Budget) unlink(c *connection) {
	list := &b.listeners[c.listener].lists[c.state]
	switch {
	case c.previous != nil:
		c.previous.next = c.next
	case list.first == c:
		list.first = c.next
	default:
		return // not linked yet
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		list.last = c.previous
	}
	c.previous, c.next = nil, nil
	list.count--
}

// move changes the state of a connection that counts and reports whether there is such a connection.
func (b *Budget) move(now time.Duration, id ID, s state) bool {
	c := b.connections[id]
	if c == nil || c.state == evicted {
		return false
	}
	b.enter(c, now, s)
	return true
}

// Reading records the first byte of a request.
func (b *Budget) Reading(now time.Duration, id ID) { b.move(now, id, incomplete) }

// Writing records that the request was carried out and its response is ready.
func (b *Budget) Writing(now time.Duration, id ID) { b.move(now, id, writing) }

// Session records that the connection is used by a session.
func (b *Budget) Session(now time.Duration, id ID) { b.move(now, id, session) }

// Idle records that the response was written. It ends the grants of the connection and returns the connections whose
// waiting requests for bytes are granted now.
func (b *Budget) Idle(now time.Duration, id ID) []ID {
	b.move(now, id, idle)
	return b.Release(id)
}

// Serve records that the request of a connection is complete. A cause states that it must not be carried out.
func (b *Budget) Serve(now time.Duration, id ID, class Class) Cause {
	c := b.connections[id]
	if c == nil || c.state == evicted {
		return Closing
	}
	l := b.listeners[c.listener]
	if class == Callers && b.pressed {
		return NoMemory
	}
	if class == Callers && c.state != serving {
		if l.lists[serving].count+l.lists[writing].count >= max(1, l.limits.Connections-l.limits.Connections/servingShare) {
			return NoServing
		}
		if l.held > b.config.Bytes/heldShare {
			return NoBytes
		}
	}
	b.enter(c, now, serving)
	return ""
}

// Close removes a connection and all that it holds. It returns the connections whose waiting requests for bytes are
// granted now.
func (b *Budget) Close(id ID) []ID {
	c := b.connections[id]
	if c == nil {
		return nil
	}
	granted := b.Release(id)
	if c.state != evicted {
		b.forgetAddress(c)
	}
	b.unlink(c)
	delete(b.connections, id)
	return granted
}
