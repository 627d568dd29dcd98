// Package ring provides the bounded queue that joins two threads of the daemon.
package ring

import "sync"

// Queue is a bounded first-in first-out queue with any number of producers and one consumer. The
// consumer waits on Ready and then takes everything that has arrived with Drain, so that a burst
// is handled as one batch.
type Queue[T any] struct {
	mu     sync.Mutex
	items  []T
	limit  int
	closed bool
	ready  chan struct{}
	space  *sync.Cond
}

// New returns a ring that holds at most limit items.
func New[T any](limit int) *Queue[T] {
	r := &Queue[T]{limit: limit, ready: make(chan struct{}, 1)}
	r.space = sync.NewCond(&r.mu)
	return r
}

// TryPush appends v and reports whether it was accepted; a full or closed ring refuses it.
func (r *Queue[T]) TryPush(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || len(r.items) >= r.limit {
		return false
	}
	r.append(v)
	return true
}

// Push appends v, waiting for space if the ring is full. It reports false once the ring is closed.
func (r *Queue[T]) Push(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && len(r.items) >= r.limit {
		r.space.Wait()
	}
	if r.closed {
		return false
	}
	r.append(v)
	return true
}

func (r *Queue[T]) append(v T) {
	r.items = append(r.items, v)
	if len(r.items) == 1 {
		r.signal()
	}
}

func (r *Queue[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// Ready receives a value after items have arrived or the ring was closed.
func (r *Queue[T]) Ready() <-chan struct{} { return r.ready }

// Drain returns all queued items in order. The ring takes buffer over for later items, so the
// caller passes the slice that the last Drain returned and uses it no more. The second result is
// false once the ring is closed and empty.
func (r *Queue[T]) Drain(buffer []T) ([]T, bool) {
	clear(buffer) // releases what the consumer has handled
	r.mu.Lock()
	defer r.mu.Unlock()
	items := r.items
	r.items = buffer[:0]
	r.space.Broadcast()
	if r.closed {
		r.signal()
	}
	return items, len(items) > 0 || !r.closed
}

// Len returns the number of queued items.
func (r *Queue[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.items)
}

// Close refuses further items; queued ones can still be drained.
func (r *Queue[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.space.Broadcast()
	r.signal()
}
