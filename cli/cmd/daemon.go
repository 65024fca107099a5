package cmd

import (
	"context"
	"expvar"
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
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"INI settings file, see docs/settings.md (required)"`
}

// Execute runs the daemon until SIGTERM or SIGINT, then stops it gracefully.
func (c *daemonCommand) Execute([]string) error {
	settings, err := agent.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(settings.Daemon.LogLevel)
	if err != nil {
		return err
	}
	log, err := event.NewLogger(level)
	if err != nil {
		return err
	}
	defer log.Sync()
	runtime.GOMAXPROCS(settings.Daemon.Threads)
	debug.SetMemoryLimit(int64(settings.Daemon.MemoryLimitMB) * 1e6)
	daemon, err := agent.New(settings, log)
	if err != nil {
		return err
	}
	expvar.Publish("kingcupwood", daemon.Metrics())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx); err != nil {
		log.Log(event.ProcessFailed, zap.Error(err))
		return err
	}
	return nil
}
