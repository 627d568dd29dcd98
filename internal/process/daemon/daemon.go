package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/admin"
	"pollenpaddle/internal/process/auth"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/process/logging"
)

// Daemon is one process.
type Daemon struct {
	ID       string
	Listen   string
	MaxBody  int // bytes of an HTTP request body
	Logger   *zap.Logger
	Registry *prometheus.Registry
	Roles    map[string]Role
	Adapters []Adapter
	// Order lists the roles in the order in which they are drained.
	Order []string
	// Tokens tell the callers of the operators' paths apart.
	Tokens *auth.Tokens
	// LoopbackOnly is set if callers or processes are not authenticated; Listen is then a loopback
	// address.
	LoopbackOnly bool
}

const (
	// requestTimeout bounds the arrival of one request, so that a client that stalls within a body
	// cannot hold up a shutdown.
	requestTimeout = time.Minute
	// answerTimeout bounds the transfer of one answer. It is far above what a slow reader needs; a
	// reader that takes longer counts as lost.
	answerTimeout = 10 * time.Minute
	// headerBytes bounds the headers of a request.
	headerBytes = 16 << 10
	// idleTimeout bounds the life of a keep-alive connection without a request.
	idleTimeout = time.Minute
)

// Run serves until ctx is done, then drains the roles in order and stops. Work in flight is never
// cut off by a deadline.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.Listen)
	if err != nil {
		return failure.New(failure.Unavailable, "choose another address in listen or stop the process that uses it", "cannot listen on %s: %v", d.Listen, err)
	}
	server := &fasthttp.Server{
		Name: "pollenpaddle", Handler: d.handler(), MaxRequestBodySize: d.MaxBody,
		ReadBufferSize: headerBytes, ReadTimeout: requestTimeout, WriteTimeout: answerTimeout, IdleTimeout: idleTimeout,
		CloseOnShutdown: true, NoDefaultServerHeader: true, ErrorHandler: d.refuseRequest,
	}
	roleCtx, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRoles()
	group, roleCtx := errgroup.WithContext(roleCtx)
	for _, name := range d.Order {
		role := d.Roles[name]
		group.Go(func() error { return role.Run(roleCtx) })
	}
	for _, adapter := range d.Adapters {
		group.Go(func() error { return adapter.Run(roleCtx) })
	}
	group.Go(func() error { return server.Serve(listener) })
	if d.LoopbackOnly {
		logging.Log(d.Logger, logging.LoopbackOnly)
	}
	logging.Log(d.Logger, logging.ProcessStarted, zap.String("address", listener.Addr().String()), zap.Strings("roles", d.Order))
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-roleCtx.Done():
			_ = listener.Close()
			return nil
		}
		err := d.drain(roleCtx)
		stopRoles()
		// Waits for answers that are still being read, without a deadline of its own.
		_ = server.Shutdown()
		return err
	})
	err = group.Wait()
	logging.Log(d.Logger, logging.ProcessStopped, zap.Error(err))
	_ = d.Logger.Sync() // bounded; what is not read by then is lost
	return err
}

func (d *Daemon) drain(ctx context.Context) error {
	logging.Log(d.Logger, logging.ProcessStopping)
	for _, adapter := range d.Adapters {
		if err := adapter.Drain(ctx); err != nil {
			return err
		}
	}
	for _, name := range d.Order {
		if err := d.Roles[name].Drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) handler() fasthttp.RequestHandler {
	r := router.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		httpapi.WriteError(ctx, failure.New(failure.NotFound, "see docs/api.md for the paths", "no such path: %s %s", ctx.Method(), ctx.Path()))
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		httpapi.WriteError(ctx, failure.New(failure.InvalidArgument, "see docs/api.md for the methods of each path", "%s does not take the method %s", ctx.Path(), ctx.Method()))
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", d.ready)
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{})))
	r.GET("/v1/dump", d.dump)
	for _, name := range d.Order {
		d.Roles[name].Routes(r)
	}
	if backend := d.adminBackend(); backend != nil {
		(&admin.API{Backend: backend, Tokens: d.Tokens}).Routes(r)
	}
	return r.Handler
}

// adminBackend returns the role that serves the operators' paths: the control role if the process
// has it, otherwise one that can pass calls on, or nil.
func (d *Daemon) adminBackend() admin.Backend {
	var backend admin.Backend
	for _, name := range d.Order {
		if provider, ok := d.Roles[name].(admin.BackendProvider); ok && (backend == nil || name == string(wire.RoleControl)) {
			backend = provider.AdminBackend()
		}
	}
	return backend
}

// refuseRequest answers a request that the HTTP server could not read. The text of err repeats the
// headers, which may hold a token, so it is not passed on.
func (d *Daemon) refuseRequest(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		httpapi.WriteError(ctx, failure.New(failure.TooLarge, "send a smaller body or raise max_body_bytes in the section [entry]", "the request body exceeds the limit of %d bytes; nothing was run", d.MaxBody))
		return
	}
	var headers *fasthttp.ErrSmallBuffer
	if errors.As(err, &headers) {
		httpapi.WriteError(ctx, failure.New(failure.TooLarge, "send fewer or shorter headers", "the request headers exceed the limit of %d bytes; nothing was run", headerBytes))
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
		return
	}
	httpapi.WriteError(ctx, failure.New(failure.InvalidArgument, "send a complete HTTP/1.1 request", "the request is incomplete or not valid HTTP/1.1; nothing was run"))
}

func (d *Daemon) ready(ctx *fasthttp.RequestCtx) {
	for _, name := range d.Order {
		if err := d.Roles[name].Ready(); err != nil {
			httpapi.WriteError(ctx, err)
			return
		}
	}
	ctx.SetBodyString("ready\n")
}

// dump needs the operator's token, because the state names organisations and their jobs.
func (d *Daemon) dump(ctx *fasthttp.RequestCtx) {
	principal, err := d.Tokens.Authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err == nil {
		err = principal.RequireOperator()
	}
	if err != nil {
		httpapi.WriteError(ctx, err)
		return
	}
	state := map[string]any{"id": d.ID}
	for _, name := range d.Order {
		state[name] = d.Roles[name].Dump()
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, state)
}
