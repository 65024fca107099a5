package cmd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/standin/platform"
)

// platformHeaderTimeout limits the time to read the headers of a request to the stand-in.
const platformHeaderTimeout = 10 * time.Second

type platformCommand struct{ settingsOption }

// Execute runs the stand-in for the table service and the object store until SIGTERM or SIGINT.
func (c *platformCommand) Execute([]string) error {
	config, err := platform.LoadConfig(c.Settings)
	if err != nil {
		return err
	}
	return runUntilSignal(zapcore.InfoLevel, func(ctx context.Context, log *event.Logger) error {
		listener, err := net.Listen("tcp", config.Listen.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		return servePlatform(ctx, listener, config, log)
	})
}

// servePlatform serves requests until ctx is canceled. It then aborts requests in flight, as a
// platform outage would.
func servePlatform(ctx context.Context, listener net.Listener, config platform.Config, log *event.Logger) error {
	handler := platform.NewServer(config, log)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: platformHeaderTimeout}
	removeStop := context.AfterFunc(ctx, func() {
		handler.ClearFaults()
		_ = server.Close()
	})
	defer removeStop()
	log.Log(event.StandinPlatformListening, zap.String("address", listener.Addr().String()))
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		log.Log(event.StandinPlatformStopped)
		return nil
	}
	return err
}
