package storage_test

import (
	"testing"

	"pgregory.net/rapid"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/replication"
	"pollenpaddle/internal/version/storage"
	"pollenpaddle/internal/version/storage/faultfs"
)

// drawInstalled draws the batch that installs a leader's snapshot: ahead of the log, or within it with the term of
// another leader.
func drawInstalled(t *rapid.T, r reference) replication.Batch {
	index := rapid.Uint64Range(r.snapshot+1, r.last()+6).Draw(t, "installed")
	term := r.state.Term + 1
	b := replication.Batch{Sequence: 100, State: &replication.HardState{Term: term}, Rewrite: &replication.Snapshot{Index: index, Term: term}}
	for i := range rapid.Uint64Range(0, 2).Draw(t, "after") {
		b.Entries = append(b.Entries, entry(term, index+1+i))
	}
	return b
}

// afterKill returns the state that a data folder may have after a kill while the batch was written.
func afterKill(t *rapid.T, before reference, batch replication.Batch, got replication.Recovered) reference {
	covered := before
	covered.snapshot, covered.term, covered.entries = batch.Rewrite.Index, batch.Rewrite.Term, nil
	for _, next := range []reference{before, covered, before.with([]replication.Batch{batch})} {
		if next.equals(got) {
			return next
		}
	}
	t.Fatalf("recovered %+v, want %+v before, with or without the log of %+v", got, before, batch)
	return before
}

// TestKillDuringInstalledSnapshot guards against a data folder that never opens again, or that loses acknowledged
// entries, after a kill at any point while a snapshot replaces an older log or while the next start repairs that. The
// entries that the snapshot covers or contradicts stayed in the log, and the next ones were appended behind them.
func TestKillDuringInstalledSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		before := reference{}
		var history []replication.Batch
		for i := range rapid.Uint64Range(1, 5).Draw(t, "history") {
			history = append(history, drawBatch(t, before, i+1))
			before = before.with(history[i:])
		}
		batch := drawInstalled(t, before)
		end := rapid.SampledFrom([]func(*faultfs.FS){(*faultfs.FS).Kill, (*faultfs.FS).Crash}).Draw(t, "end")
		// Both loops end at the first kill point that is not reached.
		for write, written := 0, false; !written; write++ {
			for start, started := 0, false; !started; start++ {
				files := faultfs.New(seed)
				store, _, err := storage.Open(files, testIdentity)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := store.Write(history); err != nil {
					t.Fatal(err)
				}
				files.KillAfter = write
				_, err = store.Write([]replication.Batch{batch})
				written = err == nil && files.KillAfter > 0
				end(files)
				files.KillAfter = start
				_, _, err = storage.Open(files, testIdentity)
				started = err == nil && files.KillAfter > 0
				end(files)
				appendAndReopen(t, files, before, batch)
			}
		}
	})
}

// appendAndReopen opens the data folder, appends to the log and verifies what two more starts recover.
func appendAndReopen(t *rapid.T, files *faultfs.FS, before reference, batch replication.Batch) {
	store, got, err := storage.Open(files, testIdentity)
	if err != nil {
		t.Fatalf("cannot open after a kill: %v", err)
	}
	want := afterKill(t, before, batch, got)
	for range 2 {
		next := replication.Batch{Sequence: 1, State: &replication.HardState{Term: want.state.Term + 5}, Entries: []replication.Entry{entry(want.state.Term+5, want.last()+1)}}
		if _, err := store.Write([]replication.Batch{next}); err != nil {
			t.Fatal(err)
		}
		want = want.with([]replication.Batch{next})
		files.Crash()
		if store, got, err = storage.Open(files, testIdentity); err != nil {
			t.Fatalf("cannot open after an append: %v", err)
		}
		if !want.equals(got) {
			t.Fatalf("recovered %+v, want %+v", got, want)
		}
	}
}

// TestGapOfEarlierRelease guards against a member that cannot be started with the data folder that an earlier release
// left behind, and against a gap that is accepted where the snapshot does not explain it.
func TestGapOfEarlierRelease(t *testing.T) {
	for _, test := range []struct {
		snapshot, next uint64
		opens          bool
	}{{9, 10, true}, {9, 11, false}, {8, 10, false}, {0, 10, false}} {
		files := faultfs.New(1)
		store, _, err := storage.Open(files, testIdentity)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Write([]replication.Batch{{Sequence: 1, State: &replication.HardState{Term: 4}, Entries: []replication.Entry{entry(1, 1), entry(1, 2)}}, {Sequence: 2, Entries: []replication.Entry{entry(4, test.next)}}}); err != nil {
			t.Fatal(err)
		}
		image := files.Save()
		if test.snapshot > 0 {
			if _, err := store.Write([]replication.Batch{{Sequence: 3, Rewrite: &replication.Snapshot{Index: test.snapshot, Term: 4}}}); err != nil {
				t.Fatal(err)
			}
			for name, data := range files.Save() {
				if name != "log-0000000000000001" {
					image[name] = data
				}
			}
		}
		for range 2 {
			files.Load(image)
			_, got, err := storage.Open(files, testIdentity)
			if !test.opens {
				if failure.KindOf(err) != failure.Internal {
					t.Fatalf("%+v: got %v, want an Internal error", test, err)
				}
				continue
			}
			if err != nil || len(got.Entries) != 1 || got.Entries[0].Index != test.next || got.State.Term != 4 {
				t.Fatalf("%+v: recovered %+v, error %v", test, got, err)
			}
			image = files.Save()
		}
	}
}
