package system

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/testutil/crowd"
	"pollenpaddle/internal/testutil/loopback"
)

// Guards against an entry, an agent or a control member that clients end, or fill its memory or descriptors, by requests
// to its own listener that ignore limits: bodies far over the limit, headers and connections without an end, and
// responses that are not read.
func TestClientsThatIgnoreLimits(t *testing.T) {
	expect := gomega.NewWithT(t)
	binary := crowd.Build(t)
	addresses := map[string]string{}
	for _, role := range []string{"control", "entry", "agent"} {
		address, err := loopback.FreeAddress()
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		addresses[role] = address
	}
	processes := map[string]*crowd.Process{}
	for role, address := range addresses {
		settings := fmt.Sprintf("[process]\nid = %s-1\nroles = %s\nlisten = %s\navailability_zone = a\ncontrol_seeds = %s\ndata_folder = %s\n[control]\ntolerated_losses = 0\n",
			role, role, address, addresses["control"], t.TempDir())
		processes[role] = crowd.Start(t, binary, settings)
	}
	for role, address := range addresses {
		crowd.AwaitStart(t, crowd.Call(http.MethodGet, "http://"+address+"/healthz", "", "", http.StatusOK))
		target := crowd.Target{Address: address, Path: "/v1/jobs", BodyBytes: 8_000_000}
		ordinary := crowd.Call(http.MethodGet, "http://"+address+"/metrics", "", "", http.StatusOK)
		if role == "entry" { // a body that is read and decoded
			ordinary = crowd.Call(http.MethodPost, "http://"+address+"/v1/jobs", "", `{"unknown":1}`, http.StatusBadRequest)
		}
		for _, kind := range crowd.Kinds() {
			t.Run(role+"-"+string(kind), func(t *testing.T) { processes[role].Expect(t, kind, target, ordinary) })
		}
	}
}
