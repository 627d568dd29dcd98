package httpapi

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"pollenpaddle/internal/connection/budget"
)

// Listen returns a listener at an address. Its connections have receive buffers of the size that the budget counts, from the
// first byte on and also before they are accepted, where the system would let them grow to megabytes.
func (s *Server) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false) // its subflows would have buffers of their own
	if size := s.guard.receiveBytes; size > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return control(raw, func(descriptor int) error {
				// The system doubles the value to allow for its own overhead.
				return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, size/2)
			})
		}
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := limitBacklog(listener, budget.Backlog(s.config.Limits.Connections)); err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	return listener, nil
}

// limitBacklog bounds the connections that wait to be accepted.
func limitBacklog(listener net.Listener, connections int) error {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "get the descriptor of the listener")
	}
	return control(raw, func(descriptor int) error { return unix.Listen(descriptor, connections) })
}

func control(raw syscall.RawConn, operation func(descriptor int) error) error {
	var err error
	controlErr := raw.Control(func(descriptor uintptr) { err = operation(int(descriptor)) })
	return errors.Wrap(errors.CombineErrors(controlErr, err), "set an option of the listener")
}
