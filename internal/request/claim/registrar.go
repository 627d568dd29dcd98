package claim

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/expiry"
)

// Defaults of RegistrarConfig.
const (
	DefaultRetention  = 10 * time.Minute
	DefaultMaxRecords = 2_000_000
	// minRetention is kept even when the records do not fit; beyond that, claims are refused.
	minRetention = 30 * time.Second
)

// RegistrarConfig holds the settings of a registrar. A zero field takes its default.
type RegistrarConfig struct {
	Self       wire.Claimant
	Retention  time.Duration // how long after its submission time an id can be claimed
	MaxRecords int
	// Minimum replaces the wait after the start if HasMinimum is set, for as long as no other entry is
	// named. Only the sole process of an installation that stopped cleanly, or never ran, may set it.
	HasMinimum bool
	Minimum    int64
}

// Registrar grants job ids. It is not safe for concurrent use.
type Registrar struct {
	config  RegistrarConfig
	records *expiry.Map[job.Key, grant]
	epochs  []epoch // configurations from oldest to newest; never empty after Configured
	lease   time.Duration
	floor   int64 // submission times up to this one are refused; never decreases
	highest int64 // highest granted submission time
	stats   RegistrarStats
}

// grant is the record of one id.
type grant struct {
	owner   wire.Claimant
	attempt uint64
}

// RegistrarStats counts what a registrar has done.
type RegistrarStats struct {
	Records int // ids held at present
	Granted uint64
	Taken   uint64
	Refused uint64
	Evicted uint64 // times that records were dropped before their retention for lack of room
}

// NewRegistrar returns a registrar without records.
func NewRegistrar(config RegistrarConfig) *Registrar {
	if config.Retention <= 0 {
		config.Retention = DefaultRetention
	}
	if config.MaxRecords <= 0 {
		config.MaxRecords = DefaultMaxRecords
	}
	return &Registrar{config: config, records: expiry.New[job.Key, grant]()}
}

// Configured applies a newer configuration. It may be called again with the same revision.
func (r *Registrar) Configured(at Instant, configuration Configuration) {
	if len(r.epochs) > 0 {
		newest := &r.epochs[len(r.epochs)-1]
		if configuration.Revision <= newest.revision {
			return
		}
	}
	r.addEpoch(configuration)
	r.leaseEpochs(at)
}

// LeaseChanged reports that the present configuration may be used before deadline.
func (r *Registrar) LeaseChanged(at Instant, deadline time.Duration) {
	r.lease = max(r.lease, deadline)
	r.leaseEpochs(at)
}

// Claim decides about a claim or look-up of another entry or of this one.
func (r *Registrar) Claim(at Instant, from wire.Claimant, c *wire.Claim) *wire.ClaimReply {
	r.advance(at.Wall)
	reply := &wire.ClaimReply{Key: c.Key, SubmittedAt: c.SubmittedAt, Attempt: c.Attempt}
	r.decide(at, from, c, reply)
	switch reply.Outcome {
	case wire.ClaimGranted:
		r.records.Put(c.Key, c.SubmittedAt, grant{owner: from, attempt: c.Attempt})
		r.highest = max(r.highest, c.SubmittedAt)
		r.stats.Granted++
	case wire.ClaimTaken:
		r.stats.Taken++
	case wire.ClaimFree:
	default:
		r.stats.Refused++
	}
	return reply
}

func (r *Registrar) decide(at Instant, from wire.Claimant, c *wire.Claim, reply *wire.ClaimReply) {
	time, known, found := r.records.Get(c.Key)
	switch {
	case found && c.Attempt == 0:
		reply.Outcome, reply.Owner, reply.Bound = wire.ClaimTaken, known.owner, time
		return
	case c.Attempt == 0:
		reply.Outcome = wire.ClaimFree
		return
	case found && time != c.SubmittedAt:
		reply.Outcome, reply.Owner, reply.Bound = wire.ClaimOtherTime, known.owner, time
		return
	case found && known.owner != from:
		reply.Outcome, reply.Owner, reply.Bound = wire.ClaimTaken, known.owner, time
		return
	case found && known.attempt > c.Attempt:
		// A late copy of an attempt that its claimant has given up.
		reply.Outcome = wire.ClaimOtherConfiguration
		return
	}
	// A repeated grant passes the same checks as a new one: the record may date from an older list
	// of entries, whose majority another claimant may hold.
	reply.Outcome, reply.Bound = r.check(at, c)
	if reply.Outcome == wire.ClaimGranted && !found && !r.makeRoom(at.Wall) {
		reply.Outcome = wire.ClaimFull
	}
}

// check returns ClaimGranted or the reason not to grant an id that no other claimant holds.
func (r *Registrar) check(at Instant, c *wire.Claim) (wire.ClaimOutcome, int64) {
	if len(r.epochs) == 0 || at.Boot >= r.lease {
		return wire.ClaimNoLease, 0
	}
	current := r.epochs[len(r.epochs)-1].members
	if current.version != c.Version || !r.serves(current, c.Key) {
		return wire.ClaimOtherConfiguration, 0
	}
	if c.SubmittedAt > at.Wall+ClockAllowance.Milliseconds() {
		return wire.ClaimClockAhead, 0
	}
	if minimum := r.minimum(c.Key, c.SubmittedAt); c.SubmittedAt <= minimum {
		return wire.ClaimBeforeMinimum, minimum
	}
	if c.SubmittedAt <= r.floor {
		return wire.ClaimTooOld, r.floor
	}
	return wire.ClaimGranted, 0
}

// serves reports whether this registrar is one of those of the id.
func (r *Registrar) serves(current *members, key job.Key) bool {
	for _, i := range current.registrars(key) {
		if current.is(i, r.config.Self) {
			return true
		}
	}
	return false
}

// Release removes a grant that its owner has given up.
func (r *Registrar) Release(from wire.Claimant, release *wire.ClaimRelease) {
	time, known, found := r.records.Get(release.Key)
	if found && time == release.SubmittedAt && known.owner == from && known.attempt <= release.UpTo {
		r.records.Delete(release.Key)
	}
}

// advance raises the floor with the clock and drops what lies below it. The floor does not follow
// a clock that is set back: ids whose records are gone stay refused.
func (r *Registrar) advance(wall int64) {
	r.floor = max(r.floor, wall-r.config.Retention.Milliseconds())
	r.records.DropUpTo(r.floor)
	r.trimEpochs()
}

// makeRoom reports whether another record fits, after dropping the oldest ones if needed.
func (r *Registrar) makeRoom(wall int64) bool {
	for r.records.Len() >= r.config.MaxRecords {
		oldest, _ := r.records.Oldest()
		if oldest > wall-minRetention.Milliseconds() {
			return false
		}
		bound, _ := r.records.DropOldest()
		r.floor = max(r.floor, bound)
		r.stats.Evicted++
	}
	return true
}

// Stats returns the counters.
func (r *Registrar) Stats() RegistrarStats {
	r.stats.Records = r.records.Len()
	return r.stats
}

// Minimum returns the submission time that ids must exceed at the next start if this registrar is
// the only one of the installation and now stops for good.
func (r *Registrar) Minimum() int64 {
	minimum := max(r.highest, r.floor)
	if len(r.epochs) > 0 && r.epochs[len(r.epochs)-1].leased {
		minimum = max(minimum, r.epochs[len(r.epochs)-1].minimum)
	}
	return minimum
}

// GrantsFrom returns the time of day after which the registrar grants the ids that it has served
// since the configuration first named it; false while it is not named under a lease.
func (r *Registrar) GrantsFrom() (int64, bool) {
	first := len(r.epochs)
	for first > 0 && r.named(r.epochs[first-1].members) && (first == len(r.epochs) || r.epochs[first].follows) {
		first--
	}
	if first == len(r.epochs) || !r.epochs[first].leased {
		return 0, false
	}
	return r.epochs[first].minimum, true
}

// named reports whether a list of entries names this run of the registrar.
func (r *Registrar) named(m *members) bool {
	for i := range m.entries {
		if m.is(i, r.config.Self) {
			return true
		}
	}
	return false
}
