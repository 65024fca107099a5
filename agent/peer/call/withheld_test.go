package call

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const testBodyBytes = 200_000

// bodyHandler is a handler that decides on withheld bodies.
type bodyHandler struct {
	handlerFunc
	admit func(ctx context.Context, r *Request, bytes int) (int, *Response)
}

func (h bodyHandler) AdmitBody(ctx context.Context, r *Request, bytes int) (int, *Response) {
	return h.admit(ctx, r, bytes)
}

// startBodyDaemon starts a daemon that decides on withheld bodies with admit, and counts the requests
// that it has processed.
func startBodyDaemon(t *testing.T, admit func(ctx context.Context, r *Request, bytes int) (int, *Response)) (addr string, processed *atomic.Int32) {
	t.Helper()
	processed = new(atomic.Int32)
	h := bodyHandler{admit: admit, handlerFunc: func(ctx context.Context, r *Request) *Response {
		processed.Add(1)
		return echo(ctx, r)
	}}
	server := NewServer(h, 77, event.Nop())
	l := listen(t)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return l.Addr().String(), processed
}

func withheldRequest(seq uint64) *Request {
	r := request(seq)
	r.Body = bytes.Repeat([]byte("0123456789"), testBodyBytes/10)
	r.WithholdBody = true
	return r
}

// Guards against a granted body that is changed or incomplete, against a connection that cannot be
// used again after it, and against more time for the receiver than is left after the wait.
func TestGrantedBodyArrivesWhole(t *testing.T) {
	is := is.New(t)
	const wait = 50 * time.Millisecond
	timeouts := make(chan time.Duration, 3)
	var sawRepeat atomic.Bool
	addr, processed := startBodyDaemon(t, func(_ context.Context, r *Request, bytes int) (int, *Response) {
		is.Equal(bytes, testBodyBytes)
		is.Equal(len(r.Body), 0)
		time.Sleep(wait)
		timeouts <- r.Timeout
		sawRepeat.Store(r.Repeat)
		return 20e6, nil
	})
	c := newTestClient(t)
	for seq := uint64(1); seq <= 2; seq++ {
		r := withheldRequest(seq)
		resp, err := c.Do(testCtx(t, testTimeout), addr, r)
		is.NoErr(err)
		is.True(string(resp.Body) == r.Target+" "+string(r.Body))
		is.Equal(<-timeouts, testTimeout)
	}
	is.Equal(processed.Load(), int32(2)) // each once
	is.Equal(c.peers[addr].open, 1)
	is.True(!sawRepeat.Load())
	repeat := withheldRequest(4)
	repeat.Repeat = true
	_, err := c.Do(testCtx(t, testTimeout), addr, repeat)
	is.NoErr(err)
	is.True(sawRepeat.Swap(false))
	small, err := c.Do(testCtx(t, testTimeout), addr, request(3))
	is.NoErr(err)
	is.Equal(string(small.Body), "/pages/a body")
}

// Guards against a request that is processed although its body was refused, against a refusal that
// is not reported as not run, and against a body that is sent after it and read as a request.
func TestRefusedBodyIsNotSent(t *testing.T) {
	is := is.New(t)
	var bodies atomic.Int32
	addr, processed := startBodyDaemon(t, func(_ context.Context, r *Request, _ int) (int, *Response) {
		if r.Attempt.Seq == 1 {
			return 0, &Response{Verdict: verdict.NotRun, Status: 503, Reason: "the link is busy", RetryAfter: time.Second}
		}
		bodies.Add(1)
		return 1e9, nil
	})
	c := newTestClient(t)
	resp, err := c.Do(testCtx(t, testTimeout), addr, withheldRequest(1))
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(resp.RetryAfter, time.Second)
	is.Equal(processed.Load(), int32(0))
	resp, err = c.Do(testCtx(t, testTimeout), addr, withheldRequest(2))
	is.NoErr(err)
	is.True(len(resp.Body) > testBodyBytes)
	is.Equal(processed.Load(), int32(1))
	is.Equal(bodies.Load(), int32(1))
}

// Guards against a receiver that keeps a place on its link for a sender that has given up, and
// against a verdict other than not run for a body that was never sent.
func TestSenderGivesUpBeforeGrant(t *testing.T) {
	is := is.New(t)
	waiting, ended := make(chan struct{}), make(chan error, 1)
	addr, processed := startBodyDaemon(t, func(ctx context.Context, _ *Request, _ int) (int, *Response) {
		close(waiting)
		<-ctx.Done()
		ended <- ctx.Err()
		return 0, &Response{Verdict: verdict.NotRun, Status: 503, Reason: "cancelled"}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-waiting
		cancel()
	}()
	_, err := newTestClient(t).Do(ctx, addr, withheldRequest(1))
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.True(errors.Is(<-ended, context.Canceled))
	is.Equal(processed.Load(), int32(0))
}

// Guards against a request that runs with a part of its body: the sender stops in the middle of a
// granted body.
func TestGrantedBodyThatEndsEarlyDoesNotRun(t *testing.T) {
	is := is.New(t)
	addr, processed := startBodyDaemon(t, func(context.Context, *Request, int) (int, *Response) { return 1e9, nil })
	raw, err := net.Dial("tcp", addr)
	is.NoErr(err)
	c, err := greet(testCtx(t, testTimeout), raw)
	is.NoErr(err)
	_, err = c.codec.writeRequest(withheldRequest(1))
	is.NoErr(err)
	p, err := c.nextPrefix()
	is.NoErr(err)
	is.Equal(p.kind, frameGrant)
	_, err = raw.Write(make([]byte, testBodyBytes-1))
	is.NoErr(err)
	is.NoErr(raw.(*net.TCPConn).CloseWrite())
	_, err = c.readResponse(nil)
	is.True(err != nil)
	is.Equal(processed.Load(), int32(0))
}

// Guards against a small request that waits until a paced body on another connection is complete.
func TestSmallRequestOvertakesPacedBody(t *testing.T) {
	is := is.New(t)
	granted := make(chan struct{})
	addr, _ := startBodyDaemon(t, func(context.Context, *Request, int) (int, *Response) {
		close(granted)
		return testBodyBytes / 10, nil // ten seconds
	})
	c := newTestClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	uploaded := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, addr, withheldRequest(1))
		uploaded <- err
	}()
	<-granted
	_, err := c.Do(testCtx(t, testTimeout), addr, request(2))
	is.NoErr(err)
	is.Equal(len(uploaded), 0)
	cancel()
	is.Equal(verdict.Of(<-uploaded), verdict.NotRun)
}

// Guards against a decision on a body that ends the whole daemon because it panics.
func TestPanicInDecisionRefusesBody(t *testing.T) {
	is := is.New(t)
	addr, processed := startBodyDaemon(t, func(context.Context, *Request, int) (int, *Response) { panic("unexpected") })
	resp, err := newTestClient(t).Do(testCtx(t, testTimeout), addr, withheldRequest(1))
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(processed.Load(), int32(0))
}

// Guards against large bodies of other daemons that together exhaust the memory of the process: what does
// not fit is refused as not run, withheld or not, and the connection stays usable.
func TestLargeCallsTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	const large = 6 << 20
	arrived, release := make(chan struct{}), make(chan struct{})
	server := NewServer(handlerFunc(func(ctx context.Context, r *Request) *Response {
		if len(r.Body) == large {
			arrived <- struct{}{}
			<-release
		}
		return echo(ctx, r)
	}), 77, event.Nop())
	server.Memory = bodymemory.NewBudget(10 << 20)
	l := listen(t)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown(testCtx(t, testTimeout)) }()
	c := newTestClient(t)
	call := func(seq uint64, bytes int, withhold bool) *Response {
		r := request(seq)
		r.Body, r.WithholdBody = make([]byte, bytes), withhold
		resp, err := c.Do(testCtx(t, testTimeout), l.Addr().String(), r)
		is.NoErr(err)
		return resp
	}
	first := make(chan *Response)
	go func() { first <- call(1, large, false) }()
	<-arrived
	for seq, withhold := range []bool{true, false} {
		refused := call(uint64(2+seq), large, withhold)
		is.Equal(refused.Verdict, verdict.NotRun)
		is.Equal(refused.RetryAfter, bodymemory.RetryAfter)
		is.Equal(call(uint64(10+seq), 100, false).Verdict, verdict.Ran)
	}
	close(release)
	is.Equal((<-first).Verdict, verdict.Ran)
	for server.Memory.Used() != 0 { // the memory is returned after the response has been written
		time.Sleep(time.Millisecond)
	}
}
