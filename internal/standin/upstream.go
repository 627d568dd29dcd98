// Package standin provides stand-ins for external systems, for use by tests, the quickstart and
// measurements: an upstream that simulates tasks by sleeping and records every start, a network
// link with a delay and injectable faults, and a worker platform.
package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// RunTimeHeader is the request header that sets the run time of a task at speed 1, in milliseconds.
	RunTimeHeader = "X-Run-Ms"
	// KeyHeader is the request header that identifies a task in the recorded starts.
	KeyHeader = "X-Task-Key"
	// ResponseBytesHeader is the request header that sets the minimum size of the response body in bytes.
	ResponseBytesHeader = "X-Answer-Bytes"
	// StartsPath is the path that serves the recorded starts as JSON.
	StartsPath = "/_standin/starts"
)

// Fault is a kind of failure that an upstream simulates.
type Fault string

// Simulated faults.
const (
	FaultNone       Fault = ""
	FaultFail       Fault = "fail"      // responds with status 500 at once
	FaultHang       Fault = "hang"      // responds only after HangTime
	FaultCutBody    Fault = "cut_body"  // sends a body shorter than its Content-Length
	FaultNoResponse Fault = "no_answer" // closes the connection after the task has run
)

// HangTime is how long FaultHang delays a response.
const HangTime = 30 * time.Second

// Start records one task that an upstream started.
type Start struct {
	Key   string        `json:"key"` // KeyHeader, or the request path
	At    time.Time     `json:"at"`
	Run   time.Duration `json:"run"`   // time for which the task runs: Work divided by the speed, unless the fault changes it
	Work  time.Duration `json:"work"`  // run time at speed 1
	Fault Fault         `json:"fault"` // fault that was applied to the task
}

// Upstream is an HTTP server that responds to each task after its run time.
type Upstream struct {
	mu               sync.Mutex
	speed            float64
	fault            Fault
	share            float64 // share of tasks to which the fault applies
	accumulatedShare float64 // rises by share with each task and falls by 1 with each fault, so that faults are evenly spaced
	starts           []Start
	running          int
	server           *fasthttp.Server
}

// NewUpstream returns an upstream that divides the run times of RunTimeHeader by speed.
func NewUpstream(speed float64) *Upstream {
	u := &Upstream{speed: speed}
	u.server = &fasthttp.Server{Name: "standin-upstream", Handler: u.handle, CloseOnShutdown: true, ReadBufferSize: 16 << 10}
	return u
}

// Serve handles requests on listener until Close is called.
func (u *Upstream) Serve(listener net.Listener) error { return u.server.Serve(listener) }

// Close stops the server.
func (u *Upstream) Close() error { return u.server.Shutdown() }

// SetFault applies a fault to a share (0 to 1) of the tasks that start from now on.
func (u *Upstream) SetFault(fault Fault, share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault, u.share = fault, share
}

// Starts returns the recorded starts in the order in which the tasks arrived.
func (u *Upstream) Starts() []Start {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Start(nil), u.starts...)
}

// Running returns the number of tasks in progress.
func (u *Upstream) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// recordStart records the start of a task before the task runs.
func (u *Upstream) recordStart(ctx *fasthttp.RequestCtx) Start {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := Start{Key: string(ctx.Request.Header.Peek(KeyHeader)), At: time.Now()}
	if s.Key == "" {
		s.Key = string(ctx.Path())
	}
	if ms, err := strconv.ParseFloat(string(ctx.Request.Header.Peek(RunTimeHeader)), 64); err == nil && ms > 0 {
		s.Work = time.Duration(ms * float64(time.Millisecond))
		s.Run = time.Duration(float64(s.Work) / u.speed)
	}
	if u.accumulatedShare += u.share; u.fault != FaultNone && u.accumulatedShare >= 1 {
		u.accumulatedShare--
		s.Fault = u.fault
	}
	switch s.Fault {
	case FaultFail:
		s.Run = 0
	case FaultHang:
		s.Run = HangTime
	}
	u.starts = append(u.starts, s)
	u.running++
	return s
}

func (u *Upstream) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == StartsPath {
		u.writeStarts(ctx)
		return
	}
	s := u.recordStart(ctx)
	time.Sleep(s.Run)
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	switch s.Fault {
	case FaultFail:
		ctx.Error("the task failed", fasthttp.StatusInternalServerError)
	case FaultCutBody:
		hijack(ctx, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1000\r\n\r\ncut")
	case FaultNoResponse:
		hijack(ctx, "")
	default:
		writeResponse(ctx)
	}
}

// hijack writes raw bytes instead of a response and closes the connection.
func hijack(ctx *fasthttp.RequestCtx, raw string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, _ = conn.Write([]byte(raw)) // the peer may be gone
	})
}

func (u *Upstream) writeStarts(ctx *fasthttp.RequestCtx) {
	encoded, err := json.Marshal(u.Starts())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

func writeResponse(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/recipes/scale" {
		scaleRecipe(ctx)
		return
	}
	fmt.Fprintf(ctx, "%s %s: %d bytes", ctx.Method(), ctx.Path(), len(ctx.PostBody()))
	if size, err := strconv.Atoi(string(ctx.Request.Header.Peek(ResponseBytesHeader))); err == nil {
		_, _ = ctx.Write(bytes.Repeat([]byte{'x'}, max(0, size-len(ctx.Response.Body())))) // a write to a buffer cannot fail
	}
}

// recipe is the body of the example task of the quickstart, which scales a recipe, and of its response.
type recipe struct {
	Recipe      string             `json:"recipe"`
	Factor      float64            `json:"factor,omitempty"`
	Ingredients map[string]float64 `json:"ingredients"` // grams
}

func scaleRecipe(ctx *fasthttp.RequestCtx) {
	var r recipe
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error("malformed recipe: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	for name, grams := range r.Ingredients {
		r.Ingredients[name] = grams * r.Factor
	}
	r.Factor = 0
	encoded, err := json.Marshal(r)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}
