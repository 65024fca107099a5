package agent

import (
	"context"
	"math"
	"time"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/retry"
	"kingcupwood.example/kingcupwood/pkg/transfer"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// bodyTargetShare is the share of the time until the latency target, or until the deadline if there
// is no target, within which a large body must have arrived. The rest is for the backend server.
const bodyTargetShare = 0.75

// stateCheckInterval is the interval at which a request that waits for the link is checked against the
// state of the backend server.
const stateCheckInterval = 50 * time.Millisecond

func newBodySchedule(linkBytesPerSecond int64) *transfer.Scheduler {
	if linkBytesPerSecond <= 0 {
		return nil
	}
	return transfer.New(float64(linkBytesPerSecond))
}

// AdmitBody implements call.BodyAdmitter. It refuses a request that would be refused after its body
// has arrived, and grants the others the link in turn.
func (r *receiver) AdmitBody(ctx context.Context, req *call.Request, bytes int) (int, *call.Response) {
	now := time.Now()
	deadline := now.Add(retry.HopTimeout(req.Timeout))
	if refused := r.refuseByState(req, deadline); refused != nil {
		return 0, refused
	}
	if refusal := r.admission.Preview(admissionRequest(req, now, deadline)); refusal != nil {
		r.logRefusal(req, refusal, deadline.Sub(now))
		return 0, r.finish(req, refusalResponse(req, refusal))
	}
	if r.bodies == nil {
		return math.MaxUint32, nil
	}
	grant, err := r.bodies.Reserve(transfer.Request{Bytes: bytes, FinishBy: arrivalLimit(req, now), MaxWait: req.MaxQueueTime}, now)
	if err != nil {
		r.logRefusal(req, err, deadline.Sub(now))
		return 0, r.finish(req, refusalResponse(req, err))
	}
	if refused := r.awaitLink(ctx, req, deadline, grant.Wait); refused != nil {
		r.bodies.Cancel(grant)
		return 0, refused
	}
	return grant.BytesPerSecond, nil
}

// awaitLink waits until the link is free for the body of req, which has the given deadline. It refuses req
// if ctx ends or, meanwhile, the backend server takes no new requests or this daemon stops too early.
func (r *receiver) awaitLink(ctx context.Context, req *call.Request, deadline time.Time, wait time.Duration) *call.Response {
	for {
		if refused := r.refuseByState(req, deadline); refused != nil {
			return refused
		}
		if wait <= 0 {
			return nil
		}
		step := min(wait, stateCheckInterval)
		if !waitFor(ctx, step) {
			return r.finish(req, call.ErrorResponse(req.Attempt, verdict.Wrap(verdict.NotRun, ctx.Err())))
		}
		wait -= step
	}
}

// arrivalLimit returns the time by which the body of req must have arrived.
func arrivalLimit(req *call.Request, now time.Time) time.Time {
	left := req.Timeout
	if req.Rank > 0 && req.TimeToTarget > 0 {
		left = min(left, req.TimeToTarget)
	}
	return now.Add(time.Duration(bodyTargetShare * float64(left)))
}

// waitFor waits for d and reports whether ctx did not end before.
func waitFor(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
