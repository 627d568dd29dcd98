package configfeed

import (
	"context"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/catalog"
)

// maxCalls bounds the calls that wait for a reply.
const maxCalls = 1024

// call is a request to a control member that waits for its reply.
type call struct {
	message wire.Message
	resend  bool // the message may be sent more than once
	sent    bool // the message was sent at least once
	reply   chan wire.Message
}

// Propose carries out a command and returns its outcome from the catalog. A command may be sent more
// than once, which is safe: an operator's command is recognised by its change id, and the commands that
// processes propose are idempotent. The error is Unavailable if the command was certainly not carried
// out, MayHaveRun if the outcome is unknown, or the reason why the command was rejected.
func (c *Client) Propose(ctx context.Context, command catalog.Command) (catalog.Outcome, error) {
	data, err := command.Encode()
	if err != nil {
		return catalog.Outcome{}, err
	}
	reply, err := c.call(ctx, true, func(id uint64) wire.Message { return &wire.Propose{ID: id, Command: data} })
	if err != nil {
		return catalog.Outcome{}, err
	}
	result, ok := reply.(*wire.ProposeResult)
	if !ok {
		return catalog.Outcome{}, unexpectedReply()
	}
	outcome := catalog.Outcome{Revision: result.Revision}
	if result.Refused { // the catalog rejected the command
		outcome.Failure = result.Failure.ToError()
		return outcome, outcome.Err()
	}
	if result.Failure != nil {
		return outcome, result.Failure.ToError()
	}
	return outcome, nil
}

// Status returns the status of the control role.
func (c *Client) Status(ctx context.Context) (*wire.ControlStatus, error) {
	result, err := c.admin(ctx, true, readRequest(wire.AdminStatus))
	if err != nil {
		return nil, err
	}
	if result.Status == nil {
		return nil, unexpectedReply()
	}
	return result.Status, nil
}

// MembersRevision returns the revision of the group of control members.
func (c *Client) MembersRevision(ctx context.Context) (uint64, error) {
	result, err := c.admin(ctx, true, readRequest(wire.AdminMembersRevision))
	if err != nil {
		return 0, err
	}
	if result.Status == nil {
		return 0, unexpectedReply()
	}
	return result.Status.Revision, nil
}

// ChangeMember adds, removes or replaces a control member.
func (c *Client) ChangeMember(ctx context.Context, change wire.MemberChange) error {
	_, err := c.admin(ctx, false, func(id uint64) wire.Message { change.ID = id; return &change })
	return err
}

func readRequest(kind wire.AdminKind) func(id uint64) wire.Message {
	return func(id uint64) wire.Message { return &wire.AdminCall{ID: id, Kind: kind} }
}

func (c *Client) admin(ctx context.Context, resend bool, request func(id uint64) wire.Message) (*wire.AdminResult, error) {
	reply, err := c.call(ctx, resend, request)
	if err != nil {
		return nil, err
	}
	result, ok := reply.(*wire.AdminResult)
	if !ok {
		return nil, unexpectedReply()
	}
	if result.Failure != nil {
		return nil, result.Failure.ToError()
	}
	return result, nil
}

func unexpectedReply() error {
	return failure.New(failure.Internal, "run the same release on all processes", "the control member sent an unexpected reply")
}

// call sends a message, on the next session if none is open, and waits for the reply.
func (c *Client) call(ctx context.Context, resend bool, message func(id uint64) wire.Message) (wire.Message, error) {
	pending := &call{resend: resend, reply: make(chan wire.Message, 1)}
	c.callMu.Lock()
	if len(c.calls) >= maxCalls {
		c.callMu.Unlock()
		return nil, failure.New(failure.Overloaded, "retry later", "%d calls to the control members are already in progress", maxCalls).WithRetryAfter(time.Second)
	}
	c.lastID++
	id := c.lastID
	pending.message = message(id)
	if c.calls == nil {
		c.calls = map[uint64]*call{}
	}
	c.calls[id] = pending
	if c.current != nil {
		pending.sent = c.current.session.Send(pending.message)
	}
	c.callMu.Unlock()
	select {
	case reply := <-pending.reply:
		if reply == nil {
			return nil, unknownOutcome("the session with the control member ended")
		}
		return reply, nil
	case <-ctx.Done():
	}
	c.callMu.Lock()
	defer c.callMu.Unlock()
	delete(c.calls, id)
	if !pending.sent {
		return nil, failure.New(failure.Unavailable, "check that the control members run and can be reached", "no control member can be reached; nothing was changed").WithRetryAfter(time.Second)
	}
	return nil, unknownOutcome("no reply arrived in time")
}

func unknownOutcome(reason string) error {
	return failure.New(failure.MayHaveRun, "resend a change with the same change id; before you repeat anything else, check whether it has taken effect", "the outcome is not known: %s", reason).WithRetryAfter(time.Second)
}

// deliverReply passes a reply to the call that waits for it; a reply without a call is dropped.
func (c *Client) deliverReply(id uint64, reply wire.Message) {
	c.callMu.Lock()
	defer c.callMu.Unlock()
	if pending := c.calls[id]; pending != nil {
		delete(c.calls, id)
		pending.reply <- reply
	}
}

// sessionOpened makes the session the current one and sends the calls in progress.
func (c *Client) sessionOpened(ms *memberSession) {
	c.callMu.Lock()
	defer c.callMu.Unlock()
	if ms.ctx.Err() != nil {
		return // the dial timed out, and another session may be in use
	}
	c.current = ms
	for _, pending := range c.calls {
		if pending.resend || !pending.sent {
			pending.sent = ms.session.Send(pending.message) || pending.sent
		}
	}
}

// sessionClosed ends the calls that were sent and must not be resent.
func (c *Client) sessionClosed(ms *memberSession) {
	c.callMu.Lock()
	defer c.callMu.Unlock()
	if c.current != ms {
		return
	}
	c.current = nil
	for id, pending := range c.calls {
		if pending.sent && !pending.resend {
			delete(c.calls, id)
			pending.reply <- nil
		}
	}
}
