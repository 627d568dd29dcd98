package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/replication"
)

const replaceRemedy = "if the file was moved or replaced, put the original back; otherwise move the data folder away, restart the process and replace this member with \"pollenpaddle member replace\""

// identityFile is the content of the member file.
type identityFile struct {
	_        struct{} `cbor:",toarray"`
	Format   uint16
	Identity replication.Identity
}

// formatVersion is incremented when the files change in a way that older releases cannot read.
const formatVersion = 1

// Open takes the lock of the data folder and reads its state. An empty folder gets the identity that
// newIdentity returns. Damage other than an interrupted write at the end of the log is an Internal
// error that names the file and the offset.
func Open(files FileSystem, newIdentity func() replication.Identity) (*Store, replication.Recovered, error) {
	lock, err := files.Lock(lockFile)
	if errors.Is(err, ErrLocked) {
		return nil, replication.Recovered{}, failure.New(failure.Unavailable, "stop the other process or give this one its own data folder",
			"%s is used by another process", files.Path(""))
	}
	if err != nil {
		return nil, replication.Recovered{}, err
	}
	s := &Store{files: files, lock: lock}
	recovered, err := s.open(newIdentity)
	if err != nil {
		if s.log != nil {
			_ = s.log.Close()
		}
		_ = lock.Close()
		return nil, replication.Recovered{}, err
	}
	return s, recovered, nil
}

func (s *Store) open(newIdentity func() replication.Identity) (replication.Recovered, error) {
	names, err := s.files.List()
	if err != nil {
		return replication.Recovered{}, err
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.files.Remove(name); err != nil {
				return replication.Recovered{}, err
			}
		}
	}
	known, err := s.readIdentity(names)
	if err != nil {
		return replication.Recovered{}, err
	}
	if !known {
		return replication.Recovered{}, s.initialise(names, newIdentity())
	}
	// A kill between a rename and the sync of the directory leaves names that a loss of power would undo.
	if err := s.files.SyncDirectory(); err != nil {
		return replication.Recovered{}, err
	}
	return s.recover(names)
}

// initialise prepares an empty data folder. The member file is written last: without it the folder
// counts as empty, so after a crash in between, the next start repeats the initialisation.
func (s *Store) initialise(names []string, identity replication.Identity) error {
	for _, name := range names {
		isLog, isSnapshot := strings.HasPrefix(name, logPrefix), strings.HasPrefix(name, snapshotPrefix)
		if strings.HasSuffix(name, temporarySuffix) || !isLog && !isSnapshot {
			continue
		}
		data, err := s.files.ReadFile(name)
		if err != nil {
			return err
		}
		if isSnapshot || len(data) > 0 {
			return failure.New(failure.Internal, replaceRemedy, "%s is missing but %s has content", s.files.Path(memberFile), s.files.Path(name))
		}
	}
	s.setIdentity(identity)
	if err := s.replace(s.logName(0), nil); err != nil {
		return err
	}
	payload, err := cbor.Marshal(identityFile{Format: formatVersion, Identity: identity})
	if err != nil {
		return err
	}
	if err := s.replace(memberFile, withChecksum(0, payload)); err != nil {
		return err
	}
	s.log, err = s.files.Append(s.logName(0))
	return err
}

func (s *Store) readIdentity(names []string) (bool, error) {
	if !slices.Contains(names, memberFile) {
		return false, nil
	}
	data, err := s.files.ReadFile(memberFile)
	if err != nil {
		return false, err
	}
	var content identityFile
	payload, ok := verifyChecksum(0, data)
	if !ok || cbor.Unmarshal(payload, &content) != nil || content.Identity == replication.NoIdentity {
		return false, failure.New(failure.Internal, replaceRemedy, "%s is damaged at offset 0: the checksum or the content is not valid", s.files.Path(memberFile))
	}
	if content.Format != formatVersion {
		return false, failure.New(failure.Internal, "run the release that wrote the data folder", "%s has format %d, but this release reads format %d", s.files.Path(memberFile), content.Format, formatVersion)
	}
	s.setIdentity(content.Identity)
	return true, nil
}

func (s *Store) setIdentity(identity replication.Identity) {
	s.identity = identity
	s.initialChecksum = crc32.Checksum(binary.LittleEndian.AppendUint64(nil, uint64(identity)), castagnoli)
}

// recover reads the newest snapshot and the newest log, and deletes older ones.
func (s *Store) recover(names []string) (replication.Recovered, error) {
	var recovered replication.Recovered
	snapshots := fileNumbers(names, snapshotPrefix)
	if len(snapshots) > 0 {
		s.snapshot = snapshots[len(snapshots)-1]
		snapshot, err := s.readSnapshot(s.snapshot)
		if err != nil {
			return recovered, err
		}
		recovered.Snapshot = snapshot
	}
	logs := fileNumbers(names, logPrefix)
	if len(logs) == 0 {
		return recovered, failure.New(failure.Internal, replaceRemedy, "%s is missing", s.files.Path(logPrefix+"*"))
	}
	s.generation = logs[len(logs)-1]
	if err := s.readLog(&recovered); err != nil {
		return recovered, err
	}
	for _, n := range logs[:len(logs)-1] {
		_ = s.files.Remove(s.logName(n))
	}
	for _, n := range snapshots[:max(len(snapshots)-1, 0)] {
		_ = s.files.Remove(snapshotName(n))
	}
	return recovered, nil
}

func (s *Store) readSnapshot(index uint64) (*replication.Snapshot, error) {
	name := snapshotName(index)
	data, err := s.files.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var snapshot replication.Snapshot
	payload, ok := verifyChecksum(s.initialChecksum, data)
	if !ok || cbor.Unmarshal(payload, &snapshot) != nil || snapshot.Index != index {
		return nil, failure.New(failure.Internal, replaceRemedy, "%s is damaged at offset 0: the checksum or the content is not valid", s.files.Path(name))
	}
	return &snapshot, nil
}

// readLog decodes the log and truncates a torn end. If the log holds entries that the snapshot covers or contradicts
// instead of continuing it, a new log without them replaces it: entries that are appended behind them would leave a gap,
// or would be omitted with them at the next start.
func (s *Store) readLog(recovered *replication.Recovered) error {
	name := s.logName(s.generation)
	data, err := s.files.ReadFile(name)
	if err != nil {
		return err
	}
	snapshot := recovered.Snapshot
	c := logContent{}
	if snapshot != nil {
		c.snapshot = snapshot.Index
	}
	c = c.decode(data, s.initialChecksum, s.generation > 0)
	if c.damage != "" {
		return failure.New(failure.Internal, replaceRemedy, "%s is damaged at offset %d of %d: %s", s.files.Path(name), c.damageOffset, len(data), c.damage)
	}
	if s.log, err = s.files.Append(name); err != nil {
		return err
	}
	if c.validBytes < len(data) {
		if err := s.log.Truncate(int64(c.validBytes)); err != nil {
			return err
		}
	}
	// The last valid records may have been written but never synced. From here on they count as
	// durable.
	if err := s.log.Sync(); err != nil {
		return err
	}
	s.size, s.writeGroups = int64(c.validBytes), c.writeGroups
	recovered.State, recovered.Entries = c.state, c.entries
	if snapshot == nil {
		if len(c.entries) > 0 && c.entries[0].Index != 1 {
			return s.gapError(name, 0, c.entries[0].Index)
		}
		return nil
	}
	if len(c.entries) > 0 && c.entries[0].Index > snapshot.Index+1 {
		return s.gapError(name, snapshot.Index, c.entries[0].Index)
	}
	if !isContinuedBy(snapshot, c.entries) {
		// A snapshot from a leader replaces the log, and the process was killed before the new log was
		// in place.
		recovered.Entries = nil
	} else if !c.hasGap {
		return nil
	}
	records, err := appendBatch(nil, &replication.Batch{State: &recovered.State, Entries: recovered.Entries})
	if err != nil {
		return err
	}
	return s.replaceLog(records)
}

func (s *Store) gapError(name string, covered, first uint64) error {
	return failure.New(failure.Internal, replaceRemedy, "%[1]s begins with entry %[2]d, but the entries between %[3]d and %[2]d are missing", s.files.Path(name), first, covered)
}

// isContinuedBy reports whether the entries continue the snapshot: they begin right after it or
// include its last entry.
func isContinuedBy(snapshot *replication.Snapshot, entries []replication.Entry) bool {
	if len(entries) == 0 || entries[0].Index == snapshot.Index+1 {
		return true
	}
	last := entries[len(entries)-1].Index
	return last >= snapshot.Index && entries[snapshot.Index-entries[0].Index].Term == snapshot.Term
}

// withChecksum returns payload preceded by its checksum.
func withChecksum(initial uint32, payload []byte) []byte {
	data := binary.LittleEndian.AppendUint32(make([]byte, 0, len(payload)+4), crc32.Update(initial, castagnoli, payload))
	return append(data, payload...)
}

// verifyChecksum returns the payload of data that withChecksum returned; false if the checksum does not
// match.
func verifyChecksum(initial uint32, data []byte) ([]byte, bool) {
	if len(data) < 4 || binary.LittleEndian.Uint32(data) != crc32.Update(initial, castagnoli, data[4:]) {
		return nil, false
	}
	return bytes.Clone(data[4:]), true
}
