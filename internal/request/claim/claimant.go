package claim

import (
	"cmp"
	"math/rand/v2"
	"time"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/model/job"
	"pollenpaddle/internal/version/catalog"
)

const (
	// DefaultTimeout is the time after which a claim without a majority fails.
	DefaultTimeout = 2 * time.Second
	// resendInterval is the time after which a claim is resent to a registrar that has not replied.
	// It is much longer than the round trip between zones, so that only lost messages are resent.
	resendInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the random wait before another attempt. It is random so that
	// entries that each hold the grants of a minority do not collide again.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 60 * time.Millisecond
)

// Event is an input of the Claimant.
type Event interface{ claimEvent() }

// Configured reports a new configuration. One that is not newer is ignored.
type Configured struct{ Configuration Configuration }

// LeaseChanged reports that the current configuration may be used before Deadline, the end of the
// configuration lease.
type LeaseChanged struct{ Deadline time.Duration }

// Requested asks for the ownership of a job id. The claimant returns exactly one of Owned,
// Taken and Failed. A second request for a key that is still pending is ignored.
type Requested struct {
	Key         job.Key
	SubmittedAt int64
	Generated   bool          // the entry generated the id, so no other submission can have used it
	Delay       time.Duration // wait before the first attempt
}

// Release asks for the release of an id at its registrars: the id was granted but no task of its job
// was started, or earlier attempts may have left grants for it. It is ignored while the id is pending.
type Release struct {
	Key         job.Key
	SubmittedAt int64
}

// Received reports the reply of a registrar.
type Received struct {
	From  wire.Claimant // identifies the registrar
	Reply *wire.ClaimReply
}

// Tick makes the claimant apply the deadlines that have passed. It is due at the time that NextWake
// returns.
type Tick struct{}

func (Configured) claimEvent()   {}
func (LeaseChanged) claimEvent() {}
func (Requested) claimEvent()    {}
func (Release) claimEvent()      {}
func (Received) claimEvent()     {}
func (Tick) claimEvent()         {}

// Action is an output of the Claimant, which the caller of Step carries out.
type Action interface{ claimAction() }

// Send sends a Claim or ClaimRelease to a registrar, which may be in the same process. The message
// is dropped if there is no session with that incarnation of the entry.
type Send struct {
	To      catalog.Entry
	Message wire.Message
}

// Owned reports that this entry owns the id, so that it alone may start the job's tasks.
type Owned struct {
	Key     job.Key
	Elapsed time.Duration // since Requested
}

// Taken reports that another entry probably owns the id. This entry has released its claim.
type Taken struct {
	Key   job.Key
	Owner wire.Claimant
}

// Failed reports that the request failed: registrars refused the claim, or no majority granted it
// before the deadline, for example because there was no reply, lease or list of entries. This entry
// will not start the job because of that request.
type Failed struct {
	Key   job.Key
	Error *failure.Error
}

func (Send) claimAction()   {}
func (Owned) claimAction()  {}
func (Taken) claimAction()  {}
func (Failed) claimAction() {}

// ClaimantConfig holds the settings of a claimant. A zero field takes its default.
type ClaimantConfig struct {
	Timeout time.Duration
	Seed    uint64
}

// Claimant claims job ids for one incarnation of an entry. It is not safe for concurrent use.
type Claimant struct {
	config      ClaimantConfig
	random      *rand.Rand
	list        *entryList
	revision    uint64        // revision of the newest configuration
	leaseEnd    time.Duration // end of the configuration lease
	lastAttempt uint64        // number of the last attempt, over all ids
	pending     map[job.Key]*request
	wakes       wakeQueue
	actions     []Action
}

// request is one id that is being claimed.
type request struct {
	Requested
	begun         time.Duration
	deadline      time.Duration
	nextSend      time.Duration // time of the next attempt or resend
	waiting       bool          // no attempt is in progress; the next one begins at nextSend
	attempt       uint64
	entriesDigest uint64             // digest of the list of entries that the attempt uses
	registrars    []catalog.Entry    // registrars of the attempt
	replies       []*wire.ClaimReply // by index of registrars; nil without a reply
	topRefusal    *wire.ClaimReply   // refusal with the highest rank in earlier attempts
	wakeAt        time.Duration      // due time of the request's current item in wakes; zero if there is none
}

// NewClaimant returns a claimant without a configuration.
func NewClaimant(config ClaimantConfig) *Claimant {
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	return &Claimant{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)),
		list: newEntryList(nil), pending: map[job.Key]*request{},
	}
}

// Pending returns the number of ids whose claim is not decided.
func (c *Claimant) Pending() int { return len(c.pending) }

// NextWake returns the time at which the claimant needs a Tick. It returns false if there is no
// such time.
func (c *Claimant) NextWake() (time.Duration, bool) { return c.wakes.next() }

// Step applies one event. The returned actions are valid until the next call.
func (c *Claimant) Step(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	c.expire(now)
	switch e := event.(type) {
	case Configured:
		if e.Configuration.Revision > c.revision {
			c.revision = e.Configuration.Revision
			c.list = newEntryList(e.Configuration.Entries)
		}
	case LeaseChanged:
		c.leaseEnd = max(c.leaseEnd, e.Deadline)
	case Requested:
		c.request(now, e)
	case Release:
		if c.pending[e.Key] == nil {
			for _, i := range c.list.registrars(e.Key) {
				c.release(c.list.entries[i], e.Key, e.SubmittedAt, c.lastAttempt)
			}
		}
	case Received:
		c.receive(now, e)
	case Tick:
	}
	return c.actions
}

func (c *Claimant) request(now time.Duration, e Requested) {
	if c.pending[e.Key] != nil {
		return
	}
	p := &request{Requested: e, begun: now, deadline: now + e.Delay + c.config.Timeout, waiting: true}
	c.pending[e.Key] = p
	if e.Delay > 0 {
		c.schedule(p, now+e.Delay)
		return
	}
	c.beginAttempt(now, p)
}

// beginAttempt begins an attempt, or schedules another one if there is no lease or no list of
// entries.
func (c *Claimant) beginAttempt(now time.Duration, p *request) {
	if now >= c.leaseEnd || len(c.list.entries) == 0 {
		c.schedule(p, min(now+c.backoff(), p.deadline))
		return
	}
	c.lastAttempt++
	p.waiting, p.attempt, p.entriesDigest = false, c.lastAttempt, c.list.digest
	p.registrars = p.registrars[:0]
	for _, i := range c.list.registrars(p.Key) {
		p.registrars = append(p.registrars, c.list.entries[i])
	}
	p.replies = make([]*wire.ClaimReply, len(p.registrars))
	c.sendClaims(now, p)
}

// sendClaims sends the claim to the registrars that have not replied. It sends nothing unless the
// configuration from which the registrars were chosen is current and under a valid lease.
func (c *Claimant) sendClaims(now time.Duration, p *request) {
	if now < c.leaseEnd && p.entriesDigest == c.list.digest {
		for i, to := range p.registrars {
			if p.replies[i] == nil {
				c.actions = append(c.actions, Send{To: to, Message: &wire.Claim{
					Key: p.Key, SubmittedAt: p.SubmittedAt, Attempt: p.attempt, EntriesDigest: p.entriesDigest,
				}})
			}
		}
	}
	c.schedule(p, min(now+resendInterval, p.deadline))
}

// schedule sets the time of the next attempt or resend.
func (c *Claimant) schedule(p *request, at time.Duration) {
	p.nextSend = at
	if p.wakeAt == 0 || at < p.wakeAt {
		p.wakeAt = at
		c.wakes.add(at, p.Key, p.begun)
	}
}

// expire handles the requests that are due. It runs before each event, so that a reply that arrives
// after the deadline cannot complete a claim.
func (c *Claimant) expire(now time.Duration) {
	for {
		w, due := c.wakes.take(now)
		if !due {
			return
		}
		p := c.pending[w.key]
		if p == nil || p.begun != w.begun || p.wakeAt != w.at {
			continue
		}
		p.wakeAt = 0
		switch {
		case now >= p.deadline:
			c.fail(p)
		case now < p.nextSend:
			c.schedule(p, p.nextSend)
		case p.waiting || p.entriesDigest != c.list.digest:
			c.abandonAttempt(p)
			c.beginAttempt(now, p)
		default:
			c.sendClaims(now, p)
		}
	}
}

func (c *Claimant) receive(now time.Duration, e Received) {
	p := c.pending[e.Reply.Key]
	if p == nil || p.waiting || p.attempt != e.Reply.Attempt || p.SubmittedAt != e.Reply.SubmittedAt {
		return
	}
	for i, entry := range p.registrars {
		matches := entry.ID == e.From.EntryID && (entry.Incarnation == 0 || entry.Incarnation == e.From.Incarnation)
		if matches && p.replies[i] == nil {
			p.replies[i] = e.Reply
			c.evaluate(now, p)
			return
		}
	}
}

// evaluate decides the attempt as soon as a majority has granted it or can no longer grant it.
func (c *Claimant) evaluate(now time.Duration, p *request) {
	granted, taken, final, other := 0, 0, 0, 0
	for _, reply := range p.replies {
		switch {
		case reply == nil:
		case reply.Outcome == wire.ClaimGranted:
			granted++
		case reply.Outcome == wire.ClaimTaken:
			taken++
		case rank(reply.Outcome) >= rankFinal:
			final++
		default:
			other++
		}
	}
	spare := len(p.registrars) - Majority(len(p.registrars)) // number of registrars that need not grant
	switch {
	case granted >= Majority(len(p.registrars)):
		delete(c.pending, p.Key)
		c.actions = append(c.actions, Owned{Key: p.Key, Elapsed: now - p.begun})
	case taken+final+other <= spare:
		// A majority is still possible.
	case taken > 0 || final > spare:
		c.fail(p)
	default:
		p.topRefusal = highestRanked(p.topRefusal, p.replies)
		c.abandonAttempt(p)
		c.schedule(p, min(now+c.backoff(), p.deadline))
	}
}

// fail ends a request with Taken or Failed.
func (c *Claimant) fail(p *request) {
	p.topRefusal = highestRanked(p.topRefusal, p.replies)
	c.abandonAttempt(p)
	delete(c.pending, p.Key)
	if p.topRefusal != nil && p.topRefusal.Outcome == wire.ClaimTaken {
		c.actions = append(c.actions, Taken{Key: p.Key, Owner: p.topRefusal.Owner})
		return
	}
	c.actions = append(c.actions, Failed{Key: p.Key, Error: refusal(p)})
}

// abandonAttempt ends an attempt and releases the grants that the registrars may have given. A
// grant that arrives later carries the number of the abandoned attempt and is ignored.
func (c *Claimant) abandonAttempt(p *request) {
	if p.waiting {
		return
	}
	for _, to := range p.registrars {
		c.release(to, p.Key, p.SubmittedAt, p.attempt)
	}
	p.waiting, p.replies = true, nil
}

func (c *Claimant) release(to catalog.Entry, key job.Key, submittedAt int64, upTo uint64) {
	c.actions = append(c.actions, Send{To: to, Message: &wire.ClaimRelease{Key: key, SubmittedAt: submittedAt, UpTo: upTo}})
}

func (c *Claimant) backoff() time.Duration {
	return minBackoff + time.Duration(c.random.Int64N(int64(maxBackoff-minBackoff)))
}

// highestRanked returns the refusal with the highest rank among best and the replies. It returns nil
// if there is none.
func highestRanked(best *wire.ClaimReply, replies []*wire.ClaimReply) *wire.ClaimReply {
	for _, reply := range replies {
		if reply == nil || reply.Outcome == wire.ClaimGranted {
			continue
		}
		if best == nil || cmp.Compare(rank(reply.Outcome), rank(best.Outcome)) > 0 {
			best = reply
		}
	}
	return best
}
