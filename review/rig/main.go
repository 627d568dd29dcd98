//go:build review

// Command rig starts a small deployment of pollenpaddle on loopback addresses, with stand-ins for the platform around
// it, and plays one case of the review. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site nvs-sched.
const (
	contact    = 3 * time.Second
	evacuate   = 5 * time.Second
	maxStretch = 5 * time.Second
	cancelTime = 3 * time.Second
)

// play is a case: it returns what broke the rule, an empty text if nothing did.
type play func(d *deployment, trouble bool) (broken string, err error)

var plays = map[string]play{
	"evacuation": playEvacuation, "cancel": playCancel, "late-start": playLateStart, "cancel-before-submission": playCancelBeforeSubmission,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.stop()
	if err := d.startAll(); err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r.add("all entries are ready")
	broken, err := p(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken != "":
		r.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	if ended := d.ended(); len(ended) > 0 {
		r.add("ended by themselves: %v", ended)
		fmt.Println("ended by themselves:", ended)
		return 1
	}
	r.add("the rule held")
	fmt.Println("held")
	return 0
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// traffic sends small jobs to all entries in turn until done is closed.
func (d *deployment) traffic(done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		m := d.front[i%len(d.front)]
		go d.request(m, "POST", newJobID(), jobBody(4, 6200, 60*time.Millisecond), 1500*time.Millisecond)
	}
}

// playEvacuation: a zone is evacuated, taken back and evacuated again, while one control machine stands still. The
// order that takes the zone back reaches that machine first and is sent again to another one.
func playEvacuation(d *deployment, trouble bool) (string, error) {
	const freeze = 2 * time.Second
	zone, frozen := "orebro", d.core[1]
	done := make(chan struct{})
	defer close(done)
	go d.traffic(done)
	if err := d.order("POST", names.Evacuate+zone, nil, d.core[0]); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.signal(frozen, syscall.SIGSTOP)
	}
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	if err := d.order("POST", names.TakeBack+zone, nil, frozen); err != nil {
		return "", err
	}
	time.Sleep(700 * time.Millisecond)
	if err := d.order("POST", names.Evacuate+zone, nil, d.core[2]); err != nil {
		return "", err
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(began.Add(freeze)))
	if trouble {
		d.signal(frozen, syscall.SIGCONT)
	}
	judgedFrom := acknowledged.Add(evacuate + maxStretch)
	if stable := time.Now().Add(contact); stable.After(judgedFrom) {
		judgedFrom = stable
	}
	time.Sleep(time.Until(judgedFrom.Add(5 * time.Second)))
	for _, w := range d.workers {
		if starts := w.startsSince(judgedFrom, ""); w.zone == zone && len(starts) > 0 {
			return fmt.Sprintf("EVAC: %d tasks were started in %s later than %v after its evacuation was acknowledged; the first is %v, %.1f s after",
				len(starts), zone, evacuate+maxStretch, starts[0], starts[0].at.Sub(acknowledged).Seconds()), nil
		}
	}
	return "", nil
}

// playCancel: a job is cancelled at another entry while the entry that runs it stands still.
func playCancel(d *deployment, trouble bool) (string, error) {
	const freeze = 3500 * time.Millisecond
	owner, other := d.front[0], d.front[1]
	id := newJobID()
	answered := make(chan answer, 1)
	go func() {
		answered <- d.request(owner, "POST", id, jobBody(32, 6200, 1200*time.Millisecond), 20*time.Second)
	}()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.signal(owner, syscall.SIGSTOP)
	}
	began := time.Now()
	time.Sleep(3200 * time.Millisecond)
	return d.judgeCancel(id, owner, other, trouble, began.Add(freeze), answered)
}

// judgeCancel cancels the job at the other entry, lets the owner continue at the given time, and returns the starts that
// break the rule.
func (d *deployment) judgeCancel(id string, owner, other *machine, trouble bool, wake time.Time, answered <-chan answer) (string, error) {
	cancelled := d.request(other, "DELETE", id, nil, time.Second)
	acknowledged := time.Now()
	if cancelled.status/100 != 2 && cancelled.status != 410 {
		return "", fmt.Errorf("the cancelling was not acknowledged: %d %v", cancelled.status, cancelled.err)
	}
	time.Sleep(time.Until(wake))
	if trouble {
		d.signal(owner, syscall.SIGCONT)
	}
	// Judged only from the time on at which the machine that stood still is in touch again, too.
	judgedFrom := acknowledged.Add(cancelTime)
	if inTouch := time.Now().Add(contact); inTouch.After(judgedFrom) {
		judgedFrom = inTouch
	}
	select {
	case <-answered:
	case <-time.After(18 * time.Second):
	}
	time.Sleep(time.Until(judgedFrom.Add(time.Second)))
	count, first := 0, ""
	for _, w := range d.workers {
		for _, s := range w.startsSince(judgedFrom, id+".") {
			if count++; first == "" {
				first = fmt.Sprintf("%v, %.1f s after", s, s.at.Sub(acknowledged).Seconds())
			}
		}
	}
	if count > 0 {
		return fmt.Sprintf("UNASKED: %d tasks of job %s were started later than %v after its cancelling was acknowledged; one is %s", count, id, cancelTime, first), nil
	}
	return "", nil
}

// playLateStart: a worker leaves the start of a task unanswered, crashes, starts again under its id, and carries the
// start out then.
func playLateStart(d *deployment, trouble bool) (string, error) {
	done := make(chan struct{})
	defer close(done)
	go d.traffic(done)
	time.Sleep(2 * time.Second)
	id := newJobID()
	var mu sync.Mutex
	var late *worker
	for _, w := range d.workers {
		w.mu.Lock()
		w.leaveLate = func(task string) bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || late != nil || !strings.HasPrefix(task, id+".") {
				return false
			}
			late = w
			return true
		}
		w.mu.Unlock()
	}
	answered := make(chan answer, 1)
	go func() {
		answered <- d.request(d.front[0], "POST", id, jobBody(1, 6200, 3600*time.Millisecond), 10*time.Second)
	}()
	time.Sleep(400 * time.Millisecond)
	mu.Lock()
	w := late
	mu.Unlock()
	if trouble && w == nil {
		return "", errors.New("no start of the job has arrived")
	}
	if trouble {
		w.crash()
		time.Sleep(1800 * time.Millisecond)
		w.restart()
	}
	<-answered
	time.Sleep(time.Second)
	var runs []finishedRun
	for _, w := range d.workers {
		for _, r := range w.runs() {
			if strings.HasPrefix(r.task, id+".") {
				runs = append(runs, r)
			}
		}
	}
	for i, a := range runs {
		for _, b := range runs[:i] {
			if from, to := later(a.from, b.from), earlier(a.to, b.to); from.Before(to) {
				return fmt.Sprintf("TWICE: run %d of %s in %s and run %d in %s were in progress at the same time for %d ms",
					b.number, a.task, b.zone, a.number, a.zone, to.Sub(from).Milliseconds()), nil
			}
		}
	}
	return "", nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// playCancelBeforeSubmission: a job waits at an entry that stands still while another entry acknowledges its cancelling.
func playCancelBeforeSubmission(d *deployment, trouble bool) (string, error) {
	const freeze = 3500 * time.Millisecond
	owner, other := d.front[0], d.front[1]
	id := newJobID()
	if trouble {
		d.signal(owner, syscall.SIGSTOP)
	}
	began := time.Now()
	time.Sleep(100 * time.Millisecond)
	answered := make(chan answer, 1)
	go func() {
		answered <- d.request(owner, "POST", id, jobBody(32, 6200, 1200*time.Millisecond), 20*time.Second)
	}()
	time.Sleep(3 * time.Second)
	return d.judgeCancel(id, owner, other, trouble, began.Add(freeze), answered)
}
