package backend

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// Errors of an exchange; Do returns them wrapped in a *verdict.Error.
var (
	ErrFenced           = errors.New("attempt is fenced")
	ErrInvalidRequest   = errors.New("request cannot be written as HTTP/1.1")
	ErrTruncated        = errors.New("response of the backend server is truncated")
	ErrResponseTooLarge = errors.New("response of the backend server exceeds the limit")
	ErrHeadTooLarge     = errors.New("backend server sent no end of a response header")
	ErrResponseMemory   = errors.New("too much memory is used by responses that are being received")
	ErrBadResponse      = errors.New("backend server sent no valid HTTP response")
	ErrForeignResponse  = errors.New("backend server answered another request")
	ErrUnprovenRefusal  = errors.New("refusal of the backend server may belong to an earlier request")
	ErrNoStamp          = errors.New("answer of the backend server has no stamp")
)

const (
	// maxHeadBytes limits the bytes read for one exchange up to the header of its response, including
	// informational responses and responses to other requests.
	maxHeadBytes = 256 << 10
	// maxInformational is the number of informational responses (1xx) that readHead skips. A server sends one or
	// two; without a limit a slow series of them would hold the request until its deadline.
	maxInformational = 16
	// maxFramingBytes is the allowance for the chunk framing of a body.
	maxFramingBytes = 1 << 20
	// preallocatedBytes is the largest body for which memory is allocated on its declared length alone;
	// memory for a longer one is allocated as it arrives.
	preallocatedBytes = 1 << 20
)

// Do sends r to the backend server and reads the whole response in the calling goroutine. When ctx
// ends, the connection is closed, which cancels the request on the backend server. started is
// called immediately before the first byte is sent; if it returns false, nothing is sent. Neither is r if
// the backend server has left, or another one has taken its place, while Do waited for a connection. The
// verdict of a response is not run if the backend server rejected the request, otherwise ran. An
// error is a *verdict.Error: not run if nothing was sent, may have run until the status line has
// been received, ran afterwards.
func (b *Backend) Do(ctx context.Context, r *call.Request, started func() bool) (*call.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	if len(r.Body) > call.MaxRequestBodyBytes {
		return nil, verdict.Wrap(verdict.NotRun, call.ErrRequestTooLarge)
	}
	if err := checkRequest(r); err != nil {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	c, err := b.conn(ctx, r)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, call.ContextError(ctx, err))
	}
	if err := b.checkSend(c, r); err != nil {
		b.release(c)
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	if !started() {
		b.release(c)
		return nil, verdict.Wrap(verdict.NotRun, ErrFenced)
	}
	resp, reusable, err := c.exchange(ctx, r, b.cfg.Dialect)
	if reusable {
		b.release(c)
	} else {
		b.discard(c)
	}
	if err != nil {
		if errors.Is(err, ErrBadResponse) {
			b.logBadResponse(r, err)
		}
		return nil, err
	}
	if resp.Status == http.StatusMisdirectedRequest && resp.Verdict == verdict.NotRun {
		b.markRefused(c.reservation.addr) // another server now listens on the address
	}
	resp.Draining = b.State() == endpoint.Draining
	return resp, nil
}

// exchange sends r and reads the response. reusable is false if the connection must be closed.
func (c *conn) exchange(ctx context.Context, r *call.Request, d *dialect.Dialect) (resp *call.Response, reusable bool, err error) {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, c.abort)
		defer func() {
			if !stop() {
				reusable = false // abort may still change the deadline
			}
		}()
	}
	c.out = appendRequest(c.out[:0], r, d, c.reservation.serverID, timeLeft(ctx, r))
	c.readLimit.N = maxHeadBytes
	first := !c.used
	c.used = true
	c.body.request = r.Memory
	defer c.body.release()
	if n, err := c.write(r.Body); err != nil {
		v := verdict.MayHaveRun
		if n == 0 {
			v = verdict.NotRun
		}
		return nil, false, verdict.Wrap(v, errors.Wrap(call.ContextError(ctx, err), "send to backend server"))
	}
	return c.readResponse(ctx, r, d, first)
}

// maxForeignResponses is the number of responses to other requests that readResponse skips before
// it gives up.
const maxForeignResponses = 4

// readResponse reads the response to r. It skips responses to other requests, because a faulty
// server may send a response twice; the connection is then not used again. first means that no
// earlier request was sent on the connection.
func (c *conn) readResponse(ctx context.Context, r *call.Request, d *dialect.Dialect, first bool) (*call.Response, bool, error) {
	for skipped := range maxForeignResponses {
		head, err := c.readHead(r.Method)
		if err != nil {
			if c.readLimit.N <= 0 {
				err = ErrHeadTooLarge
			}
			return nil, false, verdict.Wrap(verdict.MayHaveRun, errors.Wrap(call.ContextError(ctx, err), "receive from backend server"))
		}
		headLeft := c.readLimit.N
		c.readLimit.N = call.MaxResponseBodyBytes + maxFramingBytes
		body, err := readBody(head, d, &c.body)
		c.readLimit.N = headLeft
		if !isResponseTo(head, r, d) {
			if err != nil || head.Close {
				break
			}
			continue
		}
		if err != nil {
			return nil, false, verdict.Wrap(verdict.Ran, call.ContextError(ctx, err))
		}
		proven := first || d.EchoesRequestID() || isAttempt(head, r, d)
		resp, err := newResponse(r, d, head, body)
		if err != nil {
			return nil, false, err
		}
		reusable := skipped == 0 && !head.Close
		if resp.Verdict == verdict.NotRun {
			if !proven {
				return nil, false, verdict.Wrap(verdict.MayHaveRun, ErrUnprovenRefusal)
			}
			reusable = c.recordRefusal(r, d) && reusable
		}
		return resp, reusable, nil
	}
	return nil, false, verdict.Wrap(verdict.MayHaveRun, ErrForeignResponse)
}

// isResponseTo reports whether the response carries the request ID of r. In a dialect in which
// backend servers need not return an ID, it only checks that of the attempt, if there is one.
func isResponseTo(head *http.Response, r *call.Request, d *dialect.Dialect) bool {
	if d.EchoesRequestID() {
		return head.Header.Get(d.RequestID) == r.Header.Get(d.RequestID)
	}
	return d.Attempt == "" || head.Header.Get(d.Attempt) == "" || isAttempt(head, r, d)
}

// isAttempt reports whether the response carries the ID of the attempt of r.
func isAttempt(head *http.Response, r *call.Request, d *dialect.Dialect) bool {
	return d.Attempt != "" && head.Header.Get(d.Attempt) == r.Attempt.String()
}

// logBadResponse records a response without a valid status. A server in trouble may send one to every
// request, so the log lines are limited.
func (b *Backend) logBadResponse(r *call.Request, err error) {
	responses := b.badResponses.Add(1)
	b.badResponseLog.Do(func() {
		b.log.Log(event.BadResponse, zap.String("service", r.Service), zap.Error(err), zap.Uint64("responses", responses))
	})
}

// readHead reads the status line and header of the final response; it skips informational
// responses (1xx). http.ReadResponse accepts any status of three characters: one below 100 must not be
// skipped, since its body would be read as the next response, and one from 600 on has no meaning.
func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInformational + 1 {
		head, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if call.IsFinalStatus(head.StatusCode) {
			return head, nil
		}
		if head.StatusCode < http.StatusContinue || head.StatusCode >= http.StatusOK || head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrapf(ErrBadResponse, "status %03d", head.StatusCode)
		}
	}
	return nil, ErrHeadTooLarge
}

// readBody reads the whole body, up to call.MaxResponseBodyBytes.
func readBody(head *http.Response, d *dialect.Dialect, memory *bodyMemory) ([]byte, error) {
	defer func() { _ = head.Body.Close() }()
	if head.ContentLength > call.MaxResponseBodyBytes && head.Request.Method != http.MethodHead {
		return nil, ErrResponseTooLarge
	}
	memory.source = head.Body
	if head.ContentLength >= 0 {
		return readSized(head, memory)
	}
	if !slices.Contains(head.TransferEncoding, "chunked") && !d.UnsizedAnswers {
		// The body would end with the connection, so that a truncated body could not be detected.
		return nil, errors.Wrap(ErrTruncated, "length is not declared")
	}
	body, err := io.ReadAll(io.LimitReader(memory, call.MaxResponseBodyBytes+1))
	if err != nil {
		return nil, truncationError(err)
	}
	if len(body) > call.MaxResponseBodyBytes {
		return nil, ErrResponseTooLarge
	}
	return body, nil
}

// readSized reads a body of known length into a slice of exactly that length.
func readSized(head *http.Response, memory *bodyMemory) ([]byte, error) {
	if head.Body == http.NoBody || head.ContentLength == 0 {
		return nil, nil
	}
	if head.ContentLength > preallocatedBytes {
		body, err := io.ReadAll(memory)
		if err != nil {
			return nil, truncationError(err)
		}
		return body, nil
	}
	body := make([]byte, head.ContentLength)
	if _, err := io.ReadFull(memory, body); err != nil {
		return nil, truncationError(err)
	}
	return body, nil
}

func truncationError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, ErrResponseMemory) {
		return err
	}
	return errors.Wrap(ErrTruncated, err.Error())
}

// newResponse converts a complete HTTP response. In a dialect with stamps, a response without a
// stamp is an error with verdict may have run, unless it reports that the request was not run.
func newResponse(r *call.Request, d *dialect.Dialect, head *http.Response, body []byte) (*call.Response, error) {
	resp := &call.Response{Attempt: r.Attempt, Verdict: verdict.Ran, Status: head.StatusCode, Body: body}
	stamped := d.Stamp != "" && head.Header.Get(d.Stamp) != ""
	switch {
	case d.NotRun != "" && (head.Header.Get(d.NotRun) != "" || head.StatusCode == http.StatusMisdirectedRequest && !stamped):
		resp.Verdict, resp.Status = verdict.NotRun, refusalStatus(r, d, head.StatusCode)
		resp.Reason = "not run by the backend server, status " + strconv.Itoa(head.StatusCode)
	case d.Stamp != "" && !stamped:
		return nil, verdict.Wrap(verdict.MayHaveRun, ErrNoStamp)
	case d.NotRun == "" && head.StatusCode == http.StatusServiceUnavailable && head.Header.Get(verdict.Header) == verdict.NotRun.String():
		resp.Verdict, resp.Reason = verdict.NotRun, "shed by the backend server"
		if seconds, err := strconv.Atoi(head.Header.Get("Retry-After")); err == nil && seconds > 0 {
			resp.RetryAfter = time.Duration(seconds) * time.Second
		}
	}
	call.RemoveHopHeaders(head.Header)
	head.Header.Del(verdict.Header)
	resp.Header = head.Header
	return resp, nil
}

// refusalStatus returns the status for the sender of a request that the backend server rejected with
// the given one. A server rejects a request as wrong only because it has no ID; any other status that
// does not itself mean not run would tell the caller not to send a valid request again.
func refusalStatus(r *call.Request, d *dialect.Dialect, status int) int {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return status
	case http.StatusBadRequest:
		if r.Header.Get(d.RequestID) == "" {
			return status
		}
	}
	return http.StatusServiceUnavailable
}

// timeLeft returns the remaining time for the exchange: that of ctx, or the timeout of r.
func timeLeft(ctx context.Context, r *call.Request) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return r.Timeout
}
