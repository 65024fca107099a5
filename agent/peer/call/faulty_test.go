package call

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// doFunc has the signature of Client.Do.
type doFunc func(ctx context.Context, addr string, r *Request) (*Response, error)

// nonMatchingClient is a deliberately faulty client. It reuses its connection after a cancelled
// request, and takes the next response on it for the response to the next request.
type nonMatchingClient struct{ conn *clientConn }

func (n *nonMatchingClient) do(ctx context.Context, addr string, r *Request) (*Response, error) {
	if n.conn == nil {
		var err error
		if n.conn, err = dial(ctx, new(net.Dialer).DialContext, addr); err != nil {
			return nil, err
		}
	}
	if err := n.conn.codec.conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, n.conn.abort)()
	if _, err := n.conn.codec.writeRequest(r); err != nil {
		return nil, err
	}
	return n.conn.readResponse(nil)
}

// bodyAfterLateResponse cancels a first request, whose response arrives late, and sends a second
// request with the target "/next". It returns the body of the second response and the error of the
// first request.
func bodyAfterLateResponse(t *testing.T, do doFunc) (body string, first error) {
	t.Helper()
	is := is.New(t)
	arrived, release, written := make(chan struct{}), make(chan struct{}), make(chan struct{})
	d := startDaemon(t, func(ctx context.Context, r *Request) *Response {
		if r.Attempt.Seq == 1 {
			close(arrived)
			<-release
			defer close(written)
		}
		return echo(ctx, r)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, first = do(ctx, d.addr, request(1))
	close(release)
	<-written
	next := request(2)
	next.Target = "/next"
	resp, err := do(testCtx(t, testTimeout), d.addr, next)
	is.NoErr(err)
	return string(resp.Body), first
}

// Guards against a check in TestLateResponse that detects nothing: a client that does not match
// responses to requests must fail it.
func TestNonMatchingClientMixesResponsesUp(t *testing.T) {
	is := is.New(t)
	var client nonMatchingClient
	t.Cleanup(func() { _ = client.conn.codec.conn.Close() })
	body, first := bodyAfterLateResponse(t, client.do)
	is.True(errors.Is(first, os.ErrDeadlineExceeded))
	is.Equal(body, "/pages/a body")
}

// requestsCutByStop calls stop while requests are in flight, then lets the handlers finish and
// returns the number of requests without a complete response. stop begins to stop the daemon and
// returns a function that waits for the end.
func requestsCutByStop(t *testing.T, stop func(d *daemon) func()) int {
	t.Helper()
	const inFlight = 8
	arrived, release := make(chan struct{}, inFlight), make(chan struct{})
	d := startDaemon(t, func(ctx context.Context, r *Request) *Response {
		arrived <- struct{}{}
		<-release
		return echo(ctx, r)
	})
	c := newTestClient(t)
	results := make(chan bool, inFlight)
	for seq := range uint64(inFlight) {
		go func() {
			resp, err := c.Do(testCtx(t, testTimeout), d.addr, request(seq+1))
			results <- err == nil && string(resp.Body) == "/pages/a body"
		}()
	}
	for range inFlight {
		<-arrived
	}
	wait := stop(d)
	close(release)
	cut := 0
	for range inFlight {
		if !<-results {
			cut++
		}
	}
	wait()
	return cut
}

// Guards against a check of graceful shutdown that detects nothing: a daemon that closes its
// connections at once must fail it.
func TestAbruptStopCutsRequests(t *testing.T) {
	is := is.New(t)
	graceful := func(d *daemon) func() {
		stopped := make(chan error, 1)
		go func() { stopped <- d.server.Shutdown(testCtx(t, testTimeout)) }()
		for !d.server.isDraining() {
			time.Sleep(time.Millisecond)
		}
		return func() { is.NoErr(<-stopped) }
	}
	is.Equal(requestsCutByStop(t, graceful), 0)
	abrupt := func(d *daemon) func() {
		d.server.mu.Lock()
		defer d.server.mu.Unlock()
		for l := range d.server.listeners {
			_ = l.Close()
		}
		for c := range d.server.conns {
			_ = c.codec.conn.Close()
		}
		return func() {}
	}
	is.True(requestsCutByStop(t, abrupt) > 0)
}
