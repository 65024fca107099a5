package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/idempotency"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Bounds of the table of idempotency keys of one daemon. Outcomes are kept for ten minutes; at 40
// keyed requests/s that is 24,000 keys, which fits the memory limit of a daemon.
const (
	maxKeys     = 50_000
	maxKeyBytes = 24 << 20
)

// keyOutcome is the outcome of a keyed request, as kept in the table and handed over.
type keyOutcome struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Status  int             `cbor:"2,keyasint"`
	Header  http.Header     `cbor:"3,keyasint,omitempty"`
	Body    []byte          `cbor:"4,keyasint,omitempty"`
	Reason  string          `cbor:"5,keyasint,omitempty"`
	// RetryAfter is set for refusals only.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// ownerRetryAfter is the Retry-After of a request whose owner did not answer. A stopping owner has
// left the view of the other daemons by then.
const ownerRetryAfter = time.Second

// entryOverheadBytes is the size of a table entry without the body and reason of its outcome.
const entryOverheadBytes = 400

func (o keyOutcome) size() int { return len(o.Body) + len(o.Reason) + entryOverheadBytes }

// KeyRecord is an outcome that is handed over to the next owner of its key.
type KeyRecord = idempotency.Record[keyOutcome]

// keyOwner forwards keyed requests to the daemon that owns their key, and runs those owned by this
// daemon.
type keyOwner struct {
	handler *Handler
	table   *idempotency.Table[keyOutcome]
	history ownerHistory
	// handoverPending is set when an outcome was stored that another daemon needs as an owner.
	handoverPending atomic.Bool
}

func newKeyOwner(h *Handler) *keyOwner {
	table := idempotency.NewTable(maxKeys, maxKeyBytes, keyOutcome.size, h.config.Now)
	return &keyOwner{handler: h, table: table}
}

// serve runs e at the owner of its key.
func (k *keyOwner) serve(ctx context.Context, e *exchange) *result {
	owner, ok := Owner(k.handler.config.View(), e.service.Name, e.key, k.handler.config.Now())
	if !ok {
		return newResult().end(k.handler.noEndpoint(e, errors.New("no backend server is ready")))
	}
	if owner.Instance == k.handler.config.Instance {
		return k.runOwned(ctx, e)
	}
	return k.forward(ctx, e, owner)
}

// forward sends e to its owner. No other daemon is tried, because only the owner has the record of
// earlier uses of the key.
func (k *keyOwner) forward(ctx context.Context, e *exchange, owner endpoint.Record) *result {
	h := k.handler
	req := e.request
	req.Header = req.Header.Clone()
	req.Header.Set(headerOwner, e.key)
	req.Attempt = h.nextAttempt()
	req.Timeout = retry.HopTimeout(e.deadline.Sub(h.config.Now()))
	if req.Timeout <= 0 {
		return newResult().end(timeoutRefusal())
	}
	if f := h.checkSend(ctx, e); f != nil {
		return newResult().end(f)
	}
	sendCtx, cancel := context.WithTimeout(ctx, req.Timeout)
	a := classify(h.config.Remote.Do(sendCtx, owner.CallAddr, &req))
	cancel()
	if a.verdict == verdict.MayHaveRun && a.response == nil {
		a.verdict = h.fence(ctx, e, owner, req.Attempt)
	}
	res := newResult()
	res.add(&a)
	if a.err != nil && a.response == nil {
		res.refusal.retryAfter = ownerRetryAfter
	}
	return res.end(res.refusal)
}

// runOwned runs e if its key is new, and returns the outcome stored for the key.
func (k *keyOwner) runOwned(ctx context.Context, e *exchange) *result {
	var own *result // nil if this submission did not run the request
	key := idempotency.Key{Service: e.service.Name, Kind: e.kind.Name, Value: e.key}
	digest := idempotency.DigestOf(e.request.Method+" "+e.request.Target, e.request.Body)
	wait, cancel := context.WithTimeout(ctx, retry.HopTimeout(e.deadline.Sub(k.handler.config.Now())))
	defer cancel()
	check := func(movedTo idempotency.Peer) (KeyRecord, bool, error) {
		return k.queryPreviousOwners(wait, key, movedTo)
	}
	outcome, err := k.table.RunChecked(wait, key, digest, check, func() (keyOutcome, bool) {
		// The run continues after its caller disconnects, so that a resubmission gets the outcome.
		own = k.handler.run(context.WithoutCancel(ctx), e)
		return toOutcome(own), own.verdict() != verdict.NotRun
	})
	if err != nil {
		return &result{refusal: keyRefusal(err)}
	}
	if own == nil {
		return outcome.result()
	}
	if own.attempts > 0 {
		k.markHandoverPending(key)
	}
	return own
}

// keyRefusal returns the refusal of a submission that got no outcome for its key.
func keyRefusal(err error) *refusal {
	switch {
	case errors.Is(err, idempotency.ErrBodyMismatch):
		return refuse(http.StatusUnprocessableEntity, "%v", err).by(checkKey)
	case errors.Is(err, idempotency.ErrTableFull), errors.Is(err, idempotency.ErrClosed):
		f := refuse(http.StatusServiceUnavailable, "%v", err)
		f.retryAfter = time.Second
		return f
	case errors.Is(err, errPreviousOwnerUnreachable), errors.Is(err, errPreviousOwnerRunning):
		return previousOwnerRefusal(err)
	}
	f := refuse(http.StatusGatewayTimeout, "an earlier submission with this key has not ended: %v", err)
	f.verdict = verdict.MayHaveRun
	return f
}

func toOutcome(res *result) keyOutcome {
	if res.response != nil {
		return keyOutcome{Verdict: verdict.Ran, Status: res.response.Status, Header: res.response.Header, Body: res.response.Body}
	}
	f := res.refusal
	return keyOutcome{Verdict: f.verdict, Status: f.status, Reason: f.reason, RetryAfter: f.retryAfter}
}

// result returns the answer to a submission that did not run the request itself. A run that panicked leaves the
// zero outcome, which has no status, and another daemon may hand over an outcome with an invalid one.
func (o keyOutcome) result() *result {
	if o.Verdict == verdict.Ran && o.Reason == "" && call.IsFinalStatus(o.Status) {
		response := &call.Response{Verdict: verdict.Ran, Status: o.Status, Header: o.Header, Body: o.Body}
		return &result{response: response}
	}
	f := &refusal{status: o.Status, verdict: o.Verdict, reason: o.Reason, retryAfter: o.RetryAfter}
	if !call.IsRefusalStatus(f.status) {
		f = &refusal{status: http.StatusBadGateway, verdict: verdict.MayHaveRun, reason: "the outcome of the run is not known"}
	}
	return &result{refusal: f}
}

// IsOwned reports whether r was sent to this daemon as the owner of an idempotency key.
func IsOwned(r *call.Request) bool { return r.Header.Get(headerOwner) != "" }

// ServeOwned runs a request that another daemon sent to this one as the owner of its key.
func (h *Handler) ServeOwned(ctx context.Context, r *call.Request) *call.Response {
	refused := call.Response{Attempt: r.Attempt, Verdict: verdict.NotRun}
	snap := h.config.Snapshot()
	if snap == nil {
		refused.Reason = "this daemon has no configuration yet"
		return &refused
	}
	service, kind, ok := snap.Match(r.Service, r.Method, pathOf(r.Target))
	if !ok || kind.Idempotent {
		refused.Reason = "the kind of the request has changed"
		return &refused
	}
	e := &exchange{
		snap: snap, service: service, kind: kind, rank: kind.Rank, key: r.Header.Get(headerOwner),
		deadline: h.config.Now().Add(min(r.Timeout, kind.Deadline)), request: r.ForAttempts(), maxAttempts: defaultMaxAttempts,
	}
	e.request.Header = r.Header.Clone()
	e.request.Header.Del(headerOwner)
	e.request.Version = uint64(snap.Version)
	return toCallResponse(r, h.keys.runOwned(ctx, e))
}

func toCallResponse(r *call.Request, res *result) *call.Response {
	if res.response != nil {
		response := *res.response
		response.Attempt = r.Attempt
		return &response
	}
	f := res.refusal
	return &call.Response{Attempt: r.Attempt, Verdict: f.verdict, Status: f.status, Reason: f.reason, RetryAfter: f.retryAfter}
}
