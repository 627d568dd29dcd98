// Package session implements WebSocket sessions between the processes of pollenpaddle: mutual
// authentication with a shared key, CBOR frames that batch the queued messages, a bounded queue of
// outgoing messages, heartbeats, and a close with code 1001 on shutdown.
package session

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
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
	// ReadTimeout ends a session if nothing was received from the peer for this time.
	ReadTimeout = 3 * time.Second
	// writeTimeout ends a session whose peer has stopped reading: it bounds the write of progressBytes.
	writeTimeout = 5 * time.Second
	// progressBytes is the part of a frame after which its read and write timeouts start again. A timeout for a
	// whole frame ended the session of a slow peer or link, although the frame was in transit.
	progressBytes = 64 << 10
	// closeTimeout bounds the wait for the peer's close frame after this end has sent its own.
	closeTimeout = 2 * time.Second
	// discardTimeout bounds the time for which data of a peer that sent an invalid frame is read and
	// discarded.
	discardTimeout = 500 * time.Millisecond
	// DefaultQueueLimit is the default maximum number of queued outgoing messages of a session.
	DefaultQueueLimit = 8192
	// A frame is sent once it has maxBatchMessages or maxBatchBytes, so that the peer can process it
	// while the next one is in transit.
	maxBatchMessages = 512
	maxBatchBytes    = 256 << 10
	// maxIdleBufferBytes is the maximum size of the read buffer that a session retains between frames.
	maxIdleBufferBytes = 64 << 10
)

// Identity identifies the process at one end of a session.
type Identity struct {
	Role             wire.Role
	ID               string
	Incarnation      uint64
	AvailabilityZone string
	Address          string
}

// Handler receives the events of all sessions of a process. Calls for one session are sequential:
// SessionOpened is called first and SessionClosed last. While MessagesReceived blocks, the session
// does not read, which applies backpressure to the peer.
type Handler interface {
	SessionOpened(s *Session)
	MessagesReceived(s *Session, messages []wire.Message)
	SessionClosed(s *Session, err error)
}

// Session is an established connection to an authenticated peer.
type Session struct {
	peer           Identity
	dialedAddress  string
	conn           *websocket.Conn
	outgoing       *ring.Queue[wire.Message]
	closing        atomic.Bool
	writeLoopEnded chan struct{} // closed when the write loop has ended, possibly with messages unsent
	abortOnce      sync.Once
	disconnected   chan struct{} // closed when both loops have ended and the connection is closed
	handlerDone    chan struct{} // closed when SessionClosed has returned
	features       atomic.Uint64 // wire.Feature of the peer; zero until its Pong arrives
	bytesReceived  atomic.Uint64
	bytesSent      atomic.Uint64
	frame          wire.Frame   // used by the write loop only
	incoming       bytes.Buffer // used by the read loop only
}

// Peer returns the authenticated identity of the peer.
func (s *Session) Peer() Identity { return s.peer }

// Supports reports whether the peer is known to understand the optional messages.
func (s *Session) Supports(features wire.Feature) bool {
	return wire.Feature(s.features.Load())&features == features
}

// DialedAddress returns the address that this process dialed, or "" for an accepted session.
func (s *Session) DialedAddress() string { return s.dialedAddress }

// totalReceived and totalSent count the bytes of all sessions of the process, including ended ones.
var totalReceived, totalSent atomic.Uint64

// TotalBytes returns the bytes of frames that all sessions of the process have received and sent.
func TotalBytes() (received, sent uint64) { return totalReceived.Load(), totalSent.Load() }

// Bytes returns the bytes of frames that the session has received and sent.
func (s *Session) Bytes() (received, sent uint64) { return s.bytesReceived.Load(), s.bytesSent.Load() }

// Queued returns the number of messages that are queued to be sent.
func (s *Session) Queued() int { return s.outgoing.Len() }

// Send queues a message. It returns false if the queue is full or the session is closing. A full
// queue also ends the session, because the peer does not read.
func (s *Session) Send(message wire.Message) bool {
	if s.outgoing.TryPush(message) {
		return true
	}
	if !s.closing.Load() {
		s.abort()
	}
	return false
}

// Close sends the queued messages and a close frame with code 1001, and waits for the peer's close
// frame. The flush has no total time limit as long as the peer reads.
func (s *Session) Close() {
	s.closing.Store(true)
	s.outgoing.Close()
	select {
	case <-s.disconnected:
		return
	case <-s.writeLoopEnded:
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-s.disconnected:
	case <-timer.C:
		s.abort()
	}
}

// abort ends the session immediately.
func (s *Session) abort() {
	s.abortOnce.Do(func() { _ = interruptibleConn(s.conn).Close() })
}

// interruptibleConn returns the connection whose Close interrupts a pending read. Close has no
// effect on the wrapper of a connection that was hijacked from the HTTP server.
func interruptibleConn(conn *websocket.Conn) net.Conn {
	if hijacked, ok := conn.NetConn().(interface{ UnsafeConn() net.Conn }); ok {
		return hijacked.UnsafeConn()
	}
	return conn.NetConn()
}

// run serves the session until it ends and returns the reason, which is nil after either end closed
// the session.
func (s *Session) run(ctx context.Context, handler Handler) error {
	// The write loop replies to the peer's close frame after it has sent the queued messages.
	s.conn.SetCloseHandler(func(int, string) error { return nil })
	handler.SessionOpened(s)
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, s.abort)
	defer stop()
	group.Go(func() (err error) {
		defer failure.RecoverFault(&err)
		return s.writeLoop(ctx)
	})
	group.Go(func() (err error) {
		defer failure.RecoverFault(&err)
		return s.readLoop(handler)
	})
	err := group.Wait()
	s.outgoing.Close()
	s.abort()
	close(s.disconnected)
	handler.SessionClosed(s, err)
	close(s.handlerDone)
	return err
}

func (s *Session) writeLoop(ctx context.Context) error {
	defer close(s.writeLoopEnded)
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	var batch []wire.Message
	idle := true // nothing was sent since the last tick of ping
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
	if err := writeWithProgress(s.conn, s.frame.Bytes()); err != nil {
		return errors.Wrap(err, "the peer does not read or the connection is lost")
	}
	s.bytesSent.Add(uint64(s.frame.Len()))
	totalSent.Add(uint64(s.frame.Len()))
	if s.frame.Len() > 2*maxBatchBytes {
		s.frame = wire.Frame{} // releases the buffer after an unusually large message
	}
	s.frame.Reset()
	return nil
}

// writeWithProgress sends one WebSocket message. A message of more than progressBytes is sent in fragments.
func writeWithProgress(conn *websocket.Conn, message []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if len(message) <= progressBytes {
		return conn.WriteMessage(websocket.BinaryMessage, message)
	}
	writer, err := conn.NextWriter(websocket.BinaryMessage)
	if err != nil {
		return err
	}
	for part := range slices.Chunk(message, progressBytes) {
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := writer.Write(part); err != nil {
			return err
		}
	}
	return writer.Close()
}

func (s *Session) writeClose() error {
	message := websocket.FormatCloseMessage(websocket.CloseGoingAway, "shutting down")
	err := s.conn.WriteControl(websocket.CloseMessage, message, time.Now().Add(closeTimeout))
	if errors.Is(err, websocket.ErrCloseSent) {
		return nil
	}
	return err
}

// readLoop reads until the peer's close frame or an error. After the close frame, the queued
// messages are still sent.
func (s *Session) readLoop(handler Handler) error {
	for {
		messages, err := s.readFrame()
		if websocket.IsCloseError(err, websocket.CloseGoingAway, websocket.CloseNormalClosure) {
			s.closing.Store(true)
			s.outgoing.Close()
			return nil
		}
		if err != nil {
			s.sendCloseReason(err)
			return err
		}
		if messages = s.handleHeartbeats(messages); len(messages) > 0 {
			handler.MessagesReceived(s, messages)
		}
	}
}

func (s *Session) readFrame() ([]wire.Message, error) {
	if s.incoming.Cap() > maxIdleBufferBytes {
		s.incoming = bytes.Buffer{}
	}
	messages, err := readFrame(s.conn, ReadTimeout, &s.incoming)
	s.bytesReceived.Add(uint64(s.incoming.Len()))
	totalReceived.Add(uint64(s.incoming.Len()))
	return messages, err
}

// sendCloseReason sends a close frame with a code for the reason if err was caused by an invalid
// frame, and does nothing after any other read error.
func (s *Session) sendCloseReason(err error) {
	code := websocket.CloseProtocolError
	switch kind := failure.KindOf(err); {
	case kind == failure.TooLarge || errors.Is(err, websocket.ErrReadLimit):
		code = websocket.CloseMessageTooBig
	case kind == failure.InvalidArgument:
	default:
		return
	}
	_ = s.conn.WriteControl(websocket.CloseMessage, websocket.FormatCloseMessage(code, ""), time.Now().Add(closeTimeout))
	// Closing a connection with unread data resets it, and the close frame could be lost.
	unread := s.conn.NetConn()
	if unread.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(unread, 2*wire.MaxFrameBytes))
	}
}

// handleHeartbeats removes heartbeats, which only extend the read deadline, and the announcement of the
// peer's optional messages.
func (s *Session) handleHeartbeats(messages []wire.Message) []wire.Message {
	kept := messages[:0]
	for _, message := range messages {
		switch m := message.(type) {
		case *wire.Ping:
		case *wire.Pong:
			s.features.Store(uint64(m.Features))
		default:
			kept = append(kept, message)
		}
	}
	return kept
}

// readFrame reads one frame into buffer. The returned messages do not reference buffer.
func readFrame(conn *websocket.Conn, timeout time.Duration, buffer *bytes.Buffer) ([]wire.Message, error) {
	buffer.Reset()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	frameType, reader, err := conn.NextReader()
	if err != nil {
		return nil, err
	}
	if frameType != websocket.BinaryMessage {
		return nil, failure.New(failure.InvalidArgument, "run the same release on both ends", "received a text message on a binary session")
	}
	if _, err := buffer.ReadFrom(&progressReader{conn: conn, frame: reader, timeout: timeout}); err != nil {
		return nil, err
	}
	return wire.DecodeFrame(buffer.Bytes())
}

// progressReader reads a frame and restarts its timeout after every progressBytes.
type progressReader struct {
	conn    *websocket.Conn
	frame   io.Reader
	timeout time.Duration
	read    int // bytes read since the timeout was restarted
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.frame.Read(p)
	if r.read += n; r.read < progressBytes {
		return n, err
	}
	r.read = 0
	return n, errors.CombineErrors(err, r.conn.SetReadDeadline(time.Now().Add(r.timeout)))
}
