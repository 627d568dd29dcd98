package catalog

import (
	"slices"

	"pollenpaddle/internal/failure"
)

// snapshotVersion is incremented when the encoding of snapshots changes.
const snapshotVersion = 1

type encodedSnapshot struct {
	_                struct{} `cbor:",toarray"`
	Version          uint8
	State            State
	OperatorRevision uint64
	Results          []encodedOutcome // outcomes of operator commands, oldest first
}

type encodedOutcome struct {
	_        struct{} `cbor:",toarray"`
	ChangeID string
	Digest   []byte
	Revision uint64
	Kind     failure.Kind // empty if the command succeeded
	Message  string
	Remedy   string
}

// Encode returns a snapshot of the state machine, including the recorded outcomes of operator
// commands. The history of steps is not part of it.
func (m *Machine) Encode() ([]byte, error) {
	s := encodedSnapshot{Version: snapshotVersion, State: *m.state, OperatorRevision: m.operatorRevision}
	for _, id := range m.order {
		r := m.outcomes[id]
		e := encodedOutcome{ChangeID: id, Digest: r.digest[:], Revision: r.outcome.Revision}
		if f := r.outcome.Failure; f != nil {
			e.Kind, e.Message, e.Remedy = f.Kind, f.Message, f.Remedy
		}
		s.Results = append(s.Results, e)
	}
	data, err := encodingMode.Marshal(s)
	if err != nil {
		return nil, failure.New(failure.Internal, "report this as a bug", "cannot encode a snapshot: %v", err)
	}
	return data, nil
}

// Decode restores a state machine from a snapshot.
func Decode(data []byte) (*Machine, error) {
	var s encodedSnapshot
	if err := decodingMode.Unmarshal(data, &s); err != nil {
		return nil, malformed("snapshot", err)
	}
	if s.Version != snapshotVersion {
		return nil, invalid("run a release that reads this version", "snapshot has version %d, this release reads %d", s.Version, snapshotVersion)
	}
	if err := s.State.Validate(); err != nil {
		return nil, err
	}
	if s.OperatorRevision < FirstRevision || s.OperatorRevision > s.State.Revision || len(s.Results) > MaxOutcomes {
		return nil, invalid("report this as a bug", "snapshot has an operator revision or a number of outcomes that is out of range")
	}
	m := &Machine{state: &s.State, operatorRevision: s.OperatorRevision, outcomes: make(map[string]recordedOutcome, len(s.Results))}
	for _, e := range s.Results {
		if err := m.restoreOutcome(e); err != nil {
			return nil, err
		}
	}
	m.order = slices.Clip(m.order)
	return m, nil
}

func (m *Machine) restoreOutcome(e encodedOutcome) error {
	_, duplicate := m.outcomes[e.ChangeID]
	if duplicate || len(e.Digest) != digestBytes || ValidateName("change id", e.ChangeID) != nil {
		return invalid("report this as a bug", "snapshot contains a malformed outcome of the command with change id %q", truncate(e.ChangeID))
	}
	r := recordedOutcome{digest: digest(e.Digest), outcome: Outcome{Revision: e.Revision}}
	if e.Kind != "" {
		r.outcome.Failure = &failure.Error{Kind: e.Kind, Message: e.Message, Remedy: e.Remedy}
	}
	m.order = append(m.order, e.ChangeID)
	m.outcomes[e.ChangeID] = r
	return nil
}
