package session

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
)

// unresponsiveAddress returns the address of a listener that drops SYN packets, like a host that is
// down: it accepts no connection and its backlog is full.
func unresponsiveAddress() string {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = unix.Close(descriptor) })
	gomega.Expect(unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(gomega.Succeed())
	gomega.Expect(unix.Listen(descriptor, 0)).To(gomega.Succeed())
	name, err := unix.Getsockname(descriptor)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address // the backlog is full
		}
		ginkgo.DeferCleanup(conn.Close)
	}
	ginkgo.Fail("the backlog of the listener does not fill up")
	return ""
}

var _ = ginkgo.Describe("a dial to a host that is down", func() {
	// Guards against an attempt that waits for the retransmission of the SYN packet, which follows
	// after 1 s. Without the limit, a process reaches a restarted host only when the packet is
	// retransmitted.
	ginkgo.It("ends before the SYN packet is retransmitted", func() {
		address := unresponsiveAddress()
		connector := &Connector{Local: Identity{Role: wire.RoleAgent, ID: "a"}, Handler: &recorder{}}
		begin := time.Now()
		err := connector.Dial(context.Background(), address, wire.RoleEntry)
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable))
		gomega.Expect(time.Since(begin)).To(gomega.BeNumerically("<", 700*time.Millisecond))
	})
})
