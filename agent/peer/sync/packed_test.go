package sync

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// storeAt returns a Store with the versions from first to last.
func storeAt(is *is.I, first, last snapshot.Version) *Store {
	store := NewStore(&fakeCodec{})
	_, err := store.Apply(mustComplete(&fakeCodec{}, first))
	is.NoErr(err)
	for v := first + 1; v <= last; v++ {
		d, err := store.codec.Delta(snapshotOf(v-1), snapshotOf(v))
		is.NoErr(err)
		_, err = store.Apply(d)
		is.NoErr(err)
	}
	return store
}

// Guards against packed deltas that give other objects than the ones sent, against a cached one that is
// returned for another base or version, and against a sender's snapshot changed by packing.
func TestPackedDelta(t *testing.T) {
	is := is.New(t)
	sender := storeAt(is, 4, 6)
	server := &Server{store: sender}
	for _, have := range []snapshot.Version{5, 4, 5} {
		data, err := server.packed(sender.recent(have))
		is.NoErr(err)
		f := &Follower{cfg: Config{Store: storeAt(is, 4, have)}}
		d, err := f.readDelta(&PollReply{Delta: data, Patches: true})
		is.NoErr(err)
		next, err := f.cfg.Store.Apply(d)
		is.NoErr(err)
		is.Equal(next.Manifest, *manifestOf(6))
	}
	is.Equal(sender.Load().Manifest, *manifestOf(6))
}

// Guards against a packed delta for a base that the receiver does not know, or damaged on the way, that
// ends the distribution instead of leading to a complete delta, and against objects without bound.
func TestPackedDeltaRefused(t *testing.T) {
	is := is.New(t)
	sender := storeAt(is, 4, 6)
	data, err := (&Server{store: sender}).packed(sender.recent(5))
	is.NoErr(err)
	f := &Follower{cfg: Config{Store: storeAt(is, 3, 4)}}
	_, err = f.readDelta(&PollReply{Delta: data, Patches: true})
	is.Equal(err, ErrBaseMismatch)

	d, err := decodeDelta(data)
	is.NoErr(err)
	receiver := storeAt(is, 4, 5)
	d.Objects[0] = []byte{0xff}
	is.True(receiver.unpack(d) != nil)
	w, err := zstd.NewWriter(nil)
	is.NoErr(err)
	bomb, err := cbor.Marshal(patch{Middle: w.EncodeAll(make([]byte, snapshot.MaxObjectBytes+1), nil)})
	is.NoErr(err)
	d.Objects[0] = bomb
	is.True(receiver.unpack(d) != nil)
}

// Guards against a patch of some kilobytes for a few bytes that change in different places of a large service, which
// each daemon gets for each version.
func TestPatchOfScatteredChanges(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var base []byte
	for range 2000 {
		base = fmt.Appendf(base, "route r-%07x host%d.example /%07x/ 1500 500 2;", rng.Uint32()>>4, rng.IntN(20), rng.Uint32()>>4)
	}
	object := bytes.Clone(base)
	for n := range 4 {
		at := (n + 1) * len(base) / 6
		object = slices.Concat(object[:at], []byte("changed"), object[at+3:])
	}
	data, err := packObject(base, object)
	is.NoErr(err)
	is.True(len(data) < len(base)/100) // four of 2000 routes have changed
	got, err := unpackObject(base, data)
	is.NoErr(err)
	is.True(bytes.Equal(got, object))
	for _, small := range [][]byte{nil, []byte("a"), base[:70]} {
		data, err := packObject(small, object)
		is.NoErr(err)
		got, err := unpackObject(small, data)
		is.NoErr(err)
		is.True(bytes.Equal(got, object))
	}
}

// Guards against complete deltas in full, which a start of all daemons and a large change multiply by their number,
// and against one that a daemon without a configuration cannot read.
func TestPackedCompleteDelta(t *testing.T) {
	is := is.New(t)
	server := &Server{store: storeAt(is, 4, 6), full: make(chan struct{}, maxFullSyncs)}
	for _, args := range []PollArgs{{Full: true, Patches: true}, {Have: 2, Patches: true}} {
		var reply PollReply
		is.NoErr(server.answer(args, &reply))
		is.True(reply.Patches)
		f := &Follower{cfg: Config{Store: NewStore(&fakeCodec{})}}
		d, err := f.readDelta(&reply)
		is.NoErr(err)
		is.Equal(d.Base, snapshot.Version(0))
		next, err := f.cfg.Store.Apply(d)
		is.NoErr(err)
		is.Equal(next.Manifest, *manifestOf(6))
	}
}

// Guards against records that are sent in full, and against an answer that fills the memory.
func TestCompressedEntries(t *testing.T) {
	is := is.New(t)
	var entries []membership.Entry
	for n := range 80 {
		entries = append(entries, membership.Entry{Record: endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprintf("sidecar-zone-a-%d", n)), Domain: "zone-a", Service: "pages", Incarnation: uint64(n),
			CallAddr: fmt.Sprintf("10.0.0.%d:7000", n), RPCAddr: fmt.Sprintf("10.0.0.%d:7001", n), ProbeAddr: fmt.Sprintf("10.0.0.%d:7001", n),
		}})
	}
	codec := newEntryCodec()
	data, err := codec.encode(entries)
	is.NoErr(err)
	text, err := cbor.Marshal(entries)
	is.NoErr(err)
	is.True(3*len(data) < len(text))
	got, err := codec.decode(data)
	is.NoErr(err)
	is.Equal(got, entries)
	w, err := zstd.NewWriter(nil)
	is.NoErr(err)
	_, err = codec.decode(w.EncodeAll(make([]byte, maxEntryBytes+1), nil))
	is.True(err != nil)
	got, err = codec.decode(text) // from a daemon of an earlier version
	is.NoErr(err)
	is.Equal(got, entries)
	_, err = codec.decode([]byte{0xff, 1, 2})
	is.True(err != nil)
}

// Guards against daemons of an earlier version, which cannot read packed objects, during a rolling
// restart.
func TestUnpackedDelta(t *testing.T) {
	run(t, 3, 4, func(is *is.I, c *cluster) {
		c.accept(5)
		c.until("change", changeLimit, c.daemons, at(5))
		server := &service{Server: NewServer(c.daemons[0].Follower), ctx: context.Background()}
		var reply PollReply
		is.NoErr(server.Poll(PollArgs{Have: 4}, &reply))
		is.True(!reply.Patches)
		d, err := decodeDelta(reply.Delta)
		is.NoErr(err)
		next, err := storeAt(is, 4, 4).Apply(d)
		is.NoErr(err)
		is.Equal(next.Version, snapshot.Version(5))
	})
}
