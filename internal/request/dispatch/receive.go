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
	// busyBackoff, leaseExpiredBackoff and zoneOutBackoff are how long an agent gets no start after a
	// refusal, by its reason. Other refusals that block the agent use busyBackoff.
	busyBackoff         = 20 * time.Millisecond
	leaseExpiredBackoff = 200 * time.Millisecond
	zoneOutBackoff      = 500 * time.Millisecond
	// maxRefusals bounds the refused starts of one task.
	maxRefusals = 64
	// windowDecrease is the factor by which a busy refusal reduces the congestion window.
	windowDecrease = 0.7
)

// handleMessage handles a message from an agent. Results and refusals are acknowledged and matched
// by the id of the start, whatever the state of the session. Other messages are ignored unless they
// come from the connected incarnation.
func (m *Machine) handleMessage(now time.Duration, e AgentMessage) {
	switch message := e.Message.(type) {
	case *wire.Refused:
		m.emit(Send{Agent: e.Agent, Message: &wire.FinishedAck{ID: message.ID}})
		m.handleRefused(now, e.Agent, message)
		return
	case *wire.Finished:
		m.emit(Send{Agent: e.Agent, Message: &wire.FinishedAck{ID: message.ID}})
		m.handleFinished(now, e.Agent, message)
		return
	}
	a := m.agents[e.Agent.ID]
	if a == nil || a.id != e.Agent || !a.connected {
		return
	}
	switch message := e.Message.(type) {
	case *wire.Announce:
		m.handleAnnounce(now, a, message)
	case *wire.Withdraw, *wire.Closing:
		m.withdraw(now, a)
	case *wire.Load:
		a.placement.Free, a.placement.Queue = message.Free, message.Queue
		m.refresh(now, a)
	case *wire.Offer:
		m.handleOffer(now, a, message)
	case *wire.Recall:
		m.handleRecall(now, a, message)
	}
}

// openStart returns the task whose open start at the agent has the given id, or nil.
func (m *Machine) openStart(id AgentID, start *wire.StartID) *task {
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

func (m *Machine) handleFinished(now time.Duration, id AgentID, message *wire.Finished) {
	t := m.openStart(id, &message.ID)
	if t == nil {
		m.stats.Late++
		return
	}
	a := t.agent
	result := classifyResult(t.spec().Method, message.Result)
	m.removeOpenStart(t)
	m.recordResult(now, t, a, &result)
	m.attemptEnded(now, t, result)
}

// recordResult updates the run time estimates, and the health and the load of the agent, from one
// result.
func (m *Machine) recordResult(now time.Duration, t *task, a *agent, result *job.Result) {
	c, p := t.job.class, &a.placement
	if p.Queue > 0 {
		p.Queue--
	} else if p.Free < p.Slots {
		p.Free++
	}
	if !t.usedOffer {
		a.congestionWindow = min(a.congestionWindow+1/a.congestionWindow, float64(maxWindowPerSlot*max(1, p.Slots)))
	}
	switch result.State {
	case job.Done:
		runTime := result.RunTime
		if runTime <= 0 {
			runTime = max(0, now-t.startedAt-p.RTT)
		}
		slowness := a.history.slowness // a copy, so that the run counts once for the agent
		estimate.Observe(&t.lane.upstream.runTimes, &slowness, runTime)
		t.lane.upstream.pool.MeanRunTime = t.lane.upstream.runTimes.Mean()
		estimate.Observe(&c.runTimes, &a.history.slowness, runTime)
		p.Slowness = a.history.slowness.Factor()
		c.failureRate.Observe(false)
		a.health.RecordSuccess(p.Slots)
	case job.Failed, job.MayHaveRun:
		m.recordFailure(now, c, a)
	}
	m.refresh(now, a)
}

// recordFailure counts a failure of the class at the agent.
func (m *Machine) recordFailure(now time.Duration, c *class, a *agent) {
	threshold := c.failureRate.FailureThreshold()
	c.failureRate.Observe(true)
	if a.health.RecordFailure(now, threshold) {
		m.stats.Probations++
	}
}

// classifyResult returns the result of a task as reported to the caller. A task is failed if the
// upstream responded with status 500 or above or with a body shorter than declared.
func classifyResult(method string, result job.Result) job.Result {
	switch {
	case !result.State.Final():
		result.State, result.FailureKind = job.MayHaveRun, failure.MayHaveRun
		result.Message = "the agent reported no final state"
	case result.State == job.Done && result.Status >= 500:
		result.State = job.Failed
		result.Message = "the upstream responded with status " + strconv.Itoa(result.Status)
	case result.State == job.Done && truncated(method, &result):
		result.State = job.Failed
		result.Message = "the body of the upstream's response is shorter than its Content-Length"
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

// attemptEnded retries or finishes a task whose attempt ran or may have run.
func (m *Machine) attemptEnded(now time.Duration, t *task, result job.Result) {
	j := t.job
	if result.State == job.NotRun {
		// Agents report starts that never reached the upstream as Refused and not as Finished; if
		// one sends Finished with this state, the task is final as well.
		m.finish(now, t, result, 0)
		return
	}
	if !j.cancelled && now < t.item.LatestStart &&
		j.class.retryBudget.TakeRetry(j.submission.Kind, t.spec(), &result, int(t.retries)) {
		t.retries++
		t.earlierResult = &result
		m.enqueue(t)
		return
	}
	m.finish(now, t, result, 0)
}

// handleRefused handles a start that was not and will not be run.
func (m *Machine) handleRefused(now time.Duration, id AgentID, message *wire.Refused) {
	t := m.openStart(id, &message.ID)
	if t == nil {
		m.stats.Late++
		return
	}
	a := t.agent
	m.removeOpenStart(t)
	m.stats.Wasted++
	if message.Reason == wire.RefusedBusy {
		m.stats.RefusedBusy++
	} else {
		m.stats.RefusedOther++
	}
	m.applyRefusal(now, t, a, message.Reason)
	t.refusals++
	switch {
	case t.job.cancelled || message.Reason == wire.RefusedCancelled:
		m.finish(now, t, job.Result{State: job.NotRun, Message: "cancelled before it was started"}, 0)
	case t.refusals >= maxRefusals:
		kind, text := refusalResult(message.Reason)
		m.finish(now, t, job.Result{State: job.NotRun, FailureKind: kind, Message: text}, m.retryAfter(t.job.class))
	default:
		m.enqueue(t)
	}
}

// refusalResult returns the error kind and message of a task that was refused maxRefusals times, by the
// reason of the last refusal.
func refusalResult(reason wire.RefusalReason) (failure.Kind, string) {
	switch reason {
	case wire.RefusedNeverFits:
		return failure.NeverFits, "the start was refused too often; the task does not fit the last agent"
	case wire.RefusedBusy:
		return failure.Overloaded, "the start was refused too often; the last agent had no free slot"
	}
	return failure.Unavailable, "the start was refused too often"
}

// applyRefusal updates the state of an agent that refused a start, so that it gets fewer or no
// starts for some time.
func (m *Machine) applyRefusal(now time.Duration, t *task, a *agent, reason wire.RefusalReason) {
	p := &a.placement
	switch reason {
	case wire.RefusedBusy:
		a.congestionWindow = max(1, min(a.congestionWindow, float64(p.DirectStarts+1))*windowDecrease)
		p.Free, p.Queue = 0, max(p.Queue, p.Slots/2)
		a.blockedUntil = now + busyBackoff
	case wire.RefusedLeaseExpired:
		a.blockedUntil = now + leaseExpiredBackoff
	case wire.RefusedZoneOut:
		a.blockedUntil = now + zoneOutBackoff
	case wire.RefusedLeaving:
		m.withdraw(now, a)
	case wire.RefusedIncarnation, wire.RefusedNeverFits:
		a.blockedUntil = now + busyBackoff
	case wire.RefusedUnreachable:
		if a.health.RecordFailure(now, t.job.class.failureRate.FailureThreshold()) {
			m.stats.Probations++
		}
	}
	m.refresh(now, a)
}

// handleOffer stores offers, starts queued tasks on them and returns the unused ones among those that
// were sent for probes. Credits are returned unless the policy keeps them.
func (m *Machine) handleOffer(now time.Duration, a *agent, message *wire.Offer) {
	m.stats.Offers += uint64(len(message.IDs))
	unrequested := message.Reserved == 0 && a.placement.DemandedAt == 0
	if a.upstream == nil || unrequested && !m.policy.KeepsCredits(&a.upstream.pool) {
		// Returning credits makes the agent stop offering them to this entry until it reports demand or
		// uses an offer.
		m.decline(a, message.IDs, false)
		return
	}
	for i, id := range message.IDs {
		a.offers = append(a.offers, offer{id: id, reserved: i < message.Reserved})
	}
	answered := min(message.Reserved, a.placement.Probes)
	a.placement.Probes -= answered
	a.upstream.pool.Probes -= answered
	a.placement.DemandedAt = 0
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
		m.stats.Wasted += uint64(len(unused)) // counts the probes; decline counts the offers
		m.decline(a, unused, false)
		m.refresh(now, a)
	}
}

// handleRecall returns unused offers, the oldest first.
func (m *Machine) handleRecall(now time.Duration, a *agent, message *wire.Recall) {
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
