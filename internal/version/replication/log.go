package replication

// memoryLog holds the retained entries and the newest snapshot.
//
// Invariants: entries are contiguous and start at first; first <= snapshot.Index+1; committed <=
// last(); synced <= last(). Entries up to committed never change.
type memoryLog struct {
	snapshot  Snapshot // Index zero if there is none
	entries   []Entry
	first     uint64 // index of entries[0], or of the next entry if there are none
	prevTerm  uint64 // term of the entry at first-1
	committed uint64
	synced    uint64
}

func newMemoryLog(recovered Recovered) memoryLog {
	l := memoryLog{first: 1}
	if recovered.Snapshot != nil {
		l.snapshot = *recovered.Snapshot
		l.first, l.prevTerm = l.snapshot.Index+1, l.snapshot.Term
	}
	l.entries = recovered.Entries
	if len(l.entries) > 0 && l.entries[0].Index < l.first {
		// Entries that the snapshot covers were retained. The term of the entry before them is not
		// known, so the oldest one only serves as the predecessor in an Append.
		l.first, l.prevTerm = l.entries[0].Index+1, l.entries[0].Term
		l.entries = l.entries[1:]
	}
	l.committed = l.snapshot.Index
	l.synced = l.last()
	return l
}

func (l *memoryLog) last() uint64 { return l.first + uint64(len(l.entries)) - 1 }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; false if it is not known.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index+1 == l.first:
		return l.prevTerm, true
	case index < l.first || index > l.last():
		if index == l.snapshot.Index && index != 0 {
			return l.snapshot.Term, true
		}
		return 0, false
	}
	return l.entries[index-l.first].Term, true
}

func (l *memoryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends at (index, term) is at least as up to date as this one,
// which is the condition for a vote.
func (l *memoryLog) upToDate(index, term uint64) bool {
	localTerm := l.lastTerm()
	return term > localTerm || term == localTerm && index >= l.last()
}

// entriesBetween returns the entries from index low to index high, both included. The result must not
// be changed; its capacity is limited to its length, so appending to it copies.
func (l *memoryLog) entriesBetween(low, high uint64) []Entry {
	if low < l.first || low > high {
		return nil
	}
	return l.entries[low-l.first : high-l.first+1 : high-l.first+1]
}

// entriesForAppend returns the entries from index low on, up to the limits of one Append.
func (l *memoryLog) entriesForAppend(low uint64) []Entry {
	all := l.entriesBetween(low, l.last())
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i >= maxAppendEntries || i > 0 && size > maxAppendBytes {
			return all[:i:i]
		}
	}
	return all
}

// append adds entries after the last one.
func (l *memoryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entry at index and all that follow. The remaining entries are copied, because
// sent messages and unsynced batches still refer to the old array.
func (l *memoryLog) truncate(index uint64) {
	kept := l.entries[:index-l.first]
	l.entries = append(make([]Entry, 0, len(kept)+16), kept...)
	l.synced = min(l.synced, index-1)
}

// firstConflict returns the index of the first entry that the log lacks or holds with another term;
// zero if the log holds all of them.
func (l *memoryLog) firstConflict(entries []Entry) uint64 {
	for i := range entries {
		if !l.matches(entries[i].Index, entries[i].Term) {
			return entries[i].Index
		}
	}
	return 0
}

// lastPossibleMatch returns the largest index up to index whose term is at most term, and that
// entry's term; zeros if there is none. If it meets an entry whose term is not known, it returns that
// entry's index and term zero. With it, leader and follower skip whole terms in the search for the last
// entry that their logs have in common.
func (l *memoryLog) lastPossibleMatch(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > 0; index-- {
		t, ok := l.term(index)
		if !ok {
			return index, 0
		}
		if t <= term {
			return index, t
		}
	}
	return 0, 0
}

// compact records a snapshot of this member's state machine and drops the entries before
// snapshot.Index - kept.
func (l *memoryLog) compact(snapshot Snapshot, kept uint64) {
	l.snapshot = snapshot
	if snapshot.Index <= kept || snapshot.Index-kept <= l.first {
		return
	}
	first := snapshot.Index - kept
	l.prevTerm, _ = l.term(first - 1)
	l.entries = append([]Entry(nil), l.entries[first-l.first:]...)
	l.first = first
}

// reset replaces the whole log with a snapshot.
func (l *memoryLog) reset(snapshot Snapshot) {
	*l = memoryLog{snapshot: snapshot, first: snapshot.Index + 1, prevTerm: snapshot.Term, committed: snapshot.Index}
}

// configurationAt returns the configuration in effect after the entry at index, and the index of
// its entry, or of the snapshot if the snapshot covers it. The given index must not precede the
// snapshot.
func (l *memoryLog) configurationAt(index uint64) (Configuration, uint64) {
	for i := index; i > l.snapshot.Index && i >= l.first; i-- {
		if e := &l.entries[i-l.first]; e.Kind == EntryConfiguration {
			if c, err := DecodeConfiguration(e.Data); err == nil {
				return c, i
			}
		}
	}
	return l.snapshot.Configuration, l.snapshot.Index
}
