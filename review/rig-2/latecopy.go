//go:build review2

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	frontSuspension = 2500 * time.Millisecond
	lateTaskMs      = 1200
	lateWait        = 1500 * time.Millisecond // deadline_ms of the classes of the site
	oneWay          = 3 * time.Millisecond    // between requesters and entries
	minRTO          = 200 * time.Millisecond  // of the caller's host; it doubles with each retransmission
)

// link is the network between one caller and one machine. While the machine is suspended, it receives nothing: the
// caller's host keeps what was sent and retransmits the oldest segment with growing intervals. When that is
// acknowledged, it sends the rest, with the end of the stream at the last.
type link struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	suspended chan struct{} // closed when the machine is back; nil if it is not suspended
}

func newLink(ip, target string) (*link, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

func (l *link) suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended = make(chan struct{})
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.suspended)
	l.suspended = nil
}

// awaitUp blocks while the machine is suspended and reports whether it was.
func (l *link) awaitUp() bool {
	l.mu.Lock()
	suspended := l.suspended
	l.mu.Unlock()
	if suspended == nil {
		return false
	}
	<-suspended
	return true
}

func (l *link) serve(caller net.Conn) {
	defer caller.Close()
	machine, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer machine.Close()
	go func() {
		_, _ = io.Copy(caller, machine)
		_ = caller.(*net.TCPConn).CloseWrite()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := caller.Read(buffer)
		sentAt := time.Now()
		held := l.awaitUp()
		if held {
			time.Sleep(time.Until(nextRetransmission(sentAt)))
		}
		time.Sleep(oneWay)
		if n > 0 {
			if _, err := machine.Write(buffer[:n]); err != nil {
				return
			}
			if held {
				time.Sleep(2 * oneWay) // the acknowledgement of the segment that was sent again
			}
		}
		if err != nil {
			_ = machine.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
			return
		}
	}
}

// nextRetransmission returns when a segment that was sent at a time and is not acknowledged is sent again next.
func nextRetransmission(sentAt time.Time) time.Time {
	at := sentAt
	for interval := minRTO; at.Before(time.Now()); interval *= 2 {
		at = at.Add(interval)
	}
	return at
}

// jobRequest returns the bytes of a submission on a kept connection.
func (d *deployment) jobRequest() []byte {
	text, _ := json.Marshal(spec{Ms: lateTaskMs, CPU: taskCPU})
	job, _ := json.Marshal(map[string]any{
		"spec": string(text), "best_effort": true,
		"steps": []any{map[string]any{"count": 1, "cpu": taskCPU, "mem_mb": 64, "estimate_ms": lateTaskMs}},
	})
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		routePrefix, jobID, routeHost, words.DeadlineHeader, lateWait.Milliseconds(), len(job), job)
	return b.Bytes()
}

// latecopy suspends an entry's machine. A request that was sent meanwhile arrives when the machine is back and its caller
// has sent the job to another entry.
func latecopy(l *layout, r *record, trouble bool) int {
	d, err := startDeployment(l, r)
	defer d.stop()
	if err != nil {
		r.add("%v", err)
		return couldNot
	}
	first, second := d.fronts[0], d.fronts[1]
	network, err := newLink("127.21.9.1", fmt.Sprintf("%s:%d", first.ip, l.front))
	if err != nil {
		r.add("%v", err)
		return couldNot
	}
	defer network.listener.Close()
	conn, err := net.Dial("tcp", network.listener.Addr().String())
	if err != nil {
		r.add("%v", err)
		return couldNot
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", routePrefix, routeHost)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.add("no response to the request that opens the connection: %v", err)
		return couldNot
	}
	_, _ = io.Copy(io.Discard, response.Body)
	r.add("caller: connected to %s, GET of the queue: status %d", first.name, response.StatusCode)
	if trouble {
		first.signal(syscall.SIGSTOP)
		network.suspend()
		r.add("platform: %s is suspended for %v", first.name, frontSuspension)
		time.AfterFunc(frontSuspension, func() {
			r.add("platform: %s goes on", first.name)
			first.signal(syscall.SIGCONT)
			network.resume()
		})
		time.Sleep(100 * time.Millisecond)
	}
	_, _ = conn.Write(d.jobRequest())
	r.add("caller: POST of job %s to %s on the open connection, 1 task of %d ms, waits %v", jobID, first.name, lateTaskMs, lateWait)
	_ = conn.SetReadDeadline(time.Now().Add(lateWait))
	if response, err = http.ReadResponse(reader, nil); err == nil {
		body, _ := io.ReadAll(response.Body)
		r.add("caller: response of %s: status %d %s", first.name, response.StatusCode, body)
	} else {
		_ = conn.Close()
		r.add("caller: no response; closes the connection and sends the job again %v later", resendTime)
		time.Sleep(resendTime)
		d.submitAgain(second)
	}
	time.Sleep(2 * time.Second)
	return d.judgeConcurrency()
}

func (d *deployment) submitAgain(front *machine) {
	d.r.add("caller: POST of job %s to %s", jobID, front.name)
	conn, err := net.Dial("tcp", net.JoinHostPort(front.ip, strconv.Itoa(d.l.front)))
	if err != nil {
		d.r.add("caller: no connection: %v", err)
		return
	}
	defer conn.Close()
	_, _ = conn.Write(d.jobRequest())
	_ = conn.SetReadDeadline(time.Now().Add(lateWait))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		d.r.add("caller: no response of %s: %v", front.name, err)
		return
	}
	body, _ := io.ReadAll(response.Body)
	d.r.add("caller: response of %s: status %d %s", front.name, response.StatusCode, body)
}
