package main

import (
	"context"
	"slices"
	"sync"
)

// queuePerSlot is the length of the queue of a baseline for each slot, the same as the default of
// pkg/admission.
const queuePerSlot = 32

// queue is the bounded queue of a baseline in front of a number of slots.
type queue struct {
	slots int
	// ranked orders the queue by rank; otherwise it is first in, first out.
	ranked bool

	mu      sync.Mutex
	running int
	waiting []*waiter
}

// waiter is a request in the queue. granted receives whether it got a slot.
type waiter struct {
	rank    int
	granted chan bool
}

func newQueue(policy string, slots int) *queue {
	return &queue{slots: slots, ranked: policy == policyStrict}
}

// enter waits for a slot and reports whether it got one; after true, leave has to be called. It
// returns false when ctx ends or when a full queue drops the request, which is the last in order.
func (q *queue) enter(ctx context.Context, rank int) bool {
	w := q.push(rank)
	select {
	case ok := <-w.granted:
		return ok
	case <-ctx.Done():
	}
	if q.remove(w) {
		return false
	}
	if <-w.granted { // decided at the same moment
		q.leave()
	}
	return false
}

func (q *queue) push(rank int) *waiter {
	w := &waiter{rank: rank, granted: make(chan bool, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running < q.slots {
		q.running++
		w.granted <- true
		return w
	}
	i := len(q.waiting)
	for q.ranked && i > 0 && rank < q.waiting[i-1].rank {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, w)
	if n := len(q.waiting); n > q.slots*queuePerSlot {
		q.waiting[n-1].granted <- false
		q.waiting = q.waiting[:n-1]
	}
	return w
}

func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// leave gives a slot back.
func (q *queue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	q.waiting[0].granted <- true
	q.waiting = q.waiting[1:]
}
