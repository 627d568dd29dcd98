package entry

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/auth"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/request/tracker"
)

func (e *Entry) authenticate(ctx *fasthttp.RequestCtx) (auth.Principal, error) {
	return e.config.Tokens.Authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
}

// postJob serves POST /v1/jobs.
func (e *Entry) postJob(ctx *fasthttp.RequestCtx) error {
	principal, err := e.authenticate(ctx)
	if err != nil {
		return err
	}
	wait, err := e.readWait(ctx, e.config.MaxWait)
	if err != nil {
		return err
	}
	var body SubmissionBody
	if err := httpapi.ReadJSON(ctx, &body); err != nil {
		return err
	}
	submission, idGenerated, err := e.toSubmission(&body, principal)
	if err != nil {
		return err
	}
	r, err := e.submitAndWait(submission, idGenerated, wait)
	if err != nil {
		return err
	}
	writeView(ctx, r.view)
	return nil
}

// getJob serves GET /v1/jobs/{id}.
func (e *Entry) getJob(ctx *fasthttp.RequestCtx) error { return e.lookupOrCancel(ctx, false) }

// deleteJob serves DELETE /v1/jobs/{id}, which cancels the job.
func (e *Entry) deleteJob(ctx *fasthttp.RequestCtx) error { return e.lookupOrCancel(ctx, true) }

func (e *Entry) lookupOrCancel(ctx *fasthttp.RequestCtx, cancel bool) error {
	principal, err := e.authenticate(ctx)
	if err != nil {
		return err
	}
	id, _ := ctx.UserValue("id").(string)
	if err := job.ValidateID(id); err != nil {
		return err
	}
	organisation, err := requestedOrganisation(ctx, principal, id)
	if err != nil {
		return err
	}
	wait, err := e.readWait(ctx, 0)
	if err != nil {
		return err
	}
	responses, waiterID := make(chan response, 1), make(chan tracker.WaiterID, 1)
	request := lookupRequested{
		key: job.Key{Organisation: organisation, ID: id}, wait: wait > 0, cancel: cancel, response: responses, waiterID: waiterID,
	}
	if !e.loop.TryPost(request) {
		return errBusy()
	}
	r, err := e.await(responses, waiterID, wait)
	if err != nil {
		return err
	}
	writeView(ctx, r.view)
	return nil
}

// requestedOrganisation returns the organisation of the requested job. A caller with an organisation's
// token can access the jobs of this organisation only; jobs of others are reported as not found.
func requestedOrganisation(ctx *fasthttp.RequestCtx, principal auth.Principal, id string) (string, error) {
	named := string(ctx.QueryArgs().Peek("organisation"))
	own := principal.Organisation()
	switch {
	case own != "" && named != "" && named != own:
		return "", errNotFound(id)
	case own != "":
		return own, nil
	case named == "":
		return "", failure.New(failure.InvalidArgument, "add ?organisation=NAME, or send the organisation's token", "the request names no organisation")
	}
	return named, principal.RequireOrganisation(named)
}

// submitAndWait posts a submission to the loop and returns the response.
func (e *Entry) submitAndWait(s *job.Submission, idGenerated bool, wait time.Duration) (response, error) {
	responses, waiterID := make(chan response, 1), make(chan tracker.WaiterID, 1)
	if !e.loop.TryPost(submissionReceived{submission: s, idGenerated: idGenerated, response: responses, waiterID: waiterID}) {
		return response{}, errBusy()
	}
	return e.await(responses, waiterID, wait)
}

// await returns the response of the loop. When the wait ends, the loop responds with the current state
// of the job. These steps are completed first, even after the wait: the claim of a new job (with at most
// maxClaimRetries retries), the search for the owner of a job (at most ownerLookupTimeout), and the
// query of the owner, which then no longer waits for the end of the job; an unreachable owner is waited
// for up to ownerGrace.
func (e *Entry) await(responses <-chan response, waiterID <-chan tracker.WaiterID, wait time.Duration) (response, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case r := <-responses:
			return r, r.err
		case <-timer.C:
			select {
			case id := <-waiterID:
				e.loop.Post(waitEnded{id})
			case <-e.stopped:
			}
		case <-e.stopped:
			select {
			case r := <-responses:
				return r, r.err
			default:
			}
			return response{}, failure.New(failure.MayHaveRun, "resubmit the job with the same id and submission time; it will not run twice",
				"the entry stopped before the outcome was known")
		}
	}
}

func errBusy() *failure.Error {
	return failure.New(failure.Overloaded, "retry after the time in Retry-After",
		"the entry's event queue is full; this request had no effect").WithRetryAfter(time.Second)
}

// readWait returns the query parameter wait, limited to Config.MaxWait, or fallback if it is absent.
func (e *Entry) readWait(ctx *fasthttp.RequestCtx, fallback time.Duration) (time.Duration, error) {
	if !ctx.QueryArgs().Has("wait") {
		return fallback, nil
	}
	text := strings.TrimSpace(string(ctx.QueryArgs().Peek("wait")))
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, failure.New(failure.InvalidArgument, "send a duration such as wait=500ms or wait=30s", "the parameter wait is not a duration")
	}
	return min(wait, e.config.MaxWait), nil
}

// writeView writes the state of a job: status 200 if it has ended, 202 if it is running.
func writeView(ctx *fasthttp.RequestCtx, view *tracker.View) {
	status := fasthttp.StatusOK
	if view.Phase <= tracker.Running {
		status = fasthttp.StatusAccepted
	}
	httpapi.WriteJSON(ctx, status, newJobResponse(view))
}
