// Package loop runs a deterministic state machine on one goroutine. Other goroutines pass events to
// it through a bounded queue.
package loop

import (
	"context"
	"time"

	"pollenpaddle/internal/ring"
)

// Loop passes queued events to Handle, one at a time, from a single goroutine.
type Loop[E any] struct {
	// Handle processes one event.
	Handle func(event E)
	// Wake is called after each batch of events and when the delay that it last returned has
	// passed. It returns the delay until its next call; a negative delay sets no timer.
	Wake func() time.Duration

	events *ring.Queue[E]
}

// New returns a loop whose queue holds at most limit events.
func New[E any](limit int, handle func(E), wake func() time.Duration) *Loop[E] {
	return &Loop[E]{Handle: handle, Wake: wake, events: ring.New[E](limit)}
}

// Post queues an event and blocks while the queue is full. It returns false once the context of Run
// is done.
func (l *Loop[E]) Post(event E) bool { return l.events.Push(event) }

// TryPost queues an event unless the queue is full or the context of Run is done, and reports
// whether it did.
func (l *Loop[E]) TryPost(event E) bool { return l.events.TryPush(event) }

// Len returns the number of queued events.
func (l *Loop[E]) Len() int { return l.events.Len() }

// Run processes events until ctx is done, then processes those already queued and returns.
func (l *Loop[E]) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.events.Close)
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []E
	for {
		select {
		case <-timer.C:
		case <-l.events.Ready():
		}
		var open bool
		batch, open = l.events.Drain(batch)
		for _, event := range batch {
			l.Handle(event)
		}
		clear(batch)
		if !open {
			return nil
		}
		if delay := l.Wake(); delay >= 0 {
			timer.Reset(delay)
		} else {
			timer.Stop()
		}
	}
}
