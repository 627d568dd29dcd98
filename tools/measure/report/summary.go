// Package report summarises the outcomes of runs in tables and plots.
package report

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollenpaddle/tools/measure/load"
)

// ratioScale is the factor by which ratios are multiplied, because histograms record integers.
const ratioScale = 1000

// maxRecorded is the largest value that a histogram records: ten minutes in microseconds.
const maxRecorded = int64(10 * time.Minute / time.Microsecond)

// Summary counts the outcomes of one run.
type Summary struct {
	Classes map[string]*ClassSummary // by class, and by class and organisation ("class/organisation")
	Tasks   map[string]int           // by final state
	Total   int                      // jobs
}

// ClassSummary counts the outcomes of one class. Jobs that never fit are in States only.
type ClassSummary struct {
	Jobs      int                     // without those that never fit
	InTime    int                     // complete within the target
	Cancelled int                     // not complete, and to be cancelled by the client; not part of InTimeShare
	States    map[string]int          // jobs by load.Outcome.State
	ratio     *hdrhistogram.Histogram // of complete jobs, times ratioScale
	response  *hdrhistogram.Histogram // of complete jobs, in microseconds
}

// NewSummary returns an empty summary.
func NewSummary() *Summary {
	return &Summary{Classes: map[string]*ClassSummary{}, Tasks: map[string]int{}}
}

// Add records one outcome.
func (s *Summary) Add(o load.Outcome) {
	s.Total++
	for _, state := range o.States {
		s.Tasks[state]++
	}
	s.class(o.Arrival.Class.Name).add(o)
	s.class(o.Arrival.Class.Name + "/" + o.Arrival.Organisation).add(o)
}

// class returns the summary of a key of Classes, and adds it if it is new.
func (s *Summary) class(name string) *ClassSummary {
	c := s.Classes[name]
	if c == nil {
		c = &ClassSummary{
			States: map[string]int{}, ratio: hdrhistogram.New(1, maxRecorded, 3), response: hdrhistogram.New(1, maxRecorded, 3),
		}
		s.Classes[name] = c
	}
	return c
}

func (c *ClassSummary) add(o load.Outcome) {
	if o.Arrival.NeverFits {
		// Counts jobs that need more memory than any worker has. The key has nothing to do with the probes
		// of package dispatch.
		c.States["never_fits_probe:"+o.State]++
		return
	}
	c.Jobs++
	c.States[o.State]++
	if o.Arrival.CancelAfter > 0 && o.State != "complete" {
		c.Cancelled++
		return
	}
	if o.State != "complete" {
		return
	}
	if o.Response <= o.Arrival.Class.AnswerWithin {
		c.InTime++
	}
	record(c.response, o.Response.Microseconds())
	record(c.ratio, int64(float64(o.Response)/float64(o.Ideal)*ratioScale))
}

func record(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(min(max(value, 1), maxRecorded)) // cannot fail: the value is in range
}

// IdealRatio returns a percentile (0 to 100) of the response time divided by the ideal one.
func (c *ClassSummary) IdealRatio(percentile float64) float64 {
	return float64(c.ratio.ValueAtQuantile(percentile)) / ratioScale
}

// Response returns a percentile (0 to 100) of the response time.
func (c *ClassSummary) Response(percentile float64) time.Duration {
	return time.Duration(c.response.ValueAtQuantile(percentile)) * time.Microsecond
}

// InTimeShare returns the share of the jobs not cancelled that were complete within the target, and 1
// if there are none.
func (c *ClassSummary) InTimeShare() float64 {
	if c.Jobs == c.Cancelled {
		return 1
	}
	return float64(c.InTime) / float64(c.Jobs-c.Cancelled)
}

// Names returns the keys of Classes in alphabetical order.
func (s *Summary) Names() []string {
	names := make([]string, 0, len(s.Classes))
	for name := range s.Classes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
