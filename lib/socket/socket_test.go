package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pair returns both ends of a connection; the first is wrapped.
func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return Wrap(near), far
}

// Guards against lost or duplicated bytes when a transfer is larger than the socket buffers.
func TestLargeTransfers(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	data := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	go func() { _, _ = io.Copy(far, far); _ = far.Close() }()
	sent := make(chan error, 1)
	go func() {
		_, err := near.Write(data)
		if err == nil {
			_, err = WriteBuffers(near, &net.Buffers{data[:100], data})
		}
		_ = near.(*Conn).CloseWrite()
		sent <- err
	}()
	got, err := io.ReadAll(near)
	is.NoErr(err)
	is.NoErr(<-sent)
	is.True(bytes.Equal(got, bytes.Join([][]byte{data, data[:100], data}, nil)))
}

// Guards against errors that callers do not recognise, such as a regular close reported as a
// failure, and against a read that is not interrupted by a deadline or by Close.
func TestErrors(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	_ = near.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := near.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	_ = near.SetReadDeadline(time.Time{})
	_ = far.Close()
	_, err = near.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	for err = nil; err == nil; {
		_, err = near.Write([]byte("x"))
	}
	is.True(errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET))

	near, _ = pair(t)
	time.AfterFunc(10*time.Millisecond, func() { _ = near.Close() })
	_, err = near.Read(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
}

// Guards against a check of idle connections that misses a close or pending data.
func TestPeek(t *testing.T) {
	is := is.New(t)
	near, far := pair(t)
	peek := func() (n int, err error) {
		is.NoErr(near.(*Conn).raw.Control(func(fd uintptr) { n, err = Peek(fd) }))
		return n, err
	}
	_, err := peek()
	is.Equal(err, syscall.EAGAIN)
	_, _ = far.Write([]byte("xy"))
	n, err := peek()
	is.NoErr(err)
	is.Equal(n, 1)
	_, _ = io.ReadFull(near, make([]byte, 2))
	_ = far.Close()
	n, err = peek()
	is.NoErr(err)
	is.Equal(n, 0)
}
