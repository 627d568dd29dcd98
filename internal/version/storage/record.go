package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"pollenpaddle/internal/version/replication"
)

// recordKind is the kind of content of a record.
type recordKind uint8

const (
	recordState recordKind = iota + 1
	recordEntry
)

// A write group holds the records that are written together and made durable by one sync. A record is
// laid out as follows, all numbers little endian:
//
//	bytes 0-3    checksum (CRC-32C) over the rest of the header and the payload
//	bytes 4-7    length of the payload
//	bytes 8-15   number of the write group, from 1 in each log file
//	byte  16     kind
//	byte  17     1 in the last record of its write group, otherwise 0
//	bytes 18-    payload, CBOR
//
// The checksum has an initial value derived from the member's identity, so that bytes inside a
// payload, or a file of another member, are not taken for records.
const (
	headerBytes = 18
	// maxRecordBytes bounds a payload: the data of one entry and its fields.
	maxRecordBytes = replication.MaxProposalBytes + 1024
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one record of the log without its checksum and length.
type record struct {
	kind       recordKind
	writeGroup uint64
	final      bool
	payload    []byte
}

// appendRecord appends the encoded record to buffer.
func appendRecord(buffer []byte, initial uint32, r record) []byte {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(r.payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, r.writeGroup)
	final := byte(0)
	if r.final {
		final = 1
	}
	buffer = append(buffer, byte(r.kind), final)
	buffer = append(buffer, r.payload...)
	binary.LittleEndian.PutUint32(buffer[start:], crc32.Update(initial, castagnoli, buffer[start+4:]))
	return buffer
}

// decodeRecord decodes the record at the start of data and returns its size; false if there is no
// valid one.
func decodeRecord(data []byte, initial uint32) (record, int, bool) {
	if len(data) < headerBytes {
		return record{}, 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	kind, final := recordKind(data[16]), data[17]
	if length > maxRecordBytes || int(length) > len(data)-headerBytes || final > 1 || kind != recordState && kind != recordEntry {
		return record{}, 0, false
	}
	size := headerBytes + int(length)
	if crc32.Update(initial, castagnoli, data[4:size]) != binary.LittleEndian.Uint32(data) {
		return record{}, 0, false
	}
	return record{kind: kind, writeGroup: binary.LittleEndian.Uint64(data[8:]), final: final == 1, payload: data[headerBytes:size]}, size, true
}

// logContent is the content of a log file, after all its records are applied.
type logContent struct {
	state        replication.HardState
	entries      []replication.Entry
	writeGroups  uint64 // number of complete write groups
	validBytes   int    // bytes of the complete write groups
	snapshot     uint64 // index of the snapshot that the log belongs to, zero if none
	hasGap       bool   // the entries before the one after the snapshot were left by a release that kept them
	damage       string // damage other than a torn write at the end; empty if there is none
	damageOffset int
}

// decodeLog reads a log file. An interrupted write damages only the last write group, because a write
// group is written after the previous one is synced. The write groups before it are kept; the damaged
// one was never acknowledged and is omitted as a whole. A valid record of a later write group after the
// damage shows that synced records are damaged. requireFirstWriteGroup is set for a file that was
// written by a rewrite: the first write group is synced before the file gets its name, so it must be
// complete.
func decodeLog(data []byte, initial uint32, requireFirstWriteGroup bool) logContent {
	return logContent{}.decode(data, initial, requireFirstWriteGroup)
}

func (c logContent) decode(data []byte, initial uint32, requireFirstWriteGroup bool) logContent {
	var pending []record
	for offset := 0; offset < len(data); {
		r, size, ok := decodeRecord(data[offset:], initial)
		if !ok {
			if hasLaterWriteGroup(data[offset+1:], initial, c.writeGroups+1) {
				return c.withDamage("no valid record", offset)
			}
			break
		}
		if r.writeGroup != c.writeGroups+1 {
			return c.withDamage("records out of order", offset)
		}
		pending = append(pending, r)
		offset += size
		if !r.final {
			continue
		}
		for _, p := range pending {
			if problem := c.apply(p); problem != "" {
				return c.withDamage(problem, c.validBytes)
			}
		}
		pending = pending[:0]
		c.writeGroups, c.validBytes = r.writeGroup, offset
	}
	if requireFirstWriteGroup && c.writeGroups == 0 {
		return c.withDamage("the first records are incomplete", 0)
	}
	return c
}

func (c logContent) withDamage(problem string, offset int) logContent {
	c.damage, c.damageOffset = problem, offset
	return c
}

// apply applies one record; the result is the problem with it, or "". An entry replaces the stored ones
// from its index on.
func (c *logContent) apply(r record) string {
	if r.kind == recordState {
		if cbor.Unmarshal(r.payload, &c.state) != nil {
			return "malformed state record"
		}
		return ""
	}
	var e replication.Entry
	if cbor.Unmarshal(r.payload, &e) != nil || e.Index == 0 {
		return "malformed entry record"
	}
	if len(c.entries) > 0 {
		first, last := c.entries[0].Index, c.entries[len(c.entries)-1].Index
		if e.Index > last+1 && e.Index == c.snapshot+1 {
			// Earlier releases appended behind the entries of a log that an installed snapshot replaced. No records
			// are missing, because write groups are numbered.
			c.hasGap = true
			c.entries = append(c.entries[:0], e)
			return ""
		}
		if e.Index > last+1 || e.Index < first {
			return "entry index out of sequence"
		}
		c.entries = c.entries[:e.Index-first]
	}
	c.entries = append(c.entries, e)
	return ""
}

// hasLaterWriteGroup reports whether data holds, at any offset, a valid record of a write group after
// the given one.
func hasLaterWriteGroup(data []byte, initial uint32, writeGroup uint64) bool {
	for len(data) >= headerBytes {
		if r, _, ok := decodeRecord(data, initial); ok && r.writeGroup > writeGroup {
			return true
		}
		data = data[1:]
	}
	return false
}
