package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/version/replication"
)

const (
	// minRedialBackoff and maxRedialBackoff bound the backoff before a member is dialed again. Members
	// that start together connect within a fraction of the first election timeout, which is at least
	// 20 ms. The longest backoff is a fraction of replication.ElectionTimeoutMin (400 ms), the minimum
	// timeout of later elections.
	minRedialBackoff = 10 * time.Millisecond
	maxRedialBackoff = 100 * time.Millisecond
	// minConnectTimeout bounds the first attempt to connect. The bound doubles with each attempt up to
	// session.DefaultConnectTimeout (400 ms); after a session has ended, it starts again at twice
	// minConnectTimeout.
	// While a host is off, the first packet (SYN) of an attempt is lost and retransmitted only after a
	// second; a new attempt reaches the member sooner once the host is back. 50 ms is well above a round
	// trip between zones, which is assumed to take 3 ms.
	minConnectTimeout = 50 * time.Millisecond
	// unsentLimit and unsentTTL bound the messages that wait for a session. When the limit is reached, the
	// oldest message is dropped. A member that has just started sends few messages before its session
	// opens, so its pre-vote is kept. Dropped messages are repeated by their sender.
	unsentLimit = 16
	unsentTTL   = 100 * time.Millisecond
	// idleLinkTimeout is the time without a message after which a member is no longer dialed.
	idleLinkTimeout = time.Minute
)

// links holds the outgoing sessions to the other members. Each member dials every other one and sends
// its own messages on that session, so that neither end depends on the other's dial. Only replies to
// admin calls and Closing are sent on an accepted session. links implements replica.Transport.
type links struct {
	ctx       context.Context
	connector session.Connector
	addresses map[string]string // addresses from this process's settings, by name
	onOpen    func(name string) // called when the session to a member has opened; nil if not needed

	mu    sync.Mutex
	links map[string]*link // by name
}

// link is the outgoing session to one member.
type link struct {
	name    string
	address string
	cancel  context.CancelFunc
	onOpen  func(name string)
	used    atomic.Int64  // time of the last message (boot-time clock, nanoseconds)
	opened  atomic.Bool   // a session was opened since the last dial
	redial  chan struct{} // receives a value when the member should be dialed without a backoff

	mu      sync.Mutex         // guards the fields below
	endDial context.CancelFunc // ends the attempt to connect or the session
	session *session.Session
	unsent  unsentQueue // messages to send when a session opens
	lastID  uint64
	calls   map[uint64]chan *wire.AdminResult
}

// unsentQueue holds the newest messages to a member that has no session, oldest first.
type unsentQueue []unsentMessage

type unsentMessage struct {
	at      time.Duration // boot-time clock
	message wire.Message
}

func (q *unsentQueue) add(now time.Duration, message wire.Message) {
	*q = append(*q, unsentMessage{at: now, message: message})
	if len(*q) > unsentLimit {
		*q = (*q)[1:]
	}
}

// take removes all messages and returns those that are not older than unsentTTL.
func (q *unsentQueue) take(now time.Duration) []wire.Message {
	var messages []wire.Message
	for _, m := range *q {
		if now-m.at <= unsentTTL {
			messages = append(messages, m.message)
		}
	}
	*q = nil
	return messages
}

// logFaults returns the function that logs faults, or nil without a logger.
func logFaults(config Config) func(error) {
	if config.Logger == nil {
		return nil
	}
	return logging.LogFaults(config.Logger)
}

func newLinks(ctx context.Context, config Config) *links {
	l := &links{
		ctx: ctx, connector: session.Connector{Local: config.Identity, Key: config.Key, OnFault: logFaults(config)},
		addresses: map[string]string{}, links: map[string]*link{},
	}
	for _, peer := range config.Peers {
		l.addresses[peer.Name] = peer.Address
	}
	return l
}

// connect starts the links to members before the first message is sent.
func (l *links) connect(members []replication.Member) {
	for _, member := range members {
		l.linkTo(member)
	}
}

// Send implements replica.Transport. While there is no session, only the newest unsentLimit messages are
// kept, for unsentTTL.
func (l *links) Send(to replication.Member, message replication.Message) {
	l.send(to, &wire.Replication{Message: message})
}

func (l *links) send(to replication.Member, message wire.Message) {
	if target := l.linkTo(to); target != nil {
		target.mu.Lock()
		defer target.mu.Unlock()
		if target.session != nil {
			target.session.Send(message)
			return
		}
		target.unsent.add(clock.SinceBoot(), message)
	}
}

// linkTo returns the link to a member and starts it if there is none. An address in this process's
// settings takes precedence over the one in the group configuration, so that a member whose address has
// changed can be reached again.
func (l *links) linkTo(member replication.Member) *link {
	address := member.Address
	if configured := l.addresses[member.Name]; configured != "" {
		address = configured
	}
	if member.Name == l.connector.Local.ID || address == "" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.links[member.Name]
	if target != nil && target.address != address {
		target.cancel()
		target = nil
	}
	if target == nil {
		ctx, cancel := context.WithCancel(l.ctx)
		target = &link{
			name: member.Name, address: address, cancel: cancel, onOpen: l.onOpen,
			redial: make(chan struct{}, 1), calls: map[uint64]chan *wire.AdminResult{},
		}
		l.links[member.Name] = target
		go l.keepDialing(ctx, target)
	}
	target.used.Store(int64(clock.SinceBoot()))
	return target
}

// keepDialing opens the session of a link and reopens it when it ends, until ctx is done.
func (l *links) keepDialing(ctx context.Context, ln *link) {
	connector := l.connector
	connector.Handler = ln
	connector.ConnectTimeout = minConnectTimeout
	backoff := minRedialBackoff
	for ctx.Err() == nil {
		_ = connector.Dial(ln.beginDial(ctx), ln.address, wire.RoleControl)
		if clock.SinceBoot()-time.Duration(ln.used.Load()) > idleLinkTimeout {
			l.remove(ln)
		}
		if ln.opened.Swap(false) {
			connector.ConnectTimeout, backoff = minConnectTimeout, minRedialBackoff
		}
		select {
		case <-ctx.Done():
		case <-ln.redial:
			connector.ConnectTimeout, backoff = minConnectTimeout, minRedialBackoff
			continue
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxRedialBackoff)
		connector.ConnectTimeout = min(2*connector.ConnectTimeout, session.DefaultConnectTimeout)
	}
}

// beginDial returns the context of one attempt to connect and of its session.
func (ln *link) beginDial(ctx context.Context) context.Context {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.endDial != nil {
		ln.endDial()
	}
	ctx, ln.endDial = context.WithCancel(ctx)
	return ctx
}

// memberStarted dials a member at once that has opened a session with this process. Without it, an attempt to connect
// that began while the host of the member was off delays the first messages by up to session.DefaultConnectTimeout.
func (l *links) memberStarted(member session.Identity) {
	l.mu.Lock()
	ln := l.links[member.ID]
	l.mu.Unlock()
	if ln != nil {
		ln.memberStarted(member.Incarnation)
	}
}

// memberStarted ends the attempt to connect, or a session with an earlier process of the member.
func (ln *link) memberStarted(incarnation uint64) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.session != nil && ln.session.Peer().Incarnation == incarnation {
		return
	}
	select {
	case ln.redial <- struct{}{}:
	default:
	}
	if ln.endDial != nil {
		ln.endDial()
	}
}

func (l *links) remove(ln *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, existing := range l.links {
		if existing == ln {
			delete(l.links, name)
		}
	}
	ln.cancel()
}

// SessionOpened implements session.Handler.
func (ln *link) SessionOpened(s *session.Session) {
	ln.mu.Lock()
	ln.session = s
	ln.opened.Store(true)
	for _, message := range ln.unsent.take(clock.SinceBoot()) {
		s.Send(message)
	}
	ln.mu.Unlock()
	if ln.onOpen != nil {
		ln.onOpen(ln.name)
	}
}

// SessionClosed implements session.Handler.
func (ln *link) SessionClosed(*session.Session, error) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.session = nil
	for id, reply := range ln.calls {
		delete(ln.calls, id)
		close(reply)
	}
}

// MessagesReceived implements session.Handler.
func (ln *link) MessagesReceived(_ *session.Session, messages []wire.Message) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for _, message := range messages {
		if result, ok := message.(*wire.AdminResult); ok && ln.calls[result.ID] != nil {
			ln.calls[result.ID] <- result
			delete(ln.calls, result.ID)
		}
	}
}

// call sends an admin call to a member and waits for its reply. The error is Unavailable if the member
// did not receive the call, and MayHaveRun if the outcome is unknown.
func (l *links) call(ctx context.Context, to replication.Member, request func(id uint64) wire.Message) (*wire.AdminResult, error) {
	unreachable := failure.New(failure.Unavailable, "check that the control members run and can reach each other", "control member %q cannot be reached", to.Name).WithRetryAfter(time.Second)
	ln := l.linkTo(to)
	if ln == nil {
		return nil, unreachable
	}
	reply := make(chan *wire.AdminResult, 1)
	ln.mu.Lock()
	if ln.session == nil {
		ln.mu.Unlock()
		return nil, unreachable
	}
	ln.lastID++
	id := ln.lastID
	ln.calls[id] = reply
	ln.session.Send(request(id))
	ln.mu.Unlock()
	select {
	case result := <-reply:
		if result != nil {
			return result, nil
		}
	case <-ctx.Done():
		ln.mu.Lock()
		delete(ln.calls, id)
		ln.mu.Unlock()
	}
	return nil, failure.New(failure.MayHaveRun, "check GET /v1/members before you repeat the command", "control member %q did not reply", to.Name)
}
