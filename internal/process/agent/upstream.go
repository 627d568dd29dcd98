package agent

import (
	"context"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/startgate"
)

const (
	// checkInterval is the time between two connection attempts to a static upstream.
	checkInterval = time.Second
	// checkTimeout bounds one connection attempt.
	checkTimeout = 500 * time.Millisecond
	// maxNameBytes bounds the names in an announcement.
	maxNameBytes = 128
	// maxSlots bounds the number of slots and the number of connections in an announcement.
	maxSlots = 4096
	// defaultConnections is announced for an upstream that does not state its connections.
	defaultConnections = 64
)

// UpstreamBody is the JSON body of PUT and GET /v1/upstream. An upstream must repeat its PUT within
// ttl_ms.
type UpstreamBody struct {
	Name         string  `json:"name"`
	Address      string  `json:"address"` // host:port
	Rack         string  `json:"rack,omitempty"`
	Slots        int     `json:"slots"`
	Connections  int     `json:"connections,omitempty"`
	Processors   float64 `json:"processors,omitempty"`   // if zero, the host's number is announced
	MemoryBytes  int64   `json:"memory_bytes,omitempty"` // if zero, the host's memory is announced
	Accelerators int64   `json:"accelerators,omitempty"`
	TTLMillis    int64   `json:"ttl_ms,omitempty"` // PUT: validity, 3000 by default, a larger value is reduced to 3000; GET: remaining time
}

// announcement is the latest announcement of the upstream.
type announcement struct {
	mu       sync.Mutex
	body     *UpstreamBody // nil before the first announcement and after a withdrawal
	deadline time.Duration // end of its validity (boot-time clock)
}

// Routes implements daemon.Role.
func (a *Agent) Routes(r *router.Router) {
	r.PUT("/v1/upstream", a.authorize(a.putUpstream))
	r.DELETE("/v1/upstream", a.authorize(a.deleteUpstream))
	r.GET("/v1/upstream", a.getUpstream)
}

// authorize admits requests from this host, on which the upstream runs, and requests with an
// operator's token. A static upstream cannot be changed by a request.
func (a *Agent) authorize(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !ctx.RemoteIP().IsLoopback() {
			err := error(failure.New(failure.PermissionDenied, "announce from the agent's host", "announcements are accepted from the agent's host only"))
			if a.config.Authorize != nil {
				err = a.config.Authorize(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
			}
			if err != nil {
				httpapi.WriteError(ctx, err)
				return
			}
		}
		if a.config.Upstream != "" {
			httpapi.WriteError(ctx, failure.New(failure.InvalidArgument, "remove upstream from the section [agent] of the settings", "the upstream of this agent is static"))
			return
		}
		next(ctx)
	}
}

func (a *Agent) putUpstream(ctx *fasthttp.RequestCtx) {
	var body UpstreamBody
	if err := httpapi.ReadJSON(ctx, &body); err != nil {
		httpapi.WriteError(ctx, err)
		return
	}
	message, ttl, err := body.toMessage()
	if err != nil {
		httpapi.WriteError(ctx, err)
		return
	}
	if a.draining.Load() {
		httpapi.WriteError(ctx, failure.New(failure.Unavailable, "announce again when the agent has restarted", "the agent is shutting down"))
		return
	}
	a.announce(&body, message, clock.SinceBoot()+ttl)
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, &body)
}

// announce records an announcement, which is valid until deadline, and passes it to the start gate.
func (a *Agent) announce(body *UpstreamBody, message wire.Announce, deadline time.Duration) {
	a.announcement.mu.Lock()
	changed := a.announcement.body == nil || *a.announcement.body != *body || clock.SinceBoot() >= a.announcement.deadline
	a.announcement.body, a.announcement.deadline = body, deadline
	a.announcement.mu.Unlock()
	if changed {
		logging.Log(a.config.Logger, logging.UpstreamAnnounced, zap.String("upstream", body.Name), zap.String("address", body.Address), zap.Int("slots", body.Slots))
	}
	a.pool.setTarget(body.Address)
	a.loop.Post(startgate.Announced{Announce: message, Deadline: deadline})
}

func (a *Agent) deleteUpstream(ctx *fasthttp.RequestCtx) {
	a.announcement.mu.Lock()
	a.announcement.body = nil
	a.announcement.mu.Unlock()
	logging.Log(a.config.Logger, logging.UpstreamWithdrawn)
	a.loop.Post(startgate.Withdrawn{})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (a *Agent) getUpstream(ctx *fasthttp.RequestCtx) {
	a.announcement.mu.Lock()
	body, remaining := a.announcement.body, a.announcement.deadline-clock.SinceBoot()
	a.announcement.mu.Unlock()
	if body == nil || remaining <= 0 {
		httpapi.WriteError(ctx, failure.New(failure.NotFound, "announce one with PUT /v1/upstream", "no upstream is announced"))
		return
	}
	current := *body
	current.TTLMillis = remaining.Milliseconds()
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, &current)
}

// toMessage validates the body, fills in connections and ttl_ms, and returns the message for the entries.
// Processors and memory that the body does not state are set to the host's in the message only.
func (b *UpstreamBody) toMessage() (message wire.Announce, ttl time.Duration, err error) {
	invalid := func(remedy, format string, args ...any) (wire.Announce, time.Duration, error) {
		return wire.Announce{}, 0, failure.New(failure.InvalidArgument, remedy, format, args...)
	}
	host, port, splitErr := net.SplitHostPort(b.Address)
	switch {
	case b.Name == "" || len(b.Name) > maxNameBytes || len(b.Rack) > maxNameBytes:
		return invalid("use a name of 1 to 128 bytes and a rack of at most 128 bytes", "name is missing, or name or rack is longer than 128 bytes")
	case splitErr != nil || host == "" || port == "":
		return invalid("use host:port, for example 127.0.0.1:7500", "address %q is not valid", b.Address)
	case b.Slots < 1 || b.Slots > maxSlots || b.Connections < 0 || b.Connections > maxSlots:
		return invalid("use 1 to 4096 slots and 0 to 4096 connections", "slots %d or connections %d are out of range", b.Slots, b.Connections)
	case !(b.Processors >= 0 && b.Processors <= 1<<20) || b.MemoryBytes < 0 || b.Accelerators < 0 || b.TTLMillis < 0:
		return invalid("use no negative values and at most 1048576 processors", "processors, memory_bytes, accelerators or ttl_ms are out of range")
	}
	if b.Connections == 0 {
		b.Connections = max(defaultConnections, b.Slots)
	}
	ttl = startgate.MaxAnnounceTTL
	if b.TTLMillis > 0 {
		ttl = min(ttl, time.Duration(min(b.TTLMillis, ttl.Milliseconds()))*time.Millisecond)
	}
	b.TTLMillis = ttl.Milliseconds()
	message = wire.Announce{Upstream: b.Name, Rack: b.Rack, Slots: b.Slots, Connections: b.Connections}
	message.Capacity.MilliProcessors = int64(b.Processors * 1000)
	message.Capacity.MemoryBytes = b.MemoryBytes
	message.Capacity.Accelerators = b.Accelerators
	return withHostCapacity(message), ttl, nil
}

// withHostCapacity sets the processors and memory that an announcement does not state to those of this
// host, on which the upstream runs.
func withHostCapacity(message wire.Announce) wire.Announce {
	if message.Capacity.MilliProcessors == 0 {
		message.Capacity.MilliProcessors = int64(runtime.NumCPU()) * 1000
	}
	if message.Capacity.MemoryBytes == 0 {
		var info unix.Sysinfo_t
		if unix.Sysinfo(&info) == nil {
			message.Capacity.MemoryBytes = int64(info.Totalram) * int64(info.Unit)
		}
	}
	return message
}

// announceStaticUpstream announces a static upstream as long as it accepts connections.
func (a *Agent) announceStaticUpstream(ctx context.Context) error {
	static := a.config.StaticAnnouncement
	body := &UpstreamBody{
		Name: static.Upstream, Address: a.config.Upstream, Rack: static.Rack, Slots: static.Slots, Connections: static.Connections,
		Processors: float64(static.Capacity.MilliProcessors) / 1000, MemoryBytes: static.Capacity.MemoryBytes,
		Accelerators: static.Capacity.Accelerators,
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		began := clock.SinceBoot()
		conn, err := net.DialTimeout("tcp", a.config.Upstream, checkTimeout)
		if err == nil {
			_ = conn.Close()
			if !a.draining.Load() {
				a.announce(body, static, began+startgate.MaxAnnounceTTL)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
