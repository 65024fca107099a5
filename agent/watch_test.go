package agent

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// watchStep separates two looks at the snapshot of a daemon.
const watchStep = 2 * time.Millisecond

// watcher checks the snapshot of each daemon all the time: the version never falls on an instance, not
// even across a restart of its daemon, the references are closed, nothing was refused, and the content
// is the whole of what was accepted as that version.
type watcher struct {
	t      *testing.T
	ending sync.WaitGroup

	mu      sync.Mutex
	hashes  map[snapshot.Version]snapshot.Hash // as accepted
	seen    map[snapshot.Version]snapshot.Hash // as in force at any daemon
	highest map[string]snapshot.Version        // by instance
	failed  map[string]bool                    // faults already reported
}

func newWatcher(t *testing.T) *watcher {
	return &watcher{
		t: t, hashes: map[snapshot.Version]snapshot.Hash{}, seen: map[snapshot.Version]snapshot.Hash{},
		highest: map[string]snapshot.Version{}, failed: map[string]bool{},
	}
}

// accepted records the manifest hash of an accepted version.
func (w *watcher) accepted(v snapshot.Version, h snapshot.Hash) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hashes[v] = h
}

// add watches a daemon until the returned function is called.
func (w *watcher) add(name string, d *Daemon) (end func()) {
	done := make(chan struct{})
	w.ending.Go(func() {
		ticker := time.NewTicker(watchStep)
		defer ticker.Stop()
		var last *snapshot.Snapshot
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if s := d.snapshot(); s != last {
				w.check(name, s)
				last = s
			}
			if refusals := d.follower.Refusals(); len(refusals) > 0 {
				w.fail(name, "refused version %d: %s", refusals[0].Version, refusals[0].Reason)
			}
		}
	})
	return func() { close(done) }
}

// check looks at a snapshot that has come into force; nil means that the daemon stopped to serve.
func (w *watcher) check(name string, s *snapshot.Snapshot) {
	w.mu.Lock()
	before := w.highest[name]
	w.mu.Unlock()
	switch {
	case s == nil:
		w.fail(name, "no snapshot is in force after version %d", before)
		return
	case s.Version < before:
		w.fail(name, "the version fell from %d to %d", before, s.Version)
	}
	if err := s.Validate(); err != nil {
		w.fail(name, "version %d: %v", s.Version, err)
	}
	if err := whole(s); err != nil {
		w.fail(name, "version %d is not whole: %v", s.Version, err)
	}
	w.mu.Lock()
	w.highest[name] = s.Version
	other, known := w.seen[s.Version]
	w.seen[s.Version] = s.ManifestHash
	w.mu.Unlock()
	if known && other != s.ManifestHash {
		w.fail(name, "version %d has manifest %v, elsewhere %v", s.Version, s.ManifestHash, other)
	}
}

// whole recomputes the hashes of a snapshot from its content.
func whole(s *snapshot.Snapshot) error {
	if _, hash, err := snapshot.EncodeManifest(&s.Manifest); err != nil || hash != s.ManifestHash {
		return fmt.Errorf("the manifest has another hash: %v", err)
	}
	if len(s.Services) != len(s.Manifest.Entries) || s.Manifest.Version != s.Version {
		return fmt.Errorf("the manifest has other services or another version")
	}
	for _, e := range s.Manifest.Entries {
		if _, hash, err := snapshot.Encode(s.Services[e.Service]); err != nil || hash != e.Hash {
			return fmt.Errorf("service %s has another hash: %v", e.Service, err)
		}
	}
	return nil
}

// fail reports a fault once.
func (w *watcher) fail(name, format string, args ...any) {
	w.t.Helper()
	text := name + ": " + fmt.Sprintf(format, args...)
	w.mu.Lock()
	repeated := w.failed[text]
	w.failed[text] = true
	w.mu.Unlock()
	if !repeated {
		w.t.Error(text)
	}
}

// close ends the watch and compares what was in force with what was accepted.
func (w *watcher) close() {
	w.ending.Wait()
	for v, hash := range w.seen {
		if w.hashes[v] != hash {
			w.fail("all", "version %d was in force with manifest %v, accepted was %v", v, hash, w.hashes[v])
		}
	}
}
