package catalog

import (
	"github.com/fxamacker/cbor/v2"

	"pollenpaddle/internal/failure"
)

const (
	// firstCommandVersion is the version of the commands of processes, and of those of operators in earlier
	// releases: such a command creates no revision if it has no effect.
	firstCommandVersion = 1
	// operatorCommandVersion is the version of the commands of operators: an accepted command creates a
	// revision also if it has no effect.
	operatorCommandVersion = 2
	// MaxCommandBytes is the maximum size of an encoded command other than PutRouting.
	MaxCommandBytes = 4096
)

// Command is an operation with the fields that make it safe to resend. Commands of operators have a
// change id, by which resent commands are recognized, and the revision that the operator has read.
// Commands of processes have neither and are idempotent.
type Command struct {
	ChangeID         string
	ExpectedRevision uint64
	Operation        Operation
}

// encodedCommand is the encoding of a command in the log.
type encodedCommand struct {
	_                struct{} `cbor:",toarray"`
	Version          uint8
	ChangeID         string
	ExpectedRevision uint64
	Kind             Kind
	Body             cbor.RawMessage
}

var (
	encodingMode = mustEncodingMode()
	decodingMode = mustDecodingMode()
)

func mustEncodingMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecodingMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 16, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// FromOperator reports whether the command is one of operators, with a change id and an expected
// revision. PutRouting is a command of processes, although operators request it.
func (c Command) FromOperator() bool {
	kind := c.Operation.Kind()
	return kind <= KindSetZone || kind == KindSetZoneIfUnchanged
}

// Validate checks every field of the command, independent of any state.
func (c Command) Validate() error {
	if c.Operation == nil {
		return invalid("report this as a bug", "the command has no operation")
	}
	if err := c.Operation.Validate(); err != nil {
		return err
	}
	if !c.FromOperator() {
		if c.ChangeID != "" || c.ExpectedRevision != 0 {
			return invalid("report this as a bug", "the command of a process has a change id or an expected revision")
		}
		return nil
	}
	if err := ValidateName("change id", c.ChangeID); err != nil {
		return err
	}
	if c.ExpectedRevision == 0 {
		return invalid("read the revision with GET /v1/status and send it as expected_revision", "the command has no expected revision")
	}
	return nil
}

// Encode validates and encodes the command. Equal commands have equal encodings.
func (c Command) Encode() ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.FromOperator() {
		return c.encode(operatorCommandVersion)
	}
	return c.encode(firstCommandVersion)
}

func (c Command) encode(version uint8) ([]byte, error) {
	body, err := encodeOperation(c.Operation)
	if err != nil {
		return nil, err
	}
	return encodingMode.Marshal(encodedCommand{
		Version: version, ChangeID: c.ChangeID, ExpectedRevision: c.ExpectedRevision, Kind: c.Operation.Kind(), Body: body,
	})
}

// DecodeCommand decodes and validates a command.
func DecodeCommand(data []byte) (Command, error) {
	command, _, err := decodeCommand(data)
	return command, err
}

// decodeCommand decodes and validates a command. It also returns the version of its encoding.
func decodeCommand(data []byte) (Command, uint8, error) {
	if len(data) > maxRoutingCommandBytes {
		return Command{}, 0, tooLarge(data, maxRoutingCommandBytes)
	}
	var encoded encodedCommand
	if err := decodingMode.Unmarshal(data, &encoded); err != nil {
		return Command{}, 0, malformed("command", err)
	}
	if limit := commandLimit(encoded.Kind); len(data) > limit {
		return Command{}, 0, tooLarge(data, limit)
	}
	if encoded.Version < firstCommandVersion || encoded.Version > operatorCommandVersion {
		return Command{}, 0, invalid("run the same release on all control members", "command has version %d, this release reads %d to %d", encoded.Version, firstCommandVersion, operatorCommandVersion)
	}
	operation, err := decodeOperation(encoded.Kind, encoded.Body)
	if err != nil {
		return Command{}, 0, err
	}
	c := Command{ChangeID: encoded.ChangeID, ExpectedRevision: encoded.ExpectedRevision, Operation: operation}
	return c, encoded.Version, c.Validate()
}

func tooLarge(data []byte, limit int) error {
	return failure.New(failure.TooLarge, "shorten names and addresses; in a routing configuration, remove routes that are no longer used", "command of %d bytes exceeds the limit of %d", len(data), limit)
}

func malformed(what string, err error) error {
	return invalid("run the same release on all processes", "malformed %s: %v", what, err)
}

func encodeOperation(operation Operation) (cbor.RawMessage, error) {
	body, err := encodingMode.Marshal(operation)
	if err != nil {
		return nil, failure.New(failure.Internal, "report this as a bug", "cannot encode an operation: %v", err)
	}
	return body, nil
}

func decodeOperation(kind Kind, body []byte) (Operation, error) {
	switch kind {
	case KindPutClass:
		return decodeAs[PutClass](body)
	case KindRetireClass:
		return decodeAs[RetireClass](body)
	case KindPutOrganisation:
		return decodeAs[PutOrganisation](body)
	case KindRetireOrganisation:
		return decodeAs[RetireOrganisation](body)
	case KindSetZone:
		return decodeAs[SetZone](body)
	case KindAnnounceZone:
		return decodeAs[AnnounceZone](body)
	case KindJoinEntry:
		return decodeAs[JoinEntry](body)
	case KindLeaveEntry:
		return decodeAs[LeaveEntry](body)
	case KindPutRouting:
		return decodeAs[PutRouting](body)
	case KindEvacuateZone:
		return decodeAs[EvacuateZone](body)
	case KindSetZoneIfUnchanged:
		return decodeAs[SetZoneIfUnchanged](body)
	default:
		return nil, invalid("run the same release on all processes", "unknown operation %d", kind)
	}
}

func decodeAs[O Operation](body []byte) (Operation, error) {
	var operation O
	if err := decodingMode.Unmarshal(body, &operation); err != nil {
		return nil, malformed("operation", err)
	}
	if err := operation.Validate(); err != nil {
		return nil, err
	}
	return operation, nil
}
