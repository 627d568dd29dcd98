package httpapi

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"pollenpaddle/internal/clock"
)

// TrackConnections returns a listener whose connections record when they were last quiet; see SentAfter.
func TrackConnections(listener net.Listener) net.Listener { return trackedListener{listener} }

type trackedListener struct{ net.Listener }

func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn}
	// The peer may have waited for this process to accept the connection, and its request may have been delayed meanwhile.
	tracked.quietSince.Store(int64(clock.SinceBoot() - timeSinceEstablished(conn)))
	return tracked, nil
}

// trackedConn is a connection of a trackedListener.
type trackedConn struct {
	net.Conn
	quietSince atomic.Int64 // when it was accepted or last written to, in nanoseconds since boot
}

func (c *trackedConn) Write(data []byte) (int, error) {
	c.quietSince.Store(int64(clock.SinceBoot()))
	return c.Conn.Write(data)
}

// SyscallConn implements syscall.Conn.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return conn.SyscallConn()
}

// SentAfter returns a time, on the boot-time clock, before which the request that was read last cannot have been sent: the
// peer had not connected yet, or had not received the response to its previous request. It is zero for a connection that
// is not tracked. Call it before the response is written.
func SentAfter(conn net.Conn) time.Duration {
	if tracked, ok := conn.(*trackedConn); ok {
		return time.Duration(tracked.quietSince.Load())
	}
	return 0
}

// HasDisconnected reports whether the peer has closed or reset the connection. It peeks at the receive
// buffer without blocking and without consuming data.
func HasDisconnected(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = control.Control(func(descriptor uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(descriptor), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		disconnected = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return disconnected || err != nil
}

// TimeSinceLastData returns the time since the kernel received the last data on a connection. It includes
// time in which this process was stopped and could not read the data. It is zero if it is not known.
func TimeSinceLastData(conn net.Conn) time.Duration {
	info := tcpInfo(conn)
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// timeSinceEstablished returns the time since the kernel established a connection on which nothing was sent yet, or, if that
// is not known, since it received the last data.
func timeSinceEstablished(conn net.Conn) time.Duration {
	info := tcpInfo(conn) // the time of the last data sent begins with the connection
	return time.Duration(max(info.Last_data_sent, info.Last_data_recv)) * time.Millisecond
}

// tcpInfo returns what the kernel knows about a connection; zero values if it is closed or not a TCP connection.
func tcpInfo(conn net.Conn) unix.TCPInfo {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return unix.TCPInfo{}
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return unix.TCPInfo{}
	}
	var read unix.TCPInfo
	_ = control.Control(func(descriptor uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			read = *info
		}
	})
	return read
}
