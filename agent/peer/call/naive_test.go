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

// doer sends a request to a daemon, as Client.Do does.
type doer func(ctx context.Context, addr string, r *Request) (*Response, error)

// naiveClient keeps its connection after a request that was given up, and takes the next response on it for that
// of the next request.
type naiveClient struct{ conn *clientConn }

func (n *naiveClient) do(ctx context.Context, addr string, r *Request) (*Response, error) {
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
	return n.conn.readResponse()
}

// bodyAfterLateResponse gives the first request up, lets its response arrive late, and returns the body of the
// response to the second request, which asks for "/next", and the error of the first.
func bodyAfterLateResponse(t *testing.T, do doer) (body string, first error) {
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
	resp, err := do(within(t, generous), d.addr, next)
	is.NoErr(err)
	return string(resp.Body), first
}

// Guards against a check of late responses (as in TestLateResponse) that a client passes which does not tell responses
// apart.
func TestNaiveClientMixesResponsesUp(t *testing.T) {
	is := is.New(t)
	var naive naiveClient
	t.Cleanup(func() { _ = naive.conn.codec.conn.Close() })
	body, first := bodyAfterLateResponse(t, naive.do)
	is.True(errors.Is(first, os.ErrDeadlineExceeded))
	is.Equal(body, "/pages/a body")
}

// cutByStop has a number of requests in flight while stop ends the daemon, lets them finish once stop has begun, and
// returns how many got no whole response. stop returns a function that waits for its end.
func cutByStop(t *testing.T, stop func(d *daemon) func()) int {
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
			resp, err := c.Do(within(t, generous), d.addr, request(seq+1))
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

// Guards against a check of planned stops that a daemon passes which closes its connections at once.
func TestNaiveStopCutsRequests(t *testing.T) {
	is := is.New(t)
	graceful := func(d *daemon) func() {
		stopped := make(chan error, 1)
		go func() { stopped <- d.server.Shutdown(within(t, generous)) }()
		for !d.server.isDraining() {
			time.Sleep(time.Millisecond)
		}
		return func() { is.NoErr(<-stopped) }
	}
	is.Equal(cutByStop(t, graceful), 0)
	naive := func(d *daemon) func() {
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
	is.True(cutByStop(t, naive) > 0)
}
