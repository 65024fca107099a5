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

// supersededPlatform puts a version in force while the first object is read, as
// a poll of a peer can.
type supersededPlatform struct {
	Platform
	store *Store
	once  sync.Once
	reads atomic.Int64
}

func (p *supersededPlatform) Object(context.Context, snapshot.Hash) ([]byte, error) {
	p.reads.Add(1)
	p.once.Do(func() {
		p.store.mu.Lock()
		defer p.store.mu.Unlock()
		p.store.setCurrent(&snapshot.Snapshot{Version: 1})
	})
	return []byte("object"), nil
}

// Guards against a lease holder that continues to read all objects from the platform after it has
// received the configuration from a peer.
func TestFetchObjectsStopsWhenSuperseded(t *testing.T) {
	is := is.New(t)
	store := NewStore(&fakeCodec{})
	platform := &supersededPlatform{store: store}
	f := NewFollower(Config{Store: store, Platform: platform, Log: event.Nop()})
	err := f.fetchObjects(t.Context(), &snapshot.Delta{Version: 1, Changed: make([]snapshot.ManifestEntry, 1000)})
	is.True(errors.Is(err, errSuperseded))
	is.True(platform.reads.Load() <= objectFetches) // only those already in progress
}
