package sync

import (
	"context"
	"net"
	"time"
)

// writeTimeout bounds a write to a daemon that does not read, for example because it is frozen.
const writeTimeout = 5 * time.Second

// writeTimeoutConn applies writeTimeout to each write.
type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// withWriteTimeout returns a Dialer whose connections apply writeTimeout to each write.
func withWriteTimeout(dial Dialer) Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return writeTimeoutConn{conn}, nil
	}
}
