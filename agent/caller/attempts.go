package caller

import (
	"context"
	"net/http"
	"slices"
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
	// defaultMaxAttempts bounds the attempts of one request, so that when all servers of a service
	// refuse, not every caller tries every server. A route has its own bound for attempts that
	// reach a backend server.
	defaultMaxAttempts = 4
	// maxTransmissions bounds the transmissions of one request to daemons, whether or not they
	// reach a server.
	maxTransmissions = 6
	// A fence may use the remaining time up to the deadline within these bounds. The lower bound
	// allows one round trip to a nearby daemon even after the deadline.
	minFenceTimeout = 5 * time.Millisecond
	maxFenceTimeout = 250 * time.Millisecond
)

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	response *call.Response
	verdict  verdict.Verdict
	err      error
}

// run sends e to backend servers until one responds or no further attempt is allowed. A
// non-idempotent request is sent again only if the earlier attempt is proven not to have run.
func (h *Handler) run(ctx context.Context, e *exchange) *result {
	res := newResult()
	e.budget = h.config.Budgets.Of(e.service.Name, e.kind.Name)
	e.budget.Deposit()
	if e.fromOwnInstance {
		e.budget.Charge(h.config.RepeatShare())
	}
	for {
		h.boundByStop(e)
		left := retry.HopTimeout(e.deadline.Sub(h.config.Now()))
		if left <= 0 {
			return res.end(timeoutRefusal())
		}
		pick, err := h.pick(e, res)
		if err != nil && res.attempts == 0 {
			pick, err = h.pickAtStartup(ctx, e, res, err)
		}
		if err != nil {
			if res.attempts > 0 {
				return res.end(res.refusal) // more specific than the lack of another server
			}
			return res.end(h.noEndpoint(e, err))
		}
		if f := h.checkSend(ctx, e); f != nil {
			pick.Done(selection.Result{Verdict: verdict.MayHaveRun, Load: unknownLoad})
			return res.endBefore(f)
		}
		a := h.attempt(ctx, e, res, pick, left)
		res.add(&a)
		if a.err == nil && !h.retryResponse(e, a.response, res) {
			return res
		}
		if !h.mayRetry(ctx, e, &a, res) {
			return res.end(res.refusal)
		}
		if a.busy() {
			res.busy = append(res.busy, pick.Record().Instance)
		} else {
			res.tried = append(res.tried, pick.Record().Instance)
		}
	}
}

// checkSend refuses a request that must not be sent now although it was admitted when it arrived: it may
// have waited since.
func (h *Handler) checkSend(ctx context.Context, e *exchange) *refusal {
	if f := h.checkAccount(e); f != nil {
		return f
	}
	return h.renewPermit(ctx, e)
}

// boundByStop moves the deadline of e before the end of this daemon if it is stopping, which may have begun
// since the last attempt.
func (h *Handler) boundByStop(e *exchange) {
	if stopBy := h.config.StopBy(); !stopBy.IsZero() && stopBy.Before(e.deadline) {
		e.deadline = stopBy
	}
}

func (h *Handler) pick(e *exchange, res *result) (*selection.Pick, error) {
	if !e.routed() {
		return h.config.Selector.Pick(e.service.Name, res.tried)
	}
	want := selection.Request{
		Service: e.service.Name, Kind: e.kind.Name, Target: e.target, Bytes: len(e.request.Body),
		Tried: slices.Concat(res.tried, res.busy), Again: res.attempts > 0, Refused: res.draining,
	}
	pick, err := h.config.Selector.PickFor(want)
	if err != nil && len(res.busy) > 0 {
		// All other endpoints were tried; the request waits at one that has no free slot.
		res.busyRefusals = maxBusyRefusals
		want.Tried = res.tried
		return h.config.Selector.PickFor(want)
	}
	return pick, err
}

func timeoutRefusal() *refusal {
	return refuse(http.StatusGatewayTimeout, "the deadline has passed")
}

func (h *Handler) noEndpoint(e *exchange, err error) *refusal {
	f := refuse(http.StatusServiceUnavailable, "service %s: %v", e.service.Name, err)
	f.retryAfter = time.Second
	return f
}

// attemptRefusal converts a failed attempt to the refusal returned to the caller. A status set by
// the receiving daemon is kept, since that daemon has the cause.
func attemptRefusal(a *attemptResult) *refusal {
	f := &refusal{check: checkAttempt, status: http.StatusBadGateway, verdict: a.verdict, reason: a.err.Error()}
	switch {
	case a.response != nil && call.IsRefusalStatus(a.response.Status):
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

// attempt sends e once to the picked endpoint.
func (h *Handler) attempt(ctx context.Context, e *exchange, res *result, pick *selection.Pick, left time.Duration) attemptResult {
	record := pick.Record()
	defer pick.Done(selection.Result{Verdict: verdict.MayHaveRun, Load: unknownLoad}) // after a panic
	req := e.request
	req.Attempt = h.nextAttempt()
	req.Timeout = left
	started := h.config.Now()
	req.MaxQueueTime = h.maxSlotWait(e, pick, res.busyRefusals)
	req.Repeat = res.offered > 0
	req.WithholdBody = record.LinkBytesPerSecond > 0 && len(req.Body) >= call.MinWithheldBytes
	if e.routed() {
		req.TimeToTarget = e.targetTime.Sub(started)
	}
	sendCtx, cancel := context.WithTimeout(ctx, left)
	a := classify(h.send(sendCtx, record, &req))
	cancel()
	if a.verdict == verdict.MayHaveRun && a.response == nil && !e.kind.Idempotent {
		a.verdict = h.fence(ctx, e, record, req.Attempt)
	}
	h.countTransmission(record, &req, &a)
	res.traces = append(res.traces, newAttemptTrace(string(record.Instance), started.Sub(e.arrived), h.config.Now().Sub(started), req.MaxQueueTime, &a))
	result := pickResult(e, &a, h.config.Now().Sub(started))
	if errors.Is(ctx.Err(), context.Canceled) || isCallerFault(e, &a, left) {
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

// classify determines the outcome of one transmission. A response with a reason comes from the
// receiving daemon: a refusal, or the report of a failure behind it.
func classify(resp *call.Response, err error) attemptResult {
	if err != nil {
		return attemptResult{verdict: verdict.Of(err), err: err}
	}
	if resp.Verdict == verdict.Ran && resp.Reason == "" && call.IsFinalStatus(resp.Status) {
		return attemptResult{response: resp, verdict: verdict.Ran}
	}
	return attemptResult{response: resp, verdict: resp.Verdict, err: errors.New(resp.Reason)}
}

// fence determines whether an attempt of unknown outcome can still run. It uses the remaining time
// even if the caller has disconnected, because the answer decides whether the request may be sent
// again.
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
		h.metrics.sentOwnInstance.Add(1)
	case to.Domain == h.config.Domain:
		h.metrics.sentOwnDomain.Add(1)
	default:
		h.metrics.sentOtherDomains.Add(1)
		h.metrics.bytesOtherDomains.Add(int64(len(r.Body)))
		if a.response != nil {
			h.metrics.bytesOtherDomains.Add(int64(len(a.response.Body)))
		}
	}
	if a.busy() {
		h.metrics.noFreeSlot.Add(1)
	}
}

func (h *Handler) nextAttempt() fence.AttemptID {
	return fence.AttemptID{Sender: h.config.Incarnation, Seq: h.sequence.Add(1)}
}
