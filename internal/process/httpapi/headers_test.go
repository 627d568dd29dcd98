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
	for name, sent := range map[string]struct{ connections, requests, bytes, maxKept int }{
		"largest":      {10, 60, 15_000, 3 << 20},
		"one kilobyte": {40, 190, 950, 2 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			s := startGuarded(t, budget.Listener{Connections: sent.connections})
			before := heapInUse()
			clients := make([]*client, sent.connections)
			for k := range clients {
				clients[k] = s.dial()
				for n := range sent.requests {
					short := strings.Repeat("a:b\r\n", n)
					long := "a:" + strings.Repeat("c", max(1, sent.bytes-len(short))) + "\r\n"
					status, _ := clients[k].send("/", short+long+length(0), "").receive()
					s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
				}
			}
			s.expect.Expect(heapInUse() - before).To(gomega.BeNumerically("<", sent.maxKept))
			runtime.KeepAlive(clients)
		})
	}
}

func heapInUse() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
