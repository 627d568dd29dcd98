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

var _ = ginkgo.Describe("a ring", func() {
	// Guards against items that are lost, repeated or reordered between two threads.
	ginkgo.It("hands over every item once and in order of its producer", func() {
		const producers, each = 4, 5000
		r := ring.New[[2]int](64)
		var pushing sync.WaitGroup
		for p := range producers {
			pushing.Go(func() {
				for i := range each {
					r.Push([2]int{p, i})
				}
			})
		}
		go func() { pushing.Wait(); r.Close() }()
		var next [producers]int
		var batch [][2]int
		for open := true; open; {
			<-r.Ready()
			batch, open = r.Drain(batch)
			gomega.Expect(len(batch)).To(gomega.BeNumerically("<=", 64))
			for _, item := range batch {
				gomega.Expect(item[1]).To(gomega.Equal(next[item[0]]))
				next[item[0]]++
			}
		}
		gomega.Expect(next).To(gomega.Equal([producers]int{each, each, each, each}))
	})

	ginkgo.It("refuses items when it is full or closed, and keeps those it has", func() {
		r := ring.New[int](2)
		gomega.Expect([]bool{r.TryPush(1), r.TryPush(2), r.TryPush(3)}).To(gomega.Equal([]bool{true, true, false}))
		r.Close()
		gomega.Expect(r.Push(4)).To(gomega.BeFalse())
		items, open := r.Drain(nil)
		gomega.Expect(items).To(gomega.Equal([]int{1, 2}))
		gomega.Expect(open).To(gomega.BeTrue())
		_, open = r.Drain(items)
		gomega.Expect(open).To(gomega.BeFalse())
	})

	// Guards against a producer that waits for ever on a ring without a consumer.
	ginkgo.It("releases waiting producers when it is closed", func() {
		r := ring.New[int](1)
		r.Push(1)
		result := make(chan bool, 1)
		go func() { result <- r.Push(2) }()
		r.Close()
		gomega.Eventually(result).Should(gomega.Receive(gomega.BeFalse()))
	})
})

func BenchmarkRing(b *testing.B) {
	r := ring.New[int](4096)
	go func() {
		for i := range b.N {
			r.Push(i)
		}
		r.Close()
	}()
	b.ReportAllocs()
	var batch []int
	for open := true; open; {
		<-r.Ready()
		batch, open = r.Drain(batch)
	}
}
