package call

import (
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/socket"
)

const (
	// frameTimeout is the time within which the rest of a frame must follow its first bytes.
	frameTimeout = 5 * time.Second
	// writeTimeout is the time for a response that may not fit the socket buffer.
	writeTimeout = 5 * time.Second
	// smallBodyBytes fits the socket buffer, which is empty when a response is written, so that
	// small responses need no write deadline.
	smallBodyBytes = 8 << 10
	// goAwayGrace is the time for which requests are still read after a go-away frame, because the
	// frame may cross them.
	goAwayGrace = 200 * time.Millisecond
)

// serverConn is a connection from another daemon. Its goroutine reads requests, runs the handler
// and writes the responses.
type serverConn struct {
	codec codec
	check *IdleCheck
	// limited is set while the connection has a deadline; only its goroutine uses it.
	limited bool

	mu       sync.Mutex
	active   bool // the greeting or a call is in progress
	draining bool
	goneAway bool // the go-away frame has been sent
	// stop ends the request in progress, which began at runSince; nil without one.
	stop     func()
	runSince time.Time
	raw      syscall.RawConn
}

// errAbandoned means that the sender has closed the connection, or has sent more than one request on
// it, before its request was taken up. The check matters after a pause of the receiver: without it,
// requests whose senders have long given up would still run.
var errAbandoned = errors.New("request abandoned by its sender")

func newServerConn(conn net.Conn) *serverConn {
	socket.DetectDeadPeer(conn)
	return &serverConn{codec: newCodec(conn), check: NewIdleCheck(conn), active: true, raw: rawOf(conn)}
}

func (c *serverConn) greet(incarnation uint64) error {
	var b [greetingBytes]byte
	copy(b[:], greetingMagic)
	binary.BigEndian.PutUint64(b[len(greetingMagic):], incarnation)
	_, err := c.codec.conn.Write(b[:])
	return err
}

func (c *serverConn) readRequest() (*Request, error) {
	p, err := c.codec.nextPrefix(MaxRequestBodyBytes)
	if err != nil {
		return nil, err
	}
	if p.kind != frameRequest {
		return nil, errors.Wrapf(ErrProtocol, "frame type %d instead of a request", p.kind)
	}
	if err := c.beginCall(c.codec.in.Buffered() < p.header+p.body); err != nil {
		return nil, err
	}
	header, body, err := c.codec.readFrame(p)
	if err != nil {
		return nil, err
	}
	r, err := c.codec.decodeRequest(header)
	if err != nil {
		return nil, err
	}
	if !c.check.OK() {
		return nil, errAbandoned
	}
	r.Body = body
	return r, nil
}

// beginCall marks the connection as in use. It limits the time for the rest of a frame that has not
// arrived as a whole, and lifts the deadline of a go-away frame that the request has crossed.
func (c *serverConn) beginCall(incomplete bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
	if c.goneAway {
		if err := c.codec.conn.SetDeadline(time.Time{}); err != nil {
			return err
		}
	}
	if incomplete {
		c.limited = true
		return c.codec.conn.SetReadDeadline(time.Now().Add(frameTimeout))
	}
	return nil
}

func (c *serverConn) writeResponse(r *Response) error {
	if len(r.Body) > smallBodyBytes {
		c.limited = true
		if err := c.codec.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
	}
	return c.codec.writeResponse(r)
}

// endCall makes the connection idle again and reports whether it can be used further.
func (c *serverConn) endCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = false
	if c.draining {
		return c.goAway() == nil
	}
	if c.limited {
		c.limited = false
		return c.codec.conn.SetDeadline(time.Time{}) == nil
	}
	return true
}

// drain announces the end of the connection now if it is idle, otherwise after its response.
func (c *serverConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.active {
		_ = c.goAway()
	}
}

// goAway tells the sender to start no further call and limits the time in which one is still read.
func (c *serverConn) goAway() error {
	if err := c.codec.conn.SetDeadline(time.Now().Add(goAwayGrace)); err != nil || c.goneAway {
		return err
	}
	c.goneAway = true
	_, err := c.codec.conn.Write(goAwayFrame)
	return err
}
