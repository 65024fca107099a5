package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/lib/socket"
)

// Errors of the connection pool; Do returns them inside a *verdict.Error.
var (
	ErrGone    = errors.New("backend server is gone")
	ErrRefused = errors.New("backend server refused the connection")
)

// readBufferBytes holds a typical response, so that one read system call receives it.
const readBufferBytes = 8 << 10

// aLongTimeAgo is a deadline that ends pending reads and writes at once.
var aLongTimeAgo = time.Unix(1, 0)

// pool holds the connections to one address; Backend.mu guards it.
type pool struct {
	addr string
	// server is the ID of the lifetime to which the connections lead, empty if it is not known.
	server string
	limit  int
	open   int
	idle   []*conn // the most recently used is last
	// generation changes with addr; connections of an older one are closed after use.
	generation uint64
	// freed is closed and replaced when a connection or a place becomes free; nil without waiters.
	freed chan struct{}
}

// wait returns a channel that is closed when a connection or a place becomes free.
func (p *pool) wait() <-chan struct{} {
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return p.freed
}

func (p *pool) wakeWaiters() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// ticket is a reserved place within the connection limit.
type ticket struct {
	addr       string
	generation uint64
	// server is the ID of the backend server at the time of the reservation.
	server string
}

// conn is a connection to the backend server. One request at a time uses it.
type conn struct {
	net.Conn
	ticket ticket
	limit  *io.LimitedReader // beneath in
	in     *bufio.Reader
	out    []byte
	check  *call.IdleCheck
	// abort ends the exchange on the connection.
	abort func()
}

func newConn(raw net.Conn, t ticket) *conn {
	socket.DetectDeadPeer(raw)
	raw = socket.Wrap(raw)
	limit := &io.LimitedReader{R: raw}
	return &conn{
		Conn: raw, ticket: t, limit: limit, in: bufio.NewReaderSize(limit, readBufferBytes),
		check: call.NewIdleCheck(raw),
		abort: func() { _ = raw.SetDeadline(aLongTimeAgo) },
	}
}

// ready sets the deadline of the next exchange and reports whether the connection can be used.
func (c *conn) ready(deadline time.Time) bool {
	return c.SetDeadline(deadline) == nil && c.in.Buffered() == 0 && c.check.OK()
}

func (p *pool) reset(addr, server string) {
	p.closeIdle()
	p.addr, p.server, p.open = addr, server, 0
	p.generation++
}

func (p *pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
	p.wakeWaiters()
}

func (p *pool) reserve() ticket {
	p.open++
	return ticket{addr: p.addr, generation: p.generation, server: p.server}
}

func (p *pool) takeIdle() *conn {
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// conn returns an open connection whose deadline is that of ctx. At the connection limit it waits.
func (b *Backend) conn(ctx context.Context) (*conn, error) {
	deadline, _ := ctx.Deadline()
	for {
		c, reserved, freed, err := b.take()
		switch {
		case err != nil:
			return nil, err
		case freed != nil:
			select {
			case <-freed:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		case c == nil:
			return b.dial(ctx, reserved)
		case c.ready(deadline):
			return c, nil
		default:
			b.discard(c)
		}
	}
}

// take returns an idle connection, or a place for a new one, or at the limit a channel that is closed
// when it is worth trying again.
func (b *Backend) take() (*conn, ticket, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.pool.addr == "" || b.refused {
		return nil, ticket{}, nil, ErrGone
	}
	if c := b.pool.takeIdle(); c != nil {
		return c, ticket{}, nil, nil
	}
	if b.pool.open >= b.pool.limit {
		return nil, ticket{}, b.pool.wait(), nil
	}
	return nil, b.pool.reserve(), nil, nil
}

func (b *Backend) dial(ctx context.Context, t ticket) (*conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return nil, b.dialFailed(t, err)
	}
	c := newConn(raw, t)
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		b.discard(c)
		return nil, err
	}
	return c, nil
}

// dialFailed gives the place of t back and returns the cause. A refused connection means that the
// backend server is gone.
func (b *Backend) dialFailed(t ticket, err error) error {
	b.mu.Lock()
	b.giveBack(t)
	b.mu.Unlock()
	b.log.Log(event.BackendConnFailed, zap.String("address", t.addr), zap.Error(err))
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.refuse(t.addr)
		return errors.Wrap(ErrRefused, t.addr)
	}
	return err
}

// giveBack frees the place of t; the caller holds b.mu.
func (b *Backend) giveBack(t ticket) {
	if t.generation == b.pool.generation {
		b.pool.open--
	}
	b.pool.wakeWaiters()
}

// release makes c idle.
func (b *Backend) release(c *conn) {
	b.mu.Lock()
	keep := c.ticket.generation == b.pool.generation && b.pool.open <= b.pool.limit && !b.closed && !b.refused
	if keep {
		b.pool.idle = append(b.pool.idle, c)
		b.pool.wakeWaiters()
	} else {
		b.giveBack(c.ticket)
	}
	b.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// discard closes c, which may still be in use by the backend server, and has it replaced.
func (b *Backend) discard(c *conn) {
	_ = c.Close()
	b.mu.Lock()
	b.giveBack(c.ticket)
	b.mu.Unlock()
	b.wakeMaintain()
}
