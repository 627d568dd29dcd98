// Package session runs WebSocket sessions between the processes of pollenpaddle: a mutual
// handshake with the shared key, CBOR frames that batch whatever is queued, one bounded ring for
// outgoing messages, heartbeats, and a close with code 1001 on shutdown.
package session

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"
	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/ring"
)

const (
	// PingInterval is the time between heartbeats of an idle session.
	PingInterval = time.Second
	// ReadTimeout ends a session whose peer has sent nothing for this long.
	ReadTimeout = 3 * time.Second
	// writeTimeout ends a session whose peer has stopped reading. It bounds one frame.
	writeTimeout = 5 * time.Second
	// closeTimeout bounds the wait for the peer's close frame after this end's.
	closeTimeout = 2 * time.Second
	// lingerTimeout bounds the reading of what a refused peer still sends.
	lingerTimeout = 500 * time.Millisecond
	// DefaultRingLimit is the number of outgoing messages a session queues.
	DefaultRingLimit = 8192
	// maxBatchMessages and maxBatchBytes are the size from which a frame is sent and the next one
	// begun, so that the peer can work on the first while the second is under way.
	maxBatchMessages = 512
	maxBatchBytes    = 256 << 10
	// keptBufferBytes is the largest read buffer that an idle session keeps.
	keptBufferBytes = 64 << 10
)

// Identity describes one end of a session.
type Identity struct {
	Role             wire.Role
	ID               string
	Incarnation      uint64
	AvailabilityZone string
	Address          string
}

// Handler receives the events of all sessions of a process. Calls for one session come from one
// thread at a time and in order; Opened comes first and Closed last. A handler that waits in
// MessagesReceived stops the reading of that session, and with it the peer's sending.
type Handler interface {
	SessionOpened(s *Session)
	MessagesReceived(s *Session, messages []wire.Message)
	SessionClosed(s *Session, err error)
}

// Session is one established connection.
type Session struct {
	peer      Identity
	dialed    string
	conn      *websocket.Conn
	outgoing  *ring.Queue[wire.Message]
	closing   atomic.Bool
	flushed   chan struct{} // closed once nothing more will be sent
	closeOnce sync.Once
	done      chan struct{} // closed once the connection has ended
	ended     chan struct{} // closed once the handler knows
	bytesIn   atomic.Uint64
	bytesOut  atomic.Uint64
	frame     wire.Frame   // used by the write loop only
	incoming  bytes.Buffer // used by the read loop only
}

// Peer returns the identity that the other end proved.
func (s *Session) Peer() Identity { return s.peer }

// DialedAddress returns the address that this end dialed, or "" for an accepted session.
func (s *Session) DialedAddress() string { return s.dialed }

// totalReceived and totalSent count the bytes of all sessions of the process, ended ones included.
var totalReceived, totalSent atomic.Uint64

// TotalBytes returns the bytes of frames that all sessions of the process received and sent.
func TotalBytes() (received, sent uint64) { return totalReceived.Load(), totalSent.Load() }

// Bytes returns the bytes received and sent.
func (s *Session) Bytes() (received, sent uint64) { return s.bytesIn.Load(), s.bytesOut.Load() }

// Queued returns the number of messages that wait to be sent.
func (s *Session) Queued() int { return s.outgoing.Len() }

// Send queues a message. It reports false if the ring is full or the session is closing; a full
// ring also ends the session, because its peer has stopped reading.
func (s *Session) Send(message wire.Message) bool {
	if s.outgoing.TryPush(message) {
		return true
	}
	if !s.closing.Load() {
		s.abort()
	}
	return false
}

// Close sends what is queued, then a close frame with code 1001, and waits for the peer's close
// frame. No deadline cuts off the flush as long as the peer reads.
func (s *Session) Close() {
	s.closing.Store(true)
	s.outgoing.Close()
	select {
	case <-s.done:
		return
	case <-s.flushed:
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
		s.abort()
	}
}

// abort ends the session at once.
func (s *Session) abort() {
	s.closeOnce.Do(func() { _ = closer(s.conn).Close() })
}

// closer returns the connection whose Close interrupts a pending read. The Close of a connection
// that the HTTP server handed over does nothing.
func closer(conn *websocket.Conn) net.Conn {
	if handed, ok := conn.NetConn().(interface{ UnsafeConn() net.Conn }); ok {
		return handed.UnsafeConn()
	}
	return conn.NetConn()
}

// run serves the session until it ends and returns the reason, which is nil after a close by
// either end.
func (s *Session) run(ctx context.Context, handler Handler) error {
	// The close frame is answered by the write loop, after what is queued.
	s.conn.SetCloseHandler(func(int, string) error { return nil })
	handler.SessionOpened(s)
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, s.abort)
	defer stop()
	group.Go(func() error { return s.writeLoop(ctx) })
	group.Go(func() error { return s.readLoop(handler) })
	err := group.Wait()
	s.outgoing.Close()
	s.abort()
	close(s.done)
	handler.SessionClosed(s, err)
	close(s.ended)
	return err
}

func (s *Session) writeLoop(ctx context.Context) error {
	defer close(s.flushed)
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	var batch []wire.Message
	idle := true // nothing was sent since the last tick
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ping.C:
			if idle {
				if err := s.writeBatch([]wire.Message{&wire.Ping{}}); err != nil {
					return err
				}
			}
			idle = true
			continue
		case <-s.outgoing.Ready():
		}
		var open bool
		batch, open = s.outgoing.Drain(batch)
		if !open {
			return s.writeClose()
		}
		idle = false
		if err := s.writeBatch(batch); err != nil {
			return err
		}
	}
}

func (s *Session) writeBatch(batch []wire.Message) error {
	s.frame.Reset()
	for _, message := range batch {
		err := s.frame.Add(message)
		if failure.KindOf(err) == failure.TooLarge && s.frame.Count() > 0 {
			if err = s.writeFrame(); err == nil {
				err = s.frame.Add(message)
			}
		}
		if err == nil && (s.frame.Count() >= maxBatchMessages || s.frame.Len() >= maxBatchBytes) {
			err = s.writeFrame()
		}
		if err != nil {
			return err
		}
	}
	return s.writeFrame()
}

// writeFrame sends the messages of the frame, if any, and empties it.
func (s *Session) writeFrame() error {
	if s.frame.Count() == 0 {
		return nil
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := s.conn.WriteMessage(websocket.BinaryMessage, s.frame.Bytes()); err != nil {
		return errors.Wrap(err, "the peer does not read or the connection is lost")
	}
	s.bytesOut.Add(uint64(s.frame.Len()))
	totalSent.Add(uint64(s.frame.Len()))
	if s.frame.Len() > 2*maxBatchBytes {
		s.frame = wire.Frame{} // releases the buffer of an unusually large message
	}
	s.frame.Reset()
	return nil
}

func (s *Session) writeClose() error {
	message := websocket.FormatCloseMessage(websocket.CloseGoingAway, "shutting down")
	err := s.conn.WriteControl(websocket.CloseMessage, message, time.Now().Add(closeTimeout))
	if errors.Is(err, websocket.ErrCloseSent) {
		return nil
	}
	return err
}

// readLoop reads until the peer's close frame or an error. After the close frame, what this end
// has queued is still sent.
func (s *Session) readLoop(handler Handler) error {
	for {
		messages, err := s.readFrame()
		if websocket.IsCloseError(err, websocket.CloseGoingAway, websocket.CloseNormalClosure) {
			s.closing.Store(true)
			s.outgoing.Close()
			return nil
		}
		if err != nil {
			s.refuseFrame(err)
			return err
		}
		if messages = withoutPings(messages); len(messages) > 0 {
			handler.MessagesReceived(s, messages)
		}
	}
}

func (s *Session) readFrame() ([]wire.Message, error) {
	if s.incoming.Cap() > keptBufferBytes {
		s.incoming = bytes.Buffer{}
	}
	messages, err := readFrame(s.conn, ReadTimeout, &s.incoming)
	s.bytesIn.Add(uint64(s.incoming.Len()))
	totalReceived.Add(uint64(s.incoming.Len()))
	return messages, err
}

// refuseFrame tells the peer why the session ends if it sent something that is no frame.
func (s *Session) refuseFrame(err error) {
	code := websocket.CloseProtocolError
	switch kind := failure.KindOf(err); {
	case kind == failure.TooLarge || errors.Is(err, websocket.ErrReadLimit):
		code = websocket.CloseMessageTooBig
	case kind == failure.InvalidArgument:
	default:
		return
	}
	_ = s.conn.WriteControl(websocket.CloseMessage, websocket.FormatCloseMessage(code, ""), time.Now().Add(closeTimeout))
	// Closing a connection with unread bytes resets it, and the peer would lose the close frame.
	rest := s.conn.NetConn()
	if rest.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(rest, 2*wire.MaxFrameBytes))
	}
}

// withoutPings removes heartbeats, whose arrival alone is what counts.
func withoutPings(messages []wire.Message) []wire.Message {
	kept := messages[:0]
	for _, message := range messages {
		switch message.(type) {
		case *wire.Ping, *wire.Pong:
		default:
			kept = append(kept, message)
		}
	}
	return kept
}

// readFrame reads one frame through buffer, to which the messages do not refer.
func readFrame(conn *websocket.Conn, timeout time.Duration, buffer *bytes.Buffer) ([]wire.Message, error) {
	buffer.Reset()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	kind, reader, err := conn.NextReader()
	if err != nil {
		return nil, err
	}
	if kind != websocket.BinaryMessage {
		return nil, failure.New(failure.InvalidArgument, "run the same release on both ends", "received a text message on a binary session")
	}
	if _, err := buffer.ReadFrom(reader); err != nil {
		return nil, err
	}
	return wire.DecodeFrame(buffer.Bytes())
}
