package snapshot

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var poolNames = []string{"a", "b", "c", "d", "e"}

// testService returns a valid service with kinds k0 to k<kinds-1>.
func testService(name string, kinds int) *Service {
	s := &Service{Name: name, Team: "team", Slots: 12, Connections: 100, Servers: 4}
	for i := range kinds {
		s.Kinds = append(s.Kinds, Kind{
			Name: fmt.Sprintf("k%d", i), Method: "GET", PathPrefix: fmt.Sprintf("/path-%d/", i), Rank: i%MaxRank + 1,
			Idempotent: true, Deadline: 500 * time.Millisecond, ExpectedRate: 40, ServiceTime: 5 * time.Millisecond,
			Worth: 10, Objective: 0.999,
		})
	}
	return s
}

func drawService(t *rapid.T) *Service {
	s := testService(rapid.SampledFrom(poolNames).Draw(t, "name"), rapid.IntRange(1, 4).Draw(t, "kinds"))
	s.Servers = rapid.IntRange(1, 100).Draw(t, "servers")
	// Dependencies may be unknown or cyclic; With then rejects the service.
	if rapid.Bool().Draw(t, "depends") {
		s.DependsOn = []string{rapid.SampledFrom(poolNames).Draw(t, "dependency")}
		s.Kinds[0].Calls = []string{s.DependsOn[0] + "/k0"}
		s.Kinds[0].Deadline = time.Second
	}
	return s
}

// drawHistory applies a random sequence of changes and returns the accepted snapshots, oldest
// first.
func drawHistory(t *rapid.T) []*Snapshot {
	var history []*Snapshot
	var current *Snapshot
	steps := rapid.IntRange(1, 25).Draw(t, "steps")
	for version := Version(1); version <= Version(steps); version++ {
		var next *Snapshot
		var err error
		if rapid.IntRange(0, 4).Draw(t, "action") == 0 {
			next, err = current.Without(version, rapid.SampledFrom(poolNames).Draw(t, "removed"))
		} else {
			next, err = current.With(version, drawService(t), uint64(version))
		}
		if err == nil {
			current = next
			history = append(history, next)
		}
	}
	return history
}

// rebuild builds the snapshot from its encoded manifest and objects.
func rebuild(t rapid.TB, s *Snapshot) *Snapshot {
	data, hash, err := EncodeManifest(&s.Manifest)
	if err != nil {
		t.Fatal(err)
	}
	m, err := DecodeManifest(data, hash)
	if err != nil {
		t.Fatal(err)
	}
	objects := map[Hash][]byte{}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		data, hash, err := Encode(s.Services[name])
		if err != nil {
			t.Fatal(err)
		}
		objects[hash] = data
	}
	built, err := Build(m, objects)
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// largeSnapshot returns a snapshot of n services with 5 kinds each, in dependency chains of
// MaxChain services.
func largeSnapshot(tb testing.TB, n int) *Snapshot {
	m, objects := &Manifest{Version: 1}, map[Hash][]byte{}
	for i := range n {
		s := testService(fmt.Sprintf("service-%04d", i), 5)
		if i%MaxChain != 0 {
			s.DependsOn = []string{m.Entries[i-1].Service}
			s.Kinds[0].Calls = []string{s.DependsOn[0] + "/k0"}
		}
		s.Kinds[0].Deadline = time.Duration(1+i%MaxChain) * time.Second
		data, hash, err := Encode(s)
		if err != nil {
			tb.Fatal(err)
		}
		m.Entries = append(m.Entries, ManifestEntry{Service: s.Name, Revision: 1, Hash: hash})
		objects[hash] = data
	}
	s, err := Build(m, objects)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}
