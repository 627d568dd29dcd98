package httpapi

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"pollenpaddle/internal/connection/budget"
	"pollenpaddle/internal/process/logging"
)

const (
	// MaxHeaderBytes limits the headers of a request.
	MaxHeaderBytes = 16 << 10
	// defaultHeaderTimeout is the default of the key header_timeout.
	defaultHeaderTimeout = 10 * time.Second
	// acceptRetryInterval is the pause after a connection could not be accepted for lack of descriptors or memory.
	acceptRetryInterval = 20 * time.Millisecond
	// lingerTime and lingerBytes bound what is read and dropped of a refused body, so that the response is not lost by a
	// reset of the connection.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// ServerConfig describes one HTTP listener.
type ServerConfig struct {
	Name          string // of the listener in log lines, metrics and the dump
	ServerName    string // in responses; empty: no such header
	Limits        budget.Listener
	BodyBytes     int           // limit of the body of a request; 0: fasthttp.DefaultMaxRequestBodySize
	HeaderTimeout time.Duration // for the headers and the first bytes of a body; 0: defaultHeaderTimeout
	IdleTimeout   time.Duration // between two requests
	WriteTimeout  time.Duration // for one response
	Track         bool          // connections record when they were quiet; see SentAfter
	Handler       fasthttp.RequestHandler
	// Class returns the class of a request; nil: all are budget.Reserved.
	Class func(ctx *fasthttp.RequestCtx) budget.Class
	// WriteError responds with a typed error.
	WriteError func(ctx *fasthttp.RequestCtx, err error)
}

// Guard applies the limits on connections and bytes to the HTTP listeners of a process.
type Guard struct {
	logger  *zap.Logger
	reports reports
	refused *prometheus.CounterVec
	started time.Time
	// receiveBytes is the size of the receive buffer of each connection; 0: the default of the system.
	receiveBytes int

	mu          sync.Mutex // guards the following, and the field waiter of the connections
	budget      *budget.Budget
	connections map[budget.ID]*guardedConn
	servers     []*Server
	observed    time.Duration // when the memory in use was last observed
	collection  chan struct{} // is closed when the garbage collection that was requested has ended; nil if there is none
	grown       bool          // many connections or bytes were in use since the memory was last returned
}

// NewGuard returns a guard without listeners.
func NewGuard(config budget.Config, logger *zap.Logger, registerer prometheus.Registerer) (*Guard, error) {
	b, err := budget.New(config)
	if err != nil {
		return nil, err
	}
	g := &Guard{
		logger: logger, started: time.Now(), receiveBytes: config.ReceiveBytes, budget: b, connections: map[budget.ID]*guardedConn{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pollenpaddle_http_refused_total", Help: "Requests and connections that a limit has refused or closed, by listener and cause.",
		}, []string{"listener", "cause"}),
	}
	g.reports.logger = logger
	registerer.MustRegister(g.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollenpaddle_http_granted_bytes", Help: "Bytes of bodies and large responses that are held for HTTP clients.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		callers, reserved, _ := g.budget.Bytes()
		return float64(callers + reserved)
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pollenpaddle_http_connections", Help: "Open connections of HTTP clients, sessions included.",
	}, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.connections))
	}))
	return g, nil
}

// Server serves one listener within the limits of a guard.
type Server struct {
	*fasthttp.Server
	config ServerConfig
	guard  *Guard
	index  int // of the listener in the budget
}

// NewServer returns a server for one listener. It returns an error if a limit is not positive.
func (g *Guard) NewServer(config ServerConfig) (*Server, error) {
	if config.BodyBytes <= 0 {
		config.BodyBytes = fasthttp.DefaultMaxRequestBodySize
	}
	if config.HeaderTimeout <= 0 {
		config.HeaderTimeout = defaultHeaderTimeout
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	index, err := g.budget.AddListener(config.Limits)
	if err != nil {
		return nil, err
	}
	s := &Server{config: config, guard: g, index: index}
	s.Server = &fasthttp.Server{
		Name: config.ServerName, Handler: s.handle, MaxRequestBodySize: config.BodyBytes, ReadBufferSize: MaxHeaderBytes,
		ReadTimeout: config.HeaderTimeout, IdleTimeout: config.IdleTimeout, WriteTimeout: config.WriteTimeout,
		CloseOnShutdown: true, NoDefaultServerHeader: true, DisablePreParseMultipartForm: true, StreamRequestBody: true,
		SecureErrorLogMessage: true, Logger: libraryLogger{s}, ErrorHandler: s.rejectUnread,
		HeaderReceived: s.headerReceived, ExpectHandler: s.expect, ConnState: s.stateChanged,
	}
	g.servers = append(g.servers, s)
	return s, nil
}

// Serve serves the connections of a listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	var guarded net.Listener = guardedListener{listener, s}
	if s.config.Track {
		guarded = TrackConnections(guarded)
	}
	return s.Server.Serve(guarded)
}

// ListenerDump is the state of one listener in the dump of a process.
type ListenerDump struct {
	Name string `json:"name"`
	budget.Usage
}

// Dump is the state of a guard in the dump of a process.
type Dump struct {
	CallerBytes   int            `json:"caller_bytes"`   // in use by requests of callers, and by large responses
	ReservedBytes int            `json:"reserved_bytes"` // in use by other requests
	GarbageBytes  int            `json:"garbage_bytes"`  // no longer in use, but not collected yet
	Waiting       int            `json:"waiting"`        // requests that wait for bytes
	Pressed       bool           `json:"memory_pressed"` // too much memory is in use
	Listeners     []ListenerDump `json:"listeners"`
}

// Dump returns the state of the limits.
func (g *Guard) Dump() Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	var d Dump
	d.CallerBytes, d.ReservedBytes, d.Waiting = g.budget.Bytes()
	d.GarbageBytes, d.Pressed = g.budget.Garbage(), g.budget.Pressed()
	for _, s := range g.servers {
		d.Listeners = append(d.Listeners, ListenerDump{s.config.Name, g.budget.Usage(s.index)})
	}
	return d
}

func (g *Guard) now() time.Duration { return time.Since(g.started) }

// guardedListener accepts connections within the limits of a server.
type guardedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that the limits admit. It closes others, and waits while the process has no
// descriptor for a new one, where fasthttp would end the server.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			if guarded := l.server.open(conn); guarded != nil {
				return guarded, nil
			}
		case errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED):
			l.server.report(logging.AcceptFailed, "descriptors")
			l.server.evict()
			time.Sleep(acceptRetryInterval)
		default:
			return nil, err
		}
	}
}

// open admits a connection, or closes it and returns nil.
func (s *Server) open(conn net.Conn) *guardedConn {
	address := ""
	if s.config.Limits.ConnectionsPerAddress > 0 {
		address, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	}
	g := s.guard
	g.mu.Lock()
	g.observeMemory()
	id, victimID, refused := g.budget.Open(g.now(), s.index, address)
	victim := g.takeVictim(victimID)
	var guarded *guardedConn
	if refused == "" {
		guarded = &guardedConn{Conn: conn, server: s, id: id}
		g.connections[id] = guarded
		g.grown = g.grown || len(g.connections) >= grownConnections
	}
	g.mu.Unlock()
	if victim != nil {
		victim.closeToMakeRoom("replaced")
	}
	if guarded == nil {
		_ = conn.Close()
		s.report(logging.ConnectionsClosed, string(refused))
	}
	return guarded
}

// evict closes a connection because the process has no descriptors left.
func (s *Server) evict() {
	g := s.guard
	g.mu.Lock()
	victim := g.takeVictim(g.budget.Evict(g.now(), s.index))
	g.mu.Unlock()
	if victim != nil {
		victim.closeToMakeRoom("replaced")
	}
}

// takeVictim returns the connection with an ID, or nil, ends its wait for bytes and wakes those who waited behind it. g.mu
// must be held.
func (g *Guard) takeVictim(id budget.ID) *guardedConn {
	victim := g.connections[id]
	if victim != nil {
		victim.endWait(false)
		g.wake(g.budget.Grant())
	}
	return victim
}

// closeToMakeRoom closes the socket of a connection. Its goroutine then fails to read, and removes it.
func (c *guardedConn) closeToMakeRoom(cause string) {
	_ = c.Conn.Close()
	c.server.report(logging.ConnectionsClosed, cause)
}

// guardedConn is a connection that counts in the budget until it is closed.
type guardedConn struct {
	net.Conn
	server *Server
	id     budget.ID
	closed atomic.Bool
	waiter chan bool // receives whether the bytes that the connection waits for are granted; nil if it does not wait

	// The following are used by the goroutine of the connection only.
	linger  bool         // a part of a refused body may arrive still
	granted int          // bytes for the body of the request and its decoded values
	class   budget.Class // of these bytes
	rate    *budget.Rate // of the body that is being read; nil if there is none that needs a grant
}

// guardedBy returns the guarded connection below conn, or nil.
func guardedBy(conn net.Conn) *guardedConn {
	if tracked, ok := conn.(*trackedConn); ok {
		conn = tracked.Conn
	}
	guarded, _ := conn.(*guardedConn)
	return guarded
}

// SyscallConn implements syscall.Conn.
func (c *guardedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return conn.SyscallConn()
}

// Read implements net.Conn. It returns errSlowBody if a body arrives below the minimum rate.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.rate == nil {
		return c.Conn.Read(p)
	}
	for {
		start := time.Now()
		if err := c.Conn.SetReadDeadline(start.Add(budget.MaxReadTime)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if c.rate.Read(n, time.Since(start)) {
			return n, errSlowBody
		}
		var network net.Error
		if n > 0 || !errors.As(err, &network) || !network.Timeout() {
			return n, err
		}
	}
}

// Close closes the connection and ends its grants.
func (c *guardedConn) Close() error {
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	if c.linger {
		c.discardRest()
	}
	err := c.Conn.Close()
	g := c.server.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.connections, c.id)
	g.wake(g.budget.Close(c.id))
	g.returnMemory()
	return err
}

// discardRest ends the response and drops what the client has sent meanwhile.
func (c *guardedConn) discardRest() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && half.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
}

// endWait ends the wait for bytes. The guard's mutex must be held.
func (c *guardedConn) endWait(granted bool) {
	if c.waiter != nil {
		c.waiter <- granted // has room for it
		c.waiter = nil
	}
}

// wake ends the waits of the connections whose requests were granted, and has the garbage collected for which others wait.
// g.mu must be held.
func (g *Guard) wake(ids []budget.ID) {
	for _, id := range ids {
		if c := g.connections[id]; c != nil {
			c.endWait(true)
		}
	}
	if g.budget.WaitsForGarbage() && g.collection == nil {
		go g.collect()
	}
}

// stateChanged implements fasthttp.Server.ConnState.
func (s *Server) stateChanged(conn net.Conn, state fasthttp.ConnState) {
	c := guardedBy(conn)
	if c == nil || state != fasthttp.StateActive && state != fasthttp.StateIdle {
		return
	}
	g := s.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if state == fasthttp.StateActive {
		g.budget.Reading(g.now(), c.id)
		return
	}
	c.granted = 0
	g.wake(g.budget.Idle(g.now(), c.id))
	g.returnMemory()
}
