package wire

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/replication"
)

// Types of the messages between control members and the processes that subscribe to the
// configuration (entries and agents): 10 to 19, of which 10 and 11 are declared with the other
// types; and between control members: 60 to 69, except MemberList, which is sent to the subscribed
// processes. The configuration is the catalog; the list of control members is called the group.
const (
	TypeConfigSnapshot Type = 12
	TypeConfigDelta    Type = 13
	TypeConfigRequest  Type = 14
	TypePropose        Type = 15
	TypeProposeResult  Type = 16
	TypeAdminCall      Type = 17
	TypeAdminResult    Type = 18
	TypeMemberChange   Type = 19
	TypeReplication    Type = 60
	TypePresence       Type = 61
	TypeMemberList     Type = 62
)

// ConfigRequest subscribes the sender to the configuration after Revision, or renews the
// subscription after a missed ConfigDelta. Revision is zero if the sender has no configuration.
type ConfigRequest struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
}

// ConfigSnapshot contains the whole configuration or, for an agent, the part that it needs.
type ConfigSnapshot struct {
	_     struct{} `cbor:",toarray"`
	Group uint64   // identifies the group of control members; revisions of different groups are not comparable
	State catalog.State
}

// ConfigDelta contains the steps from one revision to another. Agents receive only the steps for
// which catalog.Step.ForAgents is true.
type ConfigDelta struct {
	_     struct{} `cbor:",toarray"`
	Group uint64
	From  uint64
	To    uint64
	Steps []catalog.Step
}

// Failure is the wire form of a failure.Error.
type Failure struct {
	_          struct{} `cbor:",toarray"`
	Kind       failure.Kind
	Message    string
	Remedy     string
	RetryAfter time.Duration
}

// NewFailure converts err to its wire form. It returns nil if err is nil.
func NewFailure(err error) *Failure {
	if err == nil {
		return nil
	}
	var typed *failure.Error
	if errors.As(err, &typed) {
		return &Failure{Kind: typed.Kind, Message: typed.Message, Remedy: typed.Remedy, RetryAfter: typed.RetryAfter}
	}
	return &Failure{Kind: failure.Internal, Message: err.Error(), Remedy: "report this as a bug"}
}

// ToError converts the failure to a typed error. It returns nil if f is nil.
func (f *Failure) ToError() *failure.Error {
	if f == nil {
		return nil
	}
	return &failure.Error{Kind: f.Kind, Message: f.Message, Remedy: f.Remedy, RetryAfter: f.RetryAfter}
}

// Propose asks a control member to apply an encoded catalog.Command. It may be resent.
type Propose struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64   // echoed in ProposeResult
	Command []byte
}

// ProposeResult is the reply to Propose and contains the outcome of the command.
type ProposeResult struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Revision uint64
	Refused  bool     // the catalog rejected the command: Failure is its outcome, not a transport error
	Failure  *Failure // nil if the command was accepted
}

// AdminKind is the kind of an admin call.
type AdminKind uint8

// The admin calls.
const (
	AdminStatus          AdminKind = iota + 1 // status of the installation, merged from all members
	AdminLocalStatus                          // status as known to the receiving member alone
	AdminAdd                                  // add the member Name at Address
	AdminRemove                               // remove the member Name
	AdminReplace                              // replace the member Name with the process of the same name that has a new data folder
	AdminMembersRevision                      // revision of the group of members as known to the receiving member
)

// AdminCall asks a control member for the status. Name, Address and Forwarded are not used: processes of
// earlier releases changed the group of members with it, without a revision, and such calls are rejected.
type AdminCall struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Kind      AdminKind
	Name      string
	Address   string
	Forwarded bool
}

// MemberChange asks a control member to change the group of members. A member that is not the leader
// forwards it to the leader once; Forwarded marks such a call. The reply is an AdminResult.
type MemberChange struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Kind      AdminKind // AdminAdd, AdminRemove or AdminReplace
	Name      string
	Address   string // for AdminAdd
	Forwarded bool
	// Expected is the revision of the group on which the change is based, from a reply to
	// AdminMembersRevision: the change is rejected if the group has changed since.
	Expected uint64
}

// AdminResult is the reply to AdminCall and MemberChange. Status is set for AdminStatus and
// AdminLocalStatus; for AdminMembersRevision it has only the Revision, which is that of the group.
type AdminResult struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Status  *ControlStatus
	Failure *Failure
}

// ControlStatus describes the group and the processes that subscribe to the configuration.
type ControlStatus struct {
	_         struct{} `cbor:",toarray"`
	Revision  uint64
	Leader    string // name of the leader; empty if unknown
	Members   []MemberStatus
	Processes []ProcessStatus
	Missing   []string // members that sent no status
}

// MemberStatus describes one control member.
type MemberStatus struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Address    string
	Identity   string
	Voter      bool
	Leader     bool
	Synced     uint64        // index of the newest log entry on its disk, as known to the leader
	Heard      time.Duration // time since the leader received a message from it; negative if unknown
	Barred     bool          // its data folder lacks log entries that it has acknowledged
	ReplacedBy string        // identity of the data folder with which a process of this name requested to join; empty if there is none
}

// ProcessStatus describes a process that subscribes to the configuration.
type ProcessStatus struct {
	_                struct{} `cbor:",toarray"`
	ID               string
	Role             Role
	Incarnation      uint64
	AvailabilityZone string
	Address          string
	Member           string // control member to which it is subscribed
	Revision         uint64 // newest revision that it has acknowledged
	Draining         bool
}

// Replication contains a message of the replication protocol between control members.
type Replication struct {
	_       struct{} `cbor:",toarray"`
	Message replication.Message
}

// Presence lists the entries that have a session with the sender. Control members send it to each
// other once a second.
type Presence struct {
	_       struct{} `cbor:",toarray"`
	Entries []PresentEntry
}

// PresentEntry is an entry that has a session with a control member.
type PresentEntry struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
}

// MemberList lists the addresses at which control members accept sessions. It is sent to processes
// that subscribe to the configuration.
type MemberList struct {
	_         struct{} `cbor:",toarray"`
	Addresses []string // host:port
}

// MessageType implements Message.
func (*MemberList) MessageType() Type     { return TypeMemberList }
func (*ConfigSnapshot) MessageType() Type { return TypeConfigSnapshot }
func (*ConfigDelta) MessageType() Type    { return TypeConfigDelta }
func (*ConfigRequest) MessageType() Type  { return TypeConfigRequest }
func (*Propose) MessageType() Type        { return TypePropose }
func (*ProposeResult) MessageType() Type  { return TypeProposeResult }
func (*AdminCall) MessageType() Type      { return TypeAdminCall }
func (*AdminResult) MessageType() Type    { return TypeAdminResult }
func (*MemberChange) MessageType() Type   { return TypeMemberChange }
func (*Replication) MessageType() Type    { return TypeReplication }
func (*Presence) MessageType() Type       { return TypePresence }

var _ = register(map[Type]func() Message{
	TypeConfigSnapshot: func() Message { return new(ConfigSnapshot) },
	TypeConfigDelta:    func() Message { return new(ConfigDelta) },
	TypeConfigRequest:  func() Message { return new(ConfigRequest) },
	TypePropose:        func() Message { return new(Propose) },
	TypeProposeResult:  func() Message { return new(ProposeResult) },
	TypeAdminCall:      func() Message { return new(AdminCall) },
	TypeAdminResult:    func() Message { return new(AdminResult) },
	TypeMemberChange:   func() Message { return new(MemberChange) },
	TypeReplication:    func() Message { return new(Replication) },
	TypePresence:       func() Message { return new(Presence) },
	TypeMemberList:     func() Message { return new(MemberList) },
})
