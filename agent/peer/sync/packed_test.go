package sync

import (
	"bytes"
	"compress/flate"
	"context"
	"testing"

	"github.com/matryer/is"

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
		d, err := f.readDelta(&PollReply{Delta: data, Packed: true})
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
	_, err = f.readDelta(&PollReply{Delta: data, Packed: true})
	is.Equal(err, ErrOtherBase)

	d, err := decodeDelta(data)
	is.NoErr(err)
	receiver := storeAt(is, 4, 5)
	d.Objects[0] = []byte{0xff}
	is.True(receiver.unpack(d) != nil)
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	is.NoErr(err)
	_, err = w.Write(make([]byte, snapshot.MaxObjectBytes+1))
	is.NoErr(err)
	is.NoErr(w.Close())
	d.Objects[0] = b.Bytes()
	is.True(receiver.unpack(d) != nil)
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
		is.True(!reply.Packed)
		d, err := decodeDelta(reply.Delta)
		is.NoErr(err)
		next, err := storeAt(is, 4, 4).Apply(d)
		is.NoErr(err)
		is.Equal(next.Version, snapshot.Version(5))
	})
}
