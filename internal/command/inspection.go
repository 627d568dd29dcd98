package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"pollenpaddle/internal/process/settings"
)

// fetch gets a JSON document and stores it both undecoded in raw and decoded.
func (t *invocation) fetch(path string, raw *json.RawMessage, decoded any) error {
	if err := t.client.call("GET", path, nil, raw); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(*raw))
	decoder.UseNumber() // a float64 cannot hold every 64-bit incarnation
	return errors.Wrap(decoder.Decode(decoded), "decode the response")
}

func (t *invocation) addInspectionCommands(app *kingpin.Application) {
	app.Command("status", "Show which process has confirmed which revision.").Action(func(*kingpin.ParseContext) error {
		return t.show("/v1/status")
	})
	t.addReady(app)
	t.addDump(app)
	t.addConfig(app)
	t.addCompletion(app)
}

// readyInterval is the time between two checks of a process that is not ready.
const readyInterval = 100 * time.Millisecond

func (t *invocation) addReady(app *kingpin.Application) {
	var limit time.Duration
	ready := app.Command("ready", "Check that the process is ready to serve; exit code 6 if it is not.")
	ready.Flag("wait", "How long to wait until it is ready.").Default("0s").DurationVar(&limit)
	ready.Action(func(*kingpin.ParseContext) error {
		end := time.Now().Add(limit)
		for {
			_, err := t.client.raw("GET", "/readyz", nil)
			if err == nil || time.Until(end) < readyInterval {
				return err
			}
			time.Sleep(readyInterval)
		}
	})
}

func (t *invocation) addDump(app *kingpin.Application) {
	var address string
	dump := app.Command("dump", "Show the state of one process.")
	dump.Arg("address", "Address of the process; default: --address.").StringVar(&address)
	dump.Action(func(*kingpin.ParseContext) error {
		if address != "" {
			t.client.address = address
		}
		return t.show("/v1/dump")
	})
}

// show prints a document as JSON with --json, and otherwise as indented text.
func (t *invocation) show(path string) error {
	var raw json.RawMessage
	var decoded any
	if err := t.fetch(path, &raw, &decoded); err != nil {
		return err
	}
	if t.json {
		return t.printJSON(raw)
	}
	t.printIndented(decoded, 0)
	return nil
}

// printIndented prints nested values with two spaces of indentation per level. Lists of objects
// without nested fields are printed as tables.
func (t *invocation) printIndented(value any, depth int) {
	indent := strings.Repeat("  ", depth)
	switch v := value.(type) {
	case map[string]any:
		for _, key := range sortedKeys(v) {
			if isFlat(v[key]) {
				fmt.Fprintf(t.Out, "%s%s: %v\n", indent, key, format(v[key]))
				continue
			}
			fmt.Fprintf(t.Out, "%s%s:\n", indent, key)
			t.printIndented(v[key], depth+1)
		}
	case []any:
		if header, rows, ok := table(v); ok {
			header[0] = indent + header[0]
			for i := range rows {
				rows[i][0] = indent + rows[i][0]
			}
			_ = t.printTable(header, rows)
			return
		}
		for _, item := range v {
			fmt.Fprintf(t.Out, "%s-\n", indent)
			t.printIndented(item, depth+1)
		}
	default:
		fmt.Fprintf(t.Out, "%s%v\n", indent, format(v))
	}
}

// table converts a list of objects without nested fields to a header and rows.
func table(list []any) (header []string, rows [][]string, ok bool) {
	fields := map[string]any{}
	for _, item := range list {
		object, isObject := item.(map[string]any)
		if !isObject {
			return nil, nil, false
		}
		for key, value := range object {
			if !isFlat(value) {
				return nil, nil, false
			}
			fields[key] = nil
		}
	}
	keys := sortedKeys(fields)
	if len(keys) == 0 {
		return nil, nil, false
	}
	for _, key := range keys {
		header = append(header, strings.ToUpper(strings.ReplaceAll(key, "_", " ")))
	}
	for _, item := range list {
		object, _ := item.(map[string]any)
		row := make([]string, len(keys))
		for i, key := range keys {
			row[i] = fmt.Sprint(format(object[key]))
		}
		rows = append(rows, row)
	}
	return header, rows, true
}

// isFlat reports whether value is a scalar, or an empty list or object.
func isFlat(value any) bool {
	switch v := value.(type) {
	case map[string]any:
		return len(v) == 0
	case []any:
		return len(v) == 0
	}
	return true
}

// format returns what is printed for a flat value.
func format(value any) any {
	switch value.(type) {
	case nil:
		return "-"
	case map[string]any, []any:
		return "none"
	}
	return value
}

func sortedKeys(object map[string]any) []string {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (t *invocation) addConfig(app *kingpin.Application) {
	var path string
	check := app.Command("config", "Commands for settings files.").Command("check", "Check a daemon's settings file.")
	check.Arg("file", "INI settings file.").Required().StringVar(&path)
	check.Action(func(*kingpin.ParseContext) error {
		loaded, err := settings.Load(path)
		if err != nil {
			return err
		}
		if t.json {
			return t.printJSON(loaded)
		}
		_, err = fmt.Fprintf(t.Out, "%s is valid: process %s with roles %v\n", path, loaded.Process.ID, loaded.Process.Roles)
		return err
	})
}

func (t *invocation) addCompletion(app *kingpin.Application) {
	var shell string
	completion := app.Command("completion", "Print the completion script of a shell; load it with eval.")
	completion.Arg("shell", "Shell.").Required().EnumVar(&shell, "bash", "zsh")
	completion.Action(func(*kingpin.ParseContext) error {
		template := kingpin.BashCompletionTemplate
		if shell == "zsh" {
			template = kingpin.ZshCompletionTemplate
		}
		context, err := app.ParseContext([]string{"status"})
		if err != nil {
			return err
		}
		app.UsageWriter(t.Out)
		return app.UsageForContextWithTemplate(context, 2, template)
	})
}

func (t *invocation) addMemberCommands(group *kingpin.CmdClause) {
	group.Command("list", "List the control members.").Action(func(*kingpin.ParseContext) error {
		return t.show("/v1/members")
	})
	var name, address string
	member := func(command, help string) *kingpin.CmdClause {
		clause := group.Command(command, help)
		clause.Arg("name", "Name of the member; member list shows the names in use.").Required().StringVar(&name)
		return clause
	}
	path := func() string { return "/v1/members/" + url.PathEscape(name) }
	member("replace", "Replace a member whose disk is lost; the process that now runs under its name takes its place.").Action(func(*kingpin.ParseContext) error {
		return t.memberCall("POST", path()+"/replace", &memberBody{})
	})
	add := member("add", "Add a member as a learner; it votes once it has caught up.")
	add.Arg("address", "Address of the member.").Required().StringVar(&address)
	add.Action(func(*kingpin.ParseContext) error {
		return t.memberCall("PUT", path(), &memberBody{Address: address})
	})
	member("remove", "Remove a member.").Action(func(*kingpin.ParseContext) error {
		return t.memberCall("DELETE", path(), &memberBody{})
	})
}

// memberBody is the body of a change of the control members.
type memberBody struct {
	Address          string `json:"address,omitempty"`
	ExpectedRevision uint64 `json:"expected_revision"`
}

// memberCall sends a change that is based on the current members.
func (t *invocation) memberCall(method, path string, body *memberBody) error {
	var current revisionResponse
	if err := t.client.call("GET", "/v1/members", nil, &current); err != nil {
		return err
	}
	body.ExpectedRevision = current.Revision
	if err := t.client.call(method, path, body, nil); err != nil {
		return err
	}
	if t.json {
		return t.printJSON(struct {
			Accepted bool `json:"accepted"`
		}{true})
	}
	_, err := fmt.Fprintln(t.Out, "accepted")
	return err
}
