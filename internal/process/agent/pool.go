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

// platformTimeout bounds one call to the worker platform.
const platformTimeout = time.Second

// clientPool runs calls on reusable clients. The start gate bounds the concurrent calls, so the pool
// has at most as many clients as the largest number of slots that the upstream has announced.
type clientPool struct {
	platform       workerhost.Platform // nil if there is none
	ended          func(startgate.CallEnded)
	platformFailed func(operation string, err error)
	reportFault    func(error)

	mu         sync.Mutex
	address    string // of the upstream
	free       []*upstreamClient
	inProgress map[wire.StartID]callInProgress
	closed     bool
}

type callInProgress struct {
	client *upstreamClient
	call   startgate.Call
}

func newClientPool(p workerhost.Platform, ended func(startgate.CallEnded), platformFailed func(string, error), reportFault func(error)) *clientPool {
	return &clientPool{platform: p, ended: ended, platformFailed: platformFailed, reportFault: reportFault, inProgress: map[wire.StartID]callInProgress{}}
}

// platformTaskID returns the id of a start at the worker platform.
func platformTaskID(id wire.StartID) string {
	return fmt.Sprintf("%s/%s/%d/%d", id.Job.Organisation, id.Job.ID, id.Task, id.Attempt)
}

// setTarget sets the address of the upstream (host:port) for the calls that follow.
func (p *clientPool) setTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = address
}

func (p *clientPool) target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// start runs a call on the most recently used idle client, whose connection is most likely still open.
func (p *clientPool) start(call startgate.Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var c *upstreamClient
	if n := len(p.free); n > 0 {
		c, p.free = p.free[n-1], p.free[:n-1]
	} else {
		c = newUpstreamClient(p)
	}
	c.conn.reset()
	p.inProgress[call.ID] = callInProgress{c, call}
	c.calls <- call // does not block: the client is idle
}

// release returns a client to the pool after its call has ended.
func (p *clientPool) release(c *upstreamClient, id wire.StartID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, id)
	if p.closed {
		close(c.calls)
		return
	}
	p.free = append(p.free, c)
}

// stop ends a call in progress: the worker platform stops the task, and the connection is closed.
func (p *clientPool) stop(id wire.StartID) {
	p.mu.Lock()
	running, found := p.inProgress[id]
	p.mu.Unlock()
	if !found {
		return
	}
	if p.platform != nil {
		ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
		defer cancel()
		if err := p.platform.Stop(ctx, platformTaskID(id)); err != nil {
			p.platformFailed("stop", err)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, active := p.inProgress[id]; active {
		running.client.conn.stop()
	}
}

// callsByPlatformTaskID returns the calls in progress by their ids at the worker platform.
func (p *clientPool) callsByPlatformTaskID() map[string]startgate.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[string]startgate.Call, len(p.inProgress))
	for id, running := range p.inProgress {
		calls[platformTaskID(id)] = running.call
	}
	return calls
}

// close stops the idle clients at once, and each of the others when its call has ended.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.free {
		close(c.calls)
	}
	p.free = nil
}
