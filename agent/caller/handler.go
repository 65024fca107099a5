// Package caller handles the requests of callers. It routes each request by the snapshot in force,
// sends it to a backend server through that server's daemon, retries where that is safe, and
// reports to the caller whether the request may have run.
package caller

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/burn"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Remote sends requests to other daemons.
type Remote interface {
	// Do sends r to the daemon at addr. Its error carries a verdict.
	Do(ctx context.Context, addr string, r *call.Request) (*call.Response, error)
	// Fence determines the outcome of attempt id at the daemon with these addresses.
	Fence(ctx context.Context, addr, rpcAddr string, id fence.AttemptID) fence.Answer
}

// Recorder counts the outcomes of requests. It is called on the request path.
type Recorder interface {
	Record(s *snapshot.Service, k *snapshot.Kind, o burn.Outcome)
}

// Budgets limits the retries of each kind of request or of each service.
type Budgets interface {
	Of(service, kind string) retry.Limiter
}

// Config holds the dependencies of a Handler. All fields are required unless stated otherwise.
type Config struct {
	Instance endpoint.InstanceID
	// Domain is the failure domain of this daemon.
	Domain      string
	Incarnation uint64
	// StartedMS is the Unix time of the start in milliseconds, which is the first Incarnation of
	// the record.
	StartedMS uint64
	// QueryKey queries another daemon for an idempotency key.
	QueryKey QueryKey
	// Running reports whether the backend server of this daemon is processing an attempt.
	Running func(fence.AttemptID) bool
	// RepeatShare returns the share of repeats among the attempts that the backend server of this daemon
	// is processing; nil means none.
	RepeatShare func() float64
	// Snapshot returns the snapshot in force, or nil if there is none that may be served.
	Snapshot func() *snapshot.Snapshot
	// View returns the current endpoints.
	View     func() *endpoint.View
	Selector *selection.Selector
	// Local is the receiving side of this daemon.
	Local    call.Handler
	Remote   Remote
	Budgets  Budgets
	Recorder Recorder
	// Dialect defines the headers of requests and responses; nil selects dialect.Default.
	Dialect *dialect.Dialect
	// Origin is the service of this instance, sent to backend servers if the dialect requires it.
	Origin string
	// Stopping reports whether this daemon is about to stop; nil means that it never is.
	Stopping func() bool
	// StopBy returns the time by which all requests must have ended because this daemon stops then, zero
	// if it is not stopping; nil means that it never is.
	StopBy func() time.Time
	// Caps decides whether requests are within the usage caps of their accounts; nil means no caps.
	Caps UsageCaps
	// Memory bounds the bodies of requests in progress; nil means no bound.
	Memory *bodymemory.Budget
	// Random returns a uniform random number and is called concurrently; nil selects math/rand.
	Random func() uint64
	Log    *event.Logger
	Now    func() time.Time
}

// Handler serves the requests of callers.
type Handler struct {
	config   Config
	sequence atomic.Uint64
	keys     *keyOwner
	// timeoutEstimates holds the estimated full timeouts of callers by route.
	timeoutEstimates timeoutEstimates
	metrics          metrics
	latencies        latencies
	// startupWaits is the number of requests held until a starting daemon has a configuration and
	// endpoints.
	startupWaits atomic.Int64
}

type metrics struct {
	requests, retries, refusals, fences, keyQueries expvar.Int
	// refusalStatuses counts the refusals by status.
	refusalStatuses expvar.Map
	// sentOwnInstance, sentOwnDomain and sentOtherDomains count the transmissions to the backend
	// server of this instance, to this failure domain and to other ones; bytesOtherDomains counts
	// the body bytes of the latter, noFreeSlot the transmissions refused for lack of a slot.
	sentOwnInstance, sentOwnDomain, sentOtherDomains, bytesOtherDomains, noFreeSlot expvar.Int
	authentication                                                                  authenticationMetrics
}

// NewHandler returns a Handler for config.
func NewHandler(config Config) *Handler {
	if config.Dialect == nil {
		config.Dialect = &dialect.Default
	}
	if config.Random == nil {
		config.Random = rand.Uint64
	}
	if config.RepeatShare == nil {
		config.RepeatShare = func() float64 { return 0 }
	}
	if config.Stopping == nil {
		config.Stopping = func() bool { return false }
	}
	if config.StopBy == nil {
		config.StopBy = func() time.Time { return time.Time{} }
	}
	h := &Handler{config: config}
	h.keys = newKeyOwner(h)
	return h
}

// Metrics returns the counters of h for publication.
func (h *Handler) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("requests", &h.metrics.requests)
	m.Set("sent_own_instance", &h.metrics.sentOwnInstance)
	m.Set("sent_own_domain", &h.metrics.sentOwnDomain)
	m.Set("sent_other_domains", &h.metrics.sentOtherDomains)
	m.Set("body_bytes_other_domains", &h.metrics.bytesOtherDomains)
	m.Set("no_free_slot", &h.metrics.noFreeSlot)
	m.Set("retries", &h.metrics.retries)
	m.Set("refusals", &h.metrics.refusals)
	m.Set("refusals_by_status", &h.metrics.refusalStatuses)
	m.Set("authentication", h.metrics.authentication.vars())
	m.Set("fences", &h.metrics.fences)
	m.Set("key_questions", &h.metrics.keyQueries)
	m.Set("latency", expvar.Func(h.latencies.summaries))
	m.Set("keys", expvar.Func(func() any { return h.keys.table.Len() }))
	return m
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.requests.Add(1)
	memory := h.config.Memory.Hold()
	defer memory.Release()
	e, f := h.newExchange(w, r, h.config.Now(), memory)
	if f != nil {
		h.refuseOnArrival(w, r, e, f)
		return
	}
	res := h.serve(r.Context(), e)
	e.settle(res.verdict())
	h.alignStatus(res)
	h.logEnd(e, res)
	h.latencies.record(e.service.Name, outcomeName(res), h.config.Now().Sub(e.arrived))
	h.config.Recorder.Record(e.service, e.kind, h.outcome(e, res))
	h.metrics.retries.Add(int64(max(res.attempts-1, 0)))
	if res.response != nil {
		h.writeResponse(w, e, res)
		return
	}
	if res.refusal.isRejection() {
		h.logRejected(r, e, res.refusal)
	}
	h.setCommon(w.Header(), e.snap, res)
	e.setRetryAfter(res.refusal)
	h.refuse(w, res.refusal)
}

// refuseOnArrival refuses a request before its first attempt; e is what is known of it.
func (h *Handler) refuseOnArrival(w http.ResponseWriter, r *http.Request, e *exchange, f *refusal) {
	e.settle(f.verdict)
	res := &result{refusal: f}
	if f.check == checkUsageCap {
		h.logEnd(e, res)
	} else {
		h.logUnrouted(r, e, f)
	}
	if e.snap != nil {
		h.setCommon(w.Header(), e.snap, res)
	}
	h.refuse(w, f)
}

// RefuseStopping refuses a request that arrives when this daemon takes no more.
func (h *Handler) RefuseStopping(w http.ResponseWriter, _ *http.Request) {
	f := refuse(http.StatusServiceUnavailable, "this daemon is stopping")
	f.retryAfter = minRetryAfter
	h.refuse(w, f)
}

func (h *Handler) serve(ctx context.Context, e *exchange) *result {
	if e.key != "" && !e.kind.Idempotent {
		return h.keys.serve(ctx, e)
	}
	return h.run(ctx, e)
}

func (h *Handler) refuse(w http.ResponseWriter, f *refusal) {
	h.metrics.refusals.Add(1)
	h.metrics.refusalStatuses.Add(strconv.Itoa(f.status), 1)
	f.write(w, h.config.Dialect)
}

func (h *Handler) outcome(e *exchange, res *result) burn.Outcome {
	late := h.config.Now().After(e.deadline)
	failed := res.response == nil || res.response.Status >= http.StatusInternalServerError
	return burn.Classify(res.verdict(), late, failed)
}
