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
	"pollenpaddle/internal/version/replication"
)

const (
	// minRedial and maxRedial bound the wait before a lost member is dialed again. Members that start
	// together find each other within a fraction of the first election timeout, 20 ms at least; the
	// longest wait is a fraction of the later ones, 400 ms.
	minRedial = 10 * time.Millisecond
	maxRedial = 100 * time.Millisecond
	// minConnect is the time for the first attempt to set up a connection; it doubles up to the
	// limit of the session. A machine without power drops the first packet, and a new attempt finds
	// it sooner when it is back. Round trips between zones take 3 ms.
	minConnect = 50 * time.Millisecond
	// unsentLimit and unsentTime bound the messages that wait for a session. A pre-vote of a member
	// that has just started is among the first ones; older messages are repeated by their sender.
	unsentLimit = 16
	unsentTime  = 100 * time.Millisecond
	// idleLinkTime is the time without a message after which a member is no longer dialed.
	idleLinkTime = time.Minute
)

// links are the outgoing sessions to the other members. Each member dials every other one and
// sends on that session only, so that neither end depends on the other's dial. They implement
// replica.Transport.
type links struct {
	ctx       context.Context
	connector session.Connector
	addresses map[string]string // addresses from the own settings, by name

	mu    sync.Mutex
	links map[string]*link // by name
}

// link is the outgoing session to one member.
type link struct {
	address string
	cancel  context.CancelFunc
	used    atomic.Int64 // boot-time clock of the last message
	opened  atomic.Bool  // a session was opened since the last dial

	mu      sync.Mutex // guards what follows
	session *session.Session
	unsent  unsent // while there is no session
	lastID  uint64
	calls   map[uint64]chan *wire.AdminResult
}

// unsent holds the newest messages to a member that has no session, in the order of their sending.
type unsent []unsentMessage

type unsentMessage struct {
	at      time.Duration // boot-time clock
	message wire.Message
}

func (u *unsent) add(now time.Duration, message wire.Message) {
	*u = append(*u, unsentMessage{at: now, message: message})
	if len(*u) > unsentLimit {
		*u = (*u)[1:]
	}
}

// take removes all messages and returns those that are not too old.
func (u *unsent) take(now time.Duration) []wire.Message {
	var messages []wire.Message
	for _, m := range *u {
		if now-m.at <= unsentTime {
			messages = append(messages, m.message)
		}
	}
	*u = nil
	return messages
}

func newLinks(ctx context.Context, config Config) *links {
	l := &links{
		ctx: ctx, connector: session.Connector{Local: config.Identity, Key: config.Key},
		addresses: map[string]string{}, links: map[string]*link{},
	}
	for _, peer := range config.Peers {
		l.addresses[peer.Name] = peer.Address
	}
	return l
}

// connect starts the links to members before there is something to send.
func (l *links) connect(members []replication.Member) {
	for _, member := range members {
		l.to(member)
	}
}

// Send implements replica.Transport. While there is no session only the newest messages are kept, for
// a short time.
func (l *links) Send(to replication.Member, message replication.Message) {
	l.send(to, &wire.Replication{Message: message})
}

func (l *links) send(to replication.Member, message wire.Message) {
	if target := l.to(to); target != nil {
		target.mu.Lock()
		defer target.mu.Unlock()
		if target.session != nil {
			target.session.Send(message)
			return
		}
		target.unsent.add(clock.SinceBoot(), message)
	}
}

// to returns the link to a member and starts it if there is none. The address in the own settings
// comes before the one that the group knows, so that a member that moved can be reached again.
func (l *links) to(member replication.Member) *link {
	address := member.Address
	if configured := l.addresses[member.Name]; configured != "" {
		address = configured
	}
	if member.Name == l.connector.Local.ID || address == "" {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.links[member.Name]
	if known != nil && known.address != address {
		known.cancel()
		known = nil
	}
	if known == nil {
		ctx, cancel := context.WithCancel(l.ctx)
		known = &link{address: address, cancel: cancel, calls: map[uint64]chan *wire.AdminResult{}}
		l.links[member.Name] = known
		go l.keepDialing(ctx, known)
	}
	known.used.Store(int64(clock.SinceBoot()))
	return known
}

func (l *links) keepDialing(ctx context.Context, k *link) {
	connector := l.connector
	connector.Handler = k
	connector.ConnectTimeout = minConnect
	wait := minRedial
	for ctx.Err() == nil {
		_ = connector.Dial(ctx, k.address, wire.RoleControl)
		if clock.SinceBoot()-time.Duration(k.used.Load()) > idleLinkTime {
			l.forget(k)
		}
		if k.opened.Swap(false) {
			connector.ConnectTimeout, wait = minConnect, minRedial
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, maxRedial)
		connector.ConnectTimeout = min(2*connector.ConnectTimeout, session.MaxConnectTimeout)
	}
}

func (l *links) forget(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, known := range l.links {
		if known == k {
			delete(l.links, name)
		}
	}
	k.cancel()
}

// SessionOpened implements session.Handler.
func (k *link) SessionOpened(s *session.Session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = s
	k.opened.Store(true)
	for _, message := range k.unsent.take(clock.SinceBoot()) {
		s.Send(message)
	}
}

// SessionClosed implements session.Handler.
func (k *link) SessionClosed(*session.Session, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = nil
	for id, reply := range k.calls {
		delete(k.calls, id)
		close(reply)
	}
}

// MessagesReceived implements session.Handler.
func (k *link) MessagesReceived(_ *session.Session, messages []wire.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, message := range messages {
		if result, ok := message.(*wire.AdminResult); ok && k.calls[result.ID] != nil {
			k.calls[result.ID] <- result
			delete(k.calls, result.ID)
		}
	}
}

// call sends an admin call to a member and waits for its answer. Unavailable: the member did not
// get it. MayHaveRun: the outcome is unknown.
func (l *links) call(ctx context.Context, to replication.Member, request wire.AdminCall) (*wire.AdminResult, error) {
	unreachable := failure.New(failure.Unavailable, "check that the control members run and can reach each other", "control member %q cannot be reached", to.Name).WithRetryAfter(time.Second)
	k := l.to(to)
	if k == nil {
		return nil, unreachable
	}
	reply := make(chan *wire.AdminResult, 1)
	k.mu.Lock()
	if k.session == nil {
		k.mu.Unlock()
		return nil, unreachable
	}
	k.lastID++
	request.ID = k.lastID
	k.calls[request.ID] = reply
	k.session.Send(&request)
	k.mu.Unlock()
	select {
	case result := <-reply:
		if result != nil {
			return result, nil
		}
	case <-ctx.Done():
		k.mu.Lock()
		delete(k.calls, request.ID)
		k.mu.Unlock()
	}
	return nil, failure.New(failure.MayHaveRun, "look at GET /v1/members before sending it again", "control member %q gave no answer", to.Name)
}
