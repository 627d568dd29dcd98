package crowd

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Kinds that MixedKinds returns. All but IncompleteBodies send complete requests.
const (
	IncompleteBodies Kind = "incomplete-bodies" // each sends smallBodyBytes of a longer body
	ManyValues       Kind = "many-values"       // each sends small bodies that decode into many objects
	InvalidRequests  Kind = "invalid-requests"  // each pipelines requests that are not valid
	LargestBodies    Kind = "largest-bodies"    // each sends bodies of the largest size that is accepted
	TinyChunks       Kind = "tiny-chunks"       // each sends bodies in chunks of one byte
	EscapedTexts     Kind = "escaped-texts"     // each sends texts whose characters are all escaped
	ManyKeys         Kind = "many-keys"         // each sends objects with many keys
)

// Kinds that HeaderKinds returns. All send headers within the limit of their size.
const (
	ManyHeaders   Kind = "many-headers"   // each sends as many headers as fit
	LongHeaders   Kind = "long-headers"   // each sends a long header, after one more short one in each request
	LongAddresses Kind = "long-addresses" // each sends a long path of characters that are escaped in texts
)

const (
	// MemoryLimit is the memory_limit of the daemons that are tested with several kinds at once: the least value of the key.
	MemoryLimit = 64 << 20
	// connectionsPerKind is the number of connections of one kind. All kinds together exceed the connections of a listener of
	// a daemon with DescriptorLimit descriptors.
	connectionsPerKind = 40
	// maxRequests bounds the requests of one connection.
	maxRequests    = 500
	smallBodyBytes = 8000
	textBodyBytes  = 200_000
	headerBytes    = 15_000
	longHeaders    = 60 // requests of one connection with a long header
)

// MixedKinds returns the kinds that are played at the same time.
func MixedKinds() []Kind {
	return []Kind{IncompleteBodies, ManyValues, InvalidRequests, LargestBodies, TinyChunks, EscapedTexts, ManyKeys}
}

// HeaderKinds returns the kinds of clients whose headers take more memory than their size.
func HeaderKinds() []Kind { return []Kind{ManyHeaders, LongHeaders, LongAddresses} }

// OpenAtOnce opens connectionsPerKind connections of each kind at the same time. See Open.
func OpenAtOnce(kinds []Kind, target Target) *Crowd {
	c := &Crowd{}
	for _, kind := range kinds {
		first, next := kindRequests(kind, target)
		for range connectionsPerKind {
			c.group.Go(func() { c.sendRequests(target, first, next) })
		}
	}
	c.group.Wait()
	time.Sleep(holdTime)
	return c
}

// sendRequests sends one request and then others until the daemon closes the connection or reads no more.
func (c *Crowd) sendRequests(target Target, first, next []byte) {
	conn, err := net.DialTimeout("tcp", target.Address, sendTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.connections = append(c.connections, conn)
	c.mu.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err = conn.Write(first)
	for sent := 1; err == nil && len(next) > 0 && sent < maxRequests; sent++ {
		_, err = conn.Write(next)
	}
}

// kindRequests returns the first request of a kind, and what follows it.
func kindRequests(kind Kind, target Target) (first, next []byte) {
	method, host := target.Method, target.Host
	if method == "" {
		method = "POST"
	}
	if host == "" {
		host = "crowd.example"
	}
	headers := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, target.Path, host)
	complete := func(body string) []byte {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
	}
	size := min(target.BodyBytes, textBodyBytes)
	switch kind {
	case IncompleteBodies:
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", headers, target.BodyBytes, make([]byte, smallBodyBytes)), nil
	case ManyValues:
		body := repeat(`{"steps":[{}`, `,{}`, `]}`, smallBodyBytes)
		return complete(body), complete(body)
	case InvalidRequests:
		request := []byte(headers + "Content-Length: 1\r\n\r\n{")
		return request, bytes.Repeat(request, 10)
	case LargestBodies:
		body := repeat(`{"spec":"`, "x", `"}`, target.BodyBytes-1)
		return complete(body), complete(body)
	case TinyChunks:
		return []byte(headers + "Transfer-Encoding: chunked\r\n\r\n"), bytes.Repeat([]byte("1\r\nx\r\n"), 1000)
	case EscapedTexts:
		body := repeat(`{"spec":"`, `\u0041`, `"}`, size)
		return complete(body), complete(body)
	case ManyKeys:
		var body strings.Builder
		body.WriteString(`{"k":1`)
		for k := 0; body.Len() < size-20; k++ {
			fmt.Fprintf(&body, `,"k%d":{}`, k)
		}
		body.WriteString("}")
		return complete(body.String()), complete(body.String())
	case ManyHeaders:
		return fmt.Appendf(nil, "%sContent-Length: 2\r\n%s\r\n{", headers, strings.Repeat("a:b\r\n", headerBytes/5)), nil
	case LongHeaders:
		for k := range longHeaders {
			next = fmt.Appendf(next, "%sContent-Length: 2\r\n%sa:%s\r\n\r\n{}", headers, strings.Repeat("a:b\r\n", k), strings.Repeat("c", headerBytes))
		}
		return next, nil
	case LongAddresses:
		request := fmt.Appendf(nil, "GET /%s HTTP/1.1\r\nHost: %s\r\n\r\n", strings.Repeat(`"`, headerBytes), host)
		return request, request
	}
	panic("unknown kind " + kind)
}

// repeat returns a text of at most size bytes that repeats part between start and end.
func repeat(start, part, end string, size int) string {
	return start + strings.Repeat(part, max(0, (size-len(start)-len(end))/len(part))) + end
}

// ExpectWithin opens crowds one after the other, each after the former was closed, and checks that the process lives, that
// its resident memory and the bytes that have arrived at its ports and are not read stay within MemoryLimit together, that
// its descriptors stay within MaxDescriptors, and that the ordinary requests are then answered while the last crowd is
// still held. The ordinary requests may be those of other processes.
func (p *Process) ExpectWithin(t *testing.T, ports []string, crowds []func() *Crowd, ordinary map[string]func() error) {
	t.Helper()
	if p.hasEnded() {
		t.Fatal("the process has ended already")
	}
	ctx, stop := context.WithCancel(context.Background())
	sampled := make(chan memoryPeak)
	go func() { sampled <- p.sampleMemory(ctx, ports) }()
	for k, open := range crowds {
		crowd := open()
		if k < len(crowds)-1 {
			crowd.Close()
			continue
		}
		defer crowd.Close()
	}
	unanswered := awaitAll(ordinary, p.hasEnded)
	stop()
	peak := <-sampled
	t.Logf("resident and unread at most %d bytes together, %d unread, %d descriptors", peak.sum, peak.unread, peak.descriptors)
	if p.hasEnded() {
		t.Fatalf("the process has ended; its log ends with %s", p.log())
	}
	if peak.sum > MemoryLimit {
		t.Errorf("resident memory and unread bytes of %d bytes, memory_limit %d", peak.sum, MemoryLimit)
	}
	if peak.descriptors > MaxDescriptors {
		t.Errorf("%d open descriptors, limit %d", peak.descriptors, MaxDescriptors)
	}
	for name, err := range unanswered {
		t.Errorf("the ordinary request %q was not answered: %v; the log ends with %s", name, err, p.log())
	}
}

// awaitAll repeats each request until it is answered as expected, and returns the errors of the others.
func awaitAll(requests map[string]func() error, hasEnded func() bool) map[string]error {
	var mu sync.Mutex
	var group sync.WaitGroup
	unanswered := map[string]error{}
	for name, request := range requests {
		group.Go(func() {
			err := Await(answerTimeout, func() error {
				if hasEnded() {
					return nil // reported by the caller
				}
				return request()
			})
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				unanswered[name] = err
			}
		})
	}
	group.Wait()
	return unanswered
}

// memoryPeak has the highest values of a time.
type memoryPeak struct {
	sum         int // resident memory and unread bytes
	unread      int
	descriptors int
}

func (p *Process) sampleMemory(ctx context.Context, ports []string) (peak memoryPeak) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		resident, descriptors, err := p.usage()
		unread, unreadErr := UnreadBytes(ports)
		if err == nil && unreadErr == nil {
			peak = memoryPeak{max(peak.sum, resident+unread), max(peak.unread, unread), max(peak.descriptors, descriptors)}
		}
		select {
		case <-ctx.Done():
			return peak
		case <-ticker.C:
		}
	}
}

// UnreadBytes returns the bytes in the receive queues of the connections that were made to the ports, accepted or not.
func UnreadBytes(ports []string) (int, error) {
	const listening = "0A"
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	local := map[string]bool{}
	for _, port := range ports {
		n, err := strconv.Atoi(port)
		if err != nil {
			return 0, err
		}
		local[fmt.Sprintf("%04X", n)] = true
	}
	sum := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line) // number, local address, remote address, state, queues, ...
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, found := strings.Cut(fields[4], ":")
		if !found || !local[port] {
			continue
		}
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += int(n)
	}
	return sum, nil
}

// PeakResidentBytes returns the highest resident memory that a process has had.
func PeakResidentBytes(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no VmHWM", pid)
}
