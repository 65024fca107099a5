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

// tolerance is what the clocks and the scheduling of one busy machine may add to a time left.
const tolerance = 500 * time.Millisecond

// lossSlack is the time after the last byte of a request in which a stopping daemon may close its connection, unless
// it has passed the request on. A connection that has just been opened when the listener closes is not taken up.
const lossSlack = 200 * time.Millisecond

// request is one request of a client or of a server, and what became of it.
type request struct {
	id, method, target, origin string
	body                       []byte
	idempotent                 bool
	sent                       time.Time
	allowed                    time.Duration

	runs   int
	status int // of the last run that ended, 0 without one
	// statuses holds the status of each run that ended, by the stamp of its answer. Several runs of an idempotent
	// request may end in any order.
	statuses map[string]int
	// answer is the status that the client got, 0 if the connection ended without one.
	answer int
}

// ledger knows all requests and collects violations of the promises.
type ledger struct {
	mu         sync.Mutex
	requests   map[string]*request
	violations []string
}

func newLedger() *ledger { return &ledger{requests: map[string]*request{}} }

// violate records a broken promise.
func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

func (l *ledger) violateLocked(format string, args ...any) {
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

// ran checks a request that s begins to run.
func (l *ledger) ran(s *server, r *http.Request, id string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.requests[id]
	if known == nil {
		l.violateLocked("server %s runs the unknown request %q", s.id, id)
		return
	}
	known.runs++
	if known.runs > 1 && !known.idempotent {
		l.violateLocked("non-idempotent request %s runs %d times, now on %s", id, known.runs, s.id)
	}
	if r.Method != known.method || r.RequestURI != known.target || !bytes.Equal(body, known.body) {
		l.violateLocked("request %s was changed to %s %s with %d bytes", id, r.Method, r.RequestURI, len(body))
	}
	if origin := r.Header.Get(headerOrigin); origin != known.origin {
		l.violateLocked("request %s of %s arrives as one of %q", id, known.origin, origin)
	}
	if !slices.Contains(servicesOf(r.URL.Path), s.m.service) {
		l.violateLocked("request %s for %s runs on service %s", id, r.URL.Path, s.m.service)
	}
	left, err := strconv.Atoi(r.Header.Get(headerTimeLeft))
	if err != nil || time.Duration(left)*time.Millisecond > known.allowed+tolerance {
		l.violateLocked("request %s with %s arrives with %q", id, known.allowed, r.Header.Get(headerTimeLeft))
	}
	if drained := s.drained.Load(); drained > 0 && known.sent.UnixNano() > drained+int64(drainTime) {
		l.violateLocked("request %s runs on %s, whose leave was confirmed %s before it was sent", id, s.id, known.sent.Sub(time.Unix(0, drained)))
	}
}

// wasCut reports whether a request whose connection ended without an answer, some time after its last byte was sent, was
// taken up before.
func (l *ledger) wasCut(r *request, after time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.runs > 0 || after > lossSlack+tolerance
}

// ended records the status and the stamp with which a run ended.
func (l *ledger) ended(id, stamp string, status int) {
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

// answered checks the answer that the client of r got.
func (l *ledger) answered(r *request, response *http.Response, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.answer = response.StatusCode
	stamp := response.Header.Get(headerStamp)
	success := response.StatusCode < http.StatusMultipleChoices
	switch {
	case stamp == "" && success:
		l.violateLocked("request %s succeeded without a server: %q", r.id, body)
	case stamp != "" && r.statuses[stamp] != response.StatusCode:
		l.violateLocked("request %s got status %d of a run that gave %d", r.id, response.StatusCode, r.statuses[stamp])
	case success && !bytes.Equal(body, answerTo(r.id, r.method, r.target, r.body)):
		l.violateLocked("request %s got an answer to another request, %d bytes", r.id, len(body))
	}
	if stamp == "" && response.StatusCode < http.StatusInternalServerError && !isRefusal(response.StatusCode) && !isMarker(r.target) {
		l.violateLocked("request %s was denied with status %d: %s", r.id, response.StatusCode, body)
	}
}

// isRefusal reports whether a status promises that the request has not run and never will.
func isRefusal(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// settle checks what holds once nothing runs any more, and returns all violations.
func (l *ledger) settle() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if isRefusal(r.answer) && r.runs > 0 && (!r.idempotent || r.status == http.StatusOK) {
			l.violateLocked("request %s was refused with status %d and has run", r.id, r.answer)
		}
	}
	return l.violations
}

// counts returns the number of requests and of successful ones.
func (l *ledger) counts() (all, good int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.requests {
		if r.answer == http.StatusOK {
			good++
		}
	}
	return len(l.requests), good
}

// answerTo returns the body with which a server answers a request.
func answerTo(id, method, target string, body []byte) []byte {
	sum := sha256.Sum256(fmt.Appendf(body[:len(body):len(body)], "%s %s %s", id, method, target))
	return bytes.Repeat(fmt.Appendf(nil, "%s %x\n", id, sum), 1+int(sum[0])%40)
}
