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
	// known is the strongest verdict of all attempts: one that has run makes the request ran, one
	// that may have run rules out not run.
	known verdict.Verdict
	// tried lists the instances that are not to be tried again, offered counts the attempts that have
	// or may have reached a backend server, and bounces those refused because no slot was free.
	tried            []endpoint.InstanceID
	offered, bounces int
	// traces tells of the attempts for the log.
	traces []attemptTrace
}

func newResult() *result { return &result{known: verdict.NotRun} }

// add takes over the outcome of an attempt. A complete response stays until there is another one,
// because it is a better answer than the failure of a retry.
func (r *result) add(a *attemptResult) {
	r.attempts++
	if a.offered() {
		r.offered++
	}
	if a.busy() {
		r.bounces++
	}
	if r.known == verdict.NotRun || a.verdict == verdict.Ran {
		r.known = a.verdict
	}
	if a.err == nil {
		r.response = a.response
		return
	}
	r.refusal = attemptRefusal(a)
}

// spent returns the attempts that count against the bound of e.
func (r *result) spent(e *exchange) int {
	if e.routed() {
		return r.offered
	}
	return r.attempts
}

// end makes f the answer of r unless there is a response. The verdict of f accounts for all attempts;
// its status is not that of a refusal if one of them may have run.
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

// verdict returns what is known about the request as a whole.
func (r *result) verdict() verdict.Verdict {
	if r.response != nil {
		return verdict.Ran
	}
	return r.refusal.verdict
}

// pickResult tells selection what came of an attempt. A refusal by admission control is no failure
// of the endpoint; a broken connection or an unusable response is.
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
		r.Failed = true // a gray failure shows in the answers only
	}
	return r
}

// minFairShare is the share of the deadline of a kind that an attempt must have had for its timeout to
// count as a failure of the endpoint. A caller may allow any time, and a retry has what is left.
const minFairShare = 0.5

// isFaultOfCaller reports whether an attempt failed for a reason that says nothing about the endpoint:
// a request that fits no frame, or one that had too little time.
func isFaultOfCaller(e *exchange, a *attemptResult, left time.Duration) bool {
	if a.err == nil {
		return false
	}
	if errors.Is(a.err, call.ErrRequestTooLarge) {
		return true
	}
	timedOut := errors.Is(a.err, context.DeadlineExceeded) ||
		a.response != nil && a.response.Status == http.StatusGatewayTimeout
	return timedOut && float64(left) < minFairShare*float64(e.kind.Deadline)
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
	_, _ = w.Write(res.response.Body) // the caller has gone if this fails
}

// mayHaveBody reports whether a response can have a body. If not, a length that the backend server
// gave is that of the resource.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// setCommon sets what every response of this daemon carries where the dialect asks for it.
func (h *Handler) setCommon(header http.Header, snap *snapshot.Snapshot, res *result) {
	if !h.config.Dialect.Annotated {
		return
	}
	header.Set(verdict.Header, res.verdict().String())
	header.Set(HeaderVersion, strconv.FormatUint(uint64(snap.Version), 10))
	header.Set(HeaderAttempts, strconv.Itoa(res.attempts))
}
