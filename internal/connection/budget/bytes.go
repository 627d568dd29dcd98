package budget

import "slices"

// Grant is the reply to a request for bytes.
type Grant int

// The replies.
const (
	Refused Grant = iota // more than the class can ever have, too much memory is in use, or the connection is being closed
	Granted
	Waiting // the connection is returned by the call that ends other grants, when it is its turn
)

// limit returns the number of bytes that a class can have at most.
func (b *Budget) limit(class Class) int {
	if class == Callers {
		return b.config.Bytes - b.config.ReservedBytes
	}
	return b.config.Bytes
}

// garbage is the number of bytes whose grants have ended, by the number of garbage collections since then. The collection
// during which a grant ends may not find its bytes, so they count until the next one has ended.
type garbage struct{ fresh, aged int }

func (g garbage) sum() int { return g.fresh + g.aged }

// fits reports whether n more bytes may be granted to a class now.
func (b *Budget) fits(class Class, n int) bool {
	total := 0
	for class, used := range b.used {
		total += used + b.garbage[class].sum()
	}
	return total+n <= b.config.Bytes && (class != Callers || b.used[Callers]+b.garbage[Callers].sum()+n <= b.limit(Callers))
}

// Garbage returns the bytes whose grants have ended and which may not be collected yet.
func (b *Budget) Garbage() int { return b.garbage[Callers].sum() + b.garbage[Reserved].sum() }

// collected records the end of a number of garbage collections and returns the connections whose waiting requests are
// granted now.
func (b *Budget) collected(collections uint64) []ID {
	for class := range b.garbage {
		g := &b.garbage[class]
		g.aged, g.fresh = g.fresh, 0
		if collections > 1 {
			g.aged = 0
		}
	}
	return b.grantWaiting()
}

// Acquire requests n bytes, which are granted in the order of the requests of a class. Until the reply is Granted, the
// caller must not read them. A connection has at most one request that waits.
func (b *Budget) Acquire(id ID, class Class, n int) Grant {
	c := b.connections[id]
	if c == nil || c.state == evicted || c.waiting != nil || n < 0 || n > b.limit(class) || class == Callers && b.pressed {
		return Refused
	}
	if len(b.queues[class]) == 0 && b.fits(class, n) {
		b.grant(c, class, n)
		return Granted
	}
	c.waiting = &request{id: id, bytes: n}
	b.queues[class] = append(b.queues[class], c.waiting)
	return Waiting
}

// Collectable reports whether a garbage collection would make room for n more bytes of a class, and is worth it: a few bytes
// of garbage do not start one for a small request, or there would be one for each.
func (b *Budget) Collectable(class Class, n int) bool {
	least := b.limit(Callers) / collectedShare
	fits := b.used[Callers]+b.used[Reserved]+n <= b.config.Bytes && (class != Callers || b.used[Callers]+n <= b.limit(Callers))
	return fits && b.Garbage() > 0 && (n >= least || b.Garbage() >= least)
}

// Grow requests n bytes for a connection that already has some. It is granted at once or not at all, because connections
// that wait for more while they hold bytes could wait for each other.
func (b *Budget) Grow(id ID, class Class, n int) bool {
	c := b.connections[id]
	if c == nil || c.state == evicted || n < 0 || class == Callers && b.pressed || !b.fits(class, n) {
		return false
	}
	b.grant(c, class, n)
	return true
}

func (b *Budget) grant(c *connection, class Class, n int) {
	c.bytes[class] += n
	b.used[class] += n
}

// end ends the grant of n bytes.
func (b *Budget) end(c *connection, class Class, n int) {
	c.bytes[class] -= n
	b.used[class] -= n
	b.garbage[class].fresh += n
}

// Hold adds n bytes of a response that exists already. They may exceed the budget, which then grants nothing to others
// until enough is released.
func (b *Budget) Hold(id ID, n int) {
	if c := b.connections[id]; c != nil && n > 0 {
		b.grant(c, Callers, n)
		c.held += n
		b.listeners[c.listener].held += n
	}
}

// Shrink ends the grant of n bytes of a connection and returns the connections whose waiting requests are granted now. The
// bytes are free again once they are collected; see Observe.
func (b *Budget) Shrink(id ID, class Class, n int) []ID {
	c := b.connections[id]
	if c == nil || n <= 0 {
		return nil
	}
	b.end(c, class, min(n, c.bytes[class]))
	return b.grantWaiting()
}

// Release ends all grants of a connection and its request that waits, and returns the connections whose waiting requests
// are granted now.
func (b *Budget) Release(id ID) []ID {
	c := b.connections[id]
	if c == nil {
		return nil
	}
	released := b.dropWaiting(c)
	b.listeners[c.listener].held -= c.held
	c.held = 0
	for class := range classes {
		released = released || c.bytes[class] > 0
		b.end(c, class, c.bytes[class])
	}
	if !released {
		return nil
	}
	return b.grantWaiting()
}

// dropWaiting drops the request of a connection that waits and reports whether there was one.
func (b *Budget) dropWaiting(c *connection) bool {
	if c.waiting == nil {
		return false
	}
	for class := range classes {
		if k := slices.Index(b.queues[class], c.waiting); k >= 0 {
			b.queues[class] = slices.Delete(b.queues[class], k, k+1)
		}
	}
	c.waiting = nil
	return true
}

// Grant grants what waited behind the request of a connection that Open, Evict or Observe has selected to be closed, and
// returns the connections whose requests are granted.
func (b *Budget) Grant() []ID { return b.grantWaiting() }

// grantWaiting grants the requests that wait, the reserved ones first. Within a class no request overtakes another, so
// that large ones are not starved.
func (b *Budget) grantWaiting() []ID {
	var granted []ID
	for class := classes - 1; class >= 0; class-- {
		queue := b.queues[class]
		for len(queue) > 0 && b.fits(class, queue[0].bytes) {
			c := b.connections[queue[0].id]
			c.waiting = nil
			b.grant(c, class, queue[0].bytes)
			granted = append(granted, c.id)
			queue = queue[1:]
		}
		if len(queue) == 0 {
			queue = nil // lets go of the array
		}
		b.queues[class] = queue
	}
	return granted
}

// Usage is what a listener uses.
type Usage struct {
	Incomplete int `json:"incomplete"` // connections without a complete request
	Idle       int `json:"idle"`
	Serving    int `json:"serving"`
	Writing    int `json:"writing"`
	Sessions   int `json:"sessions"`
	Limit      int `json:"limit"`
}

// Usage returns what a listener uses.
func (b *Budget) Usage(listenerIndex int) Usage {
	l := b.listeners[listenerIndex]
	return Usage{
		Incomplete: l.lists[incomplete].count, Idle: l.lists[idle].count, Serving: l.lists[serving].count,
		Writing: l.lists[writing].count, Sessions: l.lists[session].count, Limit: l.limits.Connections,
	}
}

// Bytes returns the bytes in use by class and the number of requests for bytes that wait.
func (b *Budget) Bytes() (callers, reserved, waiting int) {
	return b.used[Callers], b.used[Reserved], len(b.queues[Callers]) + len(b.queues[Reserved])
}
