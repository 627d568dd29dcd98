package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
)

var _ = ginkgo.Describe("Several entries", func() {
	var i *installation
	var a *agent
	start := func(ids ...string) {
		i = newInstallation(ids...)
		i.awaitSessions()
		a = i.agent(i.nodes...)
	}
	post := func(n *node, query, body string) *httpResponse {
		return n.call("POST", "/v1/jobs"+query, forecastToken, body)
	}
	// background makes a call in a goroutine and returns the channel for the response.
	background := func(call func() *httpResponse) <-chan *httpResponse {
		responses := make(chan *httpResponse, 1)
		go func() { responses <- call() }()
		return responses
	}

	ginkgo.It("return the owner's job to a resubmission, while it runs and after its end", func() {
		start("a", "b")
		body := i.submission("job-1", i.wall(), "/held", "/b")
		first := background(func() *httpResponse { return post(i.nodes[0], "", body) })
		gomega.Eventually(a.heldCount).Should(gomega.Equal(1))
		second := background(func() *httpResponse { return post(i.nodes[1], "", body) })
		early := post(i.nodes[1], "?wait=0s", body)
		gomega.Expect([]any{early.status, early.job.State}).To(gomega.Equal([]any{202, "running"}), early.body)
		gomega.Consistently(second, 100*time.Millisecond).ShouldNot(gomega.Receive())
		a.finishHeld()
		var r1, r2 *httpResponse
		gomega.Eventually(first).Should(gomega.Receive(&r1))
		gomega.Eventually(second).Should(gomega.Receive(&r2))
		gomega.Expect(r1.job.State).To(gomega.Equal("complete"), r1.body)
		gomega.Expect(r2.job).To(gomega.Equal(r1.job))
		gomega.Expect(post(i.nodes[1], "", body).job).To(gomega.Equal(r1.job))
		gomega.Expect(i.nodes[1].call("GET", "/v1/jobs/job-1", forecastToken, "").job).To(gomega.Equal(r1.job))
		gomega.Expect(i.nodes[1].call("GET", "/v1/jobs/job-1", kitchenToken, "").kind).To(gomega.Equal("not_found"))
		gomega.Expect(a.startCount("job-1/held")).To(gomega.Equal(1))
		gomega.Expect(a.startCount("job-1/b")).To(gomega.Equal(1))
	})
	ginkgo.It("send results that are larger than one message", func() {
		start("a", "b")
		large := bytes.Repeat([]byte("0123456789abcdef"), 3<<16)
		a.result = func(*job.Task) job.Result {
			return job.Result{State: job.Done, Status: 200, Body: large, Headers: []job.Header{{Name: "Content-Type", Value: "text/plain"}}}
		}
		body := i.submission("job-1", i.wall(), "/a", "/b", "/c")
		r1 := post(i.nodes[0], "", body)
		r2 := post(i.nodes[1], "", body)
		gomega.Expect(r2.job.Tasks).To(gomega.HaveLen(3), r2.kind)
		gomega.Expect(r2.job.Tasks[2].Text).To(gomega.HaveLen(len(large)))
		gomega.Expect(r2.body == r1.body).To(gomega.BeTrue(), "the entries send different responses")
	})
	ginkgo.It("cancel a job of another entry", func() {
		start("a", "b")
		post(i.nodes[0], "?wait=0s", i.submission("job-1", i.wall(), "/held"))
		gomega.Eventually(a.heldCount).Should(gomega.Equal(1))
		r := i.nodes[1].call("DELETE", "/v1/jobs/job-1?wait=10s", forecastToken, "")
		gomega.Expect(r.job.State).To(gomega.Equal("failed"), r.body)
		gomega.Expect(r.job.Tasks[0].State).To(gomega.Equal("may_have_run"))
	})
	ginkgo.It("start a job once when it is submitted through all of them at the same time", func() {
		start("a", "b", "c")
		for round := range 20 {
			id := fmt.Sprint("job-", round)
			body := i.submission(id, i.wall(), "/a")
			var calls sync.WaitGroup
			responses := make([]*httpResponse, len(i.nodes))
			for k, n := range i.nodes {
				calls.Go(func() { responses[k] = post(n, "", body) })
			}
			calls.Wait()
			for _, r := range responses {
				gomega.Expect(r.job.State).To(gomega.Equal("complete"), r.body)
			}
			gomega.Expect(a.startCount(id + "/a")).To(gomega.Equal(1))
		}
	})
	ginkgo.It("report the job of a crashed entry as failed and never start it again", func() {
		start("a", "b", "c")
		body := i.submission("job-1", i.wall(), "/held", "/a")
		post(i.nodes[0], "?wait=0s", body)
		gomega.Eventually(a.heldCount).Should(gomega.Equal(1))
		owner, other := i.nodes[0], i.nodes[1]
		waiting := background(func() *httpResponse { return post(other, "", body) })
		gomega.Eventually(func() int { return snapshotOf(other).RemoteQueries }).Should(gomega.Equal(1))
		i.kill(owner)
		i.start("a") // the next incarnation of the same entry
		i.configure()
		var r *httpResponse
		gomega.Eventually(waiting).Should(gomega.Receive(&r))
		for _, response := range []*httpResponse{r, post(other, "", body), post(i.nodes[1], "", body)} {
			gomega.Expect(response.job.State).To(gomega.Equal("failed"), response.body)
			for _, task := range response.job.Tasks {
				gomega.Expect(task.State).To(gomega.Equal("may_have_run"))
			}
		}
		gomega.Expect(i.nodes[1].call("GET", "/v1/jobs/job-1", forecastToken, "").kind).To(gomega.Equal("may_have_run"))
		gomega.Expect(a.startCount("job-1/held")).To(gomega.Equal(1))
	})
	ginkgo.It("start nothing without a majority of registrars", func() {
		start("a", "b", "c")
		survivor := i.nodes[0]
		i.kill(i.nodes[1])
		i.kill(i.nodes[1])
		withGeneratedID := post(survivor, "", i.submission("", 0, "/a"))
		gomega.Expect([]any{withGeneratedID.status, withGeneratedID.kind}).To(gomega.Equal([]any{503, "unavailable"}), withGeneratedID.body)
		gomega.Expect(withGeneratedID.retryAfter).NotTo(gomega.BeEmpty())
		withCallerID := post(survivor, "", i.submission("job-1", i.wall(), "/a"))
		gomega.Expect([]any{withCallerID.status, withCallerID.kind}).To(gomega.Equal([]any{409, "may_have_run"}), withCallerID.body)
		gomega.Expect(a.startCount("job-1/a")).To(gomega.Equal(0))
	})
	ginkgo.It("lose no response when one of them drains", func() {
		start("a", "b")
		n := i.nodes[0]
		running := background(func() *httpResponse { return post(n, "", i.submission("job-1", i.wall(), "/held")) })
		gomega.Eventually(a.heldCount).Should(gomega.Equal(1))
		drained := make(chan error, 1)
		go func() { drained <- n.Drain(context.Background()) }()
		gomega.Eventually(n.Ready).ShouldNot(gomega.Succeed())
		rejected := post(n, "", i.submission("job-2", i.wall(), "/a"))
		gomega.Expect([]any{rejected.status, rejected.kind}).To(gomega.Equal([]any{503, "unavailable"}))
		gomega.Expect(rejected.retryAfter).NotTo(gomega.BeEmpty())
		// The draining entry is still one of two registrars, both of which must grant.
		gomega.Expect(post(i.nodes[1], "", i.submission("job-2", i.wall(), "/a")).job.State).To(gomega.Equal("complete"))
		gomega.Consistently(drained, 100*time.Millisecond).ShouldNot(gomega.Receive())
		a.finishHeld()
		gomega.Eventually(drained).Should(gomega.Receive(gomega.BeNil()))
		var r *httpResponse
		gomega.Eventually(running).Should(gomega.Receive(&r))
		gomega.Expect(r.job.State).To(gomega.Equal("complete"), r.body)
	})
	ginkgo.It("(only one entry here) reject a submission whose claim an earlier incarnation of the registrar may have granted", func() {
		start("a")
		body := i.submission("job-1", i.wall(), "/a")
		gomega.Expect(post(i.nodes[0], "", body).status).To(gomega.Equal(200))
		i.kill(i.nodes[0])
		i.start("a")
		i.configure()
		snapshotOf(i.nodes[0])
		i.offset.Add(claim.GrantDelay.Milliseconds() + 2000)
		gomega.Expect(post(i.nodes[0], "", body).kind).To(gomega.Equal("may_have_run"))
		i.agent(i.nodes[0])
		gomega.Expect(post(i.nodes[0], "", i.submission("job-2", i.wall(), "/a")).status).To(gomega.Equal(200))
		gomega.Expect(a.startCount("job-1/a")).To(gomega.Equal(1))
	})
})
