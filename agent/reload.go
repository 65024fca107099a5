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

// settingsCheckInterval is the interval between checks of the settings file for a change without a
// signal.
const settingsCheckInterval = 5 * time.Second

// WatchSettings reloads the settings until ctx ends: when signalled, and when the content of the
// file at path has changed. If the new settings are invalid, all of them are rejected and the
// previous ones stay in effect.
func (d *Daemon) WatchSettings(ctx context.Context, path string, signalled <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(path) // an unreadable file is reported by the next check
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

// reload applies the settings that can change while a daemon runs.
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
