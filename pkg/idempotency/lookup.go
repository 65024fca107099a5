package idempotency

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// yieldDelay is the time after which a submission that yielded to another daemon checks again.
const yieldDelay = 10 * time.Millisecond

// ErrYield is returned by a Check if another daemon is checking the same key and has precedence.
// The submission is checked again.
var ErrYield = errors.New("another daemon checks the same idempotency key")

// ErrTooManyMoved is returned by Lookup if no more keys can be recorded as moved.
var ErrTooManyMoved = errors.New("too many idempotency keys have moved")

// Peer is another daemon that owns keys.
type Peer struct {
	Name string
	// Addr is its net/rpc address.
	Addr string
}

// State is the state of a key in a table.
type State uint8

// The states of a key. The zero value is not a state.
const (
	// Free: the key is not in this table. Its next submission here queries the daemon that received
	// this state first.
	Free State = iota + 1
	// Checking: the run of the key has not started; other daemons are queried first.
	Checking
	// Running: the run has started.
	Running
	// Held: the outcome is known.
	Held
)

// Check looks up the outcome of a key at other daemons before its run. movedTo is the daemon that
// received Free for the key from this table, if any. An error prevents the run.
type Check[T any] func(movedTo Peer) (r Record[T], found bool, err error)

// movedKey is a key for which the daemon to received Free.
type movedKey struct {
	key     Key
	to      Peer
	expires time.Time
}

// resolveCheck calls check for a reserved entry. It reports whether the request may run; if it may
// not and there is no error, the entry has the outcome from another daemon.
func (t *Table[T]) resolveCheck(e *entry[T], check Check[T]) (free bool, err error) {
	t.mu.Lock()
	movedTo := t.moved[e.key].to
	t.mu.Unlock()
	var r Record[T]
	var found bool
	err = errors.New("the check of an idempotency key panicked")
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.checking = false
		switch {
		case err == nil && found:
			e.digest, e.outcome, e.keep = r.Digest, r.Outcome, true
			t.retain(e)
			close(e.done)
		case err != nil:
			delete(t.entries, e.key)
			close(e.done)
		default:
			delete(t.moved, e.key)
		}
	}()
	r, found, err = check(movedTo)
	return err == nil && !found, err
}

// Lookup returns the state of key for requester, the daemon that is about to run it. While the key is
// in progress it waits until ctx ends. With Held it returns the outcome.
//
// Errors: ErrTooManyMoved; requester must not treat the key as free then.
func (t *Table[T]) Lookup(ctx context.Context, key Key, requester Peer) (State, Record[T], error) {
	for {
		e, state, err := t.find(key, requester)
		if err != nil || state == Free {
			return state, Record[T]{}, err
		}
		if state == Held {
			return Held, e.record(), nil
		}
		if e.wait(ctx) != nil {
			return state, Record[T]{}, nil
		}
	}
}

func (t *Table[T]) find(key Key, requester Peer) (*entry[T], State, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	e, ok := t.entries[key]
	switch {
	case !ok:
		return nil, Free, t.recordMoved(key, requester)
	case e.checking:
		return e, Checking, nil
	case e.ended():
		return e, Held, nil
	}
	return e, Running, nil
}

// recordMoved records that requester may run key.
func (t *Table[T]) recordMoved(key Key, requester Peer) error {
	now := t.now()
	for len(t.movedOrder) > 0 && !now.Before(t.movedOrder[0].expires) {
		if first := t.movedOrder[0]; t.moved[first.key] == first {
			delete(t.moved, first.key)
		}
		t.movedOrder = t.movedOrder[1:]
	}
	if len(t.movedOrder) >= t.limit {
		return ErrTooManyMoved
	}
	moved := movedKey{key, requester, now.Add(Retention)}
	t.moved[key] = moved
	t.movedOrder = append(t.movedOrder, moved)
	return nil
}

func (e *entry[T]) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// wait returns nil when the run of e has ended, or the error of ctx.
func (e *entry[T]) wait(ctx context.Context) error {
	select {
	case <-e.done:
		return nil
	default:
	}
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// match returns ErrBodyMismatch if the outcome of e is that of a request with another digest.
func (e *entry[T]) match(digest Digest) error {
	if e.digest != digest {
		return ErrBodyMismatch
	}
	return nil
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(yieldDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
