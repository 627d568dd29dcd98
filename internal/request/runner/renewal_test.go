package runner_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/request/runner"
)

// caller answers the renewals of a machine without a network.
type caller struct {
	machine  *runner.Machine
	now      time.Duration
	renewals int
	answer   func(runner.Renew) runner.Renewed
	latency  time.Duration
	due      map[time.Duration]runner.Renewed
}

func newCaller() *caller {
	return &caller{machine: runner.New(runner.Config{Token: 1}), now: time.Hour, due: map[time.Duration]runner.Renewed{}}
}

func (c *caller) step(event runner.Event) {
	for _, action := range c.machine.Step(c.now, event) {
		if renew, ok := action.(runner.Renew); ok {
			c.renewals++
			c.due[c.now+c.latency] = c.answer(renew)
		}
	}
}

// advance lets time pass in steps of a millisecond.
func (c *caller) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += time.Millisecond
		if answer, ok := c.due[c.now]; ok {
			delete(c.due, c.now)
			c.step(answer)
		}
		c.step(runner.Tick{})
	}
}

func (c *caller) announce(sequence uint64) {
	c.step(runner.WorkerAnnounced{Worker: runner.Worker{ID: "w", Born: 1}, Sequence: sequence, Service: "s"})
}

var _ = ginkgo.Describe("the renewal of the lease", func() {
	// Guards against connections that are made again and again while a worker is down; each one counts.
	ginkgo.It("asks a worker that refuses connections ever more rarely, until it announces itself", func() {
		c := newCaller()
		c.latency = time.Millisecond
		c.answer = func(r runner.Renew) runner.Renewed {
			return runner.Renewed{Worker: r.Worker, Token: r.Token, Result: runner.NotSent}
		}
		c.announce(1)
		c.advance(10 * time.Second)
		gomega.Expect(c.renewals).To(gomega.BeNumerically("<", 35))
		before := c.renewals
		c.announce(2)
		c.advance(10 * time.Millisecond)
		gomega.Expect(c.renewals).To(gomega.BeNumerically(">", before))
	})

	// Guards against calls without a pause to a worker whose connections break at once, and against a
	// long pause after a report that was lost.
	ginkgo.It("pauses briefly after a call without an answer", func() {
		c := newCaller()
		c.latency = time.Millisecond
		c.answer = func(r runner.Renew) runner.Renewed {
			return runner.Renewed{Worker: r.Worker, Token: r.Token, Result: runner.NoAnswer}
		}
		c.announce(1)
		c.advance(time.Second)
		gomega.Expect(c.renewals).To(gomega.BeNumerically("<", 110))
		gomega.Expect(c.renewals).To(gomega.BeNumerically(">", 40))
	})
})
