package agent

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/retry"
)

// settingsCheck separates two looks at the settings file, which may change without a signal.
const settingsCheck = 5 * time.Second

// WatchSettings takes changed settings over until ctx ends: when signalled, and when the file at path has
// other content than before. Settings that are not valid as a whole are refused and the former ones stay.
func (d *Daemon) WatchSettings(ctx context.Context, path string, signalled <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	last, _ := os.ReadFile(path) // an unreadable file shows at the next look
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-signalled:
			forced = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && !forced && bytes.Equal(data, last) {
			continue
		}
		last = data
		d.reload(path)
	}
}

// reload takes over the settings that may change while a daemon runs.
func (d *Daemon) reload(path string) {
	next, err := LoadSettings(path)
	if err != nil {
		d.log.Log(event.SettingsRefused, zap.Error(err))
		return
	}
	if shared, ok := d.retries.(*retry.Shared); ok {
		shared.SetLimit(next.Retries.Ratio, float64(next.Retries.Slack), next.Retries.Window)
	}
	current := *d.settings
	current.Retries = next.Retries
	d.log.Log(event.SettingsReloaded, zap.Bool("restart_needed", !sameSettings(&current, next)))
}
