package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// printJSON prints value as indented JSON.
func (t *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(t.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(value), "write the output")
}

// printTable prints rows under a header, in aligned columns.
func (t *invocation) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(t.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Wrap(w.Flush(), "write the output")
}

// print prints raw as JSON with --json, and otherwise the table.
func (t *invocation) print(raw any, header []string, rows [][]string) error {
	if t.json {
		return t.printJSON(raw)
	}
	return t.printTable(header, rows)
}
