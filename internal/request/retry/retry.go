// Package retry decides whether a request that ran without a good answer is sent again.
package retry

import (
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
)

const (
	// budgetShare is the number of retries that each request of a class adds to the budget.
	budgetShare = 0.1
	// budgetCap bounds the retries that a quiet class saves up, and so the size of a burst.
	budgetCap = 20
	// maxRetries bounds the retries of one request.
	maxRetries = 2
)

// Budget limits the retries of one class to a tenth of its requests. The zero value is empty.
type Budget struct{ tokens float64 }

// Request adds one accepted request to the budget.
func (b *Budget) Request() { b.tokens = min(b.tokens+budgetShare, budgetCap) }

// Tokens returns the retries that are available now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Retry reports whether a request whose attempt ended with the result may be sent again, and
// takes the retry from the budget. Earlier is the number of its earlier retries. Tasks of jobs and
// non-idempotent requests are never sent again once an attempt may have run.
func (b *Budget) Retry(kind job.Kind, task *job.Task, result *job.Result, earlier int) bool {
	if kind != job.KindRequest || !task.Idempotent || earlier >= maxRetries {
		return false
	}
	if !retryable(result) || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryable reports whether another agent may give a better answer.
func retryable(result *job.Result) bool {
	switch result.State {
	case job.MayHaveRun:
		return true
	case job.Failed:
		return result.Kind != failure.TooLarge
	}
	return false
}
