package store

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

// Guards against a change that does not update the head, and a withdraw that reverts the version or
// does not restore the earlier content.
func TestAcceptAndWithdraw(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	first := h.accept(t, "pages", 12, 0, "t1")
	is.Equal(first.State, StateAccepted)
	second := h.accept(t, "pages", 6, 1, "t2")
	outcome, err := h.client.Withdraw(h.ctx, admin, "pages", 1, 2, "t3")
	is.NoErr(err)
	is.Equal(outcome.Change.Version, snapshot.Version(3))
	is.Equal(outcome.Change.Revision, uint64(3))
	is.Equal(outcome.Change.Hash, first.Change.Hash)
	is.True(second.Change.Hash != first.Change.Hash)
	head, err := h.client.Head(h.ctx)
	is.NoErr(err)
	manifest, err := h.client.Manifest(h.ctx, head.Manifest)
	is.NoErr(err)
	is.Equal(manifest.Version, snapshot.Version(3))
	is.Equal(manifest.Entries[0].Hash, first.Change.Hash)
}

// Guards against a lost update when two operators accept on the same version concurrently: one must
// succeed, and the other must receive the conflicting change.
func TestConcurrentAccepts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	pages, finder := h.submit(t, "pages", 12), h.submit(t, "finder", 5)
	results := make(chan error, 2)
	go func() {
		_, err := h.client.Accept(h.ctx, admin, "pages", pages, 0, "t1")
		results <- err
	}()
	go func() {
		_, err := h.client.Accept(h.ctx, admin, "finder", finder, 0, "t2")
		results <- err
	}()
	first, second := <-results, <-results
	if first == nil {
		first, second = second, first
	}
	is.NoErr(second)
	var conflict *ConflictError
	is.True(errors.As(first, &conflict))
	is.Equal(conflict.Current, snapshot.Version(1))
	is.Equal(len(conflict.Changes), 1)
}

// Guards against reporting failure for an accept whose response was lost, and against such an
// accept taking effect twice.
func TestAcceptResponseLost(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	hash := h.submit(t, "pages", 12)
	before := h.platform.Counts(standin.Table).Writes
	h.inject(t, standin.Fault{Store: standin.Table, Kind: standin.LoseResponse, Operations: standin.OnlyWrites, Count: 1})
	outcome, err := h.client.Accept(h.ctx, admin, "pages", hash, 0, "t1")
	is.NoErr(err)
	is.Equal(outcome.State, StateAccepted)
	is.Equal(h.platform.Counts(standin.Table).Writes-before, uint64(1)) // the transaction is sent once
	again, err := h.client.Accept(h.ctx, admin, "pages", hash, 0, "t1")
	is.NoErr(err)
	is.Equal(again.State, StateAccepted)
	head, err := h.client.Head(h.ctx)
	is.NoErr(err)
	is.Equal(head.Version, snapshot.Version(1))
}

// Guards against a difference that does not compare the draft with the configuration in force, and
// against showing a service with other answers than the accepted ones.
func TestShowAndDifference(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.accept(t, "pages", 12, 0, "t1")
	h.submit(t, "pages", 12)
	same, err := h.client.Difference(h.ctx, "pages")
	is.NoErr(err)
	h.submit(t, "pages", 6)
	other, err := h.client.Difference(h.ctx, "pages")
	is.NoErr(err)
	is.Equal(other.Version, snapshot.Version(1))
	is.Equal(len(other.Reasons), 0)
	is.True(len(other.Lines) > 0 && !slices.Equal(same.Lines, other.Lines))
	shown, err := h.client.Service(h.ctx, "pages")
	is.NoErr(err)
	is.Equal(string(shown.Answers), string(answersFor("pages", 12)))
	is.Equal(shown.Config.Slots, 12)
	status, err := h.client.Status(h.ctx)
	is.NoErr(err)
	is.Equal(status.Head.Version, snapshot.Version(1))
	is.Equal(len(status.Drafts), 1)
}
