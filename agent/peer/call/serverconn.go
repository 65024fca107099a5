package call

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/socket"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
)

const (
	// frameTimeout is the time within which the rest of a frame must arrive after its first bytes.
	frameTimeout = 5 * time.Second
	// writeTimeout is the timeout for writing a response that may not fit into the socket buffer.
	writeTimeout = 5 * time.Second
	// smallBodyBytes is the largest body that needs no write deadline: it fits into the socket buffer,
	// which is empty when a response is written.
	smallBodyBytes = 8 << 10
	// goAwayGrace is the time for which requests are still read after a go-away frame, because a
	// request may already be in transit.
	goAwayGrace = 200 * time.Millisecond
)

// serverConn is a connection from another daemon. Its goroutine reads requests, runs the handler
// and writes the responses.
type serverConn struct {
	codec codec
	check *IdleCheck
	// hasDeadline is true while the connection has a deadline. Only the goroutine of the connection
	// uses it.
	hasDeadline bool

	mu         sync.Mutex
	active     bool // the greeting or a call is in progress
	draining   bool
	goAwaySent bool // the go-away frame has been sent
	// cancelRun cancels the request in progress, which began at runSince; nil if there is none.
	cancelRun func()
	runSince  time.Time
	raw       syscall.RawConn
}

// errAbandoned means that the sender closed the connection, or sent more than one request on it,
// before processing of its request began. The check matters after the receiver was paused: without
// it, requests whose senders have given up long ago would still run.
var errAbandoned = errors.New("request abandoned by its sender")

func newServerConn(conn net.Conn) *serverConn {
	socket.DetectDeadPeer(conn)
	return &serverConn{codec: newCodec(conn, requestBufferBytes), check: NewIdleCheck(conn), active: true, raw: rawConnOf(conn)}
}

func (c *serverConn) greet(incarnation uint64) error {
	var b [greetingBytes]byte
	copy(b[:], greetingMagic)
	binary.BigEndian.PutUint64(b[len(greetingMagic):], incarnation)
	_, err := c.codec.conn.Write(b[:])
	return err
}

// admitBody decides on a withheld body of the given size. A response refuses the request.
type admitBody func(r *Request, bytes int) (bytesPerSecond int, refused *Response)

// readRequest reads a request, whose body is counted in memory; the caller releases Request.Memory unless
// the request is nil. If the request is refused for its body, it also returns the response.
func (c *serverConn) readRequest(memory *bodymemory.Budget, admit admitBody) (*Request, *Response, error) {
	p, err := c.codec.nextPrefix(MaxRequestBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	if p.kind != frameRequest {
		return nil, nil, errors.Wrapf(ErrProtocol, "frame type %d instead of a request", p.kind)
	}
	if err := c.beginCall(p.withheld || c.codec.in.Buffered() < p.header+p.body); err != nil {
		return nil, nil, err
	}
	header, err := c.codec.readHeader(p)
	if err != nil {
		return nil, nil, err
	}
	r, err := c.codec.decodeRequest(header)
	if err != nil {
		return nil, nil, err
	}
	r.Repeat, r.Memory = p.repeat, memory.Hold()
	if p.withheld {
		refused, err := c.readWithheld(r, p, admit)
		return r, refused, err
	}
	if err := r.Memory.Grow(p.body); err != nil {
		_, discarded := io.CopyN(io.Discard, c.codec.in, int64(p.body))
		return r, refuseBody(r, err), discarded
	}
	if r.Body, err = c.codec.readBody(p, r.Memory != nil); err != nil {
		return r, nil, err
	}
	if !c.check.OK() {
		return r, nil, errAbandoned
	}
	return r, nil, nil
}

// beginCall marks the connection as in use. It sets a deadline for the rest of an incomplete frame,
// and removes the deadline of a go-away frame if the request was already in transit when that frame
// was sent.
func (c *serverConn) beginCall(incomplete bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
	if c.goAwaySent {
		if err := c.codec.conn.SetDeadline(time.Time{}); err != nil {
			return err
		}
	}
	if incomplete {
		c.hasDeadline = true
		return c.codec.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	}
	return nil
}

func (c *serverConn) writeResponse(r *Response) error {
	if len(r.Body) > smallBodyBytes {
		c.hasDeadline = true
		if err := c.codec.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
	}
	return c.codec.writeResponse(r)
}

// endCall marks the connection as idle and reports whether it can be used for another call.
func (c *serverConn) endCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = false
	if c.draining {
		return c.goAway() == nil
	}
	if c.hasDeadline {
		c.hasDeadline = false
		return c.codec.conn.SetDeadline(time.Time{}) == nil
	}
	return true
}

// drain sends a go-away frame, at once if the connection is idle, otherwise after the response.
func (c *serverConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.active {
		_ = c.goAway()
	}
}

// goAway sends a go-away frame and sets the deadline until which a request is still read.
func (c *serverConn) goAway() error {
	if err := c.codec.conn.SetDeadline(time.Now().Add(goAwayGrace)); err != nil || c.goAwaySent {
		return err
	}
	c.goAwaySent = true
	_, err := c.codec.conn.Write(goAwayFrame)
	return err
}
