package snapshot

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newRoute(name, host, prefix string, split ...Destination) Route {
	return Route{
		Kind: Kind{Name: name, PathPrefix: prefix, Rank: 1, Deadline: time.Second}, Host: host,
		Target: time.Second, MaxAttempts: 2, Split: split,
	}
}

func snapshotWithRoutes(t *testing.T, version Version, routes map[string][]Route, limits *Limits) *Snapshot {
	t.Helper()
	var services []*Service
	for _, name := range []string{"finder", "pages"} {
		services = append(services, &Service{Name: name, Team: "ops", Connections: 10, Routes: routes[name]})
	}
	s, err := Assemble(version, services, limits)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// FindRoute must not return a route of another host, a route whose prefix does not match the path,
// or a route with a shorter prefix than another match.
func TestFindRoute(t *testing.T) {
	is := is.New(t)
	s := snapshotWithRoutes(t, 3, map[string][]Route{
		"pages":  {newRoute("all", "wiki", "/"), newRoute("save", "wiki", "/save/")},
		"finder": {newRoute("deep", "wiki", "/save/draft/"), newRoute("other", "shop", "/x/")},
	}, nil)
	is.True(s.HasRoutes())
	for _, c := range []struct{ host, path, want string }{
		{"wiki", "/", "all"}, {"wiki", "/save", "all"}, {"wiki", "/save/", "save"}, {"wiki", "/save/a/b", "save"},
		{"wiki", "/save/draft/", "deep"}, {"wiki", "/save/draft", "save"}, {"wiki", "/saves/1", "all"},
		{"shop", "/x/1", "other"}, {"shop", "/", ""}, {"none", "/", ""}, {"wiki", "", ""}, {"wiki", "save/", ""},
	} {
		found := s.FindRoute(c.host, c.path)
		if c.want == "" {
			is.True(found == nil)
			continue
		}
		is.Equal(found.Route.Kind.Name, c.want)
	}
}

// The share of each destination must be proportional to its weight.
func TestDestinationFollowsWeights(t *testing.T) {
	is := is.New(t)
	s := snapshotWithRoutes(t, 3, map[string][]Route{"pages": {
		newRoute("split", "wiki", "/", Destination{"finder", 1}, Destination{"pages", 3}), newRoute("own", "wiki", "/own/"),
	}}, nil)
	count := map[string]int{}
	for draw := range uint64(400) {
		count[s.FindRoute("wiki", "/").Destination(draw)]++
	}
	is.Equal(count, map[string]int{"finder": 100, "pages": 300})
	is.Equal(s.FindRoute("wiki", "/own/").Destination(7), "pages")
}

// A delta must carry changed routes and limits to other daemons.
func TestDeltaCarriesRoutesAndLimits(t *testing.T) {
	is := is.New(t)
	before := snapshotWithRoutes(t, 3, map[string][]Route{"pages": {newRoute("a", "wiki", "/")}}, nil)
	after := snapshotWithRoutes(t, 8, map[string][]Route{"finder": {newRoute("a", "wiki", "/")}}, &Limits{BodyBytes: 9})
	d, err := after.DeltaFrom(before)
	is.NoErr(err)
	got, err := before.Apply(d)
	is.NoErr(err)
	is.Equal(got.FindRoute("wiki", "/").Service.Name, "finder")
	is.Equal(got.Manifest.Limits.BodyBytes, 9)
	is.Equal(got.ManifestHash, after.ManifestHash)
}

// A version with a route that has an unknown destination, can never match or has invalid values
// must be rejected.
func TestAssembleRejectsInvalidRoutes(t *testing.T) {
	is := is.New(t)
	for _, broken := range [][]Route{
		{newRoute("a", "wiki", "/"), newRoute("b", "wiki", "/")},
		{newRoute("a", "wiki", "/", Destination{"shop", 1})},
		{newRoute("a", "wiki", "/", Destination{"pages", 0})},
		{newRoute("a", "wiki", "/", Destination{"pages", 2}, Destination{"finder", -1})},
		{newRoute("a", "wiki", "/x")}, {newRoute("a", "wiki", "x/")}, {newRoute("a", "", "/")},
		{{Kind: Kind{Name: "a", PathPrefix: "/", Rank: 1}, Host: "wiki", MaxAttempts: 1}},
		{{Kind: Kind{Name: "a", PathPrefix: "/", Rank: 1, Deadline: 1}, Host: "wiki"}},
	} {
		_, err := Assemble(3, []*Service{
			{Name: "pages", Team: "ops", Connections: 1, Routes: broken}, {Name: "finder", Team: "ops", Connections: 1},
		}, nil)
		is.True(err != nil)
	}
}
