package main

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a baseline that orders its queue by another policy than the one it is named after.
func TestQueueOrder(t *testing.T) {
	for policy, want := range map[string][]int{policyFIFO: {5, 1, 3}, policyStrict: {1, 3, 5}} {
		is := is.New(t)
		q := newQueue(policy, 1)
		is.True(q.enter(t.Context(), 9)) // takes the slot
		var waiting []*waiter
		for _, rank := range []int{5, 1, 3} {
			waiting = append(waiting, q.push(rank))
		}
		var got []int
		for range want {
			q.leave()
			for _, w := range waiting {
				select {
				case <-w.granted:
					got = append(got, w.rank)
				default:
				}
			}
		}
		is.Equal(got, want)
	}
}

// Guards against a baseline that loses slots to callers who have given up, and against a queue
// without bound.
func TestQueueGivesSlotsBack(t *testing.T) {
	is := is.New(t)
	q := newQueue(policyFIFO, 1)
	is.True(q.enter(t.Context(), 1))
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!q.enter(gone, 1))
	for range queuePerSlot {
		q.push(1)
	}
	is.True(!q.enter(t.Context(), 1)) // the queue is full
	for range queuePerSlot + 1 {
		q.leave()
	}
	is.Equal(q.running, 0)
}
