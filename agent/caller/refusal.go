package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// refusal is an answer made by this daemon in place of one from a backend server.
type refusal struct {
	status     int
	verdict    verdict.Verdict
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (r *refusal) Error() string { return r.reason }

// refuse returns a refusal of a request that has not run.
func refuse(status int, format string, args ...any) *refusal {
	return &refusal{status: status, verdict: verdict.NotRun, reason: fmt.Sprintf(format, args...)}
}

// asRefusal returns err as a refusal; an error of another type may have run.
func asRefusal(err error) *refusal {
	var r *refusal
	if errors.As(err, &r) {
		return r
	}
	return &refusal{status: http.StatusBadGateway, verdict: verdict.Of(err), reason: err.Error()}
}

// write sends r to the caller.
func (r *refusal) write(w http.ResponseWriter, marks *dialect.Dialect) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		h.Set("Retry-After", retryAfterText(r.retryAfter, marks))
	}
	if marks.Annotated {
		h.Set(verdict.Header, r.verdict.String())
	}
	w.WriteHeader(r.status)
	fmt.Fprintln(w, r.reason)
}

// retryAfterText returns d in seconds, rounded up to whole ones unless the callers read fractions.
func retryAfterText(d time.Duration, marks *dialect.Dialect) string {
	if marks.FractionalSeconds {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}

const (
	// comeBackShare and minComeBack give the time after which a refused request may come back, as a share
	// of its target and at least.
	comeBackShare = 0.08
	minComeBack   = 10 * time.Millisecond
)

// comeBack sets when the caller of a refused request may come back. A slot becomes free many times within the
// target; the sooner the request is back, the more of its time is left.
func (e *exchange) comeBack(f *refusal) {
	if e.routed() && f.verdict == verdict.NotRun {
		f.retryAfter = max(time.Duration(comeBackShare*float64(e.target)), minComeBack)
	}
}

// promise makes the status of a refusal say what its verdict proves: callers that do not read verdicts may
// submit a request again after 503 only.
func (h *Handler) promise(res *result) {
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
