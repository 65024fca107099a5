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
	// maxBounces bounds the refusals after which a request of a route looks for a free slot elsewhere. The
	// more daemons there are, the less each one knows of the loads; in an overload no slot is free, and each
	// transmission costs bytes.
	maxBounces = 3
	// stoppingPatience is the longest wait that a stopping daemon accepts, as a share of the target.
	stoppingPatience = 0.2
)

// patience returns the longest wait for a slot that a daemon may accept e for, 0 for any. Another daemon may
// have a free slot while what is known here is out of date; after maxBounces refusals, or after one if the next
// daemon is in another failure domain, the request waits where it is sent, unless this daemon may stop meanwhile.
func (h *Handler) patience(e *exchange, pick *selection.Pick, bounces int) time.Duration {
	switch {
	case !e.routed():
		return 0
	case h.config.Stopping():
		return time.Duration(stoppingPatience * float64(e.target))
	case bounces >= maxBounces, bounces > 0 && pick.Record().Domain != h.config.Domain:
		return 0
	}
	return pick.MaxWait(e.target)
}

// retryResponse reports whether another server may give a better answer than resp: the request is
// idempotent and the backend server failed or is unavailable.
func (h *Handler) retryResponse(e *exchange, resp *call.Response, res *result) bool {
	failed := resp.Status == http.StatusServiceUnavailable
	if e.routed() {
		failed = failed || resp.Status == http.StatusInternalServerError || resp.Status == http.StatusBadGateway
	}
	return e.kind.Idempotent && failed && res.spent(e) < e.maxAttempts && e.budget.Withdraw(true)
}

// mayRetry reports whether e may be sent again after a. A refusal by a draining daemon is free of
// charge, since it is no sign of overload, and for routes one before the request reached a backend server.
func (h *Handler) mayRetry(ctx context.Context, e *exchange, a *attemptResult, res *result) bool {
	if a.err == nil {
		return true // paid for in retryResponse
	}
	if ctx.Err() != nil || errors.Is(a.err, call.ErrRequestTooLarge) {
		return false
	}
	if e.routed() && !a.offered() {
		// The transmission has cost no server anything. One that follows an earlier arrival at a server
		// was paid for then.
		return res.bounces <= maxBounces && res.attempts < maxTransmissions
	}
	if res.spent(e) >= e.maxAttempts {
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

// offered reports whether the request has or may have reached the backend server.
func (a *attemptResult) offered() bool {
	if a.response != nil {
		return a.response.Offered
	}
	return a.verdict != verdict.NotRun
}

// busy reports whether a daemon refused the request because its backend server has no free slot, which may
// have changed the next time.
func (a *attemptResult) busy() bool {
	return a.err != nil && a.response != nil && a.verdict == verdict.NotRun && !a.response.Offered && !a.response.Draining && a.response.RetryAfter > 0
}
