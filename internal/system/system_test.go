// Package system tests an installation of real daemons on the loopback interface under faults. It has three
// control members, three entries and six agents in three availability zones. The stand-in upstreams record
// all starts, against which the tests check the responses.
package system

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"pollenpaddle/tools/measure/cluster"
	"pollenpaddle/tools/measure/profile"
)

func TestSystem(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(20 * time.Second)
	ginkgo.RunSpecs(t, "system")
}

// installation is the cluster of daemons in three availability zones with its stand-in upstreams.
type installation struct {
	*cluster.Cluster
	upstreams *cluster.Instances
	client    fasthttp.Client
}

// shared is the installation under test, which BeforeSuite starts and all specs use.
var shared *installation

// daemonBinary is the path of the daemon binary that BeforeSuite builds.
var daemonBinary string

// testProfile returns the profile of the cluster.
func testProfile() *profile.Profile {
	class := profile.Class{
		Name: "scaling", Organisations: []string{"swan-river"}, AnswerWithin: 5 * time.Second, Share: 0.9,
	}
	return &profile.Profile{
		Name: "system", Zones: []string{"subiaco", "fremantle", "midland"}, Instances: 6, Slots: 8, Connections: 64,
		Upstream: "kitchen", Entries: 3, ControlMembers: 3, ZoneDelay: 1500 * time.Microsecond,
		Speeds: []float64{1}, Classes: []profile.Class{class},
	}
}

var _ = ginkgo.BeforeSuite(func() {
	folder := ginkgo.GinkgoT().TempDir()
	daemonBinary = filepath.Join(folder, "pollenpaddled")
	output, err := exec.Command("go", "build", "-o", daemonBinary, "pollenpaddle/cmd/pollenpaddled").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	p := testProfile()
	upstreams, err := cluster.StartInstances(p)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(upstreams.Close)
	running, err := cluster.Start(cluster.Options{
		Binary: daemonBinary, Folder: filepath.Join(folder, "run"), Profile: p, Upstreams: upstreams.Addresses(), Link: upstreams.Link,
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(running.Kill)
	shared = &installation{Cluster: running, upstreams: upstreams}
	shared.client.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	shared.awaitConfiguration()
})

// awaitConfiguration waits until every entry has the newest configuration that a control member has
// applied. An entry rejects submissions until it has received the first class. The time limit is arbitrary:
// the wait has nothing to do with an evacuation.
func (i *installation) awaitConfiguration() {
	ginkgo.GinkgoHelper()
	newest := slices.Max(i.revisions())
	for _, entry := range i.Entries {
		gomega.Eventually(func() (uint64, error) {
			var dump struct {
				Entry struct{ Revision uint64 } `json:"entry"`
			}
			err := cluster.Get(entry.Address, "/v1/dump", &dump)
			return dump.Entry.Revision, err
		}, evacuationBound).Should(gomega.BeNumerically(">=", newest))
	}
}

// The logs are printed while the folder of the daemons still exists; ginkgo shows the text of
// GinkgoWriter for a spec that failed.
var _ = ginkgo.AfterEach(func() {
	if !ginkgo.CurrentSpecReport().Failed() || shared == nil {
		return
	}
	for _, p := range shared.All() {
		log, err := os.ReadFile(p.LogPath())
		fmt.Fprintf(ginkgo.GinkgoWriter, "--- %s (read error: %v)\n%s\n", p.ID, err, log)
	}
})

// jobResponse is the response to a request about a job, or an error response.
type jobResponse struct {
	status  int    // HTTP status; 0 if there was no response
	Kind    string `json:"kind"`
	Message string `json:"message"`
	State   string `json:"state"`
	Tasks   []struct {
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"tasks"`
}

// states returns the number of tasks by state.
func (r jobResponse) states() map[string]int {
	counts := map[string]int{}
	for _, t := range r.Tasks {
		counts[t.State]++
	}
	return counts
}

// submission returns the body of a submission of a job whose tasks run for the given time. Task keys have
// the form "ID/INDEX".
func submission(id string, tasks int, runTime time.Duration) []byte {
	list := make([]map[string]any, tasks)
	for i := range list {
		list[i] = map[string]any{
			"method": "POST", "path": fmt.Sprintf("/%s/%d", id, i), "expected_ms": runTime.Milliseconds(),
			"headers": map[string]string{"X-Run-Ms": fmt.Sprint(runTime.Milliseconds()), "X-Task-Key": fmt.Sprintf("%s/%d", id, i)},
		}
	}
	body, err := json.Marshal(map[string]any{"id": id, "class": "scaling", "organisation": "swan-river", "tasks": list})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return body
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func (i *installation) submit(entry int, body []byte) jobResponse {
	return i.exchange("POST", i.Entries[entry].Address, "/v1/jobs?wait=60s", body)
}

func (i *installation) exchange(method, address, path string, body []byte) jobResponse {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	var r jobResponse
	if err := i.client.DoTimeout(request, response, 70*time.Second); err != nil {
		return r
	}
	r.status = response.StatusCode()
	_ = json.Unmarshal(response.Body(), &r) // a malformed response yields no state
	return r
}

// expectSingleStarts checks that the upstreams recorded no second start of any task since the suite began.
func (i *installation) expectSingleStarts() {
	ginkgo.GinkgoHelper()
	for key, count := range i.upstreams.StartCounts() {
		gomega.Expect(count).To(gomega.Equal(1), "starts of task "+key)
	}
}

// expectConsistent checks a response against the recorded starts: tasks reported as not run have not
// started, and tasks reported as done have started exactly once.
func (i *installation) expectConsistent(id string, r jobResponse) {
	ginkgo.GinkgoHelper()
	started := i.upstreams.StartCounts()
	for n, t := range r.Tasks {
		key := fmt.Sprintf("%s/%d", id, n)
		switch t.State {
		case "not_run":
			gomega.Expect(started[key]).To(gomega.BeZero(), key)
		case "done":
			gomega.Expect(started[key]).To(gomega.Equal(1), key)
			gomega.Expect(t.Text).To(gomega.ContainSubstring(key))
		}
	}
	if r.State == "complete" {
		gomega.Expect(r.states()).To(gomega.Equal(map[string]int{"done": len(r.Tasks)}))
	}
}

// load submits a job every 20 ms, to the entries in turn, until it is stopped. Each job has 2 tasks with a run
// time of 100 ms.
type load struct {
	stop      chan struct{}
	group     sync.WaitGroup
	mu        sync.Mutex
	responses map[string]jobResponse
	entries   []int // not read; the goroutine of startLoad uses its parameter
}

func (i *installation) startLoad(entries ...int) *load {
	l := &load{stop: make(chan struct{}), responses: map[string]jobResponse{}, entries: entries}
	l.group.Go(func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			l.group.Go(func() {
				id := newID()
				r := i.submit(entries[n%len(entries)], submission(id, 2, 100*time.Millisecond))
				l.mu.Lock()
				defer l.mu.Unlock()
				l.responses[id] = r
			})
		}
	})
	return l
}

// end stops the load and returns all responses by job ID.
func (l *load) end() map[string]jobResponse {
	close(l.stop)
	l.group.Wait()
	return l.responses
}

// completed returns the number of jobs that have completed so far.
func (l *load) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.responses {
		if r.State == "complete" {
			n++
		}
	}
	return n
}
