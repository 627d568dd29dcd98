//go:build review3

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// suspendedFor is how long the machine of the front stands still.
const suspendedFor = 2500 * time.Millisecond

// playLateRequest suspends the machine of a front. A request that is sent to it meanwhile arrives with a retransmission,
// after its requester has stopped waiting and has sent the job to another front. The requester leaves its connection open.
func playLateRequest(i *Installation, trouble bool) (verdict, error) {
	i.setTaskTime(taskTime)
	front := i.fronts[0]
	link, err := newLink(i.address(front), i.record)
	if err != nil {
		return verdict{}, err
	}
	defer func() { _ = link.listener.Close() }()
	conn, err := net.Dial("tcp", link.listener.Addr().String())
	if err != nil {
		return verdict{}, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier := Job{id: newID(), count: 6, cpu: 6200, estimate: taskTime, spec: "earlier job"}
	i.send(conn, front, earlier)
	if status := i.await(conn, reader, earlier, 3*time.Second); status != http.StatusOK {
		return verdict{}, fmt.Errorf("the first job got %d", status)
	}
	if trouble {
		link.setPaused(true)
		front.suspend()
		i.record.Logf("platform: %s stands still", front.name)
		time.AfterFunc(suspendedFor, func() {
			front.resume()
			link.setPaused(false)
			i.record.Logf("platform: %s goes on", front.name)
		})
		time.Sleep(100 * time.Millisecond)
	}
	job := Job{id: newID(), count: 4, cpu: 6200, estimate: taskTime, spec: "ascent-summary"}
	i.send(conn, front, job)
	status := i.await(conn, reader, job, requesterWait)
	for attempt := 1; mayResend(status) && attempt <= 4; attempt++ {
		time.Sleep(resendDelay)
		status = i.post(i.fronts[attempt%len(i.fronts)], job, requesterWait)
	}
	time.Sleep(3 * time.Second)
	return i.judgeTwice(status), nil
}

// send sends a job on an open connection.
func (i *Installation) send(conn net.Conn, front *Process, j Job) {
	i.record.Logf("requester: POST %s to %s on an open connection, waits %v", j.id, front.name, requesterWait)
	_, _ = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		pathPrefix, j.id, hostName, names.Deadline, requesterWait.Milliseconds(), len(j.body()), j.body())
}

// await reads the response to the last request on an open connection; 0 if there is none in time.
func (i *Installation) await(conn net.Conn, reader *bufio.Reader, j Job, wait time.Duration) int {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		i.record.Logf("requester: no response for %s in %v (%s); the connection stays open", j.id, wait, strings.TrimSpace(err.Error()))
		return 0
	}
	body := make([]byte, 512)
	n, _ := response.Body.Read(body)
	_ = response.Body.Close()
	i.record.Logf("requester: POST %s -> %d %s", j.id, response.StatusCode, body[:n])
	return response.StatusCode
}
