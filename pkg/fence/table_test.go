package fence

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against running a request after its fence, which arrived first, was answered with
// NeverWillRun.
func TestFenceOvertakesRequest(t *testing.T) {
	is := is.New(t)
	table := NewTable(4)
	id := AttemptID{Sender: 1, Seq: 7}
	is.Equal(table.Fence(id), NeverWillRun)
	is.True(!table.Arrive(id, nil))
	is.True(!table.Start(id))
}

// Guards against a fence that leaves a waiting request in the queue.
func TestFenceCancelsWaiting(t *testing.T) {
	is := is.New(t)
	table := NewTable(4)
	id := AttemptID{Sender: 1, Seq: 7}
	cancelled := 0
	is.True(table.Arrive(id, func() { cancelled++ }))
	is.Equal(table.Lookup(id), Unknown)
	is.Equal(table.Fence(id), NeverWillRun)
	is.Equal(table.Fence(id), NeverWillRun)
	is.Equal(cancelled, 1)
	is.True(!table.Start(id))
}

// Guards against running a duplicate, and against the answer NeverWillRun for a finished attempt.
func TestDuplicateAfterFinish(t *testing.T) {
	is := is.New(t)
	table := NewTable(4)
	id := AttemptID{Sender: 1, Seq: 7}
	is.True(table.Arrive(id, nil))
	is.True(table.Start(id))
	table.Finish(id)
	is.True(!table.Arrive(id, nil))
	is.Equal(table.Fence(id), HasStarted)
}

// Guards against running a late request whose fence was evicted, and against the answer
// NeverWillRun for an attempt that has run and was evicted.
func TestEvictedFenceHolds(t *testing.T) {
	is := is.New(t)
	table := NewTable(1)
	ran, late := AttemptID{Sender: 1, Seq: 5}, AttemptID{Sender: 1, Seq: 6}
	is.True(table.Arrive(ran, nil))
	is.True(table.Start(ran))
	table.Finish(ran)
	is.Equal(table.Fence(late), NeverWillRun)
	is.Equal(table.Fence(AttemptID{Sender: 1, Seq: 7}), NeverWillRun)
	is.True(!table.Arrive(late, nil))
	is.Equal(table.Fence(late), NeverWillRun)
	is.Equal(table.Fence(ran), Unknown)
	is.True(table.Arrive(AttemptID{Sender: 2, Seq: 1}, nil)) // other senders are not affected
}

// Guards against any interleaving of arrive, start, finish, fence and eviction in which an attempt
// starts after the answer NeverWillRun, starts twice, or gets that answer although it has started.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(rapid.IntRange(1, 4).Draw(t, "limit"))
		starts := map[AttemptID]int{}
		neverWillRun := map[AttemptID]bool{}
		attempts := rapid.Custom(func(t *rapid.T) AttemptID {
			return AttemptID{rapid.Uint64Range(1, 2).Draw(t, "sender"), rapid.Uint64Range(1, 6).Draw(t, "seq")}
		})
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) { table.Arrive(attempts.Draw(t, "id"), nil) },
			"finish": func(t *rapid.T) { table.Finish(attempts.Draw(t, "id")) },
			"start": func(t *rapid.T) {
				if id := attempts.Draw(t, "id"); table.Start(id) {
					starts[id]++
				}
			},
			"fence": func(t *rapid.T) {
				id := attempts.Draw(t, "id")
				neverWillRun[id] = neverWillRun[id] || table.Fence(id) == NeverWillRun
			},
			"lookup": func(t *rapid.T) {
				id := attempts.Draw(t, "id")
				neverWillRun[id] = neverWillRun[id] || table.Lookup(id) == NeverWillRun
			},
			"": func(t *rapid.T) {
				for id, n := range starts {
					if n > 1 || neverWillRun[id] {
						t.Fatalf("attempt %v: %d starts, answered never-will-run: %v", id, n, neverWillRun[id])
					}
				}
			},
		})
	})
}
