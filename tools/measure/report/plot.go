package report

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	barsWidth  = 16 * vg.Centimeter // sum over all bars
)

// plot writes a bar chart of the first column, with one group per subject and one bar per variant. A
// table without columns has no plot.
func (t *Table) plot(path string) error {
	if len(t.Columns) == 0 {
		return nil
	}
	subjects, variants := t.distinct()
	p := plot.New()
	p.Title.Text = t.Title
	p.Y.Label.Text = t.Columns[0]
	p.Y.Min = 0
	p.Legend.Top = true
	width := barsWidth / vg.Length(max(1, len(subjects)*len(variants)))
	for i, variant := range variants {
		values := make(plotter.Values, len(subjects))
		for j, subject := range subjects {
			values[j] = t.row(variant, subject).Cells[t.Columns[0]].Mean
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * (vg.Length(i) - vg.Length(len(variants)-1)/2)
		p.Add(bars)
		p.Legend.Add(variant, bars)
	}
	p.NominalX(subjects...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write the plot")
}

// distinct returns the subjects and variants in the order of their first row.
func (t *Table) distinct() (subjects, variants []string) {
	seen := map[string]bool{}
	appendNew := func(names []string, kind, name string) []string {
		if seen[kind+name] {
			return names
		}
		seen[kind+name] = true
		return append(names, name)
	}
	for _, row := range t.Rows {
		subjects = appendNew(subjects, "s", row.Subject)
		variants = appendNew(variants, "v", row.Variant)
	}
	return subjects, variants
}
