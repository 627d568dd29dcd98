package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/subset"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/runner"
	"pollenpaddle/internal/request/startgate"
	"pollenpaddle/internal/version/catalog"
)

const (
	// minRedialBackoff and maxRedialBackoff bound the backoff before an entry is dialed again. A jitter of
	// up to 50% in both directions is applied to it. The longest backoff bounds how long an entry whose host
	// was off for some seconds serves its callers without the agent.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 300 * time.Millisecond
	// minConnectTimeout bounds the first attempt to connect. The bound doubles with each attempt up to
	// session.DefaultConnectTimeout. An entry whose host is off, or whose queue of new connections is full because
	// many processes have just started, drops the first packet (SYN), which is retransmitted only after a second.
	minConnectTimeout = 100 * time.Millisecond
	// ackTimeout ends a session whose entry's host does not acknowledge data. It is below runner.OwnerTimeout,
	// at which the entry's runs are stopped anyway, and covers two retransmissions (after 200 and 600 ms). The
	// third one, after 1.4 s, would be the first to tell that the host is back.
	ackTimeout = 700 * time.Millisecond
)

// dialerSet holds one dialer for each entry that package subset has chosen from the configuration.
type dialerSet struct {
	mu        sync.Mutex
	ctx       context.Context // nil before Run
	group     *errgroup.Group
	byAddress map[string]*dialer
	listed    map[string]bool // the addresses of all entries of the configuration
	closed    bool
}

// dialer redials one entry until stop is closed. Closing stop does not end an open session: an entry that
// was removed from the configuration may still finish jobs, and the session with an entry that is no longer
// chosen is retired first.
type dialer struct {
	stop    chan struct{}
	session *session.Session // set while a session is open
	opened  bool             // the last dial has opened a session
}

// start sets the context and the group of the dialers that dialEntries starts.
func (d *dialerSet) start(ctx context.Context, group *errgroup.Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ctx, d.group = ctx, group
}

// dialEntries starts dialers for newly chosen entries and stops those of others.
func (a *Agent) dialEntries(entries []catalog.Entry) {
	d := &a.dialers
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.closed {
		return
	}
	d.listed = map[string]bool{}
	for _, entry := range entries {
		d.listed[entry.Address] = true
	}
	wanted := map[string]bool{}
	for _, entry := range subset.Choose(a.config.Identity.ID, entries, a.config.EntrySessions) {
		wanted[entry.Address] = true
		if d.byAddress[entry.Address] == nil {
			added := &dialer{stop: make(chan struct{})}
			d.byAddress[entry.Address] = added
			ctx := d.ctx
			d.group.Go(func() error { return a.keepDialing(ctx, added, entry.Address) })
		}
	}
	for address, existing := range d.byAddress {
		if wanted[address] {
			continue
		}
		close(existing.stop)
		delete(d.byAddress, address)
		if existing.session != nil && d.listed[address] {
			a.loop.Post(sessionSuperseded{existing.session})
		}
	}
}

// isSuperseded reports whether the agent no longer keeps a session with the entry, although the configuration
// still lists it.
func (d *dialerSet) isSuperseded(s *session.Session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.closed && d.byAddress[s.DialedAddress()] == nil && d.listed[s.DialedAddress()]
}

// retireSession withdraws the worker and the upstream from an entry. closeRetired closes the session when
// nothing of the entry is left here.
func (a *Agent) retireSession(s *session.Session) {
	if a.sessions[entryOf(s)] != s {
		return
	}
	a.retiring[s] = struct{}{}
	a.stepStartGate(startgate.Retired{Entry: entryOf(s)})
	a.stepRunner(runner.Retired{Entry: runner.EntryID(entryOf(s))})
}

// closeRetired closes the retired sessions that are no longer needed, and those that a new session with the
// same entry has replaced.
func (a *Agent) closeRetired() {
	for s := range a.retiring {
		id := entryOf(s)
		replaced := a.sessions[id] != s
		if replaced || a.startGate.Retirable(id) && a.runner.Retirable(clock.SinceBoot(), runner.EntryID(id)) {
			delete(a.retiring, s)
			logging.Log(a.config.Logger, logging.SessionRetired, zap.String("entry", id.ID), zap.String("address", s.DialedAddress()))
			go s.Close() // waits for the peer
		}
	}
}

// keepDialing opens a session with the entry at address and reopens it when it ends, until the dialer
// is stopped or ctx is done.
func (a *Agent) keepDialing(ctx context.Context, d *dialer, address string) error {
	backoff := minRedialBackoff
	connector := a.connector
	connector.ConnectTimeout, connector.AckTimeout = minConnectTimeout, ackTimeout
	failing := false
	for {
		err := connector.Dial(ctx, address, wire.RoleEntry)
		if ctx.Err() != nil {
			return nil
		}
		if a.dialers.dialEnded(d) {
			backoff, failing, connector.ConnectTimeout = minRedialBackoff, false, minConnectTimeout
		} else {
			if !failing {
				logging.Log(a.config.Logger, logging.EntryUnreachable, zap.String("address", address), zap.Error(err))
				failing = true
			}
			connector.ConnectTimeout = min(2*connector.ConnectTimeout, session.DefaultConnectTimeout)
		}
		// Jitter spreads the reconnects of the agents that lost the same entry.
		timer := time.NewTimer(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, maxRedialBackoff)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-d.stop:
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// sessionOpened records that the last dial of the dialer for the address has opened a session.
func (d *dialerSet) sessionOpened(s *session.Session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if target := d.byAddress[s.DialedAddress()]; target != nil {
		target.session, target.opened = s, true
	}
}

// dialEnded reports whether the last dial of the dialer opened a session, and clears what sessionOpened
// recorded.
func (d *dialerSet) dialEnded(target *dialer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	opened := target.opened
	target.opened, target.session = false, nil
	return opened
}

// close stops all dialers permanently. Open sessions stay open.
func (d *dialerSet) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for address, existing := range d.byAddress {
		close(existing.stop)
		delete(d.byAddress, address)
	}
}
