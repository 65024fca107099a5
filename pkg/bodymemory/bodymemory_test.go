package bodymemory

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against bodies that together exceed the budget, against small bodies that fail because of large
// ones, and against memory that is returned twice or never.
func TestBudget(t *testing.T) {
	is := is.New(t)
	const limit = 10 << 20
	b := NewBudget(limit)
	first, second, small := b.Hold(), b.Hold(), b.Hold()
	is.NoErr(first.Grow(6 << 20))
	is.True(errors.Is(second.Grow(6<<20), ErrExhausted))
	is.NoErr(second.Grow(4 << 20))
	is.NoErr(small.Grow(freeBytes))
	is.True(errors.Is(small.Grow(1<<20), ErrExhausted))
	_, err := io.ReadAll(small.Reader(bytes.NewReader(make([]byte, 1<<20))))
	is.True(errors.Is(err, ErrExhausted))
	small.Release()
	first.Release()
	first.Release()
	is.NoErr(first.Grow(limit)) // a late response; nobody keeps it
	is.Equal(b.Used(), int64(4<<20-freeBytes))
	second.Release()
	is.Equal(b.Used(), int64(0))

	var unlimited *Hold
	is.NoErr(unlimited.Grow(limit + 1))
	unlimited.Release()
	is.Equal((*Budget)(nil).Hold(), nil)
}

// Guards against a budget that is exceeded, or not returned in full, by concurrent holds.
func TestBudgetIsSharedConcurrently(t *testing.T) {
	is := is.New(t)
	b := NewBudget(8 << 20)
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			for range 200 {
				h := b.Hold()
				for h.Grow(300<<10) == nil {
					if b.Used() > 24<<20 { // the limit and what 15 others try to add at the same time
						t.Error("over the limit")
					}
				}
				h.Release()
			}
		})
	}
	running.Wait()
	is.Equal(b.Used(), int64(0))
}
