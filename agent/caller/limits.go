package caller

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/peer/call"
	"kingcupwood.example/kingcupwood/pkg/bodymemory"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// headerLimit returns the largest header of a request in bytes.
func headerLimit(snap *snapshot.Snapshot) int {
	if limits := snap.Manifest.Limits; limits != nil && limits.HeaderBytes > 0 {
		return limits.HeaderBytes
	}
	return http.DefaultMaxHeaderBytes
}

// headerBytes returns the size of the header of r, with the request line.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// bodyLimit returns the largest body of a request in bytes.
func bodyLimit(snap *snapshot.Snapshot) int64 {
	if limits := snap.Manifest.Limits; limits != nil && limits.BodyBytes > 0 {
		return min(int64(limits.BodyBytes), call.MaxRequestBodyBytes)
	}
	return defaultBodyBytes
}

// readBody reads the body of r until the deadline of the request. The memory for a large one is reserved
// before it is read, so that a body that cannot be kept is refused at once.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, memory *bodymemory.Hold) ([]byte, *refusal) {
	if r.ContentLength > limit {
		return nil, refuse(http.StatusRequestEntityTooLarge, "the request body is over %d bytes", limit).by(checkBodyBytes)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if err := memory.Grow(int(max(r.ContentLength, 0))); err != nil {
		return nil, refuseForMemory(err)
	}
	if r.ContentLength > 0 && r.ContentLength <= defaultBodyBytes {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, bodyError(err)
	}
	var late atomic.Bool
	timer := time.AfterFunc(time.Until(deadline), func() {
		late.Store(true)
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // interrupts the read
	})
	defer timer.Stop()
	body, err := readLargeBody(r, limit, memory)
	switch {
	case errors.Is(err, bodymemory.ErrExhausted):
		return nil, refuseForMemory(err)
	case err != nil && late.Load():
		return nil, refuse(http.StatusServiceUnavailable, "the deadline has passed before the request body arrived")
	case int64(len(body)) > limit:
		return nil, refuse(http.StatusRequestEntityTooLarge, "the request body is over %d bytes", limit).by(checkBodyBytes)
	}
	return body, bodyError(err)
}

// readLargeBody reads a body whose memory has been reserved if its length is known. One of unknown length
// is read up to one byte over limit.
func readLargeBody(r *http.Request, limit int64, memory *bodymemory.Hold) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(memory.Reader(io.LimitReader(r.Body, limit+1)))
	}
	if memory == nil {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

func refuseForMemory(err error) *refusal {
	f := refuse(http.StatusServiceUnavailable, "%v", err)
	f.retryAfter = bodymemory.RetryAfter
	return f
}

func bodyError(err error) *refusal {
	if err == nil {
		return nil
	}
	return refuse(http.StatusBadRequest, "the request body ended early: %v", errors.Cause(err)).by(checkBody)
}
