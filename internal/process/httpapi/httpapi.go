// Package httpapi reads and writes the JSON bodies and typed errors of the HTTP interfaces of all
// roles.
package httpapi

import (
	"encoding/json"
	"math"
	"reflect"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/failure"
)

// ErrorBody is the JSON representation of an error.
type ErrorBody struct {
	Kind    failure.Kind `json:"kind"`
	Message string       `json:"message"`
	Remedy  string       `json:"remedy,omitempty"`
}

var statusOfKind = map[failure.Kind]int{
	failure.InvalidArgument:  fasthttp.StatusBadRequest,
	failure.Unauthenticated:  fasthttp.StatusUnauthorized,
	failure.PermissionDenied: fasthttp.StatusForbidden,
	failure.NotFound:         fasthttp.StatusNotFound,
	failure.RevisionConflict: fasthttp.StatusConflict,
	failure.NeverFits:        fasthttp.StatusUnprocessableEntity,
	failure.Overloaded:       fasthttp.StatusServiceUnavailable,
	failure.QuotaExceeded:    fasthttp.StatusTooManyRequests,
	failure.Unavailable:      fasthttp.StatusServiceUnavailable,
	failure.UpstreamFailed:   fasthttp.StatusBadGateway,
	failure.MayHaveRun:       fasthttp.StatusConflict,
	failure.Cancelled:        fasthttp.StatusGone,
	failure.TooLarge:         fasthttp.StatusRequestEntityTooLarge,
	failure.Internal:         fasthttp.StatusInternalServerError,
}

// defaultRetryAfter is sent with 429 and 503 if the error has no RetryAfter.
const defaultRetryAfter = time.Second

// RecoverFaults returns a handler that responds with an error and closes the connection if handler panics, and passes the
// error to report.
func RecoverFaults(handler fasthttp.RequestHandler, report func(error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		err := runHandler(handler, ctx)
		if err == nil {
			return
		}
		report(err)
		ctx.Response.Reset()
		ctx.SetConnectionClose()
		WriteError(ctx, failure.New(failure.Internal, "report this as a bug; query the object before you repeat the request", "the request ended by an unexpected fault and may have been carried out"))
	}
}

func runHandler(handler fasthttp.RequestHandler, ctx *fasthttp.RequestCtx) (err error) {
	defer failure.RecoverFault(&err)
	handler(ctx)
	return nil
}

// WriteError responds with the JSON representation of err and the HTTP status of its kind.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	body := ErrorBody{Kind: failure.KindOf(err), Message: err.Error()}
	retryAfter := time.Duration(0)
	var typed *failure.Error
	if errors.As(err, &typed) {
		body.Message, body.Remedy, retryAfter = typed.Message, typed.Remedy, typed.RetryAfter
	}
	status := statusOfKind[body.Kind]
	if status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable {
		if retryAfter == 0 {
			retryAfter = defaultRetryAfter
		}
	}
	if retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	WriteJSON(ctx, status, body)
}

// WriteJSON responds with a JSON body.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error(`{"kind":"internal","message":"cannot encode the response"}`, fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(status)
	ctx.SetBody(append(encoded, '\n'))
}

// ReadJSON decodes the request body into target, rejects unknown fields and releases the body.
func ReadJSON(ctx *fasthttp.RequestCtx, target any) error {
	if err := ReserveDecoding(ctx); err != nil {
		return err
	}
	defer ReleaseBody(ctx)
	body := ctx.PostBody()
	if err := json.Unmarshal(body, target); err != nil {
		return failure.New(failure.InvalidArgument, "send one JSON object as described in docs/api.md", "cannot decode the request body: %v", err)
	}
	if field, found := unknownField(body, reflect.TypeOf(target)); found {
		return failure.New(failure.InvalidArgument, "send one JSON object as described in docs/api.md", "cannot decode the request body: unknown field %.200q", field)
	}
	return nil
}
