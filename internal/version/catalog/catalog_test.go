package catalog_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/testutil"
	"pollenpaddle/internal/version/catalog"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func TestCatalog(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "catalog")
}

// referenceModel is a simple implementation of the state machine with maps. It retains every
// outcome.
type referenceModel struct {
	revision, operatorRevision uint64
	classes                    map[string]catalog.Class
	organisations              map[string]catalog.Organisation
	zones                      map[string]catalog.AvailabilityZone
	entries                    map[string]catalog.Entry
	outcomes                   map[string]referenceOutcome
	routing                    catalog.Routing // version 0 if there is none
}

type referenceOutcome struct {
	command catalog.Command
	kind    failure.Kind
	at      uint64
}

func newReferenceModel() *referenceModel {
	return &referenceModel{
		1, 1,
		map[string]catalog.Class{},
		map[string]catalog.Organisation{},
		map[string]catalog.AvailabilityZone{},
		map[string]catalog.Entry{},
		map[string]referenceOutcome{},
		catalog.Routing{},
	}
}

func (n *referenceModel) apply(c catalog.Command) (failure.Kind, uint64) {
	if c.ChangeID == "" {
		return n.run(c.Operation), n.revision
	}
	if first, seen := n.outcomes[c.ChangeID]; seen {
		if reflect.DeepEqual(first.command, c) {
			return first.kind, first.at
		}
		return failure.InvalidArgument, n.revision
	}
	outcome := referenceOutcome{command: c, kind: failure.RevisionConflict}
	last := n.operatorRevision
	if o, ok := c.Operation.(catalog.SetZoneIfUnchanged); ok {
		last = n.zones[o.Name].Revision
	}
	if c.ExpectedRevision >= last && c.ExpectedRevision <= n.revision {
		before := n.revision
		outcome.kind = n.run(c.Operation)
		if outcome.kind == "" && n.revision == before {
			n.touch(c.Operation)
		}
		if n.revision > before {
			n.operatorRevision = n.revision
		}
	}
	outcome.at = n.revision
	n.outcomes[c.ChangeID] = outcome
	return outcome.kind, outcome.at
}

func put[T comparable](n *referenceModel, m map[string]T, key string, old, wanted T, withRevision func(T) T) failure.Kind {
	if _, found := m[key]; !found || old != wanted {
		n.revision++
		m[key] = withRevision(wanted)
	}
	return ""
}

// touch applies an operation of an operator that has no effect: it creates a revision.
func (n *referenceModel) touch(operation catalog.Operation) {
	n.revision++
	switch o := operation.(type) {
	case catalog.PutClass:
		c := n.classes[o.Class.Name]
		c.Revision = n.revision
		n.classes[c.Name] = c
	case catalog.RetireClass:
		c := n.classes[o.Name]
		c.Revision = n.revision
		n.classes[c.Name] = c
	case catalog.PutOrganisation:
		c := n.organisations[o.Organisation.Name]
		c.Revision = n.revision
		n.organisations[c.Name] = c
	case catalog.RetireOrganisation:
		c := n.organisations[o.Name]
		c.Revision = n.revision
		n.organisations[c.Name] = c
	case catalog.SetZone:
		c := n.zones[o.Name]
		c.Revision = n.revision
		n.zones[o.Name] = c
	}
}

func (n *referenceModel) run(operation catalog.Operation) failure.Kind {
	class := func(c catalog.Class) catalog.Class { c.Revision = n.revision; return c }
	organisation := func(o catalog.Organisation) catalog.Organisation { o.Revision = n.revision; return o }
	zone := func(z catalog.AvailabilityZone) catalog.AvailabilityZone { z.Revision = n.revision; return z }
	switch o := operation.(type) {
	case catalog.PutClass:
		wanted, old := o.Class, n.classes[o.Class.Name]
		wanted.Revision = old.Revision
		return put(n, n.classes, wanted.Name, old, wanted, class)
	case catalog.RetireClass:
		old, found := n.classes[o.Name]
		if !found {
			return failure.NotFound
		}
		wanted := old
		wanted.Retired = true
		return put(n, n.classes, o.Name, old, wanted, class)
	case catalog.PutOrganisation:
		wanted, old := o.Organisation, n.organisations[o.Organisation.Name]
		wanted.Revision = old.Revision
		return put(n, n.organisations, wanted.Name, old, wanted, organisation)
	case catalog.RetireOrganisation:
		old, found := n.organisations[o.Name]
		if !found {
			return failure.NotFound
		}
		wanted := old
		wanted.Retired = true
		return put(n, n.organisations, o.Name, old, wanted, organisation)
	case catalog.SetZone:
		old, found := n.zones[o.Name]
		if !found {
			return failure.NotFound
		}
		wanted := old
		wanted.Out = o.Out
		return put(n, n.zones, o.Name, old, wanted, zone)
	case catalog.EvacuateZone:
		old := n.zones[o.Name]
		return put(n, n.zones, o.Name, old, catalog.AvailabilityZone{Name: o.Name, Out: o.Out, Revision: old.Revision}, zone)
	case catalog.SetZoneIfUnchanged:
		n.revision++
		n.zones[o.Name] = zone(catalog.AvailabilityZone{Name: o.Name, Out: o.Out})
	case catalog.PutRouting:
		if o.Routing.Version > n.routing.Version {
			n.routing = o.Routing
			n.revision++
		}
	case catalog.AnnounceZone:
		old := n.zones[o.Name]
		if old.Name == "" {
			return put(n, n.zones, o.Name, old, catalog.AvailabilityZone{Name: o.Name}, zone)
		}
	case catalog.JoinEntry:
		return put(n, n.entries, o.Entry.ID, n.entries[o.Entry.ID], o.Entry, func(e catalog.Entry) catalog.Entry { return e })
	case catalog.LeaveEntry:
		if known, found := n.entries[o.ID]; found && known.Incarnation == o.Incarnation {
			delete(n.entries, o.ID)
			n.revision++
		}
	}
	return ""
}

func (n *referenceModel) matches(s *catalog.State) bool {
	same := s.Revision == n.revision && len(s.Classes) == len(n.classes) && len(s.Organisations) == len(n.organisations) &&
		len(s.AvailabilityZones) == len(n.zones) && len(s.Entries) == len(n.entries)
	for name, want := range n.classes {
		got, _ := s.Class(name)
		same = same && got == want
	}
	for name, want := range n.organisations {
		got, _ := s.Organisation(name)
		same = same && got == want
	}
	for name, want := range n.zones {
		got, _ := s.AvailabilityZone(name)
		same = same && got == want
	}
	for id, want := range n.entries {
		got, _ := s.Entry(id)
		same = same && got == want
	}
	if s.Routing == nil {
		return same && n.routing.Version == 0
	}
	return same && s.Routing.Version == n.routing.Version && string(s.Routing.Document) == string(n.routing.Document)
}

func drawOperation(t *rapid.T) catalog.Operation {
	name := rapid.SampledFrom([]string{"a", "b", "Örebro", "d"}).Draw(t, "name")
	number := rapid.IntRange(1, 3).Draw(t, "number")
	switch rapid.IntRange(1, 11).Draw(t, "kind") {
	case 1:
		return catalog.PutClass{Class: catalog.Class{Name: name, Upstream: "kitchen", AnswerWithin: time.Second, Share: float64(number) / 4}}
	case 2:
		return catalog.RetireClass{Name: name}
	case 3:
		return catalog.PutOrganisation{Organisation: catalog.Organisation{Name: name, Slots: number}}
	case 4:
		return catalog.RetireOrganisation{Name: name}
	case 5:
		return catalog.SetZone{Name: name, Out: number > 1}
	case 6:
		return catalog.AnnounceZone{Name: name}
	case 7:
		return catalog.JoinEntry{Entry: catalog.Entry{ID: name, Incarnation: uint64(number), Address: "127.0.0.1:7400", AvailabilityZone: "a"}}
	case 8:
		return catalog.EvacuateZone{Name: name, Out: number > 1}
	case 9:
		return catalog.PutRouting{Routing: catalog.Routing{Version: uint64(number), Document: []byte(name)}}
	case 10:
		return catalog.SetZoneIfUnchanged{Name: name, Out: number > 1}
	default:
		return catalog.LeaveEntry{ID: name, Incarnation: uint64(number)}
	}
}

func drawCommand(t *rapid.T, revision uint64) catalog.Command {
	c := catalog.Command{Operation: drawOperation(t)}
	if c.FromOperator() {
		c.ChangeID = fmt.Sprint("change", rapid.IntRange(1, 60).Draw(t, "change"))
		c.ExpectedRevision = revision
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			c.ExpectedRevision = rapid.Uint64Range(1, revision+1).Draw(t, "expected")
		}
	}
	return c
}

// format returns the text of a state and of the values that it points to, so that equal states have
// equal texts.
func format(s *catalog.State) string {
	if s.Routing == nil {
		return fmt.Sprint(*s)
	}
	rest := *s
	rest.Routing = nil
	return fmt.Sprint(rest, *s.Routing)
}

var _ = ginkgo.Describe("Machine", func() {
	// Guards against an outcome, revision or state that differs from the reference model, snapshots
	// that lose outcomes, steps that lead to another state than the log, and returned states that
	// change.
	ginkgo.It("agrees with the reference model under resends, restarts and lagging processes", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			machine, reference := catalog.New(), newReferenceModel()
			process, agent := machine.State(), machine.State().AgentView()
			var sent []catalog.Command
			returned, formatted := machine.State(), format(machine.State())
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				c := drawCommand(t, reference.revision)
				if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "resend") == 0 {
					c = rapid.SampledFrom(sent).Draw(t, "earlier")
				}
				sent = append(sent, c)
				data, err := c.Encode()
				if err != nil {
					t.Fatalf("cannot encode %+v: %v", c, err)
				}
				outcome := machine.Apply(data)
				kind, at := reference.apply(c)
				if outcome.Revision != at || (outcome.Failure == nil) != (kind == "") || outcome.Failure != nil && outcome.Failure.Kind != kind {
					t.Fatalf("%+v: got %+v, want %q at %d", c, outcome, kind, at)
				}
				if !reference.matches(machine.State()) {
					t.Fatalf("after %+v: got %+v, want %+v", c, machine.State(), reference)
				}
				if format(returned) != formatted {
					t.Fatalf("a state changed after it was returned")
				}
				switch rapid.IntRange(0, 9).Draw(t, "event") {
				case 0:
					machine = reload(t, machine)
				case 1, 2:
					process = follow(t, machine, process, false)
					agent = follow(t, machine, agent, true)
				case 3:
					returned, formatted = machine.State(), format(machine.State())
				}
			}
		})
	})

	ginkgo.It("returns the recorded outcome of a resent command until it is evicted and never applies it twice", func() {
		m := catalog.New()
		first := encode(catalog.Command{ChangeID: "first", ExpectedRevision: 1, Operation: putOrganisation("a", 1)})
		gomega.Expect(m.Apply(first)).To(gomega.Equal(catalog.Outcome{Revision: 2}))
		for i := range catalog.MaxOutcomes {
			gomega.Expect(m.Apply(first)).To(gomega.Equal(catalog.Outcome{Revision: 2}))
			m.Apply(encode(catalog.Command{ChangeID: fmt.Sprint("c", i), ExpectedRevision: m.State().Revision, Operation: putOrganisation("a", 2+i%2)}))
		}
		outcome := m.Apply(first)
		gomega.Expect(outcome.Failure.Kind).To(gomega.Equal(failure.RevisionConflict))
		gomega.Expect(outcome.Failure.Message).To(gomega.ContainSubstring("current revision is %d", m.State().Revision))
		gomega.Expect(outcome.Failure.Remedy).NotTo(gomega.BeEmpty())
		_, kept := m.StepsSince(m.State().Revision - catalog.MaxHistory)
		gomega.Expect(kept).To(gomega.BeTrue())
		_, kept = m.StepsSince(m.State().Revision - catalog.MaxHistory - 1)
		gomega.Expect(kept).To(gomega.BeFalse())
	})

	// Guards against retired classes that use up the limit on classes.
	ginkgo.It("evicts the class that was retired first when the limit is reached", func() {
		m := catalog.New()
		sent := 0
		operate := func(operation catalog.Operation) catalog.Outcome {
			sent++
			return m.Apply(encode(catalog.Command{ChangeID: fmt.Sprint("c", sent), ExpectedRevision: m.State().Revision, Operation: operation}))
		}
		for i := range catalog.MaxClasses {
			gomega.Expect(operate(putClass(fmt.Sprintf("c%04d", i))).Failure).To(gomega.BeNil())
		}
		gomega.Expect(operate(putClass("new")).Failure.Kind).To(gomega.Equal(failure.InvalidArgument))
		operate(catalog.RetireClass{Name: "c0007"})
		operate(catalog.RetireClass{Name: "c0003"})
		gomega.Expect(operate(putClass("new")).Failure).To(gomega.BeNil())
		gomega.Expect(m.State().Classes).To(gomega.HaveLen(catalog.MaxClasses))
		_, found := m.State().Class("c0007")
		gomega.Expect(found).To(gomega.BeFalse())
		_, found = m.State().Class("c0003")
		gomega.Expect(found).To(gomega.BeTrue())
	})

	ginkgo.DescribeTable("rejects an invalid command", func(c catalog.Command) {
		_, err := c.Encode()
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.InvalidArgument))
	},
		ginkgo.Entry("missing change id", catalog.Command{ExpectedRevision: 1, Operation: putClass("a")}),
		ginkgo.Entry("missing expected revision", catalog.Command{ChangeID: "c", Operation: putClass("a")}),
		ginkgo.Entry("empty name", operatorCommand(putClass(""))),
		ginkgo.Entry("slash in the name", operatorCommand(putClass("a/b"))),
		ginkgo.Entry("missing upstream", operatorCommand(catalog.PutClass{Class: catalog.Class{Name: "a", AnswerWithin: time.Second, Share: 1}})),
		ginkgo.Entry("missing target", operatorCommand(catalog.PutClass{Class: catalog.Class{Name: "a", Upstream: "u", Share: 1}})),
		ginkgo.Entry("share of zero", operatorCommand(catalog.PutClass{Class: catalog.Class{Name: "a", Upstream: "u", AnswerWithin: time.Second}})),
		ginkgo.Entry("negative quota", operatorCommand(putOrganisation("a", -1))),
		ginkgo.Entry("process command with a change id", operatorCommand(catalog.AnnounceZone{Name: "a"})),
		ginkgo.Entry("entry without address", catalog.Command{Operation: catalog.JoinEntry{Entry: catalog.Entry{ID: "e", Incarnation: 1, AvailabilityZone: "z"}}}),
		ginkgo.Entry("entry without incarnation", catalog.Command{Operation: catalog.JoinEntry{Entry: catalog.Entry{ID: "e", Address: "h:1", AvailabilityZone: "z"}}}),
	)
})

func operatorCommand(operation catalog.Operation) catalog.Command {
	return catalog.Command{ChangeID: "c", ExpectedRevision: 1, Operation: operation}
}

func putClass(name string) catalog.Operation {
	return catalog.PutClass{Class: catalog.Class{Name: name, Upstream: "u", AnswerWithin: time.Second, Share: 0.99}}
}

func putOrganisation(name string, slots int) catalog.Operation {
	return catalog.PutOrganisation{Organisation: catalog.Organisation{Name: name, Slots: slots}}
}

func encode(c catalog.Command) []byte {
	data, err := c.Encode()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return data
}

// reload encodes the state machine and decodes it again.
func reload(t *rapid.T, m *catalog.Machine) *catalog.Machine {
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := catalog.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := loaded.Encode()
	if err != nil || string(again) != string(data) {
		t.Fatalf("a snapshot changes when it is decoded and encoded again: %v", err)
	}
	return loaded
}

// follow applies steps to the state of a lagging process up to the newest revision and compares it
// with the state machine.
func follow(t *rapid.T, m *catalog.Machine, lagging *catalog.State, agent bool) *catalog.State {
	want := m.State()
	if agent {
		want = want.AgentView()
	}
	steps, kept := m.StepsSince(lagging.Revision)
	if !kept {
		return want
	}
	for _, step := range steps {
		if agent && !step.ForAgents() {
			lagging = lagging.AtRevision(step.Revision)
			continue
		}
		next, err := lagging.ApplyStep(step)
		if err != nil {
			t.Fatal(err)
		}
		lagging = next
	}
	for _, zone := range want.AvailabilityZones {
		if lagging.ZoneOut(zone.Name) != zone.Out {
			t.Fatalf("zone %s differs", zone.Name)
		}
	}
	if !agent && format(lagging) != format(want) || agent && fmt.Sprint(lagging.Entries) != fmt.Sprint(want.Entries) {
		t.Fatalf("lagging state has %+v, want %+v", lagging, want)
	}
	return lagging
}
