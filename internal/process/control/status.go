package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/catalog"
	"pollenpaddle/internal/version/replica"
	"pollenpaddle/internal/version/replication"
)

// statusTimeout bounds the wait for the status of the other members.
const statusTimeout = time.Second

// sessionTableRequest is the event that requests the session table from the event loop.
type sessionTableRequest struct{ reply chan []wire.ProcessStatus }

// sessionTable returns the status of the entries and agents that have a session with this member. It must
// be called on the event loop's goroutine.
func (s *Server) sessionTable() []wire.ProcessStatus {
	var table []wire.ProcessStatus
	for _, c := range s.clients {
		if peer := c.session.Peer(); peer.Role != wire.RoleControl {
			table = append(table, wire.ProcessStatus{
				ID: peer.ID, Role: peer.Role, Incarnation: peer.Incarnation, AvailabilityZone: peer.AvailabilityZone,
				Address: peer.Address, Member: s.config.Identity.ID, Revision: c.confirmed, Draining: c.draining,
			})
		}
	}
	return table
}

// localStatus returns the status as this member knows it, without asking the others.
func (s *Server) localStatus(ctx context.Context) (*wire.ControlStatus, error) {
	request := sessionTableRequest{reply: make(chan []wire.ProcessStatus, 1)}
	s.loop.Post(request)
	known := s.replica.Status()
	status := &wire.ControlStatus{Revision: s.store.State().Revision, Leader: known.Leader.Name}
	for _, m := range known.Members {
		member := wire.MemberStatus{
			Name: m.Name, Address: m.Address, Identity: m.Identity.String(), Voter: m.Voter, Leader: m.Identity == known.Leader.Identity,
			Synced: m.Match, Heard: m.Heard, Barred: m.Barred,
		}
		if m.ReplacedBy != replication.NoIdentity {
			member.ReplacedBy = m.ReplacedBy.String()
		}
		status.Members = append(status.Members, member)
	}
	select {
	case status.Processes = <-request.reply:
		return status, nil
	case <-ctx.Done():
		return nil, failure.New(failure.Overloaded, "retry later", "the control member did not collect its sessions in time")
	}
}

// Status returns the status of the installation: the members as the leader knows them, and the processes
// that have a session with any member.
func (s *Server) Status(ctx context.Context) (*wire.ControlStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	merged, err := s.localStatus(ctx)
	if err != nil {
		return nil, err
	}
	known := s.replica.Status()
	replies := make([]*wire.ControlStatus, len(known.Members))
	var group errgroup.Group
	for i, member := range known.Members {
		if member.Identity == known.Identity {
			continue
		}
		group.Go(func() error {
			if result, err := s.links.call(ctx, member.Member, func(id uint64) wire.Message { return &wire.AdminCall{ID: id, Kind: wire.AdminLocalStatus} }); err == nil {
				replies[i] = result.Status
			}
			return nil
		})
	}
	_ = group.Wait() // a member that did not reply is listed as missing
	for i, member := range known.Members {
		switch {
		case member.Identity == known.Identity:
		case replies[i] == nil:
			merged.Missing = append(merged.Missing, member.Name)
		default:
			mergeStatus(merged, replies[i], member)
		}
	}
	slices.SortFunc(merged.Processes, func(a, b wire.ProcessStatus) int {
		return strings.Compare(string(a.Role)+" "+a.ID, string(b.Role)+" "+b.ID)
	})
	return merged, nil
}

// mergeStatus adds the reply of a member to the merged status.
func mergeStatus(merged, reply *wire.ControlStatus, member replica.MemberStatus) {
	merged.Processes = append(merged.Processes, reply.Processes...)
	merged.Revision = max(merged.Revision, reply.Revision)
	if reply.Leader == member.Name {
		merged.Leader, merged.Members = reply.Leader, reply.Members
	}
}

// MembersRevision returns the revision of the group of control members as this member knows it: the index
// of the last log entry that it knows to be committed.
func (s *Server) MembersRevision(context.Context) (uint64, error) {
	return s.replica.Committed(), nil
}

// ChangeMember carries out a membership change on the leader, which may be another member.
func (s *Server) ChangeMember(ctx context.Context, change wire.MemberChange) error {
	if err := catalog.ValidateName("member", change.Name); err != nil {
		return err
	}
	if change.Expected == 0 {
		return failure.New(failure.InvalidArgument, "read the revision with GET /v1/members and send it as expected_revision", "the change of the members has no expected revision")
	}
	if s.replica.Status().Role == "leader" {
		switch change.Kind {
		case wire.AdminAdd:
			return s.addMember(ctx, change)
		case wire.AdminRemove:
			return s.replica.RemoveMember(ctx, change.Expected, change.Name)
		case wire.AdminReplace:
			return s.replica.ReplaceMember(ctx, change.Expected, change.Name)
		default:
			return unknownAdminCall(change.Kind)
		}
	}
	leader, known := s.replica.Leader()
	if !known || change.Forwarded {
		return failure.New(failure.Unavailable, "retry; if it persists, make sure that a majority of the control members is running and connected", "the control members have no leader at present, or the leader has just changed").WithRetryAfter(time.Second)
	}
	change.Forwarded = true
	result, err := s.links.call(ctx, leader, func(id uint64) wire.Message { change.ID = id; return &change })
	if err != nil {
		return err
	}
	if result.Failure != nil {
		return result.Failure.ToError()
	}
	return nil
}

// addMember adds a process that has asked to join; its request contains the identity of its data folder.
func (s *Server) addMember(ctx context.Context, change wire.MemberChange) error {
	for _, joining := range s.replica.Status().Joining {
		if joining.Name != change.Name {
			continue
		}
		joining.Address = change.Address
		return s.replica.AddMember(ctx, change.Expected, joining)
	}
	return failure.New(failure.Unavailable, "start the process with an empty data folder and all members in control_members, then repeat the command",
		"no control process named %s has asked to join", change.Name).WithRetryAfter(time.Second)
}

// Dump implements daemon.Role.
func (s *Server) Dump() any {
	basis, held := s.replica.Basis()
	return struct {
		Revision      uint64
		Configuration *catalog.State
		Log           replica.Status
		BasisHeld     bool
		BasisAge      time.Duration // nanoseconds
		Entries       int64         // sessions with entries
		Agents        int64         // sessions with agents
		Members       int64         // sessions opened by other members
		QueuedEvents  int
		Draining      bool
	}{
		s.store.State().Revision, s.store.State(), s.replica.Status(), held, basis.Age,
		s.counts.entries.Load(), s.counts.agents.Load(), s.counts.members.Load(), s.loop.Len(), s.draining.Load(),
	}
}
