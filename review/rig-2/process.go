//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one process of the project with its own loopback address.
type machine struct {
	name, class, zone, ip string
	folder                string // settings, log and data

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// layout holds the ports, which are the same on all machines, and the seeds.
type layout struct {
	temporary string
	internal  int // port for sessions between processes
	front     int
	ready     int
	control   int
	seeds     []string // hosts of the control members
}

const program = "target/pollenpaddled"

// newLayout chooses ports that are free at present.
func newLayout() (*layout, error) {
	temporary, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	l := &layout{temporary: temporary}
	for _, port := range []*int{&l.internal, &l.front, &l.ready, &l.control} {
		listener, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		*port = listener.Addr().(*net.TCPAddr).Port
		defer listener.Close()
	}
	return l, nil
}

func (l *layout) machine(name, class, zone, ip string) *machine {
	return &machine{name: name, class: class, zone: zone, ip: ip, folder: filepath.Join(l.temporary, name)}
}

// writeSettings renders the settings template of the machine's role as the platform does.
func (l *layout) writeSettings(m *machine, bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join("platform/settings", map[string]string{"core": "control", "front": "entry", "side": "agent"}[m.class]+".ini"))
	if err != nil {
		return err
	}
	var seeds []string
	for _, host := range l.seeds {
		seeds = append(seeds, fmt.Sprintf("%s:%d", host, l.control))
	}
	data := filepath.Join(m.folder, "data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{node_name}}", m.name, "{{ip}}", m.ip, "{{internal_ports.0}}", fmt.Sprint(l.internal), "{{zone}}", m.zone,
		"{{seeds}}", strings.Join(seeds, ","), "{{bootstrap}}", fmt.Sprint(bootstrap), "{{data_dir}}", data,
		"{{fault_tolerance.machines}}", "1", "{{listen_addrs.control}}", fmt.Sprintf("%s:%d", m.ip, l.control),
		"{{listen_addrs.front}}", fmt.Sprintf("%s:%d", m.ip, l.front), "{{listen_addrs.ready}}", fmt.Sprintf("%s:%d", m.ip, l.ready),
	).Replace(string(template))
	return os.WriteFile(filepath.Join(m.folder, "node.conf"), []byte(text), 0o644)
}

// start starts the process and reaps it when it ends.
func (l *layout) start(m *machine, bootstrap bool) error {
	if err := l.writeSettings(m, bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, filepath.Join(m.folder, "node.conf"))
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that start started.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// waitEnded waits until the process has ended and reports whether it did in time.
func (m *machine) waitEnded(limit time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process with SIGKILL, also if it is stopped.
func (m *machine) kill() {
	if m.command == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	m.waitEnded(5 * time.Second)
}
