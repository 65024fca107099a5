// Package idempotency provides the table of idempotency keys that a daemon owns. Submissions with
// the same key run once as long as the owner of the key is running and the retention period has not
// ended.
package idempotency

import (
	"container/list"
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Retention is the time for which the outcome of a key is kept after its run ended.
const Retention = 10 * time.Minute

// ErrBodyMismatch is returned when a key is reused for a request that differs from the first.
var ErrBodyMismatch = errors.New("the idempotency key was used before with a different request")

// ErrTableFull is returned when the table has reached its limits; the request has not run.
var ErrTableFull = errors.New("too many idempotency keys are in use")

// ErrClosed is returned by a table whose outcomes have been handed over; the request has not run.
var ErrClosed = errors.New("the owner of the idempotency key is stopping")

// Key identifies a submission: the service, the kind and the key chosen by the caller.
type Key struct {
	Service string `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Value   string `cbor:"3,keyasint"`
}

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request from its target and its body.
func DigestOf(target string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(target))
	h.Write([]byte{0})
	h.Write(body)
	return Digest(h.Sum(nil))
}

// Record is the outcome of a key, as handed over to the next owner.
type Record[T any] struct {
	Key     Key       `cbor:"1,keyasint"`
	Digest  Digest    `cbor:"2,keyasint"`
	Outcome T         `cbor:"3,keyasint"`
	Expires time.Time `cbor:"4,keyasint"`
}

// Table maps keys to the outcome of their run, of type T. It is safe for concurrent use.
type Table[T any] struct {
	now        func() time.Time
	limit      int
	limitBytes int
	size       func(T) int

	mu      sync.Mutex
	closed  bool
	total   int
	entries map[Key]*entry[T]
	// ended lists the entries with an outcome in order of expiry.
	ended *list.List
	// moved holds the keys for which another daemon received Free; movedOrder is in order of
	// expiry.
	moved      map[Key]movedKey
	movedOrder []movedKey
}

type entry[T any] struct {
	key    Key
	digest Digest
	done   chan struct{}
	// checking is set until the check of the key has ended, guarded by Table.mu. Until then the
	// request has not started.
	checking bool
	keep     bool
	outcome  T
	expires  time.Time
	bytes    int
	// holders are the daemons to which the outcome was handed over, guarded by Table.mu. The slice
	// is replaced, never modified.
	holders []string
}

// NewTable returns a table for at most limit keys and at most limitBytes bytes of outcomes, as
// measured by size.
func NewTable[T any](limit, limitBytes int, size func(T) int, now func() time.Time) *Table[T] {
	return &Table[T]{now: now, limit: limit, limitBytes: limitBytes, size: size, entries: map[Key]*entry[T]{}, ended: list.New(), moved: map[Key]movedKey{}}
}

// Run is RunChecked without a check.
func (t *Table[T]) Run(ctx context.Context, key Key, digest Digest, run func() (outcome T, keep bool)) (T, error) {
	return t.RunChecked(ctx, key, digest, nil, run)
}

// RunChecked calls run for the first submission of key and returns its outcome. Later submissions
// wait for that outcome and return it without a run. If run returns keep as false (the request is
// proven not to have run), the key is removed and a waiting or later submission may run. A non-nil
// check is called before run and may find the outcome at another daemon.
//
// Errors: ErrBodyMismatch, ErrTableFull, ErrClosed, the error of check, or the error of ctx while
// waiting; the submission itself has then not run, though the first one may have.
func (t *Table[T]) RunChecked(ctx context.Context, key Key, digest Digest, check Check[T], run func() (outcome T, keep bool)) (T, error) {
	for {
		e, first, err := t.reserve(key, digest, check != nil)
		if err == nil && first && check != nil {
			first, err = t.resolveCheck(e, check)
		}
		switch {
		case errors.Is(err, ErrYield):
			err = pause(ctx)
		case err == nil && first:
			return t.finish(e, run), nil
		case err == nil:
			err = e.wait(ctx)
		}
		if err != nil {
			var zero T
			return zero, err
		}
		if e != nil && e.keep {
			return e.outcome, e.match(digest)
		}
	}
}

func (t *Table[T]) reserve(key Key, digest Digest, checking bool) (e *entry[T], first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if e, ok := t.entries[key]; ok {
		if !e.checking && e.digest != digest {
			return nil, false, ErrBodyMismatch
		}
		return e, false, nil
	}
	if t.closed {
		return nil, false, ErrClosed
	}
	if len(t.entries) >= t.limit || t.total >= t.limitBytes {
		return nil, false, ErrTableFull
	}
	e = &entry[T]{key: key, digest: digest, done: make(chan struct{}), checking: checking}
	t.entries[key] = e
	return e, true, nil
}

// finish runs the request of a reserved entry. A panic in run leaves the key with the zero outcome,
// since the request may have run.
func (t *Table[T]) finish(e *entry[T], run func() (T, bool)) T {
	e.keep = true
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if e.keep {
			t.retain(e)
		} else {
			delete(t.entries, e.key)
		}
		close(e.done)
	}()
	e.outcome, e.keep = run()
	return e.outcome
}

func (t *Table[T]) retain(e *entry[T]) {
	e.expires = t.now().Add(Retention)
	e.bytes = t.size(e.outcome)
	t.total += e.bytes
	t.ended.PushBack(e)
}

// expire removes the outcomes whose retention period has ended.
func (t *Table[T]) expire() {
	now := t.now()
	for front := t.ended.Front(); front != nil; front = t.ended.Front() {
		e := front.Value.(*entry[T])
		if now.Before(e.expires) {
			return
		}
		t.ended.Remove(front)
		t.total -= e.bytes
		delete(t.entries, e.key)
	}
}

func (e *entry[T]) record() Record[T] {
	return Record[T]{Key: e.key, Digest: e.digest, Outcome: e.outcome, Expires: e.expires}
}

// Export returns the outcomes in the table, for the next owner of the keys.
func (t *Table[T]) Export() []Record[T] {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	records := make([]Record[T], 0, t.ended.Len())
	for item := t.ended.Front(); item != nil; item = item.Next() {
		records = append(records, item.Value.(*entry[T]).record())
	}
	return records
}

// Misplaced returns, by daemon name, the outcomes that other daemons need and that have not been
// handed over to them yet. owners returns the current and upcoming owners of a key other than this
// daemon. It is called without locks held.
func (t *Table[T]) Misplaced(owners func(Key) []string) map[string][]Record[T] {
	type held struct {
		entry   *entry[T]
		holders []string
	}
	t.mu.Lock()
	t.expire()
	all := make([]held, 0, t.ended.Len())
	for item := t.ended.Front(); item != nil; item = item.Next() {
		e := item.Value.(*entry[T])
		all = append(all, held{e, e.holders})
	}
	t.mu.Unlock()
	misplaced := map[string][]Record[T]{}
	for _, h := range all {
		for _, to := range owners(h.entry.key) {
			if !slices.Contains(h.holders, to) {
				misplaced[to] = append(misplaced[to], h.entry.record())
			}
		}
	}
	return misplaced
}

// HandedOver records that records were handed over to holder. The table keeps its copies until they
// expire, in case this daemon becomes the owner again.
func (t *Table[T]) HandedOver(records []Record[T], holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if e, ok := t.entries[r.Key]; ok {
			e.holders = append(slices.Clip(e.holders), holder)
		}
	}
}

// Close makes the table refuse further runs and imports and returns its outcomes for the next
// owners. Otherwise an outcome handed over by another stopping daemon in the meantime would be
// lost.
func (t *Table[T]) Close() []Record[T] {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	return t.Export()
}

// Import adds the outcomes of another table. An outcome already in the table is kept. It returns
// the number of outcomes added, or ErrClosed.
func (t *Table[T]) Import(records []Record[T]) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return 0, ErrClosed
	}
	t.expire()
	added := 0
	for _, r := range records {
		if _, known := t.entries[r.Key]; known || len(t.entries) >= t.limit || t.total >= t.limitBytes {
			continue
		}
		e := &entry[T]{key: r.Key, digest: r.Digest, outcome: r.Outcome, keep: true, done: make(chan struct{})}
		close(e.done)
		t.entries[r.Key] = e
		t.retain(e)
		added++
	}
	return added, nil
}

// Len returns the number of keys in the table.
func (t *Table[T]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
