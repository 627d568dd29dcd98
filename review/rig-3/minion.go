//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is one run of a task on a minion. Its times are those of the record.
type Run struct {
	task       string
	number     uint64
	spec       string
	minion     *Minion
	startedAt  time.Duration
	endedAt    time.Duration // zero while it is in progress
	how        string
	left       time.Duration // work that is left
	stopsAfter time.Duration // on the steady clock: when a stop takes effect; zero if none
}

// span is a time in which a minion stood still.
type span struct{ from, to time.Duration }

// Minion is a stand-in for a minion. It follows PROTOCOL.md: leases on its steady clock, fencing tokens, run numbers, lists
// of runs, and stops that take some time. The cases never fill its capacity.
type Minion struct {
	id      string
	side    *Process
	record  *Record
	server  *http.Server
	address string
	born    int64

	mu          sync.Mutex
	changed     *sync.Cond
	steady      time.Duration // steady clock; stands still with the machine
	suspended   bool
	suspendedAt time.Duration
	stood       []span
	token       uint64
	leaseEnd    time.Duration
	running     []*Run
	all         []*Run
	ended       [][]any
	endNumber   uint64
	highest     map[string]uint64
	sequence    int
	state       string
	taskTime    time.Duration // work of each task
}

const minionTick = time.Millisecond

func newMinion(id string, side *Process, record *Record) (*Minion, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(side.ip, "0"))
	if err != nil {
		return nil, err
	}
	m := &Minion{
		id: id, side: side, record: record, address: listener.Addr().String(), born: time.Now().UnixMilli(), steady: 400 * time.Second,
		highest: map[string]uint64{}, state: "ready",
	}
	m.changed = sync.NewCond(&m.mu)
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(listener) }()
	go m.tick()
	return m, nil
}

// tick advances the steady clock, the runs and the lease.
func (m *Minion) tick() {
	last := time.Now()
	for {
		time.Sleep(minionTick)
		now := time.Now()
		passed := now.Sub(last)
		last = now
		m.mu.Lock()
		if !m.suspended {
			m.steady += passed
			for _, r := range slices.Clone(m.running) {
				r.left -= passed
				switch {
				case r.stopsAfter != 0 && m.steady >= r.stopsAfter:
					m.end(r, "stopped")
				case m.steady >= m.leaseEnd:
					m.end(r, "lapsed")
				case r.left <= 0:
					m.end(r, "done")
				}
			}
			m.changed.Broadcast()
		}
		m.mu.Unlock()
	}
}

func (m *Minion) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended, m.suspendedAt = true, m.record.now()
}

func (m *Minion) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended = false
	m.stood = append(m.stood, span{m.suspendedAt, m.record.now()})
	m.changed.Broadcast()
}

func (m *Minion) end(r *Run, how string) {
	m.running = slices.DeleteFunc(m.running, func(other *Run) bool { return other == r })
	r.endedAt, r.how = m.record.now(), how
	m.endNumber++
	m.ended = append(m.ended, []any{m.endNumber, r.task, r.number, how, ""})
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.record.Logf("minion %s (%s): run %d of %s ended %s", m.id, m.side.name, r.number, r.task, how)
}

type order struct {
	Task  string `json:"task"`
	Run   uint64 `json:"run"`
	Spec  string `json:"spec"`
	Token uint64 `json:"fencing_token"`
	Until int64  `json:"deadline_ms"`
	Seen  uint64 `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

// ServeHTTP carries out the orders of the machine's process.
func (m *Minion) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaitResumed()
	status, body := m.execute(request, o)
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// execute carries out an order and returns the status and the body of the response. m.mu must be held.
func (m *Minion) execute(request *http.Request, o order) (int, map[string]any) {
	status, body := http.StatusOK, map[string]any{"born": m.born}
	switch {
	case request.Header.Get(names.Expect) != m.id:
		status = http.StatusMisdirectedRequest
	case o.Token < m.token:
		status, body["reason"] = http.StatusConflict, "fence"
	default:
		m.token = o.Token
		switch request.URL.Path {
		case names.Start:
			if reason := m.startRun(o); reason != "" {
				status, body["reason"] = http.StatusConflict, reason
			}
		case names.Stop:
			m.stopRun(o)
		case names.Hold:
			m.hold(o, body)
		default:
			status = http.StatusNotFound
		}
	}
	body["clock_ms"] = m.steady.Milliseconds()
	return status, body
}

// awaitResumed waits while the machine stands still.
func (m *Minion) awaitResumed() {
	for m.suspended {
		m.changed.Wait()
	}
}

func (m *Minion) extend(until int64) {
	m.leaseEnd = max(m.leaseEnd, min(m.steady+holdMax, time.Duration(until)*time.Millisecond))
}

func (m *Minion) startRun(o order) string {
	if slices.ContainsFunc(m.running, func(r *Run) bool { return r.task == o.Task && r.number == o.Run }) {
		return ""
	}
	if o.Run <= m.highest[o.Task] {
		return "old"
	}
	if time.Duration(o.Until)*time.Millisecond <= m.steady {
		return "late"
	}
	m.extend(o.Until)
	r := &Run{task: o.Task, number: o.Run, spec: o.Spec, minion: m, startedAt: m.record.now(), left: m.taskTime}
	m.running, m.all = append(m.running, r), append(m.all, r)
	m.record.Logf("minion %s (%s): run %d of %s started", m.id, m.side.name, o.Run, o.Task)
	return ""
}

func (m *Minion) stopRun(o order) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	for _, r := range m.running {
		if r.task == o.Task && r.number == o.Run && r.stopsAfter == 0 {
			r.stopsAfter = m.steady + stopTime
		}
	}
}

// hold extends the lease, waits for an end and lists the runs.
func (m *Minion) hold(o order, body map[string]any) {
	if o.Until > 0 {
		m.extend(o.Until)
	}
	m.ended = slices.DeleteFunc(m.ended, func(row []any) bool { return row[0].(uint64) <= o.Seen })
	for deadline := m.steady + time.Duration(o.Wait)*time.Millisecond; len(m.ended) == 0 && m.steady < deadline; {
		m.changed.Wait()
	}
	running := [][]any{}
	for _, r := range m.running {
		running = append(running, []any{r.task, r.number, "", 100, 0})
	}
	body["running"], body["ended"] = running, append([][]any{}, m.ended[:min(len(m.ended), 500)]...)
}

// setTaskTime sets the work of each task of later runs.
func (i *Installation) setTaskTime(d time.Duration) {
	for _, m := range i.minions {
		m.mu.Lock()
		m.taskTime = d
		m.mu.Unlock()
	}
}

// sendHeartbeats sends the pings to the process on the machine.
func (m *Minion) sendHeartbeats(ctx context.Context, address string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		m.mu.Lock()
		m.awaitResumed()
		m.sequence++
		text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"cold_left_ms":0,"capacity":{"cpu":64000,"mem_mb":262144,"gpu":0},"labels":["a","r1-1"],"clock_ms":%d,"call_seq":%d,"born":%d}`,
			serviceName, m.address, m.side.zone, m.state, m.steady.Milliseconds(), m.sequence, m.born)
		id := m.id
		m.mu.Unlock()
		status, _ := exchange(client, http.MethodPost, address, "", names.Heartbeat+id, []byte(text), nil)
		pause := heartbeatEvery
		if status != http.StatusOK {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// overlap is a time in which two runs of one task were at work.
type overlap struct {
	a, b     *Run
	from, to time.Duration
}

// overlaps returns the times in which two runs of one task were at work on minions that were up and did not stand still.
func (i *Installation) overlaps() []overlap {
	now := i.record.now()
	byTask := map[string][]*Run{}
	stood := map[*Minion][]span{}
	for _, m := range i.minions {
		m.mu.Lock()
		for _, r := range m.all {
			byTask[r.task] = append(byTask[r.task], r)
		}
		stood[m] = slices.Clone(m.stood)
		m.mu.Unlock()
	}
	var found []overlap
	for _, runs := range byTask {
		for k, a := range runs {
			for _, b := range runs[:k] {
				from, to := max(a.startedAt, b.startedAt), min(end(a, now), end(b, now))
				for _, s := range append(slices.Clone(stood[a.minion]), stood[b.minion]...) {
					if s.from <= from && from < s.to {
						from = s.to
					}
				}
				if from < to {
					found = append(found, overlap{a, b, from, to})
				}
			}
		}
	}
	slices.SortFunc(found, func(a, b overlap) int { return strings.Compare(a.a.task, b.a.task) })
	return found
}

func end(r *Run, now time.Duration) time.Duration {
	if r.endedAt == 0 {
		return now
	}
	return r.endedAt
}
