package snapshot

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// A daemon that applies deltas must reach the same configuration as one that loads the complete
// version, and applying a delta must not modify the snapshot in use by requests.
func TestDeltasEqualBuildFromScratch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		for i, target := range history {
			want := rebuild(t, target)
			if !reflect.DeepEqual(want, target) {
				t.Fatalf("version %d differs from the snapshot built from scratch", target.Version)
			}
			old := (*Snapshot)(nil)
			if from := rapid.IntRange(0, i).Draw(t, "from"); from < i {
				old = history[from]
			}
			delta, err := target.DeltaFrom(old)
			if err != nil {
				t.Fatal(err)
			}
			encoded, err := EncodeDelta(delta)
			if err != nil {
				t.Fatal(err)
			}
			if delta, err = DecodeDelta(encoded); err != nil {
				t.Fatal(err)
			}
			before := fingerprint(t, old)
			got, err := old.Apply(delta)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) || before != fingerprint(t, old) {
				t.Fatalf("delta to version %d gives another snapshot or changes its base", target.Version)
			}
			if _, err := got.Apply(delta); !errors.Is(err, ErrOldVersion) {
				t.Fatalf("duplicate delta gives %v", err)
			}
		}
	})
}

// fingerprint returns the encoding of everything in s.
func fingerprint(t rapid.TB, s *Snapshot) string {
	if s == nil {
		return ""
	}
	data, err := encoder.Marshal([]any{s.Version, s.ManifestHash, s.Manifest, s.Services})
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A delta with any corrupt part must be rejected completely, never applied in part.
func TestApplyRejectsCorruptDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := rapid.Custom(drawHistory).Filter(func(h []*Snapshot) bool { return len(h) > 0 }).Draw(t, "history")
		target, old := history[len(history)-1], (*Snapshot)(nil)
		if len(history) > 1 && rapid.Bool().Draw(t, "incremental") {
			old = history[len(history)-2]
		}
		makeDelta := func() *Delta {
			delta, err := target.DeltaFrom(old)
			if err != nil {
				t.Fatal(err)
			}
			return delta
		}
		// Selects among the corruptions of parts that this delta has.
		corruption := rapid.SampledFrom(slices.DeleteFunc(slices.Clone(corruptions), func(d corruption) bool {
			return !d.apply(makeDelta())
		})).Draw(t, "corruption")
		delta := makeDelta()
		corruption.apply(delta)
		before := fingerprint(t, old)
		if next, err := old.Apply(delta); err == nil || next != nil {
			t.Fatalf("%s: the delta was applied", corruption.name)
		}
		if before != fingerprint(t, old) {
			t.Fatalf("%s: the receiver changed", corruption.name)
		}
	})
}

// corruption modifies one part of a delta. apply reports whether the delta has that part.
type corruption struct {
	name  string
	apply func(d *Delta) bool
}

var corruptions = []corruption{
	{"base", func(d *Delta) bool { d.Base += 1000; return true }},
	{"version", func(d *Delta) bool { d.Version++; return true }},
	{"old version", func(d *Delta) bool { old := d.Base; d.Version = old; return true }},
	{"manifest hash", func(d *Delta) bool { d.ManifestHash[31]++; return true }},
	{"unknown removal", func(d *Delta) bool { d.Removed = append(d.Removed, "unknown"); return true }},
	{"lost removal", func(d *Delta) bool { found := d.Removed != nil; d.Removed = nil; return found }},
	{"object bytes", changed(func(d *Delta) { d.Objects[0][len(d.Objects[0])-1]++ })},
	{"entry hash", changed(func(d *Delta) { d.Changed[0].Hash[0]++ })},
	{"entry revision", changed(func(d *Delta) { d.Changed[0].Revision++ })},
	{"entry name", changed(func(d *Delta) { d.Changed[0].Service = "0" })},
	{"lost entry", changed(func(d *Delta) { d.Changed, d.Objects = d.Changed[1:], d.Objects[1:] })},
	{"lost object", changed(func(d *Delta) { d.Objects = d.Objects[1:] })},
	{"repeated entry", changed(func(d *Delta) {
		d.Changed, d.Objects = append(d.Changed, d.Changed[0]), append(d.Objects, d.Objects[0])
	})},
	{"broken reference", changed(func(d *Delta) {
		svc, err := Decode(d.Objects[0], d.Changed[0].Hash)
		if err != nil {
			panic(err)
		}
		svc.DependsOn = append(svc.DependsOn, "unknown")
		d.Objects[0], d.Changed[0].Hash, _ = Encode(svc)
	})},
}

func changed(apply func(d *Delta)) func(d *Delta) bool {
	return func(d *Delta) bool {
		if len(d.Changed) == 0 {
			return false
		}
		apply(d)
		return true
	}
}

// Apply must share unchanged services and their kind tables, so that a new version neither
// duplicates them in memory nor sorts their kinds again.
func TestApplySharesUnchangedServices(t *testing.T) {
	is := is.New(t)
	old := largeSnapshot(t, 30)
	next, err := old.With(2, testService("service-0013", 2), 2)
	is.NoErr(err)
	delta, err := next.DeltaFrom(old)
	is.NoErr(err)
	is.Equal(len(delta.Changed), 1)
	got, err := old.Apply(delta)
	is.NoErr(err)
	is.True(got.Services["service-0001"] == old.Services["service-0001"])
	is.True(got.kindTables["service-0001"] == old.kindTables["service-0001"])
	is.True(got.Services["service-0013"] != old.Services["service-0013"])
}

// Match must not select a kind with a shorter prefix or another method than the best match, which
// is found here by a linear search over all kinds.
func TestMatchEqualsLinearSearch(t *testing.T) {
	paths := []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/b"}
	methods := []string{"", "GET", "POST"}
	rapid.Check(t, func(t *rapid.T) {
		svc := &Service{Name: "s"}
		seen := map[string]bool{}
		for range rapid.IntRange(1, 8).Draw(t, "kinds") {
			k := Kind{Method: rapid.SampledFrom(methods).Draw(t, "method"), PathPrefix: rapid.SampledFrom(paths).Draw(t, "prefix")}
			if !seen[k.Match()] {
				svc.Kinds = append(svc.Kinds, k)
			}
			seen[k.Match()] = true
		}
		s := &Snapshot{kindTables: map[string]*kindTable{"s": newKindTable(svc)}}
		method, path := rapid.SampledFrom(methods[1:]).Draw(t, "request method"), rapid.SampledFrom(paths).Draw(t, "path")
		_, got, _ := s.Match("s", method, path)
		if want := linearMatch(svc, method, path); got != want {
			t.Fatalf("%s %s: got %v, want %v", method, path, got, want)
		}
	})
}

func linearMatch(s *Service, method, path string) *Kind {
	var best *Kind
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if (k.Method != "" && k.Method != method) || !strings.HasPrefix(path, k.PathPrefix) {
			continue
		}
		if best == nil || len(k.PathPrefix) > len(best.PathPrefix) ||
			(len(k.PathPrefix) == len(best.PathPrefix) && k.Method != "") {
			best = k
		}
	}
	return best
}

// Match runs for every request, so it must not allocate. A daemon without a snapshot must not
// panic.
func TestMatchDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	s := largeSnapshot(t, 30)
	is.Equal(testing.AllocsPerRun(100, func() { s.Match("service-0007", "GET", "/path-4/x") }), 0.0)
	_, _, ok := (*Snapshot)(nil).Match("service-0007", "GET", "/")
	is.True(!ok)
	svc, kind, ok := s.Match("service-0007", "DELETE", "/")
	is.True(svc != nil && kind == nil && !ok)
}
