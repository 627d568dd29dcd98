package claim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
)

// TestAtMostOneOwner guards against two entries that start the same job. It runs many entries
// under loss, delay, duplication, reordering, pauses, crashes, changes of the list of entries and
// skewed clocks.
func TestAtMostOneOwner(t *testing.T) {
	owned := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.steps())
		owned += w.owned
	})
	t.Logf("claims granted: %d", owned)
	if owned == 0 {
		t.Fatal("the schedules granted no claim")
	}
}

func (w *world) pick(label string) *process {
	return w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(w.t, label)]
}

// steps are the moves of the simulated environment.
func (w *world) steps() map[string]func(*rapid.T) {
	deliver := func(t *rapid.T) {
		if len(w.flight) > 0 {
			w.deliver(rapid.IntRange(0, len(w.flight)-1).Draw(t, "message"))
		}
	}
	return map[string]func(*rapid.T){
		"submit": w.submitStep, "submit again": w.submitStep, "resubmit": w.submitStep,
		"deliver": deliver, "deliver more": deliver,
		"deliver all": w.deliverAll,
		"submit and deliver": func(t *rapid.T) {
			w.submitStep(t)
			w.deliverAll(t)
		},
		"drop": func(t *rapid.T) {
			if len(w.flight) > 0 {
				i := rapid.IntRange(0, len(w.flight)-1).Draw(t, "message")
				w.flight = slices.Delete(w.flight, i, i+1)
			}
		},
		"duplicate": func(t *rapid.T) {
			if len(w.flight) > 0 {
				w.flight = append(w.flight, w.flight[rapid.IntRange(0, len(w.flight)-1).Draw(t, "message")])
			}
		},
		"advance": func(t *rapid.T) { w.now += rapid.SampledFrom([]int64{1, 10, 60, 250, 1000}).Draw(t, "ms") },
		"advance far": func(t *rapid.T) {
			w.now += rapid.SampledFrom([]int64{2000, 3000, 5000, 13_000, 40_000}).Draw(t, "ms")
			if rapid.IntRange(0, 2).Draw(t, "renew") > 0 {
				w.renewAll()
			}
		},
		"tick": func(t *rapid.T) {
			if p := w.pick("process"); !p.paused {
				at := w.read(p)
				w.act(p, at, p.claimant.Step(at.Boot, claim.Tick{}))
			}
		},
		"renew": func(t *rapid.T) {
			if p := w.pick("process"); !p.paused {
				w.renew(p, rapid.Int64Range(0, 2900).Draw(t, "age"), rapid.Bool().Draw(t, "jump"))
			}
		},
		"renew all": func(*rapid.T) { w.renewAll() }, "renew all again": func(*rapid.T) { w.renewAll() },
		"pause": func(t *rapid.T) { w.pick("process").paused = rapid.IntRange(0, 3).Draw(t, "pause") == 0 },
		"read clock": func(*rapid.T) {
			p := w.pick("process")
			at := claim.Instant{Boot: w.bootOf(p), Wall: epochMillis + w.now + p.skew}
			p.held = &at
		},
		"set clock": func(t *rapid.T) { w.pick("process").skew = rapid.Int64Range(0, 5000).Draw(t, "skew") },
		"restart":   w.restart,
		"change entries": func(t *rapid.T) {
			gone := rapid.IntRange(0, 6).Draw(t, "without")
			if rapid.IntRange(0, 2).Draw(t, "change") > 0 {
				return
			}
			if list := w.entries(func(id string) bool { return id == fmt.Sprint("entry", gone) }); len(list) > 0 {
				w.accept(list)
			}
		},
		"add entry": func(t *rapid.T) {
			if len(w.processes) < 8 && rapid.IntRange(0, 2).Draw(t, "add") == 0 {
				w.spawn(fmt.Sprint("entry", len(w.processes)))
				w.accept(w.entries(nil))
			}
		},
	}
}

// deliverAll delivers what is under way, apart from messages to paused processes.
func (w *world) deliverAll(*rapid.T) {
	for range 200 {
		if len(w.flight) == 0 {
			return
		}
		w.deliver(0)
	}
}

// submitStep submits one of few ids, with a submission time near one of the bounds.
func (w *world) submitStep(t *rapid.T) {
	p := w.pick("process")
	if p.paused {
		return
	}
	request := claim.Requested{Key: job.Key{Organisation: "org", ID: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id"))}}
	request.SubmittedAt = epochMillis + w.now + p.skew + rapid.SampledFrom([]int64{0, 0, 4000, 5000, 9000, 10_000, -1000, -13_000, -19_999, -30_000}).Draw(t, "offset")
	if times := w.timesOf(request.Key); len(times) > 0 && rapid.IntRange(0, 3).Draw(t, "known") > 0 {
		request.SubmittedAt = rapid.SampledFrom(times).Draw(t, "time")
	}
	if rapid.IntRange(0, 9).Draw(t, "generated") == 0 {
		w.generated++
		request.Key.ID, request.Generated = fmt.Sprint("generated", w.generated), true
		request.SubmittedAt = epochMillis + w.now + p.skew
	}
	w.submit(p, request)
}

// timesOf lists the submission times with which an id was owned.
func (w *world) timesOf(key job.Key) []int64 {
	var times []int64
	for id := range w.owners {
		if id.key == key {
			times = append(times, id.at)
		}
	}
	slices.Sort(times)
	return times
}

// restart replaces a process by a new run without memory. The old run may go on as a suspended VM
// that resumes later.
func (w *world) restart(t *rapid.T) {
	p := w.pick("process")
	if len(w.processes) >= 14 || rapid.IntRange(0, 2).Draw(t, "restart") > 0 {
		return
	}
	w.spawn(p.self.EntryID)
	if rapid.Bool().Draw(t, "dead") {
		w.processes = slices.DeleteFunc(w.processes, func(o *process) bool { return o == p })
	} else {
		p.paused = true
	}
	if rapid.IntRange(0, 3).Draw(t, "join") > 0 {
		w.accept(w.entries(nil))
	}
}

// TestEveryClaimSucceedsWithoutFaults guards against a claim that blocks an id for good: without
// faults, of several entries that claim an id at once, one owns it.
func TestEveryClaimSucceedsWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		key := job.Key{Organisation: "org", ID: "contended"}
		for _, p := range w.processes {
			w.submit(p, claim.Requested{Key: key, SubmittedAt: epochMillis + w.now})
		}
		for range 400 {
			w.now += 5
			w.renewAll()
			for len(w.flight) > 0 {
				w.deliver(rapid.IntRange(0, len(w.flight)-1).Draw(t, "message"))
			}
			for _, p := range w.processes {
				at := w.read(p)
				w.act(p, at, p.claimant.Step(at.Boot, claim.Tick{}))
			}
			if w.owned > 0 {
				return
			}
		}
		t.Fatalf("no owner after %s", 2*time.Second)
	})
}
