package idempotency

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func newTestTable(limit int) *Table[string] {
	return NewTable(limit, 1<<20, func(s string) int { return len(s) }, time.Now)
}

var (
	saveKey    = Key{Service: "pages", Kind: "save", Value: "k1"}
	saveDigest = DigestOf("/pages/1", []byte("text"))
)

// Guards against running a save twice when a caller resubmits it while the first submission is
// running.
func TestConcurrentSubmissionsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(10)
		var runs atomic.Int32
		got := make(chan string, 5)
		for range 5 {
			go func() {
				outcome, err := table.Run(t.Context(), saveKey, saveDigest, func() (string, bool) {
					time.Sleep(time.Second)
					return "saved", runs.Add(1) > 0
				})
				is.NoErr(err)
				got <- outcome
			}()
		}
		for range 5 {
			is.Equal(<-got, "saved")
		}
		is.Equal(runs.Load(), int32(1))
	})
}

// Guards against a key that blocks a save permanently after the first submission was refused.
func TestRefusedRunFreesTheKey(t *testing.T) {
	is := is.New(t)
	table := newTestTable(10)
	_, err := table.Run(t.Context(), saveKey, saveDigest, func() (string, bool) { return "refused", false })
	is.NoErr(err)
	outcome, err := table.Run(t.Context(), saveKey, saveDigest, func() (string, bool) { return "saved", true })
	is.NoErr(err)
	is.Equal(outcome, "saved")
}

// Guards against answering a different request with the outcome of an earlier one.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	is := is.New(t)
	table := newTestTable(10)
	_, err := table.Run(t.Context(), saveKey, saveDigest, func() (string, bool) { return "saved", true })
	is.NoErr(err)
	_, err = table.Run(t.Context(), saveKey, DigestOf("/pages/1", []byte("other")), func() (string, bool) {
		t.Error("a mismatched request has run")
		return "", true
	})
	is.True(errors.Is(err, ErrBodyMismatch))
}

// Guards against unbounded growth, and against a full table that removes a key before it expires.
func TestFullTableRefusesAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(1)
		_, err := table.Run(t.Context(), saveKey, saveDigest, func() (string, bool) { return "saved", true })
		is.NoErr(err)
		second := Key{Service: "pages", Kind: "save", Value: "k2"}
		run := func() (string, bool) { return "second", true }
		_, err = table.Run(t.Context(), second, saveDigest, run)
		is.True(errors.Is(err, ErrTableFull))
		time.Sleep(Retention)
		outcome, err := table.Run(t.Context(), second, saveDigest, run)
		is.NoErr(err)
		is.Equal(outcome, "second")
		is.Equal(table.Len(), 1)
	})
}

// Guards against running a save again at the next owner after a graceful stop of the first.
func TestHandoverKeepsOutcomes(t *testing.T) {
	is := is.New(t)
	first, next := newTestTable(10), newTestTable(10)
	_, err := first.Run(t.Context(), saveKey, saveDigest, func() (string, bool) { return "saved", true })
	is.NoErr(err)
	added, err := next.Import(first.Export())
	is.NoErr(err)
	is.Equal(added, 1)
	outcome, err := next.Run(t.Context(), saveKey, saveDigest, func() (string, bool) {
		t.Error("the request has run on the next owner")
		return "again", true
	})
	is.NoErr(err)
	is.Equal(outcome, "saved")
}

// Guards against a submission that waits past its deadline for an earlier one.
func TestWaitingEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(10)
		go func() {
			_, _ = table.Run(t.Context(), saveKey, saveDigest, func() (string, bool) {
				time.Sleep(time.Minute)
				return "saved", true
			})
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := table.Run(ctx, saveKey, saveDigest, func() (string, bool) { return "", true })
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(time.Minute) // lets the first submission end
	})
}

// Guards against not handing over an outcome when its key moves to another daemon, and against
// sending it again at every change.
func TestMisplacedOutcomesAreHandedOverOnce(t *testing.T) {
	is := is.New(t)
	table := newTestTable(10)
	_, err := table.Run(t.Context(), saveKey, saveDigest, func() (string, bool) { return "saved", true })
	is.NoErr(err)
	to := func(names ...string) func(Key) []string { return func(Key) []string { return names } }
	is.Equal(len(table.Misplaced(to())), 0)
	moved := table.Misplaced(to("b"))["b"]
	is.Equal(len(moved), 1)
	is.Equal(moved[0].Outcome, "saved")
	is.Equal(len(table.Misplaced(to("b"))), 1) // the transfer failed
	table.HandedOver(moved, "b")
	is.Equal(len(table.Misplaced(to("b"))), 0)
	both := table.Misplaced(to("b", "c"))
	is.Equal(len(both["b"]), 0)
	is.Equal(len(both["c"]), 1)
}

// Guards against a handover that exceeds the size limit of the next owner.
func TestImportKeepsTheSizeLimit(t *testing.T) {
	is := is.New(t)
	source := newTestTable(10)
	for _, value := range []string{"k1", "k2", "k3"} {
		_, err := source.Run(t.Context(), Key{Value: value}, saveDigest, func() (string, bool) { return "12345678", true })
		is.NoErr(err)
	}
	small := NewTable(10, 10, func(s string) int { return len(s) }, time.Now)
	added, err := small.Import(source.Export())
	is.NoErr(err)
	is.Equal(added, 2) // the second one reaches the limit
}

// Guards against accepting outcomes at a stopping owner after it has handed over its own.
func TestClosedTableRefusesNewKeys(t *testing.T) {
	is := is.New(t)
	table := newTestTable(10)
	run := func() (string, bool) { return "saved", true }
	_, err := table.Run(t.Context(), saveKey, saveDigest, run)
	is.NoErr(err)
	is.Equal(len(table.Close()), 1)
	_, err = table.Import([]Record[string]{{Key: Key{Value: "k2"}}})
	is.True(errors.Is(err, ErrClosed))
	_, err = table.Run(t.Context(), Key{Value: "k2"}, saveDigest, run)
	is.True(errors.Is(err, ErrClosed))
	outcome, err := table.Run(t.Context(), saveKey, saveDigest, run)
	is.NoErr(err)
	is.Equal(outcome, "saved") // stored outcomes are still returned
}
