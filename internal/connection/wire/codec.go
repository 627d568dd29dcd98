package wire

import "github.com/fxamacker/cbor/v2"

// Type is the number of a message type in an envelope. Numbers are never reused.
type Type uint8

// The message types, except those declared in control.go, claim.go and run.go.
const (
	TypeChallenge   Type = 1
	TypeHello       Type = 2
	TypePing        Type = 3
	TypePong        Type = 4
	TypeClosing     Type = 5
	TypeLeasePoll   Type = 10
	TypeLeaseGrant  Type = 11
	TypeAnnounce    Type = 20
	TypeWithdraw    Type = 21
	TypeLoad        Type = 22
	TypeStart       Type = 30
	TypeRefused     Type = 31
	TypeFinished    Type = 32
	TypeFinishedAck Type = 33
	TypeCancel      Type = 34
	TypeQuery       Type = 35
	TypeRunning     Type = 36
	TypeReserve     Type = 40
	TypeUnreserve   Type = 41
	TypeOffer       Type = 42
	TypeDecline     Type = 43
	TypeRecall      Type = 44
	TypeDemand      Type = 45
	TypeUsageReport Type = 46
)

// MessageType implements Message.
func (*Challenge) MessageType() Type   { return TypeChallenge }
func (*Hello) MessageType() Type       { return TypeHello }
func (*Ping) MessageType() Type        { return TypePing }
func (*Pong) MessageType() Type        { return TypePong }
func (*Closing) MessageType() Type     { return TypeClosing }
func (*LeasePoll) MessageType() Type   { return TypeLeasePoll }
func (*LeaseGrant) MessageType() Type  { return TypeLeaseGrant }
func (*Announce) MessageType() Type    { return TypeAnnounce }
func (*Withdraw) MessageType() Type    { return TypeWithdraw }
func (*Load) MessageType() Type        { return TypeLoad }
func (*Start) MessageType() Type       { return TypeStart }
func (*Refused) MessageType() Type     { return TypeRefused }
func (*Finished) MessageType() Type    { return TypeFinished }
func (*FinishedAck) MessageType() Type { return TypeFinishedAck }
func (*Cancel) MessageType() Type      { return TypeCancel }
func (*Query) MessageType() Type       { return TypeQuery }
func (*Running) MessageType() Type     { return TypeRunning }
func (*Reserve) MessageType() Type     { return TypeReserve }
func (*Unreserve) MessageType() Type   { return TypeUnreserve }
func (*Offer) MessageType() Type       { return TypeOffer }
func (*Decline) MessageType() Type     { return TypeDecline }
func (*Recall) MessageType() Type      { return TypeRecall }
func (*Demand) MessageType() Type      { return TypeDemand }
func (*UsageReport) MessageType() Type { return TypeUsageReport }

// constructors holds, for each type that a peer may send, the function that returns an empty message.
// The files that declare further types add theirs when the package is initialised.
var constructors = [256]func() Message{
	TypeChallenge:   func() Message { return new(Challenge) },
	TypeHello:       func() Message { return new(Hello) },
	TypePing:        func() Message { return new(Ping) },
	TypePong:        func() Message { return new(Pong) },
	TypeClosing:     func() Message { return new(Closing) },
	TypeLeasePoll:   func() Message { return new(LeasePoll) },
	TypeLeaseGrant:  func() Message { return new(LeaseGrant) },
	TypeAnnounce:    func() Message { return new(Announce) },
	TypeWithdraw:    func() Message { return new(Withdraw) },
	TypeLoad:        func() Message { return new(Load) },
	TypeStart:       func() Message { return new(Start) },
	TypeRefused:     func() Message { return new(Refused) },
	TypeFinished:    func() Message { return new(Finished) },
	TypeFinishedAck: func() Message { return new(FinishedAck) },
	TypeCancel:      func() Message { return new(Cancel) },
	TypeQuery:       func() Message { return new(Query) },
	TypeRunning:     func() Message { return new(Running) },
	TypeReserve:     func() Message { return new(Reserve) },
	TypeUnreserve:   func() Message { return new(Unreserve) },
	TypeOffer:       func() Message { return new(Offer) },
	TypeDecline:     func() Message { return new(Decline) },
	TypeRecall:      func() Message { return new(Recall) },
	TypeDemand:      func() Message { return new(Demand) },
	TypeUsageReport: func() Message { return new(UsageReport) },
}

// register adds message types to constructors. It panics if a number is used twice, which is a
// programming error. The empty result lets a file call register in a variable declaration.
func register(table map[Type]func() Message) struct{} {
	for number, construct := range table {
		if constructors[number] != nil {
			panic("wire: a message type number is registered twice")
		}
		constructors[number] = construct
	}
	return struct{}{}
}

// Limits of a frame, checked before memory is allocated for its content.
const (
	// MaxFrameBytes is the limit on the size of one frame, which is sent as one WebSocket message. A
	// task body of up to 8 MiB fits.
	MaxFrameBytes = 16 << 20
	// MaxFrameMessages bounds the number of messages in one frame.
	MaxFrameMessages = 4096
	// maxArrayElements bounds the length of an array in a message.
	maxArrayElements = 1 << 16
	// maxNestedLevels bounds the nesting depth of a message.
	maxNestedLevels = 12
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		// Header values of callers and upstreams need not be valid UTF-8. Rejecting them here would end
		// the whole session.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
