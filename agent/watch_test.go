package agent

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// watchInterval is the interval between checks of the snapshot of a daemon.
const watchInterval = 2 * time.Millisecond

// watcher continuously checks the snapshot of each daemon: the version on an instance never
// decreases, not even across a restart of its daemon; all references resolve; no version is
// refused; and the content is exactly what was accepted as that version.
type watcher struct {
	t      *testing.T
	ending sync.WaitGroup

	mu      sync.Mutex
	hashes  map[snapshot.Version]snapshot.Hash // as accepted
	seen    map[snapshot.Version]snapshot.Hash // in force at any daemon
	highest map[string]snapshot.Version        // by instance
	failed  map[string]bool                    // failures already reported
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
		ticker := time.NewTicker(watchInterval)
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

// check verifies a snapshot that has come into force; nil means that the daemon stopped serving.
func (w *watcher) check(name string, s *snapshot.Snapshot) {
	w.mu.Lock()
	before := w.highest[name]
	w.mu.Unlock()
	switch {
	case s == nil:
		w.fail(name, "no snapshot is in force after version %d", before)
		return
	case s.Version < before:
		w.fail(name, "the version decreased from %d to %d", before, s.Version)
	}
	if err := s.Validate(); err != nil {
		w.fail(name, "version %d: %v", s.Version, err)
	}
	if err := checkHashes(s); err != nil {
		w.fail(name, "version %d is inconsistent: %v", s.Version, err)
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

// checkHashes compares the hashes of a snapshot with those computed from its content.
func checkHashes(s *snapshot.Snapshot) error {
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

// fail reports each failure once.
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

// close waits for the checks to end and compares the versions in force with the accepted ones.
func (w *watcher) close() {
	w.ending.Wait()
	for v, hash := range w.seen {
		if w.hashes[v] != hash {
			w.fail("all", "version %d was in force with manifest %v, accepted was %v", v, hash, w.hashes[v])
		}
	}
}
