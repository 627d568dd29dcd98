package runner

import (
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
)

// owner is an entry that orders runs. It outlives its session for as long as it has runs.
type owner struct {
	id        EntryID
	connected bool
	listed    bool          // the inventory was sent on this session
	until     time.Duration // its runs go on until then
	pollAt    time.Duration
	orders    uint64 // sequence of the newest order of this session
	ends      []run.End
	sent      wire.WorkerState // as last sent on this session
	described bool             // sent holds a state
	stateAt   time.Duration    // no state before, unless ends are sent
}

func (m *Machine) connect(now time.Duration, id EntryID) {
	for _, other := range m.order {
		if other.id.ID == id.ID && other.id != id {
			m.release(other) // an entry that runs again has lost its jobs
		}
	}
	o := m.owners[id]
	if o == nil {
		o = &owner{id: id}
		m.owners[id] = o
		m.order = append(m.order, o)
	}
	o.connected, o.listed, o.described, o.orders, o.ends = true, false, false, 0, nil
	o.until = max(o.until, now+OwnerTimeout)
	o.pollAt, o.stateAt = now, now
	m.expireOwners(now)
}

func (m *Machine) disconnect(id EntryID) {
	if o := m.owners[id]; o != nil {
		o.connected, o.ends = false, nil
	}
}

// release ends the ownership of an entry: its runs are stopped.
func (m *Machine) release(o *owner) {
	o.connected, o.until = false, 0
}

// expireOwners stops the runs of entries that were not heard of for the owner term.
func (m *Machine) expireOwners(now time.Duration) {
	for _, o := range m.order {
		if now < o.until {
			continue
		}
		for _, r := range m.ownedBy(o.id) {
			m.cancel(now, r)
		}
	}
	m.order = slices.DeleteFunc(m.order, func(o *owner) bool {
		if o.connected || now < o.until || m.owns(o.id) {
			return false
		}
		delete(m.owners, o.id)
		return true
	})
}

func (m *Machine) owns(id EntryID) bool {
	for _, r := range m.records {
		if r.owner == id {
			return true
		}
	}
	return false
}

// ownedBy returns the runs of an entry in the order of their arrival.
func (m *Machine) ownedBy(id EntryID) []*record {
	var owned []*record
	for _, r := range m.queue {
		if r.owner == id {
			owned = append(owned, r)
		}
	}
	for _, r := range m.byArrival() {
		if r.owner == id {
			owned = append(owned, r)
		}
	}
	return owned
}

func (m *Machine) receive(now time.Duration, e Received) {
	o := m.owners[e.Entry]
	if o == nil || !o.connected {
		return
	}
	switch message := e.Message.(type) {
	case *wire.RunOrder:
		m.ordered(now, o, message)
	case *wire.RunCancel:
		for _, id := range message.Runs {
			if r := m.records[id]; r != nil && r.owner == o.id {
				m.cancel(now, r)
			}
		}
	case *wire.OwnerGrant:
		if message.Sent <= now {
			o.until = max(o.until, message.Sent+OwnerTimeout)
		}
	}
}

// ordered queues the runs of an order. One that is known already is not queued twice.
func (m *Machine) ordered(now time.Duration, o *owner, order *wire.RunOrder) {
	o.orders = order.Sequence
	for _, t := range order.Tasks {
		id := order.ID(t)
		if m.records[id] != nil {
			continue
		}
		if reason := m.refuses(now, id, order); reason != 0 {
			m.stats.count(run.Refused)
			o.ends = append(o.ends, run.End{ID: id, Outcome: run.Refused, Reason: reason})
			continue
		}
		m.arrival++
		r := &record{
			id: id, owner: o.id, spec: order.Spec, need: order.Need, priority: order.Priority, arrival: m.arrival,
			refuseAt: now + order.MaxWait,
		}
		m.records[id] = r
		m.enqueue(r)
	}
}

func (m *Machine) refuses(now time.Duration, id run.ID, order *wire.RunOrder) run.Reason {
	earlier := m.byTask[id.Task]
	switch {
	case !m.open(now) || order.Service != m.worker.service:
		return run.Closed
	case !order.Need.Fits(job.Resources{}) || !m.worker.capacity.Fits(order.Need):
		return run.Unfit
	case earlier != nil || m.worker.strangers[id.Task]:
		return run.Conflict
	case len(m.queue) >= maxWaiting:
		return run.Busy
	}
	return 0
}

// enqueue inserts the record by priority, then arrival.
func (m *Machine) enqueue(r *record) {
	at, _ := slices.BinarySearchFunc(m.queue, r, func(a, b *record) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	m.queue = slices.Insert(m.queue, at, r)
}

// cancel ends a run that its owner no longer wants.
func (m *Machine) cancel(now time.Duration, r *record) {
	switch r.phase {
	case waiting:
		m.settle(now, r, run.Stopped, 0)
	case starting, doubtful:
		r.cancelled = true // stopped once the start call has returned
	case running:
		m.stop(r)
	}
}

// flush sends inventories, ends and the worker's state to the entries.
func (m *Machine) flush(now time.Duration) {
	for _, o := range m.order {
		if !o.connected {
			continue
		}
		if !o.listed && m.accountable(now) {
			o.listed = true
			m.send(o.id, m.inventory(o))
		}
		if now >= o.pollAt {
			o.pollAt = now + PollInterval
			m.send(o.id, &wire.OwnerPoll{Sent: now})
		}
		if !o.listed {
			continue
		}
		news := len(o.ends) > 0
		if news {
			m.send(o.id, &wire.RunEnds{Ends: o.ends})
			o.ends = nil
		}
		m.describe(now, o, news)
	}
}

func (m *Machine) inventory(o *owner) *wire.RunInventory {
	list := &wire.RunInventory{}
	for _, r := range m.ownedBy(o.id) {
		list.Runs = append(list.Runs, r.id)
	}
	return list
}

// describe sends the worker's state if it has changed. With ends it goes at once, because the frame
// is sent anyway.
func (m *Machine) describe(now time.Duration, o *owner, atOnce bool) {
	state := m.state(now, o)
	if o.described && sameState(&o.sent, &state) {
		return
	}
	if !atOnce && o.described && o.sent.Open == state.Open && now < o.stateAt {
		return
	}
	o.sent, o.described, o.stateAt = state, true, now+stateInterval
	m.send(o.id, &state)
}

func sameState(a, b *wire.WorkerState) bool {
	return a.Service == b.Service && a.Rack == b.Rack && a.Capacity == b.Capacity && a.Free == b.Free &&
		slices.Equal(a.Waiting, b.Waiting) &&
		a.Open == b.Open && a.Failures == b.Failures && a.Orders == b.Orders && slices.Equal(a.Labels, b.Labels)
}

func (m *Machine) considerOwners(consider func(time.Duration)) {
	for _, o := range m.order {
		if o.connected {
			consider(o.pollAt)
			if o.listed && !m.sameAsSent(o) {
				consider(o.stateAt)
			}
		}
		consider(o.until)
	}
}

// sameAsSent compares without the time-dependent part of the state, which announces its own time.
func (m *Machine) sameAsSent(o *owner) bool {
	state := m.state(m.now, o)
	state.Open = o.sent.Open
	return !o.described || sameState(&o.sent, &state)
}
