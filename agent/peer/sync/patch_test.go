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

// storeAt returns a Store with the versions from first to last in its history.
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

// Guards against patches that decode to other objects than those encoded, against a cached delta
// that is returned for another base or version, and against encoding that modifies the sender's
// snapshot.
func TestPatchDelta(t *testing.T) {
	is := is.New(t)
	sender := storeAt(is, 4, 6)
	server := &Server{store: sender}
	for _, have := range []snapshot.Version{5, 4, 5} {
		data, err := server.patchDelta(sender.recent(have))
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

// Guards against a delta of patches with an unknown base or damaged content that is applied instead
// of refused, so that a complete delta is requested, and against objects of unlimited size.
func TestInvalidPatchDelta(t *testing.T) {
	is := is.New(t)
	sender := storeAt(is, 4, 6)
	data, err := (&Server{store: sender}).patchDelta(sender.recent(5))
	is.NoErr(err)
	f := &Follower{cfg: Config{Store: storeAt(is, 3, 4)}}
	_, err = f.readDelta(&PollReply{Delta: data, Patches: true})
	is.Equal(err, ErrBaseMismatch)

	d, err := decodeDelta(data)
	is.NoErr(err)
	receiver := storeAt(is, 4, 5)
	d.Objects[0] = []byte{0xff}
	is.True(receiver.decodePatches(d) != nil)
	w, err := zstd.NewWriter(nil)
	is.NoErr(err)
	bomb, err := cbor.Marshal(patch{Middle: w.EncodeAll(make([]byte, snapshot.MaxObjectBytes+1), nil)})
	is.NoErr(err)
	d.Objects[0] = bomb
	is.True(receiver.decodePatches(d) != nil)
}

// Guards against a patch of several kilobytes for a few bytes that change in different places of a
// large service. Each daemon gets the patch of each version.
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
	data, err := encodePatch(base, object)
	is.NoErr(err)
	is.True(len(data) < len(base)/100) // four of 2000 routes are changed
	got, err := decodePatch(base, data)
	is.NoErr(err)
	is.True(bytes.Equal(got, object))
	for _, small := range [][]byte{nil, []byte("a"), base[:70]} {
		data, err := encodePatch(small, object)
		is.NoErr(err)
		got, err := decodePatch(small, data)
		is.NoErr(err)
		is.True(bytes.Equal(got, object))
	}
}

// Guards against uncompressed complete deltas, which are sent to every daemon at a start of all of
// them or after a large change, and against one that a daemon without a configuration cannot
// decode.
func TestCompletePatchDelta(t *testing.T) {
	is := is.New(t)
	server := &Server{store: storeAt(is, 4, 6), fullSyncs: make(chan struct{}, maxFullSyncs)}
	for _, args := range []PollArgs{{Full: true, Patches: true}, {Have: 2, Patches: true}} {
		var reply PollReply
		is.NoErr(server.addDelta(args, &reply))
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

// Guards against records that are sent uncompressed, and against an answer that exhausts the memory
// when decompressed.
func TestCompressedEntries(t *testing.T) {
	is := is.New(t)
	var entries []membership.Entry
	for n := range 80 {
		entries = append(entries, membership.Entry{Record: endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprintf("sidecar-zone-a-%d", n)), Domain: "zone-a", Service: "pages", Incarnation: uint64(n + 1), State: endpoint.Ready,
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
	is.Equal(got.entries, entries)
	w, err := zstd.NewWriter(nil)
	is.NoErr(err)
	_, err = codec.decode(w.EncodeAll(make([]byte, maxEntryBytes+1), nil))
	is.True(err != nil)
	got, err = codec.decode(text) // from a daemon of an earlier release
	is.NoErr(err)
	is.Equal(got.entries, entries)
	_, err = codec.decode([]byte{0xff, 1, 2})
	is.True(err != nil)
}

// Guards against patches sent to daemons of an earlier release, which cannot decode them, during a
// rolling restart.
func TestDeltaWithoutPatches(t *testing.T) {
	runCluster(t, 3, 4, func(is *is.I, c *cluster) {
		c.setHead(5)
		c.waitUntil("change", changeLimit, c.daemons, inForce(5))
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
