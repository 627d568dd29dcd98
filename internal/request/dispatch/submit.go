package dispatch

import (
	"time"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/admission"
)

const (
	// unavailableRetryAfter is the suggested retry delay while the lease or all agents of an
	// upstream are missing, which usually ends with the election of a control leader or a reconnect.
	unavailableRetryAfter = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the suggested retry delay of shed and rejected tasks.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// submit queues the tasks of a submission or rejects it as a whole. A submission whose key is
// already known is ignored, so that a repeated event starts no task twice.
func (m *Machine) submit(now time.Duration, s *job.Submission) {
	if m.jobs[s.Key] != nil {
		return
	}
	c, err := m.validate(now, s)
	if err == nil {
		o := m.organisation(now, s.Key.Organisation)
		err = m.queue.Admit(&c.state, o, len(s.Tasks), func(item *admission.Item) { m.shedOverShare(now, item) })
	}
	if err != nil {
		m.reject(c, s, err)
		return
	}
	m.accept(now, c, s)
}

// validate returns the class of the submission, and an error if the submission cannot be accepted
// at present.
func (m *Machine) validate(now time.Duration, s *job.Submission) (*class, *failure.Error) {
	if m.catalog == nil || now >= m.leaseDeadline {
		return nil, failure.New(failure.Unavailable, "retry after the time in Retry-After",
			"the entry holds no configuration lease").WithRetryAfter(unavailableRetryAfter)
	}
	c := m.classes[s.Class]
	if c == nil || c.retired {
		return nil, failure.New(failure.InvalidArgument, "use a class that exists and is not retired", "class %q does not exist or is retired", s.Class)
	}
	if o, ok := m.catalog.Organisation(s.Key.Organisation); ok && o.Retired {
		return c, failure.New(failure.PermissionDenied, "ask an operator to restore the organisation", "organisation %q is retired", o.Name)
	}
	if len(s.Tasks) == 0 || len(s.Tasks) > job.MaxTasks {
		return c, failure.New(failure.InvalidArgument, "submit 1 to 110 tasks", "the job has %d tasks", len(s.Tasks))
	}
	if !c.upstream.available(now) {
		return c, failure.New(failure.Unavailable, "retry after the time in Retry-After",
			"no agent announces upstream %q", c.upstream.name).WithRetryAfter(unavailableRetryAfter)
	}
	for i := range s.Tasks {
		if need := s.Tasks[i].Need; !c.upstream.fits(now, need) {
			return c, failure.New(failure.NeverFits, "request no more than the largest worker has",
				"task %d needs %d thousandths of a processor, %d bytes and %d accelerators, more than any known worker has",
				i, need.MilliProcessors, need.MemoryBytes, need.Accelerators)
		}
	}
	return c, nil
}

func (m *Machine) reject(c *class, s *job.Submission, err *failure.Error) {
	switch err.Kind {
	case failure.Overloaded:
		m.stats.RejectedOverloaded++
	case failure.QuotaExceeded:
		m.stats.RejectedQuota++
	case failure.NeverFits:
		m.stats.RejectedNeverFits++
	case failure.Unavailable:
		m.stats.RejectedUnavailable++
	default:
		m.stats.RejectedInvalid++
	}
	if err.Kind == failure.Overloaded || err.Kind == failure.QuotaExceeded {
		err = err.WithRetryAfter(m.retryAfter(c))
	}
	if c != nil && err.Kind != failure.InvalidArgument && err.Kind != failure.PermissionDenied && err.Kind != failure.NeverFits {
		for range s.Tasks {
			c.state.RecordAnswer(false, true)
		}
	}
	m.emit(Rejected{Key: s.Key, Error: err})
}

// retryAfter estimates the time in which the present queue drains, assuming the mean run time of
// the class's upstream for all tasks.
func (m *Machine) retryAfter(c *class) time.Duration {
	queuedPerRunning := float64(m.queue.Queued()) / float64(max(1, m.queue.Running()))
	wait := time.Duration(queuedPerRunning * float64(c.upstream.pool.MeanRunTime))
	return max(minRetryAfter, min(maxRetryAfter, wait))
}

func (m *Machine) accept(now time.Duration, c *class, s *job.Submission) {
	j := &jobState{
		submission: s, class: c, acceptedAt: now,
		organisation: m.organisation(now, s.Key.Organisation),
		tasks:        make([]task, len(s.Tasks)), unfinished: len(s.Tasks),
	}
	m.jobs[s.Key] = j
	m.stats.Submitted += uint64(len(s.Tasks))
	if s.Kind == job.KindRequest {
		c.retryBudget.AddRequest()
	}
	deadline := now + c.state.Target
	for i := range j.tasks {
		t := &j.tasks[i]
		t.job, t.index = j, uint16(i)
		t.lane = m.lane(c, s.Tasks[i].Need)
		t.item.Value = t
		t.item.LatestStart = c.latestStart(deadline, s.Tasks[i].DeclaredRunTime)
		m.enqueue(t)
	}
}

// shedOverShare sheds all queued tasks of the job of a queued task, to make space for an organisation with fewer
// queued tasks.
func (m *Machine) shedOverShare(now time.Duration, item *admission.Item) {
	t := item.Value.(*task)
	m.stats.ShedOverShare += uint64(m.shedJob(now, t, failure.Overloaded,
		"shed before it was started: the queue is full and the organisation has the most queued tasks", m.retryAfter(t.job.class)))
}

// shedLate sheds the queued tasks that can probably no longer meet their target, together with the
// other queued tasks of their jobs.
func (m *Machine) shedLate(now time.Duration) {
	next, ok := m.queue.ShedLate(now, func(item *admission.Item) {
		t := item.Value.(*task)
		kind, message := m.shedReason(now, t)
		m.stats.ShedLate += uint64(m.shedJob(now, t, kind, message, m.retryAfter(t.job.class)))
	})
	m.nextShed = 0
	if ok {
		m.nextShed = next
	}
}

// shedReason returns the error kind and message for a queued task that was not started in time.
func (m *Machine) shedReason(now time.Duration, t *task) (failure.Kind, string) {
	switch {
	case now >= m.leaseDeadline:
		return failure.Unavailable, "not started in time, because the entry holds no configuration lease"
	case t.job.organisation.Rank() == admission.AtQuota:
		return failure.QuotaExceeded, "not started in time, because the organisation's quota is in use"
	case t.lane.upstream.pool.Len() == 0:
		return failure.Unavailable, "not started in time, because no agent announces its upstream"
	}
	return failure.Overloaded, "not started in time, because no slot was free"
}
