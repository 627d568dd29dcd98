package session

import (
	"bytes"
	"cmp"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/ring"
)

// Path returns the HTTP path on which a process accepts sessions for one of its roles.
func Path(role wire.Role) string { return "/v1/session/" + string(role) }

const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
	// DefaultConnectTimeout is used if Connector.ConnectTimeout is zero; a connector may set a longer
	// one. Package control starts with a shorter timeout and doubles it up to this one. A host that is
	// down does not respond to the SYN packet, which is retransmitted only after 1 s; when the host
	// is up again, a new attempt reaches it sooner than the retransmission.
	DefaultConnectTimeout = 400 * time.Millisecond
	// maxHandshakeBytes bounds a frame from a peer that is not authenticated yet.
	maxHandshakeBytes = 4096
	// bufferBytes is the size of the I/O buffers of a connection. Larger frames are read and written
	// in several parts.
	bufferBytes = 4096
)

// writeBuffers is shared by all sessions, because an idle session needs no write buffer.
var writeBuffers sync.Pool

// Connector accepts and dials sessions for one process. It must not be copied after the first
// Accept.
type Connector struct {
	Local      Identity
	Key        []byte // shared by all processes of an installation
	QueueLimit int    // queued outgoing messages of one session; zero means DefaultQueueLimit
	Handler    Handler
	// ConnectTimeout bounds the establishment of a connection; zero means DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// AckTimeout ends a session that this connector dialed when sent data stays unacknowledged, or unsent because the
	// peer's receive window is full, for this time (TCP_USER_TIMEOUT). A slow process ends it only once its window is
	// full. Zero leaves it to ReadTimeout and to the retransmissions of the operating system, whose intervals double.
	AckTimeout time.Duration
	// OnRejected, if set, is called if the handshake of an accepted connection fails.
	OnRejected func(remote string, err error)
	// OnFault, if set, is called with the error of a session that ended by a panic in its goroutines.
	OnFault func(err error)

	accepted *sessionTable
}

// sessionTable contains the accepted sessions by peer.
type sessionTable struct {
	mu       sync.Mutex
	sessions map[peerKey]*Session
}

// tableMu guards the creation of the tables of all connectors.
var tableMu sync.Mutex

func (c *Connector) table() *sessionTable {
	tableMu.Lock()
	defer tableMu.Unlock()
	if c.accepted == nil {
		c.accepted = &sessionTable{sessions: map[peerKey]*Session{}}
	}
	return c.accepted
}

// peerKey identifies an incarnation of a process in one role. Another incarnation is another peer;
// the handler decides whether it is a restart or a second process with the same id.
type peerKey struct {
	role        wire.Role
	id          string
	incarnation uint64
}

// direction states whether the sender of a Hello accepted or dialed the connection. The MAC covers it
// to prevent reflection attacks.
type direction string

const (
	accepting direction = "accept"
	dialing   direction = "dial"
)

// Accept upgrades an HTTP request to a session and serves it until it ends. A new session of the
// same peer replaces the earlier one, because the peer may detect the loss of the connection first.
// SessionClosed of the earlier session is called before SessionOpened of the new one.
func (c *Connector) Accept(ctx context.Context, request *fasthttp.RequestCtx) error {
	upgrader := websocket.FastHTTPUpgrader{
		HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: &writeBuffers,
	}
	return upgrader.Upgrade(request, func(conn *websocket.Conn) {
		s, err := c.acceptHandshake(conn)
		if err != nil {
			if c.OnRejected != nil {
				c.OnRejected(conn.RemoteAddr().String(), err)
			}
			_ = conn.Close()
			return
		}
		defer c.registerAccepted(s)()
		_ = c.run(ctx, s)
	})
}

// run serves the session until it ends and reports a fault.
func (c *Connector) run(ctx context.Context, s *Session) error {
	err := s.run(ctx, c.Handler)
	if c.OnFault != nil && failure.IsFault(err) {
		c.OnFault(err)
	}
	return err
}

// registerAccepted registers an accepted session, ends the earlier session of the same peer and
// returns the function that removes the registration.
func (c *Connector) registerAccepted(s *Session) (remove func()) {
	key, table := peerKey{role: s.peer.Role, id: s.peer.ID, incarnation: s.peer.Incarnation}, c.table()
	table.mu.Lock()
	earlier := table.sessions[key]
	table.sessions[key] = s
	table.mu.Unlock()
	if earlier != nil {
		earlier.abort()
		<-earlier.handlerDone
	}
	return func() {
		table.mu.Lock()
		defer table.mu.Unlock()
		if table.sessions[key] == s {
			delete(table.sessions, key)
		}
	}
}

// Dial connects to the given role of the process at address (host:port) and serves the session
// until it ends. The error is the reason why it ended or was not established; it is nil after
// either end closed the session.
func (c *Connector) Dial(ctx context.Context, address string, role wire.Role) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialer := websocket.Dialer{
		NetDialContext: func(dialCtx context.Context, network, address string) (net.Conn, error) {
			conn, err := c.netDialer().DialContext(dialCtx, network, address)
			if err == nil {
				context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the handshake, too
			}
			return conn, err
		},
		HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: &writeBuffers,
	}
	conn, response, err := dialer.DialContext(ctx, "ws://"+address+Path(role), nil)
	if err != nil {
		return failure.New(failure.Unavailable, "check that the process runs and the address is right", "cannot connect to %s: %v", address, err)
	}
	_ = response.Body.Close()
	s, err := c.dialHandshake(conn, role)
	if err != nil {
		_ = conn.Close()
		return err
	}
	s.dialedAddress = address
	return c.run(ctx, s)
}

func (c *Connector) netDialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: cmp.Or(c.ConnectTimeout, DefaultConnectTimeout)}
	if c.AckTimeout > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.AckTimeout.Milliseconds()))
			})
			return errors.CombineErrors(controlErr, err)
		}
	}
	return dialer
}

func (c *Connector) acceptHandshake(conn *websocket.Conn) (_ *Session, err error) {
	defer failure.RecoverFault(&err)
	conn.SetReadLimit(maxHandshakeBytes)
	nonce := newNonce()
	if err := writeMessage(conn, &wire.Challenge{Nonce: nonce}); err != nil {
		return nil, err
	}
	hello, err := readMessage[*wire.Hello](conn)
	if err != nil {
		return nil, err
	}
	if err := c.verifyHello(hello, nonce, dialing, c.Local.Role); err != nil {
		return nil, err
	}
	if err := writeMessage(conn, c.newHello(hello.Nonce, accepting, c.Local.Role)); err != nil {
		return nil, err
	}
	return c.newSession(conn, hello), nil
}

func (c *Connector) dialHandshake(conn *websocket.Conn, role wire.Role) (*Session, error) {
	conn.SetReadLimit(maxHandshakeBytes)
	challenge, err := readMessage[*wire.Challenge](conn)
	if err != nil {
		return nil, err
	}
	local := c.newHello(challenge.Nonce, dialing, role)
	if err := writeMessage(conn, local); err != nil {
		return nil, err
	}
	hello, err := readMessage[*wire.Hello](conn)
	if err != nil {
		return nil, err
	}
	if err := c.verifyHello(hello, local.Nonce, accepting, role); err != nil {
		return nil, err
	}
	if hello.Role != role {
		return nil, failure.New(failure.InvalidArgument, "check the address", "peer %q has the role %s, not %s", hello.ID, hello.Role, role)
	}
	return c.newSession(conn, hello), nil
}

func (c *Connector) newSession(conn *websocket.Conn, hello *wire.Hello) *Session {
	limit := c.QueueLimit
	if limit == 0 {
		limit = DefaultQueueLimit
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	return &Session{
		peer: Identity{
			Role: hello.Role, ID: hello.ID, Incarnation: hello.Incarnation,
			AvailabilityZone: hello.AvailabilityZone, Address: hello.Address,
		},
		conn:           conn,
		outgoing:       ring.New[wire.Message](limit),
		writeLoopEnded: make(chan struct{}),
		disconnected:   make(chan struct{}),
		handlerDone:    make(chan struct{}),
	}
}

// newHello returns the Hello of this process. Its MAC proves that the process has the shared key
// and covers the peer's nonce, the direction and the dialed role.
func (c *Connector) newHello(peerNonce []byte, d direction, dialed wire.Role) *wire.Hello {
	h := &wire.Hello{
		Version: wire.ProtocolVersion, Role: c.Local.Role, ID: c.Local.ID, Incarnation: c.Local.Incarnation,
		AvailabilityZone: c.Local.AvailabilityZone, Address: c.Local.Address, Nonce: newNonce(),
	}
	h.MAC = c.helloMAC(h, peerNonce, d, dialed)
	return h
}

func (c *Connector) verifyHello(h *wire.Hello, nonce []byte, d direction, dialed wire.Role) error {
	if h.Version != wire.ProtocolVersion {
		return failure.New(failure.InvalidArgument, "run releases with the same protocol version", "peer %q uses protocol version %d, but this process uses version %d", h.ID, h.Version, wire.ProtocolVersion)
	}
	if len(h.Nonce) != nonceBytes || !hmac.Equal(h.MAC, c.helloMAC(h, nonce, d, dialed)) {
		return failure.New(failure.Unauthenticated, "configure the same key file on all processes", "peer %q does not have the shared key", h.ID)
	}
	if h.Role == c.Local.Role && h.ID == c.Local.ID && h.Incarnation == c.Local.Incarnation {
		return failure.New(failure.InvalidArgument, "check the addresses in the settings", "process %q has connected to itself", h.ID)
	}
	return nil
}

// helloMAC returns the MAC of h. It covers every other field, so that none can be modified in
// transit.
func (c *Connector) helloMAC(h *wire.Hello, peerNonce []byte, d direction, dialed wire.Role) []byte {
	mac := hmac.New(sha256.New, c.Key)
	var number [8]byte
	write := func(field []byte) {
		binary.BigEndian.PutUint64(number[:], uint64(len(field)))
		mac.Write(number[:])
		mac.Write(field)
	}
	write(peerNonce)
	write(h.Nonce)
	binary.BigEndian.PutUint64(number[:], h.Incarnation)
	mac.Write(number[:])
	write([]byte{byte(h.Version >> 8), byte(h.Version)})
	for _, field := range []string{string(d), string(dialed), string(h.Role), h.ID, h.AvailabilityZone, h.Address} {
		write([]byte(field))
	}
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error
	return nonce
}

func writeMessage(conn *websocket.Conn, message wire.Message) error {
	frame, err := wire.EncodeFrame([]wire.Message{message})
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	return conn.WriteMessage(websocket.BinaryMessage, frame)
}

func readMessage[M wire.Message](conn *websocket.Conn) (M, error) {
	var zero M
	var buffer bytes.Buffer
	messages, err := readFrame(conn, handshakeTimeout, &buffer)
	if err != nil {
		return zero, err
	}
	if len(messages) == 1 {
		if m, ok := messages[0].(M); ok {
			return m, nil
		}
	}
	return zero, failure.New(failure.InvalidArgument, "run the same release on both ends", "unexpected message during the handshake")
}
