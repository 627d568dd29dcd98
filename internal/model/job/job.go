// Package job defines submissions, tasks and their results, as callers, entries and agents
// exchange them.
package job

import (
	"time"

	"pollenpaddle/internal/failure"
)

// Limits of a submission that settings may lower but not raise.
const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 110
	// MaxIDBytes is the longest job id.
	MaxIDBytes = 64
)

// Key identifies a job. Ids are chosen by callers and are unique within an organisation.
type Key struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	ID           string
}

// Resources is what a task needs or a worker offers.
type Resources struct {
	_               struct{} `cbor:",toarray"`
	MilliProcessors int64    // thousandths of a processor
	MemoryBytes     int64
	Accelerators    int64
}

// Fits reports whether need is within r in every dimension.
func (r Resources) Fits(need Resources) bool {
	return need.MilliProcessors <= r.MilliProcessors && need.MemoryBytes <= r.MemoryBytes &&
		need.Accelerators <= r.Accelerators
}

// Sum returns the sum of two amounts.
func Sum(a, b Resources) Resources {
	return Resources{
		MilliProcessors: a.MilliProcessors + b.MilliProcessors,
		MemoryBytes:     a.MemoryBytes + b.MemoryBytes,
		Accelerators:    a.Accelerators + b.Accelerators,
	}
}

// Difference returns a less b; it is negative where b is larger.
func Difference(a, b Resources) Resources {
	return Resources{
		MilliProcessors: a.MilliProcessors - b.MilliProcessors,
		MemoryBytes:     a.MemoryBytes - b.MemoryBytes,
		Accelerators:    a.Accelerators - b.Accelerators,
	}
}

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Task is one HTTP call to an upstream.
type Task struct {
	_               struct{} `cbor:",toarray"`
	Method          string
	Path            string
	Headers         []Header
	Body            []byte
	Need            Resources
	ExpectedRunTime time.Duration // declared run time; a prior only
	Idempotent      bool
}

// Kind tells a job, whose tasks start at most once, from a single request, which may be retried
// if it is idempotent.
type Kind uint8

// The kinds of submission.
const (
	KindJob Kind = iota
	KindRequest
)

// Submission is one job or request as a caller submitted it.
type Submission struct {
	Key         Key
	Kind        Kind
	Class       string
	SubmittedAt int64 // caller's clock, milliseconds since the Unix epoch
	Tasks       []Task
}

// State is the state of one task.
type State uint8

// The states of a task. Done, Failed, NotRun and MayHaveRun are final.
const (
	Queued State = iota
	Started
	Done
	Failed
	NotRun
	MayHaveRun
)

var stateNames = [...]string{"queued", "started", "done", "failed", "not_run", "may_have_run"}

// String returns the name of the state in the HTTP API.
func (s State) String() string { return stateNames[s] }

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Done }

// Result is the outcome of one task.
type Result struct {
	_       struct{} `cbor:",toarray"`
	State   State
	Status  int // HTTP status of the upstream; zero if there was no answer
	Headers []Header
	Body    []byte
	Kind    failure.Kind // why the task did not finish; empty for Done
	Message string
	RunTime time.Duration // measured by the agent
}
