package control

import (
	"context"
	"time"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/catalog"
)

const (
	// maxCalls bounds the proposals and admin calls of followers that are under way.
	maxCalls = 256
	// callTimeout bounds one of them. It spans two elections.
	callTimeout = 5 * time.Second
	// tryTimeout bounds one try of a proposal. A proposal that is forwarded to a leader that fails,
	// or over a session that breaks, may get no answer.
	tryTimeout = time.Second
	// retryInterval is the wait before a proposal without an outcome is made again.
	retryInterval = 100 * time.Millisecond
)

// calls bounds the proposals and admin calls of followers; each one under way fills a slot.
type calls struct{ slots chan struct{} }

// drain takes all slots, which ends when the calls under way have ended.
func (c *calls) drain() {
	for range cap(c.slots) {
		c.slots <- struct{}{}
	}
}

// Propose carries out a command and returns the catalogue's answer. While there is no leader it
// tries again until ctx ends. A change is in the log at most once with effect: the catalogue
// recognises change ids, and the commands of processes are safe to repeat.
func (s *Server) Propose(ctx context.Context, command catalog.Command) (catalog.Outcome, error) {
	data, err := command.Encode()
	if err != nil {
		return catalog.Outcome{}, err
	}
	if outcome, known := s.remembered(command, data); known {
		return outcome, outcome.Err()
	}
	unknown := false // an earlier try may still take effect
	for {
		try, cancel := context.WithTimeout(ctx, tryTimeout)
		_, err := s.replica.Propose(try, data)
		cancel()
		if err == nil {
			return s.applied(command, data)
		}
		switch failure.KindOf(err) {
		case failure.MayHaveRun:
			unknown = true
		case failure.Unavailable:
		default:
			return catalog.Outcome{}, err
		}
		select {
		case <-ctx.Done():
			if unknown && failure.KindOf(err) != failure.MayHaveRun {
				err = failure.New(failure.MayHaveRun, "send the same change with the same change id again", "the outcome of the change is not known: %v", err).WithRetryAfter(time.Second)
			}
			return catalog.Outcome{}, err
		case <-time.After(retryInterval):
		}
	}
}

func (s *Server) remembered(command catalog.Command, data []byte) (catalog.Outcome, bool) {
	if !command.FromOperator() {
		return catalog.Outcome{}, false
	}
	return s.store.answer(data)
}

// applied returns the answer to a command that has been applied here.
func (s *Server) applied(command catalog.Command, data []byte) (catalog.Outcome, error) {
	if !command.FromOperator() {
		return catalog.Outcome{Revision: s.store.State().Revision}, nil
	}
	outcome, known := s.store.answer(data)
	if !known {
		return catalog.Outcome{}, failure.New(failure.MayHaveRun, "read the configuration to see the outcome", "the answer was dropped because of many later changes")
	}
	return outcome, outcome.Err()
}

// serve runs a follower's call on a thread of its own and sends the result to the session.
func (s *Server) serve(peer *session.Session, call func(context.Context) wire.Message, refuse func(error) wire.Message) {
	if s.draining.Load() {
		peer.Send(refuse(failure.New(failure.Unavailable, "use another control member", "the control member is shutting down; nothing was changed").WithRetryAfter(time.Second)))
		return
	}
	select {
	case s.calls.slots <- struct{}{}:
	default:
		peer.Send(refuse(failure.New(failure.Overloaded, "retry later", "the control member already serves %d calls; nothing was changed", maxCalls).WithRetryAfter(time.Second)))
		return
	}
	go func() {
		defer func() { <-s.calls.slots }()
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		s.loop.Post(callEnded{peer, call(ctx)})
	}()
}

func (s *Server) serveProposal(peer *session.Session, m *wire.Propose) {
	refuse := func(err error) wire.Message { return &wire.ProposeResult{ID: m.ID, Failure: wire.NewFailure(err)} }
	s.serve(peer, func(ctx context.Context) wire.Message {
		command, err := catalog.DecodeCommand(m.Command)
		if err != nil {
			return refuse(err)
		}
		outcome, err := s.Propose(ctx, command)
		return &wire.ProposeResult{ID: m.ID, Revision: outcome.Revision, Refused: outcome.Failure != nil, Failure: wire.NewFailure(err)}
	}, refuse)
}

func (s *Server) serveAdmin(peer *session.Session, m *wire.AdminCall) {
	refuse := func(err error) wire.Message { return &wire.AdminResult{ID: m.ID, Failure: wire.NewFailure(err)} }
	s.serve(peer, func(ctx context.Context) wire.Message {
		var status *wire.ControlStatus
		var err error
		switch m.Kind {
		case wire.AdminStatus:
			status, err = s.Status(ctx)
		case wire.AdminLocalStatus:
			status, err = s.ownStatus(ctx)
		default:
			err = s.changeMember(ctx, *m)
		}
		if err != nil {
			return refuse(err)
		}
		return &wire.AdminResult{ID: m.ID, Status: status}
	}, refuse)
}
