package entry

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/jobcheck"
	"pollenpaddle/internal/request/scheduler"
	"pollenpaddle/internal/version/catalog"
)

// jobChecks is the entry's state for submissions of jobs that another entry may have. It is accessed by the event loop only.
type jobChecks struct {
	machine   *jobcheck.Machine
	held      map[string][]restartableSubmitted // submissions that wait for a check, by job
	heldCount int
}

func newJobChecks(entry string) jobChecks {
	return jobChecks{machine: jobcheck.New(entry), held: map[string][]restartableSubmitted{}}
}

// awaitCheck holds a submission that needs a check before it is started. It returns false if the submission needs none, or
// is too late in any case.
func (e *Entry) awaitCheck(event restartableSubmitted) bool {
	c, s, now := &e.restartable.checks, event.submission, clock.SinceBoot()
	if c.machine.Checking(s.ID) {
		e.stepJobChecks(jobcheck.Tick{}) // an earlier check may have timed out
	}
	if s.WaitOver(now) || e.restartable.scheduler.Owns(s.ID) || !c.machine.Checking(s.ID) && !c.machine.Needed(now, s.ID, s.Delayed) {
		return false
	}
	if c.heldCount >= scheduler.DefaultQueueLimit {
		event.caller <- scheduler.UncheckedOnSubmission(s)
		return true
	}
	c.held[s.ID] = append(c.held[s.ID], event)
	c.heldCount++
	e.stepJobChecks(jobcheck.Submitted{Job: s.ID, Delayed: s.Delayed})
	return true
}

// takeHeld removes and returns the submissions that wait for the check of a job.
func (c *jobChecks) takeHeld(job string) []restartableSubmitted {
	held := c.held[job]
	delete(c.held, job)
	c.heldCount -= len(held)
	return held
}

// forgetChecked drops the submission of a caller that no longer waits for the check of its job, and reports whether there
// was one.
func (e *Entry) forgetChecked(event restartableAbandoned) bool {
	c := &e.restartable.checks
	held := c.takeHeld(event.job)
	left := slices.DeleteFunc(slices.Clone(held), func(h restartableSubmitted) bool { return h.caller == event.caller })
	if len(left) > 0 {
		c.held[event.job] = left
		c.heldCount += len(left)
	}
	if len(left) == 0 && len(held) > 0 {
		e.stepJobChecks(jobcheck.Dropped{Job: event.job})
	}
	return len(left) < len(held)
}

// stepJobChecks passes an event to the machine and executes the resulting actions.
func (e *Entry) stepJobChecks(event jobcheck.Event) {
	actions := e.restartable.checks.machine.Step(clock.SinceBoot(), event)
	if len(actions) == 0 {
		return
	}
	for _, action := range slices.Clone(actions) { // the actions may raise further events
		e.executeJobCheck(action)
	}
}

func (e *Entry) executeJobCheck(action jobcheck.Action) {
	c := &e.restartable.checks
	switch a := action.(type) {
	case jobcheck.Send:
		if s := e.peers[a.To]; s != nil {
			s.Send(a.Message)
		}
	case jobcheck.Start:
		for _, event := range c.takeHeld(a.Job) {
			if e.admitSubmission(event) { // the job may have been cancelled during the check
				e.startRestartable(event)
			}
		}
	case jobcheck.Refuse:
		for _, event := range c.takeHeld(a.Job) {
			logging.Log(e.config.Logger, logging.DelayedJobRefused, zap.String("job", a.Job), zap.String("queue", event.submission.Queue), zap.Error(a.Error))
			event.caller <- scheduler.ExpiredOnSubmission(event.submission, a.Error)
		}
	case jobcheck.GiveUp:
		logging.Log(e.config.Logger, logging.DelayedJobGivenUp, zap.String("job", a.Job))
		e.stepScheduler(scheduler.Cancelled{Job: a.Job})
	}
}

// receiveJobCheck passes a message of another entry to the machine. It returns false for other messages.
func (e *Entry) receiveJobCheck(from wire.Claimant, message wire.Message) bool {
	received := jobcheck.Received{From: from, Message: message}
	switch m := message.(type) {
	case *wire.JobCheck:
		received.Owned = e.hasJob(m.Job)
	case *wire.JobCheckAnswer, *wire.JobCheckEnded:
	default:
		return false
	}
	e.stepJobChecks(received)
	return true
}

// hasJob reports whether this entry has the job, or has lately given a verdict on it after which it must not run.
func (e *Entry) hasJob(id string) bool {
	j := &e.restartable
	switch j.verdicts[id].decided.Verdict {
	case scheduler.Completed, scheduler.Failed, scheduler.Rejected:
		return true
	}
	return j.scheduler.Knows(id) || slices.ContainsFunc(j.cancellations.held, func(h restartableSubmitted) bool { return h.submission.ID == id })
}

func (e *Entry) configureJobChecks(state *catalog.State) {
	configured := jobcheck.Configured{Revision: state.Revision}
	for _, listed := range state.Entries {
		configured.Entries = append(configured.Entries, listed.ID)
	}
	e.stepJobChecks(configured)
}

// wakeJobChecks runs the due timers of the machine and reports the jobs that are over.
func (e *Entry) wakeJobChecks(now time.Duration) {
	machine := e.restartable.checks.machine
	if due, ok := machine.NextWake(); ok && due <= now {
		e.stepJobChecks(jobcheck.Tick{})
	}
	for _, job := range machine.Running() {
		if !e.restartable.scheduler.Knows(job) {
			e.stepJobChecks(jobcheck.Over{Job: job})
		}
	}
}
