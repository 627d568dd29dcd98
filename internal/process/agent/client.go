package agent

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/workerhost"
	"pollenpaddle/internal/request/startgate"
)

const (
	// dialTimeout bounds the time to connect to the upstream on the same host.
	dialTimeout = time.Second
	// callTimeout is the longest run time of one task.
	callTimeout = 10 * time.Minute
	// idleTimeout is shorter than the idle timeouts of common HTTP servers, because a close by the
	// upstream could race with the next request.
	idleTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of an upstream's response.
	maxResponseBytes = 8 << 20
	// maxResponseHeaderBytes bounds the headers of an upstream's response. A call whose response has
	// larger ones fails.
	maxResponseHeaderBytes = 16 << 10
)

var (
	// errNoConnection marks a call that failed before a connection existed, so nothing was sent.
	errNoConnection = errors.New("no connection to the upstream")
	// errStopped is marked as errNoConnection when it is returned.
	errStopped = errors.New("the call was stopped before it began")
)

// upstreamClient makes one call at a time to the upstream, over its own connection and on its own
// goroutine.
type upstreamClient struct {
	pool  *clientPool
	calls chan startgate.Call
	conn  clientConn
	http  *fasthttp.HostClient
}

func newUpstreamClient(pool *clientPool) *upstreamClient {
	c := &upstreamClient{pool: pool, calls: make(chan startgate.Call, 1)}
	go c.run()
	return c
}

// connect sets the upstream's address. If it has changed, the connection to the previous one is closed.
func (c *upstreamClient) connect(address string) {
	if c.http != nil && c.http.Addr == address {
		return
	}
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.http = &fasthttp.HostClient{
		Addr: address, MaxConns: 1, MaxResponseBodySize: maxResponseBytes, ReadBufferSize: maxResponseHeaderBytes,
		NoDefaultUserAgentHeader: true, MaxIdleConnDuration: idleTimeout,
		DisablePathNormalizing: true, MaxIdemponentCallAttempts: 1,
		// A retry inside the client would start a task twice.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       c.dial,
	}
}

func (c *upstreamClient) dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, errors.Mark(err, errNoConnection)
	}
	tracked, ok := c.conn.set(conn)
	if !ok {
		_ = conn.Close()
		return nil, errors.Mark(errStopped, errNoConnection)
	}
	return tracked, nil
}

func (c *upstreamClient) run() {
	for call := range c.calls {
		ended, err := c.protectedCall(call)
		if err != nil {
			c.pool.reportFault(err)
			ended = startgate.CallEnded{ID: call.ID, Result: job.Result{
				State: job.MayHaveRun, FailureKind: failure.MayHaveRun, Message: "the call to the upstream ended by an unexpected fault",
			}}
		}
		c.pool.release(c, call.ID)
		c.pool.ended(ended)
	}
}

// protectedCall is like call. The error stands for a fault.
func (c *upstreamClient) protectedCall(call startgate.Call) (ended startgate.CallEnded, err error) {
	defer failure.RecoverFault(&err)
	return c.call(call), nil
}

func (c *upstreamClient) call(call startgate.Call) startgate.CallEnded {
	ended := startgate.CallEnded{ID: call.ID, NotSent: true}
	if clock.SinceBoot() >= call.NotAfter {
		return ended // the process was suspended between the start gate's decision and the call
	}
	if p := c.pool.platform; p != nil {
		task := workerhost.Task{ID: platformTaskID(call.ID), Need: call.Task.Need}
		ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
		err := p.Lease(ctx, task)
		cancel()
		if err != nil {
			c.pool.platformFailed("lease", err)
			return ended
		}
		defer p.Release(task.ID)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	c.connect(c.pool.target())
	fillRequest(request, c.http.Addr, &call.Task)
	stale, stopped := c.conn.check()
	if stopped {
		return ended
	}
	if stale {
		c.http.CloseIdleConnections() // nothing of this call was sent yet, so a new connection is safe
	}
	began := time.Now()
	err := c.http.DoTimeout(request, response, callTimeout)
	ended.Result.RunTime = time.Since(began)
	ended.NotSent = errors.Is(err, errNoConnection)
	if err != nil {
		stopped, responded := c.conn.state()
		failCall(&ended.Result, err, stopped, responded)
	} else {
		fillResult(&ended.Result, response)
	}
	return ended
}

func fillRequest(request *fasthttp.Request, address string, task *job.Task) {
	request.Header.SetMethod(task.Method)
	request.SetRequestURI("http://" + address + task.Path)
	for _, header := range task.Headers {
		request.Header.Set(header.Name, header.Value)
	}
	request.SetBodyRaw(task.Body)
}

// failCall sets the result of a call that failed. Once a connection existed, the task may have run:
// even if the upstream closed the connection right before the request, it may have read the request
// first. Only if part of a response has arrived is it certain that the task did run.
func failCall(result *job.Result, err error, stopped, responded bool) {
	switch {
	case stopped:
		result.State, result.FailureKind = job.MayHaveRun, failure.MayHaveRun
		result.Message = "cancelled while running"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		result.State, result.FailureKind = job.Failed, failure.TooLarge
		result.Message = "the upstream's response exceeds the limit of 8 MiB"
	case responded:
		result.State, result.FailureKind = job.Failed, failure.UpstreamFailed
		result.Message = "the upstream's response could not be read completely: " + err.Error()
	default:
		result.State, result.FailureKind = job.MayHaveRun, failure.MayHaveRun
		result.Message = "the upstream did not respond to the request, which it may have received: " + err.Error()
	}
}

func fillResult(result *job.Result, response *fasthttp.Response) {
	result.Status = response.StatusCode()
	result.State = job.Done
	if result.Status >= fasthttp.StatusInternalServerError {
		result.State, result.FailureKind = job.Failed, failure.UpstreamFailed
		result.Message = "the upstream responded with an error status"
	}
	result.Body = append([]byte(nil), response.Body()...)
	size := 0
	for name, value := range response.Header.All() {
		if size += len(name) + len(value); size > maxResponseHeaderBytes {
			return
		}
		if !hopByHop(string(name)) {
			result.Headers = append(result.Headers, job.Header{Name: string(name), Value: string(value)})
		}
	}
}

// hopByHop reports whether a header concerns only the connection to the upstream.
func hopByHop(name string) bool {
	switch name {
	case fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderTrailer:
		return true
	}
	return false
}
