package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"kingcupwood.example/kingcupwood/agent/backend"
	"kingcupwood.example/kingcupwood/agent/caller"
	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/agent/rollouts"
	"kingcupwood.example/kingcupwood/pkg/admission"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/transfer"
	"kingcupwood.example/kingcupwood/pkg/verdict"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
)

var errFenced = errors.New("the sender has given the request up")

// receiver is the receiving side of a daemon. It applies admission control to requests for the
// backend server on its instance and forwards them.
type receiver struct {
	admission *admission.Controller
	backend   *backend.Backend
	// owned processes requests whose idempotency key this daemon owns.
	owned    func(ctx context.Context, r *call.Request) *call.Response
	draining atomic.Bool
	// stopBy is when the daemon ends the requests that are still running; nil unless it is stopping.
	stopBy atomic.Pointer[time.Time]
	log    *event.Logger
	// requestID is the name of the header with the request ID of the caller.
	requestID string
	// service is the last announced service; only backendChanged uses it.
	service string
	running runningAttempts
	// bodies schedules the large bodies of other daemons; nil if the rate of the link is unknown.
	bodies *transfer.Scheduler
	// versions decides whether the version of the server may get requests; nil without roll-outs.
	versions *rollouts.Tracker
}

// backendChanged applies a change of the backend server to the requests that wait for a slot. It must not
// be called concurrently. If the server takes no new requests or serves another service now, they are
// refused at once: their senders may still reach another server.
func (r *receiver) backendChanged(status backend.Status) {
	open := status.State == endpoint.Starting || status.State == endpoint.Ready
	refused := r.admission.SetOpen(open && status.Service == r.service)
	refused += r.admission.SetOpen(open)
	r.service = status.Service
	if refused > 0 {
		r.log.Log(event.WaitingRefused, zap.String("service", status.Service), zap.String("id", status.ID),
			zap.Stringer("state", status.State), zap.Int("requests", refused))
	}
}

// ServeCall implements call.Handler.
func (r *receiver) ServeCall(ctx context.Context, req *call.Request) *call.Response {
	if caller.IsOwned(req) {
		return r.serveOwned(ctx, req)
	}
	// Reserve time to report a failure of the backend server before the call of the sender times out.
	now := time.Now()
	deadline := now.Add(retry.HopTimeout(req.Timeout))
	r.versions.Enter()
	defer r.versions.Leave()
	if refused := r.refuseByState(req, deadline); refused != nil {
		return refused
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ticket, err := r.admission.AcquireFor(ctx, admissionRequest(req, now, deadline))
	if err != nil {
		r.logRefusal(req, err, deadline.Sub(now))
		return r.finish(req, refusalResponse(req, err))
	}
	return r.finish(req, r.forward(ctx, req, ticket))
}

// stopAt records that this daemon is stopping and ends its requests at the given time. Requests that wait
// for a slot and may last longer are refused at once.
func (r *receiver) stopAt(end time.Time) {
	r.stopBy.Store(&end)
	r.admission.RefuseAfter(end)
}

// outlasts reports whether a request with the given deadline may still be running when this daemon, which
// is stopping, ends it.
func (r *receiver) outlasts(deadline time.Time) bool {
	stopBy := r.stopBy.Load()
	return stopBy != nil && deadline.After(*stopBy)
}

// refuseByState refuses req if the backend server does not serve its service or is draining, or if this
// daemon may stop before the deadline.
func (r *receiver) refuseByState(req *call.Request, deadline time.Time) *call.Response {
	status := r.backend.Status()
	if status.State == endpoint.Gone || status.Service != req.Service {
		return r.finish(req, call.ErrorResponse(req.Attempt, verdict.Wrap(verdict.NotRun, backend.ErrOtherService)))
	}
	if r.versions.Refuses() {
		r.versions.Refused()
		return r.finish(req, refusalResponse(req, &admission.Refusal{Reason: admission.ReasonDraining}))
	}
	if status.State == endpoint.Draining || r.draining.Load() || r.outlasts(deadline) {
		return r.finish(req, refusalResponse(req, &admission.Refusal{Reason: admission.ReasonDraining}))
	}
	return nil
}

// logRefusal logs why admission control refused req. A refusal because all slots are busy is normal
// for a sender that looks for a free slot; it appears in the log of the sender.
func (r *receiver) logRefusal(req *call.Request, err error, left time.Duration) {
	var refusal *admission.Refusal
	endedWell := errors.As(err, &refusal) && refusal.Reason == admission.ReasonBusy
	r.log.LogRequest(event.RequestRefused, endedWell, func() []zap.Field {
		return []zap.Field{
			zap.String("request", req.Header.Get(r.requestID)), zap.String("route", req.Kind), zap.Int("rank", req.Rank),
			zap.String("service", req.Service), zap.Uint64("version", req.Version), zap.Int64("left_ms", left.Milliseconds()),
			zap.Int64("patience_ms", req.MaxQueueTime.Milliseconds()),
			zap.Float64("load", r.admission.Load()), zap.Int("slots", r.admission.Slots()),
			zap.String("account", req.Account), zap.Bool("for_server", req.ForServer), zap.Error(err),
		}
	})
}

// admissionRequest converts req to a request to admission control.
func admissionRequest(req *call.Request, now, deadline time.Time) admission.Request {
	a := admission.Request{
		Kind: admissionKind(req), Deadline: deadline, Rank: req.Rank, MaxWait: req.MaxQueueTime, Idempotent: req.Idempotent,
		Account: req.Account, ForServer: req.ForServer,
	}
	if req.Rank > 0 {
		a.TargetTime = now.Add(req.TimeToTarget)
	}
	return a
}

// admissionKind returns the kind of req for admission control, which distinguishes requests of
// callers from the calls that backend servers make on their behalf.
func admissionKind(req *call.Request) string {
	if req.Nested && req.Rank == 0 {
		return admission.ServiceCallKind(req.Kind)
	}
	return req.Kind
}

// forward sends an admitted request to the backend server.
func (r *receiver) forward(ctx context.Context, req *call.Request, ticket *admission.Ticket) *call.Response {
	started := time.Now()
	defer r.running.remove(req.Attempt)
	defer ticket.Done(admission.Outcome{}) // after a panic
	deadline, _ := ctx.Deadline()
	refused := false
	resp, err := r.backend.Do(ctx, req, func() bool {
		if r.outlasts(deadline) {
			return false // this daemon has begun to stop since the request was admitted
		}
		if refused = r.versions.Refuses(); refused {
			return false
		}
		r.running.add(req.Attempt, req.Repeat)
		return req.Start()
	})
	r.count(ctx, req, resp, err, time.Since(started))
	outcome := admission.Outcome{}
	switch {
	case refused, errors.Is(err, backend.ErrLeaving): // since the request got its slot
		resp = refusalResponse(req, &admission.Refusal{Reason: admission.ReasonDraining})
	case err != nil:
		resp = call.ErrorResponse(req.Attempt, err)
	case resp.Verdict == verdict.NotRun:
		outcome.Shed = true
	case resp.Status < http.StatusInternalServerError:
		// Failures are not measured: they are often faster or slower than successful requests.
		outcome.ServiceTime = time.Since(started)
		resp.Work = outcome.ServiceTime
	}
	resp.Offered = err == nil || verdict.Of(err) != verdict.NotRun
	ticket.Done(outcome)
	return resp
}

// count counts a response of the backend server for the judgement of its version. A request that has not
// run, or that its sender has given up, says nothing about it.
func (r *receiver) count(ctx context.Context, req *call.Request, resp *call.Response, err error, work time.Duration) {
	if r.versions == nil {
		return
	}
	cold := r.backend.Cold()
	switch {
	case err != nil:
		if verdict.Of(err) != verdict.NotRun && !errors.Is(ctx.Err(), context.Canceled) {
			r.versions.Count(req.Kind, true, 0, cold)
		}
	case resp.Verdict == verdict.NotRun:
	case resp.Status >= http.StatusInternalServerError:
		r.versions.Count(req.Kind, true, 0, cold)
	default:
		r.versions.Count(req.Kind, false, work, cold)
	}
}

func (r *receiver) serveOwned(ctx context.Context, req *call.Request) *call.Response {
	if !req.Start() {
		return call.ErrorResponse(req.Attempt, verdict.Wrap(verdict.NotRun, errFenced))
	}
	return r.owned(ctx, req)
}

// finish sets the fields that are common to all responses of this daemon.
func (r *receiver) finish(req *call.Request, resp *call.Response) *call.Response {
	resp.Attempt = req.Attempt
	resp.Load = r.admission.Load()
	resp.Draining = resp.Draining || r.draining.Load()
	return resp
}

func refusalResponse(req *call.Request, err error) *call.Response {
	resp := call.ErrorResponse(req.Attempt, err)
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		resp.RetryAfter = refusal.RetryAfter
		resp.Draining = refusal.Reason == admission.ReasonDraining
	}
	var busyLink *transfer.Refusal
	if errors.As(err, &busyLink) {
		resp.RetryAfter = busyLink.Wait
	}
	return resp
}
