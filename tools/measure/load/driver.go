// Package load submits the arrivals of a profile to running entries at their scheduled times and
// records the outcomes. The load is open-loop: response times are measured from the scheduled time,
// so that a slow system cannot hide delays by reducing the load (coordinated omission).
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"pollenpaddle/tools/measure/profile"
)

const (
	// responseTimeout is the longest time that a client waits for a job.
	responseTimeout = 60 * time.Second
	// resubmitDelay is the time after which a client resubmits a job.
	resubmitDelay = 100 * time.Millisecond
	// impossibleMemory is more memory, in bytes, than any worker of a profile has.
	impossibleMemory = 1 << 50
)

// Ideal computes ideal response times.
type Ideal interface {
	// Ideal returns the best possible response time of a job that arrives now.
	Ideal(a *profile.Arrival) time.Duration
}

// Driver submits arrivals. Record is called from several goroutines at once, and only by Run.
type Driver struct {
	Entries []string // addresses
	Ideal   Ideal
	Record  func(Outcome)

	initOnce sync.Once
	client   fasthttp.Client
}

func (d *Driver) initClient() {
	d.client = fasthttp.Client{
		MaxConnsPerHost: 1 << 15, ReadTimeout: 2 * responseTimeout, MaxIdleConnDuration: 10 * time.Second,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// SubmitNow submits one job to the first entry at once. It sets only Status, State and States of the
// outcome.
func (d *Driver) SubmitNow(a *profile.Arrival) Outcome {
	d.initOnce.Do(d.initClient)
	id := uuid.Must(uuid.NewV7()).String()
	return d.post(0, encode(id, a))
}

// Outcome is what the client observed of one job.
type Outcome struct {
	Arrival  *profile.Arrival
	ID       string
	Response time.Duration // since the scheduled time
	Ideal    time.Duration
	Status   int      // HTTP status; zero if there was no response
	State    string   // complete, failed, the kind of the error, no_answer or unreadable
	States   []string // of the tasks
	Conflict bool     // of the submission and its resubmission, one was complete and the other failed
}

// jobResponse holds the fields of a response that the driver uses.
type jobResponse struct {
	Kind  string `json:"kind"`
	State string `json:"state"`
	Tasks []struct {
		State string `json:"state"`
	} `json:"tasks"`
}

// Run submits the arrivals until ctx is done, and returns when each submitted one has its outcome.
func (d *Driver) Run(ctx context.Context, arrivals []profile.Arrival) {
	d.initOnce.Do(d.initClient)
	var group sync.WaitGroup
	start := time.Now()
	for i := range arrivals {
		if !sleepUntil(ctx, start.Add(arrivals[i].At)) {
			break
		}
		group.Go(func() { d.submit(i, &arrivals[i], start.Add(arrivals[i].At)) })
	}
	group.Wait()
}

// sleepUntil reports whether the time was reached before ctx was done.
func sleepUntil(ctx context.Context, when time.Time) bool {
	timer := time.NewTimer(time.Until(when))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (d *Driver) submit(number int, a *profile.Arrival, scheduled time.Time) {
	id := uuid.Must(uuid.NewV7()).String()
	body := encode(id, a)
	ideal := d.Ideal.Ideal(a)
	entry := number % len(d.Entries)
	var resubmitted chan Outcome
	if a.Resubmit {
		resubmitted = make(chan Outcome, 1)
		go func() {
			time.Sleep(resubmitDelay)
			resubmitted <- d.post((entry+1)%len(d.Entries), body)
		}()
	}
	if a.CancelAfter > 0 {
		time.AfterFunc(a.CancelAfter, func() { d.cancel(entry, id, a.Organisation) })
	}
	outcome := d.post(entry, body)
	outcome.Response = time.Since(scheduled)
	outcome.Arrival, outcome.ID, outcome.Ideal = a, id, ideal
	if resubmitted != nil {
		other := <-resubmitted
		outcome.Conflict = outcome.State == "complete" && other.State == "failed" || outcome.State == "failed" && other.State == "complete"
	}
	d.Record(outcome)
}

// encode returns the body of a submission.
func encode(id string, a *profile.Arrival) []byte {
	tasks := make([]map[string]any, len(a.Tasks))
	for i, t := range a.Tasks {
		ms := strconv.FormatFloat(t.RunTime.Seconds()*1000, 'f', 3, 64)
		task := map[string]any{
			"method": "POST", "path": "/task/" + t.Key, "expected_ms": max(1, t.Declared.Milliseconds()),
			"headers": map[string]string{"X-Run-Ms": ms, "X-Task-Key": id + "/" + strconv.Itoa(i)},
		}
		if a.NeverFits {
			task["memory"] = int64(impossibleMemory)
		}
		tasks[i] = task
	}
	body, err := json.Marshal(map[string]any{"id": id, "class": a.Class.Name, "organisation": a.Organisation, "tasks": tasks})
	if err != nil {
		panic(err) // cannot happen: the values are strings and numbers
	}
	return body
}

func (d *Driver) post(entry int, body []byte) Outcome {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(fmt.Sprintf("http://%s/v1/jobs?wait=%s", d.Entries[entry], responseTimeout))
	request.SetBody(body)
	if err := d.client.DoTimeout(request, response, responseTimeout+5*time.Second); err != nil {
		return Outcome{State: "no_answer"}
	}
	var fields jobResponse
	if err := json.Unmarshal(response.Body(), &fields); err != nil {
		return Outcome{Status: response.StatusCode(), State: "unreadable"}
	}
	outcome := Outcome{Status: response.StatusCode(), State: fields.State}
	if fields.Kind != "" {
		outcome.State = fields.Kind
	}
	for _, t := range fields.Tasks {
		outcome.States = append(outcome.States, t.State)
	}
	return outcome
}

func (d *Driver) cancel(entry int, id, organisation string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI(fmt.Sprintf("http://%s/v1/jobs/%s?organisation=%s", d.Entries[entry], id, organisation))
	_ = d.client.DoTimeout(request, response, 5*time.Second) // best effort: the job may have ended
}
