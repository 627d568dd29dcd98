package replication

import (
	"github.com/fxamacker/cbor/v2"

	"pollenpaddle/internal/failure"
)

// Limits of an encoded message, checked before memory is allocated for its content.
const (
	// MaxMessageBytes bounds one encoded message: an Append holds at most maxAppendBytes of entries, or
	// one entry of MaxProposalBytes, plus the other fields.
	MaxMessageBytes  = 1 << 20
	maxArrayElements = 8192
	maxNestedLevels  = 8
)

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeMessage encodes a message.
func EncodeMessage(m Message) ([]byte, error) { return cbor.Marshal(m) }

// DecodeMessage decodes and validates a message.
func DecodeMessage(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return Message{}, failure.New(failure.TooLarge, "run the same release on all members", "replication message of %d bytes exceeds the limit of %d", len(data), MaxMessageBytes)
	}
	var m Message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return Message{}, failure.New(failure.InvalidArgument, "run the same release on all members", "malformed replication message: %v", err)
	}
	return m, m.Validate()
}

// Validate checks what the core relies on: entries are contiguous, and chunks lie inside their
// snapshot. The core validates every message that it receives.
func (m *Message) Validate() error {
	malformed := func(what string) error {
		return failure.New(failure.InvalidArgument, "run the same release on all members", "malformed replication message of type %d: %s", m.Type, what)
	}
	if m.Type < MessagePreVote || m.Type > MessageJoinReply {
		return malformed("unknown type")
	}
	if m.Type == MessageSnapshot && m.Chunk == nil {
		return malformed("snapshot message without a chunk")
	}
	if m.Type == MessagePropose && len(m.Entries) == 0 {
		return malformed("proposal message without entries")
	}
	if c := m.Chunk; c != nil {
		if c.Total > MaxSnapshotBytes || c.Offset > c.Total || uint64(len(c.Data)) > c.Total-c.Offset {
			return malformed("chunk outside its snapshot")
		}
		if c.Index == 0 || c.Term == 0 || c.Term > m.Term {
			return malformed("chunk with an invalid snapshot index or term")
		}
	}
	previous := m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if len(e.Data) > MaxProposalBytes {
			return malformed("entry exceeds the size limit")
		}
		if m.Type == MessageAppend && (e.Index != m.Index+1+uint64(i) || e.Term > m.Term || e.Term < previous || e.Kind < EntryCommand || e.Kind > EntryConfiguration) {
			return malformed("entries with invalid indexes or terms, or of unknown kind")
		}
		previous = e.Term
	}
	return nil
}
