package claim_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/request/tracker"
	"pollenpaddle/internal/version/catalog"
)

const epochMillis = int64(1_800_000_000_000)

// process is one incarnation of an entry in the simulated installation.
type process struct {
	self           wire.Claimant
	registrar      *claim.Registrar
	claimant       *claim.Claimant
	tracker        *tracker.Tracker
	bootOffset     time.Duration // boot-time clock at simulated time zero
	skew           int64         // wall clock minus simulated time, 0 to 5000 ms
	applied        int           // index of the configuration in use, -1 without one
	paused         bool
	delayedReading *claim.Instant // clock reading for the next event; simulates a suspension between reading the clocks and handling the event
}

type delivery struct {
	from, to wire.Claimant
	message  wire.Message
}

// submissionID identifies a submission, which has at most one owner.
type submissionID struct {
	key         job.Key
	submittedAt int64
}

// simulation simulates an installation: its network, clocks and processes.
type simulation struct {
	t              *rapid.T
	now            int64 // simulated time in ms
	retention      time.Duration
	configurations []claim.Configuration
	committed      []int64 // simulated time in ms at which each configuration was committed
	processes      []*process
	inFlight       []delivery
	owners         map[submissionID]wire.Claimant
	notRun         map[job.Key]bool // ids that an entry has reported as not run
	incarnation    uint64
	generated      int
	ownedCount     int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, owners: map[submissionID]wire.Claimant{}, notRun: map[job.Key]bool{},
		retention: rapid.SampledFrom([]time.Duration{20 * time.Second, 70 * time.Second}).Draw(t, "retention"),
	}
	entries := rapid.IntRange(1, 5).Draw(t, "entries")
	for i := range entries {
		s.startProcess(fmt.Sprint("entry", i))
	}
	s.commitConfiguration(s.entries(nil))
	s.renewAll()
	s.now += 18_001
	s.renewAll()
	return s
}

func (s *simulation) startProcess(id string) *process {
	s.incarnation++
	p := &process{
		self: wire.Claimant{EntryID: id, Incarnation: s.incarnation}, applied: -1,
		bootOffset: time.Duration(s.incarnation) * time.Hour, skew: rapid.Int64Range(0, 5000).Draw(s.t, "skew"),
		claimant: claim.NewClaimant(claim.ClaimantConfig{Seed: s.incarnation}),
		tracker: tracker.New(tracker.Config{
			ResultRetention: time.Second, ClaimRetention: s.retention, MaxFinishedJobs: 2, MaxTombstones: 1,
		}),
	}
	p.registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: p.self, Retention: s.retention, MaxRecords: 4})
	s.processes = append(s.processes, p)
	return p
}

// entries returns the newest incarnation of each entry that is not excluded.
func (s *simulation) entries(without func(id string) bool) []catalog.Entry {
	newest := map[string]catalog.Entry{}
	for i, p := range s.processes {
		if without == nil || !without(p.self.EntryID) {
			newest[p.self.EntryID] = catalog.Entry{
				ID: p.self.EntryID, Incarnation: p.self.Incarnation, AvailabilityZone: fmt.Sprint("zone", i%3),
			}
		}
	}
	var list []catalog.Entry
	for _, e := range newest {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b catalog.Entry) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (s *simulation) commitConfiguration(entries []catalog.Entry) {
	s.configurations = append(s.configurations, claim.Configuration{
		Revision: uint64(len(s.configurations) + 1), Changes: uint64(len(s.configurations) + 1), Entries: entries,
	})
	s.committed = append(s.committed, s.now)
}

func (s *simulation) bootOf(p *process) time.Duration {
	return p.bootOffset + time.Duration(s.now)*time.Millisecond
}

// readClocks returns a clock reading of a process, or its delayed reading if there is one.
func (s *simulation) readClocks(p *process) claim.Instant {
	if p.delayedReading != nil {
		at := *p.delayedReading
		p.delayedReading = nil
		return at
	}
	return claim.Instant{Boot: s.bootOf(p), Wall: epochMillis + s.now + p.skew}
}

// renew extends the configuration lease of a process. The lease is based on the configuration that was
// the newest at the time age milliseconds ago. The process applies all newer configurations up to that
// one in order, or only that one if jump is set.
func (s *simulation) renew(p *process, age int64, jump bool) {
	newest := 0
	for i, at := range s.committed {
		if at <= s.now-age {
			newest = i
		}
	}
	if s.committed[newest] > s.now-age {
		return
	}
	first := p.applied + 1
	if jump {
		first = newest
	}
	for i := first; i <= newest; i++ {
		at := s.readClocks(p)
		p.registrar.Configured(at, s.configurations[i])
		s.apply(p, at, p.claimant.Step(at.Boot, claim.Configured{Configuration: s.configurations[i]}))
		p.applied = i
	}
	deadline := s.bootOf(p) - time.Duration(age)*time.Millisecond + claim.LeaseDuration
	at := s.readClocks(p)
	p.registrar.LeaseChanged(at, deadline)
	s.apply(p, at, p.claimant.Step(at.Boot, claim.LeaseChanged{Deadline: deadline}))
}

func (s *simulation) renewAll() {
	for _, p := range s.processes {
		if !p.paused {
			s.renew(p, 0, false)
		}
	}
}

func (s *simulation) submit(p *process, r claim.Requested) {
	at := s.readClocks(p)
	p.tracker.Advance(at.Boot, at.Wall)
	if p.tracker.Lookup(r.Key, r.SubmittedAt) != tracker.Unknown {
		return
	}
	p.tracker.Begin(at.Boot, &job.Submission{Key: r.Key, SubmittedAt: r.SubmittedAt, Tasks: make([]job.Task, 1)})
	s.apply(p, at, p.claimant.Step(at.Boot, r))
}

func (s *simulation) apply(p *process, at claim.Instant, actions []claim.Action) {
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case claim.Send:
			to := wire.Claimant{EntryID: a.To.ID, Incarnation: a.To.Incarnation}
			s.inFlight = append(s.inFlight, delivery{p.self, to, a.Message})
		case claim.Owned:
			s.checkOwned(p, at, a.Key)
		case claim.Taken:
			view := p.tracker.View(a.Key)
			p.tracker.Remove(a.Key)
			s.queryOwner(p, view, a.Owner)
		case claim.Failed:
			p.tracker.Remove(a.Key)
			if a.Error.Kind == failure.Unavailable {
				s.notRun[a.Key] = true
			}
		}
	}
}

// checkOwned checks that no submission is owned twice, by two entries or by one, and that no id is
// owned after an entry has reported it as not run.
func (s *simulation) checkOwned(p *process, at claim.Instant, key job.Key) {
	s.ownedCount++
	submission, _ := p.tracker.Accept(key)
	if submission == nil {
		s.t.Fatalf("%v owns %v, which it does not claim", p.self, key)
	}
	id := submissionID{key, submission.SubmittedAt}
	if other, found := s.owners[id]; found {
		s.t.Fatalf("%v owns %v at %d ms, but so does %v", p.self, id, s.now, other)
	}
	if s.notRun[key] {
		s.t.Fatalf("%v owns %v, which an entry has reported as not run", p.self, id)
	}
	// The entry may reject the job after the claim, for example because it is overloaded.
	if rapid.IntRange(0, 5).Draw(s.t, "reject") == 0 {
		p.tracker.Remove(key)
		s.apply(p, at, p.claimant.Step(at.Boot, claim.Release{Key: key, SubmittedAt: id.submittedAt}))
		return
	}
	s.owners[id] = p.self
	if rapid.Bool().Draw(s.t, "finish") {
		p.tracker.Finish(at.Boot, key, 0, job.Result{State: job.Done})
	}
}

// queryOwner simulates that an entry asks the owner of an id for the state of the job. An owner that
// does not know the id releases it, and the querying entry claims it again.
func (s *simulation) queryOwner(p *process, view *tracker.View, owner wire.Claimant) {
	i := slices.IndexFunc(s.processes, func(o *process) bool { return o.self == owner })
	if i < 0 || s.processes[i].paused {
		return
	}
	o := s.processes[i]
	at := s.readClocks(o)
	o.tracker.Advance(at.Boot, at.Wall)
	if o.tracker.Lookup(view.Key, view.SubmittedAt) == tracker.Unknown {
		s.apply(o, at, o.claimant.Step(at.Boot, claim.Release{Key: view.Key, SubmittedAt: view.SubmittedAt}))
		s.submit(p, claim.Requested{Key: view.Key, SubmittedAt: view.SubmittedAt, Delay: 20 * time.Millisecond})
	}
}

// deliver removes the message at index i and delivers it unless its receiver is paused.
func (s *simulation) deliver(i int) {
	d := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	for _, p := range s.processes {
		if p.self != d.to || p.paused {
			continue
		}
		at := s.readClocks(p)
		switch m := d.message.(type) {
		case *wire.Claim:
			s.inFlight = append(s.inFlight, delivery{p.self, d.from, p.registrar.Claim(at, d.from, m)})
		case *wire.ClaimRelease:
			p.registrar.Release(d.from, m)
		case *wire.ClaimReply:
			s.apply(p, at, p.claimant.Step(at.Boot, claim.Received{From: d.from, Reply: m}))
		}
	}
}
