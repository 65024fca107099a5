package sync

import (
	"context"
	"expvar"
	"net"
	"sync/atomic"
	"time"
)

// writeTimeout ends the connection to a daemon that does not read, for example a frozen one.
const writeTimeout = 5 * time.Second

// Traffic counts the bytes of connections between daemons, without TCP and IP headers. It is safe
// for concurrent use; the zero value is ready.
type Traffic struct {
	sent, received, connections atomic.Uint64
}

// Sent returns the bytes sent so far.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the bytes received so far.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Connections returns the number of connections so far, opened and accepted.
func (t *Traffic) Connections() uint64 { return t.connections.Load() }

// Var returns the counters as a variable for expvar.
func (t *Traffic) Var() expvar.Var {
	return expvar.Func(func() any {
		return map[string]uint64{"sent_bytes": t.Sent(), "received_bytes": t.Received(), "connections": t.Connections()}
	})
}

// wrap returns conn with counters and a limit on the time of each write.
func (t *Traffic) wrap(conn net.Conn) net.Conn {
	t.connections.Add(1)
	return &peerConn{Conn: conn, traffic: t}
}

// dialer returns a Dialer that counts in t.
func (t *Traffic) dialer(dial Dialer) Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return t.wrap(conn), nil
	}
}

type peerConn struct {
	net.Conn
	traffic *Traffic
}

// Write implements net.Conn.
func (c *peerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// Read implements net.Conn.
func (c *peerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}
