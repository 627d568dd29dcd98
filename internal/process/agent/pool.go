package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/process/workerhost"
	"pollenpaddle/internal/request/startgate"
)

// platformTimeout bounds one call of the worker platform.
const platformTimeout = time.Second

// callerPool runs calls on reusable callers. The start gate bounds the concurrent calls, so the pool
// has at most as many callers as the largest number of slots that the upstream has announced.
type callerPool struct {
	platform       workerhost.Platform // nil if there is none
	ended          func(startgate.CallEnded)
	platformFailed func(operation string, err error)

	mu      sync.Mutex
	address string // of the upstream
	free    []*caller
	running map[wire.StartID]runningCall
	closed  bool
}

type runningCall struct {
	caller *caller
	call   startgate.Call
}

func newCallerPool(p workerhost.Platform, ended func(startgate.CallEnded), platformFailed func(string, error)) *callerPool {
	return &callerPool{platform: p, ended: ended, platformFailed: platformFailed, running: map[wire.StartID]runningCall{}}
}

// taskID returns the id under which the worker platform knows a start.
func taskID(id wire.StartID) string {
	return fmt.Sprintf("%s/%s/%d/%d", id.Job.Organisation, id.Job.ID, id.Task, id.Attempt)
}

// setTarget sets the address of the upstream (host:port) for the calls that follow.
func (p *callerPool) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

func (p *callerPool) target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// start runs a call on the most recently used idle caller, whose connection is most likely still open.
func (p *callerPool) start(call startgate.Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var c *caller
	if n := len(p.free); n > 0 {
		c, p.free = p.free[n-1], p.free[:n-1]
	} else {
		c = newCaller(p)
	}
	c.conn.reset()
	p.running[call.ID] = runningCall{c, call}
	c.calls <- call // does not block: the caller is idle
}

// release returns a caller to the pool after its call has ended.
func (p *callerPool) release(c *caller, id wire.StartID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, id)
	if p.closed {
		close(c.calls)
		return
	}
	p.free = append(p.free, c)
}

// stop ends a running call: the platform stops the task, and the connection is closed.
func (p *callerPool) stop(id wire.StartID) {
	p.mu.Lock()
	running, found := p.running[id]
	p.mu.Unlock()
	if !found {
		return
	}
	if p.platform != nil {
		ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
		defer cancel()
		if err := p.platform.Stop(ctx, taskID(id)); err != nil {
			p.platformFailed("stop", err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, active := p.running[id]; active {
		running.caller.conn.stop()
	}
}

// callsByTaskID returns the running calls by the ids under which the worker platform knows them.
func (p *callerPool) callsByTaskID() map[string]startgate.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]startgate.Call, len(p.running))
	for id, running := range p.running {
		calls[taskID(id)] = running.call
	}
	return calls
}

// close stops the idle callers at once, and each of the others when its call has ended.
func (p *callerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.free {
		close(c.calls)
	}
	p.free = nil
}
