// Package call is the call transport between daemons. A call occupies one connection exclusively:
// the goroutine of the caller writes a length-prefixed frame and reads the reply itself, and on the
// receiving side the goroutine of the connection runs the handler. Fences use separate net/rpc
// connections.
package call

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Limits of a call. Bodies are held in memory as a whole.
const (
	MaxRequestBodyBytes  = 64 << 20
	MaxResponseBodyBytes = 64 << 20
	// MaxHeaderBytes limits the encoded header of a frame, including the HTTP header.
	MaxHeaderBytes = 64 << 10
)

// Errors of the transport; Do returns them inside a *verdict.Error.
var (
	ErrRequestTooLarge  = errors.New("request exceeds the limit")
	ErrResponseTooLarge = errors.New("response exceeds the limit")
	ErrPeerConnections  = errors.New("all connections to the daemon are in use")
	ErrMismatch         = errors.New("response belongs to another attempt")
	ErrProtocol         = errors.New("call protocol violated")
	ErrClosed           = errors.New("call transport is closed")
)

// Request is one transmission of a caller's request to the daemon of the chosen backend server.
type Request struct {
	Attempt fence.AttemptID
	Service string
	Kind    string
	// Version is the configuration version that the sender used.
	Version uint64
	// Timeout is the time left for the call at the receiver, in whole microseconds; it must be
	// positive.
	Timeout time.Duration
	// Depth is the number of daemons that the chain of calls has entered so far.
	Depth int
	// Nested says that the sender has seen the request come from a backend server that works on a request
	// of this chain. Without it the depth is only what the caller claims.
	Nested bool
	// Rank and Aim describe a request of a route: its urgency, 1 is the most urgent, and the time
	// left until the answer loses worth. Rank 0 stands for a declared kind.
	Rank         int
	TimeToTarget time.Duration
	// MaxQueueTime is the longest wait for a slot that the sender accepts; zero means any.
	MaxQueueTime time.Duration
	// Idempotent requests are cancelled when their sender has gone.
	Idempotent bool
	Method     string
	Target     string
	Host       string
	Header     http.Header
	Body       []byte

	table *fence.Table
}

// Start marks the attempt as started. The handler calls it immediately before the first byte goes
// to the backend server; false means that the attempt is fenced and must not run. A request that
// did not come from another daemon may always start.
func (r *Request) Start() bool { return r.table == nil || r.table.Start(r.Attempt) }

// Response is the reply to one attempt.
type Response struct {
	Attempt  fence.AttemptID
	Verdict  verdict.Verdict
	Draining bool
	// Reason explains a response that was not made by the backend server.
	Reason string
	// RetryAfter is the time after which a refused request has a chance; zero if not known.
	RetryAfter time.Duration
	// Load is 0 when idle, 1 when all slots are busy and above 1 when requests are queued.
	Load float64
	// Work is the time in a slot of the backend server; zero if it was not used.
	Work time.Duration
	// Offered tells that the request was sent to the backend server.
	Offered bool
	Status  int
	Header  http.Header
	Body    []byte
}

// Handler runs the requests that arrive from other daemons.
type Handler interface {
	// ServeCall returns the response to r. ctx ends with the timeout of the request, and earlier if a
	// fence arrives before Start. A nil response is reported to the sender as may have run.
	ServeCall(ctx context.Context, r *Request) *Response
}

// ErrorResponse returns the response that reports err with its verdict: 413 for a request that is
// too large, 504 for an exceeded deadline, 503 for any other error with verdict not run, 502 for the
// rest.
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
