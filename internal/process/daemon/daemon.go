package daemon

import (
	"bytes"
	"context"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/admin"
	"pollenpaddle/internal/process/auth"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/process/logging"
)

// Daemon is one process of an installation.
type Daemon struct {
	ID       string
	Listen   string
	Logger   *zap.Logger
	Registry *prometheus.Registry
	Roles    map[string]Role
	Adapters []Adapter
	// DrainOrder lists the roles in the order in which they are drained.
	DrainOrder []string
	// Tokens authenticates the callers of the operator API.
	Tokens *auth.Tokens
	stalls clock.Stalls
	// LoopbackOnly is true if callers or processes are not authenticated and the network is not
	// trusted; Listen is then a loopback address.
	LoopbackOnly bool
	// Limits and Guard limit the HTTP clients of all listeners of the process.
	Limits Limits
	Guard  *httpapi.Guard
}

const (
	// responseTimeout limits the time to write a response. It is far longer than a slow client needs;
	// a client that takes longer is treated as lost.
	responseTimeout = 10 * time.Minute
	// maxMetricsRequests limits the requests for metrics that are collected at the same time. 60 clients that read no response
	// raised the memory of a control member to 93 MB without the limit.
	maxMetricsRequests = 4
	// idleTimeout closes a keep-alive connection without requests.
	idleTimeout = time.Minute
)

// Run serves until ctx is done, then drains the adapters and the roles in order and returns. Draining
// has no deadline, so that work in flight is completed.
func (d *Daemon) Run(ctx context.Context) error {
	d.stalls.Observe(clock.SinceBoot()) // before the first request can arrive
	limitRuntimeMemory(d.Limits.Shares.Limit)
	server, err := d.Guard.NewServer(httpapi.ServerConfig{
		Name: "listen", ServerName: "pollenpaddle", Limits: d.Limits.Own, BodyBytes: d.Limits.BodyBytes,
		HeaderTimeout: d.Limits.HeaderTimeout, IdleTimeout: idleTimeout, WriteTimeout: responseTimeout,
		Handler: httpapi.RecoverFaults(d.handler(), logging.LogFaults(d.Logger)), Class: classOf, WriteError: httpapi.WriteError,
	})
	if err != nil {
		return err
	}
	listener, err := server.Listen(d.Listen)
	if err != nil {
		return failure.New(failure.Unavailable, "choose another address in listen or stop the process that uses it", "cannot listen on %s: %v", d.Listen, err)
	}
	roleCtx, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRoles()
	group, roleCtx := errgroup.WithContext(roleCtx)
	for _, name := range d.DrainOrder {
		role := d.Roles[name]
		group.Go(func() error { return role.Run(roleCtx) })
	}
	for _, adapter := range d.Adapters {
		group.Go(func() error { return adapter.Run(roleCtx) })
	}
	if d.adminBackend() != nil {
		group.Go(func() error { return d.observeStalls(roleCtx) })
	}
	group.Go(func() error { return server.Serve(listener) })
	if d.LoopbackOnly {
		logging.Log(d.Logger, logging.LoopbackOnly)
	}
	logging.Log(d.Logger, logging.ProcessStarted, zap.String("address", listener.Addr().String()), zap.Strings("roles", d.DrainOrder))
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-roleCtx.Done():
			_ = listener.Close()
			return nil
		}
		err := d.drain(roleCtx)
		stopRoles()
		// Waits for responses that are still being sent, without a deadline of its own.
		_ = server.Shutdown()
		return err
	})
	err = group.Wait()
	logging.Log(d.Logger, logging.ProcessStopped, zap.Error(err))
	_ = d.Logger.Sync() // waits for a bounded time; lines not written by then are lost
	return err
}

func (d *Daemon) observeStalls(ctx context.Context) error {
	ticker := time.NewTicker(clock.StallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.stalls.Observe(clock.SinceBoot())
		}
	}
}

// StalledRecently reports whether a request that is read now may have waited while this process was
// stopped or its VM suspended, so that its caller may have sent other requests since. Only processes that
// serve the operator API detect it.
func (d *Daemon) StalledRecently() bool { return d.stalls.Recent(clock.SinceBoot()) }

// LastStallEnd returns the end of the latest stall of this process, on the boot-time clock; zero if there was none. See
// StalledRecently.
func (d *Daemon) LastStallEnd() time.Duration { return d.stalls.LastEnd(clock.SinceBoot()) }

func (d *Daemon) drain(ctx context.Context) error {
	logging.Log(d.Logger, logging.ProcessStopping)
	for _, adapter := range d.Adapters {
		if err := adapter.Drain(ctx); err != nil {
			return err
		}
	}
	for _, name := range d.DrainOrder {
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
		httpapi.WriteError(ctx, failure.New(failure.NotFound, "see docs/api.md for the paths", "no such path: %s %.200s", ctx.Method(), ctx.Path()))
	}
	r.MethodNotAllowed = func(ctx *fasthttp.RequestCtx) {
		httpapi.WriteError(ctx, failure.New(failure.InvalidArgument, "see docs/api.md for the methods of each path", "%.200s does not support the method %.20s", ctx.Path(), ctx.Method()))
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", d.ready)
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests})))
	r.GET("/v1/dump", d.dump)
	for _, name := range d.DrainOrder {
		d.Roles[name].Routes(r)
	}
	if backend := d.adminBackend(); backend != nil {
		(&admin.API{Backend: backend, Tokens: d.Tokens, StalledRecently: d.StalledRecently}).Routes(r)
	}
	return r.Handler
}

// adminBackend returns the backend of the operator API: the control role if the process has it,
// otherwise a role that forwards calls to a control member, or nil.
func (d *Daemon) adminBackend() admin.Backend {
	var backend admin.Backend
	for _, name := range d.DrainOrder {
		if provider, ok := d.Roles[name].(admin.BackendProvider); ok && (backend == nil || name == string(wire.RoleControl)) {
			backend = provider.AdminBackend()
		}
	}
	return backend
}

// classOf returns the class of a request at the address listen. Callers submit jobs and requests there; all others are
// operators, other processes, and monitoring.
func classOf(ctx *fasthttp.RequestCtx) budget.Class {
	path := ctx.Path()
	if bytes.HasPrefix(path, []byte("/v1/jobs")) || bytes.HasPrefix(path, []byte("/v1/requests")) {
		return budget.Callers
	}
	return budget.Reserved
}

func (d *Daemon) ready(ctx *fasthttp.RequestCtx) {
	for _, name := range d.DrainOrder {
		if err := d.Roles[name].Ready(); err != nil {
			httpapi.WriteError(ctx, err)
			return
		}
	}
	ctx.SetBodyString("ready\n")
}

// dump requires an operator token because the state names organisations and their jobs.
func (d *Daemon) dump(ctx *fasthttp.RequestCtx) {
	principal, err := d.Tokens.Authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err == nil {
		err = principal.RequireOperator()
	}
	if err != nil {
		httpapi.WriteError(ctx, err)
		return
	}
	state := map[string]any{"id": d.ID, "limits": d.Guard.Dump()}
	for _, name := range d.DrainOrder {
		state[name] = d.Roles[name].Dump()
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, state)
}
