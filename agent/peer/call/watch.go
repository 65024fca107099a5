package call

import (
	"syscall"
	"time"

	"kingcupwood.example/kingcupwood/lib/socket"
)

// watchInterval separates two looks at the connections whose requests are in progress. A sender that has
// gone is noticed within two of them, well before half a second.
const watchInterval = 100 * time.Millisecond

// startWatch starts the goroutine that looks for senders that have gone; the caller holds s.mu. It ends
// when there are no connections any more.
func (s *Server) startWatch() {
	if s.watching {
		return
	}
	s.watching = true
	go s.watch()
}

func (s *Server) watch() {
	ticker := time.NewTicker(watchInterval)
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
			c.cancelIfGone()
		}
		if len(open) == 0 {
			return
		}
	}
}

// abandon stops the work on r because its sender has gone. A non-idempotent request that has started goes
// on, since breaking it off would leave its effect in doubt.
func (s *Server) abandon(r *Request, cancel func()) {
	if r.Idempotent {
		cancel()
		return
	}
	s.table.Fence(r.Attempt)
}

// beginRun sets what stops the request that the connection now works on.
func (c *serverConn) beginRun(stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop, c.runSince = stop, time.Now()
}

func (c *serverConn) endRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop = nil
}

// cancelIfGone stops the request of the connection if its sender has closed it.
func (c *serverConn) cancelIfGone() {
	c.mu.Lock()
	stop := c.stop
	fresh := time.Since(c.runSince) < watchInterval
	c.mu.Unlock()
	if stop == nil || fresh || !c.closedByPeer() {
		return
	}
	c.mu.Lock()
	stop = c.stop
	c.stop = nil
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// closedByPeer reports whether the connection has ended. It does not wait for a read in progress.
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

// rawOf returns the descriptor of a connection, nil if it has none.
func rawOf(conn any) syscall.RawConn {
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}
