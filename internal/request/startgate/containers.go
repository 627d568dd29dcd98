package startgate

import "pollenpaddle/internal/connection/wire"

// waiter is an element of a wait list: either one start, or a group of probes of one entry.
type waiter struct {
	start    *wire.Start
	record   *record
	entry    *entry // owner of the probes
	probes   int
	bypassed int // number of later waiters that were served first

	list       *waitList
	prev, next *waiter
}

// waitList is a first-in first-out list. An element is removed from the middle in constant time, so
// that a burst of cancellations costs no more than the starts did.
type waitList struct {
	head, tail *waiter
	starts     int
	probes     int
}

func (l *waitList) push(w *waiter) {
	w.list, w.prev, w.next = l, l.tail, nil
	if l.tail == nil {
		l.head = w
	} else {
		l.tail.next = w
	}
	l.tail = w
	l.count(w, 1)
}

func (l *waitList) remove(w *waiter) {
	if w.list != l {
		return
	}
	if w.prev == nil {
		l.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		l.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.list, w.prev, w.next = nil, nil, nil
	l.count(w, -1)
}

func (l *waitList) count(w *waiter, sign int) {
	if w.start != nil {
		l.starts += sign
	} else {
		l.probes += sign * w.probes
	}
}

// queue is a first-in first-out queue whose operations take constant amortised time.
type queue[T any] struct {
	items []T
	first int
}

func (q *queue[T]) push(item T) { q.items = append(q.items, item) }

func (q *queue[T]) len() int { return len(q.items) - q.first }

func (q *queue[T]) front() (item T, ok bool) {
	if q.len() == 0 {
		return item, false
	}
	return q.items[q.first], true
}

func (q *queue[T]) pop() {
	var none T
	q.items[q.first] = none
	q.first++
	if q.first*2 >= len(q.items) && q.first > 32 || q.len() == 0 {
		kept := copy(q.items, q.items[q.first:])
		clear(q.items[kept:])
		q.items, q.first = q.items[:kept], 0
	}
}
