package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"pollenpaddle/internal/process/logging"
)

const validSettings = "[process]\nid = e\nroles = entry\navailability_zone = a\ncontrol_seeds = 127.0.0.1:1\n"

// TestWatchSettings guards against changes that are missed, with and without a signal, and against a
// file with an error that is not reported or ends the process.
func TestWatchSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	write := func(content string) {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validSettings)
	core, logs := observer.New(zap.InfoLevel)
	d := &Daemon{Logger: zap.New(core)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal)
	go d.WatchSettings(ctx, path, signals)
	await := func(event logging.Event, count int) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); logs.FilterMessage(event.Message).Len() < count; {
			if time.Now().After(deadline) {
				t.Fatalf("%q was logged %d times, want %d", event.Message, logs.FilterMessage(event.Message).Len(), count)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	signals <- syscall.SIGHUP
	await(logging.SettingsReloaded, 1)
	write(validSettings + "# changed without a signal\n")
	await(logging.SettingsReloaded, 2)
	write("[process]\nid = e\nunknown = 1\n")
	await(logging.SettingsRejected, 1)
}
