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
	// presenceTime is how long a report of another member about its entries is believed. Reports
	// come once a second, and a session that is silent for 3 s is closed.
	presenceTime = 3 * time.Second
	// directoryTimeout bounds a proposal of the directory; it is made again after the next check.
	directoryTimeout = 5 * time.Second
)

// entryKey identifies one run of an entry.
type entryKey struct {
	id          string
	incarnation uint64
}

// presence is the last report of another member.
type presence struct {
	at      time.Duration
	entries map[entryKey]bool
}

// directory keeps the entries and zones of the configuration in step with the processes that have
// sessions. Each member proposes the entries and zones of its own sessions; the leader removes
// entries that no member has a session with. It belongs to the thread of the loop.
type directory struct {
	server   *Server
	reports  map[string]presence // by member
	seen     map[entryKey]time.Duration
	since    time.Duration // start of the time that counts towards the removal of an entry
	leading  bool
	lastTick time.Duration
	proposed map[string]bool // proposals under way, by object
}

// proposalEnded says that another proposal about the object may be made.
type proposalEnded struct {
	key  string
	made bool
}

// ended takes the end of a proposal. What its object needed meanwhile was not proposed, such as the
// leave of an entry whose join was under way, and is proposed now. After a failure it waits for the
// next tick, so that a refusal is not repeated without a pause.
func (d *directory) ended(e proposalEnded) {
	delete(d.proposed, e.key)
	if e.made {
		d.check()
	}
}

func newDirectory(server *Server) *directory {
	return &directory{server: server, reports: map[string]presence{}, seen: map[entryKey]time.Duration{}, proposed: map[string]bool{}}
}

// tick runs once a second.
func (d *directory) tick(now time.Duration) {
	leading := d.server.replica.Status().Role == "leader"
	// A new leader has not heard of the other members' sessions yet, and a process that was
	// suspended has missed reports. Absence before that moment proves nothing.
	if leading && !d.leading || now-d.lastTick > presenceTime {
		d.since = now
	}
	d.leading, d.lastTick = leading, now
	d.observe(now)
	d.report()
	d.check()
	if leading {
		d.removeGone(now)
	}
}

// observe notes which entries have a session with any member.
func (d *directory) observe(now time.Duration) {
	for _, f := range d.server.followers {
		if key, ok := f.entry(); ok {
			d.seen[key] = now
		}
	}
	for member, report := range d.reports {
		if now-report.at > presenceTime {
			delete(d.reports, member)
			continue
		}
		for key := range report.entries {
			d.seen[key] = max(d.seen[key], report.at)
		}
	}
	for key, at := range d.seen {
		if now-at > 2*d.server.config.EntryTimeout {
			delete(d.seen, key)
		}
	}
}

// report tells the other members about the own sessions with entries.
func (d *directory) report() {
	message := &wire.Presence{}
	for _, f := range d.server.followers {
		if key, ok := f.entry(); ok {
			message.Entries = append(message.Entries, wire.PresentEntry{ID: key.id, Incarnation: key.incarnation})
		}
	}
	for _, member := range d.server.replica.Status().Members {
		d.server.links.send(member.Member, message)
	}
}

// present takes the report of another member.
func (d *directory) present(member string, message *wire.Presence) {
	report := presence{at: clock.SinceBoot(), entries: make(map[entryKey]bool, len(message.Entries))}
	for _, entry := range message.Entries {
		report.entries[entryKey{entry.ID, entry.Incarnation}] = true
	}
	d.reports[member] = report
}

// entry returns the entry behind a session that has asked for a lease and does not drain.
func (f *follower) entry() (entryKey, bool) {
	peer := f.session.Peer()
	return entryKey{peer.ID, peer.Incarnation}, peer.Role == wire.RoleEntry && f.polled && !f.draining
}

// check compares the own sessions with the configuration and proposes what is missing.
func (d *directory) check() {
	if _, known := d.server.replica.Leader(); !known {
		return
	}
	state := d.server.store.State()
	for _, f := range d.server.followers {
		peer := f.session.Peer()
		if peer.Role == wire.RoleControl || !f.polled {
			continue
		}
		if _, known := state.AvailabilityZone(peer.AvailabilityZone); !known {
			d.propose("zone "+peer.AvailabilityZone, catalog.AnnounceZone{Name: peer.AvailabilityZone})
		}
		if peer.Role == wire.RoleEntry {
			d.checkEntry(f, state)
		}
	}
}

func (d *directory) checkEntry(f *follower, state *catalog.State) {
	peer := f.session.Peer()
	wanted := catalog.Entry{ID: peer.ID, Incarnation: peer.Incarnation, Address: peer.Address, AvailabilityZone: peer.AvailabilityZone}
	known, found := state.Entry(peer.ID)
	switch {
	case f.draining && found && known.Incarnation == peer.Incarnation:
		d.leave(known)
	case f.draining || found && known == wanted:
	case found && known.Incarnation != peer.Incarnation && d.connected(entryKey{known.ID, known.Incarnation}):
		if !f.refused {
			f.refused = true
			logging.Log(d.server.config.Logger, logging.DuplicateEntryID, zap.String("entry", peer.ID), zap.String("address", peer.Address), zap.String("known_address", known.Address))
		}
	case d.propose("entry "+peer.ID, catalog.JoinEntry{Entry: wanted}):
		logging.Log(d.server.config.Logger, logging.EntryJoined, zap.String("entry", peer.ID), zap.Uint64("incarnation", peer.Incarnation))
	}
}

// connected reports whether any member has a session with the entry now.
func (d *directory) connected(key entryKey) bool {
	for _, f := range d.server.followers {
		if own, ok := f.entry(); ok && own == key {
			return true
		}
	}
	now := clock.SinceBoot()
	for _, report := range d.reports {
		if report.entries[key] && now-report.at <= presenceTime {
			return true
		}
	}
	return false
}

// removeGone proposes to remove the entries that have had no session for EntryTimeout. A leader
// that is about to lose its leadership must not do that, because its reports are out of date.
func (d *directory) removeGone(now time.Duration) {
	if basis, ok := d.server.replica.Basis(); !ok || basis.Age > lease.Duration/2 {
		d.since = now
		return
	}
	for _, entry := range d.server.store.State().Entries {
		seen := max(d.since, d.seen[entryKey{entry.ID, entry.Incarnation}])
		if now-seen > d.server.config.EntryTimeout {
			d.leave(entry)
		}
	}
}

func (d *directory) leave(entry catalog.Entry) {
	if d.propose("entry "+entry.ID, catalog.LeaveEntry{ID: entry.ID, Incarnation: entry.Incarnation}) {
		logging.Log(d.server.config.Logger, logging.EntryLeft, zap.String("entry", entry.ID), zap.Uint64("incarnation", entry.Incarnation))
	}
}

// propose starts a proposal unless one about the same object is under way.
func (d *directory) propose(key string, operation catalog.Operation) bool {
	if d.proposed[key] {
		return false
	}
	d.proposed[key] = true
	go func() {
		ctx, cancel := context.WithTimeout(d.server.ctx, directoryTimeout)
		defer cancel()
		_, err := d.server.Propose(ctx, catalog.Command{Operation: operation})
		if err != nil {
			logging.Log(d.server.config.Logger, logging.DirectoryChangeFailed, zap.String("object", key), zap.Error(err))
		}
		d.server.loop.Post(proposalEnded{key: key, made: err == nil})
	}()
	return true
}
