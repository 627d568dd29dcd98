package entry

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/request/tracker"
)

// Headers of the response to POST /v1/requests.
const (
	// StateHeader names the state of the task.
	StateHeader = "Pollenpaddle-State"
	// JobHeader names the id under which the request can be looked up.
	JobHeader = "Pollenpaddle-Job"
)

// postRequest serves POST /v1/requests: one task, whose upstream response is passed through.
func (e *Entry) postRequest(ctx *fasthttp.RequestCtx) error {
	principal, err := e.authenticate(ctx)
	if err != nil {
		return err
	}
	wait, err := e.readWait(ctx, e.config.MaxWait)
	if err != nil {
		return err
	}
	var body RequestBody
	if err := httpapi.ReadJSON(ctx, &body); err != nil {
		return err
	}
	if body.Idempotent == nil {
		return failure.New(failure.InvalidArgument, "send idempotent true if the request may run more than once, else false", "the field idempotent is missing")
	}
	body.TaskBody.Idempotent = *body.Idempotent
	submission, idGenerated, err := e.toSubmission(&SubmissionBody{
		Class: body.Class, Organisation: body.Organisation, ID: body.ID, SubmittedAt: body.SubmittedAt, Tasks: []TaskBody{body.TaskBody},
	}, principal)
	if err != nil {
		return err
	}
	submission.Kind = job.KindRequest
	ctx.Response.Header.Set(JobHeader, submission.Key.ID)
	r, err := e.submitAndWait(submission, idGenerated, wait)
	if err != nil {
		return err
	}
	if r.view.Phase <= tracker.Running {
		ctx.Response.Header.Set(StateHeader, "running")
		writeView(ctx, r.view)
		return nil
	}
	return writeResult(ctx, &r.view.Results[0], r.retryAfter)
}

// reservedHeaders are headers of the upstream's response that are not passed through, because they
// concern one connection or are set by this process's HTTP server.
var reservedHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Server", "Date",
}

// writeResult passes the upstream's response through, or returns a typed error if there is none.
func writeResult(ctx *fasthttp.RequestCtx, r *job.Result, retryAfter time.Duration) error {
	ctx.Response.Header.Set(StateHeader, r.State.String())
	if r.Status == 0 {
		return resultError(r, retryAfter)
	}
	for _, h := range r.Headers {
		if !isReservedHeader(h.Name) {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
	ctx.SetStatusCode(r.Status)
	ctx.SetBody(r.Body)
	return nil
}

// isReservedHeader reports whether a header is in reservedHeaders or is one of the headers that this
// entry sets itself.
func isReservedHeader(name string) bool {
	for _, header := range reservedHeaders {
		if strings.EqualFold(name, header) {
			return true
		}
	}
	return strings.EqualFold(name, StateHeader) || strings.EqualFold(name, JobHeader)
}

// resultError returns the error for a request that got no response from the upstream.
func resultError(r *job.Result, retryAfter time.Duration) *failure.Error {
	kind, remedy := r.FailureKind, "repeat the request only if running it twice does no harm"
	switch r.State {
	case job.NotRun:
		if kind == "" {
			kind = failure.Unavailable
		}
		remedy = "resubmit the request; it was not run"
	case job.MayHaveRun:
		kind = failure.MayHaveRun
	default:
		// Whatever the reason, the request ran: kinds that elsewhere mean "not run" would make callers send it again.
		kind, retryAfter = failure.UpstreamFailed, 0
	}
	message := r.Message
	if message == "" {
		message = "the request ended in the state " + r.State.String()
	}
	return failure.New(kind, remedy, "%s", message).WithRetryAfter(retryAfter)
}
