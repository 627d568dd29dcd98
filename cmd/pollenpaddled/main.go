// Command pollenpaddled is the daemon. Its settings file selects the roles that it runs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"pollenpaddle/internal/process/daemon"
	"pollenpaddle/internal/process/settings"
	"pollenpaddle/platform"
)

func main() {
	app := kingpin.New("pollenpaddled", "Run the roles of one pollenpaddle process.")
	path := app.Arg("settings", "INI settings file; see docs/settings.md.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, *path); err != nil {
		fmt.Fprintln(os.Stderr, "pollenpaddled:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	options := daemon.Options{}
	if s.Adapter.Workers != "" {
		options.Worker = platform.NewWorker()
	}
	d, err := daemon.Assemble(s, options)
	if err != nil {
		return err
	}
	if err := platform.Attach(d, s.Adapter, options.Worker); err != nil {
		return err
	}
	go d.WatchSettings(ctx, path, hup)
	return d.Run(ctx)
}
