package idempotency

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// yieldPause is how long a submission that yielded to another daemon waits until it checks again.
const yieldPause = 10 * time.Millisecond

// ErrYield is returned by a Check if another daemon checks the same key and goes first. The submission
// is checked again.
var ErrYield = errors.New("another daemon checks the same idempotency key")

// ErrTooManyMoved is returned by Lookup if no more keys can be noted as moved.
var ErrTooManyMoved = errors.New("too many idempotency keys have moved")

// Peer is another daemon that owns keys.
type Peer struct {
	Name string
	// Addr is its address for net/rpc.
	Addr string
}

// State is what a table knows about a key.
type State uint8

// The states of a key. The zero value is not a state.
const (
	// Free: the key is not known here, and its next submission here asks the daemon that got this answer.
	Free State = iota + 1
	// Checking: the run of the key has not started; other daemons are asked first.
	Checking
	// Running: the run has started.
	Running
	// Held: the outcome is known.
	Held
)

// Check looks for the outcome of a key at other daemons before its run. movedTo is the daemon that was
// told that the key is free here, if there is one. An error forbids the run.
type Check[T any] func(movedTo Peer) (r Record[T], found bool, err error)

// movedKey is a key that to was told is free.
type movedKey struct {
	key     Key
	to      Peer
	expires time.Time
}

// settle ends the checking of a claimed entry. It reports whether the request may run; if not and
// without an error, the entry has the outcome of another daemon.
func (t *Table[T]) settle(e *entry[T], check Check[T]) (free bool, err error) {
	t.mu.Lock()
	movedTo := t.moved[e.key].to
	t.mu.Unlock()
	var r Record[T]
	var found bool
	err = errors.New("the check of an idempotency key panicked")
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.asking = false
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

// Lookup tells asker, the daemon that is about to run key, what this table knows about it. While the
// key is in progress it waits until ctx ends. It returns the outcome with Held.
//
// Errors: ErrTooManyMoved; asker must not take the key for free then.
func (t *Table[T]) Lookup(ctx context.Context, key Key, asker Peer) (State, Record[T], error) {
	for {
		e, state, err := t.look(key, asker)
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

func (t *Table[T]) look(key Key, asker Peer) (*entry[T], State, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	e, ok := t.entries[key]
	switch {
	case !ok:
		return nil, Free, t.move(key, asker)
	case e.asking:
		return e, Checking, nil
	case e.ended():
		return e, Held, nil
	}
	return e, Running, nil
}

// move notes that asker may run key.
func (t *Table[T]) move(key Key, asker Peer) error {
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
	noted := movedKey{key, asker, now.Add(Retention)}
	t.moved[key] = noted
	t.movedOrder = append(t.movedOrder, noted)
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

// wait returns when the run of e has ended, or with the error of ctx.
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

// match returns ErrBodyMismatch if the outcome of e is that of a request other than digest.
func (e *entry[T]) match(digest Digest) error {
	if e.digest != digest {
		return ErrBodyMismatch
	}
	return nil
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(yieldPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
