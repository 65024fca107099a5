package sync

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// overtakenPlatform puts a version in force while the first object is read, as a peer would.
type overtakenPlatform struct {
	Platform
	store *Store
	once  sync.Once
	reads atomic.Int64
}

func (p *overtakenPlatform) Object(context.Context, snapshot.Hash) ([]byte, error) {
	p.reads.Add(1)
	p.once.Do(func() {
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		p.store.put(&snapshot.Snapshot{Version: 1})
	})
	return []byte("object"), nil
}

// Guards against a lease holder that goes on to read all objects from the platform after a peer has
// given it the configuration.
func TestFetchObjectsEndsWhenOvertaken(t *testing.T) {
	is := is.New(t)
	store := NewStore(&fakeCodec{})
	platform := &overtakenPlatform{store: store}
	f := NewFollower(Config{Store: store, Platform: platform, Log: event.Nop()})
	err := f.fetchObjects(t.Context(), &snapshot.Delta{Version: 1, Changed: make([]snapshot.ManifestEntry, 1000)})
	is.True(errors.Is(err, errSuperseded))
	is.True(platform.reads.Load() <= objectFetches) // only those that were under way
}
