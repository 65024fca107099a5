package agent

import (
	"testing"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Guards against a manifest that differs from the one in the object store, which would make every
// lease holder read both, and against modifying the snapshot in force.
func TestApplyChanges(t *testing.T) {
	is := is.New(t)
	entry := func(service string, revision uint64) snapshot.ManifestEntry {
		return snapshot.ManifestEntry{Service: service, Revision: revision, Hash: snapshot.Hash{byte(revision)}}
	}
	base := &snapshot.Manifest{Version: 4, Entries: []snapshot.ManifestEntry{entry("b", 1), entry("d", 1), entry("e", 1)}}
	before := append([]snapshot.ManifestEntry(nil), base.Entries...)
	m := applyChanges(base, 9, []store.Change{
		{Service: "c", Revision: 1, Hash: snapshot.Hash{1}},
		{Service: "b", Revision: 2, Hash: snapshot.Hash{2}},
		{Service: "d", Revision: 2, Removed: true},
		{Service: "unknown", Revision: 2, Removed: true},
		{Service: "b", Revision: 3, Hash: snapshot.Hash{3}},
	})
	is.Equal(m, &snapshot.Manifest{Version: 9, Entries: []snapshot.ManifestEntry{entry("b", 3), entry("c", 1), entry("e", 1)}})
	is.Equal(base.Entries, before)
}
