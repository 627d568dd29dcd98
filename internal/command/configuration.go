package command

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"pollenpaddle/internal/failure"
)

// change holds the fields that all changes of the configuration have.
type change struct {
	ExpectedRevision uint64 `json:"expected_revision"`
	ChangeID         string `json:"change_id"`
}

// changeFlags are the flags of every command that changes the configuration.
type changeFlags struct {
	revision int64
	id       string
}

func (f *changeFlags) add(command *kingpin.CmdClause) {
	command.Flag("expected-revision", "Make the change only at this revision. Default: the current revision.").Default("-1").Int64Var(&f.revision)
	command.Flag("change-id", "Idempotency id; to resend a change whose response was lost, give the same id and the same --expected-revision.").StringVar(&f.id)
}

// revisionResponse holds the revision, which responses to changes and to list requests contain.
type revisionResponse struct {
	Revision uint64 `json:"revision"`
}

// resolve returns the change for the flags. Without --expected-revision it is based on the current
// revision.
func (t *invocation) resolve(f *changeFlags) (change, error) {
	if f.id != "" && f.revision < 0 {
		return change{}, failure.New(failure.InvalidArgument, "add the --expected-revision of the first attempt", "--change-id requires --expected-revision: a resend must equal the first attempt")
	}
	c := change{ChangeID: f.id, ExpectedRevision: uint64(max(0, f.revision))}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	if f.revision >= 0 {
		return c, nil
	}
	var current revisionResponse
	err := t.client.call("GET", "/v1/zones", nil, &current)
	c.ExpectedRevision = current.Revision
	return c, err
}

// apply sends a change. The response arrives when the change is committed; apply prints the revision
// after it.
func (t *invocation) apply(method, path string, body any) error {
	var response revisionResponse
	if err := t.client.call(method, path, body, &response); err != nil {
		return withResendFlags(err, body)
	}
	if t.json {
		return t.printJSON(response)
	}
	_, err := fmt.Fprintf(t.Out, "accepted at revision %d\n", response.Revision)
	return err
}

// changeBody is a request body that embeds a change.
type changeBody interface{ commonFields() change }

func (c change) commonFields() change { return c }

// withResendFlags adds the flags for a resend to the error of a change whose outcome is unknown.
func withResendFlags(err error, body any) error {
	c, ok := body.(changeBody)
	if !ok || failure.KindOf(err) != failure.MayHaveRun {
		return err
	}
	b := c.commonFields()
	return failure.New(failure.MayHaveRun, fmt.Sprintf("repeat the command with --change-id %s --expected-revision %d", b.ChangeID, b.ExpectedRevision), "the outcome of the change is unknown: %v", err)
}

func (t *invocation) addConfigurationCommands(app *kingpin.Application) {
	t.addClassCommands(app.Command("class", "Show and change classes and their targets."))
	t.addOrganisationCommands(app.Command("organisation", "Show and change organisations and their quotas."))
	t.addZoneCommands(app.Command("zone", "Show availability zones; take them out of service and back in."))
	t.addMemberCommands(app.Command("member", "Show, add, remove and replace control members."))
}

// classBody is the JSON representation of a class.
type classBody struct {
	change
	Name           string  `json:"name,omitempty"`
	Upstream       string  `json:"upstream"`
	AnswerWithinMS int64   `json:"answer_within_ms"`
	Share          float64 `json:"share"`
	Retired        bool    `json:"retired,omitempty"`
}

func (t *invocation) addClassCommands(group *kingpin.CmdClause) {
	group.Command("list", "List the classes.").Action(func(*kingpin.ParseContext) error {
		var raw json.RawMessage
		var list struct{ Classes []classBody }
		if err := t.fetch("/v1/classes", &raw, &list); err != nil {
			return err
		}
		var rows [][]string
		for _, c := range list.Classes {
			within := time.Duration(c.AnswerWithinMS) * time.Millisecond
			rows = append(rows, []string{c.Name, c.Upstream, within.String(), strconv.FormatFloat(c.Share, 'g', -1, 64), choose(c.Retired, "retired", "active")})
		}
		return t.print(raw, []string{"CLASS", "UPSTREAM", "ANSWER WITHIN", "SHARE", "STATE"}, rows)
	})
	var name string
	var body classBody
	var within time.Duration
	var flags changeFlags
	set := group.Command("set", "Add a class or change its target.")
	set.Arg("name", "Class.").Required().StringVar(&name)
	set.Flag("upstream", "Upstream that runs its tasks.").Required().StringVar(&body.Upstream)
	set.Flag("answer-within", "Target: time within which a response is due.").Required().DurationVar(&within)
	set.Flag("share", "Target: share of responses that must arrive in time, 0 to 1.").Default("0.99").Float64Var(&body.Share)
	flags.add(set)
	set.Action(func(*kingpin.ParseContext) error {
		c, err := t.resolve(&flags)
		if err != nil {
			return err
		}
		body.change, body.AnswerWithinMS = c, within.Milliseconds()
		return t.apply("PUT", "/v1/classes/"+url.PathEscape(name), body)
	})
	t.addRetire(group, "class", "/v1/classes/")
}

// organisationBody is the JSON representation of an organisation.
type organisationBody struct {
	change
	Name    string `json:"name,omitempty"`
	Slots   int    `json:"slots"`
	Retired bool   `json:"retired,omitempty"`
}

func (t *invocation) addOrganisationCommands(group *kingpin.CmdClause) {
	group.Command("list", "List the organisations.").Action(func(*kingpin.ParseContext) error {
		var raw json.RawMessage
		var list struct{ Organisations []organisationBody }
		if err := t.fetch("/v1/organisations", &raw, &list); err != nil {
			return err
		}
		var rows [][]string
		for _, o := range list.Organisations {
			rows = append(rows, []string{o.Name, strconv.Itoa(o.Slots), choose(o.Retired, "retired", "active")})
		}
		return t.print(raw, []string{"ORGANISATION", "SLOTS", "STATE"}, rows)
	})
	var name string
	var body organisationBody
	var flags changeFlags
	set := group.Command("set", "Add an organisation or change its quota.")
	set.Arg("name", "Organisation.").Required().StringVar(&name)
	set.Flag("slots", "Quota: tasks that run at once over all entries; 0 for no quota.").Default("0").IntVar(&body.Slots)
	flags.add(set)
	set.Action(func(*kingpin.ParseContext) error {
		c, err := t.resolve(&flags)
		if err != nil {
			return err
		}
		body.change = c
		return t.apply("PUT", "/v1/organisations/"+url.PathEscape(name), body)
	})
	t.addRetire(group, "organisation", "/v1/organisations/")
}

// addRetire adds the command that retires a class or an organisation.
func (t *invocation) addRetire(group *kingpin.CmdClause, kind, path string) {
	var name string
	var flags changeFlags
	retire := group.Command("retire", "Retire: new work is rejected, running work finishes.")
	retire.Arg("name", "Name of the "+kind+".").Required().StringVar(&name)
	flags.add(retire)
	retire.Action(func(*kingpin.ParseContext) error {
		c, err := t.resolve(&flags)
		if err != nil {
			return err
		}
		return t.apply("DELETE", path+url.PathEscape(name), c)
	})
}

// zoneBody is the JSON body of PUT /v1/zones/{name}.
type zoneBody struct {
	change
	State string `json:"state"` // in or out
}

func (t *invocation) addZoneCommands(group *kingpin.CmdClause) {
	group.Command("list", "List the availability zones.").Action(func(*kingpin.ParseContext) error {
		var raw json.RawMessage
		var list struct {
			Zones []struct{ Name, State string }
		}
		if err := t.fetch("/v1/zones", &raw, &list); err != nil {
			return err
		}
		var rows [][]string
		for _, z := range list.Zones {
			rows = append(rows, []string{z.Name, z.State})
		}
		return t.print(raw, []string{"AVAILABILITY ZONE", "STATE"}, rows)
	})
	for _, state := range []string{"out", "in"} {
		var name string
		var flags changeFlags
		help := map[string]string{"out": "Take a zone out of service: no task starts in it.", "in": "Bring a zone back into service."}[state]
		command := group.Command(state, help)
		command.Arg("name", "Availability zone.").Required().StringVar(&name)
		flags.add(command)
		command.Action(func(*kingpin.ParseContext) error {
			c, err := t.resolve(&flags)
			if err != nil {
				return err
			}
			return t.apply("PUT", "/v1/zones/"+url.PathEscape(name), zoneBody{change: c, State: state})
		})
	}
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
