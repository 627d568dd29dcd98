package storage_test

import (
	"testing"

	"pgregory.net/rapid"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/replication"
	"pollenpaddle/internal/version/storage"
	"pollenpaddle/internal/version/storage/faultfs"
)

// reference is a reference implementation of Store: a state, a snapshot and a slice of entries.
type reference struct {
	state    replication.HardState
	snapshot uint64
	term     uint64 // of the snapshot
	entries  []replication.Entry
}

func (r reference) last() uint64 {
	if len(r.entries) == 0 {
		return r.snapshot
	}
	return r.entries[len(r.entries)-1].Index
}

func (r reference) with(batches []replication.Batch) reference {
	for _, b := range batches {
		if b.State != nil {
			r.state = *b.State
		}
		if b.Rewrite != nil {
			r.snapshot, r.term, r.entries = b.Rewrite.Index, b.Rewrite.Term, nil
		}
		if len(b.Entries) > 0 {
			kept := []replication.Entry{}
			for _, e := range r.entries {
				if e.Index < b.Entries[0].Index {
					kept = append(kept, e)
				}
			}
			r.entries = append(kept, b.Entries...)
		}
	}
	return r
}

func (r reference) equals(got replication.Recovered) bool {
	snapshot := uint64(0)
	if got.Snapshot != nil {
		snapshot = got.Snapshot.Index
	}
	if r.state != got.State || r.snapshot != snapshot || len(r.entries) != len(got.Entries) {
		return false
	}
	for i := range r.entries {
		if string(r.entries[i].Data) != string(got.Entries[i].Data) || r.entries[i].Index != got.Entries[i].Index {
			return false
		}
	}
	return true
}

// drawBatch draws an append, a conflict that replaces entries, or a snapshot. The entries that
// a snapshot batch retains keep their terms, and the snapshot has the term of the entry at its index;
// new entries get a higher term.
func drawBatch(t *rapid.T, r reference, sequence uint64) replication.Batch {
	b := replication.Batch{Sequence: sequence}
	term := r.state.Term + 1
	b.State = &replication.HardState{Term: term}
	first := r.snapshot + 1
	if len(r.entries) > 0 {
		first = r.entries[0].Index
	}
	if r.last() > r.snapshot && rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
		at := rapid.Uint64Range(r.snapshot+1, r.last()).Draw(t, "snapshot")
		b.Rewrite = &replication.Snapshot{Index: at, Term: r.entries[at-first].Term}
		kept := rapid.Uint64Range(first, at+1).Draw(t, "kept")
		b.Entries = append(b.Entries, r.entries[kept-first:]...)
		return b
	}
	from := rapid.Uint64Range(r.snapshot+1, r.last()+1).Draw(t, "from")
	for i := range rapid.Uint64Range(1, 4).Draw(t, "count") {
		b.Entries = append(b.Entries, entry(term, from+i))
	}
	return b
}

// TestAgainstReference guards against acknowledged records that are lost, and against a write
// group that is recovered only in part, when the process crashes at any point or the disk is full.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := faultfs.New(rapid.Uint64().Draw(t, "seed"))
		store, _, err := storage.Open(files, testIdentity)
		if err != nil {
			t.Fatal(err)
		}
		durable, sequence := reference{}, uint64(0)
		var batches []replication.Batch // not written yet because the disk was full
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				next := durable.with(batches)
				for range rapid.IntRange(1, 3).Draw(t, "batches") {
					sequence++
					batches = append(batches, drawBatch(t, next, sequence))
					next = next.with(batches[len(batches)-1:])
				}
				files.Space = rapid.SampledFrom([]int{-1, -1, 0, 30, 100, 200}).Draw(t, "space")
				files.FailWrite = rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "fail")
				done, err := store.Write(batches)
				for len(batches) > 0 && batches[0].Sequence <= done {
					durable, batches = durable.with(batches[:1]), batches[1:]
				}
				if err == nil && len(batches) > 0 {
					t.Fatalf("Write returned no error but wrote only up to batch %d of %d", done, sequence)
				}
				files.Space, files.FailWrite = -1, 0
				if err != nil && failure.KindOf(err) != failure.Unavailable {
					store, durable = reopen(t, files, durable, batches)
					batches = nil
				}
			},
			"crash": func(t *rapid.T) {
				store, durable = reopen(t, files, durable, batches)
				batches = nil
			},
		})
		reopen(t, files, durable, batches)
	})
}

// reopen crashes the process and opens the data folder. Batches whose write failed may have become
// durable, in order.
func reopen(t *rapid.T, files *faultfs.FS, durable reference, failed []replication.Batch) (*storage.Store, reference) {
	files.Crash()
	store, got, err := storage.Open(files, testIdentity)
	if err != nil {
		t.Fatalf("cannot open after a crash: %v", err)
	}
	for n := 0; n <= len(failed); n++ {
		if next := durable.with(failed[:n]); next.equals(got) {
			return store, next
		}
	}
	// A crash may come after the snapshot of a rewrite is in place and before the new log is.
	for n := range failed {
		if next := durable.with(failed[:n]); failed[n].Rewrite != nil {
			next.snapshot = failed[n].Rewrite.Index
			if next.equals(got) {
				return store, next
			}
		}
	}
	t.Fatalf("recovered %+v, want %+v with none, some or all of the failed batches, in order, or with the snapshot of the next one but not its log", got, durable)
	return nil, durable
}
