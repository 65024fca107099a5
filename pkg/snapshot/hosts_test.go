package snapshot

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func route(name, host, prefix string, split ...Destination) Route {
	return Route{
		Kind: Kind{Name: name, PathPrefix: prefix, Rank: 1, Deadline: time.Second}, Host: host,
		Target: time.Second, MaxAttempts: 2, Split: split,
	}
}

func routed(t *testing.T, version Version, routes map[string][]Route, limits *Limits) *Snapshot {
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

// Guards against a route that is found for another host or for a path that it does not begin, and against one
// with a shorter prefix than another that fits.
func TestRouteOf(t *testing.T) {
	is := is.New(t)
	s := routed(t, 3, map[string][]Route{
		"pages":  {route("all", "wiki", "/"), route("save", "wiki", "/save/")},
		"finder": {route("deep", "wiki", "/save/draft/"), route("other", "shop", "/x/")},
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

// Guards against shares that differ from the weights.
func TestDestination(t *testing.T) {
	is := is.New(t)
	s := routed(t, 3, map[string][]Route{"pages": {
		route("split", "wiki", "/", Destination{"finder", 1}, Destination{"pages", 3}), route("own", "wiki", "/own/"),
	}}, nil)
	count := map[string]int{}
	for draw := range uint64(400) {
		count[s.FindRoute("wiki", "/").Destination(draw)]++
	}
	is.Equal(count, map[string]int{"finder": 100, "pages": 300})
	is.Equal(s.FindRoute("wiki", "/own/").Destination(7), "pages")
}

// Guards against routes and limits that get lost on the way to other daemons.
func TestRoutedDelta(t *testing.T) {
	is := is.New(t)
	before := routed(t, 3, map[string][]Route{"pages": {route("a", "wiki", "/")}}, nil)
	after := routed(t, 8, map[string][]Route{"finder": {route("a", "wiki", "/")}}, &Limits{BodyBytes: 9})
	d, err := after.DeltaFrom(before)
	is.NoErr(err)
	got, err := before.Apply(d)
	is.NoErr(err)
	is.Equal(got.FindRoute("wiki", "/").Service.Name, "finder")
	is.Equal(got.Manifest.Limits.BodyBytes, 9)
	is.Equal(got.ManifestHash, after.ManifestHash)
}

// Guards against a version with a route that points nowhere or can never be used; it must not be built.
func TestRouteProblems(t *testing.T) {
	is := is.New(t)
	for _, broken := range [][]Route{
		{route("a", "wiki", "/"), route("b", "wiki", "/")},
		{route("a", "wiki", "/", Destination{"shop", 1})},
		{route("a", "wiki", "/", Destination{"pages", 0})},
		{route("a", "wiki", "/", Destination{"pages", 2}, Destination{"finder", -1})},
		{route("a", "wiki", "/x")}, {route("a", "wiki", "x/")}, {route("a", "", "/")},
		{{Kind: Kind{Name: "a", PathPrefix: "/", Rank: 1}, Host: "wiki", MaxAttempts: 1}},
		{{Kind: Kind{Name: "a", PathPrefix: "/", Rank: 1, Deadline: 1}, Host: "wiki"}},
	} {
		_, err := Assemble(3, []*Service{
			{Name: "pages", Team: "ops", Connections: 1, Routes: broken}, {Name: "finder", Team: "ops", Connections: 1},
		}, nil)
		is.True(err != nil)
	}
}
