//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 1000 * time.Millisecond
	stopTime          = 20 * time.Millisecond // stop_ms is 50
	endsPerReport     = 500
)

// minion is a stand-in for one life of a minion. The spec of a job is a JSON object with the run time of its tasks.
type minion struct {
	record   *record
	id       string
	agent    *machine
	control  int // port at which the agent accepts announcements
	capacity int64
	born     time.Time
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	fence    uint64
	deadline time.Duration // end of the lease on the minion's clock
	running  map[string]*execution
	over     map[string]uint64 // highest run of a task that was stopped or has ended
	ended    [][]any
	lastEnd  uint64
	changed  chan struct{} // closed when a run ends
	starts   []start
	history  []finished
	closed   bool
	// The machine is suspended since suspendedAt, unless that is zero; suspended is the time of earlier suspensions. The
	// minion's steady clock does not count it.
	suspendedAt time.Time
	suspended   time.Duration
	resumedAt   time.Time
	resumed     chan struct{} // closed when the suspension ends
}

// execution is a run in progress.
type execution struct {
	task   string
	run    uint64
	cpu    int64
	endsAt time.Duration // on the minion's clock
	how    string        // how it ends then
	began  time.Time
}

// finished is a run that has ended.
type finished struct {
	start
	how    string
	endAt  time.Time
	upFrom time.Time // when the suspension of its machine ended last; zero if there was none
}

// start is the beginning of a run.
type start struct {
	at     time.Time
	task   string
	run    uint64
	minion string
}

type spec struct {
	Ms  int   `json:"ms"`
	CPU int64 `json:"cpu"`
}

func startMinion(r *record, agent *machine, control int, capacity int64) (*minion, error) {
	listener, err := net.Listen("tcp", agent.ip+":0")
	if err != nil {
		return nil, err
	}
	m := &minion{
		record: r, id: "i-" + agent.name, agent: agent, control: control, capacity: capacity, born: time.Now(), listener: listener,
		running: map[string]*execution{}, over: map[string]uint64{}, changed: make(chan struct{}),
	}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(listener) }()
	go m.sendHeartbeats()
	go m.executeRuns()
	return m, nil
}

// clock returns the time on the minion's steady clock. mu must be held.
func (m *minion) clock() time.Duration {
	if !m.suspendedAt.IsZero() {
		return m.suspendedAt.Sub(m.born) - m.suspended
	}
	return time.Since(m.born) - m.suspended
}

// suspend suspends the minion, as part of its machine, until resume is called.
func (m *minion) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspendedAt, m.resumed = time.Now(), make(chan struct{})
}

func (m *minion) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += time.Since(m.suspendedAt)
	m.suspendedAt, m.resumedAt = time.Time{}, time.Now()
	close(m.resumed)
}

// awaitResumed blocks while the machine is suspended.
func (m *minion) awaitResumed() {
	m.mu.Lock()
	suspended, resumed := !m.suspendedAt.IsZero(), m.resumed
	m.mu.Unlock()
	if suspended {
		<-resumed
	}
}

func (m *minion) stop() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	_ = m.server.Close()
}

func (m *minion) sendHeartbeats() {
	for sequence := 1; ; sequence++ {
		m.awaitResumed()
		m.mu.Lock()
		closed, clock := m.closed, m.clock()
		m.mu.Unlock()
		if closed {
			return
		}
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": m.listener.Addr().String(), "zone": m.agent.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]any{"cpu": m.capacity, "mem_mb": 32768, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clock_ms": clock.Milliseconds(), "call_seq": sequence, "born": m.born.UnixMilli(),
		})
		status, _ := request(http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", m.agent.ip, m.control, words.Heartbeat, m.id), "", nil, body, time.Second)
		if status == http.StatusOK {
			time.Sleep(heartbeatInterval)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// executeRuns ends the runs that are due, and all of them when the lease has expired.
func (m *minion) executeRuns() {
	for {
		time.Sleep(2 * time.Millisecond)
		m.mu.Lock()
		if m.closed {
			m.mu.Unlock()
			return
		}
		now := m.clock()
		for _, e := range m.running {
			switch {
			case now >= e.endsAt:
				m.end(e, e.how)
			case now >= m.deadline:
				m.end(e, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// end ends a run. mu must be held.
func (m *minion) end(e *execution, how string) {
	if m.running[e.task] != e {
		return
	}
	delete(m.running, e.task)
	m.over[e.task] = max(m.over[e.task], e.run)
	m.lastEnd++
	m.ended = append(m.ended, []any{m.lastEnd, e.task, e.run, how, ""})
	close(m.changed)
	m.changed = make(chan struct{})
	m.history = append(m.history, finished{start: start{at: e.began, task: e.task, run: e.run, minion: m.id}, how: how, endAt: time.Now(), upFrom: m.resumedAt})
	m.record.add("minion %s: run %d of task %s has ended: %s", m.id, e.run, e.task, how)
}

type minionCall struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call minionCall
	m.awaitResumed()
	if r.Header.Get(words.InstanceHeader) != m.id {
		m.respond(w, http.StatusMisdirectedRequest, nil)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		m.respond(w, http.StatusBadRequest, nil)
		return
	}
	m.mu.Lock()
	if call.Token < m.fence {
		m.mu.Unlock()
		m.respond(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	m.fence = call.Token
	switch {
	case strings.HasPrefix(r.URL.Path, words.Start):
		status, reason := m.begin(call)
		m.mu.Unlock()
		body := map[string]any{}
		if reason != "" {
			body["reason"] = reason
		}
		m.respond(w, status, body)
	case strings.HasPrefix(r.URL.Path, words.Stop):
		if e := m.running[call.Task]; e != nil && e.run <= call.Run && e.how != "stopped" {
			e.how, e.endsAt = "stopped", min(e.endsAt, m.clock()+stopTime)
		}
		m.over[call.Task] = max(m.over[call.Task], call.Run)
		m.mu.Unlock()
		m.respond(w, http.StatusOK, nil)
	default:
		m.hold(w, call)
	}
}

// extend extends the lease. mu must be held.
func (m *minion) extend(deadlineMs int64) {
	m.deadline = max(m.deadline, min(time.Duration(deadlineMs)*time.Millisecond, m.clock()+holdMax))
}

// begin starts a run. mu must be held.
func (m *minion) begin(call minionCall) (status int, reason string) {
	if e := m.running[call.Task]; e != nil && e.run == call.Run {
		return http.StatusOK, ""
	}
	if time.Duration(call.DeadlineMs)*time.Millisecond <= m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(call.DeadlineMs)
	if call.Run <= m.over[call.Task] || m.running[call.Task] != nil {
		return http.StatusConflict, "old"
	}
	var s spec
	if json.Unmarshal([]byte(call.Spec), &s) != nil {
		return http.StatusBadRequest, ""
	}
	used := s.CPU
	for _, e := range m.running {
		used += e.cpu
	}
	if used > m.capacity {
		return http.StatusConflict, "room"
	}
	e := &execution{task: call.Task, run: call.Run, cpu: s.CPU, endsAt: m.clock() + time.Duration(s.Ms)*time.Millisecond, how: "done", began: time.Now()}
	m.running[call.Task] = e
	m.starts = append(m.starts, start{at: time.Now(), task: call.Task, run: call.Run, minion: m.id})
	m.record.add("minion %s: run %d of task %s starts", m.id, call.Run, call.Task)
	return http.StatusOK, ""
}

// hold reports the runs, after a wait for an end. mu is held at the call.
func (m *minion) hold(w http.ResponseWriter, call minionCall) {
	if call.DeadlineMs > 0 {
		m.extend(call.DeadlineMs)
	}
	m.ended = slices.DeleteFunc(m.ended, func(row []any) bool { return row[0].(uint64) <= call.LastSeen })
	if changed := m.changed; len(m.ended) == 0 && call.WaitMs > 0 {
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(call.WaitMs) * time.Millisecond):
		}
		m.awaitResumed()
		m.mu.Lock()
	}
	running := [][]any{}
	for _, e := range m.running {
		running = append(running, []any{e.task, e.run, "", 100, e.cpu})
	}
	ended := slices.Clone(m.ended[:min(len(m.ended), endsPerReport)])
	m.mu.Unlock()
	if ended == nil {
		ended = [][]any{}
	}
	m.respond(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

func (m *minion) respond(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	m.mu.Lock()
	body["clock_ms"], body["born"] = m.clock().Milliseconds(), m.born.UnixMilli()
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// allStarts returns the starts in order.
func (m *minion) allStarts() []start {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.starts)
}

// allRuns returns the runs that have ended.
func (m *minion) allRuns() []finished {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.history)
}
