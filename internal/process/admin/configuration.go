package admin

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/process/httpapi"
	"pollenpaddle/internal/version/catalog"
)

// Class is the JSON representation of a class.
type Class struct {
	Name            string  `json:"name"`
	Upstream        string  `json:"upstream"`
	AnswerWithinMS  float64 `json:"answer_within_ms"`
	Share           float64 `json:"share"`
	Retired         bool    `json:"retired"`
	ChangedRevision uint64  `json:"changed_revision"` // revision of the last accepted change, also if that had no effect
}

// Classes is the response to GET /v1/classes.
type Classes struct {
	Revision uint64  `json:"revision"`
	Classes  []Class `json:"classes"`
}

// ClassResponse is the response to GET /v1/classes/{name}.
type ClassResponse struct {
	Revision uint64 `json:"revision"`
	Class    Class  `json:"class"`
}

// ClassBody is the body of PUT /v1/classes/{name}.
type ClassBody struct {
	Change
	Upstream       string  `json:"upstream"`
	AnswerWithinMS float64 `json:"answer_within_ms"`
	Share          float64 `json:"share"`
}

// Organisation is the JSON representation of an organisation.
type Organisation struct {
	Name            string `json:"name"`
	Slots           int    `json:"slots"` // quota of tasks running at once; 0 means no quota
	Retired         bool   `json:"retired"`
	ChangedRevision uint64 `json:"changed_revision"`
}

// Organisations is the response to GET /v1/organisations.
type Organisations struct {
	Revision      uint64         `json:"revision"`
	Organisations []Organisation `json:"organisations"`
}

// OrganisationResponse is the response to GET /v1/organisations/{name}.
type OrganisationResponse struct {
	Revision     uint64       `json:"revision"`
	Organisation Organisation `json:"organisation"`
}

// OrganisationBody is the body of PUT /v1/organisations/{name}.
type OrganisationBody struct {
	Change
	Slots int `json:"slots"`
}

// States of an availability zone.
const (
	ZoneIn  = "in"
	ZoneOut = "out"
)

// Zone is the JSON representation of an availability zone.
type Zone struct {
	Name            string `json:"name"`
	State           string `json:"state"` // in or out
	ChangedRevision uint64 `json:"changed_revision"`
}

// Zones is the response to GET /v1/zones.
type Zones struct {
	Revision uint64 `json:"revision"`
	Zones    []Zone `json:"zones"`
}

// ZoneBody is the body of PUT /v1/zones/{name}.
type ZoneBody struct {
	Change
	State string `json:"state"` // in or out
}

func toClass(c catalog.Class) Class {
	return Class{
		Name: c.Name, Upstream: c.Upstream, AnswerWithinMS: milliseconds(c.AnswerWithin), Share: c.Share,
		Retired: c.Retired, ChangedRevision: c.Revision,
	}
}

func toOrganisation(o catalog.Organisation) Organisation {
	return Organisation{Name: o.Name, Slots: o.Slots, Retired: o.Retired, ChangedRevision: o.Revision}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (a *API) listClasses(context.Context, *fasthttp.RequestCtx, string) (any, error) {
	state, err := a.state()
	if err != nil {
		return nil, err
	}
	response := Classes{Revision: state.Revision, Classes: []Class{}}
	for _, c := range state.Classes {
		response.Classes = append(response.Classes, toClass(c))
	}
	return response, nil
}

func (a *API) getClass(_ context.Context, _ *fasthttp.RequestCtx, name string) (any, error) {
	state, err := a.state()
	if err != nil {
		return nil, err
	}
	class, found := state.Class(name)
	if !found {
		return nil, failure.New(failure.NotFound, "list the classes with GET /v1/classes", "class %q does not exist", name)
	}
	return ClassResponse{Revision: state.Revision, Class: toClass(class)}, nil
}

func (a *API) putClass(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	var body ClassBody
	if err := httpapi.ReadJSON(request, &body); err != nil {
		return nil, err
	}
	// Checked before the conversion, which would overflow.
	if body.AnswerWithinMS > milliseconds(catalog.MaxAnswerWithin) {
		return nil, failure.New(failure.InvalidArgument, "use 1 to 3600000 ms", "answer_within_ms of class %q is %v", name, body.AnswerWithinMS)
	}
	return a.propose(ctx, body.Change, catalog.PutClass{Class: catalog.Class{
		Name: name, Upstream: body.Upstream, AnswerWithin: time.Duration(body.AnswerWithinMS * float64(time.Millisecond)), Share: body.Share,
	}})
}

func (a *API) retireClass(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	change, err := readChange(request)
	if err != nil {
		return nil, err
	}
	return a.propose(ctx, change, catalog.RetireClass{Name: name})
}

func (a *API) listOrganisations(context.Context, *fasthttp.RequestCtx, string) (any, error) {
	state, err := a.state()
	if err != nil {
		return nil, err
	}
	response := Organisations{Revision: state.Revision, Organisations: []Organisation{}}
	for _, o := range state.Organisations {
		response.Organisations = append(response.Organisations, toOrganisation(o))
	}
	return response, nil
}

func (a *API) getOrganisation(_ context.Context, _ *fasthttp.RequestCtx, name string) (any, error) {
	state, err := a.state()
	if err != nil {
		return nil, err
	}
	organisation, found := state.Organisation(name)
	if !found {
		return nil, failure.New(failure.NotFound, "list the organisations with GET /v1/organisations", "organisation %q does not exist", name)
	}
	return OrganisationResponse{Revision: state.Revision, Organisation: toOrganisation(organisation)}, nil
}

func (a *API) putOrganisation(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	var body OrganisationBody
	if err := httpapi.ReadJSON(request, &body); err != nil {
		return nil, err
	}
	return a.propose(ctx, body.Change, catalog.PutOrganisation{Organisation: catalog.Organisation{Name: name, Slots: body.Slots}})
}

func (a *API) retireOrganisation(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	change, err := readChange(request)
	if err != nil {
		return nil, err
	}
	return a.propose(ctx, change, catalog.RetireOrganisation{Name: name})
}

func (a *API) listZones(context.Context, *fasthttp.RequestCtx, string) (any, error) {
	state, err := a.state()
	if err != nil {
		return nil, err
	}
	response := Zones{Revision: state.Revision, Zones: []Zone{}}
	for _, z := range state.AvailabilityZones {
		zone := Zone{Name: z.Name, State: ZoneIn, ChangedRevision: z.Revision}
		if z.Out {
			zone.State = ZoneOut
		}
		response.Zones = append(response.Zones, zone)
	}
	return response, nil
}

func (a *API) putZone(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	var body ZoneBody
	if err := httpapi.ReadJSON(request, &body); err != nil {
		return nil, err
	}
	if body.State != ZoneIn && body.State != ZoneOut {
		return nil, failure.New(failure.InvalidArgument, `use "in" or "out"`, "state of zone %q is %q", name, body.State)
	}
	return a.propose(ctx, body.Change, catalog.SetZone{Name: name, Out: body.State == ZoneOut})
}
