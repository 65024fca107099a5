package call

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// testTimeout is long enough that a test exceeds it only if it hangs.
const testTimeout = 20 * time.Second

type handlerFunc func(ctx context.Context, r *Request) *Response

func (f handlerFunc) ServeCall(ctx context.Context, r *Request) *Response { return f(ctx, r) }

// daemon is a call server with its call and net/rpc listeners.
type daemon struct {
	server    *Server
	addr, rpc string
}

func startDaemon(t testing.TB, h handlerFunc) *daemon {
	t.Helper()
	server := NewServer(h, 77, event.Nop())
	calls, fences := listen(t), listen(t)
	go func() { _ = server.Serve(calls) }()
	rpcServer := rpc.NewServer()
	if err := server.RegisterRPC(rpcServer); err != nil {
		t.Fatal(err)
	}
	go rpcServer.Accept(fences)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
	})
	return &daemon{server: server, addr: calls.Addr().String(), rpc: fences.Addr().String()}
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func newTestClient(t testing.TB) *Client {
	c := NewClient(event.Nop())
	t.Cleanup(c.Close)
	return c
}

func testCtx(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func request(seq uint64) *Request {
	return &Request{
		Attempt: fence.AttemptID{Sender: 5, Seq: seq}, Service: "pages", Kind: "save",
		Timeout: testTimeout, Method: "POST", Target: "/pages/a", Host: "pages",
		Header: http.Header{"Accept": {"a", "b"}, "X-Request-Id": {"r"}}, Body: []byte("body"),
	}
}

// echo starts the attempt and returns its target and body.
func echo(_ context.Context, r *Request) *Response {
	if !r.Start() {
		return ErrorResponse(r.Attempt, verdict.Wrap(verdict.NotRun, errors.New("fenced")))
	}
	return &Response{Verdict: verdict.Ran, Status: 200, Header: r.Header, Body: append([]byte(r.Target+" "), r.Body...)}
}

// Guards against losing fields in a frame, and against opening a connection per call.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	var got *Request
	d := startDaemon(t, func(ctx context.Context, r *Request) *Response {
		got = r
		return echo(ctx, r)
	})
	c := newTestClient(t)
	is.NoErr(c.Prepare(testCtx(t, testTimeout), d.addr, 1))
	for seq := range 3 {
		want := request(uint64(seq + 1)) // a repeated ID would be refused as a duplicate
		want.Nested = seq%2 == 0
		resp, err := c.Do(testCtx(t, testTimeout), d.addr, want)
		is.NoErr(err)
		got.table = nil
		is.Equal(got, want)
		is.Equal(string(resp.Body), "/pages/a body")
		is.Equal(resp.Header, want.Header)
		is.Equal(c.peers[d.addr].open, 1)
	}
}

// Guards against taking a late response for the response to the next request.
func TestLateResponse(t *testing.T) {
	is := is.New(t)
	body, err := bodyAfterLateResponse(t, newTestClient(t).Do)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.True(errors.Is(err, context.Canceled))
	is.Equal(body, "/next body")
}

// startCountingDaemon starts a daemon that echoes requests and counts them.
func startCountingDaemon(t *testing.T) (*daemon, *atomic.Int32) {
	var runs atomic.Int32
	return startDaemon(t, func(ctx context.Context, r *Request) *Response {
		runs.Add(1)
		return echo(ctx, r)
	}), &runs
}

// Guards against running a duplicate, and against reporting it as not run although the first
// delivery has run.
func TestDuplicateDelivery(t *testing.T) {
	is := is.New(t)
	d, runs := startCountingDaemon(t)
	c := newTestClient(t)
	_, err := c.Do(testCtx(t, testTimeout), d.addr, request(1))
	is.NoErr(err)
	resp, err := c.Do(testCtx(t, testTimeout), d.addr, request(1))
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.MayHaveRun)
	is.Equal(runs.Load(), int32(1))
}

// Guards against ignoring a fence while the request waits, and against "never will run" for an
// attempt that has started.
func TestFenceWaitingAndStarted(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}), make(chan bool, 1)
	d := startDaemon(t, func(ctx context.Context, r *Request) *Response {
		if r.Attempt.Seq == 2 && !r.Start() {
			t.Error("attempt 2 refused to start")
		}
		arrived <- struct{}{}
		if r.Attempt.Seq == 1 {
			<-ctx.Done() // the fence cancels a waiting request
			ended <- r.Start()
		}
		return ErrorResponse(r.Attempt, errors.New("no run"))
	})
	c := newTestClient(t)
	for seq, want := range map[uint64]fence.Answer{1: fence.NeverWillRun, 2: fence.HasStarted} {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-arrived
			cancel()
		}()
		r := request(seq)
		if _, err := c.Do(ctx, d.addr, r); err == nil {
			c.recordLost(r.Attempt, d.addr, 77) // the response arrived before the cancellation
		}
		is.Equal(c.Fence(testCtx(t, testTimeout), d.addr, d.rpc, r.Attempt), want)
	}
	is.True(!<-ended)
}

// Guards against running a request that arrives after its fence.
func TestFenceOvertakesRequest(t *testing.T) {
	is := is.New(t)
	d, runs := startCountingDaemon(t)
	c := newTestClient(t)
	r := request(1)
	c.recordLost(r.Attempt, d.addr, 77)
	is.Equal(c.Fence(testCtx(t, testTimeout), d.addr, d.rpc, r.Attempt), fence.NeverWillRun)
	resp, err := c.Do(testCtx(t, testTimeout), d.addr, r)
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(runs.Load(), int32(0))
}

// Guards against "never will run" from a restarted daemon, which has no record of the attempts of
// its previous incarnation, and against fencing an attempt that was not recorded as lost.
func TestFenceOtherIncarnation(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, echo)
	c := newTestClient(t)
	c.recordLost(request(1).Attempt, d.addr, 76)
	is.Equal(c.Fence(testCtx(t, testTimeout), d.addr, d.rpc, request(1).Attempt), fence.Unknown)
	is.Equal(c.Fence(testCtx(t, testTimeout), d.addr, d.rpc, request(2).Attempt), fence.Unknown)
}

// Guards against not retrying a fence on a new connection when the cached one is broken, and
// against blocking when the daemon is unreachable.
func TestFenceAfterBrokenConnection(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, echo)
	c := newTestClient(t)
	c.recordLost(request(1).Attempt, d.addr, 77)
	is.Equal(c.Fence(testCtx(t, testTimeout), d.addr, d.rpc, request(1).Attempt), fence.NeverWillRun)
	is.NoErr(c.rpcs[d.rpc].client.Close())
	is.Equal(c.Fence(testCtx(t, testTimeout), d.addr, d.rpc, request(1).Attempt), fence.NeverWillRun)
	is.Equal(c.Fence(testCtx(t, testTimeout), d.addr, "127.0.0.1:1", request(1).Attempt), fence.Unknown)
}

// Guards against losing calls in a graceful shutdown: the call in flight gets its response, idle
// connections are not reused, and further calls are reported as not run.
func TestGracefulShutdown(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	d := startDaemon(t, func(ctx context.Context, r *Request) *Response {
		close(arrived)
		<-release
		return echo(ctx, r)
	})
	c := newTestClient(t)
	is.NoErr(c.Prepare(testCtx(t, testTimeout), d.addr, 2))
	result := make(chan error, 1)
	go func() {
		_, err := c.Do(testCtx(t, testTimeout), d.addr, request(1))
		result <- err
	}()
	<-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- d.server.Shutdown(testCtx(t, testTimeout)) }()
	for c.peers[d.addr].idle[0].check.OK() { // until the go-away frame has arrived
		time.Sleep(time.Millisecond)
	}
	_, err := c.Do(testCtx(t, testTimeout), d.addr, request(2))
	is.Equal(verdict.Of(err), verdict.NotRun)
	close(release)
	is.NoErr(<-result)
	is.NoErr(<-stopped)
}

// Guards against losing one request after another to idle connections that stopped delivering data
// at the same time, and against closing idle connections because one request is slow.
func TestIdleConnectionsClosedAfterTimeout(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	d := startDaemon(t, func(_ context.Context, r *Request) *Response {
		if r.Target == "/slow" {
			<-release
		}
		return &Response{Attempt: r.Attempt, Verdict: verdict.Ran, Status: http.StatusOK}
	})
	defer close(release)
	client := newTestClient(t)
	is.NoErr(client.Prepare(testCtx(t, testTimeout), d.addr, 3))
	idle := func() int {
		client.mu.Lock()
		defer client.mu.Unlock()
		if p := client.peers[d.addr]; p != nil {
			return len(p.idle)
		}
		return 0
	}
	var seq atomic.Uint64
	call := func(target string, limit time.Duration) error {
		r := request(seq.Add(1))
		r.Target = target
		_, err := client.Do(testCtx(t, limit), d.addr, r)
		return err
	}
	slow := make(chan error)
	go func() { slow <- call("/slow", 200*time.Millisecond) }()
	time.Sleep(50 * time.Millisecond)
	is.NoErr(call("/fast", testTimeout)) // the daemon still responds
	is.True(<-slow != nil)
	is.Equal(idle(), 2)
	is.True(call("/slow", 50*time.Millisecond) != nil)
	is.Equal(idle(), 0)
	is.NoErr(call("/fast", testTimeout))
}

// Guards against one request that ends the whole daemon because its handler panics, against a verdict
// other than may have run for it, and against a fence that then takes it for one that can still run.
func TestPanicAffectsOneRequest(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t, func(ctx context.Context, r *Request) *Response {
		if r.Attempt.Seq == 1 {
			_ = r.Start()
			panic("unexpected")
		}
		return echo(ctx, r)
	})
	c := newTestClient(t)
	resp, err := c.Do(testCtx(t, testTimeout), d.addr, request(1))
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.MayHaveRun)
	is.Equal(resp.Status, http.StatusBadGateway)
	is.Equal(d.server.Table().Lookup(request(1).Attempt), fence.HasStarted)
	resp, err = c.Do(testCtx(t, testTimeout), d.addr, request(2))
	is.NoErr(err)
	is.Equal(resp.Verdict, verdict.Ran)
}
