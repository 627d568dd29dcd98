package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/version/catalog"
)

const (
	// minRedialBackoff and maxRedialBackoff bound the backoff before an entry is dialed again. A jitter of
	// up to 50% in both directions is applied to it. The longest backoff leaves several attempts within
	// the 5 s that entries allow for a reconnect.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = time.Second
)

// dialerSet holds one dialer for each entry of the configuration.
type dialerSet struct {
	mu        sync.Mutex
	ctx       context.Context // nil before Run
	group     *errgroup.Group
	byAddress map[string]*dialer
	closed    bool
}

// dialer redials one entry until stop is closed. Closing stop does not end an open session, because
// an entry that was removed from the configuration may still finish jobs.
type dialer struct {
	stop    chan struct{}
	session *session.Session // set while a session is open; not read
	opened  bool             // the last dial has opened a session
}

// start sets the context and the group of the dialers that dialEntries starts.
func (d *dialerSet) start(ctx context.Context, group *errgroup.Group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ctx, d.group = ctx, group
}

// dialEntries starts dialers for new entries and stops those of removed ones.
func (a *Agent) dialEntries(entries []catalog.Entry) {
	d := &a.dialers
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.closed {
		return
	}
	wanted := map[string]bool{}
	for _, entry := range entries {
		wanted[entry.Address] = true
		if d.byAddress[entry.Address] == nil {
			added := &dialer{stop: make(chan struct{})}
			d.byAddress[entry.Address] = added
			ctx := d.ctx
			d.group.Go(func() error { return a.keepDialing(ctx, added, entry.Address) })
		}
	}
	for address, existing := range d.byAddress {
		if !wanted[address] {
			close(existing.stop)
			delete(d.byAddress, address)
		}
	}
}

// keepDialing opens a session with the entry at address and reopens it when it ends, until the dialer
// is stopped or ctx is done.
func (a *Agent) keepDialing(ctx context.Context, d *dialer, address string) error {
	backoff := minRedialBackoff
	failing := false
	for {
		err := a.connector.Dial(ctx, address, wire.RoleEntry)
		if ctx.Err() != nil {
			return nil
		}
		if a.dialers.dialEnded(d) {
			backoff, failing = minRedialBackoff, false
		} else if !failing {
			logging.Log(a.config.Logger, logging.EntryUnreachable, zap.String("address", address), zap.Error(err))
			failing = true
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
