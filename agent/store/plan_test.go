package store

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
	standin "kingcupwood.example/kingcupwood/standin/platform"
)

// putInForce writes a version with the given services without validation.
func (h *harness) putInForce(t testing.TB, files ...[]byte) (*snapshot.Manifest, map[snapshot.Hash][]byte) {
	t.Helper()
	manifest, objects := &snapshot.Manifest{Version: 1}, map[snapshot.Hash][]byte{}
	for _, data := range files {
		parsed, faults := answers.Parse("x.ini", data)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		object, hash, err := snapshot.Encode(answers.Generate(parsed))
		if err == nil {
			_, err = h.client.putObject(h.ctx, object)
		}
		if err != nil {
			t.Fatal(err)
		}
		objects[hash] = object
		manifest.Entries = append(manifest.Entries, snapshot.ManifestEntry{Service: parsed.Service.Name, Revision: 1, Hash: hash})
	}
	encoded, hash, err := snapshot.EncodeManifest(manifest)
	if err == nil {
		_, err = h.client.putObject(h.ctx, encoded)
	}
	if err == nil {
		err = h.client.put(h.ctx, Head{Version: 1, Manifest: hash}.row(), where(rowAbsent, nil))
	}
	if err != nil {
		t.Fatal(err)
	}
	return manifest, objects
}

// Guards against a configuration that cannot be repaired after an invalid version was accepted by
// mistake.
func TestInvalidHeadCanBeRepaired(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.putInForce(t, answersFor("pages", 12, "no-such-service"))
	outcome, err := h.client.Accept(h.ctx, admin, "pages", h.submit(t, "pages", 12), 1, "t1")
	is.NoErr(err)
	is.Equal(outcome.State, StateAccepted)
}

// manyServices returns the answers of n services, sorted by name.
func manyServices(n int) [][]byte {
	files := make([][]byte, n)
	for i := range files {
		files[i] = answersFor(fmt.Sprintf("service-%04d", i), 12)
	}
	return files
}

// Guards against an accept that reads services in the local snapshot: at the load the project is
// designed for, 0.27 accepts per second on daemons with empty caches would use most of the read
// capacity of the platform.
func TestAcceptReadsOnlyServicesNotInLocalSnapshot(t *testing.T) {
	is := is.New(t)
	var local *snapshot.Snapshot
	h := newHarness(t, func(c *Config) { c.Local = func() *snapshot.Snapshot { return local } })
	manifest, objects := h.putInForce(t, manyServices(100)...)
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

// Points of an accept at which interleave runs another request: Local is called once after the head
// is read and once after the draft is read.
const (
	afterHead = iota + 1
	afterDraft
)

// interleave returns a harness with version 1 in force that runs during in the given call of Local.
func interleave(t *testing.T, at int, during func(h *harness)) *harness {
	var h *harness
	calls, armed := 0, false
	h = newHarness(t, func(c *Config) {
		c.Local = func() *snapshot.Snapshot {
			if calls++; armed && calls == at {
				armed = false
				during(h)
			}
			return nil
		}
	})
	h.accept(t, "finder", 5, 0, "t1")
	calls, armed = 0, true
	return h
}

// Guards against refusing an accept whose change was accepted concurrently by the same request
// through another daemon.
func TestAcceptThroughTwoDaemons(t *testing.T) {
	is := is.New(t)
	var hash snapshot.Hash
	h := interleave(t, afterHead, func(h *harness) {
		_, err := h.client.Accept(h.ctx, admin, "pages", hash, 1, "t2")
		is.NoErr(err)
		h.submit(t, "pages", 6) // the draft of the request is replaced
	})
	hash = h.submit(t, "pages", 12)
	outcome, err := h.client.Accept(h.ctx, admin, "pages", hash, 1, "t2")
	is.NoErr(err)
	is.Equal(outcome.State, StateAccepted)
	is.Equal(outcome.Change.Version, snapshot.Version(2))
}

// Guards against reporting "not accepted" for the repetition of an accepted change when the token
// cannot be read.
func TestRepetitionDuringOutageIsNotRefused(t *testing.T) {
	is := is.New(t)
	h := interleave(t, afterHead, func(h *harness) {
		h.inject(t, standin.Fault{Store: standin.Table, Kind: standin.Outage, Operations: standin.OnlyReads})
	})
	finder := snapshot.HashOf(answersFor("finder", 5))
	outcome, err := h.client.Accept(h.ctx, admin, "finder", finder, 0, "t1")
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
	is.Equal(outcome.State, StateUnknown)
	h.platform.ClearFaults()
	outcome, err = h.client.Accept(h.ctx, admin, "finder", finder, 0, "t1")
	is.NoErr(err)
	is.Equal(outcome.State, StateAccepted)
}

// Guards against accepting a draft that is replaced concurrently.
func TestDraftReplacedDuringAccept(t *testing.T) {
	is := is.New(t)
	h := interleave(t, afterDraft, func(h *harness) { h.submit(t, "pages", 6) })
	_, err := h.client.Accept(h.ctx, admin, "pages", h.submit(t, "pages", 12), 1, "t2")
	var changed *DraftChangedError
	is.True(errors.As(err, &changed))
	head, err := h.client.Head(h.ctx)
	is.NoErr(err)
	is.Equal(head.Version, snapshot.Version(1))
}

// BenchmarkAccept measures an accept with the 1,400 services that the project is designed for.
func BenchmarkAccept(b *testing.B) {
	var local *snapshot.Snapshot
	h := newHarness(b, func(c *Config) { c.Local = func() *snapshot.Snapshot { return local } })
	manifest, objects := h.putInForce(b, manyServices(1400)...)
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
