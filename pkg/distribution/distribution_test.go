package distribution

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// A fixed seed makes runs reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func instances(n int) []endpoint.InstanceID {
	var list []endpoint.InstanceID
	for i := range n {
		list = append(list, endpoint.InstanceID(fmt.Sprintf("instance-%05d", i)))
	}
	return list
}

// Guards against cycles, daemons without a path to a root, and parents with too many children, for
// any set of members and holders.
func TestTree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		live := instances(rapid.IntRange(1, 60).Draw(rt, "live"))
		holders := rapid.SliceOfNDistinct(rapid.SampledFrom(instances(80)), 0, Roots, rapid.ID).Draw(rt, "holders")
		order := Order("domain-0", holders, live)
		children := map[endpoint.InstanceID]int{}
		for place, id := range order {
			parents := Parents(id, "domain-0", holders, live)
			if len(parents) == 0 {
				if slices.Contains(holders, id) || place < Roots {
					continue
				}
				rt.Fatalf("%s at place %d has no parent", id, place)
			}
			children[parents[0]]++
			if children[parents[0]] > Fanout || len(parents) > MaxParents {
				rt.Fatalf("%s has %d children, %s has %d parents", parents[0], children[parents[0]], id, len(parents))
			}
			for _, parent := range parents {
				if slices.Index(order, parent) >= place {
					rt.Fatalf("%s at place %d polls %s after it in the order", id, place, parent)
				}
			}
		}
	})
}

// Guards against a tree deeper than the 5 levels that the latency estimate assumes.
func TestTreeDepthAtTarget(t *testing.T) {
	is := is.New(t)
	live := instances(842)
	holders := live[400:402]
	for _, id := range Order("domain-0", holders, live)[800:] { // the deepest daemons
		depth := 0
		for parents := Parents(id, "domain-0", holders, live); len(parents) > 0; parents = Parents(parents[0], "domain-0", holders, live) {
			depth++
		}
		is.True(depth <= 5)
	}
}

// Guards against serving a version below the highest answer, before any answer, or after an answer
// of a member that has itself just started.
func TestFloor(t *testing.T) {
	is := is.New(t)
	var f Floor
	f.AddMember(0)
	is.True(!f.MayServe(9))
	f.AddMember(5)
	f.AddMember(7)
	f.AddMember(6)
	is.True(!f.MayServe(6) && f.MayServe(7) && !f.Exact())
	f.AddPlatform(8)
	is.True(!f.MayServe(7) && f.MayServe(8) && f.Exact())
	var empty Floor
	empty.AddPlatform(0)
	is.True(!empty.MayServe(0) && empty.MayServe(1)) // no version was ever accepted
}

// Guards against a version that decreases and against a delta that is applied to the wrong base.
func TestDecide(t *testing.T) {
	is := is.New(t)
	is.Equal(Decide(5, nil), Ignore)
	for d, want := range map[[2]snapshot.Version]Action{ // base, version
		{4, 5}: Ignore, {0, 4}: Ignore, {5, 7}: Apply, {0, 7}: Apply, {4, 6}: PullFull, {6, 7}: PullFull,
	} {
		is.Equal(Decide(5, &snapshot.Delta{Base: d[0], Version: d[1]}), want)
	}
}

// Guards against pulls before the tree has had time to deliver, and against the choice of a peer
// with an older version.
func TestPullFrom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	list := []Candidate{
		{"a", 6, now.Add(-PullAfter)}, {"b", 8, now.Add(-PullAfter + 1)}, {"c", 7, now.Add(-time.Second)}, {"d", 5, now.Add(-time.Hour)},
	}
	best, ok := PullFrom(now, PullAfter, 5, list)
	is.True(ok)
	is.Equal(best.Instance, endpoint.InstanceID("c"))
	_, ok = PullFrom(now, PullAfter, 7, list)
	is.True(!ok)
}

// Guards against a delta that omits removed or changed services of a manifest.
func TestFromManifest(t *testing.T) {
	is := is.New(t)
	entry := func(name string, b byte) snapshot.ManifestEntry {
		return snapshot.ManifestEntry{Service: name, Hash: snapshot.Hash{b}}
	}
	current := &snapshot.Snapshot{Version: 3, Manifest: snapshot.Manifest{Version: 3, Entries: []snapshot.ManifestEntry{entry("a", 1), entry("b", 1), entry("c", 1)}}}
	m := &snapshot.Manifest{Version: 5, Entries: []snapshot.ManifestEntry{entry("a", 1), entry("c", 2), entry("d", 1)}}
	d := FromManifest(current, m, snapshot.Hash{9})
	is.Equal(d, &snapshot.Delta{Base: 3, Version: 5, ManifestHash: snapshot.Hash{9}, Removed: []string{"b"}, Changed: []snapshot.ManifestEntry{entry("c", 2), entry("d", 1)}})
	is.Equal(FromManifest(nil, m, snapshot.Hash{9}).Changed, m.Entries)
}

// Guards against delays that are too short, exceed the limit, or overflow after many failures.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := Backoff{Base: 100 * time.Millisecond, Max: 2 * time.Second}
	longest := func(n int64) int64 { return n - 1 }
	is.Equal(b.Next(longest), 100*time.Millisecond)
	is.Equal(b.Next(longest), 200*time.Millisecond)
	for range 100 {
		is.True(b.Next(longest) <= b.Max)
	}
	b.Reset()
	is.Equal(b.Next(longest), b.Base)
}

// Guards against a load of seeds that grows with the number of daemons, and against small groups of
// daemons that contact seeds too rarely to merge.
func TestSeedPeriod(t *testing.T) {
	is := is.New(t)
	is.Equal(SeedPeriod(1, 1), minSeedPeriod)
	is.Equal(SeedPeriod(9, 3), minSeedPeriod)
	for _, members := range []int{100, 1000, 16_000} {
		for seeds := 1; seeds <= 3; seeds++ {
			perSeed := float64(members) / float64(SeedPeriod(members, seeds)*seeds)
			is.True(perSeed > 0.45 && perSeed < 0.55) // exchanges at each seed per exchange interval
		}
	}
}
