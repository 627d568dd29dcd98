package control

import (
	"slices"
	"sync/atomic"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/version/catalog"
)

// follower is a process that has a session with this member. Its fields belong to the thread of
// the loop.
type follower struct {
	session    *session.Session
	subscribed bool
	sent       uint64 // newest revision that was sent
	confirmed  uint64 // newest revision that the process has applied
	polled     bool   // the process has asked for a lease
	draining   bool
	members    []string // addresses that were sent
	refused    bool     // logged as a second process with the same entry id
}

// sessionCounts are the numbers of accepted sessions per role.
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

func (c *sessionCounts) followers() int64 { return c.entries.Load() + c.agents.Load() }

type sessionOpened struct{ session *session.Session }

type sessionClosed struct{ session *session.Session }

type sessionMessages struct {
	session  *session.Session
	messages []wire.Message
}

// pushDue says that there is a new revision.
type pushDue struct{}

// leaderChanged says that the member's role or leader is another one.
type leaderChanged struct{}

// callEnded carries the answer to a proposal or admin call back to its session. It passes through
// the loop, so that the revision which it names has been pushed before.
type callEnded struct {
	session *session.Session
	result  wire.Message
}

// SessionOpened implements session.Handler.
func (s *Server) SessionOpened(peer *session.Session) {
	s.sessions.Store(peer, nil)
	s.counts.of(peer.Peer().Role).Add(1)
	s.loop.Post(sessionOpened{peer})
	if s.draining.Load() {
		peer.Send(&wire.Closing{})
	}
}

// SessionClosed implements session.Handler.
func (s *Server) SessionClosed(peer *session.Session, _ error) {
	s.sessions.Delete(peer)
	s.counts.of(peer.Peer().Role).Add(-1)
	s.loop.Post(sessionClosed{peer})
}

// MessagesReceived implements session.Handler. Messages of the log skip the loop, because an
// election must not wait for the followers' work.
func (s *Server) MessagesReceived(peer *session.Session, messages []wire.Message) {
	if peer.Peer().Role == wire.RoleControl {
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
		s.loop.Post(sessionMessages{peer, messages})
	}
}

// changed runs on the replica's thread after a new revision.
func (s *Server) changed() {
	if s.pushing.CompareAndSwap(false, true) && !s.loop.TryPost(pushDue{}) {
		s.pushing.Store(false) // the next tick pushes
	}
}

func (s *Server) handle(event any) {
	switch e := event.(type) {
	case sessionOpened:
		s.followers[e.session] = &follower{session: e.session}
	case sessionClosed:
		delete(s.followers, e.session)
	case sessionMessages:
		if f := s.followers[e.session]; f != nil {
			for _, message := range e.messages {
				s.receive(f, message)
			}
		}
	case pushDue:
		s.pushing.Store(false)
		s.pushAll()
	case leaderChanged:
		for _, f := range s.followers {
			s.sendMembers(f)
		}
		s.pushAll()
		s.directory.check()
	case callEnded:
		e.session.Send(e.result)
	case proposalEnded:
		s.directory.ended(e)
	case tableRequest:
		e.reply <- s.table()
	}
}

func (s *Server) receive(f *follower, message wire.Message) {
	switch m := message.(type) {
	case *wire.LeasePoll:
		s.grant(f, m)
	case *wire.ConfigRequest:
		f.subscribed, f.sent = true, m.Revision
		s.push(f)
		s.sendMembers(f)
	case *wire.Propose:
		s.serveProposal(f.session, m)
	case *wire.AdminCall:
		s.serveAdmin(f.session, m)
	case *wire.Presence:
		s.directory.present(f.session.Peer().ID, m)
	case *wire.Closing:
		f.draining = true
		s.directory.check()
	}
}

// grant answers a lease poll. The basis is read before the state: the state then includes every
// change that was accepted before the basis.
func (s *Server) grant(f *follower, poll *wire.LeasePoll) {
	f.confirmed = poll.Revision
	if !f.polled {
		f.polled = true
		s.directory.check()
	}
	basis, ok := s.replica.Basis()
	if !ok {
		return
	}
	state := s.store.State()
	s.push(f)
	f.session.Send(&wire.LeaseGrant{Sent: poll.Sent, Revision: state.Revision, Age: basis.Age, Group: s.replica.Status().Group})
}

// sendMembers tells a follower where the members of an automatic group are, unless it knows. In other
// groups the settings of each process say which members it follows.
func (s *Server) sendMembers(f *follower) {
	if !f.subscribed || !s.config.AutomaticMembership {
		return
	}
	list := &wire.MemberList{}
	for _, m := range s.replica.Status().Members {
		list.Addresses = append(list.Addresses, m.Address)
	}
	if len(list.Addresses) > 0 && !slices.Equal(list.Addresses, f.members) {
		f.members = list.Addresses
		f.session.Send(list)
	}
}

func (s *Server) pushAll() {
	for _, f := range s.followers {
		s.push(f)
	}
}

// push brings a follower to the newest revision.
func (s *Server) push(f *follower) {
	if !f.subscribed || f.sent >= s.store.State().Revision {
		return
	}
	group := s.replica.Status().Group
	if group == 0 {
		return
	}
	agent := f.session.Peer().Role == wire.RoleAgent
	state, steps, kept := s.store.since(f.sent)
	if f.sent == 0 || !kept {
		if agent {
			state = state.AgentView()
		}
		f.sent = state.Revision
		f.session.Send(&wire.ConfigSnapshot{Group: group, State: *state})
		return
	}
	if agent {
		steps = forAgents(steps)
	}
	f.session.Send(&wire.ConfigDelta{Group: group, From: f.sent, To: state.Revision, Steps: steps})
	f.sent = state.Revision
}

func forAgents(steps []catalog.Step) []catalog.Step {
	var kept []catalog.Step
	for _, step := range steps {
		if step.ForAgents() {
			kept = append(kept, step)
		}
	}
	return kept
}
