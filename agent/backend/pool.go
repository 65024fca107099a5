package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/lib/socket"
	"kingcupwood.example/kingcupwood/pkg/dialect"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Errors of the connection pool; Do returns them wrapped in a *verdict.Error.
var (
	ErrGone    = errors.New("backend server is gone")
	ErrRefused = errors.New("backend server refused the connection")
	ErrLeaving = errors.New("backend server is leaving")
	// ErrOtherService means that another backend server has taken the place of the intended one.
	ErrOtherService = errors.New("backend server serves another service")
)

// readBufferBytes is large enough to receive a typical response with one read system call.
const readBufferBytes = 8 << 10

// maxRefusals is the number of refusals after which a connection is closed. It bounds the memory of
// the connection for the IDs of refused requests.
const maxRefusals = 32

// aLongTimeAgo is a past deadline that interrupts pending reads and writes.
var aLongTimeAgo = time.Unix(1, 0)

// pool holds the connections to one address. It is guarded by Backend.mu.
type pool struct {
	addr string
	// serverID is the ID of the backend server process at addr, empty if unknown.
	serverID string
	maxOpen  int
	open     int
	idle     []*conn // most recently used last
	// generation is incremented by reset; connections of an older generation are closed after use.
	generation uint64
	// freed is closed when a connection or a reservation becomes free; nil if nothing waits.
	freed chan struct{}
}

// wait returns a channel that is closed when a connection or a reservation becomes free.
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

// reservation counts a connection, open or being opened, against the connection limit.
type reservation struct {
	addr       string
	generation uint64
	// serverID is the ID of the backend server at the time of the reservation.
	serverID string
}

// conn is a connection to the backend server. It carries one request at a time.
type conn struct {
	net.Conn
	reservation reservation
	readLimit   *io.LimitedReader // source of in
	in          *bufio.Reader
	out         []byte
	body        bodyMemory
	check       *call.IdleCheck
	// used means that a request has been sent on the connection. refused holds the IDs of those that
	// the backend server refused.
	used    bool
	refused []string
	// abort interrupts the exchange on the connection.
	abort func()
}

func newConn(raw net.Conn, r reservation, memory *responseMemory) *conn {
	socket.DetectDeadPeer(raw)
	raw = socket.Wrap(raw)
	limit := &io.LimitedReader{R: raw}
	return &conn{
		Conn: raw, reservation: r, readLimit: limit, body: bodyMemory{shared: memory}, in: bufio.NewReaderSize(limit, readBufferBytes),
		check: call.NewIdleCheck(raw),
		abort: func() { _ = raw.SetDeadline(aLongTimeAgo) },
	}
}

// ready sets the deadline of the next exchange and reports whether the connection is usable.
func (c *conn) ready(deadline time.Time) bool {
	return c.SetDeadline(deadline) == nil && c.in.Buffered() == 0 && c.check.OK()
}

// suits reports whether a response to r can be told apart from a second copy of an earlier response
// on the connection. In a dialect in which responses carry the ID of their request, that requires
// an ID, and that no request with the same one was refused on the connection.
func (c *conn) suits(r *call.Request, d *dialect.Dialect) bool {
	if !c.used || !d.EchoesRequestID() {
		return true
	}
	id := r.Header.Get(d.RequestID)
	return id != "" && !slices.Contains(c.refused, id)
}

// recordRefusal remembers that r was refused on the connection, and reports whether it may be used
// further.
func (c *conn) recordRefusal(r *call.Request, d *dialect.Dialect) bool {
	if d.EchoesRequestID() {
		c.refused = append(c.refused, r.Header.Get(d.RequestID))
	}
	return len(c.refused) < maxRefusals
}

func (p *pool) reset(addr, server string) {
	p.closeIdle()
	p.addr, p.serverID, p.open = addr, server, 0
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

func (p *pool) reserve() reservation {
	p.open++
	return reservation{addr: p.addr, generation: p.generation, serverID: p.serverID}
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

// conn returns an open connection for r with the deadline of ctx. At the connection limit it waits
// for a free one.
func (b *Backend) conn(ctx context.Context, r *call.Request) (*conn, error) {
	deadline, _ := ctx.Deadline()
	for {
		c, reserved, freed, err := b.takeOrReserve(r.Service)
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
		case c.suits(r, b.cfg.Dialect) && c.ready(deadline):
			return c, nil
		default:
			b.discard(c)
		}
	}
}

// takeOrReserve returns an idle connection, else a reservation for a new one, else, at the limit, a
// channel that is closed when a connection or a reservation becomes free.
func (b *Backend) takeOrReserve(service string) (*conn, reservation, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.unavailable(service); err != nil {
		return nil, reservation{}, nil, err
	}
	if c := b.pool.takeIdle(); c != nil {
		return c, reservation{}, nil, nil
	}
	if b.pool.open >= b.pool.maxOpen {
		return nil, reservation{}, b.pool.wait(), nil
	}
	return nil, b.pool.reserve(), nil, nil
}

// unavailable returns why no request for service may be sent to the backend server, nil if it may; the
// caller holds b.mu.
func (b *Backend) unavailable(service string) error {
	switch state := b.state(); {
	case b.closed || state == endpoint.Gone:
		return ErrGone
	case state == endpoint.Draining:
		return ErrLeaving
	case b.current.Service != service:
		return ErrOtherService
	}
	return nil
}

// checkSend returns why r must not be sent on c, nil if it may. The state may have changed since the
// connection was requested, during a wait for it or while it was opened.
func (b *Backend) checkSend(c *conn, r *call.Request) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.unavailable(r.Service); err != nil {
		return err
	}
	if c.reservation.generation != b.pool.generation {
		return errors.Wrap(ErrGone, "the connection is to an earlier process")
	}
	return nil
}

func (b *Backend) dial(ctx context.Context, r reservation) (*conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", r.addr)
	if err != nil {
		return nil, b.dialFailed(r, err)
	}
	c := newConn(raw, r, &b.memory)
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		b.discard(c)
		return nil, err
	}
	return c, nil
}

// dialFailed cancels the reservation and returns the cause of the failure. A refused connection
// means that the backend server is gone.
func (b *Backend) dialFailed(r reservation, err error) error {
	b.mu.Lock()
	b.unreserve(r)
	b.mu.Unlock()
	b.log.Log(event.BackendConnFailed, zap.String("address", r.addr), zap.Error(err))
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.markRefused(r.addr)
		return errors.Wrap(ErrRefused, r.addr)
	}
	return err
}

// unreserve frees the reservation r; the caller holds b.mu.
func (b *Backend) unreserve(r reservation) {
	if r.generation == b.pool.generation {
		b.pool.open--
	}
	b.pool.wakeWaiters()
}

// release returns c to the idle connections, or closes it if it is outdated or over the limit.
func (b *Backend) release(c *conn) {
	b.mu.Lock()
	keep := c.reservation.generation == b.pool.generation && b.pool.open <= b.pool.maxOpen && !b.closed && !b.refused
	if keep {
		b.pool.idle = append(b.pool.idle, c)
		b.pool.wakeWaiters()
	} else {
		b.unreserve(c.reservation)
	}
	b.mu.Unlock()
	if !keep {
		_ = c.Close()
	}
}

// discard closes c, even if the backend server still works on its request, and triggers the opening
// of a replacement.
func (b *Backend) discard(c *conn) {
	_ = c.Close()
	b.mu.Lock()
	b.unreserve(c.reservation)
	b.mu.Unlock()
	b.triggerMaintain()
}
