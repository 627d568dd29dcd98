package dispatch

import (
	"strconv"
	"strings"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/estimate"
)

const (
	// busyBlock, leaseBlock and zoneBlock are how long an agent gets no start after a refusal.
	busyBlock  = 20 * time.Millisecond
	leaseBlock = 200 * time.Millisecond
	zoneBlock  = 500 * time.Millisecond
	// maxRefusals bounds the agents that one task is tried on.
	maxRefusals = 64
	// windowDecrease is applied to the bound on direct starts after a busy refusal.
	windowDecrease = 0.7
)

// receive handles a message of an agent. Results are acknowledged and matched by start whatever
// the state of the session; everything else needs the present session.
func (m *Machine) receive(now time.Duration, e AgentMessage) {
	switch message := e.Message.(type) {
	case *wire.Refused:
		m.act(Send{Agent: e.Agent, Message: &wire.FinishedAck{ID: message.ID}})
		m.refused(now, e.Agent, message)
		return
	case *wire.Finished:
		m.act(Send{Agent: e.Agent, Message: &wire.FinishedAck{ID: message.ID}})
		m.finished(now, e.Agent, message)
		return
	}
	a := m.agents[e.Agent.ID]
	if a == nil || a.id != e.Agent || !a.connected {
		return
	}
	switch message := e.Message.(type) {
	case *wire.Announce:
		m.announce(now, a, message)
	case *wire.Withdraw, *wire.Closing:
		m.withdraw(now, a)
	case *wire.Load:
		a.place.Free, a.place.Queue = message.Free, message.Queue
		m.refresh(now, a)
	case *wire.Offer:
		m.offered(now, a, message)
	case *wire.Recall:
		m.recalled(now, a, message)
	}
}

// open returns the open start of the given id at the given agent, or nil.
func (m *Machine) open(id AgentID, start *wire.StartID) *task {
	j := m.jobs[start.Job]
	if j == nil || int(start.Task) >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[start.Task]
	if t.state != running || t.agent.id != id || t.startID().Attempt != start.Attempt {
		return nil
	}
	return t
}

func (m *Machine) finished(now time.Duration, id AgentID, message *wire.Finished) {
	t := m.open(id, &message.ID)
	if t == nil {
		m.stats.Late++
		return
	}
	a := t.agent
	result := judge(t.spec().Method, message.Result)
	m.unlink(t)
	m.learn(now, t, a, &result)
	m.attemptEnded(now, t, result)
}

// learn updates the estimates, the health and the load of the agent from one result.
func (m *Machine) learn(now time.Duration, t *task, a *agent, result *job.Result) {
	c, p := t.job.class, &a.place
	if p.Queue > 0 {
		p.Queue--
	} else if p.Free < p.Slots {
		p.Free++
	}
	if !t.usedOffer {
		a.window = min(a.window+1/a.window, float64(maxWindowRounds*max(1, p.Slots)))
	}
	switch result.State {
	case job.Done:
		run := result.RunTime
		if run <= 0 {
			run = max(0, now-t.started-p.RTT)
		}
		speed := a.history.speed
		estimate.Observe(&t.lane.service.run, &speed, run)
		t.lane.service.pool.MeanRunTime = t.lane.service.run.Mean()
		estimate.Observe(&c.run, &a.history.speed, run)
		p.Slowness = a.history.speed.Slowness()
		c.failures.Observe(false)
		a.health.RecordSuccess(p.Slots)
	case job.Failed, job.MayHaveRun:
		m.failed(now, c, a)
	}
	m.refresh(now, a)
}

// failed counts a failure against the agent.
func (m *Machine) failed(now time.Duration, c *class, a *agent) {
	tolerated := c.failures.FailureThreshold()
	c.failures.Observe(true)
	if a.health.RecordFailure(now, tolerated) {
		m.stats.Probations++
	}
}

// judge decides what an agent's result means for the caller. An answer of the upstream with
// status 500 or above, or with a body shorter than it declared, is a failed task.
func judge(method string, result job.Result) job.Result {
	switch {
	case !result.State.Final():
		result.State, result.Kind = job.MayHaveRun, failure.MayHaveRun
		result.Message = "the agent reported no final state"
	case result.State == job.Done && result.Status >= 500:
		result.State = job.Failed
		result.Message = "the upstream answered with status " + strconv.Itoa(result.Status)
	case result.State == job.Done && truncated(method, &result):
		result.State = job.Failed
		result.Message = "the body of the upstream's answer is shorter than declared"
	}
	return result
}

func truncated(method string, result *job.Result) bool {
	if method == "HEAD" || result.Status == 204 || result.Status == 304 {
		return false
	}
	for i := range result.Headers {
		h := &result.Headers[i]
		if strings.EqualFold(h.Name, "Content-Length") {
			declared, err := strconv.Atoi(strings.TrimSpace(h.Value))
			return err == nil && len(result.Body) < declared
		}
	}
	return false
}

// attemptEnded handles the outcome of an attempt that ran or may have run.
func (m *Machine) attemptEnded(now time.Duration, t *task, result job.Result) {
	j := t.job
	if result.State == job.NotRun {
		// The agent reports work that never reached the upstream as Refused; a Finished with this
		// state is final for the task as well.
		m.finish(now, t, result, 0)
		return
	}
	if !j.cancelled && now < t.item.LatestStart &&
		j.class.budget.TakeRetry(j.submission.Kind, t.spec(), &result, int(t.retries)) {
		t.retries++
		t.earlier = &result
		m.enqueue(t)
		return
	}
	m.finish(now, t, result, 0)
}

// refused handles a start that was not run and never will be.
func (m *Machine) refused(now time.Duration, id AgentID, message *wire.Refused) {
	t := m.open(id, &message.ID)
	if t == nil {
		m.stats.Late++
		return
	}
	a := t.agent
	m.unlink(t)
	m.stats.Wasted++
	if message.Reason == wire.RefusedBusy {
		m.stats.RefusedBusy++
	} else {
		m.stats.RefusedOther++
	}
	m.penalise(now, t, a, message.Reason)
	t.refusals++
	switch {
	case t.job.cancelled || message.Reason == wire.RefusedCancelled:
		m.finish(now, t, job.Result{State: job.NotRun, Message: "cancelled before it was started"}, 0)
	case t.refusals >= maxRefusals:
		kind, text := refusalResult(message.Reason)
		m.finish(now, t, job.Result{State: job.NotRun, Kind: kind, Message: text}, m.retryAfter(t.job.class))
	default:
		m.enqueue(t)
	}
}

func refusalResult(reason wire.RefusalReason) (failure.Kind, string) {
	switch reason {
	case wire.RefusedNeverFits:
		return failure.NeverFits, "refused by every agent that it was sent to, because it does not fit"
	case wire.RefusedBusy:
		return failure.Overloaded, "refused by every agent that it was sent to, because no slot was free"
	}
	return failure.Unavailable, "refused by every agent that it was sent to"
}

// penalise updates the view of an agent that refused a start.
func (m *Machine) penalise(now time.Duration, t *task, a *agent, reason wire.RefusalReason) {
	p := &a.place
	switch reason {
	case wire.RefusedBusy:
		a.window = max(1, min(a.window, float64(p.DirectStarts+1))*windowDecrease)
		p.Free, p.Queue = 0, max(p.Queue, p.Slots/2)
		a.blockedUntil = now + busyBlock
	case wire.RefusedLeaseExpired:
		a.blockedUntil = now + leaseBlock
	case wire.RefusedZoneOut:
		a.blockedUntil = now + zoneBlock
	case wire.RefusedLeaving:
		m.withdraw(now, a)
	case wire.RefusedIncarnation, wire.RefusedNeverFits:
		a.blockedUntil = now + busyBlock
	case wire.RefusedUnreachable:
		if a.health.RecordFailure(now, t.job.class.failures.FailureThreshold()) {
			m.stats.Probations++
		}
	}
	m.refresh(now, a)
}

// offered takes offers and returns those that answered probes for which no task is left.
func (m *Machine) offered(now time.Duration, a *agent, message *wire.Offer) {
	m.stats.Offers += uint64(len(message.IDs))
	unasked := message.Reserved == 0 && a.place.DemandedAt == 0
	if a.service == nil || unasked && !m.policy.KeepsUnrequestedOffers(&a.service.pool) {
		// The agent makes no further unasked offers to an entry that returns them.
		m.decline(a, message.IDs, false)
		return
	}
	for i, id := range message.IDs {
		a.offers = append(a.offers, offer{id: id, reserved: i < message.Reserved})
	}
	answered := min(message.Reserved, a.place.Probes)
	a.place.Probes -= answered
	a.service.pool.Probes -= answered
	a.place.DemandedAt = 0
	m.refresh(now, a)
	if message.Reserved == 0 {
		return
	}
	m.schedule(now)
	var unused []uint64
	kept := a.offers[:0]
	for _, o := range a.offers {
		if o.reserved {
			unused = append(unused, o.id)
		} else {
			kept = append(kept, o)
		}
	}
	a.offers = kept
	if len(unused) > 0 {
		m.stats.Wasted += uint64(len(unused)) // the probes, besides the offers
		m.decline(a, unused, false)
		m.refresh(now, a)
	}
}

// recalled returns unused offers, the oldest first.
func (m *Machine) recalled(now time.Duration, a *agent, message *wire.Recall) {
	m.stats.Recalls++
	m.stats.Wasted++
	count := max(0, min(message.Count, len(a.offers)))
	ids := make([]uint64, count)
	for i := range ids {
		ids[i] = a.offers[i].id
	}
	a.offers = append(a.offers[:0], a.offers[count:]...)
	m.decline(a, ids, true)
	m.refresh(now, a)
}

func (m *Machine) decline(a *agent, ids []uint64, recalled bool) {
	m.stats.Declined += uint64(len(ids))
	m.stats.Wasted += uint64(len(ids))
	m.send(a, &wire.Decline{IDs: ids, Recalled: recalled})
}
