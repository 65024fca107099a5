package backend

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// limitListener limits the number of open connections: it accepts and immediately closes those
// above the limit. It delays the first read on each connection by connectCost.
type limitListener struct {
	net.Listener
	connectCost time.Duration

	mu        sync.Mutex
	available int
}

func newLimitListener(l net.Listener, limit int, connectCost time.Duration) *limitListener {
	return &limitListener{Listener: l, connectCost: connectCost, available: limit}
}

// Accept returns the next connection within the limit and closes those above it.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.available == 0 {
		return false
	}
	l.available--
	return true
}

func (l *limitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.available++
}

type limitedConn struct {
	net.Conn
	listener       *limitListener
	delayFirstRead sync.Once
	releaseOnce    sync.Once
}

// Read delays the first call by the connect cost.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.delayFirstRead.Do(func() { time.Sleep(c.listener.connectCost) })
	return c.Conn.Read(b)
}

// Close closes the connection and releases its place in the limit once, also if called repeatedly.
func (c *limitedConn) Close() error {
	c.releaseOnce.Do(c.listener.release)
	return c.Conn.Close()
}

// unusedConns tracks the connections on which no request has arrived yet, so that they can be
// closed before http.Server.Shutdown, which waits up to 5 s for them. Daemons open connections in
// advance.
type unusedConns struct{ conns sync.Map }

// trackState implements the ConnState hook of http.Server.
func (u *unusedConns) trackState(conn net.Conn, state http.ConnState) {
	if state == http.StateNew {
		u.conns.Store(conn, struct{}{})
	} else {
		u.conns.Delete(conn)
	}
}

func (u *unusedConns) close() {
	u.conns.Range(func(conn, _ any) bool {
		_ = conn.(net.Conn).Close()
		return true
	})
}
