package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/selection"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// defaultMaxAttempts bounds the sends of one request, so that a service whose servers all refuse is
	// not asked by every caller on every server. A route has a bound of its own for the sends that
	// reach a backend server.
	defaultMaxAttempts = 4
	// maxTransmissions bounds the sends of one request to daemons, whether they reach a server or not.
	maxTransmissions = 6
	// A fence may take what is left of the deadline within these bounds. The lower one gives a fence
	// a chance at a daemon that is one round trip away although the deadline has passed.
	minFenceTimeout = 5 * time.Millisecond
	maxFenceTimeout = 250 * time.Millisecond
)

const (
	// maxBounces bounds the refusals after which a request of a route looks for a free slot elsewhere. In
	// an overload there is none, and each transmission costs bytes.
	maxBounces = 1
	// comeBackShare and minComeBack give the time after which a refused request may come back, as a share
	// of its target and at least.
	comeBackShare = 0.08
	minComeBack   = 10 * time.Millisecond
	// stoppingPatience is the longest wait that a stopping daemon accepts, as a share of the target.
	stoppingPatience = 0.2
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	response *call.Response
	verdict  verdict.Verdict
	err      error
}

// run sends e to backend servers until one answers or no further attempt is allowed. It never
// sends a non-idempotent request again unless the earlier attempt is proved not to have run.
func (h *Handler) run(ctx context.Context, e *exchange) *result {
	res := newResult()
	e.budget = h.config.Budgets.Of(e.service.Name, e.kind.Name)
	e.budget.Deposit()
	for {
		left := retry.HopTimeout(e.deadline.Sub(h.config.Now()))
		if left <= 0 {
			return res.end(timeoutRefusal())
		}
		pick, err := h.pick(e, res)
		if err != nil {
			if res.attempts > 0 {
				return res.end(res.refusal) // tells more than that no further server is left
			}
			return res.end(h.noEndpoint(e, err))
		}
		a := h.attempt(ctx, e, res, pick, left)
		res.add(&a)
		if a.err == nil && !h.retryResponse(e, a.response, res) {
			return res
		}
		if !h.mayRetry(ctx, e, &a, res) {
			return res.end(res.refusal)
		}
		if !a.busy() {
			res.tried = append(res.tried, pick.Record().Instance)
		}
	}
}

func (h *Handler) pick(e *exchange, res *result) (*selection.Pick, error) {
	if !e.routed() {
		return h.config.Selector.Pick(e.service.Name, res.tried)
	}
	return h.config.Selector.PickFor(selection.Demand{
		Service: e.service.Name, Kind: e.kind.Name, Target: e.target, Bytes: len(e.request.Body), Tried: res.tried,
	})
}

// patience returns the longest wait for a slot that a daemon may accept e for, 0 for any. Another daemon may
// have a free slot while what is known here is out of date; after maxBounces refusals the request waits where
// it is sent, unless this daemon may stop meanwhile.
func (h *Handler) patience(e *exchange, pick *selection.Pick, bounces int) time.Duration {
	switch {
	case !e.routed():
		return 0
	case h.config.Stopping():
		return time.Duration(stoppingPatience * float64(e.target))
	case bounces >= maxBounces:
		return 0
	}
	return pick.Patience(e.target)
}

func timeoutRefusal() *refusal {
	return refuse(http.StatusGatewayTimeout, "the deadline has passed")
}

func (h *Handler) noEndpoint(e *exchange, err error) *refusal {
	f := refuse(http.StatusServiceUnavailable, "service %s: %v", e.service.Name, err)
	f.retryAfter = time.Second
	return f
}

// attemptRefusal turns a failed attempt into the answer for the caller. The status of a receiving
// daemon stands, since it knows the cause.
func attemptRefusal(a *attemptResult) *refusal {
	f := &refusal{status: http.StatusBadGateway, verdict: a.verdict, reason: a.err.Error()}
	switch {
	case a.response != nil && a.response.Status != 0:
		f.status = a.response.Status
	case errors.Is(a.err, call.ErrRequestTooLarge):
		f.status = http.StatusRequestEntityTooLarge
	case errors.Is(a.err, context.DeadlineExceeded):
		f.status = http.StatusGatewayTimeout
	case a.verdict == verdict.NotRun:
		f.status = http.StatusServiceUnavailable
	}
	if a.response != nil {
		f.retryAfter = a.response.RetryAfter
	}
	return f
}

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

// retryResponse reports whether another server may give a better answer than resp: the request is
// idempotent and the backend server failed or is unavailable.
func (h *Handler) retryResponse(e *exchange, resp *call.Response, res *result) bool {
	failed := resp.Status == http.StatusServiceUnavailable
	if e.routed() {
		failed = failed || resp.Status == http.StatusInternalServerError || resp.Status == http.StatusBadGateway
	}
	return e.kind.Idempotent && failed && res.spent(e) < e.maxAttempts && e.budget.Withdraw(true)
}

// mayRetry reports whether e may be sent again after a. A refusal by a draining daemon is free of
// charge, since it is no sign of overload, and for routes one before the request reached a backend server.
func (h *Handler) mayRetry(ctx context.Context, e *exchange, a *attemptResult, res *result) bool {
	if a.err == nil {
		return true // paid for in retryResponse
	}
	if ctx.Err() != nil || errors.Is(a.err, call.ErrRequestTooLarge) {
		return false
	}
	if e.routed() && !a.offered() {
		// The transmission has cost no server anything. One that follows an earlier arrival at a server
		// was paid for then.
		return res.bounces <= maxBounces && res.attempts < maxTransmissions
	}
	if res.spent(e) >= e.maxAttempts {
		return false
	}
	if a.verdict != verdict.NotRun && !e.kind.Idempotent {
		return false
	}
	if a.response != nil && a.response.Draining {
		return res.attempts < maxTransmissions
	}
	return e.budget.Withdraw(a.verdict != verdict.NotRun)
}

// attempt sends e once to the picked endpoint.
func (h *Handler) attempt(ctx context.Context, e *exchange, res *result, pick *selection.Pick, left time.Duration) attemptResult {
	record := pick.Record()
	req := e.request
	req.Attempt = h.nextAttempt()
	req.Timeout = left
	started := h.config.Now()
	req.Patience = h.patience(e, pick, res.bounces)
	if e.routed() {
		req.Aim = e.aim.Sub(started)
	}
	sendCtx, cancel := context.WithTimeout(ctx, left)
	a := classify(h.send(sendCtx, record, &req))
	cancel()
	if a.verdict == verdict.MayHaveRun && a.response == nil && !e.kind.Idempotent {
		a.verdict = h.fence(ctx, e, record, req.Attempt)
	}
	h.countTransmission(record, &req, &a)
	res.traces = append(res.traces, newAttemptTrace(string(record.Instance), started.Sub(e.arrived), h.config.Now().Sub(started), req.Patience, &a))
	result := pickResult(e, &a, h.config.Now().Sub(started))
	if errors.Is(ctx.Err(), context.Canceled) || isFaultOfCaller(e, &a, left) {
		result = selection.Result{Verdict: verdict.MayHaveRun, Load: unknownLoad}
	}
	pick.Done(result)
	return a
}

func (h *Handler) send(ctx context.Context, record endpoint.Record, req *call.Request) (*call.Response, error) {
	if record.Instance == h.config.Instance {
		return h.config.Local.ServeCall(ctx, req), nil
	}
	return h.config.Remote.Do(ctx, record.CallAddr, req)
}

// offered reports whether the request has or may have reached the backend server.
func (a *attemptResult) offered() bool {
	if a.response != nil {
		return a.response.Offered
	}
	return a.verdict != verdict.NotRun
}

// busy reports whether a daemon refused the request because its backend server has no free slot, which may
// have changed the next time.
func (a *attemptResult) busy() bool {
	return a.err != nil && a.response != nil && a.verdict == verdict.NotRun && !a.response.Offered && !a.response.Draining && a.response.RetryAfter > 0
}

// classify reads the outcome of one send. A response with a reason was made by the receiving daemon:
// a refusal, or the report of a failure behind it.
func classify(resp *call.Response, err error) attemptResult {
	if err != nil {
		return attemptResult{verdict: verdict.Of(err), err: err}
	}
	if resp.Verdict == verdict.Ran && resp.Reason == "" && resp.Status >= http.StatusOK {
		return attemptResult{response: resp, verdict: verdict.Ran}
	}
	return attemptResult{response: resp, verdict: resp.Verdict, err: errors.New(resp.Reason)}
}

// fence settles an attempt whose outcome is unknown. It uses the time that is left even when the
// caller has gone, because the answer decides whether the request may be sent again.
func (h *Handler) fence(ctx context.Context, e *exchange, record endpoint.Record, id fence.AttemptID) verdict.Verdict {
	if record.Instance == h.config.Instance {
		return verdict.MayHaveRun
	}
	timeout := min(max(e.deadline.Sub(h.config.Now()), minFenceTimeout), maxFenceTimeout)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	answer := h.config.Remote.Fence(ctx, record.CallAddr, record.RPCAddr, id)
	h.metrics.fences.Add(1)
	if answer == fence.NeverWillRun {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func (h *Handler) countTransmission(to endpoint.Record, r *call.Request, a *attemptResult) {
	switch {
	case to.Instance == h.config.Instance:
		h.metrics.sentOwn.Add(1)
	case to.Domain == h.config.Domain:
		h.metrics.sentNear.Add(1)
	default:
		h.metrics.sentFar.Add(1)
		h.metrics.farBytes.Add(int64(len(r.Body)))
		if a.response != nil {
			h.metrics.farBytes.Add(int64(len(a.response.Body)))
		}
	}
	if a.busy() {
		h.metrics.bounced.Add(1)
	}
}

func (h *Handler) nextAttempt() fence.AttemptID {
	return fence.AttemptID{Sender: h.config.Incarnation, Seq: h.sequence.Add(1)}
}
