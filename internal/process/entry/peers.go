package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/clock"
	"pollenpaddle/internal/connection/session"
	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/request/cancellation"
	"pollenpaddle/internal/request/claim"
	"pollenpaddle/internal/request/dispatch"
	"pollenpaddle/internal/request/jobcheck"
	"pollenpaddle/internal/request/scheduler"
	"pollenpaddle/internal/version/catalog"
)

const (
	// redialBackoff is the backoff before an entry is dialed again.
	redialBackoff = 200 * time.Millisecond
	// dialSpacing is the time between the first dials of two entries. While many processes start at once, an
	// entry on a small VM needs its processor time for the sessions of its agents first.
	dialSpacing = 20 * time.Millisecond
)

// dialer is the handle of a goroutine that keeps a session with another entry open.
type dialer struct {
	address string
	stop    context.CancelFunc
}

func agentOf(s *session.Session) dispatch.AgentID {
	return dispatch.AgentID{ID: s.Peer().ID, Incarnation: s.Peer().Incarnation}
}

func peerOf(s *session.Session) wire.Claimant {
	return wire.Claimant{EntryID: s.Peer().ID, Incarnation: s.Peer().Incarnation}
}

func (e *Entry) sessionOpened(s *session.Session) {
	if e.status.draining.Load() {
		s.Send(&wire.Closing{})
	}
	switch s.Peer().Role {
	case wire.RoleAgent:
		e.agents[agentOf(s)] = s
		s.Send(&wire.Pong{Features: wire.FeatureSpeeds | wire.FeatureCrashes | wire.FeatureCancellations})
		e.restartable.cancellations.unannounced[s] = struct{}{}
		e.step(dispatch.AgentConnected{Agent: agentOf(s), AvailabilityZone: s.Peer().AvailabilityZone})
		e.stepScheduler(scheduler.AgentConnected{Agent: scheduler.AgentID(agentOf(s)), AvailabilityZone: s.Peer().AvailabilityZone})
	case wire.RoleEntry:
		logging.Log(e.config.Logger, logging.EntryPeerConnected, zap.String("entry", s.Peer().ID), zap.Uint64("incarnation", s.Peer().Incarnation))
		e.peers[peerOf(s)] = s
		s.Send(&wire.Pong{Features: wire.FeatureCapacities | wire.FeatureCrashes | wire.FeatureUnresolved | wire.FeatureCancellations | wire.FeatureJobChecks})
		e.restartable.cancellations.unannounced[s] = struct{}{}
		e.peerConnected(peerOf(s))
	}
}

func (e *Entry) sessionClosed(s *session.Session, err error) {
	delete(e.restartable.cancellations.unannounced, s)
	switch s.Peer().Role {
	case wire.RoleAgent:
		if e.agents[agentOf(s)] == s {
			delete(e.agents, agentOf(s))
			e.step(dispatch.AgentDisconnected{Agent: agentOf(s)})
			e.stepScheduler(scheduler.AgentDisconnected{Agent: scheduler.AgentID(agentOf(s))})
		}
	case wire.RoleEntry:
		delete(e.restartable.capacitiesSent, s)
		delete(e.restartable.unresolvedSent, s)
		if e.peers[peerOf(s)] == s {
			logging.Log(e.config.Logger, logging.EntryPeerLost, zap.String("entry", s.Peer().ID), zap.Error(err))
			delete(e.peers, peerOf(s))
			e.stepScheduler(scheduler.PeerDisconnected{Entry: peerOf(s)})
			e.stepCancellations(cancellation.PeerDisconnected{Entry: peerOf(s)})
			e.stepJobChecks(jobcheck.PeerDisconnected{Entry: peerOf(s)})
			e.peerDisconnected(peerOf(s))
		}
	}
}

func (e *Entry) receive(s *session.Session, messages []wire.Message) {
	e.contacted(clock.SinceBoot())
	e.status.contact.Observe(clock.SinceBoot())
	if len(e.restartable.cancellations.unannounced) > 0 {
		e.introduceSessions() // an announcement precedes all other messages
	}
	if s.Peer().Role == wire.RoleAgent {
		for _, message := range messages {
			if !e.receiveRunMessage(scheduler.AgentID(agentOf(s)), message) {
				e.step(dispatch.AgentMessage{Agent: agentOf(s), Message: message})
			}
		}
		return
	}
	if s.Peer().Role != wire.RoleEntry {
		return
	}
	from := peerOf(s)
	for _, message := range messages {
		if e.receiveCancellation(from, message) || e.receiveJobCheck(from, message) {
			continue
		}
		switch m := message.(type) {
		case *wire.Claim:
			s.Send(e.registrar.Claim(e.config.Now(), from, m))
		case *wire.ClaimRelease:
			e.registrar.Release(from, m)
		case *wire.ClaimReply:
			if m.Attempt == 0 { // a reply to an owner look-up
				e.ownerLookupReplied(from, m)
			} else {
				e.stepClaims(claim.Received{From: from, Reply: m})
			}
		case *wire.JobQuery:
			e.serveQuery(from, m)
		case *wire.JobReply:
			e.queryReplied(from, m)
		case *wire.Capacities:
			e.stepScheduler(scheduler.PeerCapacities{Entry: from, Report: m})
		case *wire.TaskCrashes:
			e.stepScheduler(scheduler.PeerCrashes{Report: m})
		case *wire.UnresolvedJobs:
			e.stepScheduler(scheduler.PeerUnresolved{Entry: from, Report: m})
		case *wire.UsageReport:
			e.step(dispatch.PeerUsage{Entry: from.EntryID, Report: m})
		}
	}
}

// updateDialers keeps a session with each listed entry whose id is greater than this entry's; the
// others dial this entry. The session with an entry that is no longer listed is not closed: a draining
// entry still replies to queries about its jobs.
func (e *Entry) updateDialers(entries []catalog.Entry) {
	wanted := map[string]string{}
	for _, entry := range entries {
		if entry.ID > e.self.EntryID {
			wanted[entry.ID] = entry.Address
		}
	}
	for id, d := range e.dialers {
		if wanted[id] != d.address {
			d.stop()
			delete(e.dialers, id)
		}
	}
	delay := time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(wanted)) {
		if _, dialed := e.dialers[id]; dialed {
			continue
		}
		address := wanted[id]
		ctx, stop := context.WithCancel(e.groupCtx)
		e.dialers[id] = dialer{address: address, stop: stop}
		first := delay
		delay += dialSpacing
		e.group.Go(func() error {
			e.keepDialing(ctx, address, first)
			return nil
		})
	}
}

// keepDialing keeps a session with the entry at address open. It dials it for the first time after the delay.
func (e *Entry) keepDialing(ctx context.Context, address string, delay time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		_ = e.connector.Dial(e.sessionCtx, address, wire.RoleEntry)
		delay = redialBackoff
	}
}
