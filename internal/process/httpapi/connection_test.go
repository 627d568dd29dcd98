package httpapi_test

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/process/httpapi"
)

// Guards against a request that counts as sent after a stall although its connection is older: the process accepts the
// connection after the stall, and the request arrives with a retransmission before that.
func TestConnectionAcceptedLate(t *testing.T) {
	expect := gomega.NewWithT(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	listener := httpapi.TrackConnections(plain)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = client.Close() }()
	established := clock.SinceBoot()
	time.Sleep(300 * time.Millisecond)
	_, err = client.Write([]byte("request"))
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	sent := clock.SinceBoot()
	time.Sleep(100 * time.Millisecond)
	conn, err := listener.Accept()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	// The kernel counts in ticks of some milliseconds.
	expect.Expect(httpapi.SentAfter(conn)).To(gomega.BeNumerically("<", established+50*time.Millisecond))
	expect.Expect(httpapi.TimeSinceLastData(conn)).To(gomega.BeNumerically("<=", clock.SinceBoot()-sent+50*time.Millisecond))
}
