package standin

import (
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a link.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Link forwards TCP connections to one address with a one-way delay. It can be cut, which closes
// its connections and refuses new ones, or frozen, which holds the bytes of one or both directions
// back.
type Link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	thawed *sync.Cond
	delay  time.Duration
	cut    bool
	frozen [2]bool // by Direction
	closed bool
	conns  map[net.Conn]bool
	group  sync.WaitGroup
}

const (
	// linkChunk is the largest piece of data that is delayed as one.
	linkChunk = 64 << 10
	// linkQueue bounds the pieces under way in one direction of a connection.
	linkQueue = 1024
)

// NewLink starts a link on a free loopback port.
func NewLink(target string, delay time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, delay: delay, listener: listener, conns: map[net.Conn]bool{}}
	l.thawed = sync.NewCond(&l.mu)
	l.group.Go(l.accept)
	return l, nil
}

// Address returns the address that stands for the target.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut closes all connections and refuses new ones until Heal.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.closeConns()
}

// Freeze holds all bytes back, without closing a connection, until Heal.
func (l *Link) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = [2]bool{true, true}
}

// FreezeOneWay holds the bytes of one direction back, without closing a connection, until Heal.
func (l *Link) FreezeOneWay(direction Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[direction] = true
}

// SetDelay changes the one-way delay of what is read from now on.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Heal ends Cut and Freeze.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.frozen = false, [2]bool{}
	l.thawed.Broadcast()
}

// Close ends the link and waits for its threads.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.closeConns()
	l.thawed.Broadcast()
	l.mu.Unlock()
	_ = l.listener.Close()
	l.group.Wait()
}

func (l *Link) closeConns() {
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.group.Go(func() { l.connect(near) })
	}
}

func (l *Link) connect(near net.Conn) {
	defer near.Close()
	if !l.add(near) {
		return
	}
	defer l.remove(near)
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.add(far) {
		return
	}
	defer l.remove(far)
	var both sync.WaitGroup
	both.Go(func() { l.forward(near, far, ToTarget) })
	both.Go(func() { l.forward(far, near, FromTarget) })
	both.Wait()
}

func (l *Link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.closed {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *Link) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// piece is data that may be delivered at due.
type piece struct {
	data []byte
	due  time.Time
}

// forward copies one direction; every piece arrives delay after it was read.
func (l *Link) forward(from, to net.Conn, direction Direction) {
	pieces := make(chan piece, linkQueue)
	l.group.Go(func() { l.deliver(pieces, to, direction) })
	defer close(pieces)
	for {
		buffer := make([]byte, linkChunk)
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{buffer[:n], time.Now().Add(l.presentDelay())}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes the pieces when they are due, and closes the connection after the last one. It
// keeps on taking pieces after a failed write, so that forward is never blocked.
func (l *Link) deliver(pieces <-chan piece, to net.Conn, direction Direction) {
	defer to.Close()
	failed := false
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if !l.passable(direction) {
			failed = true
		}
		if !failed {
			_, err := to.Write(p.data)
			failed = err != nil
		}
	}
}

func (l *Link) presentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

// passable waits while the direction is frozen and reports whether it may still deliver.
func (l *Link) passable(direction Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.frozen[direction] && !l.closed {
		l.thawed.Wait()
	}
	return !l.closed
}
