package store

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

// eventually polls until done returns true. The deadline only ends a test that hangs.
func eventually(t *testing.T, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not reached")
		}
		time.Sleep(time.Millisecond)
	}
}

// abandonAccept runs an accept whose transaction is held up in the platform, and gives up on it.
func abandonAccept(t *testing.T, h *harness, hash snapshot.Hash) Outcome {
	t.Helper()
	h.inject(t, standin.Fault{Store: standin.Table, Kind: standin.Slow, DelayMS: time.Hour.Milliseconds(), Operations: standin.OnlyWrites, Count: 1})
	before := h.platform.Counts(standin.Table).Writes
	ctx, cancel := context.WithCancel(h.ctx)
	defer cancel()
	result := make(chan Outcome, 1)
	go func() {
		outcome, err := h.client.Accept(ctx, admin, "pages", hash, 0, "t1")
		if err != nil {
			t.Error(err)
		}
		result <- outcome
	}()
	eventually(t, func() bool { return h.platform.Counts(standin.Table).Writes > before })
	cancel()
	return <-result
}

// Guards against "failed" or "not accepted" for a write that the slow table applies after the
// operator was answered.
func TestAcceptTakesEffectLate(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(abandonAccept(t, h, h.submit(t, "pages", 12)).State, StateUnknown)
	outcome, err := h.client.Outcome(h.ctx, "t1", 0)
	is.NoErr(err)
	is.Equal(outcome.State, StateUnknown)
	h.platform.ClearFaults()
	eventually(t, func() bool {
		outcome, err = h.client.Outcome(h.ctx, "t1", 0)
		return err == nil && outcome.State == StateAccepted
	})
}

// Guards against a second version when an operator repeats an accept whose first transaction is still
// held up in the platform.
func TestAcceptRepeatedWhileFirstIsHeldUp(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	hash := h.submit(t, "pages", 12)
	is.Equal(abandonAccept(t, h, hash).State, StateUnknown)
	outcome, err := h.client.Accept(h.ctx, admin, "pages", hash, 0, "t1")
	is.NoErr(err)
	is.Equal(outcome.State, StateAccepted)
	h.platform.ClearFaults()
	h.accept(t, "finder", 5, 1, "t2") // has the version after t1, so t1 counts once
	head, err := h.client.Head(h.ctx)
	is.NoErr(err)
	is.Equal(head.Version, snapshot.Version(2))
}

// Guards against an operator left without an answer, or told the wrong one, when another change
// makes an abandoned accept impossible.
func TestAbandonedAcceptIsSettledByAnotherChange(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	hash := h.submit(t, "pages", 12)
	is.Equal(abandonAccept(t, h, hash).State, StateUnknown)
	h.accept(t, "finder", 5, 0, "t2")
	outcome, err := h.client.Outcome(h.ctx, "t1", 0)
	is.NoErr(err)
	is.Equal(outcome.State, StateNotAccepted)
}

// Guards against a changed head, or an untyped or endless failure, while a store is down.
func TestOutage(t *testing.T) {
	for _, store := range []standin.Store{standin.Table, standin.Objects} {
		t.Run(string(store), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			hash := h.submit(t, "pages", 12)
			h.inject(t, standin.Fault{Store: store, Kind: standin.Outage})
			outcome, err := h.client.Accept(h.ctx, admin, "pages", hash, 0, "t1")
			var unavailable *UnavailableError
			is.True(errors.As(err, &unavailable))
			is.True(!unavailable.MayHaveTakenEffect)
			is.Equal(outcome.State, StateNotAccepted)
			h.platform.ClearFaults()
			head, err := h.client.Head(h.ctx)
			is.NoErr(err)
			is.Equal(head.Version, snapshot.Version(0))
			again, err := h.client.Accept(h.ctx, admin, "pages", hash, 0, "t1")
			is.NoErr(err)
			is.Equal(again.State, StateAccepted)
		})
	}
}

// Guards against unbounded retries, which would multiply the load on a platform in trouble.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.inject(t, standin.Fault{Store: standin.Table, Kind: standin.Outage})
	_, err := h.client.Head(h.ctx)
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.Equal(h.platform.Counts(standin.Table).Reads, uint64(DefaultAttempts))
}

// Guards against objects or rows that are written for a version which is then refused.
func TestInvalidVersionWritesNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.accept(t, "finder", 5, 0, "t1")
	hash := h.submit(t, "pages", 12, "no-such-service")
	table, objects := h.platform.Counts(standin.Table).Writes, h.platform.Counts(standin.Objects).Writes
	_, err := h.client.Accept(h.ctx, admin, "pages", hash, 1, "t2")
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Reasons, []string{
		`pages.ini:7: key "depends-on": there is no service "no-such-service"; expected names of services`,
	})
	difference, err := h.client.Difference(h.ctx, "pages")
	is.NoErr(err)
	is.Equal(difference.Reasons, invalid.Reasons) // the operator is warned before accepting
	_, err = h.client.Submit(h.ctx, admin, "pages.ini", []byte("[service"))
	is.True(errors.As(err, &invalid))
	is.Equal(h.platform.Counts(standin.Table).Writes, table)
	is.Equal(h.platform.Counts(standin.Objects).Writes, objects)
}

// Guards against a withdraw that removes a service on which another one depends.
func TestWithdrawChecksTheOtherServices(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.accept(t, "finder", 5, 0, "t1")
	_, err := h.client.Accept(h.ctx, admin, "pages", h.submit(t, "pages", 12, "finder"), 1, "t2")
	is.NoErr(err)
	_, err = h.client.Withdraw(h.ctx, admin, "finder", 0, 2, "t3")
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	outcome, err := h.client.Withdraw(h.ctx, admin, "pages", 0, 2, "t3")
	is.NoErr(err)
	is.True(outcome.Change.Removed)
}

// Guards against one team that changes the service of another, and against a change token that
// stands for two changes.
func TestRefusedChanges(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	ana := Operator{Name: "ana", Services: []string{"pages"}}
	var forbidden *ForbiddenError
	_, err := h.client.Submit(h.ctx, ana, "finder.ini", answersFor("finder", 5))
	is.True(errors.As(err, &forbidden))
	_, err = h.client.Accept(h.ctx, ana, "finder", h.submit(t, "finder", 5), 0, "t1")
	is.True(errors.As(err, &forbidden))
	_, err = h.client.Withdraw(h.ctx, ana, "finder", 1, 0, "t1")
	is.True(errors.As(err, &forbidden))
	h.accept(t, "finder", 5, 0, "t1")
	_, err = h.client.Accept(h.ctx, ana, "pages", h.submit(t, "pages", 12), 1, "t1")
	var reused *TokenReusedError
	is.True(errors.As(err, &reused))
}

// Guards against the acceptance of a draft that somebody replaced after the operator saw it.
func TestReplacedDraftIsNotAccepted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	seen := h.submit(t, "pages", 12)
	h.submit(t, "pages", 6)
	_, err := h.client.Accept(h.ctx, admin, "pages", seen, 0, "t1")
	var changed *DraftChangedError
	is.True(errors.As(err, &changed))
	is.Equal(changed.Current.Operator, "root")
}

// Guards against access with a credential that the table does not hold.
func TestOperatorCredentials(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	ana, err := h.client.Operator(h.ctx, "secret-ana")
	is.NoErr(err)
	is.True(ana.MayRevise("pages") && !ana.MayRevise("finder"))
	for _, token := range []string{"", "secret", snapshot.HashOf([]byte("secret-ana")).String()} {
		_, err := h.client.Operator(h.ctx, token)
		is.True(errors.Is(err, ErrUnknownCredential))
	}
}
