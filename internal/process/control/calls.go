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
	// maxCalls bounds the active proposals and admin calls of clients.
	maxCalls = 256
	// callTimeout bounds one proposal or admin call. It is long enough for two elections.
	callTimeout = 5 * time.Second
	// attemptTimeout bounds one attempt at a proposal. A proposal that is forwarded to a leader that fails,
	// or over a session that breaks, may get no reply.
	attemptTimeout = time.Second
	// retryDelay is the delay before a proposal without an outcome is made again.
	retryDelay = 100 * time.Millisecond
)

// callLimiter bounds the proposals and admin calls of clients; each active one holds a slot.
type callLimiter struct{ slots chan struct{} }

// drain acquires all slots. It returns when all active calls have ended.
func (c *callLimiter) drain() {
	for range cap(c.slots) {
		c.slots <- struct{}{}
	}
}

// Propose carries out a command and returns its outcome from the catalogue. While there is no leader it
// retries until ctx is done. A command may be in the log more than once but takes effect once: the
// catalogue recognises change ids, and the commands of processes are idempotent.
func (s *Server) Propose(ctx context.Context, command catalog.Command) (catalog.Outcome, error) {
	data, err := command.Encode()
	if err != nil {
		return catalog.Outcome{}, err
	}
	if outcome, known := s.recordedOutcome(command, data); known {
		return outcome, outcome.Err()
	}
	unknown := false // an earlier attempt may still take effect
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		_, err := s.replica.Propose(attempt, data)
		cancel()
		if err == nil {
			return s.appliedOutcome(command, data)
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
				err = failure.New(failure.MayHaveRun, "resend the same change with the same change id", "the outcome of the change is not known: %v", err).WithRetryAfter(time.Second)
			}
			return catalog.Outcome{}, err
		case <-time.After(retryDelay):
		}
	}
}

// recordedOutcome returns the outcome of an operator's command that has already been applied here.
func (s *Server) recordedOutcome(command catalog.Command, data []byte) (catalog.Outcome, bool) {
	if !command.FromOperator() {
		return catalog.Outcome{}, false
	}
	return s.store.recordedOutcome(data)
}

// appliedOutcome returns the outcome of a command that has just been applied here.
func (s *Server) appliedOutcome(command catalog.Command, data []byte) (catalog.Outcome, error) {
	if !command.FromOperator() {
		return catalog.Outcome{Revision: s.store.State().Revision}, nil
	}
	outcome, known := s.store.recordedOutcome(data)
	if !known {
		return catalog.Outcome{}, failure.New(failure.MayHaveRun, "read the configuration to see the outcome", "the recorded outcome was dropped because of many later changes")
	}
	return outcome, outcome.Err()
}

// serveCall runs a client's call on its own goroutine and sends the result to the session.
func (s *Server) serveCall(peer *session.Session, call func(context.Context) wire.Message, refuse func(error) wire.Message) {
	if s.draining.Load() {
		peer.Send(refuse(failure.New(failure.Unavailable, "use another control member", "the control member is shutting down; nothing was changed").WithRetryAfter(time.Second)))
		return
	}
	select {
	case s.calls.slots <- struct{}{}:
	default:
		peer.Send(refuse(failure.New(failure.Overloaded, "retry later", "the control member already has %d active calls; nothing was changed", maxCalls).WithRetryAfter(time.Second)))
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
	s.serveCall(peer, func(ctx context.Context) wire.Message {
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
	s.serveCall(peer, func(ctx context.Context) wire.Message {
		var status *wire.ControlStatus
		var err error
		switch m.Kind {
		case wire.AdminStatus:
			status, err = s.Status(ctx)
		case wire.AdminLocalStatus:
			status, err = s.localStatus(ctx)
		default:
			err = s.changeMember(ctx, *m)
		}
		if err != nil {
			return refuse(err)
		}
		return &wire.AdminResult{ID: m.ID, Status: status}
	}, refuse)
}
