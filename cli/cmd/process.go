package cmd

import (
	"context"
	"os/signal"
	"syscall"

	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/lib/event"
)

// settingsOption is the option of the commands that run a long-lived process.
type settingsOption struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"INI settings file, see docs/settings.md (required)"`
}

// runUntilSignal calls serve with a logger and a context that is canceled on SIGINT or SIGTERM.
func runUntilSignal(level zapcore.Level, serve func(ctx context.Context, log *event.Logger) error) error {
	log := event.NewLogger(level)
	defer log.Sync()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return serve(ctx, log)
}
