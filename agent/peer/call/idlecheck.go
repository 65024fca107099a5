package call

import (
	"net"
	"syscall"

	"kingcupwood.example/kingcupwood/lib/socket"
)

// IdleCheck detects that the peer of an idle connection has closed it or has sent unexpected data.
// It costs one system call and detects most connections that were closed while idle; it cannot
// detect a close that is still in transit.
type IdleCheck struct {
	raw    syscall.RawConn
	probe  func(fd uintptr) bool
	noData bool
}

// NewIdleCheck returns a check for conn. The check always passes for a connection without a file
// descriptor.
func NewIdleCheck(conn net.Conn) *IdleCheck {
	c := &IdleCheck{}
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	c.probe = func(fd uintptr) bool {
		_, err := socket.Peek(fd)
		c.noData = err == syscall.EAGAIN
		return true
	}
	return c
}

// OK reports whether the connection is open and has no data to read. The read deadline of the
// connection must not have passed, and OK must not be called concurrently.
func (c *IdleCheck) OK() bool {
	if c.raw == nil {
		return true
	}
	c.noData = false
	return c.raw.Read(c.probe) == nil && c.noData
}
