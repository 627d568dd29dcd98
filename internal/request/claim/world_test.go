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

// process is one run of an entry in the simulated installation.
type process struct {
	self      wire.Claimant
	registrar *claim.Registrar
	claimant  *claim.Claimant
	tracker   *tracker.Tracker
	boot      time.Duration // boot-time clock at true time zero
	skew      int64         // wall clock minus true time, 0 to 5000 ms
	applied   int           // index of the configuration in use, -1 without one
	paused    bool
	held      *claim.Instant // a clock reading whose event is handled later, as after a suspend
}

type delivery struct {
	from, to wire.Claimant
	message  wire.Message
}

// ownership is the identity that the guarantee is about.
type ownership struct {
	key job.Key
	at  int64
}

// world is an installation whose network, clocks and processes a test controls.
type world struct {
	t              *rapid.T
	now            int64 // true time in ms
	retention      time.Duration
	configurations []claim.Configuration
	accepted       []int64 // true time at which each configuration was accepted
	processes      []*process
	flight         []delivery
	owners         map[ownership]wire.Claimant
	notRun         map[job.Key]bool // ids of which an entry has said that nothing was run
	incarnation    uint64
	generated      int
	owned          int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, owners: map[ownership]wire.Claimant{}, notRun: map[job.Key]bool{},
		retention: rapid.SampledFrom([]time.Duration{20 * time.Second, 70 * time.Second}).Draw(t, "retention"),
	}
	entries := rapid.IntRange(1, 5).Draw(t, "entries")
	for i := range entries {
		w.spawn(fmt.Sprint("entry", i))
	}
	w.accept(w.entries(nil))
	w.renewAll()
	w.now += 18_001
	w.renewAll()
	return w
}

func (w *world) spawn(id string) *process {
	w.incarnation++
	p := &process{
		self: wire.Claimant{EntryID: id, Incarnation: w.incarnation}, applied: -1,
		boot: time.Duration(w.incarnation) * time.Hour, skew: rapid.Int64Range(0, 5000).Draw(w.t, "skew"),
		claimant: claim.NewClaimant(claim.ClaimantConfig{Seed: w.incarnation}),
		tracker: tracker.New(tracker.Config{
			ResultRetention: time.Second, ClaimRetention: w.retention, MaxFinishedJobs: 2, MaxTombstones: 1,
		}),
	}
	p.registrar = claim.NewRegistrar(claim.RegistrarConfig{Self: p.self, Retention: w.retention, MaxRecords: 4})
	w.processes = append(w.processes, p)
	return p
}

// entries lists the newest run of each entry that is not excluded.
func (w *world) entries(without func(id string) bool) []catalog.Entry {
	newest := map[string]catalog.Entry{}
	for i, p := range w.processes {
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

func (w *world) accept(entries []catalog.Entry) {
	w.configurations = append(w.configurations, claim.Configuration{
		Revision: uint64(len(w.configurations) + 1), Changes: uint64(len(w.configurations) + 1), Entries: entries,
	})
	w.accepted = append(w.accepted, w.now)
}

func (w *world) bootOf(p *process) time.Duration {
	return p.boot + time.Duration(w.now)*time.Millisecond
}

// read returns the clocks of a process, or an earlier reading that it has not used yet.
func (w *world) read(p *process) claim.Instant {
	if p.held != nil {
		at := *p.held
		p.held = nil
		return at
	}
	return claim.Instant{Boot: w.bootOf(p), Wall: epochMillis + w.now + p.skew}
}

// renew extends the lease of a process: age ms ago, the newest configuration was known. The
// process applies every newer configuration in turn, or only the last one.
func (w *world) renew(p *process, age int64, jump bool) {
	newest := 0
	for i, at := range w.accepted {
		if at <= w.now-age {
			newest = i
		}
	}
	if w.accepted[newest] > w.now-age {
		return
	}
	first := p.applied + 1
	if jump {
		first = newest
	}
	for i := first; i <= newest; i++ {
		at := w.read(p)
		p.registrar.Configured(at, w.configurations[i])
		w.act(p, at, p.claimant.Step(at.Boot, claim.Configured{Configuration: w.configurations[i]}))
		p.applied = i
	}
	deadline := w.bootOf(p) - time.Duration(age)*time.Millisecond + claim.LeaseDuration
	at := w.read(p)
	p.registrar.LeaseChanged(at, deadline)
	w.act(p, at, p.claimant.Step(at.Boot, claim.LeaseChanged{Deadline: deadline}))
}

func (w *world) renewAll() {
	for _, p := range w.processes {
		if !p.paused {
			w.renew(p, 0, false)
		}
	}
}

func (w *world) submit(p *process, r claim.Requested) {
	at := w.read(p)
	p.tracker.Advance(at.Boot, at.Wall)
	if p.tracker.Lookup(r.Key, r.SubmittedAt) != tracker.Unknown {
		return
	}
	p.tracker.Begin(at.Boot, &job.Submission{Key: r.Key, SubmittedAt: r.SubmittedAt, Tasks: make([]job.Task, 1)})
	w.act(p, at, p.claimant.Step(at.Boot, r))
}

func (w *world) act(p *process, at claim.Instant, actions []claim.Action) {
	for _, action := range slices.Clone(actions) {
		switch a := action.(type) {
		case claim.Send:
			to := wire.Claimant{EntryID: a.To.ID, Incarnation: a.To.Incarnation}
			w.flight = append(w.flight, delivery{p.self, to, a.Message})
		case claim.Owned:
			w.own(p, at, a.Key)
		case claim.Taken:
			view := p.tracker.View(a.Key)
			p.tracker.Remove(a.Key)
			w.askOwner(p, view, a.Owner)
		case claim.Refused:
			p.tracker.Remove(a.Key)
			if a.Error.Kind == failure.Unavailable {
				w.notRun[a.Key] = true
			}
		}
	}
}

// own checks the guarantee: no two runs of entries ever own the same id and submission time, no
// run owns it twice, and nothing is started after "not run" was said.
func (w *world) own(p *process, at claim.Instant, key job.Key) {
	w.owned++
	submission, _ := p.tracker.Accept(key)
	if submission == nil {
		w.t.Fatalf("%v owns %v, which it has given up", p.self, key)
	}
	id := ownership{key, submission.SubmittedAt}
	if other, found := w.owners[id]; found {
		w.t.Fatalf("%v owns %v at %d ms, but so does %v", p.self, id, w.now, other)
	}
	if w.notRun[key] {
		w.t.Fatalf("%v owns %v, of which an entry said that it was not run", p.self, id)
	}
	if rapid.IntRange(0, 5).Draw(w.t, "reject") == 0 { // the dispatch machine refuses the job
		p.tracker.Remove(key)
		w.act(p, at, p.claimant.Step(at.Boot, claim.Released{Key: key, SubmittedAt: id.at}))
		return
	}
	w.owners[id] = p.self
	if rapid.Bool().Draw(w.t, "finish") {
		p.tracker.Finish(at.Boot, key, 0, job.Result{State: job.Done})
	}
}

// askOwner plays the job query: an owner that does not know the id clears the remains of its
// attempts, and the asking entry claims again.
func (w *world) askOwner(p *process, view *tracker.View, owner wire.Claimant) {
	i := slices.IndexFunc(w.processes, func(o *process) bool { return o.self == owner })
	if i < 0 || w.processes[i].paused {
		return
	}
	o := w.processes[i]
	at := w.read(o)
	o.tracker.Advance(at.Boot, at.Wall)
	if o.tracker.Lookup(view.Key, view.SubmittedAt) == tracker.Unknown {
		w.act(o, at, o.claimant.Step(at.Boot, claim.Released{Key: view.Key, SubmittedAt: view.SubmittedAt}))
		w.submit(p, claim.Requested{Key: view.Key, SubmittedAt: view.SubmittedAt, Delay: 20 * time.Millisecond})
	}
}

// deliver hands the message at index i to its receiver.
func (w *world) deliver(i int) {
	d := w.flight[i]
	w.flight = slices.Delete(w.flight, i, i+1)
	for _, p := range w.processes {
		if p.self != d.to || p.paused {
			continue
		}
		at := w.read(p)
		switch m := d.message.(type) {
		case *wire.Claim:
			w.flight = append(w.flight, delivery{p.self, d.from, p.registrar.Claim(at, d.from, m)})
		case *wire.ClaimRelease:
			p.registrar.Release(d.from, m)
		case *wire.ClaimReply:
			w.act(p, at, p.claimant.Step(at.Boot, claim.Received{From: d.from, Reply: m}))
		}
	}
}
