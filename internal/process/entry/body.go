package entry

import (
	"mime"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/process/auth"
	"pollenpaddle/internal/request/tracker"
)

// SubmissionBody is the JSON body of POST /v1/jobs.
type SubmissionBody struct {
	Class        string     `json:"class"`
	Organisation string     `json:"organisation"` // may be omitted with an organisation's token
	ID           string     `json:"id"`           // made by the entry if omitted
	SubmittedAt  int64      `json:"submitted_at"` // milliseconds since the Unix epoch
	Tasks        []TaskBody `json:"tasks"`
}

// RequestBody is the JSON body of POST /v1/requests: one task. The field idempotent is required.
type RequestBody struct {
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	ID           string `json:"id"`
	SubmittedAt  int64  `json:"submitted_at"`
	Idempotent   *bool  `json:"idempotent"`
	TaskBody
}

// TaskBody is one task of a submission.
type TaskBody struct {
	Method       string            `json:"method"` // GET without a body, otherwise POST, if omitted
	Path         string            `json:"path"`
	Headers      map[string]string `json:"headers"`
	Text         string            `json:"text"`
	Body         []byte            `json:"body"` // base64; instead of text
	Processors   float64           `json:"processors"`
	Memory       int64             `json:"memory"` // bytes
	Accelerators int64             `json:"accelerators"`
	ExpectedMS   int64             `json:"expected_ms"`
	Idempotent   bool              `json:"idempotent"`
}

// AnswerBody is the JSON answer about a job.
type AnswerBody struct {
	ID           string       `json:"id"`
	Organisation string       `json:"organisation"`
	Class        string       `json:"class"`
	SubmittedAt  int64        `json:"submitted_at"`
	State        string       `json:"state"`    // running, complete or failed
	Complete     bool         `json:"complete"` // every task is done
	Cancelled    bool         `json:"cancelled,omitempty"`
	Count        int          `json:"count"` // tasks of the job
	Tasks        []ResultBody `json:"tasks"`
}

// ResultBody is the state of one task. The body of the upstream's answer is in text if it is
// UTF-8 of a textual content type, and otherwise in body.
type ResultBody struct {
	State   string              `json:"state"`
	Status  int                 `json:"status,omitempty"`
	Headers map[string][]string `json:"headers,omitempty"`
	Text    string              `json:"text,omitempty"`
	Body    []byte              `json:"body,omitempty"` // base64
	Kind    failure.Kind        `json:"kind,omitempty"`
	Message string              `json:"message,omitempty"`
}

const (
	// maxProcessors bounds the processors of one task, so that thousandths fit an integer.
	maxProcessors = 1 << 20
	// maxExpectedMS bounds a declared run time: one day.
	maxExpectedMS = 24 * 60 * 60 * 1000
)

// toSubmission checks a submission and fills in what the caller may omit.
func (e *Entry) toSubmission(body *SubmissionBody, principal auth.Principal) (s *job.Submission, generated bool, err error) {
	if body.Organisation == "" {
		body.Organisation = principal.Organisation()
	}
	s = &job.Submission{
		Key: job.Key{Organisation: body.Organisation, ID: body.ID}, Class: body.Class, SubmittedAt: body.SubmittedAt,
	}
	now := e.config.Now().Wall
	if body.ID == "" {
		if body.SubmittedAt != 0 {
			return nil, false, failure.New(failure.InvalidArgument, "send an id as well, or neither", "submitted_at without an id has no meaning")
		}
		if s.Key.ID, err = newID(now); err != nil {
			return nil, false, err
		}
		generated = true
	}
	if len(body.Tasks) > e.config.Limits.Tasks {
		return nil, false, failure.New(failure.InvalidArgument, "split the work into several jobs", "the job has %d tasks; the limit is 1 to %d", len(body.Tasks), e.config.Limits.Tasks)
	}
	for i := range body.Tasks {
		task, err := toTask(i, &body.Tasks[i])
		if err != nil {
			return nil, false, err
		}
		s.Tasks = append(s.Tasks, task)
	}
	if err := job.Validate(s, e.config.Limits); err != nil {
		return nil, false, err
	}
	if s.SubmittedAt, err = job.ResolveTime(s.Key.ID, s.SubmittedAt); err != nil {
		return nil, false, err
	}
	if err := job.CheckTime(s.SubmittedAt, now); err != nil {
		return nil, false, err
	}
	return s, generated, principal.RequireOrganisation(s.Key.Organisation)
}

// newID returns a UUID of version 7 that carries the given time of the entry's clock.
func newID(wallMillis int64) (string, error) {
	id, err := uuid.NewRandom()
	if err != nil {
		return "", failure.New(failure.Internal, "retry later", "cannot make an id: %v", err)
	}
	for i := range 6 {
		id[i] = byte(wallMillis >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String(), nil
}

func toTask(index int, t *TaskBody) (job.Task, error) {
	invalid := func(remedy, message string) (job.Task, error) {
		return job.Task{}, failure.New(failure.InvalidArgument, remedy, "task %d: %s", index, message)
	}
	switch {
	case t.Text != "" && len(t.Body) > 0:
		return invalid("send one of them", "text and body are both set")
	case t.Processors < 0 || t.Processors > maxProcessors:
		return invalid("send a number of processors from 0 to 1048576", "processors is out of range")
	case t.ExpectedMS < 0 || t.ExpectedMS > maxExpectedMS:
		return invalid("send expected_ms between 0 and one day", "expected_ms is out of range")
	}
	task := job.Task{
		Method: t.Method, Path: t.Path, Body: t.Body, Idempotent: t.Idempotent,
		Need:            job.Resources{MilliProcessors: int64(t.Processors * 1000), MemoryBytes: t.Memory, Accelerators: t.Accelerators},
		ExpectedRunTime: time.Duration(t.ExpectedMS) * time.Millisecond,
	}
	if t.Text != "" {
		task.Body = []byte(t.Text)
	}
	if task.Method == "" {
		task.Method = "GET"
		if len(task.Body) > 0 {
			task.Method = "POST"
		}
	}
	names := make([]string, 0, len(t.Headers))
	for name := range t.Headers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		task.Headers = append(task.Headers, job.Header{Name: name, Value: t.Headers[name]})
	}
	return task, nil
}

func toAnswer(view *tracker.View) *AnswerBody {
	state := view.Phase
	if state == tracker.Claiming {
		state = tracker.Running
	}
	body := &AnswerBody{
		ID: view.Key.ID, Organisation: view.Key.Organisation, Class: view.Class, SubmittedAt: view.SubmittedAt,
		State: state.String(), Complete: state == tracker.Complete, Cancelled: view.Cancelled, Count: len(view.Results),
		Tasks: make([]ResultBody, len(view.Results)),
	}
	for i := range view.Results {
		body.Tasks[i] = toResult(&view.Results[i])
	}
	return body
}

func toResult(r *job.Result) ResultBody {
	body := ResultBody{State: r.State.String(), Status: r.Status, Kind: r.Kind, Message: r.Message}
	for _, h := range r.Headers {
		if body.Headers == nil {
			body.Headers = map[string][]string{}
		}
		body.Headers[h.Name] = append(body.Headers[h.Name], h.Value)
	}
	if textual(contentType(r)) && utf8.Valid(r.Body) {
		body.Text = string(r.Body)
	} else {
		body.Body = r.Body
	}
	return body
}

func contentType(r *job.Result) string {
	for _, h := range r.Headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return h.Value
		}
	}
	return ""
}

// textual reports whether a content type stands for text.
func textual(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return false
	}
	if strings.HasPrefix(media, "text/") || strings.HasSuffix(media, "+json") || strings.HasSuffix(media, "+xml") {
		return true
	}
	switch media {
	case "application/json", "application/xml", "application/javascript", "application/x-www-form-urlencoded", "application/yaml":
		return true
	}
	return false
}
