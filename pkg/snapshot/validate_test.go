package snapshot

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An invalid configuration must not reach the daemons. Each case violates one rule in a valid pair
// of services.
func TestCheckFindsEachViolation(t *testing.T) {
	for _, c := range []struct {
		want  string
		apply func(pages, finder *Service)
	}{
		{"Pages: name: ", func(p, _ *Service) { p.Name = "Pages" }},
		{"pages: team: ", func(p, _ *Service) { p.Team = "" }},
		{"pages: capacity-slots: 0 is out of range", func(p, _ *Service) { p.Slots = 0 }},
		{"pages: capacity-connections: 2 connections cannot use 12 slots", func(p, _ *Service) { p.Connections = 2 }},
		{"pages: servers: the expected rates occupy 60.2 slots", func(p, _ *Service) { p.Kinds[0].ExpectedRate = 12000 }},
		{"pages: name: the service has 0 kinds", func(p, _ *Service) { p.Kinds = nil }},
		{"pages/k0: name: kind \"k0\" is declared twice", func(p, _ *Service) { p.Kinds[1].Name = "k0" }},
		{"pages/k1: match: \"GET /path-0/\" never matches", func(p, _ *Service) { p.Kinds[1].PathPrefix = "/path-0/" }},
		{"pages/k0: match: no request has the method \"get\"", func(p, _ *Service) { p.Kinds[0].Method = "get" }},
		{"pages/k0: match: no request has the path \"/a?b\"", func(p, _ *Service) { p.Kinds[0].PathPrefix = "/a?b" }},
		{"pages/k0: match: no request has the path \"/a/../b\"", func(p, _ *Service) { p.Kinds[0].PathPrefix = "/a/../b" }},
		{"pages/k0: match: no request has the path \"a\"", func(p, _ *Service) { p.Kinds[0].PathPrefix = "a" }},
		{"pages/k0: rank: 10 is out of range", func(p, _ *Service) { p.Kinds[0].Rank = 10 }},
		{"pages/k0: deadline: ", func(p, _ *Service) { p.Kinds[0].Deadline = -1 }},
		{"pages/k0: deadline: a deadline of 1s leaves", func(p, _ *Service) { p.Kinds[0].ServiceTime = 980 * time.Millisecond }},
		{"pages/k0: service-time: ", func(p, _ *Service) { p.Kinds[0].ServiceTime = 0 }},
		{"pages/k0: expected-rate: NaN/s is out of range", func(p, _ *Service) { p.Kinds[0].ExpectedRate = math.NaN() }},
		{"pages/k0: worth: 0 is out of range", func(p, _ *Service) { p.Kinds[0].Worth = 0 }},
		{"pages/k0: objective: 100% is out of range", func(p, _ *Service) { p.Kinds[0].Objective = 1 }},
		{"pages: depends-on: there is no service \"finde\"", func(p, _ *Service) { p.DependsOn = append(p.DependsOn, "finde") }},
		{"pages: depends-on: dependency cycle finder -> pages -> finder", func(_, f *Service) { f.DependsOn = []string{"pages"} }},
		{"pages/k0: calls: there is no kind \"finder/k9\"", func(p, _ *Service) { p.Kinds[0].Calls = []string{"finder/k9"} }},
		{"pages/k0: calls: \"finder/k0\" calls service \"finder\", which depends-on does not list", func(p, _ *Service) { p.DependsOn = nil }},
		{"pages/k0: calls: \"finder/k0\" has 990ms, but a deadline of 1s leaves only 960.4ms", func(_, f *Service) { f.Kinds[0].Deadline = 990 * time.Millisecond }},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			pages, finder := testService("pages", 2), testService("finder", 2)
			pages.DependsOn, pages.Kinds[0].Calls, pages.Kinds[0].Deadline = []string{"finder"}, []string{"finder/k0"}, time.Second
			services := map[string]*Service{"pages": pages, "finder": finder}
			is.Equal(len(Check(services)), 0)
			c.apply(pages, finder)
			text := Check(services).Error()
			is.True(strings.Contains(text, c.want)) // the violation is not reported
		})
	}
}

// Check must reject a call chain that is longer than the depth limit of the request path.
func TestCheckLimitsChains(t *testing.T) {
	is := is.New(t)
	services := map[string]*Service{}
	for i := range MaxChain + 1 {
		s := testService(fmt.Sprintf("s%d", i), 1)
		s.Kinds[0].Deadline = time.Duration(i+1) * time.Second
		if i > 0 {
			s.DependsOn, s.Kinds[0].Calls = []string{fmt.Sprintf("s%d", i-1)}, []string{fmt.Sprintf("s%d/k0", i-1)}
		}
		services[s.Name] = s
		is.Equal(len(Check(services)) > 0, i >= MaxChain)
	}
}

// Diff must list the effects of a revision on callers, so that an operator sees them before
// accepting.
func TestDiffNamesEachChange(t *testing.T) {
	is := is.New(t)
	old, revised := testService("pages", 3), testService("pages", 2)
	revised.Servers = 6
	k := &revised.Kinds[0]
	k.Rank, k.Idempotent, k.Deadline, k.ExpectedRate = 2, false, 300*time.Millisecond, 80
	is.Equal(strings.Join(Diff(old, revised), "\n"), strings.Join([]string{
		"service: 6 servers are now planned (was 4)",
		"k0: is now less urgent, rank 2 (was 1)",
		"k0: is now not idempotent, so it is retried only if it provably did not run",
		"k0: callers now get an error after 300ms (was 500ms)",
		"k0: protected up to 80/s now (was 40/s); requests above that are served last under load",
		"k2: kind removed, callers of GET /path-2/ get 404 unless a longer path matches another kind",
	}, "\n"))
	is.Equal(len(Diff(old, old)), 0)
	is.Equal(len(Diff(nil, old)), 4)
	is.Equal(len(Diff(old, nil)), 1)
}
