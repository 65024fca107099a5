package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// unknownLoad marks a result without a load of the backend server.
const unknownLoad = -1

// result is the outcome of a request so far: a complete response of a backend server, or a refusal.
type result struct {
	response *call.Response
	refusal  *refusal
	attempts int
	// known is the combined verdict of all attempts: one that has run makes the request ran, one
	// that may have run rules out not run.
	known verdict.Verdict
	// tried lists the instances excluded from further attempts. offered counts the attempts that
	// have reached or may have reached a backend server, busyRefusals those refused for lack of a
	// slot or because the link is busy.
	tried []endpoint.InstanceID
	// busy lists the instances that refused the request for lack of a slot. They are tried again only
	// if no other instance is left.
	busy                  []endpoint.InstanceID
	offered, busyRefusals int
	// draining means that the last attempt was refused as draining.
	draining bool
	// traces holds the attempts for the log.
	traces []attemptTrace
}

func newResult() *result { return &result{known: verdict.NotRun} }

// add applies the outcome of an attempt. A complete response is kept until there is another one,
// because it is a better answer than the failure of a retry.
func (r *result) add(a *attemptResult) {
	r.attempts++
	if a.reachedServer() {
		r.offered++
	}
	if a.busy() {
		r.busyRefusals++
	}
	r.draining = a.err != nil && a.response != nil && a.response.Draining
	if r.known == verdict.NotRun || a.verdict == verdict.Ran {
		r.known = a.verdict
	}
	if a.err == nil {
		r.response = a.response
		return
	}
	r.refusal = attemptRefusal(a)
}

// countedAttempts returns the number of attempts that count against the bound of e.
func (r *result) countedAttempts(e *exchange) int {
	if e.routed() {
		return r.offered
	}
	return r.attempts
}

// end sets f as the answer of r unless there is a response. The verdict of f covers all attempts;
// its status is not 503 if one of them may have run.
func (r *result) end(f *refusal) *result {
	if r.response != nil {
		return r
	}
	f.verdict = r.known
	if r.known != verdict.NotRun && f.status == http.StatusServiceUnavailable {
		f.status = http.StatusBadGateway
	}
	r.refusal = f
	return r
}

// endBefore ends r because f refuses the next attempt. If an earlier one may have run, its outcome is the
// answer.
func (r *result) endBefore(f *refusal) *result {
	if r.known != verdict.NotRun {
		return r.end(r.refusal)
	}
	return r.end(f)
}

// check names what refused the request, empty if there is a response.
func (r *result) check() string {
	if r.response != nil {
		return ""
	}
	return r.refusal.check
}

// verdict returns the verdict on the request as a whole.
func (r *result) verdict() verdict.Verdict {
	if r.response != nil {
		return verdict.Ran
	}
	return r.refusal.verdict
}

// pickResult converts an attempt to a result for endpoint selection. A refusal by admission control
// is not a failure of the endpoint; a broken connection or an unusable response is.
func pickResult(e *exchange, a *attemptResult, latency time.Duration) selection.Result {
	r := selection.Result{Verdict: a.verdict, Load: unknownLoad, Latency: latency}
	if a.response == nil {
		r.Failed = true
		return r
	}
	r.Work, r.Bytes, r.Refused = a.response.Work, len(a.response.Body), !a.response.Offered
	r.Load = a.response.Load
	r.Draining = a.response.Draining
	r.Failed = a.err != nil && (a.verdict != verdict.NotRun || e.routed() && a.response.Offered)
	if e.routed() && a.err == nil && a.response.Status >= http.StatusInternalServerError && a.response.Status != http.StatusGatewayTimeout {
		r.Failed = true // a gray failure is visible in the responses only
	}
	return r
}

// minTimeoutShare is the share of the deadline of a kind that an attempt must have had for its
// timeout to count as a failure of the endpoint. Callers may set any timeout, and a retry has only
// the remaining time.
const minTimeoutShare = 0.5

// isCallerFault reports whether an attempt failed for a reason unrelated to the endpoint: a request
// too large for a frame, or one with too little time.
func isCallerFault(e *exchange, a *attemptResult, left time.Duration) bool {
	if a.err == nil {
		return false
	}
	if errors.Is(a.err, call.ErrRequestTooLarge) {
		return true
	}
	timedOut := errors.Is(a.err, context.DeadlineExceeded) ||
		a.response != nil && a.response.Status == http.StatusGatewayTimeout
	return timedOut && float64(left) < minTimeoutShare*float64(e.kind.Deadline)
}

// writeResponse sends the complete response of a backend server to the caller.
func (h *Handler) writeResponse(w http.ResponseWriter, e *exchange, res *result) {
	header := w.Header()
	for name, values := range res.response.Header {
		header[name] = values
	}
	h.setCommon(header, e.snap, res)
	if mayHaveBody(e.request.Method, res.response.Status) {
		header.Set("Content-Length", strconv.Itoa(len(res.response.Body)))
	}
	w.WriteHeader(res.response.Status)
	_, _ = w.Write(res.response.Body) // an error means that the caller has disconnected
}

// mayHaveBody reports whether a response can have a body. If not, a Content-Length from the backend
// server is that of the resource.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// setCommon sets the headers that all responses of this daemon have if the dialect is annotated.
func (h *Handler) setCommon(header http.Header, snap *snapshot.Snapshot, res *result) {
	if !h.config.Dialect.Annotated {
		return
	}
	header.Set(verdict.Header, res.verdict().String())
	header.Set(HeaderVersion, strconv.FormatUint(uint64(snap.Version), 10))
	header.Set(HeaderAttempts, strconv.Itoa(res.attempts))
}
