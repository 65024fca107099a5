// Package bodymemory bounds the memory that a process uses for the bodies of requests and responses,
// over all connections.
package bodymemory

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// freeBytes is the part of each hold that does not count, so that usual bodies neither share a counter
// nor fail while others use up the budget.
const freeBytes = 256 << 10

// RetryAfter is the time after which a refused request may find memory. Large bodies need seconds.
const RetryAfter = 500 * time.Millisecond

// ErrExhausted means that other bodies use the whole budget.
var ErrExhausted = errors.New("the memory for bodies is used up")

// Budget is the number of bytes that all holds together may have. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are held at present.
func (b *Budget) Used() int64 { return b.used.Load() }

// Hold returns an empty hold, nil if b is nil.
func (b *Budget) Hold() *Hold {
	if b == nil {
		return nil
	}
	return &Hold{budget: b}
}

// Hold is the memory of the bodies of one request. A nil Hold is not limited. It is safe for concurrent
// use.
type Hold struct {
	budget *Budget

	mu             sync.Mutex
	bytes, counted int64
	released       bool
}

// Grow adds n bytes. It returns ErrExhausted, and adds nothing, if the budget does not have them.
func (h *Hold) Grow(n int) error {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if excess := h.bytes + int64(n) - freeBytes - h.counted; excess > 0 && !h.released {
		if h.budget.used.Add(excess) > h.budget.limit {
			h.budget.used.Add(-excess)
			return ErrExhausted
		}
		h.counted += excess
	}
	h.bytes += int64(n)
	return nil
}

// Release returns all bytes; the hold counts no more bytes afterwards.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.used.Add(-h.counted)
	h.counted, h.released = 0, true
}

// Reader returns a reader of r that adds the bytes it reads to h, and fails with ErrExhausted.
func (h *Hold) Reader(r io.Reader) io.Reader { return &reader{hold: h, source: r} }

type reader struct {
	hold   *Hold
	source io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if grown := r.hold.Grow(n); grown != nil {
		return 0, grown
	}
	return n, err
}
