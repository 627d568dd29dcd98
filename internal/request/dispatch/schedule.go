package dispatch

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/request/admission"
	"pollenpaddle/internal/request/estimate"
	"pollenpaddle/internal/request/placement"
)

const (
	// rebalanceInterval limits how often fair shares are recomputed, because the cost grows with
	// the number of organisations.
	rebalanceInterval = 5 * time.Millisecond
	// offerRequestInterval is the time after which offers are requested again for queued tasks.
	offerRequestInterval = 50 * time.Millisecond
	// overdueFactor is the multiple of the class's 99th percentile of run times from which a start
	// is overdue.
	overdueFactor = 2
	// minOverdueAfter keeps starts of short tasks from being overdue after a scheduling delay.
	minOverdueAfter = 250 * time.Millisecond
)

// schedule starts queued tasks while agents take starts, and requests offers for the rest.
func (m *Machine) schedule(now time.Duration) {
	if m.queue.Queued() == 0 {
		m.nextShed, m.nextOfferRequest = 0, 0
		if m.queue.FairLevel() >= 0 {
			// Nothing is queued, so this capacity exceeds all demands, and no organisation stays limited.
			m.queue.Rebalance(now, m.queue.Running()+1)
		}
		return
	}
	if now >= m.leaseDeadline {
		m.nextOfferRequest = 0
		return
	}
	skip := func(l *admission.Lane) bool { return l.Owner.(*lane).blocked() }
	for {
		item := m.queue.Next(skip)
		if item == nil {
			break
		}
		t := item.Value.(*task)
		a := m.chooseAgent(now, t)
		if a == nil {
			t.lane.noAgent, t.lane.version = true, t.lane.upstream.pool.Version
			continue
		}
		m.queue.Take(item)
		t.lane.upstream.queued--
		m.start(now, t, a)
	}
	if m.queue.Queued() == 0 {
		m.nextShed, m.nextOfferRequest = 0, 0
		return
	}
	if now >= m.nextRebalance {
		m.nextRebalance = now + rebalanceInterval
		m.queue.Rebalance(now, m.queue.Running())
	}
	m.requestOffers(now)
	m.nextOfferRequest = now + offerRequestInterval
}

func (m *Machine) chooseAgent(now time.Duration, t *task) *agent {
	c, spec := t.job.class, t.spec()
	candidate := placement.Task{
		Need:         spec.Need,
		RunTime:      c.runTimes.Typical(spec.DeclaredRunTime),
		RunTimeP90:   c.runTimes.Quantile(estimate.P90, spec.DeclaredRunTime),
		Slack:        t.job.acceptedAt + c.state.Target - now,
		LeaveReserve: m.queue.LeavesHeadroom(now, t.job.organisation),
		// With a backlog, the order of the entry's queue matters more than short idle times at
		// agents.
		Backlog: m.queue.Queued() > m.queue.Running(),
	}
	chosen := m.policy.Choose(now, &t.lane.upstream.pool, &candidate)
	if chosen == nil {
		return nil
	}
	return chosen.Owner.(*agent)
}

// start sends a Start message to the agent. It uses the newest offer of the agent if one is held.
func (m *Machine) start(now time.Duration, t *task, a *agent) {
	p := &a.placement
	var offerID uint64
	t.usedOffer = len(a.offers) > 0
	if t.usedOffer {
		last := len(a.offers) - 1
		offerID = a.offers[last].id
		a.offers = a.offers[:last]
		p.Offers = last
	} else if p.Free > 0 {
		p.Free--
	} else {
		p.Queue++
	}
	t.attempts++
	t.state, t.startedAt = running, now
	p99 := float64(t.job.class.runTimes.Quantile(estimate.P99, 0)) * p.Slowness
	t.overdueAfter = max(minOverdueAfter, time.Duration(overdueFactor*p99))
	m.addOpenStart(t, a)
	a.upstream.pool.Update(p)
	m.stats.Starts++
	if t.earlierResult != nil {
		m.stats.Retries++
	}
	m.send(a, &wire.Start{
		ID: t.startID(), AgentIncarnation: a.id.Incarnation, Class: t.job.class.name, Task: *t.spec(), Offer: offerID,
	})
	m.emit(TaskStarted{Key: t.job.submission.Key, Task: int(t.index), Agent: a.id})
}

// requestOffers sends the Reserve and Demand messages that the policy requests for queued tasks.
func (m *Machine) requestOffers(now time.Duration) {
	for _, u := range m.upstreamOrder {
		if u.queued == 0 {
			continue
		}
		m.offerRequests = m.policy.RequestOffers(now, m.offerRequests[:0], &u.pool, u.queued)
		for _, request := range m.offerRequests {
			a := request.Agent.Owner.(*agent)
			if request.Probes > 0 {
				m.stats.Reserves += uint64(request.Probes)
				m.send(a, &wire.Reserve{Count: request.Probes})
			}
			if request.Demand > 0 {
				m.stats.Demands++
				m.stats.Wasted++
				m.send(a, &wire.Demand{Queued: request.Demand})
			}
		}
	}
}
