package call

import (
	"syscall"
	"time"

	"kingcupwood.example/kingcupwood/lib/socket"
)

// disconnectCheckInterval is the interval between checks of the connections with a request in
// progress. A disconnected sender is detected within two intervals, well before half a second.
const disconnectCheckInterval = 100 * time.Millisecond

// startDisconnectWatch starts the goroutine that detects disconnected senders, unless it is
// running. It ends when no connections are left. The caller holds s.mu.
func (s *Server) startDisconnectWatch() {
	if s.watching {
		return
	}
	s.watching = true
	go s.watchDisconnects()
}

func (s *Server) watchDisconnects() {
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		s.mu.Lock()
		open := make([]*serverConn, 0, len(s.conns))
		for c := range s.conns {
			open = append(open, c)
		}
		s.watching = len(open) > 0
		s.mu.Unlock()
		for _, c := range open {
			c.cancelIfDisconnected()
		}
		if len(open) == 0 {
			return
		}
	}
}

// cancelAbandoned cancels r after its sender has disconnected. A non-idempotent request that has
// started continues, because cancelling it would leave it unknown whether it took effect.
func (s *Server) cancelAbandoned(r *Request, cancel func()) {
	if r.Idempotent {
		cancel()
		return
	}
	s.table.Fence(r.Attempt)
}

// beginRun registers the function that cancels the request in progress on the connection.
func (c *serverConn) beginRun(cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRun, c.runSince = cancel, time.Now()
}

func (c *serverConn) endRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRun = nil
}

// cancelIfDisconnected cancels the request in progress if its sender has closed the connection.
func (c *serverConn) cancelIfDisconnected() {
	c.mu.Lock()
	stop := c.cancelRun
	fresh := time.Since(c.runSince) < disconnectCheckInterval
	c.mu.Unlock()
	if stop == nil || fresh || !c.closedByPeer() {
		return
	}
	c.mu.Lock()
	stop = c.cancelRun
	c.cancelRun = nil
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// closedByPeer reports whether the peer has closed the connection. It does not wait for a read in
// progress.
func (c *serverConn) closedByPeer() bool {
	if c.raw == nil {
		return false
	}
	ended := false
	err := c.raw.Control(func(fd uintptr) {
		n, err := socket.Peek(fd)
		ended = err != syscall.EAGAIN && (err != nil || n == 0)
	})
	return err != nil || ended
}

// rawConnOf returns the raw connection of conn, nil if it has none.
func rawConnOf(conn any) syscall.RawConn {
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}
