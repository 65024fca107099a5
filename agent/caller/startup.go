package caller

import (
	"context"
	"time"

	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// startupWindow is the time after the start of a daemon in which requests are held until it has
	// the configuration and the servers of the service. Both usually arrive within a second.
	startupWindow = 3 * time.Second
	// startupShare bounds the hold of a request, as a share of the timeout set by its caller; a
	// refused caller then still has time to retry.
	startupShare = 0.33
	// startupPollInterval is the time between two checks of a held request.
	startupPollInterval = 10 * time.Millisecond
	// maxStartupWaits bounds the held requests; further ones are refused at once.
	maxStartupWaits = 512
)

// awaitStartup waits until found reports true while this daemon is starting, for at most
// startupShare of the timeout allowed. It returns the last result of found.
func (h *Handler) awaitStartup(ctx context.Context, arrived time.Time, allowed time.Duration, found func() bool) bool {
	until := arrived.Add(time.Duration(startupShare * float64(allowed)))
	if end := time.UnixMilli(int64(h.config.StartedMS)).Add(startupWindow); end.Before(until) {
		until = end
	}
	if !until.After(h.config.Now()) {
		return false
	}
	defer h.startupWaits.Add(-1)
	if h.startupWaits.Add(1) > maxStartupWaits {
		return false
	}
	ticker := time.NewTicker(startupPollInterval)
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

// currentSnapshot returns the snapshot in force. While this daemon is starting, a request with a
// timeout is held until there is one.
func (h *Handler) currentSnapshot(ctx context.Context, e *exchange) *snapshot.Snapshot {
	snap := h.config.Snapshot()
	if snap != nil {
		return snap
	}
	if allowed, ok := e.allowed.duration(); ok {
		h.awaitStartup(ctx, e.arrived, allowed, func() bool { snap = h.config.Snapshot(); return snap != nil })
	}
	return snap
}

// pickAtStartup picks an endpoint for e while this daemon is starting and has none of the service.
// err is the reason why none was picked.
func (h *Handler) pickAtStartup(ctx context.Context, e *exchange, res *result, err error) (pick *selection.Pick, _ error) {
	h.awaitStartup(ctx, e.arrived, e.deadline.Sub(e.arrived), func() bool {
		pick, err = h.pick(e, res)
		return err == nil
	})
	return pick, err
}
