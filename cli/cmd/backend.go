package cmd

import (
	"context"
	"net"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/standin/backend"
)

type backendCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"INI settings file, see docs/settings.md (required)"`
}

// Execute runs the stand-in backend server until SIGTERM, SIGINT or a request to drain.
func (c *backendCommand) Execute([]string) error {
	settings, err := backend.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := event.NewLogger(zapcore.InfoLevel)
	if err != nil {
		return err
	}
	defer log.Sync()
	server, err := backend.NewServer(settings, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", settings.Server.Listen.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return server.Run(ctx, listener)
}
