// Package socket reads and writes TCP connections without telling the Go scheduler about the system
// calls. The runtime wakes its monitor thread at the first announced system call after the process was
// idle, and that thread then polls every 20 us until the process is idle again. For a process that
// handles single short requests this takes as many thread switches as the requests. The system calls
// here never block, since waiting is left to the poller of the runtime, so there is nothing to monitor.
package socket

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"
)

// maxTransferBytes bounds the copying in one unannounced system call, during which the scheduler
// cannot stop the goroutine. It takes some 10 us.
const maxTransferBytes = 64 << 10

// Conn is a TCP connection. Unlike with other connections, two goroutines must not call Read, or Write,
// at the same time.
type Conn struct {
	*net.TCPConn
	raw     syscall.RawConn
	in, out transfer
}

// transfer is a system call in progress. The function that performs it is created once, since it would
// otherwise be allocated for each call.
type transfer struct {
	buffer []byte
	n      int
	err    syscall.Errno
	run    func(fd uintptr) bool
}

// Wrap returns conn as a *Conn if it is a TCP connection of the operating system, otherwise unchanged.
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

// Listener accepts connections that are wrapped.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// call reports whether the transfer by do is over; on false the descriptor is not ready.
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
		return 0, c.fault("read", "recvfrom", c.in.err)
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
			return written, c.fault("write", "sendto", c.out.err)
		}
		written += c.out.n
	}
	return written, nil
}

func (c *Conn) fault(op, call string, err syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(call, err)}
}

// WriteBuffers writes buffers to conn, with writev where possible.
func WriteBuffers(conn net.Conn, buffers *net.Buffers) (int64, error) {
	if c, ok := conn.(*Conn); ok {
		return buffers.WriteTo(c.TCPConn)
	}
	return buffers.WriteTo(conn)
}

// Peek looks at the receive queue of the descriptor of a connection. It returns the number of bytes
// found, at most 1, and 0 at the end of the connection; without data the error is syscall.EAGAIN.
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
