// Package failure defines the typed errors of pollenpaddle. Every error that reaches a caller or
// an operator carries a Kind, a message that says what happened, and a remedy that says what to
// do about it.
package failure

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error. Its text is part of the HTTP API and stays stable.
type Kind string

// The kinds of error.
const (
	// InvalidArgument reports a malformed request; nothing was done.
	InvalidArgument Kind = "invalid_argument"
	// Unauthenticated reports a missing or unknown token.
	Unauthenticated Kind = "unauthenticated"
	// PermissionDenied reports a token that is valid but does not cover the object.
	PermissionDenied Kind = "permission_denied"
	// NotFound reports an object that does not exist.
	NotFound Kind = "not_found"
	// RevisionConflict reports a change whose expected revision is not the current one.
	RevisionConflict Kind = "revision_conflict"
	// NeverFits reports a task that no known worker could ever hold.
	NeverFits Kind = "never_fits"
	// Overloaded reports work that was refused and not run because of load.
	Overloaded Kind = "overloaded"
	// QuotaExceeded reports work that was refused and not run because of its organisation's quota.
	QuotaExceeded Kind = "quota_exceeded"
	// Unavailable reports a dependency that is missing at present; nothing was run.
	Unavailable Kind = "unavailable"
	// MayHaveRun reports work whose start can neither be confirmed nor excluded.
	MayHaveRun Kind = "may_have_run"
	// TooLarge reports a message beyond a configured limit.
	TooLarge Kind = "too_large"
	// Internal reports a fault of the program.
	Internal Kind = "internal"
)

// Error is an error with its kind and remedy.
type Error struct {
	Kind       Kind
	Message    string
	Remedy     string
	RetryAfter time.Duration // zero when a retry does not help
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// New returns an error of the given kind. The remedy tells the reader what to do next.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// WithRetryAfter returns a copy of e that asks the caller to wait before a retry.
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
