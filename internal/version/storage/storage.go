// Package storage keeps the durable state of a member of the replicated log in one data folder:
//
//	member              identity, chosen at random when the data folder is created
//	log-<generation>    records: hard states and entries
//	snapshot-<index>    the newest snapshot of the state machine
//	lock                held while a process uses the data folder
//
// Write returns only after everything is synced. The records that one sync makes durable form a write
// group. New files are written under a temporary name, synced and renamed, and then the directory is
// synced; a crash at any point leaves the old or the new state. Conflicting entries are not overwritten
// in place: an entry replaces all stored ones from its index on.
package storage

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/replication"
)

const (
	memberFile      = "member"
	lockFile        = "lock"
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	files           FileSystem
	lock            io.Closer
	identity        replication.Identity
	initialChecksum uint32
	log             File
	generation      uint64 // number in the name of the log; incremented by every rewrite
	snapshot        uint64 // index of the newest snapshot, zero if none
	writeGroups     uint64 // number of synced write groups in the log
	size            int64  // synced size of the log
	torn            bool   // a failed write may have left bytes after size
	broken          error  // set once the durable content is unknown; every Write returns it
	buffer          []byte
}

// Identity returns the identity of the data folder.
func (s *Store) Identity() replication.Identity { return s.identity }

// Close closes the log and releases the folder's lock.
func (s *Store) Close() error {
	err := s.log.Close()
	return errors.CombineErrors(err, s.lock.Close())
}

// Write makes the batches durable, in order, with one sync for consecutive batches without a
// Rewrite. It returns the sequence number of the last durable batch; zero if none.
//
// A full disk is an Unavailable error: the failed batches count as not written and may be passed to
// Write again. Any other error is Internal: the durable content is unknown until the data folder is
// opened again, and the Store rejects further writes.
func (s *Store) Write(batches []replication.Batch) (uint64, error) {
	if s.broken != nil {
		return 0, s.broken
	}
	done := uint64(0)
	for len(batches) > 0 {
		n := 0
		for n < len(batches) && batches[n].Rewrite == nil {
			n++
		}
		var err error
		if n > 0 {
			err = s.append(batches[:n])
		} else {
			n = 1
			err = s.rewrite(batches[0])
		}
		if err != nil {
			return done, err
		}
		done = batches[n-1].Sequence
		batches = batches[n:]
	}
	return done, nil
}

// append adds the records of the batches to the log as one write group.
func (s *Store) append(batches []replication.Batch) error {
	if s.torn {
		if err := s.log.Truncate(s.size); err != nil {
			return s.writeError("truncate", s.logName(s.generation), err)
		}
		s.torn = false
	}
	var records []record
	for i := range batches {
		var err error
		if records, err = appendBatch(records, &batches[i]); err != nil {
			return err
		}
	}
	s.buffer = appendWriteGroup(s.buffer[:0], s.initialChecksum, s.writeGroups+1, records)
	s.torn = true
	if n, err := s.log.Write(s.buffer); err != nil || n < len(s.buffer) {
		return s.writeError("write", s.logName(s.generation), errorOrShortWrite(err))
	}
	if err := s.log.Sync(); err != nil {
		// After a failed sync the kernel may drop the data, still return it to readers and report success
		// for the next sync. A successful retry does not show that the data is durable, and a restart must
		// not recover the write group.
		_ = s.log.Truncate(s.size)
		return s.markBroken("sync", s.logName(s.generation), err)
	}
	s.torn = false
	s.size += int64(len(s.buffer))
	s.writeGroups++
	return nil
}

// rewrite writes a snapshot and starts a new log after it. The old files are deleted last.
func (s *Store) rewrite(b replication.Batch) error {
	if err := s.writeSnapshot(b.Rewrite); err != nil {
		return err
	}
	records, err := appendBatch(nil, &b)
	if err != nil {
		return err
	}
	oldSnapshot := s.snapshot
	if err := s.replaceLog(records); err != nil {
		return err
	}
	s.snapshot = b.Rewrite.Index
	// Files that cannot be deleted now are deleted when the data folder is opened the next time.
	if oldSnapshot != 0 && oldSnapshot != s.snapshot {
		_ = s.files.Remove(snapshotName(oldSnapshot))
	}
	return nil
}

// replaceLog starts a log of the next generation with the records as its first write group, and deletes the old log.
func (s *Store) replaceLog(records []record) error {
	name := s.logName(s.generation + 1)
	data := appendWriteGroup(nil, s.initialChecksum, 1, records)
	if err := s.replace(name, data); err != nil {
		return err
	}
	log, err := s.files.Append(name)
	if err != nil {
		return s.markBroken("open", name, err)
	}
	old := s.logName(s.generation)
	_ = s.log.Close()
	s.log, s.torn = log, false
	s.generation++
	s.writeGroups = 1
	s.size = int64(len(data))
	_ = s.files.Remove(old)
	return nil
}

func (s *Store) writeSnapshot(snapshot *replication.Snapshot) error {
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return failure.New(failure.Internal, "report this as a bug", "cannot encode a snapshot: %v", err)
	}
	return s.replace(snapshotName(snapshot.Index), withChecksum(s.initialChecksum, payload))
}

// replace writes a file under a temporary name and renames it once it is durable.
func (s *Store) replace(name string, data []byte) error {
	file, err := s.files.Create(name + temporarySuffix)
	if err != nil {
		return s.writeError("create", name, err)
	}
	n, err := file.Write(data)
	if err == nil && n < len(data) {
		err = errorOrShortWrite(nil)
	}
	if err == nil {
		err = file.Sync()
	}
	err = errors.CombineErrors(err, file.Close())
	if err != nil {
		_ = s.files.Remove(name + temporarySuffix)
		return s.writeError("write", name, err)
	}
	if err := s.files.Rename(name+temporarySuffix, name); err != nil {
		return s.writeError("rename", name, err)
	}
	if err := s.files.SyncDirectory(); err != nil {
		return s.markBroken("sync the directory of", name, err)
	}
	return nil
}

func appendBatch(records []record, b *replication.Batch) ([]record, error) {
	if b.State != nil {
		payload, err := cbor.Marshal(b.State)
		if err != nil {
			return nil, failure.New(failure.Internal, "report this as a bug", "cannot encode a state record: %v", err)
		}
		records = append(records, record{kind: recordState, payload: payload})
	}
	for i := range b.Entries {
		payload, err := cbor.Marshal(&b.Entries[i])
		if err != nil || len(payload) > maxRecordBytes {
			return nil, failure.New(failure.Internal, "report this as a bug", "cannot encode entry %d within the size limit (encoded size: %d bytes; encoding error: %v)", b.Entries[i].Index, len(payload), err)
		}
		records = append(records, record{kind: recordEntry, payload: payload})
	}
	return records, nil
}

func appendWriteGroup(buffer []byte, initial uint32, writeGroup uint64, records []record) []byte {
	for i, r := range records {
		r.writeGroup, r.final = writeGroup, i == len(records)-1
		buffer = appendRecord(buffer, initial, r)
	}
	return buffer
}

// writeError returns the error of a failed write. On a full disk the durable content is known, because
// the write counts as not done, and the Store remains usable; any other fault is passed to markBroken.
func (s *Store) writeError(action, name string, err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return failure.New(failure.Unavailable, "free space on the disk of the data folder; writing resumes by itself",
			"cannot %s %s: %v", action, s.files.Path(name), err)
	}
	return s.markBroken(action, name, err)
}

// markBroken returns the error of a fault after which the durable content is unknown, and makes all
// further writes fail with it.
func (s *Store) markBroken(action, name string, err error) error {
	s.broken = failure.New(failure.Internal, "check the disk and restart the process; if the disk lost data, move the data folder away, restart the process and replace this member with \"pollenpaddle member replace\"",
		"cannot %s %s: %v", action, s.files.Path(name), err)
	return s.broken
}

// errorOrShortWrite returns err, or io.ErrShortWrite for a write without an error.
func errorOrShortWrite(err error) error {
	if err == nil {
		return io.ErrShortWrite
	}
	return err
}

func (s *Store) logName(generation uint64) string {
	return fmt.Sprintf("%s%016x", logPrefix, generation)
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// fileNumbers returns the numbers in the names of the files with the prefix, ascending. The names are
// sorted.
func fileNumbers(names []string, prefix string) []uint64 {
	var found []uint64
	for _, name := range names {
		if text, ok := strings.CutPrefix(name, prefix); ok {
			if n, err := strconv.ParseUint(text, 16, 64); err == nil {
				found = append(found, n)
			}
		}
	}
	return found
}
