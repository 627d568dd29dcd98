package httpapi_test

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"pollenpaddle/internal/connection/budget"
)

// Guards against headers and addresses inside the limits that are refused or mixed up with those of the next request, and
// against others that are not refused.
func TestHeadersAndTheirLimits(t *testing.T) {
	s := startGuarded(t, budget.Listener{Connections: 8})
	c := s.dial()
	for _, headers := range []string{"", strings.Repeat("a:b\r\n", 250), "X-Long: " + strings.Repeat("x", 15_000) + "\r\n", ""} {
		status, body := c.send("/", headers+length(3), "xxx").receive()
		s.expect.Expect([]any{status, body}).To(gomega.Equal([]any{http.StatusOK, "3"}))
	}
	status, _ := c.send("/"+strings.Repeat("p", 2000), length(3), "xxx").receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
	status, body := s.dial().send("/", strings.Repeat("a:b\r\n", 260)+length(3), "x").receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge), body)
	status, body = s.dial().send("/"+strings.Repeat("p", 2100), length(3), "x").receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusRequestURITooLong), body)
	s.expectNothingHeld()
}

// Guards against a connection that keeps the longest header that each position has ever had.
func TestLargeHeadersAreNotKept(t *testing.T) {
	const connections, requests, maxKept = 10, 60, 3 << 20
	s := startGuarded(t, budget.Listener{Connections: connections})
	inUse := func() int {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	before := inUse()
	clients := make([]*client, connections)
	for k := range clients {
		clients[k] = s.dial()
		for n := range requests {
			status, _ := clients[k].send("/", strings.Repeat("a:b\r\n", n)+"a:"+strings.Repeat("c", 15_000)+"\r\n"+length(0), "").receive()
			s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
		}
	}
	s.expect.Expect(inUse() - before).To(gomega.BeNumerically("<", maxKept))
	runtime.KeepAlive(clients)
}
