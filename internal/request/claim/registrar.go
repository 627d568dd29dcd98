package claim

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/expiry"
)

// Defaults of RegistrarConfig, and a limit that is not configurable.
const (
	DefaultRetention  = 10 * time.Minute
	DefaultMaxRecords = 2_000_000
	// minRetention is the age at which the records of the oldest second of submission times may be
	// evicted because MaxRecords is reached, counted from the start of that second. Until then further
	// claims are refused.
	minRetention = 30 * time.Second
)

// RegistrarConfig holds the settings of a registrar. A zero field takes its default.
type RegistrarConfig struct {
	Self       wire.Claimant // identifies this incarnation of the entry
	Retention  time.Duration // how long after its submission time an id can be claimed
	MaxRecords int
	// HasMinimum states that Minimum is set. Minimum is a submission time in milliseconds since the
	// Unix epoch: only later submission times are granted. It is used instead of the minimum that the
	// first configuration lease would set, for as long as no other entry has been listed since the
	// start. Only the sole process of an installation may set it, and only if its previous incarnation
	// stopped cleanly or there was none.
	HasMinimum bool
	Minimum    int64
}

// Registrar grants job ids. It is not safe for concurrent use.
type Registrar struct {
	config   RegistrarConfig
	records  *expiry.Map[job.Key, grant]
	epochs   []epoch       // from oldest to newest; never empty after Configured
	leaseEnd time.Duration // end of the configuration lease
	// floor is the low-water mark of the records: ids with submission times up to it may have lost
	// their record at the end of the retention or by eviction and are refused. It never decreases.
	// The minimum of an epoch, in contrast, covers ids that an earlier incarnation or another
	// registrar may have granted.
	floor   int64
	highest int64 // highest granted submission time
	stats   RegistrarStats
}

// grant is the record of one id.
type grant struct {
	owner   wire.Claimant
	attempt uint64
}

// RegistrarStats holds the counters of a registrar.
type RegistrarStats struct {
	Records int // current number of records
	Granted uint64
	Taken   uint64 // replies ClaimTaken, to claims and to queries for the owner
	Refused uint64 // claims refused for any other reason
	Evicted uint64 // evictions before the end of the retention because MaxRecords was reached; each removes the records of the oldest second of submission times
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

// Configured applies a newer configuration. One that is not newer is ignored.
func (r *Registrar) Configured(at Instant, configuration Configuration) {
	if len(r.epochs) > 0 {
		newest := &r.epochs[len(r.epochs)-1]
		if configuration.Revision <= newest.revision {
			return
		}
	}
	r.addEpoch(configuration)
	r.setMinimums(at)
}

// LeaseChanged reports that the current configuration may be used before deadline, the end of the
// configuration lease.
func (r *Registrar) LeaseChanged(at Instant, deadline time.Duration) {
	r.leaseEnd = max(r.leaseEnd, deadline)
	r.setMinimums(at)
}

// Claim returns the reply to a claim or, if its attempt is zero, to a query for the owner.
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
	submittedAt, known, found := r.records.Get(c.Key)
	switch {
	case found && c.Attempt == 0:
		reply.Outcome, reply.Owner, reply.Bound = wire.ClaimTaken, known.owner, submittedAt
		return
	case c.Attempt == 0:
		reply.Outcome = wire.ClaimFree
		return
	case found && submittedAt != c.SubmittedAt:
		reply.Outcome, reply.Owner, reply.Bound = wire.ClaimOtherTime, known.owner, submittedAt
		return
	case found && known.owner != from:
		reply.Outcome, reply.Owner, reply.Bound = wire.ClaimTaken, known.owner, submittedAt
		return
	case found && known.attempt > c.Attempt:
		// A delayed duplicate of an attempt that its claimant has abandoned. ClaimOutcome has no
		// separate constant for this case, so ClaimOtherConfiguration is used; the claimant ignores the reply.
		reply.Outcome = wire.ClaimOtherConfiguration
		return
	}
	// A repeated grant passes the same checks as a new one: the record may date from an older list
	// of entries, and another claimant may hold the majority of the current list.
	reply.Outcome, reply.Bound = r.check(at, c)
	if reply.Outcome == wire.ClaimGranted && !found && !r.ensureCapacity(at.Wall) {
		reply.Outcome = wire.ClaimFull
	}
}

// check returns ClaimGranted, or the reason not to grant an id that no other claimant holds.
func (r *Registrar) check(at Instant, c *wire.Claim) (wire.ClaimOutcome, int64) {
	if len(r.epochs) == 0 || at.Boot >= r.leaseEnd {
		return wire.ClaimNoLease, 0
	}
	current := r.epochs[len(r.epochs)-1].list
	if current.digest != c.EntriesDigest || !r.serves(current, c.Key) {
		return wire.ClaimOtherConfiguration, 0
	}
	if c.SubmittedAt > at.Wall+MaxClockSkew.Milliseconds() {
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

// serves reports whether this registrar is one of the id's registrars.
func (r *Registrar) serves(list *entryList, key job.Key) bool {
	for _, i := range list.registrars(key) {
		if list.matches(i, r.config.Self) {
			return true
		}
	}
	return false
}

// Release removes a grant that its owner has released.
func (r *Registrar) Release(from wire.Claimant, release *wire.ClaimRelease) {
	submittedAt, known, found := r.records.Get(release.Key)
	if found && submittedAt == release.SubmittedAt && known.owner == from && known.attempt <= release.UpTo {
		r.records.Delete(release.Key)
	}
}

// advance raises the floor with the wall clock and drops the records up to it. The floor stays if
// the clock is set back, so that ids whose records were dropped stay refused.
func (r *Registrar) advance(wall int64) {
	r.floor = max(r.floor, wall-r.config.Retention.Milliseconds())
	r.records.DropUpTo(r.floor)
	r.trimEpochs()
}

// ensureCapacity evicts the oldest records if necessary and reports whether another one can be added.
func (r *Registrar) ensureCapacity(wall int64) bool {
	for r.records.Len() >= r.config.MaxRecords {
		oldest, _ := r.records.OldestBound()
		if oldest > wall-minRetention.Milliseconds() {
			return false
		}
		bound, _ := r.records.DropOldestBucket()
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

// Minimum returns the value to pass as RegistrarConfig.Minimum at the next start. It is valid if this
// registrar is the only one of the installation and grants nothing further.
func (r *Registrar) Minimum() int64 {
	minimum := max(r.highest, r.floor)
	if len(r.epochs) > 0 && r.epochs[len(r.epochs)-1].leased {
		minimum = max(minimum, r.epochs[len(r.epochs)-1].minimum)
	}
	return minimum
}

// GrantsAbove returns the wall-clock time in milliseconds above which submission times are granted
// for the ids that the registrar has served since it was listed. It returns false if the registrar
// is not listed or has had no lease since.
func (r *Registrar) GrantsAbove() (int64, bool) {
	first := len(r.epochs)
	for first > 0 && r.listedIn(r.epochs[first-1].list) && (first == len(r.epochs) || r.epochs[first].contiguous) {
		first--
	}
	if first == len(r.epochs) || !r.epochs[first].leased {
		return 0, false
	}
	return r.epochs[first].minimum, true
}

// listedIn reports whether a list of entries contains this incarnation of the registrar.
func (r *Registrar) listedIn(l *entryList) bool {
	for i := range l.entries {
		if l.matches(i, r.config.Self) {
			return true
		}
	}
	return false
}
