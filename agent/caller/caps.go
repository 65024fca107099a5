package caller

import (
	"context"
	"net/http"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// UsageCaps decides whether requests of client accounts are within their usage caps. Its methods are
// called concurrently on the request path.
type UsageCaps interface {
	// Take takes one request from the cap of account, whose rate is above 0. It may wait a few
	// milliseconds for the daemon that owns the cap. Exactly one of the results is nil.
	Take(ctx context.Context, account *snapshot.Account) (Permit, *CapRefusal)
}

// Permit is one request that has been taken from a usage cap. Its methods are called by the goroutine of
// the request, not concurrently.
type Permit interface {
	// Renew is called right before each attempt is sent. If the permit has expired, for example
	// because this process was suspended, it takes a new one, which may wait like Take. It returns nil
	// if the request may be sent now.
	Renew(ctx context.Context) *CapRefusal
	// Return gives the permit back because the request has certainly not run. It is called at most
	// once, also after Renew has refused.
	Return()
}

// CapRefusal states why a request is not sent.
type CapRefusal struct {
	// NoOwner means that the daemon that owns the cap does not answer, so that it is not known whether
	// the request is within the cap. Otherwise the request is over the cap.
	NoOwner bool
	// RetryAfter is the time after which there is room again; it is ignored if NoOwner is set.
	RetryAfter time.Duration
}

// noOwnerRetryAfter is the Retry-After of a request whose cap has no owner that answers. Members name
// another one within a few of these times.
const noOwnerRetryAfter = 200 * time.Millisecond

// takeFromCap takes e from the usage cap of its account.
func (h *Handler) takeFromCap(ctx context.Context, e *exchange) *refusal {
	if h.config.Caps == nil || e.account == nil || e.account.Rate <= 0 {
		return nil
	}
	permit, refused := h.config.Caps.Take(ctx, e.account)
	if refused != nil {
		return capRefusal(e, refused)
	}
	e.permit = permit
	return nil
}

// renewPermit refuses e if what it has taken from the cap has expired and there is no room for it now.
func (h *Handler) renewPermit(ctx context.Context, e *exchange) *refusal {
	if e.permit == nil {
		return nil
	}
	if refused := e.permit.Renew(ctx); refused != nil {
		return capRefusal(e, refused)
	}
	return nil
}

// settle gives back the permit of a request that has certainly not run.
func (e *exchange) settle(v verdict.Verdict) {
	if e.permit != nil && v == verdict.NotRun {
		e.permit.Return()
	}
	e.permit = nil
}

func capRefusal(e *exchange, refused *CapRefusal) *refusal {
	f := refuse(http.StatusTooManyRequests, "account %q is over its usage cap of %v requests per second", e.account.Name, e.account.Rate)
	f.retryAfter = refused.RetryAfter
	if refused.NoOwner {
		f = refuse(http.StatusServiceUnavailable, "the daemon that owns the usage cap of account %q does not answer", e.account.Name)
		f.retryAfter = noOwnerRetryAfter
	}
	f.fixedRetryAfter = true
	return f.by(checkUsageCap)
}
