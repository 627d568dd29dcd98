// Package configfeed keeps a session with one control member. It receives the configuration, renews
// the configuration lease, during which this process may start work, and sends proposals to the control
// role. A lease basis is a time at which the configuration was known to be the newest committed one, and
// the lease is valid for a fixed time after it (package lease).
package configfeed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/lease"
)

const (
	// LeaseDuration is the longest true time, as opposed to the time counted by an inaccurate clock, from
	// a lease basis to the last start that it permits (package lease).
	LeaseDuration = lease.Duration
	// pollInterval is the time between two lease polls.
	pollInterval = 500 * time.Millisecond
	// dialTimeout bounds the time to open a session with one member. If a member does not respond, there
	// must be time within the configuration lease to try another one.
	dialTimeout = 300 * time.Millisecond
	// switchBasisAge is the age of the lease basis at which another member is tried. An election takes up
	// to 1.5 s, during which the lease basis ages at every member and switching would not help.
	switchBasisAge = 1500 * time.Millisecond
	// minSessionAge is the time that a new session is given to renew the lease basis before shouldSwitch
	// checks its age.
	minSessionAge = time.Second
)

// Subscriber receives changes of the configuration and of the configuration lease. Its methods are not
// called concurrently.
type Subscriber interface {
	// ConfigurationChanged reports a newer configuration, before an extension of the lease that
	// was granted for its revision. An agent gets only the zones that are out of service and the entries.
	ConfigurationChanged(state *catalog.State)
	// LeaseExtended reports that work may be started before deadline (boot-time clock).
	LeaseExtended(deadline time.Duration)
}

// Client follows the configuration through one control member at a time. It finds the members through
// the seeds, the addresses in the settings, and through the group, which reports its members if
// membership is automatic.
type Client struct {
	Connector  session.Connector // its Handler is not used
	Seeds      []string          // seeds at the start (host:port); all control members unless membership is automatic
	Subscriber Subscriber
	Logger     *zap.Logger // nil logs nothing

	state    atomic.Pointer[catalog.State]
	basis    atomic.Int64 // lease basis (boot-time clock, nanoseconds); zero while there is none
	draining atomic.Bool

	feedMu sync.Mutex   // serialises the received messages and the calls of Subscriber
	group  uint64       // id of the group of control members; zero until it is known
	holder lease.Holder // of the configuration lease

	membersMu    sync.Mutex // guards the fields below
	newSeeds     []string   // seeds from reloaded settings, which replace Seeds; nil if there are none
	groupMembers []string   // as reported by the group

	callMu  sync.Mutex     // guards the fields below
	current *memberSession // the open session, nil if there is none
	lastID  uint64
	calls   map[uint64]*call
}

// State returns the newest configuration, nil while there is none.
func (c *Client) State() *catalog.State { return c.state.Load() }

// BasisAge returns the age of the lease basis; false while there is none.
func (c *Client) BasisAge() (time.Duration, bool) {
	basis := c.basis.Load()
	return clock.SinceBoot() - time.Duration(basis), basis != 0
}

// AnnounceDrain informs the control members, now and on every later session, that this process drains. The
// session and the configuration lease continue. An entry is then removed from the configuration at once
// instead of some seconds after its last session.
func (c *Client) AnnounceDrain() {
	c.draining.Store(true)
	c.callMu.Lock()
	defer c.callMu.Unlock()
	if c.current != nil {
		c.current.session.Send(&wire.Closing{})
	}
}

func (c *Client) revision() uint64 {
	if state := c.state.Load(); state != nil {
		return state.Revision
	}
	return 0
}

// Run follows the configuration until ctx is done. The member that it dials first depends on the
// process id, which distributes processes over the members.
func (c *Client) Run(ctx context.Context) error {
	var plan redialPlan
	for i := xxhash.Sum64String(c.Connector.Local.ID); ctx.Err() == nil; i++ {
		began, opened := clock.SinceBoot(), false
		members := c.candidates()
		if len(members) > 0 {
			opened = c.runSession(ctx, members[i%uint64(len(members))], plan.timeout())
		}
		select {
		case <-ctx.Done():
		case <-time.After(plan.ended(opened, len(members), clock.SinceBoot()-began)):
		}
	}
	return nil
}

// SetSeeds replaces the seeds, the addresses that come from the settings.
func (c *Client) SetSeeds(addresses []string) {
	c.membersMu.Lock()
	defer c.membersMu.Unlock()
	c.newSeeds = addresses
}

func (c *Client) setGroupMembers(addresses []string) {
	c.membersMu.Lock()
	defer c.membersMu.Unlock()
	c.groupMembers = addresses
}

// candidates returns the members reported by the group, followed by those of the settings, because all
// of the former may have been removed since.
func (c *Client) candidates() []string {
	c.membersMu.Lock()
	defer c.membersMu.Unlock()
	seeds := c.Seeds
	if c.newSeeds != nil {
		seeds = c.newSeeds
	}
	candidates := slices.Clone(c.groupMembers)
	for _, address := range seeds {
		if !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	return candidates
}

// runSession dials a member and runs a session with it. It returns when the session has ended, could
// not be opened in time, or another member should be tried, and reports whether it was opened.
func (c *Client) runSession(ctx context.Context, address string, connectTimeout time.Duration) (opened bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ms := &memberSession{client: c, ctx: ctx, opened: make(chan struct{}), ended: make(chan struct{}), switchMember: make(chan struct{}, 1)}
	connector := c.Connector
	connector.Handler, connector.ConnectTimeout = ms, connectTimeout
	go func() {
		defer close(ms.ended)
		_ = connector.Dial(ctx, address, wire.RoleControl)
	}()
	timeout := time.NewTimer(dialTimeout)
	defer timeout.Stop()
	select {
	case <-ms.opened:
	case <-ms.ended:
		return false
	case <-timeout.C:
		return false
	}
	ms.pollLoop()
	cancel()
	<-ms.ended
	return true
}

// pollLoop polls for the configuration lease until the session has ended or another member should be
// tried.
func (ms *memberSession) pollLoop() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ms.ended:
			return
		case <-ms.switchMember:
			return
		case <-ticker.C:
			if ms.client.shouldSwitch(ms) {
				return
			}
			ms.pollLease()
		}
	}
}

// shouldSwitch reports whether another member should be tried: the lease basis of this process is old
// although the session has been open for minSessionAge, for example because the member is isolated from
// the other members.
func (c *Client) shouldSwitch(ms *memberSession) bool {
	if len(c.candidates()) == 1 || clock.SinceBoot()-ms.openedAt < minSessionAge {
		return false
	}
	age, held := c.BasisAge()
	return !held || age > switchBasisAge
}
