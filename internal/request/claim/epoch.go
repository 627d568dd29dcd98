package claim

import "pollenpaddle/internal/model/job"

// maxEpochs is the maximum number of epochs that a registrar keeps. After more changes within the
// retention, submission times up to the minimum of the oldest epoch that is kept are refused with
// ClaimBeforeMinimum, also for ids whose registrars have not changed.
const maxEpochs = 64

// epoch is the period in which one list of entries is in force, as known to this registrar.
type epoch struct {
	list     *entryList
	revision uint64
	changes  uint64
	// contiguous is true if no other list of entries was in force between the preceding epoch and
	// this one.
	contiguous bool
	leased     bool  // the registrar has had a configuration lease in this epoch, or in a later one
	minimum    int64 // submission times must exceed it if this registrar has served the id since this epoch
}

// addEpoch appends an epoch for the configuration, or updates the newest epoch if the list of entries
// has not changed. If the change counter has skipped values, an unknown list of entries may have been
// in force in between.
func (r *Registrar) addEpoch(configuration Configuration) {
	list := newEntryList(configuration.Entries)
	next := epoch{list: list, revision: configuration.Revision, changes: configuration.Changes}
	if n := len(r.epochs); n > 0 {
		newest := &r.epochs[n-1]
		next.contiguous = configuration.Changes <= newest.changes+1
		if next.contiguous && newest.list.digest == list.digest {
			newest.revision, newest.changes = configuration.Revision, configuration.Changes
			return
		}
	}
	r.epochs = append(r.epochs, next)
	if len(r.epochs) > maxEpochs {
		r.epochs = append(r.epochs[:0], r.epochs[1:]...)
	}
}

// setMinimums sets the minimum of the epochs that have none, if the registrar holds a configuration
// lease. An epoch that was replaced before its first lease gets the same minimum as its successor.
func (r *Registrar) setMinimums(at Instant) {
	if at.Boot >= r.leaseEnd {
		return
	}
	previous := int64(0)
	for i := range r.epochs {
		e := &r.epochs[i]
		if !e.leased {
			e.leased = true
			e.minimum = at.Wall + GrantDelay.Milliseconds()
			if r.config.HasMinimum && r.onlySelfListed(i) {
				e.minimum = r.config.Minimum
			}
		}
		e.minimum = max(e.minimum, previous)
		previous = e.minimum
	}
}

// onlySelfListed reports whether no epoch up to the given index lists another entry. Before the
// entry joins, lists may be empty or contain its earlier incarnation.
func (r *Registrar) onlySelfListed(last int) bool {
	for _, e := range r.epochs[:last+1] {
		for i := range e.list.entries {
			if e.list.entries[i].ID != r.config.Self.EntryID {
				return false
			}
		}
	}
	return true
}

// minimum returns the time that a submission time must exceed: the minimum of the oldest epoch since
// which this registrar has served the id without interruption. A sole registrar does not go back to an
// epoch with three or more entries, or beyond it.
//
// The reason is that other registrars may have granted the id in an earlier epoch without this one.
// If there are two or more registrars now, each majority of them includes one that has a record of
// the grant, or one that became a registrar later and refuses the submission time because of its own
// minimum. A sole registrar has no second one to rely on. For example, the entries are a, b and c,
// and a and b grant the id; then the list of entries becomes c only. c has no record of the grant, so
// it must refuse all submission times up to the minimum of the epoch in which it is alone.
func (r *Registrar) minimum(key job.Key, submittedAt int64) int64 {
	i := len(r.epochs) - 1
	sole := len(r.epochs[i].list.entries) == 1
	for i > 0 && submittedAt <= r.epochs[i].minimum && r.epochs[i].contiguous {
		before := r.epochs[i-1].list
		if !r.serves(before, key) || sole && len(before.entries) >= maxRegistrars {
			break
		}
		i--
	}
	return r.epochs[i].minimum
}

// trimEpochs drops epochs that no longer have an effect: a submission time above the floor also exceeds
// the minimum of the epoch that follows.
func (r *Registrar) trimEpochs() {
	drop := 0
	for drop+1 < len(r.epochs) && r.epochs[drop+1].leased && r.epochs[drop+1].minimum <= r.floor {
		drop++
	}
	if drop > 0 {
		r.epochs = append(r.epochs[:0], r.epochs[drop:]...)
		r.epochs[0].contiguous = false
	}
}
