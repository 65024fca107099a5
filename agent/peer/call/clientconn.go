package call

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/socket"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/verdict"
)

// aLongTimeAgo is a past deadline that interrupts pending reads and writes.
var aLongTimeAgo = time.Unix(1, 0)

// clientConn is a connection to another daemon. It carries one call at a time.
type clientConn struct {
	codec codec
	check *IdleCheck
	// abort interrupts the call on the connection; it is created once to save an allocation per call.
	abort func()
	// incarnation is that of the receiving daemon.
	incarnation uint64
	idleSince   time.Time
	// reusable is false after the receiver has sent a go-away frame or a call was cancelled.
	reusable bool
}

// dial connects to addr and reads the greeting.
func dial(ctx context.Context, dialer Dialer, addr string) (*clientConn, error) {
	conn, err := dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	socket.DetectDeadPeer(conn)
	c, err := greet(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "no greeting")
	}
	return c, nil
}

func greet(ctx context.Context, conn net.Conn) (*clientConn, error) {
	c := &clientConn{codec: codec{conn: socket.Wrap(conn)}, check: NewIdleCheck(conn), reusable: true}
	c.codec.acquireReader()
	c.abort = func() { _ = conn.SetDeadline(aLongTimeAgo) }
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	var b [greetingBytes]byte
	_, err := io.ReadFull(c.codec.in, b[:])
	if !stop() {
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, ContextError(ctx, err)
	}
	if string(b[:len(greetingMagic)]) != greetingMagic {
		return nil, errors.Wrap(ErrProtocol, "unknown greeting")
	}
	c.incarnation = binary.BigEndian.Uint64(b[len(greetingMagic):])
	return c, nil
}

// ready prepares the connection for the next call, sets the deadline of the call and reports whether the
// connection is usable.
func (c *clientConn) ready(deadline time.Time) bool {
	if c.codec.conn.SetDeadline(deadline) != nil || !c.check.OK() {
		return false
	}
	c.codec.acquireReader()
	return true
}

// roundTrip sends r and reads its response in the calling goroutine. The deadline of ctx must
// already be set on the connection.
func (c *clientConn) roundTrip(ctx context.Context, r *Request) (*Response, error) {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, c.abort)
		defer func() {
			if !stop() {
				c.reusable = false // abort may still change the deadline
			}
		}()
	}
	resp, complete, err := c.send(ctx, r)
	if err != nil {
		v := verdict.MayHaveRun
		if !complete {
			v = verdict.NotRun
		}
		return nil, verdict.Wrap(v, errors.Wrap(ContextError(ctx, err), "send request"))
	}
	if resp == nil {
		resp, err = c.readResponse(r.Memory)
	}
	if err == nil && resp.Attempt != r.Attempt {
		err = ErrMismatch
	}
	if err != nil {
		return nil, verdict.Wrap(verdict.MayHaveRun, errors.Wrap(ContextError(ctx, err), "receive response"))
	}
	return resp, nil
}

// nextPrefix reads the prefix of the next frame other than frameGoAway.
func (c *clientConn) nextPrefix() (prefix, error) {
	p, err := c.codec.nextPrefix(MaxResponseBodyBytes)
	if err == nil && p.kind == frameGoAway {
		c.reusable = false
		p, err = c.codec.nextPrefix(MaxResponseBodyBytes)
	}
	return p, err
}

func (c *clientConn) readResponse(memory *bodymemory.Hold) (*Response, error) {
	p, err := c.nextPrefix()
	if err != nil {
		return nil, err
	}
	return c.readResponseFrame(p, memory)
}

// readResponseFrame reads a response whose body is added to memory.
func (c *clientConn) readResponseFrame(p prefix, memory *bodymemory.Hold) (*Response, error) {
	if p.kind != frameResponse {
		return nil, errors.Wrapf(ErrProtocol, "frame type %d instead of a response", p.kind)
	}
	if err := memory.Grow(p.body); err != nil {
		return nil, err
	}
	header, body, err := c.codec.readFrame(p)
	if err != nil {
		return nil, err
	}
	resp, err := c.codec.decodeResponse(header)
	if err != nil {
		return nil, err
	}
	resp.Body = body
	return resp, nil
}

// ContextError returns the error of ctx if it is the cause of err, which distinguishes an exceeded
// deadline from a failed connection.
func ContextError(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return context.DeadlineExceeded // the timer of the connection fired before that of ctx
	}
	return err
}
