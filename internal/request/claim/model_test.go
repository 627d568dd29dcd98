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

// TestAtMostOneOwner guards against two entries that own the same job id and both start the job. It
// simulates several entries with message loss, delay, duplication and reordering, pauses, crashes,
// changes of the list of entries and clock skew.
func TestAtMostOneOwner(t *testing.T) {
	owned := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.steps())
		owned += s.ownedCount
	})
	t.Logf("ids owned: %d", owned)
	if owned == 0 {
		t.Fatal("no id was owned in any run of the simulation")
	}
}

func (s *simulation) randomProcess(label string) *process {
	return s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(s.t, label)]
}

// steps returns the possible steps of the simulation. A step listed under several keys is drawn more
// often. rapid draws from the sorted list of keys: if the position of a key changes, a fixed seed yields
// a different sequence of steps.
func (s *simulation) steps() map[string]func(*rapid.T) {
	deliver := func(t *rapid.T) {
		if len(s.inFlight) > 0 {
			s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"))
		}
	}
	return map[string]func(*rapid.T){
		"submit": s.submitStep, "submit again": s.submitStep, "resubmit": s.submitStep,
		"deliver": deliver, "deliver more": deliver,
		"deliver all": s.deliverAll,
		"submit and deliver": func(t *rapid.T) {
			s.submitStep(t)
			s.deliverAll(t)
		},
		"drop": func(t *rapid.T) {
			if len(s.inFlight) > 0 {
				i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
				s.inFlight = slices.Delete(s.inFlight, i, i+1)
			}
		},
		"duplicate": func(t *rapid.T) {
			if len(s.inFlight) > 0 {
				s.inFlight = append(s.inFlight, s.inFlight[rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")])
			}
		},
		"advance": func(t *rapid.T) { s.now += rapid.SampledFrom([]int64{1, 10, 60, 250, 1000}).Draw(t, "ms") },
		"advance far": func(t *rapid.T) {
			s.now += rapid.SampledFrom([]int64{2000, 3000, 5000, 13_000, 40_000}).Draw(t, "ms")
			if rapid.IntRange(0, 2).Draw(t, "renew") > 0 {
				s.renewAll()
			}
		},
		"tick": func(t *rapid.T) {
			if p := s.randomProcess("process"); !p.paused {
				at := s.readClocks(p)
				s.apply(p, at, p.claimant.Step(at.Boot, claim.Tick{}))
			}
		},
		"renew": func(t *rapid.T) {
			if p := s.randomProcess("process"); !p.paused {
				s.renew(p, rapid.Int64Range(0, 2900).Draw(t, "age"), rapid.Bool().Draw(t, "jump"))
			}
		},
		"renew all": func(*rapid.T) { s.renewAll() }, "renew all again": func(*rapid.T) { s.renewAll() },
		"pause or resume": func(t *rapid.T) { s.randomProcess("process").paused = rapid.IntRange(0, 3).Draw(t, "pause") == 0 },
		"read clock": func(*rapid.T) {
			p := s.randomProcess("process")
			at := claim.Instant{Boot: s.bootOf(p), Wall: epochMillis + s.now + p.skew}
			p.delayedReading = &at
		},
		"set clock": func(t *rapid.T) { s.randomProcess("process").skew = rapid.Int64Range(0, 5000).Draw(t, "skew") },
		"restart":   s.restart,
		"change entries": func(t *rapid.T) {
			gone := rapid.IntRange(0, 6).Draw(t, "without")
			if rapid.IntRange(0, 2).Draw(t, "change") > 0 {
				return
			}
			if list := s.entries(func(id string) bool { return id == fmt.Sprint("entry", gone) }); len(list) > 0 {
				s.commitConfiguration(list)
			}
		},
		"add entry": func(t *rapid.T) {
			if len(s.processes) < 8 && rapid.IntRange(0, 2).Draw(t, "add") == 0 {
				s.startProcess(fmt.Sprint("entry", len(s.processes)))
				s.commitConfiguration(s.entries(nil))
			}
		},
	}
}

// deliverAll delivers all messages in flight, up to 200. Messages to paused processes are dropped.
func (s *simulation) deliverAll(*rapid.T) {
	for range 200 {
		if len(s.inFlight) == 0 {
			return
		}
		s.deliver(0)
	}
}

// submitStep submits one of a few ids, with a submission time close to one of the limits.
func (s *simulation) submitStep(t *rapid.T) {
	p := s.randomProcess("process")
	if p.paused {
		return
	}
	request := claim.Requested{Key: job.Key{Organisation: "org", ID: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id"))}}
	request.SubmittedAt = epochMillis + s.now + p.skew + rapid.SampledFrom([]int64{0, 0, 4000, 5000, 9000, 10_000, -1000, -13_000, -19_999, -30_000}).Draw(t, "offset")
	if times := s.submissionTimes(request.Key); len(times) > 0 && rapid.IntRange(0, 3).Draw(t, "known") > 0 {
		request.SubmittedAt = rapid.SampledFrom(times).Draw(t, "time")
	}
	if rapid.IntRange(0, 9).Draw(t, "generated") == 0 {
		s.generated++
		request.Key.ID, request.Generated = fmt.Sprint("generated", s.generated), true
		request.SubmittedAt = epochMillis + s.now + p.skew
	}
	s.submit(p, request)
}

// submissionTimes returns the submission times with which an id was owned.
func (s *simulation) submissionTimes(key job.Key) []int64 {
	var times []int64
	for id := range s.owners {
		if id.key == key {
			times = append(times, id.submittedAt)
		}
	}
	slices.Sort(times)
	return times
}

// restart replaces a process by a new incarnation without state. The old incarnation ends, or stays
// paused like a process in a suspended VM and may resume later.
func (s *simulation) restart(t *rapid.T) {
	p := s.randomProcess("process")
	if len(s.processes) >= 14 || rapid.IntRange(0, 2).Draw(t, "restart") > 0 {
		return
	}
	s.startProcess(p.self.EntryID)
	if rapid.Bool().Draw(t, "dead") {
		s.processes = slices.DeleteFunc(s.processes, func(o *process) bool { return o == p })
	} else {
		p.paused = true
	}
	if rapid.IntRange(0, 3).Draw(t, "join") > 0 {
		s.commitConfiguration(s.entries(nil))
	}
}

// TestEveryClaimSucceedsWithoutFaults guards against concurrent claims that block each other
// forever: without faults, one of several entries that claim the same id at the same time must own
// it within 2 s.
func TestEveryClaimSucceedsWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		key := job.Key{Organisation: "org", ID: "contended"}
		for _, p := range s.processes {
			s.submit(p, claim.Requested{Key: key, SubmittedAt: epochMillis + s.now})
		}
		for range 400 {
			s.now += 5
			s.renewAll()
			for len(s.inFlight) > 0 {
				s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"))
			}
			for _, p := range s.processes {
				at := s.readClocks(p)
				s.apply(p, at, p.claimant.Step(at.Boot, claim.Tick{}))
			}
			if s.ownedCount > 0 {
				return
			}
		}
		t.Fatalf("the id has no owner after %s", 2*time.Second)
	})
}
