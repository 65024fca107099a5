package backend

import (
	"io"
	"sync/atomic"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
)

const (
	// maxResponseMemory limits the bytes of all bodies that are being received beyond freeBodyBytes
	// each. It admits one body of the largest size. Without it, a faulty backend server that sends
	// bodies without end on all its connections would exhaust the memory of the daemon.
	maxResponseMemory = call.MaxResponseBodyBytes
	// freeBodyBytes is the part of each body that does not count, so that usual responses neither share
	// a counter nor fail while others use up the memory.
	freeBodyBytes = 256 << 10
	// maxReadBytes limits one read of a body. A read of chunks can fill a buffer of any size, by which
	// each connection would exceed the limit of the memory.
	maxReadBytes = 64 << 10
)

// responseMemory counts the bytes of the bodies that are being received from the backend server.
type responseMemory struct{ used atomic.Int64 }

// bodyMemory reads a body and counts its bytes in the shared memory until release.
type bodyMemory struct {
	shared *responseMemory
	source io.Reader
	// request counts the bytes until the response has been passed on.
	request *bodymemory.Hold
	// read is the size of the body so far, counted the part of it that is counted in shared.
	read, counted int64
}

// Read implements io.Reader. It fails with ErrResponseMemory at the limit of the shared memory.
func (m *bodyMemory) Read(p []byte) (int, error) {
	n, err := m.source.Read(p[:min(len(p), maxReadBytes)])
	m.read += int64(n)
	if excess := m.read - freeBodyBytes - m.counted; excess > 0 {
		m.counted += excess
		if m.shared.used.Add(excess) > maxResponseMemory {
			return n, ErrResponseMemory
		}
	}
	if m.request.Grow(n) != nil {
		return n, ErrResponseMemory
	}
	return n, err
}

// release ends the count of the body.
func (m *bodyMemory) release() {
	if m.counted > 0 {
		m.shared.used.Add(-m.counted)
	}
	m.source, m.request, m.read, m.counted = nil, nil, 0, 0
}
