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

// memberSession is one session with a control member, from the dial to its end.
type memberSession struct {
	client       *Client
	ctx          context.Context // done when the client has abandoned the session
	session      *session.Session
	openedAt     time.Duration // boot-time clock
	opened       chan struct{}
	ended        chan struct{}
	switchMember chan struct{} // receives a value when another member should be used
	stepsPending bool          // missing steps were requested and have not arrived
}

// SessionOpened implements session.Handler.
func (ms *memberSession) SessionOpened(s *session.Session) {
	ms.session, ms.openedAt = s, clock.SinceBoot()
	s.Send(&wire.ConfigRequest{Revision: ms.client.revision()})
	ms.pollLease()
	if ms.client.draining.Load() {
		s.Send(&wire.Closing{})
	}
	ms.client.sessionOpened(ms)
	close(ms.opened)
}

// SessionClosed implements session.Handler.
func (ms *memberSession) SessionClosed(*session.Session, error) { ms.client.sessionClosed(ms) }

// pollLease requests an extension of the configuration lease and confirms the applied revision.
func (ms *memberSession) pollLease() {
	ms.session.Send(&wire.LeasePoll{Sent: clock.SinceBoot(), Revision: ms.client.revision()})
}

// requestSwitch makes the client use another member.
func (ms *memberSession) requestSwitch() {
	select {
	case ms.switchMember <- struct{}{}:
	default:
	}
}

// MessagesReceived implements session.Handler.
func (ms *memberSession) MessagesReceived(_ *session.Session, messages []wire.Message) {
	for _, message := range messages {
		switch m := message.(type) {
		case *wire.ConfigSnapshot:
			ms.client.handleSnapshot(ms, m)
		case *wire.ConfigDelta:
			ms.client.handleDelta(ms, m)
		case *wire.LeaseGrant:
			ms.client.handleGrant(ms, m)
		case *wire.ProposeResult:
			ms.client.deliverReply(m.ID, m)
		case *wire.AdminResult:
			ms.client.deliverReply(m.ID, m)
		case *wire.MemberList:
			ms.client.setGroupMembers(m.Addresses)
		case *wire.Closing:
			ms.requestSwitch()
		}
	}
}

// checkGroup reports whether a message comes from the group of control members that this process
// follows. Revisions of another group are not comparable, so the process switches to another member
// in that case. feedMu must be held.
func (c *Client) checkGroup(ms *memberSession, group uint64) bool {
	if c.group == 0 {
		c.group = group
	}
	if c.group == group {
		return true
	}
	c.log(logging.FeedGroupMismatch, zap.String("peer", ms.session.Peer().ID), zap.Uint64("group", group), zap.Uint64("own_group", c.group))
	ms.requestSwitch()
	return false
}

func (c *Client) handleSnapshot(ms *memberSession, m *wire.ConfigSnapshot) {
	c.feedMu.Lock()
	defer c.feedMu.Unlock()
	if !c.checkGroup(ms, m.Group) {
		return
	}
	if err := m.State.Validate(); err != nil {
		c.log(logging.FeedRejected, zap.String("peer", ms.session.Peer().ID), zap.Error(err))
		ms.requestSwitch()
		return
	}
	ms.stepsPending = false
	c.applyState(ms, &m.State)
}

func (c *Client) handleDelta(ms *memberSession, m *wire.ConfigDelta) {
	c.feedMu.Lock()
	defer c.feedMu.Unlock()
	state := c.state.Load()
	if !c.checkGroup(ms, m.Group) || state != nil && m.To <= state.Revision {
		return
	}
	if state == nil || m.From > state.Revision {
		if !ms.stepsPending {
			ms.stepsPending = ms.session.Send(&wire.ConfigRequest{Revision: c.revision()})
		}
		return
	}
	for _, step := range m.Steps {
		if step.Revision <= state.Revision {
			continue
		}
		next, err := state.ApplyStep(step)
		if err != nil || step.Revision > m.To {
			c.log(logging.FeedRejected, zap.String("peer", ms.session.Peer().ID), zap.Error(err))
			ms.requestSwitch()
			return
		}
		state = next
	}
	ms.stepsPending = false
	if state.Revision < m.To {
		state = state.AtRevision(m.To)
	}
	c.applyState(ms, state)
}

// applyState makes a newer configuration the current one, confirms its revision to the member and
// extends the configuration lease if a grant has waited for that revision. feedMu must be held.
func (c *Client) applyState(ms *memberSession, state *catalog.State) {
	if state.Revision <= c.revision() {
		return
	}
	c.state.Store(state)
	c.Subscriber.ConfigurationChanged(state)
	ms.pollLease() // confirms the revision
	if c.holder.HandleApplied(state.Revision) {
		c.notifyLease()
	}
}

func (c *Client) handleGrant(ms *memberSession, m *wire.LeaseGrant) {
	c.feedMu.Lock()
	defer c.feedMu.Unlock()
	if !c.checkGroup(ms, m.Group) {
		return
	}
	if c.holder.HandleGrant(clock.SinceBoot(), lease.Grant{Sent: m.Sent, Revision: m.Revision, Age: m.Age}) {
		c.notifyLease()
	}
}

// notifyLease reports the deadline of the extended lease to the subscriber. feedMu must be held.
func (c *Client) notifyLease() {
	deadline, _ := c.holder.Deadline()
	c.basis.Store(int64(deadline - lease.UsableDuration))
	c.Subscriber.LeaseExtended(deadline)
}

func (c *Client) log(event logging.Event, fields ...zap.Field) {
	if c.Logger != nil {
		logging.Log(c.Logger, event, fields...)
	}
}
