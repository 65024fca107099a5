package store

import (
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

// Guards against a missing call of Committed for a version that this client accepted or withdrew,
// also if the response of the platform was lost, and against calls for a repeated or refused
// request.
func TestCommitted(t *testing.T) {
	is := is.New(t)
	var committed []Content
	h := newHarness(t, func(c *Config) { c.Committed = func(content Content) { committed = append(committed, content) } })
	isHead := func(v snapshot.Version) {
		t.Helper()
		is.Equal(len(committed), int(v))
		last := committed[v-1]
		built, err := snapshot.Build(&last.Manifest, last.Objects)
		is.NoErr(err)
		head, err := h.client.Head(h.ctx)
		is.NoErr(err)
		is.Equal(head.Version, v)
		is.Equal(built.ManifestHash, head.Manifest)
		is.Equal(last.Hash, head.Manifest)
	}
	h.accept(t, "pages", 4, 0, "t1")
	isHead(1)
	draft := h.submit(t, "finder", 4)
	h.inject(t, standin.Fault{Store: standin.Table, Kind: standin.LoseResponse, Operations: standin.OnlyWrites, Count: 1})
	_, err := h.client.Accept(h.ctx, admin, "finder", draft, 1, "t2")
	is.NoErr(err)
	isHead(2)
	_, err = h.client.Withdraw(h.ctx, admin, "pages", 0, 2, "t3")
	is.NoErr(err)
	isHead(3)

	_, err = h.client.Accept(h.ctx, admin, "finder", draft, 1, "t2") // a repetition
	is.NoErr(err)
	_, err = h.client.Withdraw(h.ctx, admin, "finder", 0, 2, "t4") // a conflict
	is.True(err != nil)
	is.Equal(len(committed), 3)
}
