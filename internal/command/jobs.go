package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"pollenpaddle/internal/failure"
)

// jobResponse holds the fields of a job response that the tool uses.
type jobResponse struct {
	ID    string       `json:"id"`
	State string       `json:"state"` // running, complete or failed
	Tasks []taskResult `json:"tasks"`
	raw   json.RawMessage
}

// taskResult holds the fields of a task result that the tool uses.
type taskResult struct {
	State   string `json:"state"`
	Status  int    `json:"status"`
	Text    string `json:"text"`
	Body    []byte `json:"body"`
	Message string `json:"message"`
}

// UnmarshalJSON also keeps the undecoded response.
func (r *jobResponse) UnmarshalJSON(data []byte) error {
	type fields jobResponse
	r.raw = append(r.raw[:0], data...)
	return json.Unmarshal(data, (*fields)(r))
}

// maxRequestWait is the longest wait of one request. Longer waits are split to update the progress
// line and to limit the cost of a lost connection.
const maxRequestWait = 2 * time.Second

func (t *invocation) addJobCommands(app *kingpin.Application) {
	t.addSubmit(app)
	t.addWait(app)
	t.addCancel(app)
	t.addRequest(app)
}

func (t *invocation) addSubmit(app *kingpin.Application) {
	var file, class, organisation, id string
	var wait time.Duration
	submit := app.Command("submit", "Submit a job from a JSON file and print its result.")
	submit.Arg("file", "Job file as in docs/api.md, or - for standard input.").Required().StringVar(&file)
	submit.Flag("class", "Class, if the file names none.").StringVar(&class)
	submit.Flag("organisation", "Organisation, if the file names none.").StringVar(&organisation)
	submit.Flag("id", "Job id: a UUID of version 7, or any id if the file has submitted_at; a resubmission with the same id returns the same job. Default: the id in the file, or else a new one.").StringVar(&id)
	submit.Flag("wait", "How long to wait for the result; 0 prints the state of the job at once.").Default("10m").DurationVar(&wait)
	submit.Action(func(*kingpin.ParseContext) error {
		body, err := t.readJob(file, class, organisation, id)
		if err != nil {
			return err
		}
		return t.submit(body, wait)
	})
}

// readJob reads a job file and adds missing fields. The tool generates a missing id, so that a submission
// whose response was lost can be resent without running the job twice; the id is printed with the job,
// and with the error if the outcome is unknown.
func (t *invocation) readJob(file, class, organisation, id string) (map[string]json.RawMessage, error) {
	var content []byte
	var err error
	if file == "-" {
		content, err = io.ReadAll(t.In)
	} else {
		content, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, failure.New(failure.InvalidArgument, "give the path of a readable job file", "cannot read the job: %v", err)
	}
	body := map[string]json.RawMessage{}
	if err := json.Unmarshal(content, &body); err != nil {
		return nil, failure.New(failure.InvalidArgument, "correct the file; docs/api.md shows a job", "job file %s is not a JSON object: %v", file, err)
	}
	setDefault := func(key, value string) {
		if _, present := body[key]; !present && value != "" {
			body[key], _ = json.Marshal(value) // a string can always be encoded
		}
	}
	setDefault("class", class)
	setDefault("organisation", organisation)
	if id != "" {
		body["id"], _ = json.Marshal(id)
	}
	setDefault("id", uuid.Must(uuid.NewV7()).String())
	return body, nil
}

func (t *invocation) submit(body map[string]json.RawMessage, wait time.Duration) error {
	var response jobResponse
	if err := t.client.call("POST", "/v1/jobs?wait=0s", body, &response); err != nil {
		if failure.KindOf(err) != failure.MayHaveRun {
			return err
		}
		return failure.New(failure.MayHaveRun, fmt.Sprintf("repeat the command with --id %s, which returns the same job", text(body["id"])),
			"the outcome of the submission is unknown: %v", err)
	}
	if wait == 0 {
		return t.printJob(&response)
	}
	return t.wait(&response, text(body["organisation"]), wait)
}

// text returns the string in a field of a job that this tool or the server has validated.
func text(field json.RawMessage) (s string) {
	_ = json.Unmarshal(field, &s)
	return s
}

func (t *invocation) addWait(app *kingpin.Application) {
	var id, organisation string
	var wait time.Duration
	command := app.Command("wait", "Wait for a submitted job and print its result.")
	command.Arg("id", "Job id.").Required().StringVar(&id)
	command.Flag("organisation", "Organisation that submitted the job.").Required().StringVar(&organisation)
	command.Flag("wait", "How long to wait for the result.").Default("10m").DurationVar(&wait)
	command.Action(func(*kingpin.ParseContext) error {
		return t.wait(&jobResponse{ID: id, State: "running"}, organisation, wait)
	})
}

// wait polls the job until it is final or limit has passed, and prints the last response.
func (t *invocation) wait(response *jobResponse, organisation string, limit time.Duration) error {
	end := time.Now().Add(limit)
	for received := response.raw != nil; response.State == "running" || !received; received = true {
		requestWait := max(0, min(maxRequestWait, time.Until(end)))
		path := jobPath(response.ID, organisation) + "&wait=" + requestWait.String()
		if err := t.client.call("GET", path, nil, response); err != nil {
			return err
		}
		t.showProgress(response)
		if response.State == "running" && !time.Now().Before(end) {
			break
		}
	}
	if t.Progress != nil {
		fmt.Fprint(t.Progress, "\r\x1b[K")
	}
	return t.printJob(response)
}

func jobPath(id, organisation string) string {
	return "/v1/jobs/" + url.PathEscape(id) + "?organisation=" + url.QueryEscape(organisation)
}

func (t *invocation) showProgress(response *jobResponse) {
	if t.Progress == nil {
		return
	}
	final := 0
	for _, task := range response.Tasks {
		if task.State != "queued" && task.State != "started" {
			final++
		}
	}
	fmt.Fprintf(t.Progress, "\r\x1b[K%s: %d of %d tasks finished", response.ID, final, len(response.Tasks))
}

func (t *invocation) printJob(response *jobResponse) error {
	rows := make([][]string, len(response.Tasks))
	for i, task := range response.Tasks {
		text := task.Text
		if text == "" {
			text = task.Message
		}
		if text == "" && len(task.Body) > 0 {
			text = fmt.Sprintf("(%d bytes)", len(task.Body))
		}
		rows[i] = []string{strconv.Itoa(i), task.State, strconv.Itoa(task.Status), text}
	}
	if !t.json {
		fmt.Fprintf(t.Out, "job %s: %s\n", response.ID, response.State)
	}
	if err := t.print(response.raw, []string{"TASK", "STATE", "STATUS", "ANSWER"}, rows); err != nil {
		return err
	}
	if response.State == "failed" {
		return errJobFailed
	}
	return nil
}

func (t *invocation) addCancel(app *kingpin.Application) {
	var id, organisation string
	command := app.Command("cancel", "Cancel a job; tasks that have not started do not run.")
	command.Arg("id", "Job id.").Required().StringVar(&id)
	command.Flag("organisation", "Organisation that submitted the job.").Required().StringVar(&organisation)
	command.Action(func(*kingpin.ParseContext) error {
		var response jobResponse
		if err := t.client.call("DELETE", jobPath(id, organisation), nil, &response); err != nil {
			return err
		}
		if err := t.printJob(&response); err != nil && response.State != "failed" {
			return err
		}
		return nil
	})
}

// requestBody is the JSON body of POST /v1/requests.
type requestBody struct {
	Class        string            `json:"class"`
	Organisation string            `json:"organisation"`
	ID           string            `json:"id,omitempty"`
	Idempotent   bool              `json:"idempotent"`
	Method       string            `json:"method"`
	Path         string            `json:"path"`
	Headers      map[string]string `json:"headers,omitempty"`
	Text         string            `json:"text,omitempty"`
}

func (t *invocation) addRequest(app *kingpin.Application) {
	var body requestBody
	command := app.Command("request", "Send one request to an upstream and print the response.")
	command.Arg("path", "Path at the upstream.").Required().StringVar(&body.Path)
	command.Flag("class", "Class.").Required().StringVar(&body.Class)
	command.Flag("organisation", "Organisation.").Required().StringVar(&body.Organisation)
	command.Flag("id", "Request id, a UUID of version 7; makes a resend of a non-idempotent request safe.").StringVar(&body.ID)
	command.Flag("method", "HTTP method.").Default("GET").StringVar(&body.Method)
	command.Flag("text", "Request body.").StringVar(&body.Text)
	command.Flag("header", "Request header, NAME=VALUE; repeatable.").StringMapVar(&body.Headers)
	command.Flag("idempotent", "The request may be run more than once.").BoolVar(&body.Idempotent)
	command.Action(func(*kingpin.ParseContext) error {
		response, err := t.client.raw("POST", "/v1/requests", body)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(t.Out, string(response))
		return err
	})
}
