package cmd

import (
	"context"
	"expvar"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/agent"
	"kingcupwood.example/kingcupwood/lib/event"
)

type daemonCommand struct {
	settingsOption
	adapters map[string]agent.NewAdapter
}

// Execute runs the daemon until SIGTERM or SIGINT, then shuts it down gracefully.
func (c *daemonCommand) Execute([]string) error {
	// Installed first: SIGHUP would otherwise terminate a daemon that is still starting.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := agent.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(settings.Daemon.LogLevel)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(settings.Daemon.Threads)
	debug.SetMemoryLimit(int64(settings.Daemon.MemoryLimitMB) * 1e6)
	return runUntilSignal(level, func(ctx context.Context, log *event.Logger) error {
		daemon, err := agent.New(settings, c.adapters, log)
		if err != nil {
			return err
		}
		expvar.Publish("kingcupwood", daemon.Metrics())
		go daemon.WatchSettings(ctx, c.Settings, reload)
		if err := daemon.Run(ctx); err != nil {
			log.Log(event.ProcessFailed, zap.Error(err))
			return err
		}
		return nil
	})
}
