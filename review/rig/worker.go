//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = time.Second
	stopTime          = 10 * time.Millisecond // at most stop_ms, 50 ms
	workerTick        = 2 * time.Millisecond
	workerProcessors  = 16000 // thousandths of a core
)

// taskSpec is the spec of the jobs of these scripts.
type taskSpec struct {
	MilliProcessors int64 `json:"cpu"`
	Ms              int64 `json:"ms"`
}

// taskRun is a run on the worker.
type taskRun struct {
	task    string
	number  uint64
	need    int64 // thousandths of a core
	began   time.Time
	endsAt  time.Time
	stopped bool
}

// workerEnd is a row of the list of ends.
type workerEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// worker is a stand-in minion: it follows the sections "Running tasks" and "Service discovery" of PROTOCOL.md.
type worker struct {
	record           *record
	id, zone         string
	address, control string
	born             time.Time
	server           *http.Server
	closed           chan struct{}

	mu       sync.Mutex
	token    uint64
	lease    time.Time
	running  map[string]*taskRun
	highest  map[string]uint64 // highest run that was stopped or has ended, by task
	ended    []workerEnd
	lastEnd  uint64
	sequence uint64
	state    string
	// starts are the accepted starts, in order.
	starts []workerStart
	ends   []finishedRun
	down   bool // crashed: it answers nothing
	// leaveLate is called with each start, and reports whether it is left unanswered; it is then kept in late.
	leaveLate func(task string) bool
	late      *lateStart
}

// lateStart is a start that was left unanswered, to be carried out later.
type lateStart struct {
	task, spec string
	run, token uint64
	deadline   int64
	at         time.Time
}

// finishedRun is a run that has ended on the worker.
type finishedRun struct {
	task, zone string
	number     uint64
	from, to   time.Time
}

type workerStart struct {
	at   time.Time
	task string
	run  uint64
}

func newWorker(r *record, id, zone, address, control string) (*worker, error) {
	w := &worker{
		record: r, id: id, zone: zone, address: address, control: control, born: time.Now(), closed: make(chan struct{}),
		running: map[string]*taskRun{}, highest: map[string]uint64{}, state: "ready",
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	go w.work()
	go w.beat()
	return w, nil
}

func (w *worker) close() {
	close(w.closed)
	_ = w.server.Close()
}

// clock returns the worker's steady clock.
func (w *worker) clock(at time.Time) int64 { return 1000 + at.Sub(w.born).Milliseconds() }

func (w *worker) timeOf(clock int64) time.Time {
	return w.born.Add(time.Duration(clock-1000) * time.Millisecond)
}

// beat sends the heartbeats.
func (w *worker) beat() {
	client := http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		if w.down {
			w.mu.Unlock()
			select {
			case <-w.closed:
				return
			case <-time.After(workerTick):
			}
			continue
		}
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": workerProcessors, "mem_mb": 32768, "gpu": 0}, "labels": []string{"a", "r-" + w.zone},
			"clock_ms": w.clock(time.Now()), "call_seq": w.sequence, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		wait := heartbeatInterval
		response, err := client.Post("http://"+w.control+names.Heartbeat+w.id, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		} else {
			wait = 100 * time.Millisecond
		}
		select {
		case <-w.closed:
			return
		case <-time.After(wait):
		}
	}
}

// work ends the runs that are done, stopped or whose lease has expired.
func (w *worker) work() {
	for {
		select {
		case <-w.closed:
			return
		case <-time.After(workerTick):
		}
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.running {
			switch {
			case now.After(w.lease):
				w.end(r, "lapsed")
			case now.Before(r.endsAt):
			case r.stopped:
				w.end(r, "stopped")
			default:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run. w.mu must be held.
func (w *worker) end(r *taskRun, how string) {
	w.lastEnd++
	w.ended = append(w.ended, workerEnd{w.lastEnd, r.task, r.number, how})
	w.highest[r.task] = max(w.highest[r.task], r.number)
	delete(w.running, r.task)
	w.ends = append(w.ends, finishedRun{r.task, w.zone, r.number, r.began, time.Now()})
	w.record.add("worker %s: %s run %d ends %s", w.zone, r.task, r.number, how)
}

func (w *worker) extend(now time.Time, deadline int64) {
	until := w.timeOf(deadline)
	if limit := now.Add(holdMax); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) serve(response http.ResponseWriter, request *http.Request) {
	var call struct {
		Task   string `json:"task"`
		Run    uint64 `json:"run"`
		Spec   string `json:"spec"`
		Token  uint64 `json:"fencing_token"`
		Until  int64  `json:"deadline_ms"`
		Seen   uint64 `json:"last_seen"`
		WaitMs int64  `json:"wait_ms"`
	}
	if json.NewDecoder(request.Body).Decode(&call) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	now := time.Now()
	if w.down || request.URL.Path == names.Start && w.leaveLate != nil && w.leaveLate(call.Task) {
		if !w.down {
			w.late = &lateStart{call.Task, call.Spec, call.Run, call.Token, call.Until, now}
			w.record.add("worker %s: %s run %d is left unanswered", w.zone, call.Task, call.Run)
		}
		w.mu.Unlock()
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := http.StatusOK, ""
	answer := map[string]any{}
	switch {
	case request.Header.Get(names.Instance) != "" && request.Header.Get(names.Instance) != w.id:
		status = http.StatusMisdirectedRequest
	case call.Token < w.token:
		status, reason = http.StatusConflict, "fence"
	default:
		w.token = call.Token
		switch request.URL.Path {
		case names.Start:
			status, reason = w.startRun(now, call.Task, call.Run, call.Spec, call.Until)
		case names.Stop:
			w.stopRun(now, call.Task, call.Run)
		case names.Hold:
			if call.Until > 0 {
				w.extend(now, call.Until)
			}
			w.hold(now, call.Seen, time.Duration(call.WaitMs)*time.Millisecond, answer)
		default:
			status = http.StatusNotFound
		}
	}
	answer["clock_ms"], answer["born"] = w.clock(time.Now()), w.born.UnixMilli()
	if reason != "" {
		answer["reason"] = reason
	}
	w.mu.Unlock()
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	_ = json.NewEncoder(response).Encode(answer)
}

// startRun carries out a start. w.mu must be held.
func (w *worker) startRun(now time.Time, task string, number uint64, text string, deadline int64) (status int, reason string) {
	if !w.timeOf(deadline).After(now) {
		return http.StatusConflict, "late"
	}
	var spec taskSpec
	if json.Unmarshal([]byte(text), &spec) != nil || len(strings.Split(task, ".")) != 4 {
		return http.StatusBadRequest, ""
	}
	w.extend(now, deadline)
	if known := w.running[task]; known != nil && known.number == number {
		return http.StatusOK, ""
	} else if known != nil || number <= w.highest[task] {
		return http.StatusConflict, "old"
	}
	used := int64(0)
	for _, r := range w.running {
		used += r.need
	}
	if used+spec.MilliProcessors > workerProcessors {
		return http.StatusConflict, "room"
	}
	w.running[task] = &taskRun{task: task, number: number, need: spec.MilliProcessors, began: now, endsAt: now.Add(time.Duration(spec.Ms) * time.Millisecond)}
	w.starts = append(w.starts, workerStart{now, task, number})
	w.record.add("worker %s: %s run %d starts", w.zone, task, number)
	return http.StatusOK, ""
}

// stopRun carries out a stop. w.mu must be held.
func (w *worker) stopRun(now time.Time, task string, number uint64) {
	w.highest[task] = max(w.highest[task], number)
	if r := w.running[task]; r != nil && r.number == number && !r.stopped {
		r.stopped, r.endsAt = true, now.Add(stopTime)
	}
}

// hold returns both lists, after an end or the wait. w.mu must be held.
func (w *worker) hold(now time.Time, seen uint64, wait time.Duration, answer map[string]any) {
	for len(w.ended) > 0 && w.ended[0].number <= seen {
		w.ended = w.ended[1:]
	}
	last := w.lastEnd
	for until := now.Add(wait); len(w.ended) == 0 && w.lastEnd == last && time.Now().Before(until); {
		w.mu.Unlock()
		time.Sleep(workerTick)
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.number, "", 100, r.need})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer["running"], answer["ended"] = running, ended
}

// crash ends the boot: everything that runs ends with it, and no call is answered.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	for _, r := range w.running {
		w.ends = append(w.ends, finishedRun{r.task, w.zone, r.number, r.began, time.Now()})
	}
	clear(w.running)
	w.record.add("worker %s crashes", w.zone)
}

// restart begins a new boot under the same id, which knows nothing of before. A start that was left unanswered is
// carried out by it at once.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.born, w.token, w.lease, w.ended, w.lastEnd, w.sequence = now, 0, time.Time{}, nil, 0, 0
	clear(w.highest)
	w.down = false
	w.record.add("worker %s is back under its id %s", w.zone, w.id)
	if l := w.late; l != nil && l.token >= w.token {
		w.token = l.token
		status, reason := w.startRun(now, l.task, l.run, l.spec, l.deadline)
		w.record.add("worker %s carries out the start of %s run %d, %.1f s late: %d %s", w.zone, l.task, l.run, now.Sub(l.at).Seconds(), status, reason)
		w.late = nil
	}
}

// runs returns the runs that have ended and those in progress, whose end is now.
func (w *worker) runs() []finishedRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append([]finishedRun{}, w.ends...)
	for _, r := range w.running {
		all = append(all, finishedRun{r.task, w.zone, r.number, r.began, time.Now()})
	}
	return all
}

// startsSince returns the starts of the worker later than at whose task has the prefix.
func (w *worker) startsSince(at time.Time, prefix string) (found []workerStart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if s.at.After(at) && strings.HasPrefix(s.task, prefix) {
			found = append(found, s)
		}
	}
	return found
}

func (s workerStart) String() string { return fmt.Sprintf("%s run %d", s.task, s.run) }
