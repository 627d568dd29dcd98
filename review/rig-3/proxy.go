//go:build review3

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// retransmissions are the times after the first transmission at which TCP sends a segment again that is not acknowledged.
var retransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 6200 * time.Millisecond}

// Link is a stand-in for the network between one requester and one front. What the requester sends while the machine of the
// front stands still arrives with the next retransmission after that, as TCP delivers it.
type Link struct {
	listener net.Listener
	record   *Record

	mu     sync.Mutex
	paused bool
}

func newLink(target string, record *Record) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, record: record}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, target)
		}
	}()
	return l, nil
}

func (l *Link) setPaused(paused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = paused
}

func (l *Link) isPaused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paused
}

func (l *Link) serve(requester net.Conn, target string) {
	defer func() { _ = requester.Close() }()
	front, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = front.Close() }()
	go func() {
		_, _ = io.Copy(requester, front)
		_ = requester.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := requester.Read(buffer)
		if n > 0 {
			l.awaitDelivery()
			if _, err := front.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitDelivery waits until what was just sent arrives.
func (l *Link) awaitDelivery() {
	if !l.isPaused() {
		return
	}
	sent := time.Now()
	for _, at := range retransmissions {
		time.Sleep(time.Until(sent.Add(at)))
		if !l.isPaused() {
			l.record.Logf("network: the request arrives with the retransmission after %v", at)
			return
		}
	}
}
