package cancellation

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/request/expiry"
)

const (
	// Retention is how long a cancellation is kept, unless callers wait longer. It exceeds the longest time after which
	// a copy of the job can still be submitted or continued: an entry continues after a gap of up to maxGap, a request
	// that was sent to it meanwhile may arrive with a retransmission after as long again, and a caller whose connection
	// ended sends the job again after 1.3 s. The rest covers the exchange and clocks that run at different rates.
	Retention = 2*maxGap + resubmissionMargin
	// resubmissionMargin is added to the wait of a caller, which sends the job again 1.3 s after a wait without a
	// response.
	resubmissionMargin = 10 * time.Second
	// maxRetention bounds the retention where callers wait longer.
	maxRetention = 15 * time.Minute
	// maxGap is the longest time without contact after which an entry continues its jobs.
	maxGap = 25 * time.Second
	// recordsPerMessage bounds the size of wire.CancellationRecords.
	recordsPerMessage = 4096
)

// Digest identifies a job in kept cancellations. With a million of them, an id that was not cancelled has the digest of
// a cancelled one with a probability below 1e-13.
func Digest(job string) uint64 { return xxhash.Sum64String(job) }

// Records holds cancellations until they expire. Use NewRecords to create one.
type Records struct {
	byDigest  *expiry.Map[uint64, struct{}]
	limit     int
	retention time.Duration
}

// NewRecords returns empty records that hold at most limit cancellations.
func NewRecords(limit int) *Records {
	return &Records{byDigest: expiry.New[uint64, struct{}](), limit: limit, retention: Retention}
}

// Len returns the number of cancellations.
func (r *Records) Len() int { return r.byDigest.Len() }

// Contains reports whether the job with the digest was cancelled.
func (r *Records) Contains(now time.Duration, digest uint64) bool {
	at, _, found := r.byDigest.Get(digest)
	return found && at > now.Milliseconds()
}

// Keep keeps a cancellation for the given time, at most for the retention, or longer if it is kept longer already. It
// reports whether the cancellation was new, and whether it is kept.
func (r *Records) Keep(now time.Duration, digest uint64, remaining time.Duration) (added, kept bool) {
	until := (now + min(remaining, r.retention)).Milliseconds()
	at, _, found := r.byDigest.Get(digest)
	if found && at >= until {
		return false, true
	}
	if remaining <= 0 {
		return false, found
	}
	if !found {
		r.byDigest.DropUpTo(now.Milliseconds())
		if r.byDigest.Len() >= r.limit {
			return false, false
		}
	}
	r.byDigest.Put(digest, until, struct{}{})
	return !found, true
}

// Expire removes the cancellations that have expired.
func (r *Records) Expire(now time.Duration) { r.byDigest.DropUpTo(now.Milliseconds()) }

// Messages returns messages with all cancellations.
func (r *Records) Messages(now time.Duration) []wire.Message {
	var messages []wire.Message
	var last *wire.CancellationRecords
	for digest, at := range r.byDigest.All() {
		remaining := time.Duration(at)*time.Millisecond - now
		if remaining <= 0 {
			continue
		}
		if last == nil || len(last.Digests) == recordsPerMessage {
			last = &wire.CancellationRecords{}
			messages = append(messages, last)
		}
		last.Digests, last.Remaining = append(last.Digests, digest), append(last.Remaining, remaining)
	}
	return messages
}

// KeepAll keeps the cancellations of a message, of which invalid ones are ignored. It reports whether any was new.
func (r *Records) KeepAll(now time.Duration, message *wire.CancellationRecords) bool {
	anyAdded := false
	for i := range min(len(message.Digests), len(message.Remaining)) {
		added, _ := r.Keep(now, message.Digests[i], message.Remaining[i])
		anyAdded = anyAdded || added
	}
	return anyAdded
}
