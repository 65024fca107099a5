package call

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/fence"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

const (
	// maxConnsPerPeer limits the calls in flight to one daemon, including those that wait there.
	maxConnsPerPeer = 512
	// openTimeout is the timeout for opening a connection and reading its greeting. It allows several
	// round trips between regions. A daemon that takes longer is frozen or unreachable, and another
	// one may have a free slot.
	openTimeout = 500 * time.Millisecond
	// idleTimeout is the time after which unused connections are closed.
	idleTimeout = time.Minute
	// lostLimit is the maximum number of attempts without a response that are kept for fencing.
	lostLimit = 4096
)

// Dialer opens a connection to another daemon; it has the form of net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends requests to other daemons. It is safe for concurrent use.
type Client struct {
	dialer Dialer
	log    *event.Logger

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer
	rpcs   map[string]*rpcConn
	reaper *time.Timer
	lost   lostAttempts
}

// peer holds the connections to one daemon. It is guarded by Client.mu.
type peer struct {
	idle []*clientConn // most recently used last
	open int
	// lastResponse is the time of the last response from the daemon.
	lastResponse time.Time
}

// NewClient returns a Client without connections.
func NewClient(log *event.Logger) *Client {
	return NewClientWithDialer(new(net.Dialer).DialContext, log)
}

// NewClientWithDialer is like NewClient but opens all connections with dialer.
func NewClientWithDialer(dialer Dialer, log *event.Logger) *Client {
	return &Client{
		dialer: dialer, log: log,
		peers: map[string]*peer{}, rpcs: map[string]*rpcConn{},
		lost: newLostAttempts(lostLimit),
	}
}

// Do sends r to the daemon at addr ("ip:port") and returns its response, which may be a refusal
// with verdict not run. ctx bounds the call. An error is a *verdict.Error: not run if the daemon
// cannot have received the whole request, otherwise may have run; Fence may resolve the latter.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, verdict.Wrap(verdict.NotRun, err)
	}
	if len(r.Body) > MaxRequestBodyBytes {
		return nil, verdict.Wrap(verdict.NotRun, ErrRequestTooLarge)
	}
	began := time.Now()
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, errors.Wrapf(err, "call daemon %s", addr))
	}
	resp, err := conn.roundTrip(ctx, r)
	if err == nil {
		resp.Work = min(resp.Work, time.Since(began)) // a longer time cannot be true
		c.release(addr, conn)
		return resp, nil
	}
	c.discard(addr, conn)
	if isTimeout(err) {
		c.closeIdleUnlessSeen(addr, began)
	}
	if verdict.Of(err) == verdict.MayHaveRun {
		c.recordLost(r.Attempt, addr, conn.incarnation)
	}
	return nil, err
}

// isTimeout reports whether a call failed because the receiver sent nothing in time.
func isTimeout(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, context.DeadlineExceeded)
}

// closeIdleUnlessSeen closes the idle connections to the daemon at addr unless it has responded to
// a call since the given time. When one connection stops delivering data, the others usually have
// too, and each of them would cost one more request a timeout.
func (c *Client) closeIdleUnlessSeen(addr string, since time.Time) {
	c.mu.Lock()
	var idle []*clientConn
	if p := c.peers[addr]; p != nil && p.lastResponse.Before(since) {
		idle, p.idle = p.idle, nil
	}
	c.mu.Unlock()
	for _, conn := range idle {
		c.discard(addr, conn)
	}
}

// Prepare opens connections to the daemon at addr until n are idle, so that the first calls need
// not wait for connections to open.
func (c *Client) Prepare(ctx context.Context, addr string, n int) error {
	for range n {
		c.mu.Lock()
		p := c.peers[addr]
		enough := p != nil && len(p.idle) >= n
		c.mu.Unlock()
		if enough {
			return nil
		}
		conn, err := c.open(ctx, addr)
		if err != nil {
			return errors.Wrapf(err, "connect to daemon %s", addr)
		}
		c.release(addr, conn)
	}
	return nil
}

// conn returns an idle connection to addr that is still open, or a new one.
func (c *Client) conn(ctx context.Context, addr string) (*clientConn, error) {
	deadline, _ := ctx.Deadline()
	for {
		conn := c.takeIdle(addr)
		if conn == nil {
			return c.open(ctx, addr)
		}
		if conn.ready(deadline) {
			return conn, nil
		}
		c.discard(addr, conn)
	}
}

func (c *Client) takeIdle(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[addr]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	conn := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return conn
}

func (c *Client) open(ctx context.Context, addr string) (*clientConn, error) {
	if err := c.reserve(addr); err != nil {
		return nil, err
	}
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := dial(opening, c.dialer, addr)
	if err != nil {
		c.discard(addr, nil)
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	return conn, errors.WithStack(conn.codec.conn.SetDeadline(deadline))
}

func (c *Client) reserve(addr string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	p := c.peers[addr]
	if p == nil {
		p = &peer{}
		c.peers[addr] = p
	}
	if p.open >= maxConnsPerPeer {
		return ErrPeerConnections
	}
	p.open++
	return nil
}

func (c *Client) release(addr string, conn *clientConn) {
	if !conn.reusable || !conn.codec.releaseReader() {
		c.discard(addr, conn)
		return
	}
	conn.idleSince = time.Now()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		c.discard(addr, conn)
		return
	}
	p := c.peers[addr]
	p.idle = append(p.idle, conn)
	p.lastResponse = conn.idleSince
	c.armReaper()
	c.mu.Unlock()
}

// discard closes conn, which may be nil, and no longer counts it against the connection limit.
func (c *Client) discard(addr string, conn *clientConn) {
	if conn != nil {
		_ = conn.codec.conn.Close()
		conn.codec.releaseReader()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[addr]
	if p.open--; p.open == 0 {
		delete(c.peers, addr)
	}
}

// armReaper schedules reap; the caller holds c.mu.
func (c *Client) armReaper() {
	if c.reaper == nil && !c.closed {
		c.reaper = time.AfterFunc(idleTimeout/2, c.reap)
	}
}

// reap closes the connections that were idle for too long.
func (c *Client) reap() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reaper = nil
	oldest := time.Now().Add(-idleTimeout)
	for addr, p := range c.peers {
		n := 0
		for n < len(p.idle) && p.idle[n].idleSince.Before(oldest) {
			_ = p.idle[n].codec.conn.Close()
			n++
		}
		p.idle = slices.Delete(p.idle, 0, n)
		if p.open -= n; p.open == 0 {
			delete(c.peers, addr)
		}
	}
	c.reapRPC(oldest)
	if len(c.peers)+len(c.rpcs) > 0 {
		c.armReaper()
	}
}

// Close closes all idle connections. Calls in flight finish, further calls fail as not run.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.reaper != nil {
		c.reaper.Stop()
	}
	for _, p := range c.peers {
		for _, conn := range p.idle {
			_ = conn.codec.conn.Close()
		}
		p.open -= len(p.idle)
		p.idle = nil
	}
	c.reapRPC(time.Now())
}

func (c *Client) recordLost(id fence.AttemptID, addr string, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost.add(id, lostAttempt{addr: addr, incarnation: incarnation})
}
