// Package configfeed keeps a session with one control member. It follows the configuration, renews
// the lease under which this process may start work, and carries proposals to the control role.
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
	// LeaseDuration bounds the true time for which a process may start work on a basis.
	LeaseDuration = lease.Duration
	// pollInterval is the time between two lease polls.
	pollInterval = 500 * time.Millisecond
	// dialInterval is the wait before the next control member is tried.
	dialInterval = 50 * time.Millisecond
	// dialTimeout is the wait for a session with one member. A member that gives no answer must leave
	// time within the lease to try another one. A machine without power drops the first packet, and the
	// next one follows only after a second, so a member that returns is found by a new connection.
	dialTimeout = 300 * time.Millisecond
	// moveAge is the age of the basis at which another member is tried. An election takes up to
	// 1.5 s and ages the basis at every member; a move then would not help.
	moveAge = 1500 * time.Millisecond
	// settleTime is the time that a new session gets before its basis is judged.
	settleTime = time.Second
)

// Subscriber is told about the configuration and the lease. Calls come from one thread at a time.
type Subscriber interface {
	// ConfigurationChanged reports a newer configuration; it is called before a lease that rests
	// on it is extended. An agent gets only the zones that are out of service and the entries.
	ConfigurationChanged(state *catalog.State)
	// LeaseExtended reports that work may be started before deadline (boot-time clock).
	LeaseExtended(deadline time.Duration)
}

// Client follows the control members at Members. It works without a Logger.
type Client struct {
	Connector  session.Connector // its Handler is not used
	Members    []string          // host:port of the control members; hints if the group changes by itself
	Subscriber Subscriber
	Logger     *zap.Logger

	state    atomic.Pointer[catalog.State]
	basis    atomic.Int64 // boot-time clock; zero while there is none
	draining atomic.Bool

	feedMu sync.Mutex // serialises what arrives, including the calls of Subscriber
	group  uint64
	holder lease.Holder

	membersMu sync.Mutex // guards what follows
	hints     []string   // replaces Members once set
	known     []string   // as the group has told

	callMu  sync.Mutex // guards what follows
	current *attempt   // the open session, nil if there is none
	lastID  uint64
	calls   map[uint64]*call
}

// State returns the newest configuration, nil while there is none.
func (c *Client) State() *catalog.State { return c.state.Load() }

// BasisAge returns the age of the basis of the lease; false while there is none.
func (c *Client) BasisAge() (time.Duration, bool) {
	basis := c.basis.Load()
	return clock.SinceBoot() - time.Duration(basis), basis != 0
}

// Leave tells the control members, now and on every later session, that this process drains. An
// entry is removed from the directory at once instead of some seconds after its last session.
func (c *Client) Leave() {
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

// Run follows the configuration until ctx is done. Processes spread over the members by their id.
func (c *Client) Run(ctx context.Context) error {
	for i := xxhash.Sum64String(c.Connector.Local.ID); ctx.Err() == nil; i++ {
		if members := c.candidates(); len(members) > 0 {
			c.follow(ctx, members[i%uint64(len(members))])
		}
		select {
		case <-ctx.Done():
		case <-time.After(dialInterval):
		}
	}
	return nil
}

// SetMembers replaces the addresses from the settings.
func (c *Client) SetMembers(addresses []string) {
	c.membersMu.Lock()
	defer c.membersMu.Unlock()
	c.hints = addresses
}

func (c *Client) learnMembers(addresses []string) {
	c.membersMu.Lock()
	defer c.membersMu.Unlock()
	c.known = addresses
}

// candidates returns the members that the group has told, and then those of the settings: all of
// the former may be gone.
func (c *Client) candidates() []string {
	c.membersMu.Lock()
	defer c.membersMu.Unlock()
	hints := c.Members
	if c.hints != nil {
		hints = c.hints
	}
	candidates := slices.Clone(c.known)
	for _, address := range hints {
		if !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	return candidates
}

// follow serves one session. It returns when the session has ended, could not be opened in time,
// or was given up for another member.
func (c *Client) follow(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempt{client: c, ctx: ctx, opened: make(chan struct{}), ended: make(chan struct{}), moved: make(chan struct{}, 1)}
	connector := c.Connector
	connector.Handler = a
	go func() {
		defer close(a.ended)
		_ = connector.Dial(ctx, address, wire.RoleControl)
	}()
	timeout := time.NewTimer(dialTimeout)
	defer timeout.Stop()
	select {
	case <-a.opened:
	case <-a.ended:
		return
	case <-timeout.C:
		// The dial may still be busy with a handshake, which ends by its own timeout.
		return
	}
	a.keepPolling()
	cancel()
	<-a.ended
}

// keepPolling renews the lease until the session has ended or another member should be tried.
func (a *attempt) keepPolling() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.ended:
			return
		case <-a.moved:
			return
		case <-ticker.C:
			if a.client.shouldMove(a) {
				return
			}
			a.poll()
		}
	}
}

// shouldMove reports whether the member behind the session has no recent basis, for example
// because it is isolated from the other members.
func (c *Client) shouldMove(a *attempt) bool {
	if len(c.candidates()) == 1 || clock.SinceBoot()-a.openedAt < settleTime {
		return false
	}
	age, held := c.BasisAge()
	return !held || age > moveAge
}
