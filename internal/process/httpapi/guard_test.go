package httpapi_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/process/httpapi"
)

const testBodyBytes = 100_000

// guarded is a server that responds with the size of the body.
type guarded struct {
	t       *testing.T
	expect  *gomega.WithT
	guard   *httpapi.Guard
	address string
	lines   *observer.ObservedLogs
	release chan struct{} // a request for /wait is carried out until it receives
}

func startGuarded(t *testing.T, limits budget.Listener) *guarded {
	return startGuardedWithTimeouts(t, limits, 0, time.Minute)
}

func startGuardedWithTimeouts(t *testing.T, limits budget.Listener, header, idle time.Duration) *guarded {
	s := &guarded{t: t, expect: gomega.NewWithT(t), release: make(chan struct{})}
	core, lines := observer.New(zap.InfoLevel)
	s.lines = lines
	var err error
	s.guard, err = httpapi.NewGuard(budget.Config{Bytes: 200_000, ReservedBytes: 50_000, ReceiveBytes: budget.MinReceiveBytes}, zap.New(core), prometheus.NewRegistry())
	s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	server, err := s.guard.NewServer(httpapi.ServerConfig{
		Name: "test", Limits: limits, BodyBytes: testBodyBytes, HeaderTimeout: header, IdleTimeout: idle, WriteTimeout: time.Minute, Track: true,
		Class: func(*fasthttp.RequestCtx) budget.Class { return budget.Callers }, WriteError: httpapi.WriteError,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/wait" {
				<-s.release
			}
			if string(ctx.Path()) == "/json" {
				var target any
				if err := httpapi.ReadJSON(ctx, &target); err != nil {
					httpapi.WriteError(ctx, err)
				}
				return
			}
			if body := ctx.PostBody(); bytes.Count(body, []byte("x")) == len(body) {
				ctx.SetBodyString(fmt.Sprint(len(body)))
			}
		},
	})
	s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	listener, err := server.Listen("127.0.0.1:0")
	s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

// client is a connection to the server.
type client struct {
	net.Conn
	s      *guarded
	reader *bufio.Reader
}

func (s *guarded) dial() *client {
	conn, err := net.Dial("tcp", s.address)
	s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &client{Conn: conn, s: s, reader: bufio.NewReader(conn)}
}

func (c *client) send(path, headers, body string) *client {
	_, err := io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\n"+headers+"\r\n"+body)
	c.s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

// receive returns the status and the body of the next response, or 0 if the connection is closed.
func (c *client) receive() (int, string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	if response.StatusCode >= http.StatusBadRequest {
		c.s.expect.Expect(json.Valid(body)).To(gomega.BeTrue(), string(body))
	}
	return response.StatusCode, string(body)
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

func chunks(sizes ...int) string {
	var text strings.Builder
	for _, n := range sizes {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return text.String()
}

const chunked = "Transfer-Encoding: chunked\r\n"

// Guards against a body inside the limits that is refused, cut or mixed up with the next request, and against bytes that
// stay granted.
func TestBodiesInsideTheLimits(t *testing.T) {
	s := startGuarded(t, budget.Listener{Connections: 4})
	c := s.dial()
	for _, n := range []int{0, 1, 4_800, 8 << 10, 8<<10 + 1, 50_000, testBodyBytes} {
		body := strings.Repeat("x", n)
		c.send("/", length(n), body).send("/", length(n), body) // the second one is pipelined
		c.send("/", chunked, chunks(1, max(1, n-1))+"0\r\n\r\n")
		for _, size := range []int{n, n, max(2, n)} {
			status, response := c.receive()
			s.expect.Expect([]any{status, response}).To(gomega.Equal([]any{200, fmt.Sprint(size)}))
		}
		c.send("/", length(n)+"Expect: 100-continue\r\n", "")
		if n > 0 {
			status, _ := c.receive()
			s.expect.Expect(status).To(gomega.Equal(100))
		} else {
			_, _ = c.receive()
		}
		_, err := io.WriteString(c, body)
		s.expect.Expect(err).NotTo(gomega.HaveOccurred())
		status, response := c.receive()
		s.expect.Expect([]any{status, response}).To(gomega.Equal([]any{200, fmt.Sprint(n)}))
	}
	s.expectNothingHeld()
	s.expect.Expect(s.lines.Len()).To(gomega.BeZero())
}

func (s *guarded) expectNothingHeld() {
	s.t.Helper()
	s.expect.Eventually(func() [3]int {
		d := s.guard.Dump()
		return [3]int{d.CallerBytes, d.ReservedBytes, d.Waiting}
	}).Should(gomega.BeZero())
}

// Guards against a body over the limit that is read or gets no typed response, announced, expected or chunked, and against
// log lines with what the client sent or one for each request.
func TestBodiesOverTheLimit(t *testing.T) {
	s := startGuarded(t, budget.Listener{Connections: 8})
	for _, request := range []struct{ headers, body string }{
		{length(testBodyBytes + 1), ""},
		{length(8_000_000), strings.Repeat("x", 300_000)},
		{length(8_000_000) + "Expect: 100-continue\r\n", ""},
		{chunked, chunks(testBodyBytes + 1)},
		{chunked, chunks(testBodyBytes/2, testBodyBytes/2, 1)},
	} {
		status, body := s.dial().send("/", "Authorization: secret\r\n"+request.headers, request.body).receive()
		s.expect.Expect(status).To(gomega.Equal(http.StatusRequestEntityTooLarge))
		s.expect.Expect(body).To(gomega.And(gomega.ContainSubstring("too_large"), gomega.ContainSubstring("remedy"), gomega.ContainSubstring("nothing was run")))
	}
	status, _ := s.dial().send("/", "X-Long: secret"+strings.Repeat("x", 20_000)+"\r\n", "").receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	status, _ = s.dial().send("/", "secret\r\n", "").receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusBadRequest))
	s.expectNothingHeld()
	s.expect.Expect(s.lines.FilterField(zap.Int("event", 1050)).Len()).To(gomega.Equal(1))
	for _, line := range s.lines.All() {
		s.expect.Expect(fmt.Sprint(line)).NotTo(gomega.ContainSubstring("secret"))
	}
}

// Guards against a sender that stops and keeps the bytes from others for ever, and against a small request that has to
// wait for them.
func TestSlowSenderLosesItsGrant(t *testing.T) {
	s := startGuarded(t, budget.Listener{Connections: 8})
	slow := s.dial().send("/", length(testBodyBytes), strings.Repeat("x", testBodyBytes-1))
	s.expect.Eventually(func() int { return s.guard.Dump().CallerBytes }).Should(gomega.Equal(testBodyBytes))
	next := s.dial().send("/", length(testBodyBytes), strings.Repeat("x", testBodyBytes))
	s.expect.Eventually(func() int { return s.guard.Dump().Waiting }).Should(gomega.Equal(1))
	status, _ := s.dial().send("/", length(4800), strings.Repeat("x", 4800)).receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
	status, body := slow.receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusRequestTimeout), body)
	status, body = next.receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusOK), body)
	s.expectNothingHeld()
}

// Guards against waiting jobs that leave no connection for others, and a connection that is closed while its request is
// carried out.
func TestConnectionsOfAFullListener(t *testing.T) {
	s := startGuarded(t, budget.Listener{Connections: 8})
	var waiting []*client
	for range 7 {
		waiting = append(waiting, s.dial().send("/wait", length(0), ""))
	}
	s.expect.Eventually(func() int { return s.guard.Dump().Listeners[0].Serving }).Should(gomega.Equal(7))
	for range 20 {
		c := s.dial()
		status, body := c.send("/", length(0), "").receive()
		s.expect.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), body)
	}
	close(s.release)
	for _, c := range waiting {
		status, _ := c.receive()
		s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
	}
	status, _ := s.dial().send("/", length(0), "").receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
}

// Guards against clients that keep a connection by stopping within a request or between two.
func TestTimeoutsOfRequests(t *testing.T) {
	s := startGuardedWithTimeouts(t, budget.Listener{Connections: 8}, 2*time.Second, 2*time.Second)
	idle := s.dial()
	status, _ := idle.send("/", length(1), "x").receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
	stopped := map[string]*client{}
	for name, sent := range map[string]string{
		"in the request line":   "POST /",
		"in the headers":        "POST / HTTP/1.1\r\nHost: h\r\nX-Fill: ",
		"in a small body":       "POST / HTTP/1.1\r\nHost: h\r\n" + length(10) + "\r\nxxx",
		"in the expected body":  "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n" + length(10) + "\r\n",
		"in a small first part": "POST / HTTP/1.1\r\nHost: h\r\n" + length(50_000) + "\r\nxxx",
	} {
		stopped[name] = s.dial()
		_, err := io.WriteString(stopped[name], sent)
		s.expect.Expect(err).NotTo(gomega.HaveOccurred())
	}
	for name, c := range stopped {
		status, body := c.receive()
		if status == http.StatusContinue {
			status, body = c.receive()
		}
		s.expect.Expect(status).To(gomega.Equal(http.StatusRequestTimeout), name+body)
		status, _ = c.receive()
		s.expect.Expect(status).To(gomega.BeZero(), name) // closed
	}
	status, _ = idle.receive()
	s.expect.Expect(status).To(gomega.BeZero())
	s.expect.Eventually(func() int { return s.guard.Dump().Listeners[0].Idle }).Should(gomega.BeZero())
	s.expectNothingHeld()
}

// Guards against what a client sends that ends the server, keeps it from answering others, or leaves bytes granted.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxxx", "POST /json HTTP/1.1\r\nHost: h\r\n" + chunked + "\r\n4\r\n[{}]\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000), "GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", "GET * HTTP/1.0\r\n\r\n\x00\x16\x03",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		s := startGuarded(t, budget.Listener{Connections: 8})
		if bytes.Contains(sent, []byte("/wait")) {
			return
		}
		c := s.dial()
		_, _ = c.Write(sent)
		_ = c.Close()
		status, _ := s.dial().send("/", length(1), "x").receive()
		s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
		s.expectNothingHeld()
	})
}

// Guards against a document that takes many times its size when it is decoded.
func TestDocumentsThatGrow(t *testing.T) {
	s := startGuarded(t, budget.Listener{Connections: 4})
	body := "[" + strings.Repeat("{},", 30_000) + "{}]"
	status, _ := s.dial().send("/json", length(len(body)), body).receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	body = "[" + strings.Repeat("{},", 2600) + "{}]" // smaller than what needs no grant to be read
	status, _ = s.dial().send("/json", length(len(body)), body).receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	body = `{"text":"` + strings.Repeat("{,[n", 15_000) + `"}`
	status, _ = s.dial().send("/json", length(len(body)), body).receive()
	s.expect.Expect(status).To(gomega.Equal(http.StatusOK))
	s.expectNothingHeld()
}

// Guards against an estimate below what the values of a document take, and against a fault on any document.
func FuzzDecodedBytes(f *testing.F) {
	for _, seed := range []string{"", `[{},{}]`, `{"a":"\"{","b":[null,1]}`, `"\`, `["a","b"]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		estimate := httpapi.DecodedBytes(document)
		var decoded any
		if json.Unmarshal(document, &decoded) != nil {
			return
		}
		values, objects := count(decoded)
		if least := 24*values + 196*objects; estimate < least {
			t.Fatalf("%d bytes for %d values and %d objects", estimate, values, objects)
		}
	})
}

// count returns the number of values in a decoded document and how many of them are objects or null. Fields with the same
// name count once.
func count(decoded any) (values, objects int) {
	values = 1
	var elements []any
	switch d := decoded.(type) {
	case nil:
		return 1, 1
	case map[string]any:
		objects = 1
		for _, element := range d {
			elements = append(elements, element)
		}
	case []any:
		elements = d
	}
	for _, element := range elements {
		v, o := count(element)
		values, objects = values+v, objects+o
	}
	return values, objects
}
