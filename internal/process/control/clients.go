package control

import (
	"slices"
	"sync/atomic"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/version/catalog"
)

// client is a process that has opened a session with this member: an entry, an agent or another control
// member. Its fields are accessed only on the event loop's goroutine.
type client struct {
	session    *session.Session
	subscribed bool   // the process has requested the configuration
	sent       uint64 // newest revision sent, or the one that the process stated in a later ConfigRequest
	confirmed  uint64 // newest revision that the process has applied
	polled     bool   // the process has polled for a configuration lease
	draining   bool
	members    []string // addresses of the members that were sent last
	// duplicateLogged means that the process was logged as a second one with the same entry id.
	duplicateLogged bool
}

// sessionCounts holds the number of accepted sessions for each role.
type sessionCounts struct{ entries, agents, members atomic.Int64 }

func (c *sessionCounts) of(role wire.Role) *atomic.Int64 {
	switch role {
	case wire.RoleEntry:
		return &c.entries
	case wire.RoleAgent:
		return &c.agents
	default:
		return &c.members
	}
}

func (c *sessionCounts) entriesAndAgents() int64 { return c.entries.Load() + c.agents.Load() }

type sessionOpened struct{ session *session.Session }

type sessionClosed struct{ session *session.Session }

type sessionMessages struct {
	session  *session.Session
	messages []wire.Message
}

// pushDue is the event that there is a new revision to push.
type pushDue struct{}

// leaderChanged is the event that this member's role, term or leader, or the membership, has changed.
type leaderChanged struct{}

// callEnded carries the reply of a proposal or admin call to its session. It passes through the event
// loop, so that a revision is pushed to the session before the reply that names it.
type callEnded struct {
	session *session.Session
	reply   wire.Message
}

// SessionOpened implements session.Handler.
func (s *Server) SessionOpened(sess *session.Session) {
	s.sessions.Store(sess, nil)
	s.counts.of(sess.Peer().Role).Add(1)
	s.loop.Post(sessionOpened{sess})
	if sess.Peer().Role == wire.RoleControl {
		s.links.memberStarted(sess.Peer())
	}
	if s.draining.Load() {
		sess.Send(&wire.Closing{})
	}
}

// SessionClosed implements session.Handler.
func (s *Server) SessionClosed(sess *session.Session, _ error) {
	s.sessions.Delete(sess)
	s.counts.of(sess.Peer().Role).Add(-1)
	s.loop.Post(sessionClosed{sess})
}

// MessagesReceived implements session.Handler. Messages of the replicated log bypass the event loop, so
// that an election does not wait for the processing of other messages.
func (s *Server) MessagesReceived(sess *session.Session, messages []wire.Message) {
	if sess.Peer().Role == wire.RoleControl {
		kept := messages[:0]
		for _, message := range messages {
			if m, ok := message.(*wire.Replication); ok {
				s.replica.Receive(m.Message)
				continue
			}
			kept = append(kept, message)
		}
		messages = kept
	}
	if len(messages) > 0 {
		s.loop.Post(sessionMessages{sess, messages})
	}
}

// configurationChanged is called on the replica's goroutine after a new revision has been applied.
func (s *Server) configurationChanged() {
	if s.pushQueued.CompareAndSwap(false, true) && !s.loop.TryPost(pushDue{}) {
		s.pushQueued.Store(false) // the next tick pushes the revision
	}
}

func (s *Server) handle(event any) {
	switch e := event.(type) {
	case sessionOpened:
		s.clients[e.session] = &client{session: e.session}
	case sessionClosed:
		delete(s.clients, e.session)
	case sessionMessages:
		if c := s.clients[e.session]; c != nil {
			for _, message := range e.messages {
				s.handleMessage(c, message)
			}
		}
	case pushDue:
		s.pushQueued.Store(false)
		s.pushAll()
	case leaderChanged:
		for _, c := range s.clients {
			s.sendMembers(c)
		}
		s.pushAll()
		s.directory.proposeChanges()
	case callEnded:
		e.session.Send(e.reply)
	case proposalEnded:
		s.directory.handleProposalEnded(e)
	case sessionTableRequest:
		e.reply <- s.sessionTable()
	}
}

func (s *Server) handleMessage(c *client, message wire.Message) {
	switch m := message.(type) {
	case *wire.LeasePoll:
		s.grantLease(c, m)
	case *wire.ConfigRequest:
		c.subscribed, c.sent = true, m.Revision
		s.push(c)
		s.sendMembers(c)
	case *wire.Propose:
		s.serveProposal(c.session, m)
	case *wire.AdminCall:
		s.serveAdmin(c.session, m)
	case *wire.MemberChange:
		s.serveMemberChange(c.session, m)
	case *wire.Presence:
		s.directory.handlePresence(c.session.Peer().ID, m)
	case *wire.Closing:
		c.draining = true
		s.directory.proposeChanges()
	}
}

// grantLease replies to a lease poll. The lease basis is read before the state, so that the state
// includes every change that was committed before the basis.
func (s *Server) grantLease(c *client, poll *wire.LeasePoll) {
	c.confirmed = poll.Revision
	if !c.polled {
		c.polled = true
		s.directory.proposeChanges()
	}
	basis, ok := s.replica.Basis()
	if !ok {
		return
	}
	state := s.store.State()
	s.push(c)
	c.session.Send(&wire.LeaseGrant{Sent: poll.Sent, Revision: state.Revision, Age: basis.Age, Group: s.replica.Status().Group})
}

// sendMembers sends a client the addresses of the members if they have changed. Without automatic
// membership, each process takes them from its settings.
func (s *Server) sendMembers(c *client) {
	if !c.subscribed || !s.config.AutomaticMembership {
		return
	}
	list := &wire.MemberList{}
	for _, m := range s.replica.Status().Members {
		list.Addresses = append(list.Addresses, m.Address)
	}
	if len(list.Addresses) > 0 && !slices.Equal(list.Addresses, c.members) {
		c.members = list.Addresses
		c.session.Send(list)
	}
}

func (s *Server) pushAll() {
	for _, c := range s.clients {
		s.push(c)
	}
}

// push sends a subscribed client the steps to the newest revision, or a snapshot if it has no
// configuration yet or the steps are no longer kept.
func (s *Server) push(c *client) {
	if !c.subscribed || c.sent >= s.store.State().Revision {
		return
	}
	group := s.replica.Status().Group
	if group == 0 {
		return
	}
	agent := c.session.Peer().Role == wire.RoleAgent
	state, steps, kept := s.store.stepsSince(c.sent)
	if c.sent == 0 || !kept {
		if agent {
			state = state.AgentView()
		}
		c.sent = state.Revision
		c.session.Send(&wire.ConfigSnapshot{Group: group, State: *state})
		return
	}
	if agent {
		steps = forAgents(steps)
	}
	steps = catalog.CompactSteps(steps)
	c.session.Send(&wire.ConfigDelta{Group: group, From: c.sent, To: state.Revision, Steps: steps})
	c.sent = state.Revision
}

// forAgents returns the steps that agents receive.
func forAgents(steps []catalog.Step) []catalog.Step {
	var kept []catalog.Step
	for _, step := range steps {
		if step.ForAgents() {
			kept = append(kept, step)
		}
	}
	return kept
}
