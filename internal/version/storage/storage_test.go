package storage_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/replication"
	"pollenpaddle/internal/version/storage"
	"pollenpaddle/internal/version/storage/faultfs"
)

const identity = replication.Identity(0xabc)

func testIdentity() replication.Identity { return identity }

func entry(term, index uint64) replication.Entry {
	return replication.Entry{Term: term, Index: index, Kind: replication.EntryCommand, Data: []byte(fmt.Sprintf("%d/%d", term, index))}
}

func open(files storage.FileSystem) (*storage.Store, replication.Recovered) {
	ginkgo.GinkgoHelper()
	store, recovered, err := storage.Open(files, testIdentity)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return store, recovered
}

func write(store *storage.Store, batches ...replication.Batch) uint64 {
	ginkgo.GinkgoHelper()
	done, err := store.Write(batches)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return done
}

// threeWriteGroups returns a data folder whose log holds three synced write groups of two entries.
func threeWriteGroups() *faultfs.FS {
	ginkgo.GinkgoHelper()
	files := faultfs.New(1)
	store, _ := open(files)
	for i := range uint64(3) {
		write(store, replication.Batch{
			Sequence: i + 1, State: &replication.HardState{Term: i + 1}, Entries: []replication.Entry{entry(i+1, 2*i+1), entry(i+1, 2*i+2)},
		})
	}
	gomega.Expect(store.Close()).To(gomega.Succeed())
	return files
}

const logFile = "log-0000000000000000"

func expectRejected(files storage.FileSystem, kind failure.Kind, words ...string) {
	ginkgo.GinkgoHelper()
	_, _, err := storage.Open(files, testIdentity)
	gomega.Expect(err).To(gomega.HaveOccurred())
	gomega.Expect(failure.KindOf(err)).To(gomega.Equal(kind))
	for _, word := range words {
		gomega.Expect(err.Error()).To(gomega.ContainSubstring(word))
	}
}

var _ = ginkgo.Describe("a data folder", func() {
	// Guards against an identity that changes between starts, and against two processes that write to one
	// data folder.
	ginkgo.It("keeps its identity and its lock on a real disk", func() {
		folder := ginkgo.GinkgoT().TempDir() + "/data"
		files, err := storage.OpenFolder(folder)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		store, _ := open(files)
		expectRejected(files, failure.Unavailable, folder, "stop the other process")
		write(store,
			replication.Batch{Sequence: 1, Entries: []replication.Entry{entry(1, 1), entry(1, 2)}},
			replication.Batch{Sequence: 2, Rewrite: &replication.Snapshot{Index: 1, Term: 1}, State: &replication.HardState{Term: 4}, Entries: []replication.Entry{entry(1, 2)}},
			replication.Batch{Sequence: 3, Entries: []replication.Entry{entry(4, 3)}})
		gomega.Expect(store.Close()).To(gomega.Succeed())
		store, recovered, err := storage.Open(files, func() replication.Identity { return 7 })
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(store.Identity()).To(gomega.Equal(identity))
		gomega.Expect(recovered.State.Term).To(gomega.Equal(uint64(4)))
		gomega.Expect(recovered.Snapshot.Index).To(gomega.Equal(uint64(1)))
		gomega.Expect(recovered.Entries).To(gomega.Equal([]replication.Entry{entry(1, 2), entry(4, 3)}))
		gomega.Expect(store.Close()).To(gomega.Succeed())
	})

	// Guards against a torn write that prevents the start, or that loses synced records.
	ginkgo.It("drops only the last write group, as a whole, if the file is cut anywhere in it", func() {
		whole := threeWriteGroups().Save()
		size := len(whole[logFile])
		for cut := size * 2 / 3; cut < size; cut++ {
			files := faultfs.New(1)
			image := threeWriteGroups().Save()
			image[logFile] = image[logFile][:cut]
			files.Load(image)
			store, recovered := open(files)
			gomega.Expect(recovered.Entries).To(gomega.HaveLen(4), "cut at %d", cut)
			gomega.Expect(recovered.State.Term).To(gomega.Equal(uint64(2)))
			write(store, replication.Batch{Sequence: 1, Entries: []replication.Entry{entry(9, 5)}})
			gomega.Expect(store.Close()).To(gomega.Succeed())
			_, recovered = open(files)
			gomega.Expect(recovered.Entries).To(gomega.HaveLen(5), "cut at %d", cut)
		}
	})

	// Guards against damaged synced records that are omitted without an error.
	ginkgo.It("rejects damage before the last write group, and names the file, the offset and the remedy", func() {
		size := len(threeWriteGroups().Save()[logFile])
		for offset := range size {
			files := threeWriteGroups()
			files.Damage(logFile, offset)
			if offset < size*2/3 {
				expectRejected(files, failure.Internal, "memory/"+logFile, "damaged at offset", "replace this member with \"pollenpaddle member replace\"")
				continue
			}
			_, recovered := open(files)
			gomega.Expect(recovered.Entries).To(gomega.HaveLen(4), "damage at %d", offset)
		}
	})

	// Guards against a start with missing or damaged files.
	ginkgo.It("rejects a data folder in which a file is missing or damaged", func() {
		files := threeWriteGroups()
		gomega.Expect(files.Remove(logFile)).To(gomega.Succeed())
		expectRejected(files, failure.Internal, "memory/log-", "missing")
		files = threeWriteGroups()
		gomega.Expect(files.Remove("member")).To(gomega.Succeed())
		expectRejected(files, failure.Internal, "memory/member", "missing")
		files = threeWriteGroups()
		files.Damage("member", 5)
		expectRejected(files, failure.Internal, "memory/member", "offset 0")

		files = threeWriteGroups()
		store, _ := open(files)
		write(store, replication.Batch{Sequence: 1, Rewrite: &replication.Snapshot{Index: 6, Term: 3}, State: &replication.HardState{Term: 3}})
		gomega.Expect(store.Close()).To(gomega.Succeed())
		image := files.Save()
		delete(image, "snapshot-0000000000000006")
		image["log-0000000000000001"] = image["log-0000000000000001"][:5]
		files.Load(image)
		expectRejected(files, failure.Internal, "log-0000000000000001", "offset 0")
		files = faultfs.New(1)
		image = threeWriteGroups().Save()
		image["snapshot-0000000000000006"] = []byte("damaged")
		files.Load(image)
		expectRejected(files, failure.Internal, "snapshot-0000000000000006", "offset 0")
	})

	// Guards against records that are lost, or are acknowledged without being durable, when the disk is
	// full.
	ginkgo.It("reports a full disk and continues once there is free space", func() {
		failed := 0
		for space := range 1000 {
			files := threeWriteGroups()
			store, _ := open(files)
			files.Space = space
			batches := []replication.Batch{
				{Sequence: 1, Entries: []replication.Entry{entry(4, 7)}},
				{Sequence: 2, Rewrite: &replication.Snapshot{Index: 6, Term: 3}, State: &replication.HardState{Term: 4}, Entries: []replication.Entry{entry(4, 7)}},
			}
			done, err := store.Write(batches)
			if err == nil {
				break
			}
			failed++
			gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable), "space %d", space)
			gomega.Expect(err.Error()).To(gomega.ContainSubstring("free space"))
			files.Space = -1
			write(store, batches[done:]...)
			files.Crash()
			_, recovered := open(files)
			gomega.Expect(recovered.State.Term).To(gomega.Equal(uint64(4)))
			gomega.Expect(recovered.Snapshot.Index).To(gomega.Equal(uint64(6)))
			gomega.Expect(recovered.Entries).To(gomega.Equal([]replication.Entry{entry(4, 7)}))
		}
		gomega.Expect(failed).To(gomega.BeNumerically(">", 80))
	})

	// Guards against a snapshot that is lost or half in place when the disk runs out of space at a sync or a rename of
	// its files. Its two files are the snapshot and the new log.
	ginkgo.It("repeats a snapshot whose sync or rename found no space", func() {
		for _, space := range []struct{ syncs, renames, failures int }{{1, 0, 1}, {0, 1, 1}, {1, 1, 2}, {2, 2, 4}} {
			files := threeWriteGroups()
			store, _ := open(files)
			rewrite := replication.Batch{Sequence: 1, Rewrite: &replication.Snapshot{Index: 6, Term: 3}, State: &replication.HardState{Term: 4}, Entries: []replication.Entry{entry(4, 7)}}
			files.FullSyncs, files.FullRenames = space.syncs, space.renames
			for range space.failures {
				_, err := store.Write([]replication.Batch{rewrite})
				gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Unavailable), "%+v", space)
			}
			write(store, rewrite)
			files.Crash()
			_, recovered := open(files)
			gomega.Expect(recovered.State.Term).To(gomega.Equal(uint64(4)))
			gomega.Expect(recovered.Snapshot.Index).To(gomega.Equal(uint64(6)))
			gomega.Expect(recovered.Entries).To(gomega.Equal([]replication.Entry{entry(4, 7)}))
		}
	})

	// Guards against a change that is acknowledged, or read after a restart in part, when a sync of the log finds no
	// space: what the disk holds is then unknown until the data folder is opened again.
	ginkgo.It("stops when a sync of the log found no space, and recovers what was acknowledged", func() {
		for seed := range uint64(50) {
			files := faultfs.New(seed)
			store, _ := open(files)
			write(store, replication.Batch{Sequence: 1, State: &replication.HardState{Term: 3}, Entries: []replication.Entry{entry(3, 1), entry(3, 2)}})
			files.FullSyncs = 1
			_, err := store.Write([]replication.Batch{{Sequence: 2, Entries: []replication.Entry{entry(3, 3), entry(3, 4)}}})
			gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Internal))
			files.Crash()
			_, recovered := open(files)
			gomega.Expect(recovered.Entries).To(gomega.Equal([]replication.Entry{entry(3, 1), entry(3, 2)}))
		}
	})

	// Guards against a second sync that succeeds after the kernel has dropped the data.
	ginkgo.It("rejects writes after a failed sync, and does not recover the write group", func() {
		files := threeWriteGroups()
		store, _ := open(files)
		files.FailSyncs = 1
		_, err := store.Write([]replication.Batch{{Sequence: 1, Entries: []replication.Entry{entry(4, 7)}}})
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.Internal))
		_, err = store.Write([]replication.Batch{{Sequence: 1, Entries: []replication.Entry{entry(4, 7)}}})
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(store.Close()).To(gomega.Succeed())
		_, recovered := open(files)
		gomega.Expect(recovered.Entries).To(gomega.HaveLen(6))
	})

	// Guards against one sync per record, which would limit a member to a few hundred changes/s.
	ginkgo.It("writes many batches with one sync", func() {
		files := faultfs.New(1)
		store, _ := open(files)
		before := files.Syncs
		var batches []replication.Batch
		for i := range uint64(100) {
			batches = append(batches, replication.Batch{Sequence: i + 1, Entries: []replication.Entry{entry(1, i+1)}})
		}
		gomega.Expect(write(store, batches...)).To(gomega.Equal(uint64(100)))
		gomega.Expect(files.Syncs - before).To(gomega.Equal(1))
	})
})

// FuzzDecodeLog guards against input that crashes the decoder, and against a valid prefix that decodes
// differently on its own.
func FuzzDecodeLog(f *testing.F) {
	state, _ := cbor.Marshal(replication.HardState{Term: 3, Vote: 5})
	first, _ := cbor.Marshal(entry(1, 1))
	second, _ := cbor.Marshal(entry(1, 2))
	f.Add(storage.EncodeRecords(first, second))
	f.Add(storage.EncodeRecords(state, first)[:40])
	f.Add(append(storage.EncodeRecords(first), storage.EncodeRecords(second)...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if !storage.ValidPrefixDecodesEqually(data) {
			t.Fatal("the valid prefix decodes differently on its own")
		}
	})
}
