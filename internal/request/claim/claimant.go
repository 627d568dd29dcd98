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
	// DefaultTimeout is the time after which a claim without a majority is given up.
	DefaultTimeout = 2 * time.Second
	// resendInterval is the time after which a registrar that has not answered is asked again. It
	// exceeds the round trip between zones by far, so that only losses cause another message.
	resendInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the random wait before another attempt, so that entries that
	// split the registrars between them do not collide again.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 60 * time.Millisecond
)

// Event is an input of the Claimant.
type Event interface{ claimEvent() }

// Configured reports a newer configuration.
type Configured struct{ Configuration Configuration }

// LeaseChanged reports that the present configuration may be used before Deadline.
type LeaseChanged struct{ Deadline time.Duration }

// Requested asks for the ownership of a job id. The claimant answers with exactly one of Owned,
// Taken and Refused. A second request for a key that is still pending is ignored.
type Requested struct {
	Key         job.Key
	SubmittedAt int64
	Generated   bool          // the entry made the id, so that no other submission can have used it
	Delay       time.Duration // wait before the first attempt
}

// Released gives up a granted id before any of its tasks was started, or clears the remains of
// earlier attempts at registrars. The id must not be pending.
type Released struct {
	Key         job.Key
	SubmittedAt int64
}

// Received is a registrar's answer.
type Received struct {
	From  wire.Claimant
	Reply *wire.ClaimReply
}

// Tick lets the claimant act on the time alone.
type Tick struct{}

func (Configured) claimEvent()   {}
func (LeaseChanged) claimEvent() {}
func (Requested) claimEvent()    {}
func (Released) claimEvent()     {}
func (Received) claimEvent()     {}
func (Tick) claimEvent()         {}

// Action is an output of the Claimant, which the shell carries out.
type Action interface{ claimAction() }

// Send sends a Claim or ClaimRelease to a registrar, which may be the own process. It is dropped
// if there is no session with that incarnation of the entry.
type Send struct {
	To      catalog.Entry
	Message wire.Message
}

// Owned reports that this entry owns the id and alone may start the job's tasks.
type Owned struct {
	Key     job.Key
	Elapsed time.Duration // since Requested
}

// Taken reports that another entry probably owns the id; this entry has given up its claim.
type Taken struct {
	Key   job.Key
	Owner wire.Claimant
}

// Refused reports that this entry will never start the job on account of this request.
type Refused struct {
	Key   job.Key
	Error *failure.Error
}

func (Send) claimAction()    {}
func (Owned) claimAction()   {}
func (Taken) claimAction()   {}
func (Refused) claimAction() {}

// ClaimantConfig holds the settings of a claimant. A zero field takes its default.
type ClaimantConfig struct {
	Timeout time.Duration
	Seed    uint64
}

// Claimant claims job ids for one run of an entry. It is not safe for concurrent use.
type Claimant struct {
	config  ClaimantConfig
	random  *rand.Rand
	members *members
	recent  uint64 // newest configuration revision
	lease   time.Duration
	attempt uint64 // last attempt of any id
	pending map[job.Key]*request
	wakes   wakeQueue
	actions []Action
}

// request is one id that is being claimed.
type request struct {
	Requested
	begun    time.Duration
	deadline time.Duration
	resend   time.Duration // next action on the time alone
	waiting  bool          // no attempt is under way; the next one starts at resend
	attempt  uint64
	version  uint64
	asked    []catalog.Entry // registrars of the attempt
	replies  []*wire.ClaimReply
	last     *wire.ClaimReply // most telling refusal of earlier attempts
	wake     time.Duration    // time of the newest entry in the queue of wake-ups
}

// NewClaimant returns a claimant without a configuration.
func NewClaimant(config ClaimantConfig) *Claimant {
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	return &Claimant{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)),
		members: newMembers(nil), pending: map[job.Key]*request{},
	}
}

// Pending returns the number of ids that are being claimed.
func (c *Claimant) Pending() int { return len(c.pending) }

// NextWake returns the time at which the claimant needs a Tick; false if none is due.
func (c *Claimant) NextWake() (time.Duration, bool) { return c.wakes.next() }

// Step applies one event. The returned actions are valid until the next call.
func (c *Claimant) Step(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	c.expire(now)
	switch e := event.(type) {
	case Configured:
		if e.Configuration.Revision > c.recent {
			c.recent = e.Configuration.Revision
			c.members = newMembers(e.Configuration.Entries)
		}
	case LeaseChanged:
		c.lease = max(c.lease, e.Deadline)
	case Requested:
		c.request(now, e)
	case Released:
		if c.pending[e.Key] == nil {
			for _, i := range c.members.registrars(e.Key) {
				c.release(c.members.entries[i], e.Key, e.SubmittedAt, c.attempt)
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
	c.begin(now, p)
}

// begin starts an attempt, or waits for a lease and a list of entries.
func (c *Claimant) begin(now time.Duration, p *request) {
	if now >= c.lease || len(c.members.entries) == 0 {
		c.schedule(p, min(now+c.backoff(), p.deadline))
		return
	}
	c.attempt++
	p.waiting, p.attempt, p.version = false, c.attempt, c.members.version
	p.asked = p.asked[:0]
	for _, i := range c.members.registrars(p.Key) {
		p.asked = append(p.asked, c.members.entries[i])
	}
	p.replies = make([]*wire.ClaimReply, len(p.asked))
	c.ask(now, p)
}

// ask sends the claim to the registrars that have not answered. It stays silent unless the lease
// covers the configuration that the registrars were chosen from.
func (c *Claimant) ask(now time.Duration, p *request) {
	if now < c.lease && p.version == c.members.version {
		for i, to := range p.asked {
			if p.replies[i] == nil {
				c.actions = append(c.actions, Send{To: to, Message: &wire.Claim{
					Key: p.Key, SubmittedAt: p.SubmittedAt, Attempt: p.attempt, Version: p.version,
				}})
			}
		}
	}
	c.schedule(p, min(now+resendInterval, p.deadline))
}

// schedule sets the next time at which the request needs attention.
func (c *Claimant) schedule(p *request, at time.Duration) {
	p.resend = at
	if p.wake == 0 || at < p.wake {
		p.wake = at
		c.wakes.add(at, p.Key, p.begun)
	}
}

// expire handles everything that is due by now. It runs before each event, so that an answer that
// arrives after the deadline cannot complete a claim.
func (c *Claimant) expire(now time.Duration) {
	for {
		w, due := c.wakes.take(now)
		if !due {
			return
		}
		p := c.pending[w.key]
		if p == nil || p.begun != w.begun || p.wake != w.at {
			continue
		}
		p.wake = 0
		switch {
		case now >= p.deadline:
			c.giveUp(p)
		case now < p.resend:
			c.schedule(p, p.resend)
		case p.waiting || p.version != c.members.version:
			c.abandonAttempt(p)
			c.begin(now, p)
		default:
			c.ask(now, p)
		}
	}
}

func (c *Claimant) receive(now time.Duration, e Received) {
	p := c.pending[e.Reply.Key]
	if p == nil || p.waiting || p.attempt != e.Reply.Attempt || p.SubmittedAt != e.Reply.SubmittedAt {
		return
	}
	for i, member := range p.asked {
		matches := member.ID == e.From.EntryID && (member.Incarnation == 0 || member.Incarnation == e.From.Incarnation)
		if matches && p.replies[i] == nil {
			p.replies[i] = e.Reply
			c.evaluate(now, p)
			return
		}
	}
}

// evaluate decides as soon as the answers allow only one outcome.
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
	spare := len(p.asked) - Majority(len(p.asked)) // registrars that need not grant
	switch {
	case granted >= Majority(len(p.asked)):
		delete(c.pending, p.Key)
		c.actions = append(c.actions, Owned{Key: p.Key, Elapsed: now - p.begun})
	case taken+final+other <= spare:
		// A majority is still possible.
	case taken > 0 || final > spare:
		c.giveUp(p)
	default:
		p.last = mostTelling(p.last, p.replies)
		c.abandonAttempt(p)
		c.schedule(p, min(now+c.backoff(), p.deadline))
	}
}

// giveUp ends a request without ownership.
func (c *Claimant) giveUp(p *request) {
	p.last = mostTelling(p.last, p.replies)
	c.abandonAttempt(p)
	delete(c.pending, p.Key)
	if p.last != nil && p.last.Outcome == wire.ClaimTaken {
		c.actions = append(c.actions, Taken{Key: p.Key, Owner: p.last.Owner})
		return
	}
	c.actions = append(c.actions, Refused{Key: p.Key, Error: refusal(p)})
}

// abandonAttempt releases what the registrars may have granted. A grant that arrives later names
// an attempt that is over and is ignored.
func (c *Claimant) abandonAttempt(p *request) {
	if p.waiting {
		return
	}
	for _, to := range p.asked {
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

// mostTelling returns the refusal that says most about the id, of earlier and present answers.
func mostTelling(best *wire.ClaimReply, replies []*wire.ClaimReply) *wire.ClaimReply {
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
