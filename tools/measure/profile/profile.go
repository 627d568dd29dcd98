// Package profile describes a workload and draws arrivals from it. The same seed gives the same
// arrivals.
package profile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Profile is a workload and the installation that it runs on.
type Profile struct {
	Name            string
	Zones           []string
	Instances       int // number of upstream instances, called instances in this package; each has one agent
	Slots           int // per instance
	Connections     int // per instance
	Upstream        string
	Entries         int
	ControlMembers  int
	ZoneDelay       time.Duration // one way, on the connections of other processes to an entry
	Speeds          []float64     // run times are divided by the speed of the instance
	StragglerShare  float64       // of tasks
	StragglerFactor float64       // run time of a straggler relative to its normal one
	ResubmitShare   float64       // of jobs
	CancelShare     float64       // of jobs
	NeverFitsShare  float64       // of jobs
	Classes         []Class
}

// Class is the workload of one class.
type Class struct {
	Name          string
	Organisations []string
	AnswerWithin  time.Duration
	Share         float64 // of jobs that must end within AnswerWithin
	Weight        float64 // relative arrival rate of jobs
	Tasks         Range[int]
	RunTime       Range[time.Duration] // at speed 1
	TailShare     float64              // of tasks whose run time is in Tail
	Tail          Range[time.Duration] // at speed 1
	DeclaredError float64              // a declared run time differs from the true one by up to this factor
}

// Range is a closed interval.
type Range[T any] struct{ Low, High T }

// Load reads a profile from an INI file.
func Load(path string) (*Profile, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read profile %s", path)
	}
	r := &sectionReader{section: file.Section("profile")}
	p := &Profile{
		Name: r.text("name"), Zones: r.list("zones"), Instances: int(r.number("instances")), Slots: int(r.number("slots")),
		Connections: int(r.number("connections")), Upstream: r.text("upstream"), Entries: int(r.number("entries")),
		ControlMembers: int(r.number("control_members")), ZoneDelay: r.parseDuration(r.text("zone_delay")),
		StragglerShare: r.number("straggler_share"), StragglerFactor: r.number("straggler_factor"),
		ResubmitShare: r.number("resubmit_share"), CancelShare: r.number("cancel_share"), NeverFitsShare: r.number("never_fits_share"),
	}
	for _, speed := range r.list("speeds") {
		p.Speeds = append(p.Speeds, r.parseNumber(speed))
	}
	for _, section := range file.Sections() {
		if name, ok := strings.CutPrefix(section.Name(), "class "); ok {
			r.section = section
			p.Classes = append(p.Classes, r.class(name))
		}
	}
	if r.err == nil && (len(p.Classes) == 0 || len(p.Speeds) == 0 || len(p.Zones) == 0) {
		r.err = errors.New("a profile needs zones, speeds and at least one class section")
	}
	return p, errors.Wrapf(r.err, "profile %s", path)
}

// sectionReader reads the keys of a section and keeps the first error.
type sectionReader struct {
	section *ini.Section
	err     error
}

func (r *sectionReader) class(name string) Class {
	c := Class{
		Name: name, Organisations: r.list("organisation"), AnswerWithin: r.parseDuration(r.text("answer_within")),
		Share: r.number("share"), Weight: r.number("weight"), RunTime: r.durationRange("run"), TailShare: r.optionalNumber("tail_share"),
		DeclaredError: r.number("declared_error"),
	}
	if c.TailShare > 0 {
		c.Tail = r.durationRange("tail")
	}
	low, high := r.rangeBounds("tasks")
	c.Tasks = Range[int]{int(r.parseNumber(low)), int(r.parseNumber(high))}
	return c
}

func (r *sectionReader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = errors.Newf("section [%s]: %s", r.section.Name(), fmt.Sprintf(format, args...))
	}
}

func (r *sectionReader) text(key string) string {
	if !r.section.HasKey(key) {
		r.fail("key %s is missing", key)
	}
	return r.section.Key(key).String()
}

func (r *sectionReader) list(key string) []string {
	var items []string
	for _, item := range strings.Split(r.text(key), ",") {
		items = append(items, strings.TrimSpace(item))
	}
	return items
}

func (r *sectionReader) parseNumber(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		r.fail("%q is not a number", text)
	}
	return n
}

func (r *sectionReader) number(key string) float64 { return r.parseNumber(r.text(key)) }

func (r *sectionReader) optionalNumber(key string) float64 {
	if !r.section.HasKey(key) {
		return 0
	}
	return r.number(key)
}

func (r *sectionReader) parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		r.fail("%q is not a duration", text)
	}
	return d
}

// rangeBounds splits a value of the form LOW-HIGH. A single value is both bounds.
func (r *sectionReader) rangeBounds(key string) (low, high string) {
	low, high, found := strings.Cut(r.text(key), "-")
	if !found {
		high = low
	}
	return low, high
}

func (r *sectionReader) durationRange(key string) Range[time.Duration] {
	low, high := r.rangeBounds(key)
	return Range[time.Duration]{r.parseDuration(low), r.parseDuration(high)}
}
