package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
)

// idleTime is the length of the measurement of idle sessions, which covers several heartbeats.
const idleTime = 3 * time.Second

// openWaiter waits until the expected number of sessions, counted at each end, has opened.
type openWaiter struct{ group sync.WaitGroup }

func (w *openWaiter) SessionOpened(*session.Session)                      { w.group.Done() }
func (w *openWaiter) MessagesReceived(*session.Session, []wire.Message)   {}
func (w *openWaiter) SessionClosed(closed *session.Session, reason error) {}

// measureSessions opens sessions on loopback with both ends in this process, so that all figures are
// for both ends together.
func measureSessions(s *suite) error {
	var memory, processorUse []point
	for _, size := range []int{50, 100, 200, 400, 800} {
		bytes, spent, err := measureIdleSessions(size)
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(size), bytes})
		processorUse = append(processorUse, point{float64(size), float64(spent.Nanoseconds()) / 1e3 / idleTime.Seconds()})
	}
	if err := s.addSlope("session memory, both ends", "bytes/session", "heap and stacks of idle sessions", memory); err != nil {
		return err
	}
	return s.addSlope("session idle time, both ends", "µs/s per session", "processor time of an idle session: heartbeats in both directions, kernel included", processorUse)
}

// measureIdleSessions opens size sessions and returns the memory that they occupy and the processor
// time that both ends use during idleTime.
func measureIdleSessions(size int) (bytes float64, spent time.Duration, err error) {
	before := memoryBytes()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	opened := &openWaiter{}
	opened.group.Add(2 * size)
	key := make([]byte, 32)
	accepting := &session.Connector{Key: key, Handler: opened, Local: session.Identity{Role: wire.RoleEntry, ID: "entry", Incarnation: 1}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	server := &fasthttp.Server{Handler: func(request *fasthttp.RequestCtx) { _ = accepting.Accept(ctx, request) }}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	var dials sync.WaitGroup
	defer dials.Wait()
	defer cancel()
	for i := range size {
		dialing := &session.Connector{Key: key, Handler: opened, Local: session.Identity{Role: wire.RoleAgent, ID: fmt.Sprint("agent-", i), Incarnation: 1}}
		dials.Go(func() { _ = dialing.Dial(ctx, listener.Addr().String(), wire.RoleEntry) })
		if i%16 == 15 {
			time.Sleep(5 * time.Millisecond) // keeps the listener's backlog short
		}
	}
	ready := make(chan struct{})
	go func() { opened.group.Wait(); close(ready) }()
	select {
	case <-ready:
	case <-ctx.Done():
		return 0, 0, fmt.Errorf("%d sessions did not all open within 30 s", size)
	}
	bytes = memoryBytes() - before
	start := processorTime()
	time.Sleep(idleTime)
	return bytes, processorTime() - start, nil
}

// memoryBytes returns the size of the live heap and of the goroutine stacks.
func memoryBytes() float64 {
	heap := heapBytes()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(heap + stats.StackInuse)
}
