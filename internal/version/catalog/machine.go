package catalog

import (
	"crypto/sha256"

	"pollenpaddle/internal/failure"
)

const (
	// MaxResults bounds the answers that are kept for resent changes: one day of changes at the
	// target of 4,100 a day. A change that is resent after its answer was dropped is not applied a
	// second time: its expected revision is older than its own first application, so it is
	// answered with RevisionConflict.
	MaxResults = 4096
	// MaxHistory bounds the steps that are kept for processes that lag behind; one that lags
	// further gets the whole state.
	MaxHistory = 1024
	// maxHistoryBytes bounds the size of these steps. A routing configuration takes up to 248 KiB.
	maxHistoryBytes = 2 << 20
	// digestBytes of SHA-256 tell two changes with the same id apart.
	digestBytes = 16
)

// Outcome is the answer to a command.
type Outcome struct {
	Revision uint64         // revision after the command
	Failure  *failure.Error // why the command was refused; nil if it was accepted
}

// Err returns the refusal as an error, nil if the command was accepted.
func (o Outcome) Err() error {
	if o.Failure == nil {
		return nil
	}
	return o.Failure
}

type digest [digestBytes]byte

// result is the remembered answer to one change.
type result struct {
	digest  digest
	outcome Outcome
}

// Machine is the configuration with the answers to past changes. It is not safe for concurrent
// use; the states that it hands out are.
type Machine struct {
	state *State
	// operatorRevision is the revision of the last change by an operator. Entries that join and
	// leave do not make the revision stale that an operator has seen.
	operatorRevision uint64
	results          map[string]result
	order            []string // change ids from the oldest to the newest result
	history          []Step   // the last steps, without gaps
	historyBytes     int      // size of the bodies in history
}

// New returns an empty configuration at FirstRevision.
func New() *Machine {
	return &Machine{
		state: &State{Revision: FirstRevision}, operatorRevision: FirstRevision, results: map[string]result{},
	}
}

// State returns the current configuration. It is never changed afterwards.
func (m *Machine) State() *State { return m.state }

// Apply applies one encoded command from the log. Data that is not a valid command is refused
// and leaves no trace.
func (m *Machine) Apply(data []byte) Outcome {
	command, err := DecodeCommand(data)
	if err != nil {
		return m.refuse(err)
	}
	if !command.FromOperator() {
		return m.change(command.Operation)
	}
	mark := digestOf(data)
	if known, found := m.results[command.ChangeID]; found {
		return m.answer(command.ChangeID, known, mark)
	}
	outcome := m.applyOperator(command)
	m.remember(command.ChangeID, result{digest: mark, outcome: outcome})
	return outcome
}

// RecordedOutcome returns the remembered answer to an encoded command of an operator; false if there is
// none. It is what Apply would return.
func (m *Machine) RecordedOutcome(data []byte) (Outcome, bool) {
	command, err := DecodeCommand(data)
	if err != nil {
		return m.refuse(err), true
	}
	known, found := m.results[command.ChangeID]
	if !found {
		return Outcome{}, false
	}
	return m.answer(command.ChangeID, known, digestOf(data)), true
}

func digestOf(data []byte) digest {
	sum := sha256.Sum256(data)
	return digest(sum[:digestBytes])
}

func (m *Machine) answer(id string, known result, mark digest) Outcome {
	if known.digest == mark {
		return known.outcome
	}
	return m.refuse(invalid("use a new change id for a new change", "change id %q was used for another change", id))
}

func (m *Machine) applyOperator(command Command) Outcome {
	if command.ExpectedRevision < m.operatorRevision || command.ExpectedRevision > m.state.Revision {
		return m.refuse(failure.New(failure.RevisionConflict,
			"read the configuration again, check that the change is still wanted, and send it with the current revision and a new change id",
			"expected revision %d, but the current revision is %d", command.ExpectedRevision, m.state.Revision))
	}
	before := m.state.Revision
	outcome := m.change(command.Operation)
	if m.state.Revision != before {
		m.operatorRevision = m.state.Revision
	}
	return outcome
}

// change applies an operation. One that changes nothing is accepted without a new revision.
func (m *Machine) change(operation Operation) Outcome {
	if err := operation.check(m.state); err != nil {
		return m.refuse(err)
	}
	if operation.redundant(m.state) {
		return Outcome{Revision: m.state.Revision}
	}
	body, err := encodeOperation(operation)
	if err != nil {
		return m.refuse(err)
	}
	m.state = m.state.next(m.state.Revision+1, operation)
	m.keep(Step{Revision: m.state.Revision, Kind: operation.Kind(), Body: body})
	return Outcome{Revision: m.state.Revision}
}

// keep adds a step to the history and drops the oldest ones beyond its limits.
func (m *Machine) keep(step Step) {
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

func (m *Machine) refuse(err error) Outcome {
	typed, ok := err.(*failure.Error)
	if !ok {
		typed = failure.New(failure.KindOf(err), "", "%v", err)
	}
	return Outcome{Revision: m.state.Revision, Failure: typed}
}

func (m *Machine) remember(id string, r result) {
	if len(m.order) >= MaxResults {
		delete(m.results, m.order[0])
		m.order = m.order[1:]
	}
	m.order = append(m.order, id)
	m.results[id] = r
}

// StepsSince returns the steps that lead from the given revision to the current one; false if they are
// no longer kept, and the whole state must be sent.
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
