//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
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

// Values of the small deployment, as its sheet and its settings give them.
const (
	zones          = 3
	sidesPerZone   = 2
	resendDelay    = 1300 * time.Millisecond // bounds.resend_ms
	stopTime       = 40 * time.Millisecond   // below bounds.stop_ms, 50 ms
	holdMax        = time.Second             // bounds.hold_max_ms
	heartbeatEvery = 1500 * time.Millisecond // heartbeat_ms
	restartDelay   = 300 * time.Millisecond  // of a process that has ended
	serviceName    = "huvo11a"
	hostName       = "nony24.example"
	pathPrefix     = "/lohu930/"
)

var zoneNames = [zones]string{"uppsala", "orebro", "vasteras"}

// Record is the file record.txt of a case. Its times count from the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: file, start: time.Now()}, err
}

func (r *Record) now() time.Duration { return time.Since(r.start) }

// Logf writes one line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// Process is one process of the system on its machine.
type Process struct {
	name, role, zone, ip string
	folder               string
	bootstrap            bool

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	minion  *Minion // of a side machine
}

// Installation is a small deployment on loopback addresses.
type Installation struct {
	root, folder                                 string
	record                                       *Record
	internalPort, frontPort, readyPort, ctrlPort int
	fronts, sides, cores                         []*Process
	minions                                      []*Minion
	client                                       *http.Client
	cancel                                       context.CancelFunc
}

func newInstallation(root string, record *Record) (*Installation, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	i := &Installation{root: root, folder: folder, record: record}
	i.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	block := 64 + rand.IntN(128)
	for k, zone := range zoneNames {
		ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", block, k+1, n) }
		i.cores = append(i.cores, &Process{name: "core-" + zone + "-1", role: "control", zone: zone, ip: ip(50)})
		i.fronts = append(i.fronts, &Process{name: "front-" + zone + "-1", role: "entry", zone: zone, ip: ip(10)})
		for n := range sidesPerZone {
			side := &Process{name: fmt.Sprintf("side-%s-%d", zone, n+1), role: "agent", zone: zone, ip: ip(20 + n)}
			i.sides = append(i.sides, side)
		}
	}
	for _, port := range []*int{&i.internalPort, &i.frontPort, &i.readyPort, &i.ctrlPort} {
		if *port, err = i.freePort(); err != nil {
			return i, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	for n, side := range i.sides {
		m, err := newMinion(fmt.Sprintf("i-%010x", n+1), side, record)
		if err != nil {
			return i, err
		}
		side.minion = m
		i.minions = append(i.minions, m)
		go m.sendHeartbeats(ctx, net.JoinHostPort(side.ip, fmt.Sprint(i.ctrlPort)))
	}
	for _, p := range i.processes() {
		p.folder, p.bootstrap = filepath.Join(folder, p.name), true
		if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
			return i, err
		}
		if err := i.start(p); err != nil {
			return i, err
		}
	}
	return i, nil
}

// freePort returns a port that is free on all machines.
func (i *Installation) freePort() (int, error) {
attempts:
	for range 200 {
		port := 12000 + rand.IntN(20000)
		for _, p := range i.processes() {
			listener, err := net.Listen("tcp", net.JoinHostPort(p.ip, fmt.Sprint(port)))
			if err != nil {
				continue attempts
			}
			_ = listener.Close()
		}
		return port, nil
	}
	return 0, fmt.Errorf("no free port")
}

func (i *Installation) processes() []*Process {
	return append(append(append([]*Process(nil), i.cores...), i.fronts...), i.sides...)
}

// render fills in the template of the role as the platform does.
func (i *Installation) render(p *Process) (string, error) {
	text, err := os.ReadFile(filepath.Join(i.root, "platform", "settings", p.role+".ini"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, core := range i.cores {
		seeds = append(seeds, net.JoinHostPort(core.ip, fmt.Sprint(i.ctrlPort)))
	}
	at := func(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }
	values := strings.NewReplacer(
		"{{node_name}}", p.name, "{{ip}}", p.ip, "{{internal_ports.0}}", fmt.Sprint(i.internalPort), "{{zone}}", p.zone,
		"{{seeds}}", strings.Join(seeds, ","), "{{bootstrap}}", fmt.Sprint(p.bootstrap), "{{data_dir}}", filepath.Join(p.folder, "data"),
		"{{fault_tolerance.machines}}", "1", "{{listen_addrs.control}}", at(i.ctrlPort), "{{listen_addrs.front}}", at(i.frontPort),
		"{{listen_addrs.ready}}", at(i.readyPort),
	)
	return values.Replace(string(text)), nil
}

// start starts a process with the command of the deploy file. Its settings file lies in the temporary folder.
func (i *Installation) start(p *Process) error {
	settings, err := i.render(p)
	if err != nil {
		return err
	}
	path := filepath.Join(p.folder, "node.conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/pollenpaddled", path)
	command.Dir, command.Stdout, command.Stderr = i.root, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s)
	}
}

func (p *Process) awaitEnd() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// suspend makes the machine stand still: its process and, on a side machine, the minion with its steady clock.
func (p *Process) suspend() {
	p.signal(syscall.SIGSTOP)
	if p.minion != nil {
		p.minion.suspend()
	}
}

func (p *Process) resume() {
	p.signal(syscall.SIGCONT)
	if p.minion != nil {
		p.minion.resume()
	}
}

// close ends all processes that it has started and removes the temporary folder.
func (i *Installation) close() {
	if i.cancel != nil {
		i.cancel()
	}
	for _, p := range i.processes() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range i.processes() {
		p.awaitEnd()
	}
	for _, m := range i.minions {
		_ = m.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(i.folder)
	} else {
		fmt.Println("kept", i.folder)
	}
}

// exchange sends one request on a new connection and returns the status (0: no complete response) and the body.
func exchange(client *http.Client, method, address, host, path string, body []byte, headers map[string]string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		request.Host = host
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

func (i *Installation) address(p *Process) string {
	port := i.ctrlPort
	if p.role == "entry" {
		port = i.frontPort
	}
	return net.JoinHostPort(p.ip, fmt.Sprint(port))
}

// configuration returns a configuration with one queue.
func (i *Installation) configuration(version int) []byte {
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": hostName, "path_prefix": pathPrefix, "kind": "non_idempotent", "timeout_ms": 1500, "slo_ms": 60,
			"priority": 0, "service": serviceName, "max_attempts": 3, "stretch": 1.6,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "enforces_capacity": true, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return text
}

// configure sends the first configuration until it is acknowledged, and waits until the fronts are ready.
func (i *Installation) configure() error {
	deadline := time.Now().Add(20 * time.Second)
	for k := 0; ; k++ {
		status, _ := exchange(i.client, http.MethodPost, i.address(i.cores[k%len(i.cores)]), "", names.Put, i.configuration(1), nil)
		if status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the first configuration was not acknowledged")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, front := range i.fronts {
		for {
			status, _ := exchange(i.client, http.MethodGet, net.JoinHostPort(front.ip, fmt.Sprint(i.readyPort)), "", names.Ready, nil, nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", front.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // all minions have sent their pings
	i.record.Logf("configuration 1 in force; all fronts ready")
	return nil
}

// Job describes a job of one step.
type Job struct {
	id       string
	count    int
	cpu      int
	estimate time.Duration
	spec     string
}

func (j Job) body() []byte {
	text, _ := json.Marshal(map[string]any{
		"spec": j.spec, "best_effort": true,
		"steps": []any{map[string]any{"count": j.count, "cpu": j.cpu, "mem_mb": 64, "estimate_ms": j.estimate.Milliseconds()}},
	})
	return text
}

// post sends a job once and waits for the response as long as its requester does. Then the requester closes the connection.
func (i *Installation) post(front *Process, j Job, wait time.Duration) int {
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	i.record.Logf("requester: POST %s to %s, waits %v", j.id, front.name, wait)
	status, body := exchange(client, http.MethodPost, i.address(front), hostName, pathPrefix+j.id, j.body(), map[string]string{
		names.Deadline: fmt.Sprint(wait.Milliseconds()),
	})
	i.record.Logf("requester: POST %s to %s -> %d %s", j.id, front.name, status, strings.TrimSpace(body))
	return status
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
