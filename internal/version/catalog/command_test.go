package catalog_test

import (
	"testing"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/catalog"
)

// Guards against a late change that undoes a newer one which was accepted although it had no effect.
func TestChangeWithoutEffectSupersedesEarlierOnes(t *testing.T) {
	gomega.RegisterTestingT(t)
	m := catalog.New()
	m.Apply(encode(catalog.Command{Operation: catalog.AnnounceZone{Name: "a"}}))
	read := m.State().Revision
	late := encode(catalog.Command{ChangeID: "late", ExpectedRevision: read, Operation: catalog.SetZone{Name: "a", Out: true}})
	newer := encode(catalog.Command{ChangeID: "newer", ExpectedRevision: read, Operation: catalog.SetZone{Name: "a", Out: false}})
	accepted := m.Apply(newer)
	gomega.Expect(accepted.Err()).NotTo(gomega.HaveOccurred())
	gomega.Expect(failure.KindOf(m.Apply(late).Err())).To(gomega.Equal(failure.RevisionConflict))
	gomega.Expect(m.State().ZoneOut("a")).To(gomega.BeFalse())
	gomega.Expect(m.Apply(newer)).To(gomega.Equal(accepted))
	gomega.Expect(m.State().Revision).To(gomega.Equal(accepted.Revision))
}

// inFirstVersion returns an encoded command as earlier releases encoded it.
func inFirstVersion(data []byte) []byte {
	earlier := append([]byte(nil), data...)
	earlier[1] = 1 // follows the head of the array
	return earlier
}

// Guards against members whose revisions differ after an upgrade, because one of them replays commands of the earlier
// release from its log, and against a change that is rejected when it is resent after the upgrade.
func TestCommandsOfEarlierReleaseKeepTheirOutcome(t *testing.T) {
	gomega.RegisterTestingT(t)
	m := catalog.New()
	first := encode(catalog.Command{ChangeID: "first", ExpectedRevision: 1, Operation: putOrganisation("a", 1)})
	repeated := encode(catalog.Command{ChangeID: "repeated", ExpectedRevision: 2, Operation: putOrganisation("a", 1)})
	gomega.Expect(m.Apply(inFirstVersion(first))).To(gomega.Equal(catalog.Outcome{Revision: 2}))
	gomega.Expect(m.Apply(inFirstVersion(repeated))).To(gomega.Equal(catalog.Outcome{Revision: 2}))
	gomega.Expect(m.Apply(repeated)).To(gomega.Equal(catalog.Outcome{Revision: 2}))
}
