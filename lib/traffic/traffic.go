// Package traffic counts the bytes sent and received on connections.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the payload bytes of connections in both directions, excluding IP and TCP headers.
// The zero value is ready to use. A Counter is safe for concurrent use.
type Counter struct{ sent, received atomic.Uint64 }

// Stats is a snapshot of a Counter, in bytes.
type Stats struct {
	Sent     uint64 `json:"sent_bytes"`
	Received uint64 `json:"received_bytes"`
}

// Stats returns the current counts. The two directions are read one after the other.
func (c *Counter) Stats() Stats { return Stats{Sent: c.sent.Load(), Received: c.received.Load()} }

// Dialer opens a connection; it has the signature of net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial wraps dial so that the bytes of its connections are counted.
func (c *Counter) Dial(dial Dialer) Dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c.Conn(conn), nil
	}
}

// Conn wraps conn so that its bytes are counted.
func (c *Counter) Conn(conn net.Conn) net.Conn { return countedConn{Conn: conn, counter: c} }

// Listener wraps l so that the bytes of accepted connections are counted.
func (c *Counter) Listener(l net.Listener) net.Listener {
	return countedListener{Listener: l, counter: c}
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(uint64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(conn), nil
}
