// Package call implements the transport of calls between daemons. A call uses one connection
// exclusively: the calling goroutine writes a length-prefixed frame and reads the response itself;
// on the receiving side the goroutine of the connection runs the handler. Fences use separate
// net/rpc connections.
package call

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Limits of a call. Whole bodies are held in memory.
const (
	MaxRequestBodyBytes  = 64 << 20
	MaxResponseBodyBytes = 64 << 20
	// MaxHeaderBytes limits the encoded header of a frame, including the HTTP header. Every header that
	// the HTTP server for callers accepts fits, with its encoding and the other fields.
	MaxHeaderBytes = http.DefaultMaxHeaderBytes + 64<<10
)

// Errors of the transport; Do returns them wrapped in a *verdict.Error.
var (
	ErrRequestTooLarge  = errors.New("request exceeds the limit")
	ErrResponseTooLarge = errors.New("response exceeds the limit")
	ErrPeerConnections  = errors.New("all connections to the daemon are in use")
	ErrMismatch         = errors.New("response belongs to another attempt")
	ErrProtocol         = errors.New("call protocol violated")
	ErrClosed           = errors.New("call transport is closed")
)

// Request is one attempt of a caller's request, sent to the daemon of the selected backend server.
type Request struct {
	Attempt fence.AttemptID
	Service string
	Kind    string
	// Version is the configuration version used by the sender.
	Version uint64
	// Timeout is the remaining time for the call at the receiver, in whole microseconds; it must be
	// positive.
	Timeout time.Duration
	// Depth is the number of daemons that the call chain has passed so far.
	Depth int
	// Nested means that the sender has verified that the request comes from a backend server that is
	// processing a request of this chain. Otherwise Depth is an unverified value from the caller.
	Nested bool
	// Rank and TimeToTarget apply to requests of a route. Rank is the urgency, 1 being the most
	// urgent; 0 means a request of a declared kind. TimeToTarget is the time left until the target
	// response time, after which the response loses value.
	Rank         int
	TimeToTarget time.Duration
	// MaxQueueTime is the longest wait for a slot that the sender accepts; zero means no limit.
	MaxQueueTime time.Duration
	// Idempotent requests are cancelled when their sender disconnects.
	Idempotent bool
	// Account is the name of the client account of the caller, as authenticated by the daemon that
	// received the request from it; empty if there is none.
	Account string
	// ForServer means that the sender has got the request from the backend server beside it, or verified that it is
	// made for one, so that a running request waits for it. It is set only if there are client accounts.
	ForServer bool
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	// Repeat means that the request has reached a backend server before this attempt.
	Repeat bool
	// WithholdBody sends the body only after the receiver has granted it; see BodyAdmitter.
	WithholdBody bool

	// Memory counts the body and the bodies of the responses; nil means that they are not counted.
	Memory *bodymemory.Hold

	table *fence.Table
}

// ForAttempts returns a copy of r as the template of new attempts of this daemon, which the fence
// table of the connection does not know.
func (r *Request) ForAttempts() Request {
	template := *r
	template.table = nil
	return template
}

// Start marks the attempt as started. The handler calls it immediately before it sends the first
// byte to the backend server; false means that the attempt is fenced and must not run. A request
// that was not received from another daemon can always start.
func (r *Request) Start() bool { return r.table == nil || r.table.Start(r.Attempt) }

// Response is the response to one attempt.
type Response struct {
	Attempt  fence.AttemptID
	Verdict  verdict.Verdict
	Draining bool
	// Reason explains a response that does not come from the backend server.
	Reason string
	// RetryAfter is the time after which a refused request may be retried; zero if unknown.
	RetryAfter time.Duration
	// Load is 0 when idle, 1 when all slots are busy and above 1 when requests are queued.
	Load float64
	// Work is the time for which the request occupied a slot of the backend server; zero if none.
	Work time.Duration
	// Offered means that the request was sent to the backend server.
	Offered bool
	Status  int
	Header  http.Header
	Body    []byte
}

// Handler processes the requests that arrive from other daemons.
type Handler interface {
	// ServeCall returns the response to r. ctx ends with the timeout of the request, or earlier if the
	// attempt is fenced before Start. A nil response is reported to the sender as may have run.
	ServeCall(ctx context.Context, r *Request) *Response
}

// BodyAdmitter is implemented by handlers that decide when a withheld body may be sent.
type BodyAdmitter interface {
	// AdmitBody waits until the body of r, which has the given size, may be sent, and returns the rate
	// in bytes per second. A response in place of the rate refuses r, which has then not run. ctx ends
	// with the timeout of r.
	AdmitBody(ctx context.Context, r *Request, bytes int) (bytesPerSecond int, refused *Response)
}

// ErrorResponse returns the response that reports err with its verdict: 413 for a request that is
// too large, 504 for an exceeded deadline, 503 for any other error with verdict not run, 502 for
// the rest.
func ErrorResponse(id fence.AttemptID, err error) *Response {
	resp := &Response{Attempt: id, Verdict: verdict.Of(err), Reason: err.Error(), Status: http.StatusBadGateway}
	switch {
	case errors.Is(err, ErrRequestTooLarge):
		resp.Status = http.StatusRequestEntityTooLarge
	case errors.Is(err, context.DeadlineExceeded):
		resp.Status = http.StatusGatewayTimeout
	case resp.Verdict == verdict.NotRun:
		resp.Status = http.StatusServiceUnavailable
	}
	return resp
}
