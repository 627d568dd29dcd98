package claim

import (
	"container/heap"
	"time"

	"pollenpaddle/internal/model/job"
)

// wakeQueue is a priority queue of the times at which requests are due. Items of requests that have
// ended or were rescheduled stay in the queue and are skipped when they are due.
type wakeQueue struct{ items wakeHeap }

type wake struct {
	at    time.Duration
	begun time.Duration // distinguishes successive requests for the same key
	key   job.Key
}

func (q *wakeQueue) add(at time.Duration, key job.Key, begun time.Duration) {
	heap.Push(&q.items, wake{at: at, begun: begun, key: key})
}

func (q *wakeQueue) next() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// take removes and returns the first item if it is due.
func (q *wakeQueue) take(now time.Duration) (wake, bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return wake{}, false
	}
	return heap.Pop(&q.items).(wake), true
}

type wakeHeap []wake

func (h wakeHeap) Len() int { return len(h) }
func (h wakeHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	if h[i].key.Organisation != h[j].key.Organisation {
		return h[i].key.Organisation < h[j].key.Organisation
	}
	return h[i].key.ID < h[j].key.ID
}
func (h wakeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *wakeHeap) Push(item any) { *h = append(*h, item.(wake)) }

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = wake{}
	*h = old[:len(old)-1]
	return last
}
