package caller

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// attemptTrace is the log record of one attempt: the endpoint, the timing and the outcome.
type attemptTrace struct {
	instance string
	// after is the time from the arrival of the request to the attempt, took its duration.
	after, took time.Duration
	// maxWait is the longest slot wait that the receiving daemon was allowed to accept.
	maxWait time.Duration
	verdict verdict.Verdict
	offered bool
	status  int
	load    float64
	reason  string
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (t *attemptTrace) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("instance", t.instance)
	enc.AddInt64("after_ms", t.after.Milliseconds())
	enc.AddInt64("took_ms", t.took.Milliseconds())
	if t.maxWait > 0 {
		enc.AddInt64("patience_ms", t.maxWait.Milliseconds())
	}
	enc.AddString("verdict", t.verdict.String())
	enc.AddBool("reached_server", t.offered)
	enc.AddInt("status", t.status)
	enc.AddFloat64("load", t.load)
	if t.reason != "" {
		enc.AddString("reason", t.reason)
	}
	return nil
}

type attemptTraces []attemptTrace

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (t attemptTraces) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range t {
		if err := enc.AppendObject(&t[i]); err != nil {
			return err
		}
	}
	return nil
}

// newAttemptTrace returns the trace of an attempt that has ended.
func newAttemptTrace(instance string, after, took, maxWait time.Duration, a *attemptResult) attemptTrace {
	t := attemptTrace{instance: instance, after: after, took: took, maxWait: maxWait, verdict: a.verdict, offered: a.reachedServer()}
	if a.response != nil {
		t.status, t.load = a.response.Status, a.response.Load
	}
	if a.err != nil {
		t.reason = a.err.Error()
	}
	return t
}

// logEnd logs the outcome of a request with its attempts.
func (h *Handler) logEnd(e *exchange, res *result) {
	status, reason := 0, ""
	if res.response != nil {
		status = res.response.Status
	} else {
		status, reason = res.refusal.status, res.refusal.reason
	}
	now := h.config.Now()
	rejected := res.response == nil && res.refusal.isRejection()
	endedWell := !rejected && status < http.StatusInternalServerError && (e.targetTime.IsZero() || !now.After(e.targetTime))
	h.config.Log.LogRequest(event.RequestEnded, endedWell, func() []zap.Field {
		return []zap.Field{
			zap.String("request", e.id), zap.String("route", e.kind.Name), zap.String("service", e.service.Name),
			zap.Uint64("version", uint64(e.snap.Version)), zap.Int("rank", e.rank), optional("account", e.accountName()),
			zap.Int64("allowed_ms", e.deadline.Sub(e.arrived).Milliseconds()), zap.Int64("took_ms", now.Sub(e.arrived).Milliseconds()),
			zap.Int("status", status), zap.Stringer("verdict", res.verdict()), optional("check", res.check()), zap.String("reason", reason),
			zap.Array("attempts", attemptTraces(res.traces)),
		}
	})
}

// optional returns a field that is left out if value is empty.
func optional(key, value string) zap.Field {
	if value == "" {
		return zap.Skip()
	}
	return zap.String(key, value)
}

// maxLoggedPathBytes limits the path of a request in a log line.
const maxLoggedPathBytes = 200

// logUnrouted logs a request that was answered before it had a route, or before its first attempt.
func (h *Handler) logUnrouted(r *http.Request, e *exchange, f *refusal) {
	if f.isRejection() {
		h.logRejected(r, e, f)
		return
	}
	h.config.Log.LogRequest(event.RequestUnrouted, false, func() []zap.Field { return h.rejectionFields(r, e.snap, f) })
}

// logRejected logs a request that a check of this daemon rejected, with the inputs of the checks.
func (h *Handler) logRejected(r *http.Request, e *exchange, f *refusal) {
	kind := event.RequestRejected
	switch f.check {
	case checkRoute:
		kind = event.RequestUnrouted
	case checkAuthentication:
		kind = event.KeyRefused
	}
	h.config.Log.LogRejection(kind, func() []zap.Field { return h.rejectionFields(r, e.snap, f) })
}

func (h *Handler) rejectionFields(r *http.Request, snap *snapshot.Snapshot, f *refusal) []zap.Field {
	version, routed := uint64(0), snap.HasRoutes()
	if snap != nil {
		version = uint64(snap.Version)
	}
	path := pathOf(requestTarget(r))
	marks := h.config.Dialect
	return []zap.Field{
		zap.String("request", r.Header.Get(marks.RequestID)), zap.String("check", f.check), zap.Int("status", f.status),
		zap.Uint64("version", version), zap.Bool("routes", routed),
		zap.String("method", r.Method), zap.String("host", r.Host), zap.String("path", path[:min(len(path), maxLoggedPathBytes)]),
		zap.Int("header_bytes", headerBytes(r)), zap.Int64("body_bytes", r.ContentLength),
		zap.String("reason", f.reason),
	}
}
