package admission

import (
	"slices"
	"time"
)

// compactThreshold is the number of removed tasks that are deleted one by one from the head of a
// backlog before the whole backlog is compacted at once, which costs less per task.
// Remove compacts only backlogs with more elements than this.
const compactThreshold = 64

// Prune removes idle lanes and organisations if there are more than these.
const (
	pruneLanesAbove         = 256
	pruneOrganisationsAbove = 1024
)

// Limits bound the queued tasks of the entry, of each organisation and of each class.
type Limits struct{ Total, Organisation, Class int }

// Rank compares the running tasks of an organisation with its fair share and its quota.
type Rank uint8

// The ranks, in the order in which tasks are taken.
const (
	BelowShare Rank = iota
	AtShare         // has reached its fair share
	AtQuota         // uses its whole quota; its queued tasks are not taken until one of its tasks ends
)

// Item is one queued task. The owner sets Value and LatestStart before Push.
type Item struct {
	Value       any
	LatestStart time.Duration // latest start time with which the task can still meet its target

	backlog  *backlog
	sequence uint64
	position int  // within the backlog's heap; valid while queued
	queued   bool // false after Take or Remove
}

// Lane returns the lane of a queued task.
func (i *Item) Lane() *Lane { return i.backlog.lane }

// Queued reports whether the task is queued: pushed, and neither taken nor removed since.
func (i *Item) Queued() bool { return i.queued }

// Organisation is the state of one organisation at this entry. Ties between organisations are
// decided by the order of arrival, never by name.
type Organisation struct {
	Name      string
	Allowance int // bound on Running by the quota; negative without a quota

	running  int
	queued   int
	rank     Rank
	backlogs []*backlog
}

// Running returns the number of open starts: started tasks without an outcome.
func (o *Organisation) Running() int { return o.running }

// Queued returns the number of queued tasks.
func (o *Organisation) Queued() int { return o.queued }

// Rank returns the rank as of the last change of its running tasks, its allowance or the fair
// level.
func (o *Organisation) Rank() Rank { return o.rank }

// Lane holds the queued tasks of one class that have similar resource needs and so can run on the
// same agents.
type Lane struct {
	Class *ClassState
	Owner any
	// Removed is set when Prune has removed the lane.
	Removed bool

	queued   int
	backlogs heap[*backlog]
}

// Queued returns the number of queued tasks.
func (l *Lane) Queued() int { return l.queued }

// backlog holds the queued tasks of one organisation in one lane.
type backlog struct {
	lane         *Lane
	organisation *Organisation
	items        heap[*Item]
	queued       int // tasks in items that are not removed
	position     int // within the lane's heap, -1 outside
}

// Queue holds all queued tasks of an entry.
type Queue struct {
	limits        Limits
	organisations map[string]*Organisation
	byArrival     []*Organisation
	lanes         []*Lane
	queued        int
	running       int
	sequence      uint64
	fairLevel     int
	headroomUntil time.Duration // time until which LeavesHeadroom applies
	demands       []int
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits, organisations: map[string]*Organisation{}, fairLevel: -1}
}

// Queued returns the number of queued tasks.
func (q *Queue) Queued() int { return q.queued }

// Running returns the number of started tasks without an outcome.
func (q *Queue) Running() int { return q.running }

// Organisations returns the organisations in order of arrival. The slice must not be changed.
func (q *Queue) Organisations() []*Organisation { return q.byArrival }

// Organisation returns the organisation of the given name, adding it without a quota if needed.
func (q *Queue) Organisation(name string) *Organisation {
	o := q.organisations[name]
	if o == nil {
		o = &Organisation{Name: name, Allowance: -1}
		q.organisations[name] = o
		q.byArrival = append(q.byArrival, o)
	}
	return o
}

// NewLane adds a lane.
func (q *Queue) NewLane(class *ClassState, owner any) *Lane {
	l := &Lane{Class: class, Owner: owner}
	l.backlogs = heap[*backlog]{less: backlogLess, setPosition: func(b *backlog, position int) { b.position = position }}
	q.lanes = append(q.lanes, l)
	return l
}

// Prune removes lanes and organisations without tasks if there are many of them. The owner must
// create a new lane if Lane.Removed is set, and must not keep organisations without tasks.
func (q *Queue) Prune() {
	if len(q.lanes) > pruneLanesAbove {
		q.lanes = slices.DeleteFunc(q.lanes, func(l *Lane) bool {
			l.Removed = l.queued == 0
			return l.Removed
		})
		for _, o := range q.byArrival {
			o.backlogs = slices.DeleteFunc(o.backlogs, func(b *backlog) bool { return b.lane.Removed })
		}
	}
	if len(q.byArrival) > pruneOrganisationsAbove {
		q.byArrival = slices.DeleteFunc(q.byArrival, func(o *Organisation) bool {
			idle := o.running == 0 && o.queued == 0
			if idle {
				delete(q.organisations, o.Name)
			}
			return idle
		})
	}
}

// Push queues a task. The caller must have called Admit, except to put back a task that it has taken,
// for example because its start was refused.
func (q *Queue) Push(l *Lane, o *Organisation, item *Item) {
	b := o.backlog(l)
	if item.sequence == 0 {
		q.sequence++
		item.sequence = q.sequence
	}
	item.backlog, item.queued = b, true
	b.items.push(item)
	b.queued++
	l.queued++
	l.Class.queued++
	o.queued++
	q.queued++
	if b.position < 0 {
		l.backlogs.push(b)
	} else if item.position == 0 {
		l.backlogs.fix(b.position)
	}
}

func (o *Organisation) backlog(l *Lane) *backlog {
	for _, b := range o.backlogs {
		if b.lane == l {
			return b
		}
	}
	b := &backlog{lane: l, organisation: o, position: -1}
	b.items = heap[*Item]{less: itemLess, setPosition: func(i *Item, position int) { i.position = position }}
	o.backlogs = append(o.backlogs, b)
	return b
}

func itemLess(a, b *Item) bool {
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.sequence < b.sequence
}

func backlogLess(a, b *backlog) bool { return precedes(a, b, 0, 0) }

// precedes orders backlogs: those of organisations below their share first, by the latest start of
// their most urgent task; then those at or above it, by the number of running tasks. The boosts are
// subtracted from the latest starts.
func precedes(a, b *backlog, boostA, boostB time.Duration) bool {
	rankA, rankB := a.organisation.rank, b.organisation.rank
	if rankA != rankB {
		return rankA < rankB
	}
	if rankA == AtShare && a.organisation.running != b.organisation.running {
		return a.organisation.running < b.organisation.running
	}
	headA, headB := a.items.elements[0], b.items.elements[0]
	if latestA, latestB := headA.LatestStart-boostA, headB.LatestStart-boostB; latestA != latestB {
		return latestA < latestB
	}
	return headA.sequence < headB.sequence
}

// Next returns the task to start next among the lanes that skip does not exclude, or nil. The task
// stays queued until Take.
func (q *Queue) Next(skip func(*Lane) bool) *Item {
	var best *backlog
	for _, l := range q.lanes {
		if l.queued == 0 || skip(l) {
			continue
		}
		b := l.head()
		if b == nil || b.organisation.rank == AtQuota {
			continue
		}
		if best == nil || precedes(b, best, l.Class.boost, best.lane.Class.boost) {
			best = b
		}
	}
	if best == nil {
		return nil
	}
	return best.items.elements[0]
}

// head returns the first backlog of the lane, after deleting removed tasks from its head.
func (l *Lane) head() *backlog {
	for len(l.backlogs.elements) > 0 {
		b := l.backlogs.elements[0]
		if b.items.elements[0].queued {
			return b
		}
		b.dropRemoved()
	}
	return nil
}

// dropRemoved deletes removed tasks from the head of the backlog.
func (b *backlog) dropRemoved() {
	for dropped := 0; len(b.items.elements) > 0 && !b.items.elements[0].queued; dropped++ {
		if dropped == compactThreshold {
			b.compact()
			break
		}
		b.items.remove(0)
	}
	b.reposition()
}

// compact deletes all removed tasks from the backlog.
func (b *backlog) compact() {
	b.items.elements = slices.DeleteFunc(b.items.elements, func(i *Item) bool { return !i.queued })
	b.items.rebuild()
}

// reposition restores the order of the lane's heap after a change of the backlog's head or rank.
func (b *backlog) reposition() {
	switch {
	case b.position < 0:
	case len(b.items.elements) == 0:
		b.lane.backlogs.remove(b.position)
	default:
		b.lane.backlogs.fix(b.position)
	}
}

// Take removes a queued task that is to be started.
func (q *Queue) Take(item *Item) {
	b := item.backlog
	q.removeFromCounts(item)
	head := item.position == 0
	b.items.remove(item.position)
	if head {
		b.dropRemoved()
	}
}

// Remove removes a queued task that is cancelled or shed, in constant amortised time: the task is only
// marked, and deleted from its backlog when it reaches the head or when more than half of the backlog is
// marked.
func (q *Queue) Remove(item *Item) {
	if !item.queued {
		return
	}
	q.removeFromCounts(item)
	if b := item.backlog; len(b.items.elements) > compactThreshold && b.queued < len(b.items.elements)/2 {
		b.compact()
		b.reposition()
	}
}

func (q *Queue) removeFromCounts(item *Item) {
	b := item.backlog
	item.queued = false
	b.queued--
	b.lane.queued--
	b.lane.Class.queued--
	b.organisation.queued--
	q.queued--
}
