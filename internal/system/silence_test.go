package system

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/tools/measure/cluster"
)

// silences are the spans for which a process stops responding: from below the
// interval of heartbeats to above the configuration lease and the session timeout (3 s). The longest stays below the time
// after which an entry may give up the open starts of an agent: the session timeout plus the reconnect grace (5 s).
var silences = []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 3500 * time.Millisecond, 6 * time.Second}

// pauseFor stops a process for a time without ending it.
func pauseFor(p *cluster.Process, d time.Duration) {
	ginkgo.GinkgoHelper()
	gomega.Expect(p.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
	time.Sleep(d)
	gomega.Expect(p.Signal(syscall.SIGCONT)).To(gomega.Succeed())
}

var _ = ginkgo.Describe("Real daemons of which one is silent", ginkgo.Ordered, func() {
	ginkgo.AfterEach(func() { shared.expectSingleStarts() })

	// Guards against tasks that are started again or given up because a process reported nothing for a while. The
	// caller gets the complete response although the silence exceeds the run time of the tasks.
	for _, silent := range []struct {
		role    string
		process func() *cluster.Process
	}{
		{"agent", func() *cluster.Process { return shared.Agents[0] }},
		{"entry", func() *cluster.Process { return shared.Entries[0] }},
		{"control leader", func() *cluster.Process { return shared.leader() }},
	} {
		ginkgo.It(fmt.Sprintf("complete every task when the %s is silent, however long up to the bound", silent.role), func() {
			process := silent.process()
			for _, silence := range silences {
				shared.awaitReady()
				id := newID()
				answered := make(chan jobResponse, 1)
				go func() { answered <- shared.submit(0, submission(id, 24, 500*time.Millisecond)) }()
				gomega.Eventually(func() int { return shared.upstreams.StartCounts()[id+"/23"] }).Should(gomega.Equal(1))
				pauseFor(process, silence)
				var r jobResponse
				gomega.Eventually(answered).Should(gomega.Receive(&r))
				gomega.Expect(r.State).To(gomega.Equal("complete"), "silent for %v: %+v", silence, r)
				shared.expectConsistent(id, r)
			}
		})
	}

	// Guards against a second run of a request that may run only once, and against "not run" for one that ran: the
	// agent that sent it to the upstream is killed.
	ginkgo.It("run a request that is not idempotent at most once when its agent is killed", func() {
		shared.awaitReady()
		killed := shared.Agents[0]
		defer func() { gomega.Expect(killed.Restart()).To(gomega.Succeed()) }()
		const requests = 24
		startsAtKilled := func() int { return len(shared.upstreams.Upstream(0).Starts()) }
		before := startsAtKilled()
		type response struct{ id, state string }
		responses := make(chan response, requests)
		for range requests {
			go func() {
				id := newID()
				state, err := sendSingle(shared.Entries[0].Address, id)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				responses <- response{id, state}
			}()
		}
		gomega.Eventually(startsAtKilled).Should(gomega.BeNumerically(">", before))
		killed.Kill()
		for range requests {
			var r response
			gomega.Eventually(responses).Should(gomega.Receive(&r))
			started := shared.upstreams.StartCounts()[r.id+"/0"]
			switch r.state {
			case "done":
				gomega.Expect(started).To(gomega.Equal(1), r.id)
			case "not_run":
				gomega.Expect(started).To(gomega.BeZero(), r.id)
			default:
				gomega.Expect(r.state).To(gomega.Equal("may_have_run"), r.id)
			}
		}
	})
})

// awaitReady waits until a job completes through every entry.
func (i *installation) awaitReady() {
	ginkgo.GinkgoHelper()
	for entry := range i.Entries {
		gomega.Eventually(func() string { return i.submit(entry, submission(newID(), 1, 10*time.Millisecond)).State }).Should(gomega.Equal("complete"))
	}
}

// sendSingle sends one request that is not idempotent and runs for 2 s, and returns the state of its task.
func sendSingle(address, id string) (string, error) {
	key := id + "/0"
	body := fmt.Sprintf(`{"class":"scaling","organisation":"swan-river","idempotent":false,"method":"POST","path":"/%s","headers":{"X-Run-Ms":"2000","X-Task-Key":"%s"}}`, key, key)
	response, err := http.Post("http://"+address+"/v1/requests?wait=30s", "application/json", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	return response.Header.Get("Pollenpaddle-State"), response.Body.Close()
}
