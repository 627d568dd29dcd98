package budget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/budget"
)

const (
	testLive  = 1000 // Config.LiveBytes
	perClosed = 8    // connections of a listener for each that is closed
)

func newPressureTest(t *testing.T, connections int) (*budget.Budget, *gomega.WithT) {
	expect := gomega.NewWithT(t)
	b, err := budget.New(budget.Config{Bytes: 100, ReservedBytes: 50, LiveBytes: testLive})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = b.AddListener(budget.Listener{Connections: connections})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	return b, expect
}

// Guards against a process that goes on accepting work while its memory is used up, against one that refuses requests for
// ever because no collection shows that memory is free again, and against orders of operators that are refused with it.
func TestMemoryInUseIsBounded(t *testing.T) {
	b, expect := newPressureTest(t, 40)
	serving, _, _ := b.Open(0, 0, "")
	expect.Expect(b.Serve(0, serving, budget.Callers)).To(gomega.BeEmpty())
	var idle []budget.ID
	for range 2 * perClosed {
		id, _, _ := b.Open(0, 0, "")
		b.Idle(0, id)
		idle = append(idle, id)
	}
	expect.Expect(b.Observe(0, budget.Observation{Collections: 1, Live: testLive})).To(gomega.BeZero())
	action := b.Observe(time.Second, budget.Observation{Collections: 2, Live: testLive + 1})
	expect.Expect(action.Close).To(gomega.Equal(idle[:3])) // an eighth of 17, never the one that is served
	expect.Expect(b.Pressed()).To(gomega.BeTrue())
	expect.Expect(b.Observe(time.Second, budget.Observation{Collections: 2, Live: testLive + 1})).To(gomega.BeZero())

	expect.Expect(b.Serve(time.Second, idle[5], budget.Callers)).To(gomega.Equal(budget.NoMemory))
	expect.Expect(b.Acquire(idle[5], budget.Callers, 1)).To(gomega.Equal(budget.Refused))
	expect.Expect(b.Grow(idle[5], budget.Callers, 1)).To(gomega.BeFalse())
	expect.Expect(b.Serve(time.Second, idle[6], budget.Reserved)).To(gomega.BeEmpty())
	expect.Expect(b.Grow(idle[6], budget.Reserved, 1)).To(gomega.BeTrue())

	collected := b.Observe(3*time.Second, budget.Observation{Collections: 2, Live: testLive + 1})
	expect.Expect(collected).To(gomega.Equal(budget.Action{Collect: true}))
	expect.Expect(b.Observe(3*time.Second, budget.Observation{Collections: 2})).To(gomega.BeZero())
	expect.Expect(b.Observe(3*time.Second, budget.Observation{Collections: 3, Live: testLive})).To(gomega.BeZero())
	expect.Expect(b.Pressed()).To(gomega.BeFalse())
	expect.Expect(b.Serve(3*time.Second, idle[5], budget.Callers)).To(gomega.BeEmpty())
}

// Guards against a bound that applies where none is set.
func TestNoBoundOfTheMemoryInUse(t *testing.T) {
	expect := gomega.NewWithT(t)
	b, err := budget.New(budget.Config{Bytes: 100, ReservedBytes: 50})
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(b.Observe(0, budget.Observation{Collections: 1, Live: 1 << 40})).To(gomega.BeZero())
	expect.Expect(b.Pressed()).To(gomega.BeFalse())
}
