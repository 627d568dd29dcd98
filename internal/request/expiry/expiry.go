// Package expiry provides a map whose records can be removed in the order of their time.
package expiry

import (
	"iter"
	"maps"
	"slices"
)

// bucketMillis is the width of a time bucket. Records are removed one bucket at a time, so a record
// may be kept up to this much longer than requested, but never shorter.
const bucketMillis = 1000

// Map holds a value and a time in milliseconds per key, usually the submission time. Use New to create one.
type Map[K comparable, V any] struct {
	records     map[K]record[V]
	buckets     map[int64][]K
	emptiedUpTo int64 // all buckets up to this one are empty
}

type record[V any] struct {
	value    V
	at       int64
	position int // index within its bucket
}

// New returns an empty map.
func New[K comparable, V any]() *Map[K, V] {
	return &Map[K, V]{records: map[K]record[V]{}, buckets: map[int64][]K{}, emptiedUpTo: -1}
}

// Len returns the number of records.
func (m *Map[K, V]) Len() int { return len(m.records) }

// Get returns the time and the value of a key.
func (m *Map[K, V]) Get(key K) (at int64, value V, found bool) {
	r, found := m.records[key]
	return r.at, r.value, found
}

// Put adds or replaces the record of a key.
func (m *Map[K, V]) Put(key K, at int64, value V) {
	if existing, found := m.records[key]; found {
		if existing.at == at {
			existing.value = value
			m.records[key] = existing
			return
		}
		m.Delete(key)
	}
	bucket := bucketOf(at)
	m.records[key] = record[V]{value: value, at: at, position: len(m.buckets[bucket])}
	m.buckets[bucket] = append(m.buckets[bucket], key)
	m.emptiedUpTo = min(m.emptiedUpTo, bucket-1)
}

// Delete removes the record of a key, if any.
func (m *Map[K, V]) Delete(key K) {
	removed, found := m.records[key]
	if !found {
		return
	}
	delete(m.records, key)
	bucket := bucketOf(removed.at)
	keys := m.buckets[bucket]
	last := len(keys) - 1
	if removed.position != last {
		moved := m.records[keys[last]]
		moved.position = removed.position
		m.records[keys[last]] = moved
		keys[removed.position] = keys[last]
	}
	var zero K
	keys[last] = zero
	if last == 0 {
		delete(m.buckets, bucket)
		return
	}
	m.buckets[bucket] = keys[:last]
}

// DropUpTo removes records whose time is at most bound. Those in the bucket of the bound may remain
// until a call with a bound at or after the end of that bucket.
func (m *Map[K, V]) DropUpTo(bound int64) {
	newest := bucketOf(bound+1) - 1 // newest bucket that lies entirely within the bound
	if newest <= m.emptiedUpTo {
		return
	}
	m.emptiedUpTo = newest
	for bucket := range m.buckets {
		if bucket <= newest {
			m.dropBucket(bucket)
		}
	}
}

// DropOldestBucket removes all records of the oldest bucket and returns an upper bound of the times of the removed
// records. It returns false if the map is empty.
func (m *Map[K, V]) DropOldestBucket() (bound int64, dropped bool) {
	oldest := int64(0)
	for bucket := range m.buckets {
		if !dropped || bucket < oldest {
			oldest, dropped = bucket, true
		}
	}
	if !dropped {
		return 0, false
	}
	m.dropBucket(oldest)
	return (oldest+1)*bucketMillis - 1, true
}

// OldestBound returns a lower bound of the times of all records: the start of the oldest bucket. It returns
// false if the map is empty.
func (m *Map[K, V]) OldestBound() (at int64, found bool) {
	oldest := int64(0)
	for bucket := range m.buckets {
		if !found || bucket < oldest {
			oldest, found = bucket, true
		}
	}
	return oldest * bucketMillis, found
}

// All returns the keys and times of all records, in the order of their buckets.
func (m *Map[K, V]) All() iter.Seq2[K, int64] {
	return func(yield func(K, int64) bool) {
		for _, bucket := range slices.Sorted(maps.Keys(m.buckets)) {
			for _, key := range m.buckets[bucket] {
				if !yield(key, m.records[key].at) {
					return
				}
			}
		}
	}
}

func (m *Map[K, V]) dropBucket(bucket int64) {
	for _, key := range m.buckets[bucket] {
		delete(m.records, key)
	}
	delete(m.buckets, bucket)
}

// bucketOf rounds down, also for negative times.
func bucketOf(at int64) int64 {
	bucket := at / bucketMillis
	if at%bucketMillis < 0 {
		bucket--
	}
	return bucket
}
