// Package loop runs a deterministic state machine on one thread. Other threads hand it events
// through a bounded ring.
package loop

import (
	"context"
	"time"

	"pollenpaddle/internal/ring"
)

// Loop feeds queued events to Handle, one at a time, from a single thread.
type Loop[E any] struct {
	// Handle processes one event.
	Handle func(event E)
	// Wake is called when the time that it returned last has come, and after each batch of events.
	// It returns the delay until the next call; a negative delay means none is needed.
	Wake func() time.Duration

	events *ring.Queue[E]
}

// New returns a loop whose ring holds at most limit events.
func New[E any](limit int, handle func(E), wake func() time.Duration) *Loop[E] {
	return &Loop[E]{Handle: handle, Wake: wake, events: ring.New[E](limit)}
}

// Post queues an event and waits for space if the ring is full. It reports false after the end of
// Run.
func (l *Loop[E]) Post(event E) bool { return l.events.Push(event) }

// TryPost queues an event unless the ring is full.
func (l *Loop[E]) TryPost(event E) bool { return l.events.TryPush(event) }

// Len returns the number of queued events.
func (l *Loop[E]) Len() int { return l.events.Len() }

// Run processes events until ctx is done, and then those already queued.
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
