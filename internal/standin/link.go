package standin

import (
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a link.
type Direction int

// Directions of a link, as seen from the client.
const (
	ToTarget Direction = iota
	FromTarget
)

// Link is a TCP proxy to a single address that adds a one-way delay and simulates network faults.
// A cut link closes its connections and rejects new ones. A frozen link keeps its connections open
// but withholds the data of one or both directions.
type Link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	thaw   *sync.Cond    // signals that a direction may have thawed or the link was closed
	delay  time.Duration // one-way
	cut    bool
	frozen [2]bool // by Direction
	closed bool
	conns  map[net.Conn]bool
	group  sync.WaitGroup
}

const (
	// maxChunkBytes is the size of the read buffer; data read at once is delayed as a unit.
	maxChunkBytes = 64 << 10
	// chunkQueueLength bounds the chunks in flight in one direction of a connection.
	chunkQueueLength = 1024
)

// NewLink starts a link to target on a free loopback port.
func NewLink(target string, delay time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, delay: delay, listener: listener, conns: map[net.Conn]bool{}}
	l.thaw = sync.NewCond(&l.mu)
	l.group.Go(l.accept)
	return l, nil
}

// Address returns the address on which the link accepts connections to the target.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut closes all connections and rejects new ones until Heal is called.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	l.closeConns()
}

// Freeze withholds all data, without closing connections, until Heal is called.
func (l *Link) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = [2]bool{true, true}
}

// FreezeOneWay withholds the data of one direction, without closing connections, until Heal is called.
func (l *Link) FreezeOneWay(direction Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[direction] = true
}

// SetDelay changes the one-way delay. Data that has already been read keeps its former delay.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// Heal reverts Cut, Freeze and FreezeOneWay. The delay stays.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.frozen = false, [2]bool{}
	l.thaw.Broadcast()
}

// Close shuts down the link and waits for its goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.closeConns()
	l.thaw.Broadcast()
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
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.group.Go(func() { l.connect(client) })
	}
}

func (l *Link) connect(client net.Conn) {
	defer client.Close()
	if !l.add(client) {
		return
	}
	defer l.remove(client)
	server, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	if !l.add(server) {
		return
	}
	defer l.remove(server)
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(client, server, ToTarget) })
	directions.Go(func() { l.forward(server, client, FromTarget) })
	directions.Wait()
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

// chunk is data that is delivered at due.
type chunk struct {
	data []byte
	due  time.Time
}

// forward copies one direction. Each chunk is delivered after the delay that applied when it was read.
func (l *Link) forward(from, to net.Conn, direction Direction) {
	chunks := make(chan chunk, chunkQueueLength)
	l.group.Go(func() { l.deliver(chunks, to, direction) })
	defer close(chunks)
	for {
		buffer := make([]byte, maxChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			chunks <- chunk{buffer[:n], time.Now().Add(l.currentDelay())}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes the chunks when they are due and closes the connection after the last one. After a
// failed write it still drains the channel, so that forward never blocks.
func (l *Link) deliver(chunks <-chan chunk, to net.Conn, direction Direction) {
	defer to.Close()
	failed := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if !l.awaitThaw(direction) {
			failed = true
		}
		if !failed {
			_, err := to.Write(c.data)
			failed = err != nil
		}
	}
}

func (l *Link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

// awaitThaw blocks while the direction is frozen. It returns false if the link is closed.
func (l *Link) awaitThaw(direction Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.frozen[direction] && !l.closed {
		l.thaw.Wait()
	}
	return !l.closed
}
