package entry

import (
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/request/tracker"
)

// peerQueryID identifies a query that another entry has sent to this one.
type peerQueryID struct {
	from  wire.Claimant
	query uint64
}

// peerQuery is a query of another entry about a job that this entry may own.
type peerQuery struct {
	id      peerQueryID
	message *wire.JobQuery
}

// serveQuery handles another entry's query about a job.
func (e *Entry) serveQuery(from wire.Claimant, m *wire.JobQuery) {
	id := peerQueryID{from, m.Query}
	if m.EndWait {
		if waiterID, waiting := e.peerQueries[id]; waiting {
			e.endWait(waiterID)
		}
		return
	}
	at := e.config.Now()
	e.tracker.Advance(at.Boot, at.Wall)
	query := &peerQuery{id: id, message: m}
	switch e.tracker.Lookup(m.Key, m.SubmittedAt) {
	case tracker.Tracked:
	case tracker.Dropped, tracker.TooOld:
		e.reply(query, &wire.JobReply{Outcome: wire.JobDropped})
		return
	case tracker.Unknown:
		// Any claims of this entry that registrars still hold come from attempts that it abandoned.
		e.stepClaims(claim.Release{Key: m.Key, SubmittedAt: m.SubmittedAt})
		e.reply(query, &wire.JobReply{Outcome: wire.JobNotOwned})
		return
	default:
		e.reply(query, &wire.JobReply{Outcome: wire.JobNotOwned})
		return
	}
	if m.Cancel {
		e.cancelTracked(m.Key)
	}
	waiterID := e.addWaiter(&waiter{key: m.Key, query: query})
	e.peerQueries[id] = waiterID
	e.waitFor(waiterID)
	if m.Wait <= 0 {
		e.endWait(waiterID)
	}
}

// cancelTracked cancels a job of this entry, or marks it for cancellation while its id is being claimed.
func (e *Entry) cancelTracked(key job.Key) {
	if view := e.tracker.View(key); view != nil && view.Phase == tracker.Claiming {
		e.pendingCancels[key] = true
		return
	}
	e.cancel(key)
}

// replyToQuery replies to a waiting query of another entry.
func (e *Entry) replyToQuery(query *peerQuery, r response) {
	delete(e.peerQueries, query.id)
	if r.view == nil {
		e.reply(query, &wire.JobReply{Outcome: wire.JobNotOwned})
		return
	}
	e.reply(query, jobReply(r.view, query.message.From))
}

func (e *Entry) reply(query *peerQuery, reply *wire.JobReply) {
	reply.Query = query.id.query
	if s := e.peers[query.id.from]; s != nil {
		s.Send(reply)
	}
}

// jobReply returns the state of a job. The results of a finished job start at the given
// position, and about wire.MaxReplyBytes of them are included.
func jobReply(view *tracker.View, from wire.JobPosition) *wire.JobReply {
	reply := &wire.JobReply{
		Outcome: wire.JobRunning, Class: view.Class, SubmittedAt: view.SubmittedAt, Count: len(view.Results),
		Next: wire.JobPosition{Task: len(view.Results)},
	}
	if view.Phase <= tracker.Running {
		for i := range view.Results {
			reply.Parts = append(reply.Parts, wire.JobPart{Task: i, Result: job.Result{State: view.Results[i].State}})
		}
		return reply
	}
	reply.Outcome = wire.JobFinished
	remaining := wire.MaxReplyBytes
	for task := max(0, from.Task); task < len(view.Results); task++ {
		offset := 0
		if task == from.Task {
			offset = min(max(0, from.Byte), len(view.Results[task].Body))
		}
		if remaining <= 0 {
			reply.Next = wire.JobPosition{Task: task}
			return reply
		}
		part := wire.JobPart{Task: task, Result: view.Results[task], BodyBytes: len(view.Results[task].Body)}
		part.Result.Body = part.Result.Body[offset:min(offset+remaining, part.BodyBytes)]
		reply.Parts = append(reply.Parts, part)
		remaining -= len(part.Result.Body) + headerBytes(part.Result.Headers)
		if end := offset + len(part.Result.Body); end < part.BodyBytes {
			reply.Next = wire.JobPosition{Task: task, Byte: end}
			return reply
		}
	}
	return reply
}

func headerBytes(headers []job.Header) int {
	size := 0
	for _, h := range headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
