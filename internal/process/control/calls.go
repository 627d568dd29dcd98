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
	// maxCalls bounds the proposals and admin calls in progress that other processes have sent.
	maxCalls = 256
	// callTimeout bounds one proposal or admin call. It is long enough for two elections.
	callTimeout = 5 * time.Second
	// attemptTimeout bounds one attempt at a proposal. A proposal that is forwarded to a leader that fails,
	// or over a session that breaks, may get no reply.
	attemptTimeout = time.Second
	// retryBackoff is the backoff before a proposal is retried.
	retryBackoff = 100 * time.Millisecond
)

// callLimiter bounds the proposals and admin calls of other processes. It is a semaphore: each call in
// progress holds a permit.
type callLimiter struct{ permits chan struct{} }

// drain acquires all permits. It returns when all calls in progress have ended.
func (c *callLimiter) drain() {
	for range cap(c.permits) {
		c.permits <- struct{}{}
	}
}

// Propose carries out a command and returns its outcome from the catalog. While there is no leader it
// retries until ctx is done. A command may be in the log more than once but takes effect once: the
// catalog recognises change ids, and the commands of processes are idempotent.
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
				err = failure.New(failure.MayHaveRun, "resend the same change, with the same change id if it has one", "the outcome of the change is not known: %v", err).WithRetryAfter(time.Second)
			}
			return catalog.Outcome{}, err
		case <-time.After(retryBackoff):
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
		return catalog.Outcome{}, failure.New(failure.MayHaveRun, "read the configuration to see the outcome", "the outcome of the change is no longer recorded, because many changes followed")
	}
	return outcome, outcome.Err()
}

// serveCall runs a call of another process on its own goroutine and sends the reply to the session.
func (s *Server) serveCall(sess *session.Session, call func(context.Context) wire.Message, failureReply func(error) wire.Message) {
	if s.draining.Load() {
		sess.Send(failureReply(failure.New(failure.Unavailable, "use another control member", "the control member is shutting down; nothing was changed").WithRetryAfter(time.Second)))
		return
	}
	select {
	case s.calls.permits <- struct{}{}:
	default:
		sess.Send(failureReply(failure.New(failure.Overloaded, "retry later", "the control member already has %d calls in progress; nothing was changed", maxCalls).WithRetryAfter(time.Second)))
		return
	}
	go func() {
		defer func() { <-s.calls.permits }()
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		s.loop.Post(callEnded{sess, call(ctx)})
	}()
}

func (s *Server) serveProposal(sess *session.Session, m *wire.Propose) {
	failureReply := func(err error) wire.Message { return &wire.ProposeResult{ID: m.ID, Failure: wire.NewFailure(err)} }
	s.serveCall(sess, func(ctx context.Context) wire.Message {
		command, err := catalog.DecodeCommand(m.Command)
		if err != nil {
			return failureReply(err)
		}
		outcome, err := s.Propose(ctx, command)
		return &wire.ProposeResult{ID: m.ID, Revision: outcome.Revision, Refused: outcome.Failure != nil, Failure: wire.NewFailure(err)}
	}, failureReply)
}

func (s *Server) serveAdmin(sess *session.Session, m *wire.AdminCall) {
	failureReply := func(err error) wire.Message { return &wire.AdminResult{ID: m.ID, Failure: wire.NewFailure(err)} }
	s.serveCall(sess, func(ctx context.Context) wire.Message {
		var status *wire.ControlStatus
		var err error
		switch m.Kind {
		case wire.AdminStatus:
			status, err = s.Status(ctx)
		case wire.AdminLocalStatus:
			status, err = s.localStatus(ctx)
		case wire.AdminMembersRevision:
			status = &wire.ControlStatus{}
			status.Revision, err = s.MembersRevision(ctx)
		default:
			err = unknownAdminCall(m.Kind)
		}
		if err != nil {
			return failureReply(err)
		}
		return &wire.AdminResult{ID: m.ID, Status: status}
	}, failureReply)
}

func unknownAdminCall(kind wire.AdminKind) error {
	return failure.New(failure.InvalidArgument, "run the same release on all processes", "unknown admin call %d; nothing was changed", kind)
}

func (s *Server) serveMemberChange(sess *session.Session, m *wire.MemberChange) {
	reply := func(err error) wire.Message { return &wire.AdminResult{ID: m.ID, Failure: wire.NewFailure(err)} }
	s.serveCall(sess, func(ctx context.Context) wire.Message { return reply(s.ChangeMember(ctx, *m)) }, reply)
}
