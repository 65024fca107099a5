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

// keepAliveIdle closes the connection of a caller that sends nothing for this time.
const keepAliveIdle = 2 * time.Minute

// answerTime is what a stopping daemon leaves for the answers to requests that it ends.
const answerTime = 300 * time.Millisecond

// handoverTimeout bounds the transfer of idempotency keys to the other owners.
const handoverTimeout = 5 * time.Second

// gate lets requests of callers through. While the daemon drains, it asks callers to close their
// connections, so that no request is on its way when the listener closes.
type gate struct {
	next     http.Handler
	draining atomic.Bool
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.next.ServeHTTP(w, r)
}

// callerServer returns the server for callers. Its requests end early when d.endRequests is called.
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

// drain announces that this instance is leaving, refuses new work for its backend server after the serve
// time, keeps routing requests of callers to other instances for the drain time, and waits for everything
// in flight.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.log.Log(event.DaemonStopping)
	d.gate.draining.Store(true)
	wait(ctx, d.settings.Daemon.ServeTime)
	d.receiver.draining.Store(true)
	d.receiver.admission.Drain()
	d.record.drain()
	wait(ctx, d.settings.Daemon.DrainTime-d.settings.Daemon.ServeTime)

	// The store may take its time, which must not add to that of the requests.
	left := make(chan struct{})
	go func() { defer close(left); d.follower.LeaveDirectory(ctx) }()
	defer func() { <-left }()
	limit, cancel := context.WithTimeout(ctx, d.settings.Daemon.StopTime)
	defer cancel()
	// Requests that have not ended by then get an answer before their connection is closed.
	answer := time.AfterFunc(d.settings.Daemon.StopTime-answerTime, d.endRequests)
	defer answer.Stop()
	if err := callers.Shutdown(limit); err != nil {
		d.log.Log(event.DrainIncomplete, zap.String("part", "callers"), zap.Error(err))
	}
	if err := d.calls.Shutdown(limit); err != nil {
		d.log.Log(event.DrainIncomplete, zap.String("part", "calls"), zap.Error(err))
	}
	d.handOverKeys(ctx)
}

// handOverKeys gives the outcomes of the idempotency keys of this daemon to their next owners. The other
// daemons take this one for the owner until it leaves the membership, which it does afterwards.
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
