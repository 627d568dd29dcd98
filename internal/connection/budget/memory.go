package budget

import "time"

const (
	// evictedShare divides the connections of a listener: how many are closed after a garbage collection that leaves too much
	// in use.
	evictedShare = 8
	// collectionInterval is the time between two garbage collections that are requested while too much is in use, because a
	// process that refuses requests may not start one for minutes.
	collectionInterval = time.Second
	// collectedShare divides the bytes of callers: the least size of the garbage, or of the request, for which a garbage
	// collection is worth it.
	collectedShare = 16
)

// Observation is the memory of the Go runtime at one time.
type Observation struct {
	Collections uint64 // number of garbage collections so far
	Live        int64  // bytes in use after the latest one, with the stacks
}

// Action is what the caller of Observe carries out.
type Action struct {
	Close   []ID // connections, which no longer count
	Granted []ID // connections whose waiting requests for bytes are granted now
	Collect bool // start a garbage collection, and observe its end
}

// Observe records the end of garbage collections, after which the bytes of ended grants are free, and compares the memory in
// use with Config.LiveBytes. That bounds what the other limits do not count, such as the state of the roles. As long as too
// much is in use, no request of the class Callers is carried out and gets bytes, and each collection closes some of the
// connections that Evict selects.
func (b *Budget) Observe(now time.Duration, seen Observation) (action Action) {
	if collections := seen.Collections - b.seen.Collections; collections > 0 {
		b.requested = now // the time of the collection
		action.Granted = b.collected(collections)
		b.pressed = b.config.LiveBytes > 0 && seen.Live > b.config.LiveBytes
		if b.pressed {
			action.Close = b.evictSome(now)
		}
	}
	b.seen = seen
	if b.pressed && now-b.requested >= collectionInterval {
		b.requested = now
		action.Collect = true
	}
	return action
}

// WaitsForGarbage reports whether a garbage collection is worth it for the next request of a class that waits for bytes.
func (b *Budget) WaitsForGarbage() bool {
	for class, queue := range b.queues {
		if len(queue) > 0 && b.Collectable(Class(class), queue[0].bytes) {
			return true
		}
	}
	return false
}

// Pressed reports whether too much memory is in use.
func (b *Budget) Pressed() bool { return b.pressed }

func (b *Budget) evictSome(now time.Duration) (ids []ID) {
	for index, l := range b.listeners {
		for n := (l.connections() + evictedShare - 1) / evictedShare; n > 0; n-- {
			id := b.Evict(now, index)
			if id == 0 {
				break
			}
			ids = append(ids, id)
		}
	}
	return ids
}
