package cmd

import (
	"context"
	"os/signal"
	"syscall"

	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/lib/event"
)

// settingsOption is the option of the commands that run a process.
type settingsOption struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"INI settings file, see docs/settings.md (required)"`
}

// untilSignal runs serve with a logger and a context that ends with SIGINT or SIGTERM.
func untilSignal(level zapcore.Level, serve func(ctx context.Context, log *event.Logger) error) error {
	log := event.NewLogger(level)
	defer log.Sync()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return serve(ctx, log)
}
