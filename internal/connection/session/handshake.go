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
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/ring"
)

// Path returns the HTTP path on which a process accepts sessions for one of its roles.
func Path(role wire.Role) string { return "/v1/session/" + string(role) }

const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
	// MaxConnectTimeout bounds the set-up of a connection. A machine without power drops the first packet,
	// and the next one follows only after a second; a new connection finds it sooner when it is back.
	MaxConnectTimeout = 400 * time.Millisecond
	// maxHandshakeBytes bounds a frame of a peer that has not proved the key.
	maxHandshakeBytes = 4096
	// bufferBytes is the size of the I/O buffers of a connection. Larger frames pass through them
	// in parts.
	bufferBytes = 4096
)

// writeBuffers are shared by all sessions, because an idle session needs none.
var writeBuffers sync.Pool

// Connector accepts and dials sessions for one process. It is not copied after its first Accept.
type Connector struct {
	Local     Identity
	Key       []byte // shared by all processes of an installation
	RingLimit int
	Handler   Handler
	// ConnectTimeout bounds the set-up of a connection; zero stands for MaxConnectTimeout.
	ConnectTimeout time.Duration
	// OnRefused, if set, is told why a process that dialed was refused.
	OnRefused func(remote string, err error)

	accepted *sessionTable
}

// sessionTable holds the accepted sessions by peer.
type sessionTable struct {
	mu       sync.Mutex
	sessions map[peerKey]*Session
}

// tableCreation guards the creation of the tables of all connectors.
var tableCreation sync.Mutex

func (c *Connector) table() *sessionTable {
	tableCreation.Lock()
	defer tableCreation.Unlock()
	if c.accepted == nil {
		c.accepted = &sessionTable{sessions: map[peerKey]*Session{}}
	}
	return c.accepted
}

// peerKey names one run of a process in one role. Another incarnation is another peer: whether it
// is a restart or a second process with the same id is for the handler to decide.
type peerKey struct {
	role        wire.Role
	id          string
	incarnation uint64
}

// direction is part of what a process proves, so that a proof cannot be sent back to its maker.
type direction string

const (
	accepting direction = "accept"
	dialing   direction = "dial"
)

// Accept upgrades an HTTP request to a session and serves it until it ends. A new session of the
// same run of a process replaces the earlier one: its end may have noticed the loss of the connection first. The
// earlier session's SessionClosed comes before the new one's SessionOpened.
func (c *Connector) Accept(ctx context.Context, request *fasthttp.RequestCtx) error {
	upgrader := websocket.FastHTTPUpgrader{
		HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: &writeBuffers,
	}
	return upgrader.Upgrade(request, func(conn *websocket.Conn) {
		s, err := c.serverHandshake(conn)
		if err != nil {
			if c.OnRefused != nil {
				c.OnRefused(conn.RemoteAddr().String(), err)
			}
			_ = conn.Close()
			return
		}
		defer c.replace(s)()
		_ = s.run(ctx, c.Handler)
	})
}

// replace registers an accepted session and returns the function that removes it.
func (c *Connector) replace(s *Session) (remove func()) {
	key, table := peerKey{role: s.peer.Role, id: s.peer.ID, incarnation: s.peer.Incarnation}, c.table()
	table.mu.Lock()
	earlier := table.sessions[key]
	table.sessions[key] = s
	table.mu.Unlock()
	if earlier != nil {
		earlier.abort()
		<-earlier.ended
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
// until it ends. The error tells why it ended or why it was never established; it is nil after a
// close by either end.
func (c *Connector) Dial(ctx context.Context, address string, role wire.Role) error {
	dialer := websocket.Dialer{
		NetDialContext:   (&net.Dialer{Timeout: cmp.Or(c.ConnectTimeout, MaxConnectTimeout)}).DialContext,
		HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, WriteBufferPool: &writeBuffers,
	}
	conn, response, err := dialer.DialContext(ctx, "ws://"+address+Path(role), nil)
	if err != nil {
		return failure.New(failure.Unavailable, "check that the process runs and the address is right", "cannot connect to %s: %v", address, err)
	}
	_ = response.Body.Close()
	s, err := c.clientHandshake(conn, role)
	if err != nil {
		_ = conn.Close()
		return err
	}
	s.dialed = address
	return s.run(ctx, c.Handler)
}

func (c *Connector) serverHandshake(conn *websocket.Conn) (*Session, error) {
	conn.SetReadLimit(maxHandshakeBytes)
	nonce := newNonce()
	if err := writeOne(conn, &wire.Challenge{Nonce: nonce}); err != nil {
		return nil, err
	}
	hello, err := readOne[*wire.Hello](conn)
	if err != nil {
		return nil, err
	}
	if err := c.verify(hello, nonce, dialing, c.Local.Role); err != nil {
		return nil, err
	}
	if err := writeOne(conn, c.hello(hello.Nonce, accepting, c.Local.Role)); err != nil {
		return nil, err
	}
	return c.newSession(conn, hello), nil
}

func (c *Connector) clientHandshake(conn *websocket.Conn, role wire.Role) (*Session, error) {
	conn.SetReadLimit(maxHandshakeBytes)
	challenge, err := readOne[*wire.Challenge](conn)
	if err != nil {
		return nil, err
	}
	local := c.hello(challenge.Nonce, dialing, role)
	if err := writeOne(conn, local); err != nil {
		return nil, err
	}
	hello, err := readOne[*wire.Hello](conn)
	if err != nil {
		return nil, err
	}
	if err := c.verify(hello, local.Nonce, accepting, role); err != nil {
		return nil, err
	}
	if hello.Role != role {
		return nil, failure.New(failure.InvalidArgument, "check the address", "peer %q has the role %s, not %s", hello.ID, hello.Role, role)
	}
	return c.newSession(conn, hello), nil
}

func (c *Connector) newSession(conn *websocket.Conn, hello *wire.Hello) *Session {
	limit := c.RingLimit
	if limit == 0 {
		limit = DefaultRingLimit
	}
	conn.SetReadLimit(wire.MaxFrameBytes)
	return &Session{
		peer: Identity{
			Role: hello.Role, ID: hello.ID, Incarnation: hello.Incarnation,
			AvailabilityZone: hello.AvailabilityZone, Address: hello.Address,
		},
		conn:     conn,
		outgoing: ring.New[wire.Message](limit),
		flushed:  make(chan struct{}),
		done:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
}

// hello returns this process's introduction, which proves the key against the peer's nonce for one
// direction and the role that is dialed.
func (c *Connector) hello(peerNonce []byte, d direction, dialed wire.Role) *wire.Hello {
	h := &wire.Hello{
		Version: wire.ProtocolVersion, Role: c.Local.Role, ID: c.Local.ID, Incarnation: c.Local.Incarnation,
		AvailabilityZone: c.Local.AvailabilityZone, Address: c.Local.Address, Nonce: newNonce(),
	}
	h.MAC = c.mac(h, peerNonce, d, dialed)
	return h
}

func (c *Connector) verify(h *wire.Hello, nonce []byte, d direction, dialed wire.Role) error {
	if h.Version != wire.ProtocolVersion {
		return failure.New(failure.InvalidArgument, "run releases with the same protocol version", "peer %q speaks protocol version %d, this process %d", h.ID, h.Version, wire.ProtocolVersion)
	}
	if len(h.Nonce) != nonceBytes || !hmac.Equal(h.MAC, c.mac(h, nonce, d, dialed)) {
		return failure.New(failure.Unauthenticated, "configure the same key file on all processes", "peer %q does not hold the shared key", h.ID)
	}
	if h.Role == c.Local.Role && h.ID == c.Local.ID && h.Incarnation == c.Local.Incarnation {
		return failure.New(failure.InvalidArgument, "check the addresses in the settings", "process %q has connected to itself", h.ID)
	}
	return nil
}

// mac covers every field of the introduction, so that none can be changed under way.
func (c *Connector) mac(h *wire.Hello, peerNonce []byte, d direction, dialed wire.Role) []byte {
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

func writeOne(conn *websocket.Conn, message wire.Message) error {
	frame, err := wire.EncodeFrame([]wire.Message{message})
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	return conn.WriteMessage(websocket.BinaryMessage, frame)
}

func readOne[M wire.Message](conn *websocket.Conn) (M, error) {
	var none M
	var buffer bytes.Buffer
	messages, err := readFrame(conn, handshakeTimeout, &buffer)
	if err != nil {
		return none, err
	}
	if len(messages) == 1 {
		if m, ok := messages[0].(M); ok {
			return m, nil
		}
	}
	return none, failure.New(failure.InvalidArgument, "run the same release on both ends", "unexpected message during the handshake")
}
