package agent

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// upstreamConn is a connection to the upstream that counts the bytes received.
type upstreamConn struct {
	net.Conn
	received atomic.Int64 // bytes since the call began
}

// Read implements net.Conn.
func (c *upstreamConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// closedByPeer reports whether the upstream has closed the idle connection. It peeks at the socket
// without consuming data and does not block.
func (c *upstreamConn) closedByPeer() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && recvErr == nil || recvErr != nil && recvErr != unix.EAGAIN && recvErr != unix.EINTR
		return true
	})
	return closed || err != nil
}

// clientConn holds the connection of an upstreamClient, so that a call can be stopped by closing it.
type clientConn struct {
	mu      sync.Mutex
	conn    *upstreamConn
	stopped bool // the call in progress was stopped
}

// reset prepares for the next call, which may be stopped from now on.
func (c *clientConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = false
	if c.conn != nil {
		c.conn.received.Store(0)
	}
}

// check reports whether the upstream has closed the current connection, and whether the call has
// already been stopped.
func (c *clientConn) check() (stale, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && c.conn.closedByPeer(), c.stopped
}

// set stores a new connection and returns it wrapped; false if the call was stopped meanwhile.
func (c *clientConn) set(conn net.Conn) (net.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil, false
	}
	c.conn = &upstreamConn{Conn: conn}
	return c.conn, true
}

// stop ends the call in progress by closing its connection.
func (c *clientConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// state reports whether the call was stopped and whether any byte of a response has arrived.
func (c *clientConn) state() (stopped, responded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped, c.conn != nil && c.conn.received.Load() > 0
}
