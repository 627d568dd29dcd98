package ring_test

import (
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/ring"
)

func TestRing(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ring")
}

var _ = ginkgo.Describe("a queue", func() {
	// Guards against items that are lost, duplicated or reordered between goroutines.
	ginkgo.It("delivers every item once, and the items of one producer in order", func() {
		const producers, each = 4, 5000
		q := ring.New[[2]int](64)
		var pushing sync.WaitGroup
		for p := range producers {
			pushing.Go(func() {
				for i := range each {
					q.Push([2]int{p, i})
				}
			})
		}
		go func() { pushing.Wait(); q.Close() }()
		var next [producers]int
		var batch [][2]int
		for open := true; open; {
			<-q.Ready()
			batch, open = q.Drain(batch)
			gomega.Expect(len(batch)).To(gomega.BeNumerically("<=", 64))
			for _, item := range batch {
				gomega.Expect(item[1]).To(gomega.Equal(next[item[0]]))
				next[item[0]]++
			}
		}
		gomega.Expect(next).To(gomega.Equal([producers]int{each, each, each, each}))
	})

	ginkgo.It("rejects items when it is full or closed, and retains the queued ones", func() {
		q := ring.New[int](2)
		gomega.Expect([]bool{q.TryPush(1), q.TryPush(2), q.TryPush(3)}).To(gomega.Equal([]bool{true, true, false}))
		q.Close()
		gomega.Expect(q.Push(4)).To(gomega.BeFalse())
		items, open := q.Drain(nil)
		gomega.Expect(items).To(gomega.Equal([]int{1, 2}))
		gomega.Expect(open).To(gomega.BeTrue())
		_, open = q.Drain(items)
		gomega.Expect(open).To(gomega.BeFalse())
	})

	// Guards against a producer that waits indefinitely for a consumer that has stopped.
	ginkgo.It("unblocks waiting producers when it is closed", func() {
		q := ring.New[int](1)
		q.Push(1)
		result := make(chan bool, 1)
		go func() { result <- q.Push(2) }()
		q.Close()
		gomega.Eventually(result).Should(gomega.Receive(gomega.BeFalse()))
	})
})

func BenchmarkQueue(b *testing.B) {
	q := ring.New[int](4096)
	go func() {
		for i := range b.N {
			q.Push(i)
		}
		q.Close()
	}()
	b.ReportAllocs()
	var batch []int
	for open := true; open; {
		<-q.Ready()
		batch, open = q.Drain(batch)
	}
}
