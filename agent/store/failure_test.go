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

// eventually polls until done returns true. The time limit only ends a test that hangs.
func eventually(t *testing.T, done func() bool) {
	t.Helper()
	limit := time.Now().Add(time.Minute)
	for !done() {
		if time.Now().After(limit) {
			t.Fatal("the condition did not become true within one minute")
		}
		time.Sleep(time.Millisecond)
	}
}

// cancelAccept runs an accept whose transaction is delayed in the platform, and cancels the call.
func cancelAccept(t *testing.T, h *harness, hash snapshot.Hash) Outcome {
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

// Guards against reporting "failed" or "not accepted" for a write that a slow table applies after
// the operator has received the outcome.
func TestAcceptTakesEffectLate(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	is.Equal(cancelAccept(t, h, h.submit(t, "pages", 12)).State, StateUnknown)
	outcome, err := h.client.Outcome(h.ctx, "t1", 0)
	is.NoErr(err)
	is.Equal(outcome.State, StateUnknown)
	h.platform.ClearFaults()
	eventually(t, func() bool {
		outcome, err = h.client.Outcome(h.ctx, "t1", 0)
		return err == nil && outcome.State == StateAccepted
	})
}

// Guards against a second version when an operator repeats an accept while the first transaction is
// still delayed in the platform.
func TestAcceptRepeatedWhileFirstIsDelayed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	hash := h.submit(t, "pages", 12)
	is.Equal(cancelAccept(t, h, hash).State, StateUnknown)
	outcome, err := h.client.Accept(h.ctx, admin, "pages", hash, 0, "t1")
	is.NoErr(err)
	is.Equal(outcome.State, StateAccepted)
	h.platform.ClearFaults()
	h.accept(t, "finder", 5, 1, "t2") // accepted on version 1, so t1 took effect only once
	head, err := h.client.Head(h.ctx)
	is.NoErr(err)
	is.Equal(head.Version, snapshot.Version(2))
}

// Guards against an unknown or wrong outcome of a cancelled accept that can no longer take effect
// because another change was accepted.
func TestCancelledAcceptIsResolvedByAnotherChange(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	hash := h.submit(t, "pages", 12)
	is.Equal(cancelAccept(t, h, hash).State, StateUnknown)
	h.accept(t, "finder", 5, 0, "t2")
	outcome, err := h.client.Outcome(h.ctx, "t1", 0)
	is.NoErr(err)
	is.Equal(outcome.State, StateNotAccepted)
}

// Guards against a changed head, an error without a type or endless retries while a store is down.
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

// Guards against unbounded retries, which would multiply the load on a failing platform.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.inject(t, standin.Fault{Store: standin.Table, Kind: standin.Outage})
	_, err := h.client.Head(h.ctx)
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.Equal(h.platform.Counts(standin.Table).Reads, uint64(DefaultAttempts))
}

// Guards against objects or rows written for a version that is invalid.
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
	is.Equal(difference.Reasons, invalid.Reasons) // reported before the operator accepts the draft
	_, err = h.client.Submit(h.ctx, admin, "pages.ini", []byte("[service"))
	is.True(errors.As(err, &invalid))
	is.Equal(h.platform.Counts(standin.Table).Writes, table)
	is.Equal(h.platform.Counts(standin.Objects).Writes, objects)
}

// Guards against a withdraw that removes a service that another service depends on.
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

// Guards against a team changing the service of another team, and against one change token for two
// changes.
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

// Guards against accepting a draft that was replaced after the operator saw it.
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

// Guards against access with a bearer token that has no row in the table.
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
