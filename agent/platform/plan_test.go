package platform

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

// force puts services in force without any validation.
func (h *harness) force(t testing.TB, files ...[]byte) (*snapshot.Manifest, map[snapshot.Hash][]byte) {
	t.Helper()
	manifest, objects := &snapshot.Manifest{Version: 1}, map[snapshot.Hash][]byte{}
	for _, data := range files {
		parsed, faults := answers.Parse("x.ini", data)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		object, hash, err := snapshot.Encode(answers.Generate(parsed))
		if err == nil {
			_, err = h.client.store(h.ctx, object)
		}
		if err != nil {
			t.Fatal(err)
		}
		objects[hash] = object
		manifest.Entries = append(manifest.Entries, snapshot.ManifestEntry{Service: parsed.Service.Name, Revision: 1, Hash: hash})
	}
	encoded, hash, err := snapshot.EncodeManifest(manifest)
	if err == nil {
		_, err = h.client.store(h.ctx, encoded)
	}
	if err == nil {
		err = h.client.put(h.ctx, Head{Version: 1, Manifest: hash}.row(), where(missing, nil))
	}
	if err != nil {
		t.Fatal(err)
	}
	return manifest, objects
}

// Guards against a configuration that cannot be repaired after an invalid version got through.
func TestInvalidHeadCanBeRepaired(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.force(t, answersFor("pages", 12, "no-such-service"))
	outcome, err := h.client.Accept(h.ctx, admin, "pages", h.submit(t, "pages", 12), 1, "t1")
	is.NoErr(err)
	is.Equal(outcome.State, StateAccepted)
}

// manyServices returns the answers of n services in order of name.
func manyServices(n int) [][]byte {
	files := make([][]byte, n)
	for i := range files {
		files[i] = answersFor(fmt.Sprintf("service-%04d", i), 12)
	}
	return files
}

// Guards against an accept that reads the services which the daemon already has: at the target, 0.27
// accepts a second on daemons with empty caches would take most of the reads of the platform.
func TestAcceptReadsOnlyWhatTheDaemonLacks(t *testing.T) {
	is := is.New(t)
	var local *snapshot.Snapshot
	h := newHarness(t, func(c *Config) { c.Local = func() *snapshot.Snapshot { return local } })
	manifest, objects := h.force(t, manyServices(100)...)
	var err error
	local, err = snapshot.Build(manifest, objects)
	is.NoErr(err)
	hash := h.submit(t, "pages", 12)
	h.client.cache = objectCache{}
	before := h.platform.Counts(standin.Objects).Reads
	_, err = h.client.Accept(h.ctx, admin, "pages", hash, 1, "t1")
	is.NoErr(err)
	is.Equal(h.platform.Counts(standin.Objects).Reads-before, uint64(1)) // the answers of the draft
}

// BenchmarkAccept measures an accept among the 1,400 services of the target.
func BenchmarkAccept(b *testing.B) {
	var local *snapshot.Snapshot
	h := newHarness(b, func(c *Config) { c.Local = func() *snapshot.Snapshot { return local } })
	manifest, objects := h.force(b, manyServices(1400)...)
	var err error
	if local, err = snapshot.Build(manifest, objects); err != nil {
		b.Fatal(err)
	}
	seen := snapshot.Version(1)
	b.ReportAllocs()
	for b.Loop() {
		h.accept(b, "pages", 1+int(seen)%12, seen, fmt.Sprint("t", seen))
		seen++
	}
}
