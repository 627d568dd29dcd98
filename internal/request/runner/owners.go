package runner

import (
	"cmp"
	"slices"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/shedding"
)

// owner is an entry that orders runs. It is kept after the end of its session while it has runs.
type owner struct {
	id            EntryID
	connected     bool
	inventorySent bool          // the inventory was sent on this session
	expiresAt     time.Duration // its runs continue until then
	nextPollAt    time.Duration
	lastOrder     uint64           // sequence number of the last order of this session
	pendingEnds   []run.End        // to be sent on this session or the next one
	unconfirmed   []sentEnd        // sent on this session; the entry may not have received them
	sentState     wire.WorkerState // as last sent on this session
	stateSent     bool             // sentState is set
	nextStateAt   time.Duration    // earliest time of the next state, unless ends are sent
	activeUntil   time.Duration    // ownerActivePeriod after the last order
	ordered       int              // runs ordered in the current window of demand
	waitingLimit  int              // runs of one priority that may wait; zero: one
	sentSlowness  float64          // as last sent on this session; zero, for mean speed, before
	nextSpeedAt   time.Duration    // earliest time of the next wire.WorkerSpeed
	speedSentAt   time.Duration    // time of the last one
	retired       bool             // the session is to be closed
	retiredAt     time.Duration
}

// sentEnd is an outcome that was sent at a time. The entry has received it if it replies to a poll that was sent
// later, because a session keeps the order of messages.
type sentEnd struct {
	end    run.End
	sentAt time.Duration
}

// restoreUnconfirmed makes the outcomes that may have been lost with a session pending again. The oldest are
// dropped beyond maxUnconfirmed.
func (o *owner) restoreUnconfirmed() {
	restored := make([]run.End, 0, len(o.unconfirmed)+len(o.pendingEnds))
	for _, sent := range o.unconfirmed {
		restored = append(restored, sent.end)
	}
	restored = append(restored, o.pendingEnds...)
	o.unconfirmed, o.pendingEnds = nil, restored[max(0, len(restored)-maxUnconfirmed):]
}

// confirm forgets the outcomes that were sent before a poll to which the entry has replied.
func (o *owner) confirm(pollSent time.Duration) {
	o.unconfirmed = slices.DeleteFunc(o.unconfirmed, func(sent sentEnd) bool { return sent.sentAt < pollSent })
}

func (m *Machine) connect(now time.Duration, id EntryID) {
	for _, other := range m.ownerList {
		if other.id.ID == id.ID && other.id != id {
			m.endOwnership(other) // a restarted entry has lost its jobs
		}
	}
	o := m.owners[id]
	if o == nil {
		o = &owner{id: id}
		m.owners[id] = o
		m.ownerList = append(m.ownerList, o)
	}
	o.restoreUnconfirmed() // the earlier session may not have been closed
	o.connected, o.inventorySent, o.stateSent, o.lastOrder, o.retired = true, false, false, 0, false
	o.sentSlowness, o.nextSpeedAt = 0, now+speedInterval
	o.expiresAt = max(o.expiresAt, now+OwnerTimeout)
	o.nextPollAt, o.nextStateAt = now, now
	m.expireOwners(now)
}

func (m *Machine) disconnect(id EntryID) {
	if o := m.owners[id]; o != nil {
		o.connected = false
		o.restoreUnconfirmed()
	}
}

func (m *Machine) retire(now time.Duration, id EntryID) {
	if o := m.owners[id]; o != nil && o.connected {
		o.retired, o.retiredAt = true, now
	}
}

// Retirable reports whether the session with a retired entry can be closed: the entry sends no more
// orders, and none of its runs is left.
func (m *Machine) Retirable(now time.Duration, id EntryID) bool {
	o := m.owners[id]
	if o == nil || !o.connected {
		return true
	}
	return o.retired && now >= o.retiredAt+retirementDelay && len(o.pendingEnds) == 0 && !m.hasRuns(id)
}

// endOwnership makes the owner expire, so that its runs are stopped.
func (m *Machine) endOwnership(o *owner) {
	o.connected, o.expiresAt = false, 0
}

// expireOwners stops the runs of entries that have replied to no poll for OwnerTimeout.
func (m *Machine) expireOwners(now time.Duration) {
	for _, o := range m.ownerList {
		if now < o.expiresAt {
			continue
		}
		for _, r := range m.runsOf(o.id) {
			m.cancel(now, r)
		}
	}
	m.ownerList = slices.DeleteFunc(m.ownerList, func(o *owner) bool {
		if o.connected || now < o.expiresAt || m.hasRuns(o.id) || len(o.pendingEnds) > 0 && now < o.expiresAt+endRetention {
			return false
		}
		delete(m.owners, o.id)
		return true
	})
}

func (m *Machine) hasRuns(id EntryID) bool {
	for _, r := range m.records {
		if r.owner == id {
			return true
		}
	}
	return false
}

// runsOf returns the runs of an entry: first the waiting ones in queue order, then the others in order
// of arrival.
func (m *Machine) runsOf(id EntryID) []*record {
	var owned []*record
	for _, r := range m.queue {
		if r.owner == id {
			owned = append(owned, r)
		}
	}
	for _, r := range m.startedByArrival() {
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
		m.handleOrder(now, o, message, record{})
	case *wire.TimedOrder:
		m.handleOrder(now, o, &message.Order, record{predicted: message.Predicted})
	case *wire.RankedOrder:
		m.handleOrder(now, o, &message.Order.Order, rankedRecord(now, message))
	case *wire.RunCancel:
		for _, id := range message.Runs {
			if r := m.records[id]; r != nil && r.owner == o.id {
				m.cancel(now, r)
			}
		}
	case *wire.JobCancellation:
		m.cancelJob(now, message.Job)
	case *wire.CancellationRecords:
		m.cancelJobs(now, message)
	case *wire.OwnerGrant:
		if message.Sent <= now {
			o.confirm(message.Sent)
			o.expiresAt = max(o.expiresAt, message.Sent+OwnerTimeout)
		}
	}
}

// handleOrder queues or refuses the runs of an order. Those that the entry has ordered before are ignored. template holds the
// predicted run time and the rank of each task, if they are known.
func (m *Machine) handleOrder(now time.Duration, o *owner, order *wire.RunOrder, template record) {
	o.lastOrder = order.Sequence
	o.activeUntil = now + ownerActivePeriod
	m.demand.record(now, m.ownerList, o, len(order.Tasks))
	o.nextStateAt = min(o.nextStateAt, now+m.stateInterval(now, o))
	for _, t := range order.Tasks {
		id := order.ID(t)
		known := m.records[id]
		if known != nil && known.owner == o.id {
			continue
		}
		reason := m.refusalReason(now, o, id, order)
		if known != nil {
			reason = cmp.Or(reason, run.Conflict)
		}
		if reason != 0 {
			m.stats.count(run.Refused)
			o.pendingEnds = append(o.pendingEnds, run.End{ID: id, Outcome: run.Refused, Reason: reason})
			continue
		}
		m.arrival++
		r := template
		r.id, r.owner, r.spec, r.need, r.priority, r.arrival = id, o.id, order.Spec, order.Need, order.Priority, m.arrival
		r.queueDeadline = now + order.MaxWait
		m.records[id] = &r
		m.enqueue(&r)
	}
}

// maxRankDistance bounds the time between an order and its rank. Objectives are far shorter.
const maxRankDistance = time.Hour

// rankedRecord returns the template of the records of an order. A rank outside its bounds is ignored.
func rankedRecord(now time.Duration, message *wire.RankedOrder) record {
	r := record{predicted: message.Order.Predicted}
	if group := shedding.Group(message.Group); group <= shedding.Useless && message.In.Abs() <= maxRankDistance {
		r.ranked, r.rank = true, shedding.Rank{Group: group, At: now + message.In}
	}
	return r
}

func (m *Machine) refusalReason(now time.Duration, o *owner, id run.ID, order *wire.RunOrder) run.Reason {
	earlier := m.startedByTask[id.Task]
	switch {
	case m.isCancelled(now, id.Task.Job):
		return run.Cancelled
	case !m.acceptsStarts(now) || order.Service != m.worker.service:
		return run.Closed
	// An order that waited in the connection while this process was paused: the entry may count its runs as lost.
	case now >= o.expiresAt:
		return run.Closed
	// The first condition is true if a component of the need is negative.
	case !order.Need.Covers(job.Resources{}) || !m.worker.capacity.Covers(order.Need):
		return run.Unfit
	case earlier != nil || m.worker.unknownTasks[id.Task]:
		return run.Conflict
	case len(m.queue) >= maxQueued:
		return run.Busy
	}
	return 0
}

// enqueue inserts the record in the queue. The queue is sorted by rank if all of its records have one, and otherwise, while
// entries of the earlier release or without the order "cost" have runs in it, by priority, then by arrival.
func (m *Machine) enqueue(r *record) {
	ranked := !slices.ContainsFunc(m.queue, func(q *record) bool { return !q.ranked })
	compare := compareByPriority
	if ranked && r.ranked {
		compare = compareByRank
	}
	if ranked != r.ranked || ranked != m.queueRanked {
		slices.SortFunc(m.queue, compare)
	}
	m.queueRanked = ranked && r.ranked
	at, _ := slices.BinarySearchFunc(m.queue, r, compare)
	m.queue = slices.Insert(m.queue, at, r)
}

func compareByPriority(a, b *record) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

func compareByRank(a, b *record) int {
	return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(a.arrival, b.arrival))
}

// cancel stops a run that its owner has cancelled, or whose owner has expired.
func (m *Machine) cancel(now time.Duration, r *record) {
	switch r.phase {
	case waiting:
		m.endRun(now, r, run.Stopped, 0)
	case starting, unconfirmed:
		r.cancelRequested = true // stopped once the start call has returned
	case running:
		m.stop(r)
	}
}

// sendUpdates sends inventories, polls, ends and the worker's state to the entries.
func (m *Machine) sendUpdates(now time.Duration) {
	for _, o := range m.ownerList {
		if !o.connected {
			continue
		}
		if !o.inventorySent && m.allRunsKnown(now) {
			// The entry counts runs without an outcome as lost if the inventory does not list them.
			m.sendEnds(now, o)
			o.inventorySent = true
			m.send(o.id, m.inventory(o))
		}
		if now >= o.nextPollAt {
			o.nextPollAt = now + PollInterval
			m.send(o.id, &wire.OwnerPoll{Sent: now})
		}
		if !o.inventorySent {
			continue
		}
		m.sendState(now, o, m.sendEnds(now, o))
		m.sendSpeed(now, o)
	}
}

// sendEnds sends the pending outcomes and reports whether there were any.
func (m *Machine) sendEnds(now time.Duration, o *owner) bool {
	if len(o.pendingEnds) == 0 {
		return false
	}
	m.send(o.id, &wire.RunEnds{Ends: o.pendingEnds})
	for _, end := range o.pendingEnds {
		o.unconfirmed = append(o.unconfirmed, sentEnd{end: end, sentAt: now})
	}
	o.unconfirmed = o.unconfirmed[max(0, len(o.unconfirmed)-maxUnconfirmed):]
	o.pendingEnds = nil
	return true
}

func (m *Machine) inventory(o *owner) *wire.RunInventory {
	list := &wire.RunInventory{}
	for _, r := range m.runsOf(o.id) {
		list.Runs = append(list.Runs, r.id)
	}
	return list
}

// sendState sends the worker's state if it has changed. After ends it is sent immediately, because a
// message is sent anyway.
func (m *Machine) sendState(now time.Duration, o *owner, immediate bool) {
	state := m.state(now, o)
	if o.stateSent && sameState(&o.sentState, &state) {
		return
	}
	if !immediate && o.stateSent && o.sentState.Open == state.Open && now < o.nextStateAt {
		return
	}
	o.sentState, o.stateSent, o.nextStateAt = state, true, now+m.stateInterval(now, o)
	m.send(o.id, &state)
}

// stateInterval returns the minimum time between two reports to an entry.
func (m *Machine) stateInterval(now time.Duration, o *owner) time.Duration {
	if now >= o.activeUntil {
		return idleStateInterval
	}
	active := 0
	for _, other := range m.ownerList {
		if other.connected && now < other.activeUntil {
			active++
		}
	}
	return max(stateInterval, time.Duration(active)*stateIntervalPerOwner)
}

func sameState(a, b *wire.WorkerState) bool {
	return a.Service == b.Service && a.Rack == b.Rack && a.Capacity == b.Capacity && a.Free == b.Free &&
		slices.Equal(a.Waiting, b.Waiting) &&
		a.Open == b.Open && a.Failures == b.Failures && a.Orders == b.Orders && slices.Equal(a.Labels, b.Labels)
}

// eachOwnerDeadline calls consider with each time at which a poll or a state is due, or an owner
// expires.
func (m *Machine) eachOwnerDeadline(consider func(time.Duration)) {
	for _, o := range m.ownerList {
		if o.connected {
			consider(o.nextPollAt)
			if o.inventorySent && !m.stateUnchanged(o) {
				consider(o.nextStateAt)
			}
		}
		consider(o.expiresAt)
	}
}

// stateUnchanged reports whether the state, apart from Open, is the one last sent on the session. It also
// returns true if no state was sent on the session yet; the next call of Step sends it. Open depends on time, and
// eachWorkerDeadline covers the times at which it changes.
func (m *Machine) stateUnchanged(o *owner) bool {
	state := m.state(m.now, o)
	state.Open = o.sentState.Open
	return !o.stateSent || sameState(&o.sentState, &state)
}
