package httpapi_test

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/testutil/crowd"
)

// Guards against clients that fill the memory of the machine with bytes that have arrived and are not read, on connections
// that are served and on those that wait to be accepted.
func TestUnreadBytesAreBounded(t *testing.T) {
	const connections = 20
	s := startGuarded(t, budget.Listener{Connections: connections})
	_, port, err := net.SplitHostPort(s.address)
	s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	content := make([]byte, 1<<20)
	for k := range connections * 4 {
		conn, err := net.DialTimeout("tcp", s.address, time.Second)
		if err != nil {
			continue // too many wait to be accepted
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if k < connections {
			_, _ = conn.Write([]byte("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"))
		}
		_, _ = conn.Write(content)
	}
	defer close(s.release)
	unread, err := crowd.UnreadBytes([]string{port})
	s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	s.expect.Expect(unread).To(gomega.BeNumerically(">", 0))
	s.expect.Expect(unread).To(gomega.BeNumerically("<=", (connections+budget.Backlog(connections))*budget.MinReceiveBytes))
}
