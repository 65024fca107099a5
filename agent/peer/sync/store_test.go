package sync

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// With a fixed seed each run checks the same histories and gives the same result. The flags
// -rapid.seed and -rapid.checks override the values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
}

func snapshotOf(v snapshot.Version) *snapshot.Snapshot {
	return &snapshot.Snapshot{Version: v, ManifestHash: hashOf("manifest", uint64(v)), Manifest: *manifestOf(v)}
}

// Guards against a version that decreases, or a delta that is applied to another base, if updates
// are reordered or duplicated. A refused delta must leave the snapshot unchanged.
func TestReorderedUpdates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		codec := &fakeCodec{refuse: map[snapshot.Version]bool{5: true}}
		s := NewStore(codec)
		for range rapid.IntRange(1, 40).Draw(rt, "updates") {
			from := rapid.Uint64Range(0, 8).Draw(rt, "base")
			to := rapid.Uint64Range(from+1, 9).Draw(rt, "version")
			var base *snapshot.Snapshot
			if from > 0 {
				base = snapshotOf(snapshot.Version(from))
			}
			d, _ := codec.Delta(base, snapshotOf(snapshot.Version(to)))
			before := s.Load()
			changed := s.Changed()
			next, err := s.Apply(d)
			fits := s.codec == codec && d.Version > version(before) && (d.Base == 0 || d.Base == version(before)) && d.Version != 5
			if (next != nil) != fits || (next != nil) != isClosed(changed) {
				rt.Fatalf("delta %d to %d on %d: %v, %v", d.Base, d.Version, version(before), next, err)
			}
			if !fits && s.Load() != before {
				rt.Fatalf("refused delta changed the snapshot from %v to %v", before, s.Load())
			}
		}
	})
}

func version(s *snapshot.Snapshot) snapshot.Version {
	if s == nil {
		return 0
	}
	return s.Version
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against an unlimited number of concurrent full syncs: beyond maxFullSyncs they are
// answered with a retry delay.
func TestFullSyncsAreBounded(t *testing.T) {
	runCluster(t, 3, 3, func(is *is.I, c *cluster) {
		d := c.daemons[0]
		server := &service{Server: NewServer(d.Follower), ctx: context.Background()}
		for range maxFullSyncs {
			is.True(server.tryBeginFullSync())
		}
		var reply PollReply
		is.NoErr(server.Poll(PollArgs{Full: true}, &reply))
		is.True(reply.RetryAfter >= minRetryAfter && reply.RetryAfter <= maxRetryAfter)
		is.Equal(len(reply.Delta), 0)
		var exchange ExchangeReply
		is.NoErr(server.Exchange(ExchangeArgs{}, &exchange))
		is.True(exchange.RetryAfter >= minRetryAfter)
		is.Equal(len(exchange.Peers), 3)
		server.endFullSync()
		reply = PollReply{}
		is.NoErr(server.Poll(PollArgs{Full: true}, &reply))
		is.True(len(reply.Delta) > 0)
	})
}

// Guards against a daemon that applies a delta whose base differs from its version, instead of
// requesting a complete one.
func TestOtherBaseLeadsToFullSync(t *testing.T) {
	runCluster(t, 3, 9, func(is *is.I, c *cluster) {
		peer := c.daemons[0]
		d, err := c.codec.Delta(snapshotOf(8), snapshotOf(9))
		is.NoErr(err)
		fresh := NewStore(c.codec)
		_, err = fresh.Apply(mustComplete(c.codec, 7))
		is.NoErr(err)
		_, err = fresh.Apply(d)
		is.Equal(err, ErrBaseMismatch)
		f := NewFollower(Config{Self: peer.record, Members: peer, Store: fresh, Dial: c.daemons[1].connect, Log: peer.cfg.Log})
		is.NoErr(f.pullFrom(context.Background(), peer.record.RPCAddr))
		is.Equal(fresh.Version(), snapshot.Version(9))
		time.Sleep(time.Second)
	})
}

func mustComplete(c *fakeCodec, v snapshot.Version) *snapshot.Delta {
	d, err := c.Delta(nil, snapshotOf(v))
	if err != nil {
		panic(err)
	}
	return d
}

// Guards against input from a peer that crashes the decoders.
func FuzzDecode(f *testing.F) {
	data, err := encodeDelta(mustComplete(&fakeCodec{}, 4))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x81, 0xa0})
	codec := newEntryCodec()
	f.Fuzz(func(_ *testing.T, data []byte) {
		if d, err := decodeDelta(data); err == nil {
			store := NewStore(&fakeCodec{})
			_, _ = store.Apply(d)
			_ = store.decodePatches(d)
		}
		_, _ = codec.decode(data)
	})
}
