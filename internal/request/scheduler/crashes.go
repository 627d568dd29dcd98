package scheduler

import (
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/run"
)

const (
	// maxCrashes is the number of worker crashes under a task after which its job is given up.
	maxCrashes = 2
	// crashRetention is how long the crashes under the tasks of a job are remembered after the last one. It covers the
	// resubmissions of the job.
	crashRetention = time.Minute
	// maxCrashedTasks bounds the number of tasks whose crashes are remembered.
	maxCrashedTasks = 8192
)

// crashRecord counts the worker crashes under the tasks of restartable jobs. A crash is under a task if its worker may
// have crashed because of a run of the task.
type crashRecord struct {
	jobs  map[string]*jobCrashes
	tasks int // remembered tasks over all jobs
}

// jobCrashes counts the crashes under the tasks of one job.
type jobCrashes struct {
	tasks  map[taskIndex]int
	lastAt time.Duration
}

// taskIndex identifies a task within its job.
type taskIndex struct{ step, index uint16 }

func newCrashRecord() crashRecord { return crashRecord{jobs: map[string]*jobCrashes{}} }

// add counts a crash under a task, after a call of expire. If too many tasks are remembered, the jobs with the oldest crashes are forgotten.
func (c *crashRecord) add(now time.Duration, id run.TaskID) {
	key := taskIndex{id.Step, id.Index}
	if j := c.jobs[id.Job]; j == nil || j.tasks[key] == 0 {
		for c.tasks >= maxCrashedTasks {
			c.forget(c.oldestJob())
		}
		c.tasks++
	}
	j := c.jobs[id.Job]
	if j == nil {
		j = &jobCrashes{tasks: map[taskIndex]int{}}
		c.jobs[id.Job] = j
	}
	j.lastAt = now
	j.tasks[key]++
}

// oldestJob returns the job whose last crash is the earliest.
func (c *crashRecord) oldestJob() string {
	oldest, found := "", false
	for id, j := range c.jobs {
		if first := c.jobs[oldest]; !found || j.lastAt < first.lastAt || j.lastAt == first.lastAt && id < oldest {
			oldest, found = id, true
		}
	}
	return oldest
}

func (c *crashRecord) forget(job string) {
	if j := c.jobs[job]; j != nil {
		c.tasks -= len(j.tasks)
		delete(c.jobs, job)
	}
}

// acquit forgets the crashes under a task that has completed.
func (c *crashRecord) acquit(id run.TaskID) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	if key := (taskIndex{id.Step, id.Index}); j.tasks[key] > 0 {
		delete(j.tasks, key)
		c.tasks--
	}
	if len(j.tasks) == 0 {
		delete(c.jobs, id.Job)
	}
}

// worst returns the largest number of crashes under one task of a job.
func (c *crashRecord) worst(now time.Duration, job string) int {
	j := c.jobs[job]
	if j == nil || now-j.lastAt > crashRetention {
		return 0
	}
	worst := 0
	for _, count := range j.tasks {
		worst = max(worst, count)
	}
	return worst
}

// suspected reports whether a crash under the task is remembered, after a call of expire.
func (c *crashRecord) suspected(id run.TaskID) bool {
	j := c.jobs[id.Job]
	return j != nil && j.tasks[taskIndex{id.Step, id.Index}] > 0
}

// expire forgets the crashes that are older than crashRetention.
func (c *crashRecord) expire(now time.Duration) {
	for id, j := range c.jobs {
		if now-j.lastAt > crashRetention {
			c.forget(id)
		}
	}
}

// receiveCrash handles the report of an agent that its worker has crashed.
func (m *Machine) receiveCrash(now time.Duration, a *agent, message *wire.WorkerCrash) {
	var reports []*wire.TaskCrashes
	byQueue := map[string]*wire.TaskCrashes{}
	for i, id := range message.Runs {
		t := m.activeTask(a, id)
		if t == nil || t.crashReported {
			continue
		}
		t.crashReported = true
		queue := t.job.submission.Queue
		report := byQueue[queue]
		if report == nil {
			report = &wire.TaskCrashes{Agent: a.id.ID, Queue: queue}
			byQueue[queue], reports = report, append(reports, report)
		}
		report.Tasks = append(report.Tasks, id.Task)
		if i < len(message.Ages) {
			report.Ages = append(report.Ages, message.Ages[i])
		}
	}
	for _, report := range reports {
		m.emit(ShareCrashes{Report: report})
		m.recordCrash(now, report)
	}
}

// activeTask returns the task of a run that is active at the agent, or nil.
func (m *Machine) activeTask(a *agent, id run.ID) *task {
	j := m.jobs[id.Task.Job]
	if j == nil {
		return nil
	}
	if t := j.findTask(id); t != nil && t.agent == a {
		return t
	}
	return nil
}

// recordCrash counts a crash under the tasks of a report of this entry or of another one, and gives up their jobs if
// there were too many.
func (m *Machine) recordCrash(now time.Duration, report *wire.TaskCrashes) {
	m.stats.TaskCrashes += uint64(len(report.Tasks))
	m.crashes.expire(now)
	m.blame.add(now, report, m.crashes.suspected)
	for _, id := range report.Tasks {
		m.crashes.add(now, id)
	}
	for _, id := range report.Tasks {
		if j := m.jobs[id.Job]; j != nil && !j.hasVerdict {
			m.giveUpIfCrashed(now, j)
		}
	}
}

// giveUpIfCrashed gives a job the verdict Failed if maxCrashes workers have crashed under one of its tasks, and reports
// whether it did.
func (m *Machine) giveUpIfCrashed(now time.Duration, j *jobState) bool {
	j.summary.Crashes = m.crashes.worst(now, j.submission.ID)
	if j.summary.Crashes < maxCrashes {
		return false
	}
	m.stats.GivenUp++
	m.setVerdict(now, j, Failed, nil)
	return true
}

// refuseGivenUp gives a resubmission the verdict Failed if its job was given up, and reports whether it did.
func (m *Machine) refuseGivenUp(now time.Duration, s *Submission) bool {
	crashes := m.crashes.worst(now, s.ID)
	if crashes < maxCrashes {
		return false
	}
	m.stats.Submitted++
	m.stats.GivenUp++
	m.stats.count(Failed)
	tasks := 0
	for _, step := range s.Steps {
		tasks += step.Count
	}
	m.emit(Decided{Job: s.ID, Verdict: Failed, Summary: JobSummary{
		Queue: s.Queue, Tasks: tasks, Age: now - s.waitStart(now), FirstRun: -1, Waiting: tasks, Crashes: crashes,
	}})
	return true
}
