package main

import (
	"fmt"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/version/catalog"
)

// catalogDriver applies changes to one state machine of the configuration (package catalog).
type catalogDriver struct {
	machine *catalog.Machine
	changes int // operator changes so far
}

func (d *catalogDriver) apply(operation catalog.Operation) error {
	command := catalog.Command{Operation: operation}
	if command.FromOperator() {
		d.changes++
		command.ChangeID = fmt.Sprintf("0196f0c2-7a51-7c1e-9b7a-%012d", d.changes)
		command.ExpectedRevision = d.machine.State().Revision
	}
	data, err := command.Encode()
	if err != nil {
		return err
	}
	return d.machine.Apply(data).Err()
}

func putClass(i int) catalog.Operation {
	return catalog.PutClass{Class: catalog.Class{Name: fmt.Sprintf("class-%05d", i), Upstream: "recipes", AnswerWithin: time.Second, Share: 0.99}}
}

func putOrganisation(i int) catalog.Operation {
	return catalog.PutOrganisation{Organisation: catalog.Organisation{Name: fmt.Sprintf("organisation-%05d", i), Slots: 100 + i}}
}

func announceZone(i int) catalog.Operation {
	return catalog.AnnounceZone{Name: fmt.Sprintf("zone-%05d", i)}
}

func joinEntry(i int) catalog.Operation {
	return catalog.JoinEntry{Entry: catalog.Entry{ID: fmt.Sprintf("entry-%05d", i), Incarnation: 1 << 60, Address: "10.20.30.40:7000", AvailabilityZone: "z1"}}
}

// newCatalogDriver returns a driver after size operations.
func newCatalogDriver(size int, operation func(int) catalog.Operation) (*catalogDriver, error) {
	d := &catalogDriver{machine: catalog.New()}
	for i := range size {
		if err := d.apply(operation(i)); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// measureCatalog measures the cost of the configuration, which the names of the slopes call the
// catalogue.
func measureCatalog(s *suite) error {
	for _, kind := range []struct {
		name      string
		sizes     []int
		operation func(int) catalog.Operation
	}{
		{"class", []int{64, 128, 256, 512, 1024}, putClass},
		{"organisation", []int{64, 128, 256, 512, 1024, 2048, 4096}, putOrganisation},
		{"zone", []int{16, 32, 64, 128, 256}, announceZone},
		{"entry", []int{64, 128, 256, 512, 1024}, joinEntry},
	} {
		err := s.measureHeap("catalogue heap per "+kind.name, "bytes/"+kind.name, "catalog.State alone", kind.sizes, func(size int) (any, error) {
			d, err := newCatalogDriver(size, kind.operation)
			if err != nil {
				return nil, err
			}
			return d.machine.State(), nil
		})
		if err != nil {
			return err
		}
		var encoded []point
		for _, size := range kind.sizes {
			d, err := newCatalogDriver(size, kind.operation)
			if err != nil {
				return err
			}
			frame, err := wire.EncodeFrame([]wire.Message{&wire.ConfigSnapshot{State: *d.machine.State()}})
			if err != nil {
				return err
			}
			encoded = append(encoded, point{float64(size), float64(len(frame))})
		}
		if err := s.addSlope("snapshot bytes per "+kind.name, "bytes/"+kind.name, "ConfigSnapshot on the wire", encoded); err != nil {
			return err
		}
	}
	// Every change is to the same zone, so that only the retained outcomes and steps grow.
	err := s.measureHeap("catalogue heap per remembered change", "bytes/change", "retained outcomes (up to 4,096) and steps (up to 2,048)",
		[]int{250, 500, 1000, 1500, 2000}, func(size int) (any, error) {
			d, err := newCatalogDriver(1, announceZone)
			for i := 0; err == nil && i < size; i++ {
				err = d.apply(catalog.SetZone{Name: "zone-00000", Out: i%2 == 0})
			}
			return d, err
		})
	if err != nil {
		return err
	}
	return measureChanges(s)
}

func measureChanges(s *suite) error {
	for _, organisations := range []int{100, 710, 4000} {
		d, err := newCatalogDriver(organisations, putOrganisation)
		if err != nil {
			return err
		}
		err = s.measureTime(fmt.Sprintf("catalogue change, %d organisations", organisations), "µs/change", "Command.Encode and Machine.Apply of a new quota", 500, func(count int) error {
			for range count {
				if err := d.apply(catalog.PutOrganisation{Organisation: catalog.Organisation{Name: "organisation-00007", Slots: d.changes + 1}}); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	var deltas []point
	d, err := newCatalogDriver(1, announceZone)
	if err != nil {
		return err
	}
	from := d.machine.State().Revision
	for i := range 256 {
		if err := d.apply(catalog.SetZone{Name: "zone-00000", Out: i%2 == 0}); err != nil {
			return err
		}
		if count := i + 1; count == 1 || count == 16 || count == 64 || count == 256 {
			steps, _ := d.machine.StepsSince(from)
			frame, err := wire.EncodeFrame([]wire.Message{&wire.ConfigDelta{Group: 1 << 60, From: from, To: from + uint64(count), Steps: steps}})
			if err != nil {
				return err
			}
			deltas = append(deltas, point{float64(count), float64(len(frame))})
		}
	}
	return s.addSlope("wire bytes per zone change", "bytes/change", "steps of a ConfigDelta; the intercept is the delta itself", deltas)
}
