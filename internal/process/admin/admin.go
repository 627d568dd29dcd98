// Package admin implements the HTTP API for operators. Control and entry processes serve the same
// paths: a control member executes calls itself, an entry forwards them to the control member from
// which it receives the configuration.
package admin

import (
	"context"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/auth"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/version/catalog"
)

// callTimeout limits one API call. It exceeds the 5 s limit of a call at the control member.
const callTimeout = 6 * time.Second

// Backend executes the calls of operators. control.Server and configfeed.Client implement it.
type Backend interface {
	// State returns the newest known configuration, or nil if there is none yet.
	State() *catalog.State
	// Propose executes a command. The error is its rejection, Unavailable or MayHaveRun.
	Propose(ctx context.Context, command catalog.Command) (catalog.Outcome, error)
	// Status returns the status of the installation.
	Status(ctx context.Context) (*wire.ControlStatus, error)
	// MembersRevision returns the revision of the group of control members.
	MembersRevision(ctx context.Context) (uint64, error)
	// ChangeMember adds, removes or replaces a control member. The error is RevisionConflict if the group
	// has changed since the expected revision.
	ChangeMember(ctx context.Context, change wire.MemberChange) error
}

// BackendProvider is a role that has a Backend.
type BackendProvider interface{ AdminBackend() Backend }

// API serves the HTTP paths for operators.
type API struct {
	Backend Backend
	Tokens  *auth.Tokens
	// StalledRecently reports whether a request that is read now may have waited while the process did
	// not run.
	StalledRecently func() bool
}

// Routes registers the paths of the API.
func (a *API) Routes(r *router.Router) {
	r.GET("/v1/classes", a.handle(anyone, a.listClasses))
	r.GET("/v1/classes/{name}", a.handle(anyone, a.getClass))
	r.PUT("/v1/classes/{name}", a.handle(operator, a.putClass))
	r.DELETE("/v1/classes/{name}", a.handle(operator, a.retireClass))
	r.GET("/v1/organisations", a.handle(operator, a.listOrganisations))
	r.GET("/v1/organisations/{name}", a.handle(ownOrganisation, a.getOrganisation))
	r.PUT("/v1/organisations/{name}", a.handle(operator, a.putOrganisation))
	r.DELETE("/v1/organisations/{name}", a.handle(operator, a.retireOrganisation))
	r.GET("/v1/zones", a.handle(anyone, a.listZones))
	r.PUT("/v1/zones/{name}", a.handle(operator, a.putZone))
	r.GET("/v1/status", a.handle(operator, a.status))
	r.GET("/v1/members", a.handle(operator, a.members))
	r.PUT("/v1/members/{name}", a.handle(operator, a.addMember))
	r.DELETE("/v1/members/{name}", a.handle(operator, a.removeMember))
	r.POST("/v1/members/{name}/replace", a.handle(operator, a.replaceMember))
}

// access checks whether a caller may use a path; name is the path parameter.
type access func(principal auth.Principal, name string) error

func anyone(auth.Principal, string) error { return nil }

func operator(principal auth.Principal, _ string) error { return principal.RequireOperator() }

func ownOrganisation(principal auth.Principal, name string) error {
	if principal.Operator() {
		return nil
	}
	return principal.RequireOrganisation(name)
}

// handler handles one request; name is the path parameter. Its result is encoded as JSON.
type handler func(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error)

func (a *API) handle(allowed access, serve handler) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		name, _ := request.UserValue("name").(string)
		principal, err := a.Tokens.Authenticate(string(request.Request.Header.Peek(fasthttp.HeaderAuthorization)))
		if err == nil {
			err = allowed(principal, name)
		}
		var body any
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			body, err = serve(ctx, request, name)
		}
		if err != nil {
			httpapi.WriteError(request, err)
			return
		}
		httpapi.WriteJSON(request, fasthttp.StatusOK, body)
	}
}

// state returns the configuration or Unavailable.
func (a *API) state() (*catalog.State, error) {
	if state := a.Backend.State(); state != nil {
		return state, nil
	}
	return nil, failure.New(failure.Unavailable, "check that the control members run and can be reached", "this process has no configuration yet").WithRetryAfter(time.Second)
}

// Change holds the fields that the bodies of all changes have.
type Change struct {
	ExpectedRevision uint64 `json:"expected_revision"` // revision on which the change is based
	ChangeID         string `json:"change_id"`         // idempotency id, the same in every resend of the change
}

// ChangeResponse is the response to a change: the revision after it.
type ChangeResponse struct {
	Revision uint64 `json:"revision"`
}

func (a *API) propose(ctx context.Context, change Change, operation catalog.Operation) (any, error) {
	if change.ChangeID == "" {
		return nil, failure.New(failure.InvalidArgument, "send a change_id that is unique to this change, for example a UUID, and repeat it only to resend the change", "the change has no change_id")
	}
	outcome, err := a.Backend.Propose(ctx, catalog.Command{ChangeID: change.ChangeID, ExpectedRevision: change.ExpectedRevision, Operation: operation})
	if err != nil {
		return nil, err
	}
	return ChangeResponse{Revision: outcome.Revision}, nil
}

// readChange reads a change that has no fields of its own. Clients that cannot send a body with
// DELETE pass expected_revision and change_id as query parameters.
func readChange(request *fasthttp.RequestCtx) (Change, error) {
	var change Change
	if len(request.PostBody()) > 0 {
		return change, httpapi.ReadJSON(request, &change)
	}
	change.ChangeID = string(request.QueryArgs().Peek("change_id"))
	var err error
	change.ExpectedRevision, err = readExpectedRevision(request)
	return change, err
}

const parameterExpectedRevision = "expected_revision"

func readExpectedRevision(request *fasthttp.RequestCtx) (uint64, error) {
	text := string(request.QueryArgs().Peek(parameterExpectedRevision))
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, failure.New(failure.InvalidArgument, "send expected_revision, and change_id if the change needs one, in a JSON body or as query parameters", "expected_revision %q is not a number", text)
	}
	return revision, nil
}
