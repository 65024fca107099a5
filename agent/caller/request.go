package caller

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Request headers, in addition to those of package call.
const (
	// HeaderService names the service when the Host header does not.
	HeaderService = "Kingcupwood-Service"
	// headerOwner marks a request that was forwarded to the owner of its idempotency key.
	headerOwner = "Kingcupwood-Key-Owner"
)

// Response headers, in addition to verdict.Header.
const (
	HeaderVersion  = "Kingcupwood-Version"
	HeaderAttempts = "Kingcupwood-Attempts"
)

// Limits of a request.
const (
	// MaxDepth bounds a chain of calls between services; a longer one is treated as a loop.
	MaxDepth = 13
	// defaultBodyBytes bounds the body of a request if the configuration sets no limit.
	defaultBodyBytes = 1 << 20
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
)

// exchange is one request of a caller in progress. It uses the same snapshot from start to end.
type exchange struct {
	snap     *snapshot.Snapshot
	service  *snapshot.Service
	kind     *snapshot.Kind
	deadline time.Time
	key      string
	// budget is that of the kind; run sets it.
	budget retry.Limiter
	// request is the template of the attempts; each one gets its own ID and timeout.
	request call.Request
	// id is the request ID set by the caller; arrived is the time of arrival.
	id      string
	arrived time.Time
	// targetTime is the time until which the response has its full worth. It is set for requests of
	// a route only, which have a latency target in place of the declarations of a kind.
	targetTime time.Time
	// target is the latency target, from the arrival to targetTime.
	target time.Duration
	// maxAttempts bounds the number of servers to which the request may be sent.
	maxAttempts int
	// fromOwnInstance means that the request was sent from the address of this daemon, that is, by the
	// backend server beside it.
	fromOwnInstance bool
}

// routed reports whether e matched a route.
func (e *exchange) routed() bool { return !e.targetTime.IsZero() }

// newExchange matches r, which arrived at the time now, against snap and reads its body, which is counted
// in memory. Errors are *refusal.
func (h *Handler) newExchange(snap *snapshot.Snapshot, w http.ResponseWriter, r *http.Request, now time.Time, memory *bodymemory.Hold) (*exchange, error) {
	marks := h.config.Dialect
	if limit := headerLimit(snap); headerBytes(r) > limit {
		return nil, refuse(http.StatusRequestHeaderFieldsTooLarge, "the header of the request is over %d bytes", limit).by(checkHeaderBytes)
	}
	e := &exchange{snap: snap, maxAttempts: defaultMaxAttempts, id: r.Header.Get(marks.RequestID), arrived: now, fromOwnInstance: isFromOwnInstance(r)}
	if err := h.route(e, r, now); err != nil {
		return nil, err
	}
	service, kind := e.service, e.kind
	depth, err := readDepth(r, marks.Depth)
	if err != nil {
		return nil, err
	}
	timeout, err := readTimeout(r, marks.TimeLeft, kind.Deadline)
	if err != nil {
		return nil, err
	}
	key := headerValue(r, marks.IdempotencyKey)
	if len(key) > MaxKeyBytes {
		return nil, refuse(http.StatusBadRequest, "%s is longer than %d bytes", marks.IdempotencyKey, MaxKeyBytes).by(checkKey)
	}
	e.deadline, e.key = now.Add(timeout), key
	h.boundByStop(e)
	body, err := readBody(w, r, bodyLimit(snap), e.deadline, memory)
	if err != nil {
		return nil, err
	}
	nested := depth > 1 && isNested(r, marks.Attempt, h.config.Running)
	if allowed, ok := allowedTime(r, marks.TimeLeft); ok && e.routed() {
		e.targetTime = e.targetTime.Add(-h.timeoutEstimates.waited(kind.Name, allowed, now))
	}
	e.request = call.Request{
		Service: service.Name, Kind: kind.Name, Version: uint64(snap.Version), Depth: depth, Nested: nested,
		Method: r.Method, Target: requestTarget(r), Host: r.Host, Header: h.forwardHeader(r.Header), Body: body,
		Idempotent: kind.Idempotent, Memory: memory,
	}
	if e.routed() {
		e.request.Rank = kind.Rank
	}
	return e, nil
}

// route finds the service and the kind of r: by host and path if the configuration has routes,
// otherwise by the service name.
func (h *Handler) route(e *exchange, r *http.Request, now time.Time) error {
	if !e.snap.HasRoutes() {
		name := serviceName(r)
		service, kind, ok := e.snap.Match(name, r.Method, r.URL.Path)
		if !ok {
			return refuse(http.StatusNotFound, "no service %q with a kind for %s %s", name, r.Method, r.URL.Path).by(checkRoute)
		}
		e.service, e.kind = service, kind
		return nil
	}
	found := e.snap.FindRoute(hostOf(r), pathOf(requestTarget(r)))
	if found == nil {
		return refuse(http.StatusNotFound, "no route for host %q and path %s", r.Host, r.URL.Path).by(checkRoute)
	}
	e.service, e.kind = e.snap.Services[found.Destination(h.config.Random())], &found.Route.Kind
	e.target = found.Route.Target
	if e.target <= 0 || e.target > e.kind.Deadline {
		e.target = e.kind.Deadline
	}
	e.targetTime, e.maxAttempts = now.Add(e.target), found.Route.MaxAttempts
	return nil
}

// isFromOwnInstance reports whether r was sent from the address at which it was received.
func isFromOwnInstance(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	here, _, err := net.SplitHostPort(local.String())
	from, _, fromErr := net.SplitHostPort(r.RemoteAddr)
	return err == nil && fromErr == nil && here == from
}

// requestTarget returns the target of the request line as received.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func serviceName(r *http.Request) string {
	if name := r.Header.Get(HeaderService); name != "" {
		return name
	}
	return hostOf(r)
}

// hostOf returns the host of r without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// headerValue returns the value of a header of the dialect, which is empty if the dialect does not define
// the header.
func headerValue(r *http.Request, name string) string {
	if name == "" {
		return ""
	}
	return r.Header.Get(name)
}

func readDepth(r *http.Request, name string) (int, error) {
	value := headerValue(r, name)
	if value == "" {
		return 1, nil
	}
	hops, err := strconv.Atoi(value)
	if err != nil || hops < 0 {
		return 0, refuse(http.StatusBadRequest, "%s %q is not a number of hops", name, value).by(checkDepth)
	}
	if hops >= MaxDepth {
		return 0, refuse(http.StatusLoopDetected, "the chain of calls is longer than %d", MaxDepth)
	}
	return hops + 1, nil
}

// isNested reports whether r is a call of the backend server of this daemon on behalf of a request
// that it is processing. An external caller cannot guess the ID of such an attempt.
func isNested(r *http.Request, name string, running func(fence.AttemptID) bool) bool {
	id, ok := fence.ParseAttemptID(headerValue(r, name))
	return ok && running(id)
}

// allowedTime returns the timeout set by the caller of r, and whether there is one.
func allowedTime(r *http.Request, name string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(name), 10, 32)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// readTimeout returns the smaller of the deadline of the kind and the timeout set by the caller, 0 if
// that is negative: the time of the caller is over, which is no fault of its request.
func readTimeout(r *http.Request, name string, deadline time.Duration) (time.Duration, error) {
	value := r.Header.Get(name)
	if value == "" {
		return deadline, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64) // the nearest number if value is out of range
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, refuse(http.StatusBadRequest, "%s %q is not a number of milliseconds", name, value).by(checkTimeLeft)
	}
	if ms > deadline.Milliseconds() {
		return deadline, nil
	}
	return time.Duration(max(ms, 0)) * time.Millisecond, nil
}

// headerLimit returns the largest header of a request in bytes.
func headerLimit(snap *snapshot.Snapshot) int {
	if limits := snap.Manifest.Limits; limits != nil && limits.HeaderBytes > 0 {
		return limits.HeaderBytes
	}
	return http.DefaultMaxHeaderBytes
}

// headerBytes returns the size of the header of r, with the request line.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// bodyLimit returns the largest body of a request in bytes.
func bodyLimit(snap *snapshot.Snapshot) int64 {
	if limits := snap.Manifest.Limits; limits != nil && limits.BodyBytes > 0 {
		return min(int64(limits.BodyBytes), call.MaxRequestBodyBytes)
	}
	return defaultBodyBytes
}

// readBody reads the body of r until the deadline of the request. The memory for a large one is reserved
// before it is read, so that a body that cannot be kept is refused at once.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, memory *bodymemory.Hold) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, refuse(http.StatusRequestEntityTooLarge, "the request body is over %d bytes", limit).by(checkBodyBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if err := memory.Grow(int(max(r.ContentLength, 0))); err != nil {
		return nil, refuseForMemory(err)
	}
	if r.ContentLength > 0 && r.ContentLength <= defaultBodyBytes {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, bodyError(err)
	}
	var late atomic.Bool
	timer := time.AfterFunc(time.Until(deadline), func() {
		late.Store(true)
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // interrupts the read
	})
	defer timer.Stop()
	body, err := readLargeBody(r, limit, memory)
	switch {
	case errors.Is(err, bodymemory.ErrExhausted):
		return nil, refuseForMemory(err)
	case err != nil && late.Load():
		return nil, refuse(http.StatusServiceUnavailable, "the deadline has passed before the request body arrived")
	case int64(len(body)) > limit:
		return nil, refuse(http.StatusRequestEntityTooLarge, "the request body is over %d bytes", limit).by(checkBodyBytes)
	}
	return body, bodyError(err)
}

// readLargeBody reads a body whose memory has been reserved if its length is known. One of unknown length
// is read up to one byte over limit.
func readLargeBody(r *http.Request, limit int64, memory *bodymemory.Hold) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(memory.Reader(io.LimitReader(r.Body, limit+1)))
	}
	if memory == nil {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

func refuseForMemory(err error) *refusal {
	f := refuse(http.StatusServiceUnavailable, "%v", err)
	f.retryAfter = bodymemory.RetryAfter
	return f
}

func bodyError(err error) error {
	if err == nil {
		return nil
	}
	return refuse(http.StatusBadRequest, "the request body ended early: %v", errors.Cause(err)).by(checkBody)
}

// forwardHeader removes from header what must not reach the backend server, and returns header. The
// length of the body is known, and only daemons may name the owner of a key.
func (h *Handler) forwardHeader(header http.Header) http.Header {
	call.RemoveHopHeaders(header)
	delete(header, "Content-Length")
	delete(header, headerOwner)
	marks := h.config.Dialect
	for _, name := range []string{marks.TimeLeft, marks.Expect} {
		if name != "" {
			header.Del(name)
		}
	}
	if marks.CallerService != "" {
		header.Set(marks.CallerService, h.config.Origin)
	}
	return header
}

// pathOf returns the path of a request target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
