// Package failure defines the typed errors of pollenpaddle. Every error that is returned to a
// caller or an operator has a Kind, a message that describes the cause, and a remedy that describes
// how to resolve it.
package failure

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error. Its text is part of the HTTP API and must not change.
type Kind string

// The kinds of error.
const (
	// InvalidArgument reports a malformed or unsupported request or message between processes; nothing
	// was done.
	InvalidArgument Kind = "invalid_argument"
	// Unauthenticated reports a missing or unknown token, or a peer without the shared key.
	Unauthenticated Kind = "unauthenticated"
	// PermissionDenied reports a valid token that does not grant access to the object.
	PermissionDenied Kind = "permission_denied"
	// NotFound reports an object that does not exist.
	NotFound Kind = "not_found"
	// RevisionConflict reports a change whose expected revision is not the current one.
	RevisionConflict Kind = "revision_conflict"
	// NeverFits reports a task that exceeds the capacity of every known worker.
	NeverFits Kind = "never_fits"
	// Overloaded reports work that was rejected because of load; it was not run.
	Overloaded Kind = "overloaded"
	// QuotaExceeded reports work that was rejected because of its organisation's quota; it was not
	// run.
	QuotaExceeded Kind = "quota_exceeded"
	// Unavailable reports a dependency or resource that is temporarily unavailable; nothing was run. Agents of
	// earlier releases also send it for tasks in the state job.Failed; see UpstreamFailed.
	Unavailable Kind = "unavailable"
	// UpstreamFailed reports a task that was run: the upstream responded with an error, or its response could not
	// be read.
	UpstreamFailed Kind = "upstream_failed"
	// MayHaveRun reports work that may or may not have started.
	MayHaveRun Kind = "may_have_run"
	// Cancelled reports a job that was cancelled: it is not started, or no longer continued, and must not be submitted
	// again.
	Cancelled Kind = "cancelled"
	// TooLarge reports a request, message or response, or a part of one, that exceeds a limit.
	TooLarge Kind = "too_large"
	// Internal reports an unexpected fault, such as a bug or a damaged or failing disk. It is also the
	// kind of every error that has no kind of its own.
	Internal Kind = "internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	RetryAfter time.Duration // recommended wait before a retry; zero if none is recommended
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// New returns an error of the given kind. The remedy describes what the recipient can do.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// WithRetryAfter returns a copy of e that asks the caller to wait before it retries.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	c := *e
	c.RetryAfter = wait
	return &c
}

// KindOf returns the kind of the first Error in err's chain, or Internal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
