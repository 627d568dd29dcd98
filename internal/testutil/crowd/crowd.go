// Package crowd starts daemons with few descriptors and opens connections of clients that ignore limits, and reports the
// memory and the descriptors that a daemon uses meanwhile.
package crowd

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// bodyConnections is the number of connections that send a body at the same time.
	bodyConnections = 60
	// headerConnections is the number of connections that stop within their headers. It exceeds the descriptors of the
	// process (DescriptorLimit).
	headerConnections = 600
	// sendTimeout bounds the time for which a client tries to send.
	sendTimeout = 3 * time.Second
	// holdTime is how long the connections are held after all clients have stopped sending and before the ordinary request.
	holdTime = time.Second
	// chunkBytes is the size of one chunk of a chunked body.
	chunkBytes = 64 << 10
)

// Kind is one way in which clients ignore limits.
type Kind string

// The kinds.
const (
	AnnouncedBodies     Kind = "announced-bodies"     // each announces a body and sends all but its last byte
	ChunkedBodies       Kind = "chunked-bodies"       // each sends chunks of a body without its end
	IncompleteHeaders   Kind = "incomplete-headers"   // each stops within its headers
	WithoutAnyRequest   Kind = "without-any-request"  // each sends nothing
	ExpectContinue      Kind = "expect-continue"      // each announces a body, expects 100-continue and sends all but its last byte
	UnreadFinalResponse Kind = "unread-last-response" // each sends complete requests and reads no response
)

// Kinds returns the kinds in the order in which tests play them.
func Kinds() []Kind {
	return []Kind{AnnouncedBodies, ChunkedBodies, ExpectContinue, IncompleteHeaders, WithoutAnyRequest, UnreadFinalResponse}
}

// Target is a listener of a daemon.
type Target struct {
	Address   string
	Path      string // a path at which the listener accepts a POST with a body
	BodyBytes int    // size of the bodies
	Method    string // used instead of POST by the kinds of MixedKinds; empty: POST
	Host      string // the same for the header Host; empty: another one
}

// Crowd is a number of connections that are held open.
type Crowd struct {
	mu          sync.Mutex
	connections []net.Conn
	group       sync.WaitGroup
}

// Open opens the connections of a kind and sends on each until its client stops, the daemon closes it or sendTimeout
// has passed. It returns holdTime later. Connections that cannot be opened are left out.
func Open(kind Kind, target Target) *Crowd {
	c := &Crowd{}
	count := bodyConnections
	if kind == IncompleteHeaders || kind == WithoutAnyRequest {
		count = headerConnections
	}
	content := make([]byte, target.BodyBytes)
	for range count {
		c.group.Go(func() { c.run(kind, target, content) })
	}
	c.group.Wait()
	time.Sleep(holdTime)
	return c
}

func (c *Crowd) run(kind Kind, target Target, content []byte) {
	conn, err := net.DialTimeout("tcp", target.Address, sendTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.connections = append(c.connections, conn)
	c.mu.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: crowd.example\r\n", target.Path)
	send := func(data []byte) bool {
		_, err := conn.Write(data)
		return err == nil
	}
	switch kind {
	case AnnouncedBodies:
		if send(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", request, len(content))) {
			send(content[:len(content)-1])
		}
	case ExpectContinue:
		if send(fmt.Appendf(nil, "%sContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", request, len(content))) {
			send(content[:len(content)-1])
		}
	case ChunkedBodies:
		sending := send([]byte(request + "Transfer-Encoding: chunked\r\n\r\n"))
		for rest := len(content) - 1; sending && rest > 0; rest -= chunkBytes {
			size := min(rest, chunkBytes)
			sending = send(fmt.Appendf(nil, "%x\r\n%s\r\n", size, content[:size]))
		}
	case IncompleteHeaders:
		send([]byte(request + "X-Fill: "))
	case UnreadFinalResponse:
		for sending := true; sending; {
			sending = send([]byte("GET /metrics HTTP/1.1\r\nHost: crowd.example\r\n\r\n"))
		}
	case WithoutAnyRequest:
	}
}

// Close closes all connections.
func (c *Crowd) Close() {
	for _, conn := range c.connections {
		_ = conn.Close()
	}
}
