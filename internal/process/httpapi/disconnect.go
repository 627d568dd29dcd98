package httpapi

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

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
