package soak

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// tolerance is the error in a remaining time that is accepted for clock and scheduling delays on a
// busy machine.
const tolerance = 500 * time.Millisecond

// closeWindow is the time after the last byte of a request in which a stopping daemon may close its
// connection, unless it has passed the request on. A connection opened just before the listener
// closes may never be accepted.
const closeWindow = 200 * time.Millisecond

// request is one request of a client or of a server, and its outcome.
type request struct {
	id, method, target, origin string
	body                       []byte
	idempotent                 bool
	sent                       time.Time
	timeout                    time.Duration

	runs   int
	status int // of the last run that ended, 0 if none did
	// statuses holds the status of each run that ended, by the stamp of its response. Several runs
	// of an idempotent request may end in any order.
	statuses map[string]int
	// responseStatus is the status that the client got, 0 if the connection ended without a
	// response.
	responseStatus int
}

// ledger records all requests and the violations of the guarantees of the system.
type ledger struct {
	mu         sync.Mutex
	requests   map[string]*request
	violations []string
}

func newLedger() *ledger { return &ledger{requests: map[string]*request{}} }

// report records that a guarantee was violated.
func (l *ledger) report(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportLocked(format, args...)
}

func (l *ledger) reportLocked(format string, args ...any) {
	at := time.Now().Format("15:04:05.000 ")
	l.violations = append(l.violations, at+fmt.Sprintf(format, args...))
}

// begin registers a request before it is sent.
func (l *ledger) begin(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent = time.Now()
	l.requests[r.id] = r
}

// runStarted checks a request that s begins to run.
func (l *ledger) runStarted(s *server, r *http.Request, id string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.requests[id]
	if known == nil {
		l.reportLocked("server %s runs the unknown request %q", s.id, id)
		return
	}
	known.runs++
	if known.runs > 1 && !known.idempotent {
		l.reportLocked("non-idempotent request %s runs %d times, now on %s", id, known.runs, s.id)
	}
	if r.Method != known.method || r.RequestURI != known.target || !bytes.Equal(body, known.body) {
		l.reportLocked("request %s was changed to %s %s with %d bytes", id, r.Method, r.RequestURI, len(body))
	}
	if origin := r.Header.Get(headerOrigin); origin != known.origin {
		l.reportLocked("request %s of service %s arrives with caller service %q", id, known.origin, origin)
	}
	if !slices.Contains(servicesOf(r.URL.Path), s.m.service) {
		l.reportLocked("request %s for %s runs on service %s", id, r.URL.Path, s.m.service)
	}
	left, err := strconv.Atoi(r.Header.Get(headerTimeLeft))
	if err != nil || time.Duration(left)*time.Millisecond > known.timeout+tolerance {
		l.reportLocked("request %s with timeout %s arrives with remaining time %q", id, known.timeout, r.Header.Get(headerTimeLeft))
	}
	if drained := s.drained.Load(); drained > 0 && known.sent.UnixNano() > drained+int64(drainTime) {
		l.reportLocked("request %s runs on %s, whose draining was confirmed %s before it was sent", id, s.id, known.sent.Sub(time.Unix(0, drained)))
	}
}

// wasCut reports whether r had been accepted when its connection ended without a response. after is
// the time between its last byte and the end of the connection.
func (l *ledger) wasCut(r *request, after time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.runs > 0 || after > closeWindow+tolerance
}

// runEnded records the status and the stamp with which a run ended.
func (l *ledger) runEnded(id, stamp string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[id]; r != nil {
		r.status = status
		if r.statuses == nil {
			r.statuses = map[string]int{}
		}
		r.statuses[stamp] = status
	}
}

// responseReceived checks the response that the client of r got.
func (l *ledger) responseReceived(r *request, response *http.Response, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.responseStatus = response.StatusCode
	stamp := response.Header.Get(headerStamp)
	success := response.StatusCode < http.StatusMultipleChoices
	switch {
	case stamp == "" && success:
		l.reportLocked("request %s succeeded without a server stamp: %q", r.id, body)
	case stamp != "" && r.statuses[stamp] != response.StatusCode:
		l.reportLocked("request %s got status %d of a run that gave %d", r.id, response.StatusCode, r.statuses[stamp])
	case success && !bytes.Equal(body, responseBody(r.id, r.method, r.target, r.body)):
		l.reportLocked("request %s got the response to another request, %d bytes", r.id, len(body))
	}
	if stamp == "" && response.StatusCode < http.StatusInternalServerError && !isRefusal(response.StatusCode) && !isMarker(r.target) {
		l.reportLocked("request %s was denied with status %d: %s", r.id, response.StatusCode, body)
	}
}

// isRefusal reports whether a status guarantees that the request has not run and never will.
func isRefusal(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// finish makes the checks that need all requests to have ended, and returns all violations.
func (l *ledger) finish() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if isRefusal(r.responseStatus) && r.runs > 0 && (!r.idempotent || r.status == http.StatusOK) {
			l.reportLocked("request %s was refused with status %d and has run", r.id, r.responseStatus)
		}
	}
	return l.violations
}

// counts returns the number of requests and of successful ones.
func (l *ledger) counts() (all, good int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.responseStatus == http.StatusOK {
			good++
		}
	}
	return len(l.requests), good
}

// responseBody returns the body of the response of a server to a request.
func responseBody(id, method, target string, body []byte) []byte {
	sum := sha256.Sum256(fmt.Appendf(body[:len(body):len(body)], "%s %s %s", id, method, target))
	return bytes.Repeat(fmt.Appendf(nil, "%s %x\n", id, sum), 1+int(sum[0])%40)
}
