package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/httpapi"
)

// Exit codes of the command-line tool.
const (
	ExitSuccess    = 0
	ExitError      = 1
	ExitUsage      = 2
	ExitInvalid    = 3
	ExitNotFound   = 4
	ExitConflict   = 5
	ExitNotRun     = 6
	ExitMayHaveRun = 7
	ExitPermission = 8
)

var exitOfKind = map[failure.Kind]int{
	failure.InvalidArgument:  ExitInvalid,
	failure.TooLarge:         ExitInvalid,
	failure.NotFound:         ExitNotFound,
	failure.RevisionConflict: ExitConflict,
	failure.Overloaded:       ExitNotRun,
	failure.QuotaExceeded:    ExitNotRun,
	failure.NeverFits:        ExitNotRun,
	failure.Unavailable:      ExitNotRun,
	failure.MayHaveRun:       ExitMayHaveRun,
	failure.Cancelled:        ExitMayHaveRun,
	failure.UpstreamFailed:   ExitMayHaveRun,
	failure.Unauthenticated:  ExitPermission,
	failure.PermissionDenied: ExitPermission,
}

// errJobFailed reports that the response of a failed job was printed.
var errJobFailed = errors.New("the job failed")

// report prints err and returns its exit code.
func (t *invocation) report(err error) int {
	if errors.Is(err, errJobFailed) {
		return ExitMayHaveRun
	}
	fmt.Fprintln(t.Err, "pollenpaddle: error:", err)
	var typed *failure.Error
	if !errors.As(err, &typed) {
		if t.client == nil || !t.client.requestSent { // the command line was rejected before any request
			return ExitUsage
		}
		return ExitError
	}
	if code, known := exitOfKind[typed.Kind]; known {
		return code
	}
	return ExitError
}

// client sends requests to one process.
type client struct {
	http        fasthttp.Client
	address     string
	token       string
	timeout     time.Duration
	requestSent bool
}

// initClient initialises the client; it opens no connection.
func (t *invocation) initClient() error {
	t.client = &client{address: t.address, timeout: t.timeout}
	t.client.http = fasthttp.Client{
		Name: "pollenpaddle", NoDefaultUserAgentHeader: true, MaxResponseBodySize: maxResponseBytes,
		// By default the library resends a request whose response was lost.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if t.tokenFile == "" {
		return nil
	}
	token, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return failure.New(failure.InvalidArgument, "set --token-file to a readable file", "cannot read the token: %v", err)
	}
	t.client.token = string(bytes.TrimSpace(token))
	return nil
}

// maxResponseBytes limits the size of a response, because the tool must not exhaust the memory of the
// machine. A job of 110 tasks with results of 8 MiB each would exceed it; jobs of that size are not
// expected.
const maxResponseBytes = 256 << 20

// call sends a request with a JSON body (nil for none) and decodes the JSON response into target
// (nil to discard it). An error response is returned as a failure.Error.
func (c *client) call(method, path string, body, target any) error {
	received, err := c.raw(method, path, body)
	if err != nil || target == nil || len(received) == 0 {
		return err
	}
	if err := json.Unmarshal(received, target); err != nil {
		return failure.New(failure.Internal, "run the same release on both ends", "cannot decode the response of %s: %v", c.address, err)
	}
	return nil
}

// raw sends a request with a JSON body (nil for none) and returns the body of the response.
func (c *client) raw(method, path string, body any) ([]byte, error) {
	c.requestSent = true
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	if c.token != "" {
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	if err := setBody(request, body); err != nil {
		return nil, err
	}
	if err := c.http.DoTimeout(request, response, c.timeout); err != nil {
		return nil, c.transportError(err)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return nil, decodeError(response)
	}
	return append([]byte(nil), response.Body()...), nil
}

// transportError distinguishes a request that was never sent from one whose outcome is unknown.
func (c *client) transportError(err error) error {
	var dial *fasthttp.ErrDialWithUpstream
	if errors.As(err, &dial) {
		return failure.New(failure.Unavailable, "start the process or correct --address", "cannot connect to %s: %v", c.address, err)
	}
	return failure.New(failure.MayHaveRun, "repeat the command; a job or request may run twice unless its id was set in the job file or with --id", "no response from %s: %v", c.address, err)
}

func setBody(request *fasthttp.Request, body any) error {
	if body == nil {
		return nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the request")
	}
	request.SetBody(encoded)
	request.Header.SetContentType("application/json")
	return nil
}

func decodeError(response *fasthttp.Response) error {
	var body httpapi.ErrorBody
	if err := json.Unmarshal(response.Body(), &body); err != nil || body.Kind == "" {
		return failure.New(failure.Internal, "check that --address names a pollenpaddle process", "unexpected response with status %d", response.StatusCode())
	}
	return failure.New(body.Kind, body.Remedy, "%s", body.Message)
}
