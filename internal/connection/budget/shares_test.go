package budget_test

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/budget"
)

// Guards against shares that exceed the memory of the process together, or that leave one of them without room.
func TestSharesAddUpToTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(64<<20, 1<<40).Draw(t, "memory")
		bytes := rapid.Int64Range(1<<20, 40<<20).Draw(t, "bytes")
		most := budget.MaxConnections(memory, bytes)
		connections := rapid.IntRange(0, 20_000).Draw(t, "connections")
		if rapid.Bool().Draw(t, "most") {
			connections = most
		}
		s, err := budget.Divide(memory, bytes, connections)
		if connections < 1 || connections > most {
			if err == nil {
				t.Fatal("divides memory that has no room for the connections")
			}
			return
		}
		backlog := int64(budget.Backlog(connections/5) * 5) // five listeners
		switch {
		case err != nil:
			t.Fatal(err)
		case s.Program+s.Runtime+s.Unread > memory:
			t.Fatalf("the shares exceed the memory: %+v", s)
		case s.State+s.Bytes+s.Connections > s.Live || s.Live >= s.Limit || s.Limit >= s.Runtime:
			t.Fatalf("the shares of the runtime exceed it: %+v", s)
		case s.Bytes != bytes || s.State <= 0 || s.Connections/int64(connections) < 32<<10 || s.ReceiveBytes < budget.MinReceiveBytes:
			t.Fatalf("a share has no room: %+v", s)
		case (int64(connections)+backlog)*int64(s.ReceiveBytes) > s.Unread:
			t.Fatalf("the receive buffers exceed their share: %+v", s)
		}
	})
}

// Guards against a memory that has room for fewer connections than a smaller one.
func TestMoreMemoryHasRoomForMoreConnections(t *testing.T) {
	expect := gomega.NewWithT(t)
	last := 0
	for memory := int64(64 << 20); memory <= 4<<30; memory += 1 << 20 {
		n := budget.MaxConnections(memory, 18<<20)
		expect.Expect(n).To(gomega.BeNumerically(">=", last))
		last = n
	}
	expect.Expect(last).To(gomega.BeNumerically(">", 10_000))
}
