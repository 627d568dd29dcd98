package daemon

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"pollenpaddle/internal/process/logging"
	"pollenpaddle/internal/process/settings"
)

// settingsPollInterval is the interval at which the settings file is checked, because it may change
// without a signal. It is short enough that a change is applied within two seconds.
const settingsPollInterval = time.Second

// WatchSettings reloads the settings when the file changes or a signal arrives, until ctx is done. A
// file with errors is rejected and the process keeps its current settings.
func (d *Daemon) WatchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := versionOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if versionOf(path) == seen {
				continue
			}
		}
		seen = versionOf(path)
		s, err := settings.Load(path)
		if err != nil {
			logging.Log(d.Logger, logging.SettingsRejected, zap.String("path", path), zap.Error(err))
			continue
		}
		d.Reload(s)
		logging.Log(d.Logger, logging.SettingsReloaded, zap.Strings("control_seeds", s.Process.ControlSeeds))
	}
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// versionOf returns the zero version if the file's attributes cannot be read. To WatchSettings this is a
// changed file, which is rejected once; the file is loaded when its attributes can be read again.
func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}
