package standin_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"pollenpaddle/internal/standin"
)

func TestStandin(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "standin")
}

var _ = ginkgo.Describe("a Link to an Upstream", func() {
	var upstream *standin.Upstream
	var link *standin.Link

	const delay = 5 * time.Millisecond

	ginkgo.BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		upstream = standin.NewUpstream(2)
		go func() { _ = upstream.Serve(listener) }()
		link, err = standin.NewLink(listener.Addr().String(), delay)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(func() {
			link.Close()
			gomega.Expect(upstream.Close()).To(gomega.Succeed())
		})
	})

	get := func() (string, error) {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
		request, _ := http.NewRequest(http.MethodGet, "http://"+link.Address()+"/note", nil)
		request.Header.Set(standin.KeyHeader, "k1")
		request.Header.Set(standin.RunTimeHeader, "20")
		response, err := client.Do(request)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	// Guards against an upstream that does not record a start, and a link that does not apply its delay.
	ginkgo.It("returns the response after the run time and the delay of each direction, and the upstream records the start", func() {
		began := time.Now()
		body, err := get()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(body).To(gomega.Equal("GET /note: 0 bytes"))
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 10*time.Millisecond+2*delay))
		starts := upstream.Starts()
		gomega.Expect(starts).To(gomega.HaveLen(1))
		gomega.Expect(starts[0].Key).To(gomega.Equal("k1"))
		gomega.Expect(starts[0].Work).To(gomega.Equal(20 * time.Millisecond))
		gomega.Expect(starts[0].Run).To(gomega.Equal(10 * time.Millisecond))
		gomega.Expect(upstream.Running()).To(gomega.BeZero())
	})

	ginkgo.It("forwards nothing while it is cut, and recovers when it is healed", func() {
		link.Cut()
		_, err := get()
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(upstream.Starts()).To(gomega.BeEmpty())
		link.Heal()
		gomega.Expect(get()).To(gomega.Equal("GET /note: 0 bytes"))
	})

	ginkgo.It("withholds data while it is frozen", func() {
		link.Freeze()
		responded := make(chan error, 1)
		go func() {
			_, err := get()
			responded <- err
		}()
		gomega.Consistently(upstream.Starts, 100*time.Millisecond).Should(gomega.BeEmpty())
		link.Heal()
		gomega.Eventually(responded, 2*time.Second).Should(gomega.Receive(gomega.BeNil()))
	})

	ginkgo.It("withholds the data of one direction while the other one works", func() {
		link.FreezeOneWay(standin.FromTarget)
		responded := make(chan error, 1)
		go func() {
			_, err := get()
			responded <- err
		}()
		gomega.Eventually(upstream.Starts).Should(gomega.HaveLen(1))
		gomega.Consistently(responded, 100*time.Millisecond).ShouldNot(gomega.Receive())
		link.Heal()
		gomega.Eventually(responded, 2*time.Second).Should(gomega.Receive(gomega.BeNil()))
	})

	ginkgo.DescribeTable("shows the client the simulated fault, and the upstream still records the start:",
		func(fault standin.Fault, check func(body string, err error)) {
			upstream.SetFault(fault, 1)
			check(get())
			gomega.Expect(upstream.Starts()).To(gomega.HaveLen(1))
		},
		ginkgo.Entry("a failed task", standin.FaultFail, func(body string, err error) {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(body).To(gomega.Equal("the task failed"))
		}),
		ginkgo.Entry("a truncated body", standin.FaultCutBody, func(_ string, err error) {
			gomega.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
		}),
		ginkgo.Entry("a connection closed without a response", standin.FaultNoResponse, func(_ string, err error) {
			gomega.Expect(err).To(gomega.HaveOccurred())
		}),
	)

	ginkgo.It("applies the fault to the given share of the tasks", func() {
		upstream.SetFault(standin.FaultFail, 0.5)
		failed := 0
		for range 4 {
			body, err := get()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			if body == "the task failed" {
				failed++
			}
		}
		gomega.Expect(failed).To(gomega.Equal(2))
	})
})
