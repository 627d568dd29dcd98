package main

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// load is a load over time and the workers that serve it.
type load struct {
	name     string
	length   time.Duration
	swing    float64 // of the arrival rates, relative to their mean
	period   time.Duration
	phase    float64 // of the swing at the start, in periods
	capacity float64 // processors of all workers, weighted by their speeds
	classes  []class
	phases   []phase
}

// class is one class of jobs.
type class struct {
	name  string
	rate  float64 // jobs per second
	work  float64 // processor seconds of a job at speed 1
	slack time.Duration
	value float64 // of one job that meets its objective
}

// phase changes the load or the workers from one time to another.
type phase struct {
	from, to time.Duration
	factors  map[string]float64 // of the arrival rates, by class; "" stands for all
	away     float64            // share of the workers that are away
}

// readLoad reads a load from an INI file.
func readLoad(path string) (*load, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read load %s", path)
	}
	r := &numbers{}
	s := file.Section("load")
	l := &load{name: s.Key("name").String(), length: seconds(r.number(s, "seconds")), swing: r.optional(s, "swing"), period: seconds(r.optional(s, "period")), phase: r.optional(s, "phase")}
	w := file.Section("workers")
	l.capacity = r.number(w, "count") * r.number(w, "processors") * r.mean(w, "sizes") * r.mean(w, "speeds")
	for _, section := range file.Sections() {
		if name, ok := strings.CutPrefix(section.Name(), "class "); ok {
			l.classes = append(l.classes, r.class(section, name))
		}
		if strings.HasPrefix(section.Name(), "phase ") {
			l.phases = append(l.phases, r.phase(section))
		}
	}
	if r.err == nil && (len(l.classes) == 0 || l.length <= 0 || l.capacity <= 0) {
		r.err = errors.New("a load needs a length, workers and at least one section [class NAME]")
	}
	return l, errors.Wrapf(r.err, "load %s", path)
}

// numbers reads numbers and keeps the first error.
type numbers struct{ err error }

func (r *numbers) parse(s *ini.Section, key, text string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && r.err == nil {
		r.err = errors.Newf("section [%s], key %s: %q is not a number", s.Name(), key, text)
	}
	return n
}

func (r *numbers) number(s *ini.Section, key string) float64 {
	return r.parse(s, key, s.Key(key).String())
}

func (r *numbers) optional(s *ini.Section, key string) float64 {
	if !s.HasKey(key) {
		return 0
	}
	return r.number(s, key)
}

func (r *numbers) mean(s *ini.Section, key string) float64 {
	items := strings.Split(s.Key(key).String(), ",")
	sum := 0.0
	for _, item := range items {
		sum += r.parse(s, key, item)
	}
	return sum / float64(len(items))
}

// class reads a class. A job's slack is its objective less the run time of its longest task.
func (r *numbers) class(s *ini.Section, name string) class {
	run := r.number(s, "run_seconds")
	mean := run
	if s.HasKey("tail_share") {
		mean *= 1 + r.number(s, "tail_share")*(r.number(s, "tail_factor")-1)
	}
	c := class{name: name, rate: r.number(s, "per_second"), work: r.number(s, "tasks") * mean * r.number(s, "processors")}
	c.slack = seconds(run*(r.number(s, "stretch")-1) + r.number(s, "extra_seconds"))
	c.value = 1 / c.rate
	return c
}

func (r *numbers) phase(s *ini.Section) phase {
	p := phase{from: seconds(r.number(s, "from")), to: seconds(r.number(s, "to")), away: r.optional(s, "away"), factors: map[string]float64{}}
	for _, key := range s.Keys() {
		if name, ok := strings.CutPrefix(key.Name(), "load"); ok {
			p.factors[strings.TrimPrefix(name, ".")] = r.number(s, key.Name())
		}
	}
	return p
}

// at returns the arrival rates by class and the processors at a time.
func (l *load) at(t time.Duration) (rates []float64, capacity float64) {
	capacity = l.capacity
	wave := 1.0
	if l.period > 0 {
		wave += l.swing * math.Sin(2*math.Pi*(float64(t)/float64(l.period)+l.phase))
	}
	for _, c := range l.classes {
		rates = append(rates, c.rate*wave)
	}
	for _, p := range l.phases {
		if t < p.from || t >= p.to {
			continue
		}
		capacity *= 1 - p.away
		for k, c := range l.classes {
			for name, factor := range p.factors {
				if name == "" || name == c.name {
					rates[k] *= factor
				}
			}
		}
	}
	return rates, capacity
}

func (l *load) use(t time.Duration) float64 {
	rates, capacity := l.at(t)
	demand := 0.0
	for k, c := range l.classes {
		demand += rates[k] * c.work
	}
	return demand / max(capacity, 1)
}

func (l *load) peakUse() float64 {
	peak := 0.0
	for t := time.Duration(0); t < l.length; t += step {
		peak = max(peak, l.use(t))
	}
	return peak
}

func (l *load) meanUse() float64 {
	sum, n := 0.0, 0
	for t := time.Duration(0); t < l.length; t += step {
		sum += l.use(t)
		n++
	}
	return sum / float64(max(1, n))
}
