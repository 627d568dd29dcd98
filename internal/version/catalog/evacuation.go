package catalog

// SetZoneIfUnchanged takes an availability zone out of service or returns it to service, unless the zone
// was changed after the expected revision. Unlike SetZone, it does not conflict with other changes of
// operators and adds an unknown zone.
type SetZoneIfUnchanged struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Out  bool
}

// EvacuateZone takes an availability zone out of service or returns it to service, whatever has changed
// since it was requested. It is read from the logs of earlier releases and must not be proposed: a copy
// that is applied late undoes a newer change.
type EvacuateZone struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Out  bool
}

// Kind implements Operation.
func (SetZoneIfUnchanged) Kind() Kind { return KindSetZoneIfUnchanged }
func (EvacuateZone) Kind() Kind       { return KindEvacuateZone }

// Validate implements Operation.
func (o SetZoneIfUnchanged) Validate() error { return ValidateName("availability zone", o.Name) }
func (o EvacuateZone) Validate() error       { return ValidateName("availability zone", o.Name) }

func (o SetZoneIfUnchanged) check(s *State) error {
	return checkLimit("availability zones", s.AvailabilityZones, o.Name, MaxAvailabilityZones)
}

func (o EvacuateZone) check(s *State) error { return SetZoneIfUnchanged(o).check(s) }

func (o SetZoneIfUnchanged) isNoOp(s *State) bool { return EvacuateZone(o).isNoOp(s) }

func (o EvacuateZone) isNoOp(s *State) bool {
	zone, known := s.AvailabilityZone(o.Name)
	return known && zone.Out == o.Out
}

func (o SetZoneIfUnchanged) apply(s *State) { SetZone(o).apply(s) }
func (o EvacuateZone) apply(s *State)       { SetZone(o).apply(s) }
