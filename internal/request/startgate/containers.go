package startgate

import "pollenpaddle/internal/connection/wire"

// waitItem is an item of a wait queue: either one start, or a group of probes of one entry.
type waitItem struct {
	start    *wire.Start
	record   *record
	entry    *entry // owner of the probes
	probes   int
	bypassed int // number of later starts and probes that were served ahead of it

	queue      *waitQueue
	prev, next *waitItem
}

// waitQueue is a first-in first-out queue. An item is removed from the middle in constant time, so
// that cancelling many starts takes time proportional to their number.
type waitQueue struct {
	head, tail *waitItem
	starts     int
	probes     int
}

func (q *waitQueue) push(w *waitItem) {
	w.queue, w.prev, w.next = q, q.tail, nil
	if q.tail == nil {
		q.head = w
	} else {
		q.tail.next = w
	}
	q.tail = w
	q.adjustCounts(w, 1)
}

func (q *waitQueue) remove(w *waitItem) {
	if w.queue != q {
		return
	}
	if w.prev == nil {
		q.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.queue, w.prev, w.next = nil, nil, nil
	q.adjustCounts(w, -1)
}

// adjustCounts adds the item to the counters, or subtracts it if sign is negative.
func (q *waitQueue) adjustCounts(w *waitItem, sign int) {
	if w.start != nil {
		q.starts += sign
	} else {
		q.probes += sign * w.probes
	}
}

// fifo is a first-in first-out queue whose operations take constant amortised time.
type fifo[T any] struct {
	items []T
	first int
}

func (q *fifo[T]) push(item T) { q.items = append(q.items, item) }

func (q *fifo[T]) len() int { return len(q.items) - q.first }

func (q *fifo[T]) front() (item T, ok bool) {
	if q.len() == 0 {
		return item, false
	}
	return q.items[q.first], true
}

func (q *fifo[T]) pop() {
	var none T
	q.items[q.first] = none
	q.first++
	if q.first*2 >= len(q.items) && q.first > 32 || q.len() == 0 {
		kept := copy(q.items, q.items[q.first:])
		clear(q.items[kept:])
		q.items, q.first = q.items[:kept], 0
	}
}
