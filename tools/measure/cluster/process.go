// Package cluster runs the daemons of one installation on loopback for a measurement.
package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Process is one daemon process. It may have exited.
type Process struct {
	ID      string
	Role    string
	Address string
	binary  string
	folder  string
	command *exec.Cmd
	exited  chan struct{} // closed when command has exited
}

// readyTimeout is the longest time until a daemon is ready.
const readyTimeout = 30 * time.Second

// start writes the settings to the folder and starts the daemon with them.
func start(binary, folder, id, role, address, settings string) (*Process, error) {
	path := filepath.Join(folder, id+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	p := &Process{ID: id, Role: role, Address: address, binary: binary, folder: folder}
	return p, p.run()
}

// run starts the daemon with its settings file. Output is appended to the log.
func (p *Process) run() error {
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	defer log.Close()
	p.command = exec.Command(p.binary, filepath.Join(p.folder, p.ID+".ini"))
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.ID)
	}
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait() // callers read the exit code from ProcessState
		close(exited)
	}()
	return nil
}

// LogPath returns the path of the daemon's log.
func (p *Process) LogPath() string { return filepath.Join(p.folder, p.ID+".log") }

// Restart starts a daemon that has exited, with the same settings and data, and waits until it is
// ready.
func (p *Process) Restart() error {
	if err := p.run(); err != nil {
		return err
	}
	return p.waitReady()
}

// waitReady waits until the daemon reports that it is ready.
func (p *Process) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+p.Address+"/readyz", time.Second)
		if err == nil && status == fasthttp.StatusOK {
			return nil
		}
		select {
		case <-p.exited:
			return errors.Newf("%s exited before it was ready; see its log", p.ID)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return errors.Newf("%s was not ready within %s; see its log", p.ID, readyTimeout)
}

// Kill ends the daemon as a crash would: it sends SIGKILL and waits until the daemon has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // fails if it has exited already
	<-p.exited
}

// Signal sends a signal, such as SIGTERM, SIGSTOP or SIGCONT.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.ID)
}

// Wait waits until the daemon has exited and returns its exit code, which is -1 after a signal.
func (p *Process) Wait(limit time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, errors.Newf("%s did not exit within %s", p.ID, limit)
	}
}

// Usage is the processor time and the peak resident memory of a daemon that has exited.
type Usage struct {
	Processor time.Duration
	PeakBytes int64
}

// Usage returns the usage of a daemon, which must have exited.
func (p *Process) Usage() Usage {
	usage, ok := p.command.ProcessState.SysUsage().(*syscall.Rusage)
	if !ok {
		return Usage{}
	}
	processor := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return Usage{Processor: processor, PeakBytes: usage.Maxrss << 10}
}

// ProcessorTime returns the user and system time that a running daemon has used so far, or zero if
// the daemon has exited.
func (p *Process) ProcessorTime() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return parseProcessorTime(string(stat))
}

// ResidentBytes returns the resident memory of a running daemon, or zero if the daemon has exited.
func (p *Process) ResidentBytes() int64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(statm), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}
