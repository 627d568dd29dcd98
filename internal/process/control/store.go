package control

import (
	"sync"
	"sync/atomic"

	"pollenpaddle/internal/version/catalog"
)

// store applies the replicated log to the catalog; it implements replica.StateMachine. Apply and Restore
// are called on the replica's goroutine; the other methods may be called on any goroutine.
type store struct {
	onChange func() // called after a new revision; must not block

	mu      sync.Mutex // guards machine
	machine *catalog.Machine
	state   atomic.Pointer[catalog.State]
	changes atomic.Uint64 // revisions applied by this process
}

func newStore(onChange func()) *store {
	s := &store{onChange: onChange, machine: catalog.New()}
	s.state.Store(s.machine.State())
	return s
}

// Apply implements replica.StateMachine.
func (s *store) Apply(_ uint64, data []byte) {
	s.mu.Lock()
	s.machine.Apply(data)
	next := s.machine.State()
	s.mu.Unlock()
	if next != s.state.Swap(next) {
		s.changes.Add(1)
		s.onChange()
	}
}

// Snapshot implements replica.StateMachine.
func (s *store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Encode()
}

// Restore implements replica.StateMachine.
func (s *store) Restore(_ uint64, snapshot []byte) error {
	machine, err := catalog.Decode(snapshot)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.machine = machine
	s.mu.Unlock()
	s.state.Store(machine.State())
	s.onChange()
	return nil
}

// State returns the newest applied configuration.
func (s *store) State() *catalog.State { return s.state.Load() }

// stepsSince returns the current state and the steps that lead to it from a revision; false if those
// steps are no longer kept.
func (s *store) stepsSince(revision uint64) (*catalog.State, []catalog.Step, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	steps, kept := s.machine.StepsSince(revision)
	return s.machine.State(), steps, kept
}

// recordedOutcome returns the recorded outcome of an operator's command.
func (s *store) recordedOutcome(data []byte) (catalog.Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.RecordedOutcome(data)
}
