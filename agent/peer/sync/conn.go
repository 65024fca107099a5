package sync

import (
	"context"
	"net"
	"time"
)

// writeTimeout ends the connection to a daemon that does not read, for example a frozen one.
const writeTimeout = 5 * time.Second

// writeLimitedConn limits the time of each write.
type writeLimitedConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeLimitedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// limitWrites returns a Dialer whose connections limit the time of each write.
func limitWrites(dial Dialer) Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return writeLimitedConn{conn}, nil
	}
}
