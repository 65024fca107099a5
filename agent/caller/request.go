package caller

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

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
	// allowed is the time that the caller allows for the request.
	allowed allowance
	// maxAttempts bounds the number of servers to which the request may be sent.
	maxAttempts int
	// rank is that of the account or else of the kind.
	rank int
	// account is that of the caller, nil if it has none; keyHash identifies the API key that it
	// presented. public means that the route admits requests without a key.
	account *snapshot.Account
	keyHash snapshot.KeyHash
	public  bool
	// permit is what the request has taken from the usage cap of its account, nil if it has none.
	permit Permit
	// fromOwnInstance means that the request was sent from the address of this daemon, that is, by the
	// backend server beside it.
	fromOwnInstance bool
}

// routed reports whether e matched a route.
func (e *exchange) routed() bool { return !e.targetTime.IsZero() }

// newExchange builds the exchange of r, which arrived at the time now: everything by which the request is
// judged is read here, once. It waits for the first configuration while this daemon is starting, and reads
// the body, which is counted in memory. With a refusal, the exchange holds what is known of the request.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, now time.Time, memory *bodymemory.Hold) (*exchange, *refusal) {
	marks := h.config.Dialect
	e := &exchange{
		maxAttempts: defaultMaxAttempts, id: r.Header.Get(marks.RequestID), arrived: now,
		fromOwnInstance: isFromOwnInstance(r), allowed: readAllowance(r, marks.TimeLeft),
	}
	if e.snap = h.currentSnapshot(r.Context(), e); e.snap == nil {
		f := refuse(http.StatusServiceUnavailable, "this daemon has no configuration yet").by(checkConfiguration)
		f.retryAfter = time.Second
		return e, f
	}
	if limit := headerLimit(e.snap); headerBytes(r) > limit {
		return e, refuse(http.StatusRequestHeaderFieldsTooLarge, "the header of the request is over %d bytes", limit).by(checkHeaderBytes)
	}
	if f := h.admit(e, r); f != nil {
		return e, f
	}
	body, f := readBody(w, r, bodyLimit(e.snap), e.deadline, memory)
	if f != nil {
		return e, f
	}
	if allowed, ok := e.allowed.duration(); ok && e.routed() {
		e.targetTime = e.targetTime.Add(-h.timeoutEstimates.waited(e.kind.Name, allowed, now))
	}
	e.request.Header, e.request.Body, e.request.Memory = h.forwardHeader(e, r.Header), body, memory
	return e, nil
}

// admit applies the checks that need only the header of r. The account comes first: its key must be valid
// on every route, and its rank takes precedence over that of the route.
func (h *Handler) admit(e *exchange, r *http.Request) *refusal {
	if f := h.authenticate(e, r); f != nil {
		return f
	}
	if f := h.route(e, r); f != nil {
		return f
	}
	if f := h.authorize(e); f != nil {
		return f
	}
	if f := h.readMarks(e, r); f != nil {
		return f
	}
	return h.takeFromCap(r.Context(), e)
}

// readMarks reads the headers of the dialect that bound r and prepares the template of the attempts.
func (h *Handler) readMarks(e *exchange, r *http.Request) *refusal {
	marks, kind := h.config.Dialect, e.kind
	depth, f := readDepth(r, marks.Depth)
	if f != nil {
		return f
	}
	if e.allowed.malformed {
		return refuse(http.StatusBadRequest, "%s %q is not a number of milliseconds", marks.TimeLeft, r.Header.Get(marks.TimeLeft)).by(checkTimeLeft)
	}
	e.key = headerValue(r, marks.IdempotencyKey)
	if len(e.key) > MaxKeyBytes {
		return refuse(http.StatusBadRequest, "%s is longer than %d bytes", marks.IdempotencyKey, MaxKeyBytes).by(checkKey)
	}
	e.deadline = e.arrived.Add(e.allowed.within(kind.Deadline))
	h.boundByStop(e)
	e.request = call.Request{
		Service: e.service.Name, Kind: kind.Name, Version: uint64(e.snap.Version), Depth: depth,
		Nested: depth > 1 && isNested(r, marks.Attempt, h.config.Running),
		Method: r.Method, Target: requestTarget(r), Host: r.Host, Idempotent: kind.Idempotent, Account: e.accountName(),
	}
	if e.routed() {
		e.request.Rank = e.rank
	}
	// Without accounts, calls of backend servers are admitted as they were before there were accounts.
	e.request.ForServer = e.snap.HasAccounts() && e.account == nil && (e.fromOwnInstance || e.request.Nested)
	if e.account != nil && e.key != "" {
		e.key = strconv.Quote(e.account.Name) + e.key // two accounts may use the same idempotency key
	}
	return nil
}

// route finds the service and the kind of r: by host and path if the configuration has routes,
// otherwise by the service name.
func (h *Handler) route(e *exchange, r *http.Request) *refusal {
	if !e.snap.HasRoutes() {
		name := serviceName(r)
		service, kind, ok := e.snap.Match(name, r.Method, r.URL.Path)
		if !ok {
			return refuse(http.StatusNotFound, "no service %q with a kind for %s %s", name, r.Method, r.URL.Path).by(checkRoute)
		}
		e.service, e.kind, e.rank = service, kind, e.rankOf(kind)
		return nil
	}
	found := e.snap.FindRoute(hostOf(r), pathOf(requestTarget(r)))
	if found == nil {
		return refuse(http.StatusNotFound, "no route for host %q and path %s", r.Host, r.URL.Path).by(checkRoute)
	}
	e.service, e.kind = e.snap.Services[found.Destination(h.config.Random())], &found.Route.Kind
	e.rank, e.public = e.rankOf(e.kind), found.Route.Public
	e.target = found.Route.Target
	if e.target <= 0 || e.target > e.kind.Deadline {
		e.target = e.kind.Deadline
	}
	e.targetTime, e.maxAttempts = e.arrived.Add(e.target), found.Route.MaxAttempts
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

func readDepth(r *http.Request, name string) (int, *refusal) {
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

// forwardHeader removes from header what must not reach the backend server, and returns header. The
// length of the body is known, and only daemons may name the owner of a key.
func (h *Handler) forwardHeader(e *exchange, header http.Header) http.Header {
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
	h.replaceCredentials(e, header)
	return header
}

// pathOf returns the path of a request target.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
