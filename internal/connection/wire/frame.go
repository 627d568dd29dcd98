package wire

import (
	"bytes"
	"encoding/binary"

	"pollenpaddle/internal/failure"
)

// A frame is a CBOR array of envelopes; an envelope is the array [type, body]. This file encodes
// and decodes the heads of these arrays itself, so that bodies are encoded into the frame and
// decoded from it without an intermediate copy.
const (
	majorUnsigned byte = 0 << 5
	majorArray    byte = 4 << 5
	majorMask     byte = 7 << 5
	// envelopeHead is the head of an array of two elements.
	envelopeHead byte = majorArray | 2

	oneByteArgument   byte = 24
	twoByteArgument   byte = 25
	fourByteArgument  byte = 26
	eightByteArgument byte = 27
)

// frameHeadBytes is the size of a frame's head. It always has a two-byte count, which is set when
// the frame is complete.
const frameHeadBytes = 3

// Frame encodes messages into one WebSocket message. Reset retains the buffer, so that a reused
// Frame encodes without allocation.
type Frame struct {
	buffer bytes.Buffer
	count  int
}

// Reset empties the frame.
func (f *Frame) Reset() {
	f.buffer.Reset()
	f.count = 0
}

// Add appends a message. It returns TooLarge if the frame would exceed MaxFrameBytes or
// MaxFrameMessages. After an error the frame is unchanged.
func (f *Frame) Add(message Message) error {
	if f.count == 0 {
		f.buffer.Reset()
		f.buffer.Write([]byte{majorArray | twoByteArgument, 0, 0})
	}
	before := f.buffer.Len()
	messageType := message.MessageType()
	f.buffer.WriteByte(envelopeHead)
	writeType(&f.buffer, messageType)
	if err := encoder.MarshalToBuffer(message, &f.buffer); err != nil {
		f.buffer.Truncate(before)
		return failure.New(failure.Internal, "report this as a bug", "cannot encode message type %d: %v", messageType, err)
	}
	if size := f.buffer.Len(); size > MaxFrameBytes || f.count >= MaxFrameMessages {
		f.buffer.Truncate(before)
		return failure.New(failure.TooLarge, "send smaller or fewer messages", "message type %d does not fit: the frame would have %d bytes (limit %d), or it already has the maximum number of messages", messageType, size, MaxFrameBytes)
	}
	f.count++
	return nil
}

// Count returns the number of messages.
func (f *Frame) Count() int { return f.count }

// Len returns the size in bytes.
func (f *Frame) Len() int { return f.buffer.Len() }

// Bytes returns the encoded frame, which is valid until the frame is modified.
func (f *Frame) Bytes() []byte {
	if f.count == 0 {
		return []byte{majorArray}
	}
	encoded := f.buffer.Bytes()
	binary.BigEndian.PutUint16(encoded[1:frameHeadBytes], uint16(f.count))
	return encoded
}

// EncodeFrame encodes messages, in order, as one frame.
func EncodeFrame(messages []Message) ([]byte, error) {
	var f Frame
	for _, message := range messages {
		if err := f.Add(message); err != nil {
			return nil, err
		}
	}
	return f.Bytes(), nil
}

// DecodeFrame decodes one frame. For a malformed frame or an unknown message type it returns
// InvalidArgument and no messages. The messages do not reference frame.
func DecodeFrame(frame []byte) ([]Message, error) {
	if len(frame) > MaxFrameBytes {
		return nil, failure.New(failure.TooLarge, "send smaller batches", "frame of %d bytes exceeds the limit of %d", len(frame), MaxFrameBytes)
	}
	count, rest, ok := readHead(frame, majorArray)
	if !ok {
		return nil, malformed("not an array")
	}
	if count > MaxFrameMessages {
		return nil, failure.New(failure.TooLarge, "send smaller batches", "frame of %d messages exceeds the limit of %d", count, MaxFrameMessages)
	}
	// An envelope has at least three bytes, so a short frame cannot cause a large allocation.
	messages := make([]Message, 0, min(int(count), len(rest)/3+1))
	for range count {
		message, remaining, err := decodeEnvelope(rest)
		if err != nil {
			return nil, err
		}
		messages, rest = append(messages, message), remaining
	}
	if len(rest) != 0 {
		return nil, malformed("data follows the last message")
	}
	return messages, nil
}

func decodeEnvelope(data []byte) (Message, []byte, error) {
	if len(data) == 0 || data[0] != envelopeHead {
		return nil, nil, malformed("an envelope is missing or not an array of two elements")
	}
	messageType, rest, ok := readHead(data[1:], majorUnsigned)
	if !ok || messageType >= uint64(len(constructors)) {
		return nil, nil, malformed("a message type is missing or out of range")
	}
	construct := constructors[messageType]
	if construct == nil {
		return nil, nil, failure.New(failure.InvalidArgument, "run the same release on both ends", "unknown message type %d", messageType)
	}
	message := construct()
	rest, err := decoder.UnmarshalFirst(rest, message)
	if err != nil {
		return nil, nil, malformed(err.Error())
	}
	return message, rest, nil
}

func malformed(reason string) error {
	return failure.New(failure.InvalidArgument, "run the same release on both ends", "malformed frame: %s", reason)
}

// writeType writes a message type as a CBOR unsigned integer.
func writeType(buffer *bytes.Buffer, messageType Type) {
	if byte(messageType) >= oneByteArgument {
		buffer.WriteByte(majorUnsigned | oneByteArgument)
	}
	buffer.WriteByte(byte(messageType))
}

// readHead reads the head of a CBOR item of the given major type and returns its argument and the
// bytes that follow.
func readHead(data []byte, major byte) (argument uint64, rest []byte, ok bool) {
	if len(data) == 0 || data[0]&majorMask != major {
		return 0, nil, false
	}
	info := data[0] &^ majorMask
	data = data[1:]
	if info < oneByteArgument {
		return uint64(info), data, true
	}
	if info > eightByteArgument {
		return 0, nil, false
	}
	size := 1 << (info - oneByteArgument)
	if len(data) < size {
		return 0, nil, false
	}
	switch info {
	case oneByteArgument:
		argument = uint64(data[0])
	case twoByteArgument:
		argument = uint64(binary.BigEndian.Uint16(data))
	case fourByteArgument:
		argument = uint64(binary.BigEndian.Uint32(data))
	default:
		argument = binary.BigEndian.Uint64(data)
	}
	return argument, data[size:], true
}
