package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/lease"
)

const (
	// presenceTTL is the validity of another member's presence report. Reports come once a second, and a
	// session that is silent for 3 s is closed.
	presenceTTL = 3 * time.Second
	// proposalTimeout bounds a proposal of the directory; the next tick repeats it.
	proposalTimeout = 5 * time.Second
)

// entryKey identifies one incarnation of an entry.
type entryKey struct {
	id          string
	incarnation uint64
}

// presence is the latest report from another member about the entries that have sessions with it.
type presence struct {
	at      time.Duration // boot-time clock
	entries map[entryKey]bool
}

// directory keeps the entries and zones of the configuration consistent with the processes that have
// sessions. Each member proposes the entries and zones of its own sessions; the leader removes entries
// that have had no session with any member for EntryTimeout. It is accessed only on the event loop's goroutine.
type directory struct {
	server   *Server
	reports  map[string]presence        // by member
	lastSeen map[entryKey]time.Duration // boot-time clock
	// absenceStart is the time (boot-time clock) from which the absence of an entry counts towards its
	// removal.
	absenceStart time.Duration
	leading      bool
	lastTick     time.Duration   // boot-time clock
	inProgress   map[string]bool // proposals in progress, by object
}

// proposalEnded is the event that a proposal about an object has ended, so another one may be started.
type proposalEnded struct {
	key       string
	succeeded bool
}

// handleProposalEnded handles the end of a proposal. Other proposals about the same object may have been
// skipped meanwhile, such as the removal of an entry whose addition was in progress, so the changes that
// are still needed are proposed now. After a failure they wait for the next tick, so that a rejected
// proposal is not repeated immediately.
func (d *directory) handleProposalEnded(e proposalEnded) {
	delete(d.inProgress, e.key)
	if e.succeeded {
		d.proposeChanges()
	}
}

func newDirectory(server *Server) *directory {
	return &directory{server: server, reports: map[string]presence{}, lastSeen: map[entryKey]time.Duration{}, inProgress: map[string]bool{}}
}

// tick is called at every tickInterval.
func (d *directory) tick(now time.Duration) {
	leading := d.server.replica.Status().Role == "leader"
	// A new leader has no presence reports yet, and a process that was suspended has missed some, so the
	// absence of entries before this time does not count.
	if leading && !d.leading || now-d.lastTick > presenceTTL {
		d.absenceStart = now
	}
	d.leading, d.lastTick = leading, now
	d.updateLastSeen(now)
	d.sendPresence()
	d.proposeChanges()
	if leading {
		d.removeAbsent(now)
	}
}

// updateLastSeen records which entries have a session with any member.
func (d *directory) updateLastSeen(now time.Duration) {
	for _, c := range d.server.clients {
		if key, ok := c.entryKey(); ok {
			d.lastSeen[key] = now
		}
	}
	for member, report := range d.reports {
		if now-report.at > presenceTTL {
			delete(d.reports, member)
			continue
		}
		for key := range report.entries {
			d.lastSeen[key] = max(d.lastSeen[key], report.at)
		}
	}
	for key, at := range d.lastSeen {
		if now-at > 2*d.server.config.EntryTimeout {
			delete(d.lastSeen, key)
		}
	}
}

// sendPresence reports the entries that have a session with this member to the other members.
func (d *directory) sendPresence() {
	message := &wire.Presence{}
	for _, c := range d.server.clients {
		if key, ok := c.entryKey(); ok {
			message.Entries = append(message.Entries, wire.PresentEntry{ID: key.id, Incarnation: key.incarnation})
		}
	}
	for _, member := range d.server.replica.Status().Members {
		d.server.links.send(member.Member, message)
	}
}

// handlePresence stores the report of another member.
func (d *directory) handlePresence(member string, message *wire.Presence) {
	report := presence{at: clock.SinceBoot(), entries: make(map[entryKey]bool, len(message.Entries))}
	for _, entry := range message.Entries {
		report.entries[entryKey{entry.ID, entry.Incarnation}] = true
	}
	d.reports[member] = report
}

// entryKey returns the key of the client if it is an entry that has polled for a configuration lease and
// is not draining; false otherwise.
func (c *client) entryKey() (entryKey, bool) {
	peer := c.session.Peer()
	return entryKey{peer.ID, peer.Incarnation}, peer.Role == wire.RoleEntry && c.polled && !c.draining
}

// proposeChanges compares this member's sessions with the configuration and proposes the differences.
func (d *directory) proposeChanges() {
	if _, known := d.server.replica.Leader(); !known {
		return
	}
	state := d.server.store.State()
	for _, c := range d.server.clients {
		peer := c.session.Peer()
		if peer.Role == wire.RoleControl || !c.polled {
			continue
		}
		if _, known := state.AvailabilityZone(peer.AvailabilityZone); !known {
			d.propose("zone "+peer.AvailabilityZone, catalog.AnnounceZone{Name: peer.AvailabilityZone})
		}
		if peer.Role == wire.RoleEntry {
			d.proposeEntryChange(c, state)
		}
	}
}

func (d *directory) proposeEntryChange(c *client, state *catalog.State) {
	peer := c.session.Peer()
	wanted := catalog.Entry{ID: peer.ID, Incarnation: peer.Incarnation, Address: peer.Address, AvailabilityZone: peer.AvailabilityZone}
	known, found := state.Entry(peer.ID)
	switch {
	case c.draining && found && known.Incarnation == peer.Incarnation:
		d.proposeRemoval(known)
	case c.draining || found && known == wanted:
	case found && known.Incarnation != peer.Incarnation && d.connected(entryKey{known.ID, known.Incarnation}):
		// Two processes cannot listen at one address: an entry that lost power is back, and its old session
		// has not timed out yet.
		if !c.duplicateLogged && known.Address != peer.Address {
			c.duplicateLogged = true
			logging.Log(d.server.config.Logger, logging.DuplicateEntryID, zap.String("entry", peer.ID), zap.String("address", peer.Address), zap.String("known_address", known.Address))
		}
	case d.propose("entry "+peer.ID, catalog.JoinEntry{Entry: wanted}):
		logging.Log(d.server.config.Logger, logging.EntryJoined, zap.String("entry", peer.ID), zap.Uint64("incarnation", peer.Incarnation))
	}
}

// connected reports whether any member currently has a session with the entry.
func (d *directory) connected(key entryKey) bool {
	for _, c := range d.server.clients {
		if own, ok := c.entryKey(); ok && own == key {
			return true
		}
	}
	now := clock.SinceBoot()
	for _, report := range d.reports {
		if report.entries[key] && now-report.at <= presenceTTL {
			return true
		}
	}
	return false
}

// removeAbsent proposes the removal of the entries that have had no session for EntryTimeout. A leader
// whose lease basis is old may be about to lose its leadership; its reports are then outdated, so it
// must not remove entries.
func (d *directory) removeAbsent(now time.Duration) {
	if basis, ok := d.server.replica.Basis(); !ok || basis.Age > lease.Duration/2 {
		d.absenceStart = now
		return
	}
	for _, entry := range d.server.store.State().Entries {
		absentSince := max(d.absenceStart, d.lastSeen[entryKey{entry.ID, entry.Incarnation}])
		if now-absentSince > d.server.config.EntryTimeout {
			d.proposeRemoval(entry)
		}
	}
}

func (d *directory) proposeRemoval(entry catalog.Entry) {
	if d.propose("entry "+entry.ID, catalog.LeaveEntry{ID: entry.ID, Incarnation: entry.Incarnation}) {
		logging.Log(d.server.config.Logger, logging.EntryLeft, zap.String("entry", entry.ID), zap.Uint64("incarnation", entry.Incarnation))
	}
}

// propose starts a proposal and returns true, unless one about the same object is already in progress.
func (d *directory) propose(key string, operation catalog.Operation) bool {
	if d.inProgress[key] {
		return false
	}
	d.inProgress[key] = true
	go func() {
		ctx, cancel := context.WithTimeout(d.server.ctx, proposalTimeout)
		defer cancel()
		_, err := d.server.Propose(ctx, catalog.Command{Operation: operation})
		if err != nil {
			logging.Log(d.server.config.Logger, logging.AutomaticChangeFailed, zap.String("object", key), zap.Error(err))
		}
		d.server.loop.Post(proposalEnded{key: key, succeeded: err == nil})
	}()
	return true
}
