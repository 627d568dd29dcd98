package configfeed

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/lease"
)

// attempt is one session with a control member, from the dial to its end.
type attempt struct {
	client    *Client
	ctx       context.Context // done once the attempt is given up
	session   *session.Session
	openedAt  time.Duration
	opened    chan struct{}
	ended     chan struct{}
	moved     chan struct{} // receives a value when the member asks to be left
	requested bool          // the steps after a gap were asked for and have not arrived
}

// SessionOpened implements session.Handler.
func (a *attempt) SessionOpened(s *session.Session) {
	a.session, a.openedAt = s, clock.SinceBoot()
	s.Send(&wire.ConfigRequest{Revision: a.client.revision()})
	a.poll()
	if a.client.draining.Load() {
		s.Send(&wire.Closing{})
	}
	a.client.sessionOpened(a)
	close(a.opened)
}

// SessionClosed implements session.Handler.
func (a *attempt) SessionClosed(*session.Session, error) { a.client.sessionClosed(a) }

func (a *attempt) poll() {
	a.session.Send(&wire.LeasePoll{Sent: clock.SinceBoot(), Revision: a.client.revision()})
}

func (a *attempt) move() {
	select {
	case a.moved <- struct{}{}:
	default:
	}
}

// MessagesReceived implements session.Handler.
func (a *attempt) MessagesReceived(_ *session.Session, messages []wire.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case *wire.ConfigSnapshot:
			a.client.takeSnapshot(a, m)
		case *wire.ConfigDelta:
			a.client.takeDelta(a, m)
		case *wire.LeaseGrant:
			a.client.takeGrant(a, m)
		case *wire.ProposeResult:
			a.client.finish(m.ID, m)
		case *wire.AdminResult:
			a.client.finish(m.ID, m)
		case *wire.MemberList:
			a.client.learnMembers(m.Addresses)
		case *wire.Closing:
			a.move()
		}
	}
}

// sameGroup refuses what comes from another group of control members, whose revisions do not
// compare with those of the own one. The caller holds feedMu.
func (c *Client) sameGroup(a *attempt, group uint64) bool {
	if c.group == 0 {
		c.group = group
	}
	if c.group == group {
		return true
	}
	c.log(logging.FeedGroupMismatch, zap.String("peer", a.session.Peer().ID), zap.Uint64("group", group), zap.Uint64("own_group", c.group))
	a.move()
	return false
}

func (c *Client) takeSnapshot(a *attempt, m *wire.ConfigSnapshot) {
	c.feedMu.Lock()
	defer c.feedMu.Unlock()
	if !c.sameGroup(a, m.Group) {
		return
	}
	if err := m.State.Validate(); err != nil {
		c.log(logging.FeedRefused, zap.String("peer", a.session.Peer().ID), zap.Error(err))
		a.move()
		return
	}
	a.requested = false
	c.adopt(a, &m.State)
}

func (c *Client) takeDelta(a *attempt, m *wire.ConfigDelta) {
	c.feedMu.Lock()
	defer c.feedMu.Unlock()
	state := c.state.Load()
	if !c.sameGroup(a, m.Group) || state != nil && m.To <= state.Revision {
		return
	}
	if state == nil || m.From > state.Revision {
		if !a.requested {
			a.requested = a.session.Send(&wire.ConfigRequest{Revision: c.revision()})
		}
		return
	}
	for _, step := range m.Steps {
		if step.Revision <= state.Revision {
			continue
		}
		next, err := state.ApplyStep(step)
		if err != nil || step.Revision > m.To {
			c.log(logging.FeedRefused, zap.String("peer", a.session.Peer().ID), zap.Error(err))
			a.move()
			return
		}
		state = next
	}
	a.requested = false
	if state.Revision < m.To {
		state = state.AtRevision(m.To)
	}
	c.adopt(a, state)
}

// adopt makes a newer configuration the current one, confirms it to the member and renews the
// lease on it. The caller holds feedMu.
func (c *Client) adopt(a *attempt, state *catalog.State) {
	if state.Revision <= c.revision() {
		return
	}
	c.state.Store(state)
	c.Subscriber.ConfigurationChanged(state)
	a.poll()
	if c.holder.HandleApplied(state.Revision) {
		c.extended()
	}
}

func (c *Client) takeGrant(a *attempt, m *wire.LeaseGrant) {
	c.feedMu.Lock()
	defer c.feedMu.Unlock()
	if !c.sameGroup(a, m.Group) {
		return
	}
	if c.holder.HandleGrant(clock.SinceBoot(), lease.Grant{Sent: m.Sent, Revision: m.Revision, Age: m.Age}) {
		c.extended()
	}
}

// extended passes a newer deadline on. The caller holds feedMu.
func (c *Client) extended() {
	deadline, _ := c.holder.Deadline()
	c.basis.Store(int64(deadline - lease.UsableDuration))
	c.Subscriber.LeaseExtended(deadline)
}

func (c *Client) log(event logging.Event, fields ...zap.Field) {
	if c.Logger != nil {
		logging.Log(c.Logger, event, fields...)
	}
}
