// Command measure runs experiments on daemon processes with stand-in upstreams on loopback and writes
// tables and plots. Every experiment is bounded in time and in the number of processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"pollenpaddle/tools/measure/profile"
	"pollenpaddle/tools/measure/report"
)

// suite runs the experiments. Its fields are the flags that they share.
type suite struct {
	binary   string
	output   string
	profiles []string
	seed     uint64
	seconds  int    // length of one run
	rounds   int    // runs per variant
	policy   string // empty for the default
}

func main() {
	s := &suite{}
	app := kingpin.New("measure", "Measure pollenpaddle on this machine.")
	app.Flag("binary", "Daemon to measure.").Default("bin/pollenpaddled").StringVar(&s.binary)
	app.Flag("output", "Folder for tables, plots, settings and logs.").Default("out/measure").StringVar(&s.output)
	app.Flag("profile", "Workload profile; repeatable.").Default("examples/profiles/swan-river.ini", "examples/profiles/nordvind.ini").StringsVar(&s.profiles)
	app.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&s.seed)
	app.Flag("seconds", "Length of one run.").Default("20").IntVar(&s.seconds)
	app.Flag("rounds", "Runs per variant, interleaved between the variants.").Default("2").IntVar(&s.rounds)
	app.Flag("policy", "Placement policy of the experiments that do not compare policies; empty for the default.").StringVar(&s.policy)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s.addLoad(ctx, app)
	s.addZone(ctx, app)
	s.addOverhead(ctx, app)
	s.addShutdown(ctx, app)
	s.addIdle(ctx, app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// runLength returns the time over which the jobs of one run arrive.
func (s *suite) runLength() time.Duration { return time.Duration(s.seconds) * time.Second }

// forEachProfile runs an experiment with each profile of the command line.
func (s *suite) forEachProfile(run func(p *profile.Profile) error) error {
	for _, path := range s.profiles {
		p, err := profile.Load(path)
		if err != nil {
			return err
		}
		if err := run(p); err != nil {
			return errors.Wrapf(err, "profile %s", p.Name)
		}
	}
	return nil
}

// writeTable prints a table and writes it to the output folder with its plot.
func (s *suite) writeTable(t *report.Table, name string) error {
	t.Command = "measure " + strings.Join(os.Args[1:], " ")
	fmt.Println(t.Markdown())
	return t.Write(filepath.Join(s.output, name))
}
