package admin

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/httpapi"
)

// Member is the JSON representation of a control member.
type Member struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	Identity   string  `json:"identity"` // identity of its data folder
	Voter      bool    `json:"voter"`    // false for a learner that is catching up
	Leader     bool    `json:"leader"`
	Synced     uint64  `json:"synced"`                // index of the newest log entry synced to its disk
	HeardMS    float64 `json:"heard_ms"`              // ms since the leader last received a message from it; negative if unknown
	Barred     bool    `json:"barred,omitempty"`      // its data folder lacks log entries that it has acknowledged, as after a restore; the member must be replaced
	ReplacedBy string  `json:"replaced_by,omitempty"` // identity of a new data folder in use under its name; the member must be replaced
}

// Members is the response to GET /v1/members.
type Members struct {
	Leader   string   `json:"leader"`   // empty during an election
	Revision uint64   `json:"revision"` // of the group, not of the configuration; 0 if it is not known
	Members  []Member `json:"members"`
}

// Process is the JSON representation of a process that subscribes to the configuration.
type Process struct {
	ID               string `json:"id"`
	Role             string `json:"role"`
	Incarnation      uint64 `json:"incarnation,string"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address,omitempty"`
	Member           string `json:"member"`   // control member from which it receives the configuration
	Revision         uint64 `json:"revision"` // newest revision that it has confirmed
	Draining         bool   `json:"draining,omitempty"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Revision        uint64    `json:"revision"`
	InForceRevision uint64    `json:"in_force_revision"` // newest revision that every listed process has confirmed
	Leader          string    `json:"leader"`
	Members         []Member  `json:"members"`
	MissingMembers  []string  `json:"missing_members"` // members that did not respond; their processes are not listed
	Processes       []Process `json:"processes"`
}

// MemberBody is the body of changes of the members. DELETE and POST need none: they accept
// expected_revision as a query parameter too.
type MemberBody struct {
	Address string `json:"address,omitempty"` // host:port, for PUT only
	// ExpectedRevision is the revision of GET /v1/members on which the change is based. Without it, the
	// change is based on the revision at its arrival.
	ExpectedRevision uint64 `json:"expected_revision,omitempty"`
}

// MemberChanged is the response to a change of the members.
type MemberChanged struct {
	Name string `json:"name"`
}

func toMembers(status *wire.ControlStatus) []Member {
	members := []Member{}
	for _, m := range status.Members {
		heard := -1.0
		if m.Heard >= 0 {
			heard = milliseconds(m.Heard)
		}
		members = append(members, Member{
			Name: m.Name, Address: m.Address, Identity: m.Identity, Voter: m.Voter, Leader: m.Leader,
			Synced: m.Synced, HeardMS: heard, Barred: m.Barred, ReplacedBy: m.ReplacedBy,
		})
	}
	return members
}

func (a *API) members(ctx context.Context, _ *fasthttp.RequestCtx, _ string) (any, error) {
	// The revision is read first, so that it is not newer than the list. A control member of an earlier
	// release rejects the call as invalid; the list is needed during an upgrade all the same.
	revision, err := a.Backend.MembersRevision(ctx)
	if err != nil && failure.KindOf(err) != failure.InvalidArgument {
		return nil, err
	}
	status, err := a.Backend.Status(ctx)
	if err != nil {
		return nil, err
	}
	return Members{Leader: status.Leader, Revision: revision, Members: toMembers(status)}, nil
}

func (a *API) status(ctx context.Context, _ *fasthttp.RequestCtx, _ string) (any, error) {
	status, err := a.Backend.Status(ctx)
	if err != nil {
		return nil, err
	}
	response := Status{
		Revision: status.Revision, InForceRevision: status.Revision, Leader: status.Leader,
		Members: toMembers(status), MissingMembers: append([]string{}, status.Missing...), Processes: []Process{},
	}
	for _, p := range status.Processes {
		response.InForceRevision = min(response.InForceRevision, p.Revision)
		response.Processes = append(response.Processes, Process{
			ID: p.ID, Role: string(p.Role), Incarnation: p.Incarnation, AvailabilityZone: p.AvailabilityZone,
			Address: p.Address, Member: p.Member, Revision: p.Revision, Draining: p.Draining,
		})
	}
	return response, nil
}

func (a *API) addMember(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	body, err := readMemberBody(request)
	if err != nil {
		return nil, err
	}
	if _, _, err := net.SplitHostPort(body.Address); err != nil {
		return nil, failure.New(failure.InvalidArgument, "use host:port", "address of member %q is %q", name, body.Address)
	}
	return a.changeMember(ctx, request, body, wire.MemberChange{Kind: wire.AdminAdd, Name: name, Address: body.Address})
}

func (a *API) removeMember(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	body, err := readMemberBody(request)
	if err != nil {
		return nil, err
	}
	return a.changeMember(ctx, request, body, wire.MemberChange{Kind: wire.AdminRemove, Name: name})
}

func (a *API) replaceMember(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	body, err := readMemberBody(request)
	if err != nil {
		return nil, err
	}
	return a.changeMember(ctx, request, body, wire.MemberChange{Kind: wire.AdminReplace, Name: name})
}

func readMemberBody(request *fasthttp.RequestCtx) (MemberBody, error) {
	var body MemberBody
	if len(request.PostBody()) > 0 {
		return body, httpapi.ReadJSON(request, &body)
	}
	if !request.QueryArgs().Has(parameterExpectedRevision) {
		return body, nil
	}
	var err error
	body.ExpectedRevision, err = readExpectedRevision(request)
	return body, err
}

// changeMember carries out a change. If the change names no revision, it gets one before the check that
// its caller still waits: what the caller sends after the check leads to a conflict with this change, even
// if a process is paused between the check and the effect.
func (a *API) changeMember(ctx context.Context, request *fasthttp.RequestCtx, body MemberBody, change wire.MemberChange) (any, error) {
	change.Expected = body.ExpectedRevision
	if change.Expected == 0 {
		revision, err := a.Backend.MembersRevision(ctx)
		if err != nil {
			return nil, err
		}
		change.Expected = revision
		if httpapi.HasDisconnected(request.Conn()) || a.StalledRecently() {
			return nil, failure.New(failure.Unavailable, "read GET /v1/members, and repeat the change with expected_revision if it is still wanted",
				"the request may have waited while this process was paused, or its caller has disconnected; nothing was changed").WithRetryAfter(time.Second)
		}
	}
	if err := a.Backend.ChangeMember(ctx, change); err != nil {
		return nil, err
	}
	return MemberChanged{Name: change.Name}, nil
}
