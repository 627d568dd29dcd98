//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the availability zones of the deployment of the site nvs-sched.
var zones = []string{"uppsala", "orebro", "vasteras"}

const (
	operatorTimeout = time.Second // after it, the operator turns to another node
	startLimit      = 30 * time.Second
	routeHost       = "nony24.example"
	routePrefix     = "/lohu930/"
	serviceName     = "huvo11a"
)

// machine is one machine of the deployment with one process of the system.
type machine struct {
	name, class, zone, ip string
	settings              string
	process               *exec.Cmd
	exited                chan struct{}
}

// ports are the same on all machines, as on the platform.
type ports struct{ internal, front, ready, control, app int }

// deployment is a small deployment: a control member, an entry, an agent and a worker in each zone.
type deployment struct {
	record  *record
	folder  string
	ports   ports
	core    []*machine
	front   []*machine
	side    []*machine
	workers []*worker
}

func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "pollenpaddle-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder}
	block := 16 + os.Getpid()%200
	for i, zone := range zones {
		at := func(class string, n int) *machine {
			return &machine{name: class + "-" + zone + "-1", class: class, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", block, i+1, n)}
		}
		d.core = append(d.core, at("core", 11))
		d.front = append(d.front, at("front", 21))
		d.side = append(d.side, at("side", 31))
	}
	for _, port := range []*int{&d.ports.internal, &d.ports.front, &d.ports.ready, &d.ports.control, &d.ports.app} {
		if *port, err = d.freePort(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) machines() []*machine {
	return append(append(append([]*machine{}, d.core...), d.front...), d.side...)
}

// freePort returns a port that is free on all machines.
func (d *deployment) freePort() (int, error) {
	for range 100 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		first.Close()
		free := true
		for _, m := range d.machines() {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		used := d.ports
		if free && port != used.internal && port != used.front && port != used.ready && port != used.control {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func (d *deployment) address(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// writeSettings fills in the template of the role that the deploy file names.
func (d *deployment) writeSettings(m *machine) error {
	role := map[string]string{"core": "control", "front": "entry", "side": "agent"}[m.class]
	template, err := os.ReadFile(filepath.Join("platform", "settings", role+".ini"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, c := range d.core {
		seeds = append(seeds, d.address(c, d.ports.control))
	}
	dataFolder := filepath.Join(d.folder, m.name+"-data")
	if m.class == "core" {
		if err := os.MkdirAll(dataFolder, 0o755); err != nil {
			return err
		}
	}
	text := strings.NewReplacer(
		"{{node_name}}", m.name, "{{ip}}", m.ip, "{{zone}}", m.zone, "{{seeds}}", strings.Join(seeds, ","),
		"{{internal_ports.0}}", fmt.Sprint(d.ports.internal), "{{bootstrap}}", "true", "{{data_dir}}", dataFolder,
		"{{fault_tolerance.machines}}", "1", "{{listen_addrs.control}}", d.address(m, d.ports.control),
		"{{listen_addrs.front}}", d.address(m, d.ports.front), "{{listen_addrs.ready}}", d.address(m, d.ports.ready),
	).Replace(string(template))
	if strings.Contains(text, "{{") && strings.Contains(text[strings.Index(text, "\n"):], "{{") {
		return fmt.Errorf("the template of role %s has an unknown placeholder", role)
	}
	m.settings = filepath.Join(d.folder, m.name+".conf")
	return os.WriteFile(m.settings, []byte(text), 0o644)
}

// start starts the process of a machine.
func (d *deployment) start(m *machine) error {
	if err := d.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command("target/pollenpaddled", m.settings)
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	process, exited := m.process, make(chan struct{})
	m.exited = exited
	go func() { _ = process.Wait(); close(exited) }()
	return nil
}

// startAll starts all processes and workers, puts the first configuration and waits until all entries are ready.
func (d *deployment) startAll() error {
	for _, m := range d.machines() {
		if err := d.start(m); err != nil {
			return err
		}
	}
	for i, m := range d.side {
		w, err := newWorker(d.record, fmt.Sprintf("i-%d%06x", i+1, os.Getpid()), m.zone, d.address(m, d.ports.app), d.address(m, d.ports.control))
		if err != nil {
			return err
		}
		d.workers = append(d.workers, w)
	}
	deadline := time.Now().Add(startLimit)
	for d.order("POST", names.Put, configuration(), d.core[0]) != nil {
		if time.Now().After(deadline) {
			return errors.New("no configuration was acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, m := range d.front {
		for !d.ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not become ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

func configuration() []byte {
	body, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": routeHost, "path_prefix": routePrefix, "kind": "non_idempotent", "timeout_ms": 1500,
			"slo_ms": 60, "priority": 0, "service": serviceName, "max_attempts": 4, "stretch": 1.6,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "enforces_capacity": true, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return body
}

// ready makes one readiness check of the platform.
func (d *deployment) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.address(m, d.ports.ready) + names.Ready)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// order is a call of the operator. It tries first, then the other control machines, until one acknowledges the call.
// A node that does not answer in time or answers with a 5xx is left for the next one.
func (d *deployment) order(method, path string, body []byte, first *machine) error {
	nodes := []*machine{first}
	for _, m := range d.core {
		if m != first {
			nodes = append(nodes, m)
		}
	}
	for _, m := range nodes {
		d.record.add("operator sends %s %s to %s", method, path, m.name)
		request, err := http.NewRequest(method, "http://"+d.address(m, d.ports.control)+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		client := http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			d.record.add("operator has no answer from %s", m.name)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		d.record.add("%s answers %s %s with %d", m.name, method, path, response.StatusCode)
		if response.StatusCode/100 == 2 {
			return nil
		}
	}
	return errors.New("no control machine has acknowledged " + path)
}

func (d *deployment) signal(m *machine, s syscall.Signal) {
	texts := map[syscall.Signal]string{syscall.SIGSTOP: "stops (SIGSTOP)", syscall.SIGCONT: "continues (SIGCONT)", syscall.SIGTERM: "gets SIGTERM", syscall.SIGKILL: "gets SIGKILL"}
	d.record.add("%s %s", m.name, texts[s])
	_ = m.process.Process.Signal(s)
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	for _, w := range d.workers {
		w.close()
	}
	for _, m := range d.machines() {
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// ended returns the names of the machines whose process has ended.
func (d *deployment) ended() (stopped []string) {
	for _, m := range d.machines() {
		select {
		case <-m.exited:
			stopped = append(stopped, m.name)
		default:
		}
	}
	return stopped
}

// answer is the result of one request of a requester; its status is zero if there was none.
type answer struct {
	status int
	body   string
	err    error
}

// request sends a request of a requester to an entry.
func (d *deployment) request(m *machine, method, id string, body []byte, wait time.Duration) answer {
	d.record.add("requester sends %s %s to %s", method, id, m.name)
	request, err := http.NewRequest(method, "http://"+d.address(m, d.ports.front)+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(names.Deadline, fmt.Sprint(wait.Milliseconds()))
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		d.record.add("requester has no answer to %s %s from %s", method, id, m.name)
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	d.record.add("%s answers %s %s with %d", m.name, method, id, response.StatusCode)
	return answer{status: response.StatusCode, body: string(text), err: err}
}

// jobBody returns a job of one step. The spec tells the stand-in worker what a task needs and how long it takes.
func jobBody(tasks int, milliProcessors int64, duration time.Duration) []byte {
	spec, _ := json.Marshal(taskSpec{MilliProcessors: milliProcessors, Ms: duration.Milliseconds()})
	body, _ := json.Marshal(map[string]any{
		"spec": string(spec), "best_effort": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": milliProcessors, "mem_mb": 64, "estimate_ms": duration.Milliseconds()}},
	})
	return body
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}
