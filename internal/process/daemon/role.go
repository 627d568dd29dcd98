// Package daemon assembles a process from its roles: one HTTP listener, one event loop per role,
// and a graceful shutdown.
package daemon

import (
	"context"

	"github.com/fasthttp/router"
)

// Adapter serves the process through a protocol other than its own HTTP interface.
type Adapter interface {
	// Run serves until ctx is done.
	Run(ctx context.Context) error
	// Drain makes callers move to other processes. It is called before the roles drain.
	Drain(ctx context.Context) error
}

// Role is one role of a process.
type Role interface {
	// Routes registers the HTTP interface and the session endpoint of the role.
	Routes(r *router.Router)
	// Run serves until ctx is done.
	Run(ctx context.Context) error
	// Drain stops accepting new work and returns when all work in flight is finished.
	Drain(ctx context.Context) error
	// Ready returns nil if the role can serve, or an error that states what is missing.
	Ready() error
	// Dump returns the state of the role as a value that can be encoded as JSON.
	Dump() any
}
