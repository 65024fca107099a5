package backend

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// limitListener closes connections above the limit at once and delays the first read on a new one.
type limitListener struct {
	net.Listener
	cost time.Duration

	mu   sync.Mutex
	free int
}

func newLimitListener(l net.Listener, limit int, cost time.Duration) *limitListener {
	return &limitListener{Listener: l, cost: cost, free: limit}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.take() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitListener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free == 0 {
		return false
	}
	l.free--
	return true
}

func (l *limitListener) giveBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free++
}

type limitedConn struct {
	net.Conn
	listener *limitListener
	opened   sync.Once
	closed   sync.Once
}

// Read pays the cost of the connection on the first call.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.opened.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(b)
}

// Close gives the place of the connection back.
func (c *limitedConn) Close() error {
	c.closed.Do(c.listener.giveBack)
	return c.Conn.Close()
}

// unusedConns holds the connections on which no request has arrived. http.Server.Shutdown waits 5 s
// for them, and daemons open connections in advance.
type unusedConns struct{ conns sync.Map }

// observe implements the ConnState hook of http.Server.
func (u *unusedConns) observe(conn net.Conn, state http.ConnState) {
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
