// Command capacity measures how the cost of the state machines, the configuration, the codec and the
// sessions grows with size. It runs in one process; only the sessions use sockets, on loopback. It
// writes the slopes and their standard errors to a folder.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// maxHeapBytes is the heap size at which the program exits, long before it disturbs other work on a
// shared machine.
const maxHeapBytes = 3 << 30

// slope is the measured dependence of one cost on one size.
type slope struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"` // of the slope
	Note   string  `json:"note"`
	Points []point `json:"points"`
	Fit    fit     `json:"fit"`
}

// suite runs the measurements and collects their results.
type suite struct {
	scale  int // factor for the repetitions of timed measurements
	slopes []slope
}

// addSlope fits a line to the points and stores both.
func (s *suite) addSlope(name, unit, note string, points []point) error {
	f, err := fitLine(points)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	s.slopes = append(s.slopes, slope{Name: name, Unit: unit, Note: note, Points: points, Fit: f})
	return nil
}

// measureTime measures the processor time of run for increasing counts, including garbage collection.
// The slope is the time of one repetition in microseconds.
func (s *suite) measureTime(name, unit, note string, base int, run func(count int) error) error {
	if err := run(base); err != nil { // warms up caches and the heap
		return fmt.Errorf("%s: %w", name, err)
	}
	var points []point
	for _, factor := range []int{1, 2, 3, 4, 6, 8} {
		count := base * factor * s.scale
		runtime.GC()
		before := processorTime()
		if err := run(count); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		points = append(points, point{float64(count), float64((processorTime() - before).Nanoseconds()) / 1e3})
	}
	return s.addSlope(name, unit, note, points)
}

// measureHeap measures, for each size, the bytes of heap that the value returned by build retains.
func (s *suite) measureHeap(name, unit, note string, sizes []int, build func(size int) (any, error)) error {
	var points []point
	for _, size := range sizes {
		before := heapBytes()
		value, err := build(size)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		points = append(points, point{float64(size), float64(heapBytes()) - float64(before)})
		runtime.KeepAlive(value)
	}
	return s.addSlope(name, unit, note, points)
}

// heapBytes returns the size of the live heap. It collects twice, because objects in a sync.Pool
// survive the first collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// processorTime returns the user and system time that this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// enforceLimits exits the program when the heap or the running time exceeds its limit. An endless
// loop inside a Step method cannot be interrupted in any other way.
func enforceLimits(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for range time.Tick(200 * time.Millisecond) {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		if stats.HeapSys > maxHeapBytes || time.Now().After(deadline) {
			fmt.Fprintf(os.Stderr, "capacity: heap or time limit exceeded: heap %d bytes, time limit %v\n", stats.HeapSys, limit)
			os.Exit(3)
		}
	}
}

func main() {
	app := kingpin.New("capacity", "Measure how the cost of each role grows with size.")
	output := app.Flag("output", "Folder for slopes.md and slopes.json.").Default("out/capacity").String()
	scale := app.Flag("scale", "Factor for the repetitions of timed measurements, 1 to 20.").Default("1").Int()
	limit := app.Flag("limit", "Time after which the program exits with an error.").Default("3m").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	go enforceLimits(*limit)
	if err := run(*output, min(max(*scale, 1), 20)); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(output string, scale int) error {
	s := &suite{scale: scale}
	for _, measure := range []func(*suite) error{measureEntry, measureAgent, measureClaims, measureCatalog, measureRouting, measureWire, measureSessions} {
		if err := measure(s); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(output, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(map[string]any{
		"go": runtime.Version(), "processors": runtime.NumCPU(), "slopes": s.slopes,
	}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(output, "slopes.json"), data, 0o644); err != nil {
		return err
	}
	table := s.table()
	fmt.Print(table)
	return os.WriteFile(filepath.Join(output, "slopes.md"), []byte(table), 0o644)
}

func (s *suite) table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Slopes\n\n%s, %d processors. Slope and intercept by least squares, with standard errors.\n\n", runtime.Version(), runtime.NumCPU())
	b.WriteString("| name | slope | unit | intercept | sizes | note |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, l := range s.slopes {
		fmt.Fprintf(&b, "| %s | %.4g ± %.2g | %s | %.4g ± %.2g | %g-%g (%d) | %s |\n", l.Name, l.Fit.Slope, l.Fit.SlopeError, l.Unit,
			l.Fit.Intercept, l.Fit.InterceptError, l.Points[0].X, l.Points[len(l.Points)-1].X, len(l.Points), l.Note)
	}
	return b.String()
}
