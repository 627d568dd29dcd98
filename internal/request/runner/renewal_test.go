package runner_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/request/runner"
)

// harness drives a machine in simulated time and responds to its renewals.
type harness struct {
	machine  *runner.Machine
	now      time.Duration
	renewals int
	response func(runner.Renew) runner.Renewed
	latency  time.Duration
	due      map[time.Duration]runner.Renewed
}

func newHarness() *harness {
	return &harness{machine: runner.New(runner.Config{Token: 1}), now: time.Hour, due: map[time.Duration]runner.Renewed{}}
}

func (h *harness) step(event runner.Event) {
	for _, action := range h.machine.Step(h.now, event) {
		if renew, ok := action.(runner.Renew); ok {
			h.renewals++
			h.due[h.now+h.latency] = h.response(renew)
		}
	}
}

// advance advances simulated time in steps of one millisecond.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += time.Millisecond
		if response, ok := h.due[h.now]; ok {
			delete(h.due, h.now)
			h.step(response)
		}
		h.step(runner.Tick{})
	}
}

func (h *harness) announce(sequence uint64) {
	h.step(runner.WorkerAnnounced{Worker: runner.Worker{ID: "w", Born: 1}, Sequence: sequence, Service: "s"})
}

var _ = ginkgo.Describe("the renewal of the lease", func() {
	// Guards against a high rate of connection attempts while a worker is down: each attempt opens a
	// connection.
	ginkgo.It("backs off from a worker that refuses connections until it announces itself", func() {
		h := newHarness()
		h.latency = time.Millisecond
		h.response = func(r runner.Renew) runner.Renewed {
			return runner.Renewed{Worker: r.Worker, Token: r.Token, Result: runner.NotSent}
		}
		h.announce(1)
		h.advance(10 * time.Second)
		gomega.Expect(h.renewals).To(gomega.BeNumerically("<", 35))
		before := h.renewals
		h.announce(2)
		h.advance(10 * time.Millisecond)
		gomega.Expect(h.renewals).To(gomega.BeNumerically(">", before))
	})

	// Guards against a busy loop of calls to a worker whose connections break immediately, and against a
	// long pause after a lost report.
	ginkgo.It("waits briefly after an unanswered call", func() {
		h := newHarness()
		h.latency = time.Millisecond
		h.response = func(r runner.Renew) runner.Renewed {
			return runner.Renewed{Worker: r.Worker, Token: r.Token, Result: runner.NoResponse}
		}
		h.announce(1)
		h.advance(time.Second)
		gomega.Expect(h.renewals).To(gomega.BeNumerically("<", 110))
		gomega.Expect(h.renewals).To(gomega.BeNumerically(">", 40))
	})
})
