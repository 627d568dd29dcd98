package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/admin"
	"pollenpaddle/internal/process/daemon"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/process/settings"
)

func TestAdmin(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(10 * time.Second)
	ginkgo.RunSpecs(t, "admin")
}

const (
	operatorToken = "operator-token-0123456789"
	swanToken     = "swan-river-token-0123456789"
)

func writeFile(name, content string) string {
	path := filepath.Join(ginkgo.GinkgoT().TempDir(), name)
	gomega.Expect(os.WriteFile(path, []byte(content), 0o600)).To(gomega.Succeed())
	return path
}

// installation consists of three daemons with the control and entry roles.
type installation struct {
	addresses []string
	stop      []func() // each stops a daemon and waits until it has ended
}

func startInstallation() *installation {
	i := &installation{}
	var members []settings.ControlMember
	for n := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		i.addresses = append(i.addresses, listener.Addr().String())
		members = append(members, settings.ControlMember{Name: fmt.Sprint("vm", n), Address: i.addresses[n]})
		gomega.Expect(listener.Close()).To(gomega.Succeed())
	}
	tokens := writeFile("tokens", "operator "+operatorToken+"\norganisation swan "+swanToken+"\n")
	key := writeFile("key", "a shared key for the test")
	for n, member := range members {
		s := &settings.Settings{Process: settings.Process{
			ID: member.Name, Roles: []wire.Role{wire.RoleEntry, wire.RoleControl}, Listen: member.Address, Advertise: member.Address,
			AvailabilityZone: "zone-" + fmt.Sprint(n), DataFolder: ginkgo.GinkgoT().TempDir(), TokenFile: tokens, KeyFile: key,
			ControlMembers: i.addresses, ControlPeers: members, LogLevel: "error",
		}}
		d, err := daemon.Assemble(s, daemon.Options{})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		stop := sync.OnceFunc(func() {
			cancel()
			gomega.Eventually(ended, "20s").Should(gomega.Receive(gomega.BeNil()))
		})
		i.stop = append(i.stop, stop)
		ginkgo.DeferCleanup(stop)
	}
	return i
}

// send sends a request and decodes the response into target. It returns the HTTP status, or 0 if
// there is no response or it cannot be decoded.
func (i *installation) send(n int, token, method, path string, body, target any) int {
	encoded, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request, err := http.NewRequest(method, "http://"+i.addresses[n]+path, bytes.NewReader(encoded))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if json.NewDecoder(response.Body).Decode(target) != nil {
		return 0
	}
	return response.StatusCode
}

func (i *installation) status(n int) admin.Status {
	var status admin.Status
	i.send(n, operatorToken, "GET", "/v1/status", nil, &status)
	return status
}

// awaitReady waits until all daemons and their entries have joined, and returns the revision.
func (i *installation) awaitReady() uint64 {
	var revision uint64
	gomega.Eventually(func() bool {
		var zones admin.Zones
		i.send(0, operatorToken, "GET", "/v1/zones", nil, &zones)
		status := i.status(0)
		revision = status.Revision
		voters := 0
		for _, m := range status.Members {
			if m.Voter {
				voters++
			}
		}
		// The configuration starts at revision 1; the 3 zones and the 3 entries add 6 revisions.
		return voters == 3 && len(zones.Zones) == 3 && len(status.Processes) == 3 && len(status.MissingMembers) == 0 && status.InForceRevision >= 7
	}).Should(gomega.BeTrue())
	return revision
}

var _ = ginkgo.Describe("the operator API", ginkgo.Ordered, func() {
	var i *installation
	var revision uint64
	ginkgo.BeforeAll(func() {
		i = startInstallation()
		revision = i.awaitReady()
	})

	classBody := func(id string, expected uint64, share float64) admin.ClassBody {
		return admin.ClassBody{Change: admin.Change{ExpectedRevision: expected, ChangeID: id}, Upstream: "kitchen", AnswerWithinMS: 1500, Share: share}
	}

	// Guards against a change through one member that is not visible at another, against a resent
	// change that is applied twice, and against a conflict whose error lacks the current revision.
	ginkgo.It("changes, reads and retires a class through any member", func() {
		var changed admin.ChangeResponse
		gomega.Expect(i.send(1, operatorToken, "PUT", "/v1/classes/scaling", classBody("a", revision, 0.95), &changed)).To(gomega.Equal(200))
		gomega.Expect(changed.Revision).To(gomega.Equal(revision + 1))
		var resent admin.ChangeResponse
		gomega.Expect(i.send(2, operatorToken, "PUT", "/v1/classes/scaling", classBody("a", revision, 0.95), &resent)).To(gomega.Equal(200))
		gomega.Expect(resent).To(gomega.Equal(changed))
		var rejected httpapi.ErrorBody
		gomega.Expect(i.send(2, operatorToken, "PUT", "/v1/classes/scaling", classBody("b", revision, 0.5), &rejected)).To(gomega.Equal(409))
		gomega.Expect(rejected.Kind).To(gomega.Equal(failure.RevisionConflict))
		gomega.Expect(rejected.Message).To(gomega.ContainSubstring("current revision is %d", changed.Revision))
		var one admin.ClassResponse
		gomega.Eventually(func() int { return i.send(0, operatorToken, "GET", "/v1/classes/scaling", nil, &one) }).Should(gomega.Equal(200))
		gomega.Expect(one.Class).To(gomega.Equal(admin.Class{Name: "scaling", Upstream: "kitchen", AnswerWithinMS: 1500, Share: 0.95, ChangedRevision: changed.Revision}))
		path := fmt.Sprintf("/v1/classes/scaling?change_id=c&expected_revision=%d", changed.Revision)
		request, err := http.NewRequest("DELETE", "http://"+i.addresses[0]+path, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		response, err := http.DefaultClient.Do(request)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(200))
		gomega.Expect(response.Body.Close()).To(gomega.Succeed())
		revision = changed.Revision + 1
	})

	// Guards against a change of a zone that is never shown as in force, and against an unknown zone that
	// is accepted.
	ginkgo.It("takes a zone out of service and shows when that is in force", func() {
		var changed admin.ChangeResponse
		body := admin.ZoneBody{Change: admin.Change{ExpectedRevision: revision, ChangeID: "zone"}, State: "out"}
		gomega.Expect(i.send(0, operatorToken, "PUT", "/v1/zones/zone-1", body, &changed)).To(gomega.Equal(200))
		gomega.Eventually(func() uint64 { return i.status(2).InForceRevision }).Should(gomega.Equal(changed.Revision))
		var zones admin.Zones
		i.send(2, operatorToken, "GET", "/v1/zones", nil, &zones)
		gomega.Expect(zones.Zones[1]).To(gomega.Equal(admin.Zone{Name: "zone-1", State: "out", ChangedRevision: changed.Revision}))
		body.ChangeID, body.ExpectedRevision = "unknown zone", changed.Revision
		var rejected httpapi.ErrorBody
		gomega.Expect(i.send(0, operatorToken, "PUT", "/v1/zones/zone-9", body, &rejected)).To(gomega.Equal(400)) // the change_id contains a space
		body.ChangeID = "unknown-zone"
		gomega.Expect(i.send(0, operatorToken, "PUT", "/v1/zones/zone-9", body, &rejected)).To(gomega.Equal(404))
		revision = changed.Revision
	})

	// Guards against an organisation's token that permits changes of the configuration or reading the
	// quotas of other organisations.
	ginkgo.DescribeTable("rejects requests that the token does not permit or that name no object", func(token, method, path string, want int) {
		body := classBody("d", revision, 0.9)
		var rejected httpapi.ErrorBody
		gomega.Expect(i.send(0, token, method, path, body, &rejected)).To(gomega.Equal(want))
		gomega.Expect(rejected.Remedy).NotTo(gomega.BeEmpty())
	},
		ginkgo.Entry("no token", "", "GET", "/v1/classes", 401),
		ginkgo.Entry("change by an organisation", swanToken, "PUT", "/v1/classes/x", 403),
		ginkgo.Entry("quotas of all", swanToken, "GET", "/v1/organisations", 403),
		ginkgo.Entry("quota of another", swanToken, "GET", "/v1/organisations/nordvind", 403),
		ginkgo.Entry("own quota of an organisation that does not exist", swanToken, "GET", "/v1/organisations/swan", 404),
		ginkgo.Entry("status", swanToken, "GET", "/v1/status", 403),
		ginkgo.Entry("replacement of a member", swanToken, "POST", "/v1/members/vm0/replace", 403))

	// Guards against a shutdown of the leader that loses a committed change, and against a stopped
	// process that is still shown as the leader.
	ginkgo.It("survives the shutdown of the leader", func() {
		leader := int(i.status(0).Leader[2] - '0')
		other := (leader + 1) % 3
		i.stop[leader]()
		var changed admin.ChangeResponse
		body := admin.OrganisationBody{Change: admin.Change{ExpectedRevision: revision, ChangeID: "quota"}, Slots: 6}
		gomega.Expect(i.send(other, operatorToken, "PUT", "/v1/organisations/swan", body, &changed)).To(gomega.Equal(200))
		var one admin.OrganisationResponse
		gomega.Expect(i.send(other, swanToken, "GET", "/v1/organisations/swan", nil, &one)).To(gomega.Equal(200))
		gomega.Expect(one.Organisation.Slots).To(gomega.Equal(6))
		var members admin.Members
		gomega.Expect(i.send(other, operatorToken, "GET", "/v1/members", nil, &members)).To(gomega.Equal(200))
		gomega.Expect(members.Members).To(gomega.HaveLen(3))
		gomega.Expect(members.Leader).NotTo(gomega.Equal(fmt.Sprint("vm", leader)))
	})
})

var _ = ginkgo.Describe("a daemon without a token file", func() {
	// Guards against an unauthenticated installation that other machines can reach because a setting
	// is missing.
	ginkgo.It("rejects a listen address that other machines can reach", func() {
		s := &settings.Settings{Process: settings.Process{ID: "vm", Listen: "0.0.0.0:0", LogLevel: "error"}}
		_, err := daemon.Assemble(s, daemon.Options{})
		gomega.Expect(failure.KindOf(err)).To(gomega.Equal(failure.InvalidArgument))
		gomega.Expect(err.Error()).To(gomega.ContainSubstring("token_file"))
	})
})
