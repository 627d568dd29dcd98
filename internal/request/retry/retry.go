// Package retry decides whether a request whose attempt did not succeed is started again. A budget per
// class keeps retries from multiplying the load when many requests fail.
package retry

import (
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
)

const (
	// tokensPerRequest is the number of retries that each accepted request adds to the budget.
	tokensPerRequest = 0.1
	// maxTokens bounds the retries that a class accumulates, and so the size of a burst of retries.
	maxTokens = 20
	// maxRetries bounds the retries of one request.
	maxRetries = 2
)

// Budget is a token bucket that limits the retries of one class to a tenth of its requests. The
// zero value is empty.
type Budget struct{ tokens float64 }

// AddRequest adds tokensPerRequest to the budget, for one accepted request.
func (b *Budget) AddRequest() { b.tokens = min(b.tokens+tokensPerRequest, maxTokens) }

// Tokens returns the number of retries that are available.
func (b *Budget) Tokens() float64 { return b.tokens }

// TakeRetry reports whether a request whose attempt ended with result may be started again, and if so
// takes one retry from the budget. Neither tasks of jobs nor requests that are not idempotent are
// started again once an attempt may have run.
func (b *Budget) TakeRetry(kind job.Kind, task *job.Task, result *job.Result, retriesSoFar int) bool {
	if kind != job.KindRequest || !task.Idempotent || retriesSoFar >= maxRetries {
		return false
	}
	if !retryable(result) || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryable reports whether another attempt may succeed. A response that is too large would be too
// large again.
func retryable(result *job.Result) bool {
	switch result.State {
	case job.MayHaveRun:
		return true
	case job.Failed:
		return result.FailureKind != failure.TooLarge
	}
	return false
}
