package catalog

import (
	"crypto/sha256"

	"pollenpaddle/internal/failure"
)

const (
	// MaxOutcomes is the maximum number of outcomes that are kept for resent commands: one day of
	// changes at the target of 4,100 a day. A command that is resent after its outcome was evicted is
	// not applied again: its expected revision is older than the revision of its first application,
	// so it is rejected with RevisionConflict.
	MaxOutcomes = 4096
	// MaxHistory is the largest number of revisions by which a process may lag behind and still receive
	// the individual steps that it lacks (see Step). A process that lags further receives the whole
	// state. Up to 2*MaxHistory steps are kept, so that old steps are removed in batches.
	MaxHistory = 1024
	// maxHistoryBytes is the maximum total size of the steps that are kept. A routing configuration
	// takes up to 248 KiB.
	maxHistoryBytes = 2 << 20
	// digestBytes is the length of the truncated SHA-256 digest that distinguishes two commands with
	// the same change id.
	digestBytes = 16
)

// Outcome states whether a command succeeded, and the revision after it.
type Outcome struct {
	Revision uint64         // revision after the command
	Failure  *failure.Error // why the command was rejected; nil if it succeeded
}

// Err returns Failure as an error, or nil if the command succeeded.
func (o Outcome) Err() error {
	if o.Failure == nil {
		return nil
	}
	return o.Failure
}

type digest [digestBytes]byte

// recordedOutcome is the outcome of one operator command, kept for resent commands.
type recordedOutcome struct {
	digest  digest
	outcome Outcome
}

// Machine is the state machine of the configuration. It also records the outcomes of recent
// operator commands. It is not safe for concurrent use; the states that it returns are immutable.
type Machine struct {
	state *State
	// operatorRevision is the revision of the last change by an operator. Changes by processes, such
	// as entries that join and leave, do not invalidate the expected revision of an operator.
	operatorRevision uint64
	outcomes         map[string]recordedOutcome
	order            []string // change ids of outcomes, oldest first
	history          []Step   // the most recent steps, without gaps
	historyBytes     int      // total size of the bodies in history
}

// New returns an empty configuration at FirstRevision.
func New() *Machine {
	return &Machine{
		state: &State{Revision: FirstRevision}, operatorRevision: FirstRevision, outcomes: map[string]recordedOutcome{},
	}
}

// State returns the current configuration, which is immutable.
func (m *Machine) State() *State { return m.state }

// Apply applies one encoded command from the log. Data that is not a valid command is rejected and
// does not change the state machine.
func (m *Machine) Apply(data []byte) Outcome {
	command, version, err := decodeCommand(data)
	if err != nil {
		return m.reject(err)
	}
	if !command.FromOperator() {
		return m.applyOperation(command.Operation, false)
	}
	sum := digestOf(command)
	if recorded, found := m.outcomes[command.ChangeID]; found {
		return m.outcomeOfResent(command.ChangeID, recorded, sum)
	}
	outcome := m.applyOperatorCommand(command, version >= operatorCommandVersion)
	m.recordOutcome(command.ChangeID, recordedOutcome{digest: sum, outcome: outcome})
	return outcome
}

// RecordedOutcome returns what Apply would return for an encoded operator command whose outcome is
// recorded or that cannot be decoded; false for any other command.
func (m *Machine) RecordedOutcome(data []byte) (Outcome, bool) {
	command, err := DecodeCommand(data)
	if err != nil {
		return m.reject(err), true
	}
	recorded, found := m.outcomes[command.ChangeID]
	if !found {
		return Outcome{}, false
	}
	return m.outcomeOfResent(command.ChangeID, recorded, digestOf(command)), true
}

// digestOf returns the digest of a command, which does not depend on the version of its encoding: a
// command may be resent after an upgrade.
func digestOf(command Command) digest {
	data, _ := command.encode(firstCommandVersion) // succeeds, because the command was decoded
	sum := sha256.Sum256(data)
	return digest(sum[:digestBytes])
}

// outcomeOfResent returns the recorded outcome of a resent command, or a failure if the change id
// was used for another command.
func (m *Machine) outcomeOfResent(id string, recorded recordedOutcome, sum digest) Outcome {
	if recorded.digest == sum {
		return recorded.outcome
	}
	return m.reject(invalid("use a new change id for a new change", "change id %q was used for another change", id))
}

// applyOperatorCommand applies a command of an operator. The parameter always is that of applyOperation.
func (m *Machine) applyOperatorCommand(command Command, always bool) Outcome {
	if command.ExpectedRevision < m.lastConflicting(command.Operation) || command.ExpectedRevision > m.state.Revision {
		return m.reject(failure.New(failure.RevisionConflict,
			"read the configuration again, check that the change is still wanted, and send it with the current revision and a new change id",
			"expected revision %d, but the current revision is %d", command.ExpectedRevision, m.state.Revision))
	}
	before := m.state.Revision
	outcome := m.applyOperation(command.Operation, always)
	if m.state.Revision != before {
		m.operatorRevision = m.state.Revision
	}
	return outcome
}

// lastConflicting returns the revision of the last change that conflicts with an operator's operation.
// The expected revision of its command must not be lower.
func (m *Machine) lastConflicting(operation Operation) uint64 {
	if o, ok := operation.(SetZoneIfUnchanged); ok {
		zone, _ := m.state.AvailabilityZone(o.Name)
		return zone.Revision
	}
	return m.operatorRevision
}

// applyOperation applies an operation. An operation without effect succeeds; it creates a revision only
// if always is true. Commands of operators do so, because an earlier command with the same expected
// revision that arrives later must conflict with an accepted one.
func (m *Machine) applyOperation(operation Operation, always bool) Outcome {
	if err := operation.check(m.state); err != nil {
		return m.reject(err)
	}
	if !always && operation.isNoOp(m.state) {
		return Outcome{Revision: m.state.Revision}
	}
	body, err := encodeOperation(operation)
	if err != nil {
		return m.reject(err)
	}
	m.state = m.state.next(m.state.Revision+1, operation)
	m.appendHistory(Step{Revision: m.state.Revision, Kind: operation.Kind(), Body: body})
	return Outcome{Revision: m.state.Revision}
}

// appendHistory appends a step to the history and evicts the oldest steps if a limit is exceeded.
func (m *Machine) appendHistory(step Step) {
	drop := 0
	if len(m.history) >= 2*MaxHistory {
		drop = len(m.history) - MaxHistory
	}
	m.history = append(m.history, step)
	m.historyBytes += step.historySize()
	for i := range m.history {
		if i >= drop && m.historyBytes <= maxHistoryBytes {
			break
		}
		m.historyBytes -= m.history[i].historySize()
		drop = max(drop, i+1)
	}
	if drop > 0 {
		m.history = append([]Step(nil), m.history[drop:]...)
	}
}

func (m *Machine) reject(err error) Outcome {
	typed, ok := err.(*failure.Error)
	if !ok {
		typed = failure.New(failure.KindOf(err), "", "%v", err)
	}
	return Outcome{Revision: m.state.Revision, Failure: typed}
}

func (m *Machine) recordOutcome(id string, r recordedOutcome) {
	if len(m.order) >= MaxOutcomes {
		delete(m.outcomes, m.order[0])
		m.order = m.order[1:]
	}
	m.order = append(m.order, id)
	m.outcomes[id] = r
}

// StepsSince returns the steps after the given revision, up to the current one; false if they are no
// longer retained, so that the whole state must be sent.
func (m *Machine) StepsSince(revision uint64) ([]Step, bool) {
	if revision >= m.state.Revision {
		return nil, true
	}
	missing := m.state.Revision - revision
	if missing > uint64(min(len(m.history), MaxHistory)) {
		return nil, false
	}
	return append([]Step(nil), m.history[uint64(len(m.history))-missing:]...), true
}
