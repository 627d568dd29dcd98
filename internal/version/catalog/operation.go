package catalog

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"pollenpaddle/internal/failure"
)

// Kind is the number of an operation in the log and on the wire. Numbers are never reused.
type Kind uint8

// The kinds of operation. Those up to KindSetZone and KindSetZoneIfUnchanged belong to commands of
// operators, with a change id and an expected revision; the others belong to commands of processes.
const (
	KindPutClass Kind = iota + 1
	KindRetireClass
	KindPutOrganisation
	KindRetireOrganisation
	KindSetZone
	KindAnnounceZone
	KindJoinEntry
	KindLeaveEntry
	KindPutRouting
	KindEvacuateZone
	KindSetZoneIfUnchanged
)

// Operation is one change of the configuration: PutClass, RetireClass, PutOrganisation,
// RetireOrganisation, SetZone, AnnounceZone, JoinEntry, LeaveEntry, PutRouting, EvacuateZone or
// SetZoneIfUnchanged.
type Operation interface {
	// Kind returns the number of the operation.
	Kind() Kind
	// Validate checks the fields, independent of any state.
	Validate() error
	// check returns an error if the operation cannot be applied to s. The message and remedy are
	// stored in snapshots as the outcome of an operator command.
	check(s *State) error
	// isNoOp reports whether the operation has no effect on s.
	isNoOp(s *State) bool
	// apply changes s, a shallow copy of a state. It replaces the lists of s and does not write to
	// them. It inserts missing items, so that it can also be applied to an AgentView.
	apply(s *State)
}

// PutClass creates or changes a class and reactivates a retired one. The fields Retired and
// Revision of the class are ignored.
type PutClass struct {
	_     struct{} `cbor:",toarray"`
	Class Class
}

// RetireClass retires a class: new work of the class is rejected.
type RetireClass struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// PutOrganisation creates an organisation or changes its quota, and reactivates a retired one. The
// fields Retired and Revision of the organisation are ignored.
type PutOrganisation struct {
	_            struct{} `cbor:",toarray"`
	Organisation Organisation
}

// RetireOrganisation retires an organisation: its new work is rejected.
type RetireOrganisation struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// SetZone takes a known availability zone out of service or returns it to service.
type SetZone struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Out  bool
}

// AnnounceZone adds an availability zone in service unless it is already known.
type AnnounceZone struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// JoinEntry adds an entry to the list of entries, or replaces an earlier incarnation of it.
type JoinEntry struct {
	_     struct{} `cbor:",toarray"`
	Entry Entry
}

// LeaveEntry removes an entry from the list of entries unless another incarnation of it is listed.
type LeaveEntry struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
}

// Kind implements Operation.
func (PutClass) Kind() Kind           { return KindPutClass }
func (RetireClass) Kind() Kind        { return KindRetireClass }
func (PutOrganisation) Kind() Kind    { return KindPutOrganisation }
func (RetireOrganisation) Kind() Kind { return KindRetireOrganisation }
func (SetZone) Kind() Kind            { return KindSetZone }
func (AnnounceZone) Kind() Kind       { return KindAnnounceZone }
func (JoinEntry) Kind() Kind          { return KindJoinEntry }
func (LeaveEntry) Kind() Kind         { return KindLeaveEntry }

// Validate implements Operation.
func (o PutClass) Validate() error           { return o.Class.validate() }
func (o RetireClass) Validate() error        { return ValidateName("class", o.Name) }
func (o PutOrganisation) Validate() error    { return o.Organisation.validate() }
func (o RetireOrganisation) Validate() error { return ValidateName("organisation", o.Name) }
func (o SetZone) Validate() error            { return ValidateName("availability zone", o.Name) }
func (o AnnounceZone) Validate() error       { return ValidateName("availability zone", o.Name) }
func (o JoinEntry) Validate() error          { return o.Entry.validate() }
func (o LeaveEntry) Validate() error         { return ValidateName("entry", o.ID) }

// checkLimit returns an error if the list is full and does not contain the key. Its texts are stored in
// snapshots, so they must not be changed. The remedy does not apply to availability zones and entries, which
// cannot be retired.
func checkLimit[T keyed](what string, list []T, key string, limit int) error {
	if _, found := search(list, key); found || len(list) < limit {
		return nil
	}
	return invalid("retire what is no longer used", "the configuration already has %d %s, the limit", limit, what)
}

func notFound(what, name, remedy string) error {
	return failure.New(failure.NotFound, remedy, "%s %q does not exist", what, name)
}

func (o PutClass) check(s *State) error {
	return checkLimit("classes in use", inUse(s.Classes, Class.retiredAt), o.Class.Name, MaxClasses)
}

func (o RetireClass) check(s *State) error {
	if _, found := s.Class(o.Name); !found {
		return notFound("class", o.Name, "list the classes with GET /v1/classes")
	}
	return nil
}

func (o PutOrganisation) check(s *State) error {
	return checkLimit("organisations in use", inUse(s.Organisations, Organisation.retiredAt), o.Organisation.Name, MaxOrganisations)
}

func (o RetireOrganisation) check(s *State) error {
	if _, found := s.Organisation(o.Name); !found {
		return notFound("organisation", o.Name, "list the organisations with GET /v1/organisations")
	}
	return nil
}

// check rejects an unknown zone, so that a misspelt name is not mistaken for a zone taken out of
// service.
func (o SetZone) check(s *State) error {
	if _, found := s.AvailabilityZone(o.Name); !found {
		return notFound("availability zone", o.Name, "list the zones with GET /v1/zones; a zone becomes known when a process in it starts")
	}
	return nil
}

func (o AnnounceZone) check(s *State) error {
	return checkLimit("availability zones", s.AvailabilityZones, o.Name, MaxAvailabilityZones)
}

func (o JoinEntry) check(s *State) error {
	return checkLimit("entries", s.Entries, o.Entry.ID, MaxEntries)
}

func (LeaveEntry) check(*State) error { return nil }

func (o PutClass) isNoOp(s *State) bool {
	known, found := s.Class(o.Class.Name)
	wanted := o.Class
	wanted.Retired, wanted.Revision = false, known.Revision
	return found && known == wanted
}

func (o RetireClass) isNoOp(s *State) bool {
	known, _ := s.Class(o.Name)
	return known.Retired
}

func (o PutOrganisation) isNoOp(s *State) bool {
	known, found := s.Organisation(o.Organisation.Name)
	wanted := o.Organisation
	wanted.Retired, wanted.Revision = false, known.Revision
	return found && known == wanted
}

func (o RetireOrganisation) isNoOp(s *State) bool {
	known, _ := s.Organisation(o.Name)
	return known.Retired
}

func (o SetZone) isNoOp(s *State) bool { return s.ZoneOut(o.Name) == o.Out }

func (o AnnounceZone) isNoOp(s *State) bool {
	_, found := s.AvailabilityZone(o.Name)
	return found
}

func (o JoinEntry) isNoOp(s *State) bool {
	known, found := s.Entry(o.Entry.ID)
	return found && known == o.Entry
}

func (o LeaveEntry) isNoOp(s *State) bool {
	known, found := s.Entry(o.ID)
	return !found || known.Incarnation != o.Incarnation
}

func (o PutClass) apply(s *State) {
	class := o.Class
	class.Retired, class.Revision = false, s.Revision
	s.Classes = upsert(evictRetired(s.Classes, class.Name, MaxClasses, Class.retiredAt), class)
}

func (o RetireClass) apply(s *State) {
	class, _ := s.Class(o.Name)
	class.Retired, class.Revision = true, s.Revision
	s.Classes = upsert(s.Classes, class)
}

func (o PutOrganisation) apply(s *State) {
	organisation := o.Organisation
	organisation.Retired, organisation.Revision = false, s.Revision
	s.Organisations = upsert(evictRetired(s.Organisations, organisation.Name, MaxOrganisations, Organisation.retiredAt), organisation)
}

func (o RetireOrganisation) apply(s *State) {
	organisation, _ := s.Organisation(o.Name)
	organisation.Retired, organisation.Revision = true, s.Revision
	s.Organisations = upsert(s.Organisations, organisation)
}

func (o SetZone) apply(s *State) {
	s.AvailabilityZones = upsert(s.AvailabilityZones, AvailabilityZone{Name: o.Name, Out: o.Out, Revision: s.Revision})
}

func (o AnnounceZone) apply(s *State) {
	s.AvailabilityZones = upsert(s.AvailabilityZones, AvailabilityZone{Name: o.Name, Revision: s.Revision})
}

func (o JoinEntry) apply(s *State)  { s.Entries = upsert(s.Entries, o.Entry) }
func (o LeaveEntry) apply(s *State) { s.Entries = without(s.Entries, o.ID) }

// retiredAt returns the revision at which the class was retired; false if it is in use.
func (c Class) retiredAt() (uint64, bool) { return c.Revision, c.Retired }

// retiredAt returns the revision at which the organisation was retired; false if it is in use.
func (o Organisation) retiredAt() (uint64, bool) { return o.Revision, o.Retired }

func inUse[T keyed](list []T, retiredAt func(T) (uint64, bool)) []T {
	var used []T
	for _, item := range list {
		if _, isRetired := retiredAt(item); !isRetired {
			used = append(used, item)
		}
	}
	return used
}

// evictRetired returns list without the item that was retired first if list is full and does not
// contain key.
func evictRetired[T keyed](list []T, key string, limit int, retiredAt func(T) (uint64, bool)) []T {
	if _, found := search(list, key); found || len(list) < limit {
		return list
	}
	oldest, revision := -1, uint64(0)
	for i, item := range list {
		if at, isRetired := retiredAt(item); isRetired && (oldest < 0 || at < revision) {
			oldest, revision = i, at
		}
	}
	if oldest < 0 {
		return list
	}
	return slices.Delete(slices.Clone(list), oldest, oldest+1)
}

// Step is the encoded operation that led to a revision.
type Step struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Kind     Kind
	Body     cbor.RawMessage
}

// ForAgents reports whether the step affects the AgentView. The view contains only the zones that are
// out of service, and an announced zone is in service.
func (s Step) ForAgents() bool {
	return s.Kind == KindSetZone || s.Kind == KindJoinEntry || s.Kind == KindLeaveEntry || s.Kind == KindEvacuateZone ||
		s.Kind == KindSetZoneIfUnchanged
}

// CompactSteps returns the steps without those whose routing configuration a later one of them replaces.
// Applied in order, they lead to the same state. A process that missed many versions gets the last one only.
func CompactSteps(steps []Step) []Step {
	last := -1
	for i := range steps {
		if steps[i].Kind == KindPutRouting {
			last = i
		}
	}
	kept := make([]Step, 0, len(steps))
	for i, step := range steps {
		if step.Kind != KindPutRouting || i == last {
			kept = append(kept, step)
		}
	}
	return kept
}

// ApplyStep returns the state after the step. The revision of the step must be higher than that of
// s.
func (s *State) ApplyStep(step Step) (*State, error) {
	if step.Revision <= s.Revision {
		return nil, invalid("report this as a bug", "step to revision %d does not follow revision %d", step.Revision, s.Revision)
	}
	operation, err := decodeOperation(step.Kind, step.Body)
	if err != nil {
		return nil, err
	}
	return s.next(step.Revision, operation), nil
}

func (s *State) next(revision uint64, operation Operation) *State {
	next := *s
	next.Revision = revision
	operation.apply(&next)
	return &next
}

// AtRevision returns a copy of the state with a later revision that did not change it.
func (s *State) AtRevision(revision uint64) *State {
	next := *s
	next.Revision = revision
	return &next
}
