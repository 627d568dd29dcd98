package configfeed

import (
	"context"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/catalog"
)

// maxCalls bounds the calls that wait for an answer.
const maxCalls = 1024

// call is a request to a control member that waits for its answer.
type call struct {
	message wire.Message
	resend  bool // the message may be sent again on another session
	sent    bool // the message was sent at least once
	reply   chan wire.Message
}

// Propose carries out a command and returns the answer of the catalogue. A command may be sent
// more than once: change ids, and for commands of processes their content, make that safe. Its
// error is Unavailable if the command was certainly not carried out, MayHaveRun if the outcome is
// unknown, or the refusal of the command.
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
	if result.Refused {
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
	result, err := c.admin(ctx, true, wire.AdminCall{Kind: wire.AdminStatus})
	if err != nil {
		return nil, err
	}
	if result.Status == nil {
		return nil, unexpectedReply()
	}
	return result.Status, nil
}

// ChangeMember adds, removes or replaces a control member.
func (c *Client) ChangeMember(ctx context.Context, kind wire.AdminKind, name, address string) error {
	_, err := c.admin(ctx, false, wire.AdminCall{Kind: kind, Name: name, Address: address})
	return err
}

func (c *Client) admin(ctx context.Context, resend bool, request wire.AdminCall) (*wire.AdminResult, error) {
	reply, err := c.call(ctx, resend, func(id uint64) wire.Message { request.ID = id; return &request })
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
	return failure.New(failure.Internal, "run the same release on all processes", "the control member sent an unexpected answer")
}

// call sends a message, on the next session if there is none, and waits for its answer.
func (c *Client) call(ctx context.Context, resend bool, message func(id uint64) wire.Message) (wire.Message, error) {
	waiting := &call{resend: resend, reply: make(chan wire.Message, 1)}
	c.callMu.Lock()
	if len(c.calls) >= maxCalls {
		c.callMu.Unlock()
		return nil, failure.New(failure.Overloaded, "retry later", "%d calls to the control members are waiting", maxCalls).WithRetryAfter(time.Second)
	}
	c.lastID++
	id := c.lastID
	waiting.message = message(id)
	if c.calls == nil {
		c.calls = map[uint64]*call{}
	}
	c.calls[id] = waiting
	if c.current != nil {
		waiting.sent = c.current.session.Send(waiting.message)
	}
	c.callMu.Unlock()
	select {
	case reply := <-waiting.reply:
		if reply == nil {
			return nil, unknownOutcome("the session with the control member ended")
		}
		return reply, nil
	case <-ctx.Done():
	}
	c.callMu.Lock()
	defer c.callMu.Unlock()
	delete(c.calls, id)
	if !waiting.sent {
		return nil, failure.New(failure.Unavailable, "check that the control members run and can be reached", "no control member can be reached; nothing was changed").WithRetryAfter(time.Second)
	}
	return nil, unknownOutcome("no answer arrived in time")
}

func unknownOutcome(reason string) error {
	return failure.New(failure.MayHaveRun, "send the same change with the same change id again", "the outcome is not known: %s", reason).WithRetryAfter(time.Second)
}

// finish hands an answer to its caller; an answer without a waiting caller is dropped.
func (c *Client) finish(id uint64, reply wire.Message) {
	c.callMu.Lock()
	defer c.callMu.Unlock()
	if waiting := c.calls[id]; waiting != nil {
		delete(c.calls, id)
		waiting.reply <- reply
	}
}

// sessionOpened sends what waits for an answer.
func (c *Client) sessionOpened(a *attempt) {
	c.callMu.Lock()
	defer c.callMu.Unlock()
	if a.ctx.Err() != nil {
		return // the dial took too long, and another session may be in use
	}
	c.current = a
	for _, waiting := range c.calls {
		if waiting.resend || !waiting.sent {
			waiting.sent = a.session.Send(waiting.message) || waiting.sent
		}
	}
}

// sessionClosed ends the calls that must not be sent a second time.
func (c *Client) sessionClosed(a *attempt) {
	c.callMu.Lock()
	defer c.callMu.Unlock()
	if c.current != a {
		return
	}
	c.current = nil
	for id, waiting := range c.calls {
		if waiting.sent && !waiting.resend {
			delete(c.calls, id)
			waiting.reply <- nil
		}
	}
}
