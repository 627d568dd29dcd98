package catalog

import (
	"strings"
	"time"
)

// Limits of a routing configuration.
const (
	MaxRoutes              = 8192
	MaxServices            = 1024
	MaxRoutingTextBytes    = 512       // bytes of a name, host or path prefix
	MaxDocumentBytes       = 192 << 10 // of Routing.Document
	maxRoutingCommandBytes = 248 << 10 // of the encoded PutRouting command, which must fit in one log entry
	maxRouteAttempts       = 1000
	maxRouteDuration       = time.Hour
	maxRouteStretch        = 1000
	maxRequestHeaderBytes  = 1 << 20
	maxRequestBodyBytes    = 64 << 20
	maxRequestTimeout      = time.Hour
	maxRoutingPriority     = 1 << 20
)

// Routing maps requests to services for restartable jobs, whose tasks may run again (see package
// run). Operators assign the version numbers and write each version in full. A process puts a version
// in force with PutRouting, which needs no expected revision because the highest version wins.
type Routing struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Routes   []Route // in the operator's order
	Services []Service
	Limits   RequestLimits
	// Document is the text that the operator sent, compressed by the process that received it.
	// Reading the configuration returns the text unchanged.
	Document []byte
}

// Route sends the jobs of a host and path prefix to a service.
type Route struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Host        string
	PathPrefix  string
	Service     string
	Priority    int           // lower values start first
	MaxAttempts int           // number of failed runs of one task after which the job fails; zero stands for one
	Stretch     float64       // the response-time objective of a job is Stretch times the run time of its longest task, plus Slack
	Slack       time.Duration // constant part of the response-time objective
	Timeout     time.Duration // maximum duration of a request
	Idempotent  bool
}

// Service is a set of workers that run the same kinds of tasks.
type Service struct {
	_              struct{} `cbor:",toarray"`
	Name           string
	Connections    int  // per worker
	GuardsCapacity bool // workers refuse runs that exceed their free capacity
}

// RequestLimits are limits on the requests of callers. Zero selects the entry's default.
type RequestLimits struct {
	_             struct{} `cbor:",toarray"`
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// PutRouting puts a routing configuration in force unless one with the same or a higher version is
// in force already. It is idempotent.
type PutRouting struct {
	_       struct{} `cbor:",toarray"`
	Routing Routing
}

// Kind implements Operation.
func (PutRouting) Kind() Kind { return KindPutRouting }

// Validate implements Operation.
func (o PutRouting) Validate() error { return o.Routing.Validate() }

func (PutRouting) check(*State) error { return nil }

func (o PutRouting) isNoOp(s *State) bool {
	return s.Routing != nil && s.Routing.Version >= o.Routing.Version
}

func (o PutRouting) apply(s *State) { s.Routing = &o.Routing }

// Validate returns InvalidArgument unless every route can be served: its service exists, no other
// route has the same host and prefix, and its numbers are in range.
func (r *Routing) Validate() error {
	switch {
	case r.Version == 0:
		return invalid("send a version of 1 or more", "the routing configuration has no version")
	case len(r.Routes) > MaxRoutes || len(r.Services) > MaxServices:
		return invalid("remove routes or services that are no longer used", "the routing configuration has %d routes and %d services; the limits are %d and %d",
			len(r.Routes), len(r.Services), MaxRoutes, MaxServices)
	case len(r.Document) > MaxDocumentBytes:
		return invalid("remove routes that are no longer used", "the stored document has %d bytes; the limit is %d", len(r.Document), MaxDocumentBytes)
	}
	services := make(map[string]bool, len(r.Services))
	for _, s := range r.Services {
		if s.Name == "" || len(s.Name) > MaxRoutingTextBytes || services[s.Name] {
			return invalid("give each service a unique name of up to 512 bytes", "the service name %q is empty, too long or used twice", truncate(s.Name))
		}
		services[s.Name] = true
	}
	seen := make(map[[2]string]bool, len(r.Routes))
	for i := range r.Routes {
		route := &r.Routes[i]
		if err := route.validate(services); err != nil {
			return err
		}
		location := [2]string{strings.ToLower(route.Host), route.PathPrefix}
		if seen[location] {
			return invalid("give each route its own host and prefix", "two routes share host %q and prefix %q", truncate(route.Host), truncate(route.PathPrefix))
		}
		seen[location] = true
	}
	return r.Limits.validate()
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case max(len(r.Name), len(r.Host), len(r.PathPrefix)) > MaxRoutingTextBytes || r.Host == "" || !strings.HasPrefix(r.PathPrefix, "/"):
		return invalid("use a name, a host and a prefix of up to 512 bytes, a host that is not empty and a prefix that begins with a slash", "route %q has the host %q and the prefix %q", truncate(r.Name), truncate(r.Host), truncate(r.PathPrefix))
	case !services[r.Service]:
		return invalid("name a service of the same configuration", "route %q names the unknown service %q", truncate(r.Name), truncate(r.Service))
	case r.Timeout <= 0 || r.Timeout > maxRouteDuration:
		return invalid("use a timeout above zero and up to 1 h", "route %q has the timeout %v", truncate(r.Name), r.Timeout)
	case r.Slack < 0 || r.Slack > maxRouteDuration || !(r.Stretch >= 0 && r.Stretch <= maxRouteStretch):
		return invalid("use a slack from 0 to 1 h and a stretch from 0 to 1000", "route %q has the slack %v and the stretch %v", truncate(r.Name), r.Slack, r.Stretch)
	case r.MaxAttempts < 0 || r.MaxAttempts > maxRouteAttempts || r.Priority < -maxRoutingPriority || r.Priority > maxRoutingPriority:
		return invalid("use 0 to 1000 attempts and a priority from -1048576 to 1048576", "route %q has %d attempts and priority %d", truncate(r.Name), r.MaxAttempts, r.Priority)
	}
	return nil
}

func (l *RequestLimits) validate() error {
	if l.HeaderBytes < 0 || l.HeaderBytes > maxRequestHeaderBytes || l.BodyBytes < 0 || l.BodyBytes > maxRequestBodyBytes ||
		l.HeaderTimeout < 0 || l.HeaderTimeout > maxRequestTimeout || l.IdleTimeout < 0 || l.IdleTimeout > maxRequestTimeout {
		return invalid("use up to 1 MiB of headers, 64 MiB of body and timeouts of up to 1 h", "the limits of requests are out of range")
	}
	return nil
}

// Find returns the route of a request: of the routes with its host, the one with the longest
// matching path prefix.
func (r *Routing) Find(host, path string) (*Route, bool) {
	var best *Route
	for i := range r.Routes {
		route := &r.Routes[i]
		if strings.EqualFold(route.Host, host) && strings.HasPrefix(path, route.PathPrefix) &&
			(best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best, best != nil
}

// commandLimit returns the maximum size of an encoded command of the given kind, in bytes.
func commandLimit(kind Kind) int {
	if kind == KindPutRouting {
		return maxRoutingCommandBytes
	}
	return MaxCommandBytes
}

// historySize returns the number of bytes that the step counts towards maxHistoryBytes.
func (s *Step) historySize() int { return len(s.Body) }
