package scheduler

import (
	"slices"
	"time"

	"pollenpaddle/internal/model/job"
)

const (
	// orderPatience is how long a run may wait at its agent for room. A worker with ten runs of 200 ms
	// frees room for one every 20 ms.
	orderPatience = 80 * time.Millisecond
	// roundTrip is the part of a job's time that is spent between caller, entry, agent and worker.
	roundTrip = 14 * time.Millisecond
	// maxAgentWait is the predicted wait for room at an agent above which a run stays at its entry, for
	// the most urgent priority; agentWaitStep is by how much the divisor of it grows with each priority.
	// Urgent runs get the room that is freed; the others would only wait there, be refused after
	// orderPatience and end late, the more so the more entries send them.
	maxAgentWait  = 30 * time.Millisecond
	agentWaitStep = 4
	// lookInterval is the time between two looks at a job whose tasks run or wait.
	lookInterval = 25 * time.Millisecond
	// lateProgress is the mean ratio of elapsed to predicted time over the runs of an agent from which
	// it counts as slow. Runs under way are half done on average.
	lateProgress = 1.3
	// equalFinish is the difference in predicted ends below which the choice is by room.
	equalFinish = 1.15
)

// place orders runs for waiting tasks while agents have room.
func (m *Machine) place(now time.Duration) {
	var full []blockedNeed
	for i := 0; i < len(m.waiting); {
		j := m.waiting[i]
		started := j.started()
		m.placeJob(now, j, &full)
		switch {
		case j.unplaced == 0:
			m.waiting = slices.Delete(m.waiting, i, i+1)
		case started != j.started():
			// A job moves to the front with its first run. Those before it have been served.
			m.waiting = slices.Delete(m.waiting, i, i+1)
			m.enqueue(j)
			i++
		default:
			i++
		}
	}
}

// planned is a run that is about to be ordered.
type planned struct {
	task  *task
	agent *agent
	need  job.Resources
}

// blockedNeed is a need that no agent of a service has room for in this step, and for no less urgent
// job either.
type blockedNeed struct {
	service  string
	priority int
	need     job.Resources
}

// placeJob plans runs for the waiting tasks of a job and orders them. A job begins only if all of
// its tasks, or as many as there are agents that take runs, can be placed at once: its answer needs the
// last of them, and the others would hold room that narrower jobs can use.
func (m *Machine) placeJob(now time.Duration, j *jobState, full *[]blockedNeed) {
	m.plan = m.plan[:0]
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.agent != nil {
			continue
		}
		need := j.submission.Steps[t.step].Need
		if isBlocked(*full, j.submission, need) {
			break
		}
		a := m.choose(now, t)
		if a == nil {
			*full = append(*full, blockedNeed{service: j.submission.Service, priority: j.submission.Priority, need: need})
			break
		}
		m.plan = append(m.plan, planned{task: t, agent: a, need: need})
		a.planned++
	}
	for _, p := range m.plan {
		p.agent.planned = 0
	}
	if !j.started() && len(m.plan) < j.unplaced && len(m.plan) < max(1, m.openAgents(now, j.submission.Service)) {
		m.plan = m.plan[:0]
		return
	}
	plan := m.plan
	m.plan = nil
	for _, p := range plan {
		m.orderRun(now, p.task, p.agent)
	}
	m.plan = plan[:0]
}

// openAgents counts the agents of a service that take runs, whatever their room.
func (m *Machine) openAgents(now time.Duration, service string) int {
	n := 0
	for _, a := range m.order {
		if a.state.Service == service && m.closure(now, a) == Open {
			n++
		}
	}
	return n
}

func isBlocked(full []blockedNeed, s *Submission, need job.Resources) bool {
	return slices.ContainsFunc(full, func(b blockedNeed) bool {
		return b.service == s.Service && b.priority <= s.Priority && need.Fits(b.need)
	})
}

// orderRun orders a run of the task on the agent.
func (m *Machine) orderRun(now time.Duration, t *task, a *agent) {
	j := t.job
	t.number++
	t.agent, t.ordered, t.stopSent = a, now, false
	t.predicted = m.predict(t, a)
	a.tasks[t] = struct{}{}
	j.unplaced--
	m.queue(j.submission.Queue).flow.change(now, -1, 1)
	j.underWay++
	if j.facts.Orders == 0 {
		j.facts.FirstRun = now - j.accepted
	}
	j.facts.Orders++
	m.stats.Orders++
	m.addOrder(a, t)
	m.wakeAt(now + lookInterval)
}

// predict is the probable run time of a task on an agent.
func (m *Machine) predict(t *task, a *agent) time.Duration {
	base := m.queue(t.job.submission.Queue).runs.predict(t.expected())
	return time.Duration(float64(base) * a.slownessNow(m.now))
}

// slownessNow also takes into account runs that are overdue.
func (a *agent) slownessNow(now time.Duration) float64 {
	factor := a.speed.slowness(now)
	progress, runs := 0.0, 0
	for t := range a.tasks {
		if t.predicted > 0 && !t.stopSent {
			progress += float64(now-t.ordered-a.roundTrip) / float64(t.predicted)
			runs++
		}
	}
	if runs >= minOverdue && progress > lateProgress*float64(runs) {
		factor *= progress / float64(runs)
	}
	return factor
}

// ordered is what this entry has ordered at the agent beyond its reported state.
func (m *Machine) ordered(a *agent) (need job.Resources) {
	for _, o := range a.pending {
		need = job.Sum(need, o.need)
	}
	for _, p := range m.plan {
		if p.agent == a {
			need = job.Sum(need, p.need)
		}
	}
	for _, o := range m.orders {
		if o.agent == a {
			need = job.Sum(need, scale(o.job.submission.Steps[o.need].Need, len(o.tasks)))
		}
	}
	return need
}

// room is what an entry knows of the room at an agent for one run.
type room struct {
	ok   bool
	wait time.Duration // for room; zero if there is some
	free int64         // processors left beside the run, in thousandths
}

// roomAt tells whether a run may be sent to the agent. An entry has at most one run of each priority
// waiting at each agent, so that the agent, which serves by priority, can choose between entries and
// a freed room is used at once. No run is sent to wait there for longer than that takes.
func (m *Machine) roomAt(a *agent, need job.Resources, priority int) room {
	free := job.Difference(a.state.Free, m.ordered(a))
	waits := !free.Fits(job.Resources{})
	for _, w := range a.state.Waiting {
		if w.Priority <= priority {
			free = job.Difference(free, w.Need)
			waits = waits || w.Own
		}
	}
	if free.Fits(need) {
		return room{ok: true, free: free.MilliProcessors - need.MilliProcessors}
	}
	capacity := a.state.Capacity.MilliProcessors
	if waits || capacity <= 0 {
		return room{}
	}
	missing := max(1, need.MilliProcessors-free.MilliProcessors)
	wait := time.Duration(float64(missing) / float64(capacity) * float64(m.meanRun()))
	return room{ok: wait <= maxAgentWait/time.Duration(1+agentWaitStep*priority), wait: wait, free: -missing}
}

// meanRun is the mean time that a run holds its room, over all queues.
func (m *Machine) meanRun() time.Duration {
	if m.held == 0 {
		return defaultRun
	}
	return m.held
}

// choose returns the agent for a task: the one with the earliest predicted end. Without one the task
// waits at the entry. The agent where its last run failed or got lost is taken only if there is no
// other one, whether that has room or not.
func (m *Machine) choose(now time.Duration, t *task) *agent {
	s := t.job.submission
	need := s.Steps[t.step].Need
	var best *agent
	var bestFinish time.Duration
	var bestRoom room
	avoided, others := false, false
	for _, a := range m.order {
		if a.state.Service != s.Service || !m.open(now, a) || !a.state.Capacity.Fits(need) {
			continue
		}
		if a == t.avoid {
			avoided = true
			continue
		}
		others = true
		r := m.roomAt(a, need, s.Priority)
		if !r.ok || now < a.blockedUntil {
			continue
		}
		finish := a.roundTrip + r.wait + m.predict(t, a)
		switch {
		case best == nil, r.wait == 0 && bestRoom.wait > 0:
		case r.wait > 0 && bestRoom.wait == 0:
			continue // a run waits only if no agent has room
		case !better(finish, r.free, bestFinish, bestRoom.free, m.random.Uint32()):
			continue
		}
		best, bestFinish, bestRoom = a, finish, r
	}
	if avoided && !others && m.roomAt(t.avoid, need, s.Priority).ok {
		return t.avoid
	}
	return best
}

// better compares two agents by the predicted end, and by room where the ends are close.
func better(finish time.Duration, free int64, bestFinish time.Duration, bestFree int64, chance uint32) bool {
	a, b := float64(finish), float64(bestFinish)
	switch {
	case a*equalFinish < b:
		return true
	case b*equalFinish < a:
		return false
	case free != bestFree:
		return free > bestFree
	}
	return chance%2 == 0
}
