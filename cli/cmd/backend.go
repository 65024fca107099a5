package cmd

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/standin/backend"
)

type backendCommand struct{ settingsOption }

// Execute runs the stand-in backend server until SIGTERM, SIGINT or a request to drain.
func (c *backendCommand) Execute([]string) error {
	settings, err := backend.Load(c.Settings)
	if err != nil {
		return err
	}
	return runUntilSignal(zapcore.InfoLevel, func(ctx context.Context, log *event.Logger) error {
		server, err := backend.NewServer(settings, log)
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp", settings.Server.Listen.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		return server.Run(ctx, listener)
	})
}
