package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Names of the checks that reject a request with a status below 500, for the log.
const (
	checkConfiguration = "configuration"
	checkRoute         = "route"
	checkHeaderBytes   = "header-bytes"
	checkBodyBytes     = "body-bytes"
	checkBody          = "body"
	checkTimeLeft      = "time-left"
	checkDepth         = "depth"
	checkKey           = "idempotency-key"
	checkAttempt       = "attempt"
	// checkAuthentication and checkUsageCap are the checks of the client account of the caller.
	checkAuthentication = "authentication"
	checkUsageCap       = "usage-cap"
)

// refusal is a response of this daemon in place of one from a backend server.
type refusal struct {
	// check names what refused the request; empty for refusals that are no rejection.
	check      string
	status     int
	verdict    verdict.Verdict
	reason     string
	retryAfter time.Duration
	// fixedRetryAfter means that retryAfter is known, or that there is none, and not to be estimated from the
	// route.
	fixedRetryAfter bool
	// challenge is the authentication scheme that a response with status 401 names.
	challenge string
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// refuse returns a refusal of a request that has not run.
func refuse(status int, format string, args ...any) *refusal {
	return &refusal{status: status, verdict: verdict.NotRun, reason: fmt.Sprintf(format, args...)}
}

// by sets the check that refused the request.
func (r *refusal) by(check string) *refusal {
	r.check = check
	return r
}

// isRejection reports whether r tells the caller that the request is wrong, so that it is not sent
// again. 408, 421 and 429 only postpone a request.
func (r *refusal) isRejection() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return r.status < http.StatusInternalServerError
}

// write sends r to the caller.
func (r *refusal) write(w http.ResponseWriter, marks *dialect.Dialect) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		h.Set("Retry-After", retryAfterText(r.retryAfter, marks))
	}
	if r.challenge != "" {
		h.Set("WWW-Authenticate", r.challenge)
	}
	if marks.Annotated {
		h.Set(verdict.Header, r.verdict.String())
	}
	w.WriteHeader(r.status)
	fmt.Fprintln(w, r.reason)
}

// retryAfterText formats d in seconds, rounded up to whole seconds unless the dialect allows
// fractions.
func retryAfterText(d time.Duration, marks *dialect.Dialect) string {
	if marks.FractionalSeconds {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

const (
	// retryAfterShare and minRetryAfter give the Retry-After of a refused request: a share of its
	// latency target, and a minimum.
	retryAfterShare = 0.08
	minRetryAfter   = 10 * time.Millisecond
)

// setRetryAfter sets the Retry-After of a refused request of a route. Slots become free many times
// within the latency target; an earlier retry has more of its time left.
func (e *exchange) setRetryAfter(f *refusal) {
	if e.routed() && f.verdict == verdict.NotRun && !f.fixedRetryAfter {
		f.retryAfter = max(time.Duration(retryAfterShare*float64(e.target)), minRetryAfter)
	}
}

// alignStatus sets the status of a refusal according to its verdict: callers that do not read
// verdicts resubmit a request only after 503.
func (h *Handler) alignStatus(res *result) {
	f := res.refusal
	if h.config.Dialect.Annotated || res.response != nil || f == nil {
		return
	}
	switch {
	case f.verdict == verdict.NotRun && f.status >= http.StatusInternalServerError:
		f.status = http.StatusServiceUnavailable
	case f.verdict != verdict.NotRun && f.status == http.StatusServiceUnavailable:
		f.status = http.StatusBadGateway
	}
}
