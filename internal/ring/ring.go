// Package ring provides a bounded queue that passes items between goroutines in batches. It uses
// two slices that the queue and its consumer swap, not a ring buffer.
package ring

import "sync"

// Queue is a bounded FIFO queue with any number of producers and one consumer. The consumer waits
// on Ready and then takes all queued items with Drain, so that a burst is processed as one batch.
type Queue[T any] struct {
	mu      sync.Mutex
	items   []T
	limit   int
	closed  bool
	ready   chan struct{}
	notFull *sync.Cond
}

// New returns a queue that holds at most limit items.
func New[T any](limit int) *Queue[T] {
	q := &Queue[T]{limit: limit, ready: make(chan struct{}, 1)}
	q.notFull = sync.NewCond(&q.mu)
	return q
}

// TryPush appends v and reports whether it was accepted. A full or closed queue rejects it.
func (q *Queue[T]) TryPush(v T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.items) >= q.limit {
		return false
	}
	q.append(v)
	return true
}

// Push appends v and blocks while the queue is full. It returns false if the queue is closed.
func (q *Queue[T]) Push(v T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && len(q.items) >= q.limit {
		q.notFull.Wait()
	}
	if q.closed {
		return false
	}
	q.append(v)
	return true
}

func (q *Queue[T]) append(v T) {
	q.items = append(q.items, v)
	if len(q.items) == 1 {
		q.signal()
	}
}

func (q *Queue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives a value after items were queued or the queue was closed.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

// Drain returns all queued items in order. The queue reuses buffer for later items, so the caller
// passes the slice returned by the last Drain and must not use it afterwards. The second result is
// false if the queue is closed and empty.
func (q *Queue[T]) Drain(buffer []T) ([]T, bool) {
	clear(buffer) // releases references to the items already processed
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = buffer[:0]
	q.notFull.Broadcast()
	if q.closed {
		q.signal()
	}
	return items, len(items) > 0 || !q.closed
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// Close rejects further items. Queued items can still be drained.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
	q.signal()
}
