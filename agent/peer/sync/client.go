package sync

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// dialTimeout bounds the setup of a connection, as a partition drops packets without an answer.
const dialTimeout = time.Second

// Dialer opens a connection to the net/rpc address of a daemon.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP is the Dialer for real networks.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// session is a connection to one daemon.
type session struct {
	addr string
	rpc  *rpc.Client
	conn *receivingConn
	// confirmation is the number of the last confirmation that a poll returned.
	confirmation uint64
}

// receivingConn counts the received bytes.
type receivingConn struct {
	net.Conn
	received atomic.Uint64
}

// Read implements net.Conn.
func (c *receivingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(max(n, 0)))
	return n, err
}

func openSession(ctx context.Context, dial Dialer, addr string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(ctx, addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}
	counted := &receivingConn{Conn: conn}
	return &session{addr: addr, rpc: rpc.NewClient(counted), conn: counted}, nil
}

// call calls a method and waits at most timeout for the answer. After an error the session must be
// closed and reply must not be read, as a late answer may still be written to it.
func (s *session) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	return s.callUnlessSilent(ctx, timeout, timeout, method, args, reply)
}

// callUnlessSilent is call, but waits only for the time silence if no part of an answer has arrived
// by then. A transfer that has begun continues.
func (s *session) callUnlessSilent(ctx context.Context, silence, timeout time.Duration, method string, args, reply any) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	silent := time.NewTimer(silence)
	defer silent.Stop()
	before := s.conn.received.Load()
	running := s.rpc.Go(ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	for {
		select {
		case done := <-running.Done:
			return errors.Wrapf(done.Error, "%s at %s", method, s.addr)
		case <-silent.C:
			if s.conn.received.Load() == before {
				return errors.Errorf("%s at %s: no answer within %v", method, s.addr, silence)
			}
		case <-timer.C:
			return errors.Errorf("%s at %s: no answer within %v", method, s.addr, timeout)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s at %s", method, s.addr)
		}
	}
}

func (s *session) close() { _ = s.rpc.Close() }

// callOnce calls a method over a new connection, which it closes afterwards.
func callOnce(ctx context.Context, dial Dialer, addr string, timeout time.Duration, method string, args, reply any) error {
	s, err := openSession(ctx, dial, addr)
	if err != nil {
		return err
	}
	defer s.close()
	return s.call(ctx, timeout, method, args, reply)
}
