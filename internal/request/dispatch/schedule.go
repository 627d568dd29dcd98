package dispatch

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/request/admission"
	"pollenpaddle/internal/request/estimate"
	"pollenpaddle/internal/request/placement"
)

const (
	// rebalanceInterval bounds the cost of fair shares, which grows with the organisations.
	rebalanceInterval = 5 * time.Millisecond
	// solicitInterval is the time after which waiting tasks ask for offers again.
	solicitInterval = 50 * time.Millisecond
	// lateFactor times the 99th percentile of its class is when a start is overdue.
	lateFactor = 2
	// minLateAfter keeps short runs from being overdue after a scheduling delay.
	minLateAfter = 250 * time.Millisecond
)

// schedule starts queued tasks while agents take them.
func (m *Machine) schedule(now time.Duration) {
	if m.queue.Queued() == 0 {
		m.nextLate, m.nextSolicit = 0, 0
		if m.queue.FairLevel() >= 0 {
			m.queue.Rebalance(now, m.queue.Running()+1)
		}
		return
	}
	if now >= m.leaseDeadline {
		m.nextSolicit = 0
		return
	}
	skip := func(l *admission.Lane) bool { return l.Owner.(*lane).blocked() }
	for {
		item := m.queue.Next(skip)
		if item == nil {
			break
		}
		t := item.Value.(*task)
		a := m.choose(now, t)
		if a == nil {
			t.lane.full, t.lane.version = true, t.lane.service.pool.Version
			continue
		}
		m.queue.Take(item)
		t.lane.service.waiting--
		m.start(now, t, a)
	}
	if m.queue.Queued() == 0 {
		m.nextLate, m.nextSolicit = 0, 0
		return
	}
	if now >= m.nextRebalance {
		m.nextRebalance = now + rebalanceInterval
		m.queue.Rebalance(now, m.queue.Running())
	}
	m.solicit(now)
	m.nextSolicit = now + solicitInterval
}

func (m *Machine) choose(now time.Duration, t *task) *agent {
	c, spec := t.job.class, t.spec()
	request := placement.Task{
		Need:         spec.Need,
		RunTime:      c.run.Typical(spec.ExpectedRunTime),
		RunTimeP90:   c.run.Quantile(estimate.P90, spec.ExpectedRunTime),
		Slack:        t.job.accepted + c.count.Target - now,
		LeaveReserve: m.queue.LeavesHeadroom(now, t.job.organisation),
		// With a backlog the order of the entry's queue matters more than short gaps at agents.
		Backlog: m.queue.Queued() > m.queue.Running(),
	}
	chosen := m.policy.Choose(now, &t.lane.service.pool, &request)
	if chosen == nil {
		return nil
	}
	return chosen.Owner.(*agent)
}

// start sends a start to the agent, on an offer if one is held.
func (m *Machine) start(now time.Duration, t *task, a *agent) {
	p := &a.place
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
	t.attempt++
	t.state, t.started = running, now
	tail := float64(t.job.class.run.Quantile(estimate.P99, 0)) * p.Slowness
	t.lateAfter = max(minLateAfter, time.Duration(lateFactor*tail))
	m.link(t, a)
	a.service.pool.Update(p)
	m.stats.Starts++
	if t.earlier != nil {
		m.stats.Retries++
	}
	m.send(a, &wire.Start{
		ID: t.startID(), AgentIncarnation: a.id.Incarnation, Class: t.job.class.name, Task: *t.spec(), Offer: offerID,
	})
	m.act(TaskStarted{Key: t.job.submission.Key, Task: int(t.index), Agent: a.id})
}

// solicit asks agents for offers on behalf of waiting tasks.
func (m *Machine) solicit(now time.Duration) {
	for _, s := range m.serviceOrder {
		if s.waiting == 0 {
			continue
		}
		m.asks = m.policy.RequestOffers(now, m.asks[:0], &s.pool, s.waiting)
		for _, ask := range m.asks {
			a := ask.Agent.Owner.(*agent)
			if ask.Probes > 0 {
				m.stats.Reserves += uint64(ask.Probes)
				m.send(a, &wire.Reserve{Count: ask.Probes})
			}
			if ask.Demand > 0 {
				m.stats.Demands++
				m.stats.Wasted++
				m.send(a, &wire.Demand{Queued: ask.Demand})
			}
		}
	}
}
