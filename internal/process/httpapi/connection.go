package httpapi

import (
	"net"
	"syscall"
	"time"

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

// TimeSinceLastData returns the time since the kernel received the last data on a connection. It includes
// time in which this process was stopped and could not read the data. It is zero if it is not known.
func TimeSinceLastData(conn net.Conn) time.Duration {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	age := time.Duration(0)
	_ = control.Control(func(descriptor uintptr) { // the age is not known if the connection is closed
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
