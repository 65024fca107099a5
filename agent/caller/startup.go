package caller

import (
	"context"
	"net/http"
	"time"

	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// startupTime is the time after the start of a daemon in which requests wait for what it does not know
	// yet: the configuration, and the servers of a service. Both are usually there within a second.
	startupTime = 3 * time.Second
	// startupShare bounds the wait of a request, as a share of the time that its caller allows; a caller
	// that is refused then still has time to come back.
	startupShare = 0.33
	// startupCheck separates two looks of a waiting request.
	startupCheck = 10 * time.Millisecond
	// maxStartupWaits bounds the waiting requests; further ones are refused at once.
	maxStartupWaits = 512
)

// awaitStartup waits while this daemon is starting until found reports true, for a share of the time that the
// caller of a request allows at most. It returns what found reported last.
func (h *Handler) awaitStartup(ctx context.Context, arrived time.Time, allowed time.Duration, found func() bool) bool {
	until := arrived.Add(time.Duration(startupShare * float64(allowed)))
	if end := time.UnixMilli(int64(h.config.StartedMS)).Add(startupTime); end.Before(until) {
		until = end
	}
	if !until.After(h.config.Now()) {
		return false
	}
	defer h.startupWaits.Add(-1)
	if h.startupWaits.Add(1) > maxStartupWaits {
		return false
	}
	ticker := time.NewTicker(startupCheck)
	defer ticker.Stop()
	for h.config.Now().Before(until) {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if found() {
			return true
		}
	}
	return false
}

// currentSnapshot returns the snapshot in force. While this daemon starts, a request that says how long its caller
// waits is held until there is one.
func (h *Handler) currentSnapshot(r *http.Request, arrived time.Time) *snapshot.Snapshot {
	snap := h.config.Snapshot()
	if snap != nil {
		return snap
	}
	if allowed, ok := allowedTime(r, h.config.Dialect.TimeLeft); ok {
		h.awaitStartup(r.Context(), arrived, allowed, func() bool { snap = h.config.Snapshot(); return snap != nil })
	}
	return snap
}

// pickAtStartup picks an endpoint for e while this daemon is starting and knows none of the service. err is why none
// was picked.
func (h *Handler) pickAtStartup(ctx context.Context, e *exchange, res *result, err error) (pick *selection.Pick, _ error) {
	h.awaitStartup(ctx, e.arrived, e.deadline.Sub(e.arrived), func() bool {
		pick, err = h.pick(e, res)
		return err == nil
	})
	return pick, err
}
