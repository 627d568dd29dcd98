package agent

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/process/loop"
	"pollenpaddle/internal/process/workerhost"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/startgate"
)

// faultyWorker panics in every call.
type faultyWorker struct{}

func (faultyWorker) Start(context.Context, runner.Start) runner.StartReturned { panic("start") }
func (faultyWorker) Stop(context.Context, runner.Stop) runner.StopReturned    { panic("stop") }
func (faultyWorker) Renew(context.Context, runner.Renew) runner.Renewed       { panic("renew") }

// faultyPlatform panics when a task begins.
type faultyPlatform struct{ workerhost.Platform }

func (faultyPlatform) Lease(context.Context, workerhost.Task) error { panic("lease") }

var _ = ginkgo.Describe("a call that panics", func() {
	// Guards against a fault in one call to the worker that ends the agent, and with it all runs of the worker, or that
	// leaves the run without an outcome.
	ginkgo.It("counts as unanswered at the worker", func() {
		events := make(chan any, 4)
		a := &Agent{config: Config{Worker: faultyWorker{}, Logger: zap.NewNop()}}
		a.loop = loop.New(8, func(event any) { events <- event }, func() time.Duration { return time.Hour })
		ctx, cancel := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		go func() { _ = a.loop.Run(ctx) }()
		worker, id := runner.Worker{ID: "w"}, run.ID{Number: 7}
		a.callWorker(runner.Start{Worker: worker, Run: id, Token: 3})
		gomega.Eventually(events).Should(gomega.Receive(gomega.Equal(runner.StartReturned{Worker: worker, Run: id, Token: 3, Result: runner.NoResponse})))
		a.callWorker(runner.Stop{Worker: worker, Run: id, Token: 3})
		gomega.Eventually(events).Should(gomega.Receive(gomega.Equal(runner.StopReturned{Worker: worker, Run: id, Token: 3, Result: runner.NoResponse})))
		a.callWorker(runner.Renew{Worker: worker, Token: 3, OutOfBand: true})
		gomega.Eventually(events).Should(gomega.Receive(gomega.And(
			gomega.HaveField("Result", runner.NoResponse), gomega.HaveField("OutOfBand", true), gomega.HaveField("Sent", gomega.BeNumerically(">", 0)),
		)))
	})

	// Guards against a fault in one call to the upstream that ends the agent, and against a task that is reported as not
	// run although its call may have been sent.
	ginkgo.It("may have run at the upstream", func() {
		ended, faults := make(chan startgate.CallEnded, 1), make(chan error, 1)
		pool := newClientPool(faultyPlatform{}, func(e startgate.CallEnded) { ended <- e }, nil, func(err error) { faults <- err })
		for n := range 2 {
			pool.start(startgate.Call{ID: startID(n), NotAfter: 1 << 62})
			gomega.Eventually(ended).Should(gomega.Receive(gomega.And(
				gomega.HaveField("ID", startID(n)), gomega.HaveField("Result.State", job.MayHaveRun), gomega.HaveField("NotSent", false),
			)))
			gomega.Eventually(faults).Should(gomega.Receive(gomega.MatchError(gomega.ContainSubstring("lease"))))
		}
	})
})
