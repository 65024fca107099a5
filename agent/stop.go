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

// endPollInterval is the interval between checks whether the requests of callers have ended.
const endPollInterval = 10 * time.Millisecond

// handoverTimeout is the timeout for transferring idempotency keys to their next owners.
const handoverTimeout = 5 * time.Second

// recordAgainTimeout bounds the recording of a departure in a restored store when a daemon stops.
const recordAgainTimeout = 500 * time.Millisecond

// gate forwards requests of callers. While the daemon drains, it sends "Connection: close", so that
// no request is in transit when the listener closes. Once closed, it refuses new requests at once: their
// callers learn that they have not run, which a connection that closes does not tell.
type gate struct {
	next, refuse     http.Handler
	draining, closed atomic.Bool
	// running is the number of requests that have not ended.
	running atomic.Int64
	log     *event.Logger
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.closed.Load() {
		g.refuse.ServeHTTP(w, r)
		return
	}
	defer g.log.ContainPanic("caller", func() {
		// The request may have run. If a response was already begun, its connection must close early.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadGateway)
	})
	g.next.ServeHTTP(w, r)
}

// close refuses requests from now on and waits until the others have ended or ctx ends.
func (g *gate) close(ctx context.Context) {
	g.closed.Store(true)
	for g.running.Load() > 0 && ctx.Err() == nil {
		wait(ctx, endPollInterval)
	}
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
// the requests in flight. From the start it takes only requests that end before it does.
func (d *Daemon) drain(ctx context.Context, callers *http.Server) {
	d.log.Log(event.DaemonStopping)
	stopBy := time.Now().Add(d.settings.Daemon.DrainTime + d.settings.Daemon.StopTime)
	d.receiver.stopAt(stopBy)
	d.gate.draining.Store(true)
	wait(ctx, d.settings.Daemon.ServeTime)
	d.receiver.draining.Store(true)
	d.receiver.admission.Drain()
	d.record.drain()
	wait(ctx, d.settings.Daemon.DrainTime-d.settings.Daemon.ServeTime)

	// Leaving the directory may be slow and must not delay the requests.
	left := make(chan struct{})
	go func() { defer close(left); d.leaveStore(ctx) }()
	defer func() { <-left }()
	limit, cancel := context.WithDeadline(ctx, stopBy)
	defer cancel()
	// Requests that have not finished by then are cancelled in time to send a response before their
	// connection is closed.
	cancelRequests := time.AfterFunc(time.Until(stopBy)-responseTime, d.endRequests)
	defer cancelRequests.Stop()
	d.gate.close(limit)
	if err := callers.Shutdown(limit); err != nil {
		d.log.Log(event.DrainIncomplete, zap.String("part", "callers"), zap.Error(err))
	}
	if err := d.calls.Shutdown(limit); err != nil {
		d.log.Log(event.DrainIncomplete, zap.String("part", "calls"), zap.Error(err))
	}
	d.handOverKeys(ctx)
}

// leaveStore removes this daemon from the directory. If the store was restored just before, it records the
// departure of the backend server again, which binds the next process of this daemon.
func (d *Daemon) leaveStore(ctx context.Context) {
	d.follower.LeaveDirectory(ctx)
	if !d.follower.RestorePending() {
		return
	}
	limit, cancel := context.WithTimeout(ctx, recordAgainTimeout)
	defer cancel()
	d.backend.RecordAgain(limit, 0)
}

// callerStopBy returns the time by which requests of callers must have ended, zero unless this daemon is
// stopping.
func (d *Daemon) callerStopBy() time.Time {
	stopBy := d.receiver.stopBy.Load()
	if stopBy == nil {
		return time.Time{}
	}
	return stopBy.Add(-responseTime)
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
