package loopback_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/testutil/loopback"
)

// Guards against a daemon that cannot listen because its port was returned twice, is in use, or was
// assigned to an outgoing connection.
func TestFreeAddress(t *testing.T) {
	expect := gomega.NewWithT(t)
	const kernelPorts = 32768 // first port that the kernel assigns by default
	seen := map[string]bool{}
	for range 100 {
		address, err := loopback.FreeAddress()
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(seen).NotTo(gomega.HaveKey(address))
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		_, port, err := net.SplitHostPort(address)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		number, err := strconv.Atoi(port)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect(number).To(gomega.BeNumerically("<", kernelPorts))
	}
}
