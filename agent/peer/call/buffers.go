package call

import (
	"bufio"
	"bytes"
	"sync"
)

// Sizes of the buffers of a connection. A daemon holds hundreds of connections, most of them idle, so
// that their buffers were the largest part of its memory.
const (
	// responseBufferBytes is large enough to receive a typical response (4 kB body) with one system call.
	// Connections to other daemons hold such a buffer only during a call.
	responseBufferBytes = 8 << 10
	// requestBufferBytes is the buffer of a connection from another daemon, which waits for the next
	// request with it. Most requests have a small body or none.
	requestBufferBytes = 4 << 10
	// keptOutputBytes is the largest output buffer that a connection keeps between two frames.
	keptOutputBytes = 1 << 10
	// maxPooledBytes keeps the buffers of a few large frames from staying in the pool.
	maxPooledBytes = 64 << 10
)

var (
	responseReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, responseBufferBytes) }}
	outputBuffers   = sync.Pool{New: func() any { return new([]byte) }}
)

// acquireReader gives the connection a buffer for a response unless it has one.
func (c *codec) acquireReader() {
	if c.in == nil {
		c.in = responseReaders.Get().(*bufio.Reader)
		c.in.Reset(c.conn)
	}
}

// releaseReader returns the buffer for responses to the pool and reports whether it was empty. Otherwise,
// the peer has sent data that belongs to no response, and the connection keeps it.
func (c *codec) releaseReader() bool {
	if c.in == nil {
		return true
	}
	if c.in.Buffered() > 0 {
		return false
	}
	c.in.Reset(nil)
	responseReaders.Put(c.in)
	c.in = nil
	return true
}

// acquireOutput gives the connection an output buffer unless it has one.
func (c *codec) acquireOutput() {
	if c.out.Cap() == 0 {
		c.out = *bytes.NewBuffer((*outputBuffers.Get().(*[]byte))[:0])
	}
}

// releaseOutput returns a large output buffer, whose frame has been written, to the pool.
func (c *codec) releaseOutput() {
	if c.out.Cap() <= keptOutputBytes {
		return
	}
	if c.out.Cap() <= maxPooledBytes {
		c.out.Reset()
		buffer := c.out.AvailableBuffer()
		outputBuffers.Put(&buffer)
	}
	c.out = bytes.Buffer{}
}
