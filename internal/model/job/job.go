// Package job defines the submissions, tasks and results that callers, entries and agents exchange.
package job

import (
	"time"

	"pollenpaddle/internal/failure"
)

// Upper bounds of a submission. The setting max_tasks may lower MaxTasks but not raise it; MaxIDBytes has
// no setting.
const (
	// MaxTasks is the maximum number of tasks in one submission.
	MaxTasks = 110
	// MaxIDBytes is the maximum length of a submission's id.
	MaxIDBytes = 64
)

// Key identifies a submission (a job or a request). Ids are chosen by callers and are unique within an
// organisation.
type Key struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	ID           string
}

// Resources describes the requirements of a task or the capacity of a worker.
type Resources struct {
	_               struct{} `cbor:",toarray"`
	MilliProcessors int64    // thousandths of a processor
	MemoryBytes     int64
	Accelerators    int64
}

// Covers reports whether r covers need: need does not exceed r in any dimension.
func (r Resources) Covers(need Resources) bool {
	return need.MilliProcessors <= r.MilliProcessors && need.MemoryBytes <= r.MemoryBytes &&
		need.Accelerators <= r.Accelerators
}

// Sum returns a + b in every dimension.
func Sum(a, b Resources) Resources {
	return Resources{
		MilliProcessors: a.MilliProcessors + b.MilliProcessors,
		MemoryBytes:     a.MemoryBytes + b.MemoryBytes,
		Accelerators:    a.Accelerators + b.Accelerators,
	}
}

// Difference returns a - b in every dimension; a component is negative where b is larger.
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
	DeclaredRunTime time.Duration // run time declared by the caller; only an initial estimate
	Idempotent      bool
}

// Kind is the kind of a submission: a job, whose tasks start at most once, or a single request,
// which may be retried if it is idempotent. Where the kind does not matter, other packages and
// names on the wire say job for a submission of either kind.
type Kind uint8

// The kinds of submission.
const (
	KindJob Kind = iota
	KindRequest
)

// Submission is a job or request as submitted by a caller.
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
	Done       // the upstream responded completely, with a status below 500
	Failed     // the upstream responded with status 500 or above, or its response was incomplete or too large
	NotRun     // the task was not sent to the upstream
	MayHaveRun // the task may have been sent to the upstream; no response is known
)

var stateNames = [...]string{"queued", "started", "done", "failed", "not_run", "may_have_run"}

// String returns the name of the state in the HTTP API.
func (s State) String() string { return stateNames[s] }

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Done }

// Result is what one task returned, or why it did not complete.
type Result struct {
	_           struct{} `cbor:",toarray"`
	State       State
	Status      int // HTTP status of the upstream; zero if there was no response
	Headers     []Header
	Body        []byte
	FailureKind failure.Kind // why the task did not complete; empty for Done, may be empty otherwise
	Message     string
	RunTime     time.Duration // measured by the agent
}
