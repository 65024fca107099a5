package agent

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/agent/peer/keys"
	"kingcupwood.example/kingcupwood/lib/event"
)

// keepAliveIdle is the time after which an idle connection of a caller is closed.
const keepAliveIdle = 2 * time.Minute

// responseTime is the time that a stopping daemon reserves for the responses to requests that it
// cancels.
const responseTime = 300 * time.Millisecond

// handoverTimeout is the timeout for transferring idempotency keys to their next owners.
const handoverTimeout = 5 * time.Second

// gate forwards requests of callers. While the daemon drains, it sends "Connection: close", so that
// no request is in transit when the listener closes.
type gate struct {
	next     http.Handler
	draining atomic.Bool
	log      *event.Logger
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer g.log.ContainPanic("caller", func() {
		// The request may have run. If a response was already begun, its connection must close early.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadGateway)
	})
	g.next.ServeHTTP(w, r)
}

// callerServer returns the server for callers. d.endRequests cancels its requests.
func (d *Daemon) callerServer() *http.Server {
	requests, end := context.WithCancel(context.Background())
	d.endRequests = end
	return &http.Server{
		Handler: d.gate, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepAliveIdle,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
}

func (d *Daemon) readinessServer() *http.Server {
	server := &http.Server{ReadHeaderTimeout: headerTimeout}
	if d.adapter != nil {
		server.Handler = d.adapter.Readiness(d.ready)
	}
	return server
}

// drain announces that this instance is stopping, refuses new requests for its backend server after
// ServeTime, continues to route requests of callers to other instances for DrainTime, and waits for
// the requests in flight.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.log.Log(event.DaemonStopping)
	d.gate.draining.Store(true)
	wait(ctx, d.settings.Daemon.ServeTime)
	d.receiver.draining.Store(true)
	d.receiver.admission.Drain()
	d.record.drain()
	wait(ctx, d.settings.Daemon.DrainTime-d.settings.Daemon.ServeTime)

	// Leaving the directory may be slow and must not delay the requests.
	left := make(chan struct{})
	go func() { defer close(left); d.follower.LeaveDirectory(ctx) }()
	defer func() { <-left }()
	limit, cancel := context.WithTimeout(ctx, d.settings.Daemon.StopTime)
	defer cancel()
	// Requests that have not finished by then are cancelled in time to send a response before their
	// connection is closed.
	cancelRequests := time.AfterFunc(d.settings.Daemon.StopTime-responseTime, d.endRequests)
	defer cancelRequests.Stop()
	if err := callers.Shutdown(limit); err != nil {
		d.log.Log(event.DrainIncomplete, zap.String("part", "callers"), zap.Error(err))
	}
	if err := d.calls.Shutdown(limit); err != nil {
		d.log.Log(event.DrainIncomplete, zap.String("part", "calls"), zap.Error(err))
	}
	d.handOverKeys(ctx)
}

// handOverKeys transfers the outcomes of the idempotency keys of this daemon to their next owners.
// The other daemons regard this one as the owner until it leaves the membership, which happens
// afterwards.
func (d *Daemon) handOverKeys(ctx context.Context) {
	records := d.callers.CloseKeys()
	if len(records) == 0 {
		return
	}
	limit, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	sent, err := keys.HandOver(limit, d.dialDaemon, d.prober.View(), d.record.instance(), records)
	d.log.Log(event.KeysHandedOver, zap.Int("keys", len(records)), zap.Int("sent", sent), zap.Error(err))
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
