package crowd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// DescriptorLimit is the limit on open descriptors of each daemon. The smallest entry machine has 3,075; fewer need
	// fewer clients.
	DescriptorLimit = 512
	// MaxDescriptors bounds the descriptors in use, so that a quarter is left for sessions, workers and files.
	MaxDescriptors = DescriptorLimit * 3 / 4
	// MaxResidentBytes bounds the resident memory. The smallest entry machine has 144 MB, of which the kernel and the
	// buffers of the connections need a part. A daemon without load takes some 21 MB.
	MaxResidentBytes = 100_000_000

	sampleInterval = 10 * time.Millisecond
	startTimeout   = 20 * time.Second
	answerTimeout  = 30 * time.Second // for one ordinary request, with its repetitions
	retryInterval  = 500 * time.Millisecond
	logTail        = 1500 // bytes of the log in a failure message
)

// Process is a daemon with DescriptorLimit descriptors.
type Process struct {
	command *exec.Cmd
	logPath string
	ended   chan struct{}
}

// Build builds the daemon and returns its path.
func Build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pollenpaddled")
	if output, err := exec.Command("go", "build", "-o", binary, "pollenpaddle/cmd/pollenpaddled").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return binary
}

// Start starts a daemon with the given text of its settings file. It is killed at the end of the test.
func Start(t *testing.T, binary, settings string) *Process {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "node.ini")
	p := &Process{logPath: filepath.Join(folder, "log"), ended: make(chan struct{})}
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$1"`, DescriptorLimit), binary, path)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // the exit status does not matter
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	return p
}

// usage returns the resident memory in bytes and the number of open descriptors.
func (p *Process) usage() (resident, descriptors int, err error) {
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	statm, err := os.ReadFile(folder + "statm")
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 { // a process that has ended but was not waited for
		return 0, 0, fmt.Errorf("unexpected content of statm: %q", statm)
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, 0, err
	}
	list, err := os.ReadDir(folder + "fd")
	return pages * os.Getpagesize(), len(list), err
}

// Expect plays a kind of clients against a listener of the process and checks that the process lives, stays within
// MaxResidentBytes and MaxDescriptors, and then answers an ordinary request while the connections are still held.
// ordinary returns nil when it was answered as expected.
func (p *Process) Expect(t *testing.T, kind Kind, target Target, ordinary func() error) {
	t.Helper()
	if p.hasEnded() {
		t.Fatal("the process has ended already")
	}
	ctx, stop := context.WithCancel(context.Background())
	sampled := make(chan [2]int)
	go func() { sampled <- p.sample(ctx) }()
	crowd := Open(kind, target)
	defer crowd.Close()
	err := Await(answerTimeout, func() error {
		if p.hasEnded() {
			return nil // reported below
		}
		return ordinary()
	})
	stop()
	peak := <-sampled
	t.Logf("resident memory at most %d bytes, %d descriptors", peak[0], peak[1])
	if p.hasEnded() {
		t.Fatalf("the process has ended; its log ends with %s", p.log())
	}
	if peak[0] > MaxResidentBytes {
		t.Errorf("resident memory of %d bytes, limit %d", peak[0], MaxResidentBytes)
	}
	if peak[1] > MaxDescriptors {
		t.Errorf("%d open descriptors, limit %d", peak[1], MaxDescriptors)
	}
	if err != nil {
		t.Errorf("an ordinary request was not answered: %v; the log ends with %s", err, p.log())
	}
}

// sample returns the highest memory and number of descriptors until ctx is done.
func (p *Process) sample(ctx context.Context) (peak [2]int) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		if resident, descriptors, err := p.usage(); err == nil {
			peak = [2]int{max(peak[0], resident), max(peak[1], descriptors)}
		}
		select {
		case <-ctx.Done():
			return peak
		case <-ticker.C:
		}
	}
}

func (p *Process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *Process) log() string {
	log, _ := os.ReadFile(p.logPath)
	return string(log[max(0, len(log)-logTail):])
}

// Await repeats a request until it returns nil. It returns the last error after the timeout.
func Await(timeout time.Duration, request func() error) error {
	for end := time.Now().Add(timeout); ; time.Sleep(retryInterval) {
		err := request()
		if err == nil || time.Now().After(end) {
			return err
		}
	}
}

// AwaitStart waits until a request is answered as expected after the start of daemons.
func AwaitStart(t *testing.T, request func() error) {
	t.Helper()
	if err := Await(startTimeout, request); err != nil {
		t.Fatalf("the installation is not ready: %v", err)
	}
}

// client opens a connection for each request, as a caller whose former connection was closed.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Call returns a request that succeeds if it is answered with a status and a body that is not empty.
func Call(method, url, host, body string, status int) func() error {
	return func() error {
		request, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return err
		}
		request.Host = host
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		read, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode != status {
			err = fmt.Errorf("status %d instead of %d: %s", response.StatusCode, status, read)
		}
		return err
	}
}
