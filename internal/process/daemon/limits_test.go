package daemon

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/process/settings"
)

func testLimits(descriptors, memory int64, set settings.Limits) (Limits, error) {
	s := &settings.Settings{}
	s.Process.Limits, s.Entry.MaxBodyBytes = set, 8<<20
	return deriveLimits(s, descriptors, memory)
}

// Guards against defaults that ordinary clients of the entries in use would meet, that do not hold the largest body in the
// form that needs most, or that exceed the memory or the descriptors of the machine.
func TestDerivedLimits(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, machine := range []struct{ descriptors, memory, callers int64 }{
		{3075, 144_000_000, 300}, {4100, 184_000_000, 400}, {10250, 424_000_000, 1000}, {4096, 152_000_000, 0}, {1024, 32_000_000, 0}, {1 << 20, 64 << 30, 1000},
	} {
		limits, err := testLimits(machine.descriptors, machine.memory, settings.Limits{})
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		connections := int64(limits.Callers.Connections)
		// An eighth of the connections carries out no requests of callers.
		expect.Expect(connections - connections/8).To(gomega.BeNumerically(">=", machine.callers))
		expect.Expect(limits.Callers.ConnectionsPerAddress).To(gomega.BeZero())
		expect.Expect(connections + int64(limits.Own.Connections+2*limits.Small.Connections)).To(gomega.BeNumerically("<=", machine.descriptors*3/4))
		expect.Expect(connections * 40 << 10).To(gomega.BeNumerically("<=", max(machine.memory, minMemoryBytes)/3))
		forCallers := limits.Bytes.Bytes - limits.Bytes.ReservedBytes
		expect.Expect(forCallers).To(gomega.BeNumerically(">=", 9<<20))              // a chunked body, with the eighth of its former buffer
		expect.Expect(forCallers).To(gomega.BeNumerically(">=", 2*limits.BodyBytes)) // with its decoded texts
		expectWithin(expect, limits, max(machine.memory, minMemoryBytes))
	}
}

// expectWithin checks that all parts of the account of a process with all roles and listeners add up to its memory at most.
func expectWithin(expect *gomega.WithT, limits Limits, memory int64) {
	s := limits.Shares
	expect.Expect(s.Program + s.Runtime + s.Unread).To(gomega.BeNumerically("<=", memory))
	expect.Expect(s.State + s.Bytes + s.Connections).To(gomega.BeNumerically("<=", s.Live))
	connections := limits.Callers.Connections + limits.Own.Connections + smallListeners*limits.Small.Connections
	expect.Expect(s.Connections).To(gomega.BeNumerically(">=", connections*32<<10))
	buffers := connections + budget.Backlog(limits.Callers.Connections) + budget.Backlog(limits.Own.Connections) + smallListeners*budget.Backlog(limits.Small.Connections)
	expect.Expect(s.Unread).To(gomega.BeNumerically(">=", buffers*limits.Bytes.ReceiveBytes))
	expect.Expect(s.Bytes).To(gomega.BeEquivalentTo(limits.Bytes.Bytes))
}

// Guards against limits that contradict the machine or each other and are not reported, and against settings without effect.
func TestLimitsOfTheSettings(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, set := range []settings.Limits{{RequestBytes: 1 << 20}, {RequestBytes: 1 << 30}, {Connections: 2000}, {Connections: 1000}} {
		_, err := testLimits(3075, 144_000_000, set)
		expect.Expect(err).To(gomega.HaveOccurred())
	}
	limits, err := testLimits(100_000, 4<<30, settings.Limits{RequestBytes: 1 << 30, Connections: 5000, ConnectionsPerAddress: 7, HeaderTimeout: time.Minute})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect([]int{limits.Bytes.Bytes, limits.Callers.Connections, limits.Callers.ConnectionsPerAddress, limits.Small.ConnectionsPerAddress}).To(gomega.Equal([]int{1 << 30, 5000, 7, 7}))
	expect.Expect(limits.HeaderTimeout).To(gomega.Equal(time.Minute))
	expectWithin(expect, limits, 4<<30)
	limits, err = testLimits(100_000, 64<<30, settings.Limits{MemoryBytes: 128 << 20})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expectWithin(expect, limits, 128<<20)
	expect.Expect(limits.Callers.Connections).To(gomega.BeNumerically(">=", 256))
	expect.Expect(reportedMemory()).To(gomega.BeNumerically(">=", minMemoryBytes))
	expect.Expect(descriptorLimit()).To(gomega.BeNumerically(">", 0))
}
