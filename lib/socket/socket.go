// Package socket reads and writes TCP connections with raw system calls that are not announced to
// the Go scheduler. The runtime wakes its monitor thread (sysmon) at the first announced system
// call after an idle period, and that thread then polls every 20 us until the process is idle
// again. In a process that handles single short requests, this causes as many thread switches as
// the requests themselves. The system calls of this package never block, because the runtime poller
// does the waiting, so the monitor thread is not needed for them.
package socket

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// maxTransferBytes bounds the data copied by one system call, since the scheduler cannot preempt
// the goroutine during the call. Copying this much takes about 10 us.
const maxTransferBytes = 64 << 10

// Conn is a TCP connection. Unlike other implementations of net.Conn, it supports at most one
// concurrent Read and one concurrent Write.
type Conn struct {
	*net.TCPConn
	raw     syscall.RawConn
	in, out transfer
}

// transfer is the state of a read or write. The closure run is created once per connection to avoid
// an allocation for each call.
type transfer struct {
	buffer []byte
	n      int
	err    syscall.Errno
	run    func(fd uintptr) bool
}

// Wrap returns a *Conn if conn is a *net.TCPConn, otherwise conn itself.
func Wrap(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	c := &Conn{TCPConn: tcp, raw: raw}
	c.in.run = func(fd uintptr) bool { return c.in.call(fd, receive) }
	c.out.run = func(fd uintptr) bool { return c.out.call(fd, send) }
	return c
}

// Listener wraps the connections that it accepts.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// call performs the system call do and reports whether it completed; false means that the
// descriptor is not ready.
func (t *transfer) call(fd uintptr, do func(fd uintptr, p []byte) (int, syscall.Errno)) bool {
	for {
		n, err := do(fd, t.buffer)
		switch err {
		case 0:
			t.n, t.err = n, 0
			return true
		case syscall.EINTR:
		case syscall.EAGAIN:
			return false
		default:
			t.n, t.err = 0, err
			return true
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.in.buffer = p[:min(len(p), maxTransferBytes)]
	err := c.raw.Read(c.in.run)
	c.in.buffer = nil
	if err != nil {
		return 0, err
	}
	if c.in.err != 0 {
		return 0, c.opError("read", "recvfrom", c.in.err)
	}
	if c.in.n == 0 {
		return 0, io.EOF
	}
	return c.in.n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		c.out.buffer = p[written:min(len(p), written+maxTransferBytes)]
		err := c.raw.Write(c.out.run)
		c.out.buffer = nil
		if err != nil {
			return written, err
		}
		if c.out.err != 0 {
			return written, c.opError("write", "sendto", c.out.err)
		}
		written += c.out.n
	}
	return written, nil
}

func (c *Conn) opError(op, call string, err syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(call, err)}
}

// WriteBuffers writes buffers to conn, using writev if conn supports it.
func WriteBuffers(conn net.Conn, buffers *net.Buffers) (int64, error) {
	if c, ok := conn.(*Conn); ok {
		return buffers.WriteTo(c.TCPConn)
	}
	return buffers.WriteTo(conn)
}

// Peek checks the receive queue of a socket without consuming data. It returns 1 if data is
// available and 0 if the peer has closed the connection. If there is no data, the error is
// syscall.EAGAIN.
func Peek(fd uintptr) (int, error) {
	var b [1]byte
	for {
		n, _, err := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		switch err {
		case 0:
			return int(n), nil
		case syscall.EINTR:
		default:
			return 0, err
		}
	}
}
