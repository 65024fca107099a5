package agent

import (
	"net"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// limitedListener accepts connections of callers and applies the timeouts of the configuration in
// force, because those of an http.Server cannot be changed while it serves.
type limitedListener struct {
	net.Listener
	snapshot func() *snapshot.Snapshot
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{conn, l.snapshot}, nil
}

// limitedConn is a connection of a caller.
type limitedConn struct {
	net.Conn
	snapshot func() *snapshot.Snapshot
}

// SetReadDeadline implements net.Conn. The http.Server sets a deadline of keepAliveIdle for the
// next request and one of headerTimeout for a request header; the configuration may shorten both.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if snap := c.snapshot(); snap != nil && !t.IsZero() {
		t = limitDeadline(t, time.Now(), snap.Manifest.Limits)
	}
	return c.Conn.SetReadDeadline(t)
}

// limitDeadline returns the earlier of t and the deadline that follows from limits.
func limitDeadline(t, now time.Time, limits *snapshot.Limits) time.Time {
	if limits == nil {
		return t
	}
	limit := limits.HeaderTimeout
	if t.Sub(now) > headerTimeout {
		limit = limits.IdleTimeout
	}
	if end := now.Add(limit); limit > 0 && end.Before(t) {
		return end
	}
	return t
}
