package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// maxBusyRefusals is the number of busy refusals after which a request of a route no longer
	// looks for a free slot elsewhere. With more daemons, each one's information about loads is
	// less accurate; in an overload no slot is free, and each transmission costs bandwidth.
	maxBusyRefusals = 3
	// stoppingWaitShare is the longest slot wait requested by a stopping daemon, as a share of the
	// latency target.
	stoppingWaitShare = 0.2
)

// maxSlotWait returns the longest wait for a slot that the receiving daemon may accept e for, 0 for
// no limit. Load information may be out of date and another daemon may have a free slot. After
// maxBusyRefusals refusals, or after one if the next daemon is in another failure domain, the
// request waits at the daemon it is sent to, unless this daemon may stop in the meantime.
func (h *Handler) maxSlotWait(e *exchange, pick *selection.Pick, busyRefusals int) time.Duration {
	switch {
	case !e.routed():
		return 0
	case h.config.Stopping():
		return time.Duration(stoppingWaitShare * float64(e.target))
	case busyRefusals >= maxBusyRefusals, busyRefusals > 0 && pick.Record().Domain != h.config.Domain:
		return 0
	}
	return pick.MaxWait(e.target)
}

// retryResponse reports whether another server may give a better response than resp: the request is
// idempotent and the backend server failed or is unavailable.
func (h *Handler) retryResponse(e *exchange, resp *call.Response, res *result) bool {
	failed := resp.Status == http.StatusServiceUnavailable
	if e.routed() {
		failed = failed || resp.Status == http.StatusInternalServerError || resp.Status == http.StatusBadGateway
	}
	return e.kind.Idempotent && failed && res.countedAttempts(e) < e.maxAttempts && e.budget.Withdraw(true)
}

// mayRetry reports whether e may be sent again after a. A refusal by a draining daemon does not use
// the retry budget, since it is no sign of overload; for routes, neither does a refusal before the
// request reached a backend server.
func (h *Handler) mayRetry(ctx context.Context, e *exchange, a *attemptResult, res *result) bool {
	if a.err == nil {
		return true // retryResponse has charged the budget
	}
	if ctx.Err() != nil || errors.Is(a.err, call.ErrRequestTooLarge) {
		return false
	}
	if e.routed() && !a.reachedServer() {
		// The transmission used no server capacity. If an earlier attempt reached a server, the
		// retry budget was charged then.
		return res.busyRefusals <= maxBusyRefusals && res.attempts < maxTransmissions
	}
	if res.countedAttempts(e) >= e.maxAttempts {
		return false
	}
	if a.verdict != verdict.NotRun && !e.kind.Idempotent {
		return false
	}
	if a.response != nil && a.response.Draining {
		return res.attempts < maxTransmissions
	}
	return e.budget.Withdraw(a.verdict != verdict.NotRun)
}

// reachedServer reports whether the request has reached or may have reached the backend server.
func (a *attemptResult) reachedServer() bool {
	if a.response != nil {
		return a.response.Offered
	}
	return a.verdict != verdict.NotRun
}

// busy reports whether a daemon refused the request because its backend server has no free slot,
// which is likely to change.
func (a *attemptResult) busy() bool {
	return a.err != nil && a.response != nil && a.verdict == verdict.NotRun && !a.response.Offered && !a.response.Draining && a.response.RetryAfter > 0
}
