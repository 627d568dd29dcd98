package claim

import "pollenpaddle/internal/model/job"

// maxEpochs bounds the configurations that a registrar keeps. With more changes within the
// retention, ids whose registrars have not changed wait as long as those whose registrars have.
const maxEpochs = 64

// epoch is one list of entries as this registrar knew it.
type epoch struct {
	members  *members
	revision uint64
	changes  uint64
	// follows is true if the preceding epoch is the list of entries that was in force directly
	// before this one.
	follows bool
	leased  bool
	minimum int64 // submission times must exceed it if the registrars changed with this epoch
}

// addEpoch appends a configuration. If changes were skipped, an unknown list of entries may have
// been in force in between.
func (r *Registrar) addEpoch(configuration Configuration) {
	m := newMembers(configuration.Entries)
	next := epoch{members: m, revision: configuration.Revision, changes: configuration.Changes}
	if n := len(r.epochs); n > 0 {
		newest := &r.epochs[n-1]
		next.follows = configuration.Changes <= newest.changes+1
		if next.follows && newest.members.version == m.version {
			newest.revision, newest.changes = configuration.Revision, configuration.Changes
			return
		}
	}
	r.epochs = append(r.epochs, next)
	if len(r.epochs) > maxEpochs {
		r.epochs = append(r.epochs[:0], r.epochs[1:]...)
	}
}

// leaseEpochs sets the minimum of epochs that had no lease so far. An epoch that was replaced
// before it had one gets the minimum of its successor.
func (r *Registrar) leaseEpochs(at Instant) {
	if at.Boot >= r.lease {
		return
	}
	previous := int64(0)
	for i := range r.epochs {
		e := &r.epochs[i]
		if !e.leased {
			e.leased = true
			e.minimum = at.Wall + GrantDelay.Milliseconds()
			if r.config.HasMinimum && r.alone(i) {
				e.minimum = r.config.Minimum
			}
		}
		e.minimum = max(e.minimum, previous)
		previous = e.minimum
	}
}

// alone reports whether no other entry is named up to the epoch. Lists that are empty or name an
// earlier run of this entry precede the one that it joins.
func (r *Registrar) alone(last int) bool {
	for _, e := range r.epochs[:last+1] {
		for i := range e.members.entries {
			if e.members.entries[i].ID != r.config.Self.EntryID {
				return false
			}
		}
	}
	return true
}

// minimum returns the bound that a submission time must exceed: that of the epoch since which this
// registrar has been one of those of the id.
//
// An older majority may have granted the id without this registrar. With two registrars or more,
// each later majority then includes one that has a record of the grant, or one that joined the
// id's registrars after it and whose own bound covers it. Only a sole registrar that was one of
// three may be alone in not knowing; its bound covers the time of the three.
func (r *Registrar) minimum(key job.Key, submittedAt int64) int64 {
	i := len(r.epochs) - 1
	sole := len(r.epochs[i].members.entries) == 1
	for i > 0 && submittedAt <= r.epochs[i].minimum && r.epochs[i].follows {
		before := r.epochs[i-1].members
		if !r.serves(before, key) || sole && len(before.entries) >= maxRegistrars {
			break
		}
		i--
	}
	return r.epochs[i].minimum
}

// trimEpochs drops epochs that no longer matter: a submission time above the floor exceeds the
// minimum of a later epoch.
func (r *Registrar) trimEpochs() {
	drop := 0
	for drop+1 < len(r.epochs) && r.epochs[drop+1].leased && r.epochs[drop+1].minimum <= r.floor {
		drop++
	}
	if drop > 0 {
		r.epochs = append(r.epochs[:0], r.epochs[drop:]...)
		r.epochs[0].follows = false
	}
}
