package scheduler

import "time"

const (
	// flowWindow is the time over which placements are counted while jobs wait.
	flowWindow = 50 * time.Millisecond
	// flowWeight is the weight of the newest window in the learned flow.
	flowWeight = 0.3
	// minBusyWindows is how long a queue has to be busy before its flow counts. A short wait on a
	// normal day places few runs and shows no overload.
	minBusyWindows = 3
	// admitShare is the part of the time before its latest start, in percent, that a new job may be
	// expected to wait. The rest is for more urgent jobs that arrive later.
	admitShare = 60
)

// flow learns how many runs of a queue an entry can place per second while jobs of the queue wait for
// room. It answers the load under which the queue grows: a job that would wait too long is refused on
// arrival, so that those accepted before it start early enough. Without it every job waits until it
// is almost late.
type flow struct {
	perSecond float64 // zero until a window has been full of waiting jobs
	busy      int     // windows in a row in which jobs have waited all the time
	since     time.Duration
	placed    int
	waiting   int  // tasks of the queue that wait
	idle      bool // none waited at some time in the window
}

// change counts tasks that begin or end to wait; placed tells which of them got a run.
func (f *flow) change(now time.Duration, tasks, placed int) {
	f.roll(now)
	f.waiting += tasks
	f.placed += placed
	f.idle = f.idle || f.waiting <= 0
}

// roll ends a window that is over.
func (f *flow) roll(now time.Duration) {
	elapsed := now - f.since
	if elapsed < flowWindow {
		return
	}
	f.busy++
	if f.idle {
		f.busy = 0
	} else {
		rate := float64(f.placed) / elapsed.Seconds()
		if f.perSecond == 0 {
			f.perSecond = rate
		}
		f.perSecond += flowWeight * (rate - f.perSecond)
	}
	f.since, f.placed, f.idle = now, 0, f.waiting <= 0
}

// overloaded reports whether jobs of the queue have waited all the time for a while.
func (f *flow) overloaded() bool { return f.busy >= minBusyWindows }

// wait is the time in which the waiting tasks and the given number of others are placed; zero if
// nothing waits or it is not known.
func (f *flow) wait(now time.Duration, tasks int) time.Duration {
	f.roll(now)
	if f.waiting <= 0 || f.perSecond <= 0 || !f.overloaded() {
		return 0
	}
	return time.Duration(float64(f.waiting+tasks) / f.perSecond * float64(time.Second))
}

// wouldBeLate reports whether a new job would probably miss its objective because of those that wait.
func (m *Machine) wouldBeLate(now time.Duration, j *jobState) bool {
	wait := m.queue(j.submission.Queue).flow.wait(now, len(j.tasks))
	return wait > 0 && wait > (j.latest-now)*admitShare/100
}
