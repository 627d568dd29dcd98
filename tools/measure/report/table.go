package report

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Cell summarises the values of one measure over the rounds of a variant.
type Cell struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"` // largest minus smallest
}

// Row holds the measures of one subject, such as a class, for one variant.
type Row struct {
	Variant string          `json:"variant"`
	Subject string          `json:"subject"`
	Cells   map[string]Cell `json:"cells"` // by column
}

// Table is a table of measurements. Rows and columns are in the order of their first sample.
type Table struct {
	Title   string               `json:"title"`
	Command string               `json:"command"`
	Columns []string             `json:"columns"`
	Rows    []Row                `json:"rows"`
	samples map[string][]float64 // by variant, subject and column, separated by NUL
}

// AddSample adds one measured value. A cell holds the mean and the spread of all its samples.
func (t *Table) AddSample(variant, subject, column string, value float64) {
	if t.samples == nil {
		t.samples = map[string][]float64{}
	}
	key := variant + "\x00" + subject + "\x00" + column
	t.samples[key] = append(t.samples[key], value)
	row := t.row(variant, subject)
	row.Cells[column] = summarise(t.samples[key])
	for _, known := range t.Columns {
		if known == column {
			return
		}
	}
	t.Columns = append(t.Columns, column)
}

// row returns the row of a variant and subject, and adds it if it is new.
func (t *Table) row(variant, subject string) *Row {
	for i := range t.Rows {
		if t.Rows[i].Variant == variant && t.Rows[i].Subject == subject {
			return &t.Rows[i]
		}
	}
	t.Rows = append(t.Rows, Row{Variant: variant, Subject: subject, Cells: map[string]Cell{}})
	return &t.Rows[len(t.Rows)-1]
}

// summarise returns the mean and the spread of samples, of which there is at least one.
func summarise(samples []float64) Cell {
	low, high, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, s := range samples {
		low, high, sum = min(low, s), max(high, s), sum+s
	}
	return Cell{Mean: sum / float64(len(samples)), Spread: high - low}
}

// Markdown returns the table as Markdown. Half of the spread follows the mean unless it is zero.
func (t *Table) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n`%s`\n\n| variant | subject | %s |\n", t.Title, t.Command, strings.Join(t.Columns, " | "))
	fmt.Fprintf(&b, "|%s\n", strings.Repeat(" --- |", len(t.Columns)+2))
	for _, row := range t.Rows {
		fmt.Fprintf(&b, "| %s | %s |", row.Variant, row.Subject)
		for _, column := range t.Columns {
			cell, present := row.Cells[column]
			switch {
			case !present:
				b.WriteString(" |")
			case cell.Spread == 0:
				fmt.Fprintf(&b, " %.4g |", cell.Mean)
			default:
				fmt.Fprintf(&b, " %.4g ±%.2g |", cell.Mean, cell.Spread/2)
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Write writes the table as JSON, Markdown and a plot to the files base.json, base.md and base.png.
func (t *Table) Write(base string) error {
	encoded, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the table")
	}
	if err := os.WriteFile(base+".json", append(encoded, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write the table")
	}
	if err := os.WriteFile(base+".md", []byte(t.Markdown()), 0o644); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return t.plot(base + ".png")
}
